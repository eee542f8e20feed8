//! The session plug-in.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::Sessions;
use super::leases::SessionLeases;
use crate::core::lease::VOUCH_PERIOD;
use crate::ops::kernel::{Context, DrainPhase, Plugin, PluginEntry, PluginScope};
use crate::ops::services::LeaseService;

/// Interval between maintenance steps of the session.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between maintenance steps until the session is first written; short so that a started
/// instance can serve quickly.
const ESTABLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before the next step after a failure of the platform.
const FAILURE_RETRY_DELAY: Duration = Duration::from_secs(1);

inventory::submit! {
    PluginEntry::new(|| Box::new(SessionPlugin)).with_scope(PluginScope::Standalone)
}

struct SessionPlugin;

impl Plugin for SessionPlugin {
    /// Plug-ins register in order of name; this one needs the services of "config" and "peer" in
    /// `register`.
    fn name(&self) -> &'static str {
        "sessions"
    }

    fn register(&self, context: &Context) -> Result<()> {
        let sessions = Rc::new(Sessions::new(context));
        let leases: Rc<dyn LeaseService> = Rc::new(SessionLeases(Rc::clone(&sessions)));
        context.provide(sessions);
        context.provide(leases);
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let sessions = context.service::<Sessions>();
        compio::runtime::spawn(maintain(Rc::clone(&sessions))).detach();
        compio::runtime::spawn(collect_vouches(Rc::clone(&sessions))).detach();
        compio::runtime::spawn(async move { sessions.peers.probe_seeds(&sessions.peer_rpc).await })
            .detach();
        Ok(())
    }

    fn drain(&self, context: &Context, phase: DrainPhase) -> LocalBoxFuture<'static, ()> {
        let sessions = context.service::<Sessions>();
        async move {
            // Slots and leases were released in the previous phase.
            if phase == DrainPhase::Close {
                sessions.stop().await;
            }
        }
        .boxed_local()
    }
}

async fn maintain(sessions: Rc<Sessions>) {
    let timers = *sessions.context.timers();
    loop {
        let delay = match sessions.maintain().await {
            Ok(()) if sessions.is_written() => MAINTENANCE_INTERVAL,
            Ok(()) => ESTABLISH_INTERVAL,
            Err(error) => {
                sessions.log_failure("cannot write the session", &error);
                // Jitter avoids that all instances retry at once when the platform recovers.
                FAILURE_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())
            }
        };
        timers.sleep(delay).await;
    }
}

async fn collect_vouches(sessions: Rc<Sessions>) {
    let mut interval = sessions.context.timers().interval(VOUCH_PERIOD);
    loop {
        interval.tick().await;
        let round = Rc::clone(&sessions);
        // Rounds may overlap, so that a slow witness does not delay the vouches of the others.
        compio::runtime::spawn(async move { round.collect_vouches().await }).detach();
    }
}
