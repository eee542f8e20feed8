//! The plug-in that acquires the order lease and runs the dispatcher.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::dispatcher::OrderDispatcher;
use crate::core::config::TargetKind;
use crate::core::spread::rendezvous_rank;
use crate::ops::kernel::{
    Context, DrainPhase, Lifecycle, Plugin, PluginEntry, PluginScope, Shutdown,
};
use crate::ops::services::{ConfigService, LeaseService, MemberService, MemberState};

/// Object key of the lease. Only its holder issues orders to engines.
pub const ORDER_LEASE: &str = "orders/lease";

/// Number of instances that try to acquire the lease. More would only add load on the platform.
const MAX_CANDIDATES: usize = 3;

/// Interval between attempts to acquire the lease.
const ACQUIRE_INTERVAL: Duration = Duration::from_secs(10);

/// Time for the dispatcher to stop during a graceful shutdown. If the lease is not released by
/// then, another instance acquires it after the session has ended.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Hash seed for choosing the candidates.
const CANDIDATE_SEED: u64 = 0x6f72_6465;

inventory::submit! {
    PluginEntry::new(|| Box::new(OrdersPlugin)).with_scope(PluginScope::Standalone)
}

struct OrdersPlugin;

/// Signals that the dispatcher has stopped during a graceful shutdown.
#[derive(Default)]
struct OrdersStopped(Shutdown);

impl Plugin for OrdersPlugin {
    fn name(&self) -> &'static str {
        "orders"
    }

    fn register(&self, context: &Context) -> Result<()> {
        context.provide(Rc::new(OrdersStopped::default()));
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let stopped = context.service::<OrdersStopped>();
        match context.find_service::<dyn LeaseService>() {
            Some(leases) => {
                let context = context.clone();
                compio::runtime::spawn(async move {
                    acquire_and_dispatch(&context, leases).await;
                    stopped.0.request();
                })
                .detach();
            }
            None => stopped.0.request(),
        }
        Ok(())
    }

    fn drain(&self, context: &Context, phase: DrainPhase) -> LocalBoxFuture<'static, ()> {
        let stopped = context.service::<OrdersStopped>();
        let timers = *context.timers();
        async move {
            // Release the lease before the session that it is held under ends.
            if phase == DrainPhase::FinishRequests {
                timers.timeout(STOP_TIMEOUT, stopped.0.requested()).await;
            }
        }
        .boxed_local()
    }
}

/// Repeatedly tries to acquire the lease, and runs the dispatcher while it is held.
async fn acquire_and_dispatch(context: &Context, leases: Rc<dyn LeaseService>) {
    let mut interval = context.timers().interval(ACQUIRE_INTERVAL);
    loop {
        let stop = context.shutdown().requested().fuse();
        let tick = interval.tick().fuse();
        futures_util::pin_mut!(stop, tick);
        futures_util::select_biased! {
            () = stop => return,
            () = tick => {}
        }
        if !is_candidate(context) || !has_engines(context) {
            continue;
        }
        let Some(lease) = leases.acquire(ORDER_LEASE).await else {
            continue;
        };
        slog::info!(context.log(), "order lease acquired"; "epoch" => lease.epoch);
        context.metrics().gauge("orders.is_holder", 1);
        let dispatcher = OrderDispatcher::new(context, Rc::clone(&leases), lease);
        if let Some(lease) = dispatcher.run().await {
            leases.release(lease).await;
        }
        context.metrics().gauge("orders.is_holder", 0);
        slog::info!(context.log(), "order lease released or lost");
        if context.shutdown().lifecycle() != Lifecycle::Running {
            return;
        }
    }
}

/// Whether this instance is among the candidates for the lease.
fn is_candidate(context: &Context) -> bool {
    let service = context.service::<dyn MemberService>();
    let members = service.members();
    let live = members
        .iter()
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
        .map(|member| &*member.instance);
    rendezvous_rank(CANDIDATE_SEED, &service.self_id(), live) < MAX_CANDIDATES
}

fn has_engines(context: &Context) -> bool {
    let config = context.service::<dyn ConfigService>().current();
    config.is_some_and(|config| {
        let mut targets = config.fleet.targets.values();
        targets.any(|target| target.kind == TargetKind::Engine)
    })
}
