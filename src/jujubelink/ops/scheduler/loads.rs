//! Polling of load reports.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;

use super::service::SchedulerState;
use crate::core::config::TargetKind;
use crate::core::ids::{TargetId, Timestamp};
use crate::core::routing::LoadReport;
use crate::ops::services::MemberService;
use crate::util::http::{RequestOptions, collect_limited, empty};

/// Rate at which an instance polls load reports in a large fleet, whatever the number of targets. A
/// request with its response takes less than 500 B, so this uses 2 KB/s of the 13 KB/s for control
/// traffic. Other parts are 2 KB/s for digests, 3 KB/s for cache events, and 5 KB/s for membership,
/// vouches, directories and charges.
pub const LOAD_POLLS_PER_S: u32 = 4;

/// The same in a fleet of at most [`SMALL_FLEET`] instances, where directories and per-call charges
/// take less traffic.
const SMALL_FLEET_LOAD_POLLS_PER_S: u32 = 12;
const SMALL_FLEET: usize = 32;

/// One in this many polls goes to a target without requests from this instance, to notice also when
/// an unused target leaves or is busy loading weights.
const IDLE_POLL_INTERVAL: u64 = 4;

const POLL_TIMEOUT: Duration = Duration::from_millis(500);

const MAX_REPORT_BYTES: usize = 4096;

/// Periodically polls the target whose last poll is oldest among those that have requests from this
/// instance, and in one of [`IDLE_POLL_INTERVAL`] rounds among those that have none.
pub(super) async fn poll_loads(state: Rc<SchedulerState>) {
    let timers = *state.context.timers();
    let mut last_polls: HashMap<TargetId, Timestamp> = HashMap::new();
    let mut round = 0u64;
    loop {
        // Jitter keeps instances from polling a target at the same time.
        let jitter = 0.5 + rand::random::<f64>();
        timers.sleep(poll_period(&state).mul_f64(jitter)).await;
        round += 1;
        let prefers_idle = round.is_multiple_of(IDLE_POLL_INTERVAL);
        let Some((target, address)) = next_target(&state, &mut last_polls, prefers_idle) else {
            continue;
        };
        last_polls.insert(target.clone(), state.now());
        let state = Rc::clone(&state);
        compio::runtime::spawn(async move { poll(&state, &target, address).await }).detach();
    }
}

fn poll_period(state: &SchedulerState) -> Duration {
    let members = state.context.service::<dyn MemberService>().members();
    let polls = if members.len() < SMALL_FLEET {
        SMALL_FLEET_LOAD_POLLS_PER_S
    } else {
        LOAD_POLLS_PER_S
    };
    Duration::from_secs(1) / polls
}

fn next_target(
    state: &SchedulerState,
    last_polls: &mut HashMap<TargetId, Timestamp>,
    prefers_idle: bool,
) -> Option<(TargetId, SocketAddr)> {
    let config = state.config()?;
    last_polls.retain(|target, _| config.fleet.targets.contains_key(target));
    let scheduler = state.scheduler.borrow();
    let table = scheduler.router().targets();
    let has_local_requests = |id: &str| {
        table
            .index(id)
            .is_some_and(|index| table.get(index).load.local_requests() > 0)
    };
    config
        .fleet
        .targets
        .iter()
        .filter(|(_, target)| target.kind != TargetKind::KvStore)
        .min_by_key(|(id, _)| {
            let last_poll = last_polls.get(*id).copied();
            (has_local_requests(id) == prefers_idle, last_poll)
        })
        .map(|(id, target)| (id.clone(), target.address))
}

async fn poll(state: &Rc<SchedulerState>, target: &TargetId, address: SocketAddr) {
    let request = Request::get("/v1/load")
        .header("host", address.to_string())
        .body(empty())
        .expect("the request is valid");
    let read = async {
        let response = state
            .client
            .send(address, request, RequestOptions::default())
            .await
            .map_err(|error| error.to_string())?;
        let is_success = response.status().is_success();
        let body = collect_limited(response.into_body(), MAX_REPORT_BYTES)
            .await
            .map_err(|error| error.to_string())?
            .ok_or("the report is too large")?;
        if !is_success {
            return Err("the target provides no load report".to_owned());
        }
        serde_json::from_slice::<LoadReport>(&body).map_err(|error| error.to_string())
    };
    let result = state.context.timers().timeout(POLL_TIMEOUT, read).await;
    match result.unwrap_or_else(|| Err("timed out waiting for the report".to_owned())) {
        Ok(report) => apply_report(state, target, &report),
        Err(error) => {
            state
                .context
                .metrics()
                .count("scheduler.load_polls_failed", 1);
            state.warn("cannot read a load report", target, &error);
        }
    }
}

fn apply_report(state: &Rc<SchedulerState>, target: &TargetId, report: &LoadReport) {
    let is_leaving = report.reported_state().is_leaving;
    let mut scheduler = state.scheduler.borrow_mut();
    let table = scheduler.router().targets();
    let was_leaving = table
        .index(target)
        .is_some_and(|index| table.get(index).reported.is_leaving);
    scheduler.on_load(target, report, state.now());
    drop(scheduler);
    if was_leaving != is_leaving {
        // Only a change that the target itself reports is propagated; a drain set by an operator
        // remains set.
        let members = state.context.service::<dyn MemberService>();
        members.set_target_leaving(target, is_leaving);
    }
    state.dispatch_waiting();
}
