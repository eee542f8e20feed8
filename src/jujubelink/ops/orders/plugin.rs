//! The plug-in that takes the order lease.

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

/// Lease whose holder alone gives orders to engines.
pub const ORDER_LEASE: &str = "orders/lease";

/// Instances that try to take the lease. Others would only add calls to the platform.
const MAX_CANDIDATES: usize = 3;

/// Time between attempts.
const ACQUIRE_INTERVAL: Duration = Duration::from_secs(10);

/// Time for the holder to end its work in a planned stop. A lease that is not given back is taken
/// by another instance after the session has ended.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Seed of the choice of candidates.
const CANDIDATE_SEED: u64 = 0x6f72_6465;

inventory::submit! {
    PluginEntry::new(|| Box::new(OrdersPlugin)).with_scope(PluginScope::OwnState)
}

struct OrdersPlugin;

/// Set when the holder's work has ended in a planned stop.
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
            // The lease is given back before the session that it is held under ends.
            if phase == DrainPhase::FinishRequests {
                timers.timeout(STOP_TIMEOUT, stopped.0.requested()).await;
            }
        }
        .boxed_local()
    }
}

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
        slog::info!(context.log(), "order lease taken"; "epoch" => lease.epoch);
        context.metrics().gauge("orders.is_holder", 1);
        let dispatcher = OrderDispatcher::new(context, Rc::clone(&leases), lease);
        if let Some(lease) = dispatcher.run().await {
            leases.release(lease).await;
        }
        context.metrics().gauge("orders.is_holder", 0);
        slog::info!(context.log(), "order lease ended");
        if context.shutdown().lifecycle() != Lifecycle::Running {
            return;
        }
    }
}

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
