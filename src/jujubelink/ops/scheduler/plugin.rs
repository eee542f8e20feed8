//! Registration and tasks.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;

use super::events::EventReaders;
use super::loads::poll_loads;
use super::service::{Shared, SharedScheduler};
use super::trace::Tracing;
use crate::core::scheduler::SuspectUpdate;
use crate::ops::kernel::{Context, Plugin, PluginEntry};
use crate::ops::services::{
    ConfigService, GossipItem, GossipService, MemberService, MemberState, SchedulerService,
    TraceService,
};

/// Period at which members and ejected targets are looked at.
const TICK_PERIOD: Duration = Duration::from_secs(1);

/// Time after which an idle connection for polls is closed.
const MAX_IDLE: Duration = Duration::from_secs(10);

inventory::submit! { PluginEntry::new(|| Box::new(SchedulerPlugin)) }

struct SchedulerPlugin;

impl Plugin for SchedulerPlugin {
    fn name(&self) -> &'static str {
        "scheduler"
    }

    fn register(&self, context: &Context) -> Result<()> {
        let shared = Shared::new(context);
        context.provide(Rc::clone(&shared));
        let trace: Rc<dyn TraceService> = Rc::new(Tracing(Rc::clone(&shared)));
        context.provide(trace);
        let service: Rc<dyn SchedulerService> = Rc::new(SharedScheduler(shared));
        context.provide(service);
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let shared = context.service::<Shared>();
        subscribe(&shared);
        compio::runtime::spawn(follow_config(Rc::clone(&shared))).detach();
        compio::runtime::spawn(tick(Rc::clone(&shared))).detach();
        if context.settings().fleet.is_none() {
            // Elsewhere answers carry the load, and each question has a price.
            compio::runtime::spawn(poll_loads(Rc::clone(&shared))).detach();
            compio::runtime::spawn(EventReaders::new(&shared).run()).detach();
        }
        Ok(())
    }
}

/// Takes suspects and digests from other instances.
fn subscribe(shared: &Rc<Shared>) {
    let gossip = shared.context.service::<dyn GossipService>();
    let shared = Rc::clone(shared);
    gossip.subscribe(Rc::new(move |item| take_gossip(&shared, item)));
}

fn take_gossip(shared: &Shared, item: &GossipItem) {
    let now = shared.now();
    let mut scheduler = shared.scheduler.borrow_mut();
    match item {
        GossipItem::Quarantine {
            fingerprint,
            crashes,
            remaining,
        } => {
            let notice = SuspectUpdate {
                fingerprint: *fingerprint,
                crashes: *crashes,
                remaining: *remaining,
            };
            scheduler.on_suspect_update(notice, now);
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

async fn follow_config(shared: Rc<Shared>) {
    let config = shared.context.service::<dyn ConfigService>();
    loop {
        let changed = config.changed();
        if let Some(snapshot) = config.current() {
            shared.scheduler.borrow_mut().on_config(&snapshot);
            shared.pump();
        }
        changed.await;
    }
}

async fn tick(shared: Rc<Shared>) {
    let mut interval = shared.context.timers().interval(TICK_PERIOD);
    loop {
        interval.tick().await;
        follow_members(&shared);
        let now = shared.now();
        shared.scheduler.borrow_mut().on_tick(now);
        shared.client.close_idle(MAX_IDLE);
        let metrics = shared.context.metrics();
        let scheduler = shared.scheduler.borrow();
        metrics.gauge("scheduler.queued", scheduler.queued() as u64);
        metrics.gauge("scheduler.running", scheduler.running() as u64);
        drop(scheduler);
        shared.pump();
    }
}

fn follow_members(shared: &Shared) {
    let members = shared.context.service::<dyn MemberService>();
    let serving = members
        .members()
        .iter()
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
        .count();
    let leaving = members.leaving_targets();
    let mut scheduler = shared.scheduler.borrow_mut();
    let router = scheduler.router_mut();
    router.set_instance_count(serving as u32 + 1);
    let table = router.targets_mut();
    for index in 0..table.len() {
        let state = table.get_mut(index as u32);
        state.is_leaving = leaving.contains(&state.id);
    }
}
