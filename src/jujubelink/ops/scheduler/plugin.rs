//! The scheduler plug-in and its background tasks.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;

use super::events::EventReaders;
use super::explain::PlacementTracer;
use super::loads::poll_loads;
use super::service::{SchedulerHandle, SchedulerState};
use crate::core::scheduler::SuspectUpdate;
use crate::ops::kernel::{Context, Plugin, PluginEntry};
use crate::ops::services::{
    ConfigService, GossipItem, GossipService, MemberService, MemberState, SchedulerService,
    TraceService,
};

/// Interval at which members, ejected targets and metrics are updated.
const MAINTENANCE_PERIOD: Duration = Duration::from_secs(1);

/// Idle time after which a connection for polls is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

inventory::submit! { PluginEntry::new(|| Box::new(SchedulerPlugin)) }

struct SchedulerPlugin;

impl Plugin for SchedulerPlugin {
    fn name(&self) -> &'static str {
        "scheduler"
    }

    fn register(&self, context: &Context) -> Result<()> {
        let state = SchedulerState::new(context);
        context.provide(Rc::clone(&state));
        let trace: Rc<dyn TraceService> = Rc::new(PlacementTracer(Rc::clone(&state)));
        context.provide(trace);
        let service: Rc<dyn SchedulerService> = Rc::new(SchedulerHandle(state));
        context.provide(service);
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let state = context.service::<SchedulerState>();
        subscribe(&state);
        compio::runtime::spawn(watch_config(Rc::clone(&state))).detach();
        compio::runtime::spawn(run_maintenance(Rc::clone(&state))).detach();
        if context.settings().fleet.is_none() {
            // With a fleet store, responses already report the load, and each poll has a cost.
            compio::runtime::spawn(poll_loads(Rc::clone(&state))).detach();
            compio::runtime::spawn(EventReaders::new(&state).run()).detach();
        }
        Ok(())
    }
}

/// Applies quarantine updates and digests from other instances.
fn subscribe(state: &Rc<SchedulerState>) {
    let gossip = state.context.service::<dyn GossipService>();
    let state = Rc::clone(state);
    gossip.subscribe(Rc::new(move |item| apply_gossip(&state, item)));
}

fn apply_gossip(state: &SchedulerState, item: &GossipItem) {
    let now = state.now();
    let mut scheduler = state.scheduler.borrow_mut();
    match item {
        GossipItem::Quarantine {
            fingerprint,
            crashes,
            remaining,
        } => {
            let update = SuspectUpdate {
                fingerprint: *fingerprint,
                crashes: *crashes,
                remaining: *remaining,
            };
            scheduler.on_suspect_update(update, now);
        }
        GossipItem::Digest {
            target,
            incarnation,
            stored,
            evicted,
        } => {
            let router = scheduler.router_mut();
            if let Some(index) = router.targets().index(target) {
                router.on_digest(index, *incarnation, stored, evicted, now);
            }
        }
    }
}

async fn watch_config(state: Rc<SchedulerState>) {
    let config = state.context.service::<dyn ConfigService>();
    loop {
        let changed = config.changed();
        if let Some(snapshot) = config.current() {
            state.scheduler.borrow_mut().on_config(&snapshot);
            state.dispatch_waiting();
        }
        changed.await;
    }
}

async fn run_maintenance(state: Rc<SchedulerState>) {
    let mut interval = state.context.timers().interval(MAINTENANCE_PERIOD);
    loop {
        interval.tick().await;
        update_members(&state);
        let now = state.now();
        state.scheduler.borrow_mut().on_tick(now);
        state.client.close_idle(POOL_IDLE_TIMEOUT);
        let metrics = state.context.metrics();
        let scheduler = state.scheduler.borrow();
        metrics.gauge("scheduler.queued", scheduler.queued() as u64);
        metrics.gauge("scheduler.running", scheduler.running() as u64);
        drop(scheduler);
        report_paces(&state);
        state.dispatch_waiting();
    }
}

/// Reports the paces and limits of the targets, as a few numbers for all of them.
fn report_paces(state: &SchedulerState) {
    let mut scheduler = state.scheduler.borrow_mut();
    let router = scheduler.router_mut();
    let metrics = state.context.metrics();
    for (reason, count) in router.take_ignored_paces() {
        metrics.count(&format!("scheduler.ignored_paces.{reason}"), count);
    }
    if let Some(range) = router.speed_range(state.now()) {
        metrics.gauge("scheduler.pace_min", range.min_pace_percent);
        metrics.gauge("scheduler.pace_max", range.max_pace_percent);
        metrics.gauge("scheduler.limit_min", range.min_limit);
    }
}

fn update_members(state: &SchedulerState) {
    let members = state.context.service::<dyn MemberService>();
    let live_members = members
        .members()
        .iter()
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
        .count();
    let leaving = members.leaving_targets();
    let mut scheduler = state.scheduler.borrow_mut();
    let router = scheduler.router_mut();
    router.set_instance_count(live_members as u32 + 1);
    let table = router.targets_mut();
    for index in 0..table.len() {
        let target = table.get_mut(index as u32);
        target.is_leaving = leaving.contains(&target.id);
    }
}
