//! Polls of load reports.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;

use super::service::Shared;
use crate::core::config::TargetKind;
use crate::core::ids::{TargetId, Timestamp};
use crate::core::routing::LoadReport;
use crate::ops::services::MemberService;
use crate::util::http::{RequestOptions, collect_limited, empty};

/// Load reports that an instance asks for in a second in a large fleet, whatever the number of
/// targets. A request and its answer with heads take under 500 B, so this is 2 KB/s of the 13 KB/s
/// for control work. The other parts are 2 KB/s of digests, 3 KB/s of cache events, and 5 KB/s for
/// membership, vouches, directories and charges.
pub const LOAD_POLLS_PER_S: u32 = 4;

/// The same in a fleet of at most [`SMALL_FLEET`] instances, where directories and charges by call
/// take less.
const SMALL_FLEET_LOAD_POLLS_PER_S: u32 = 12;
const SMALL_FLEET: usize = 32;

/// Every this many polls, one goes to a target without own requests, so that a target that leaves
/// or loads while it is not used is noticed too.
const IDLE_POLL_EVERY: u64 = 4;

/// Time for a report.
const POLL_LIMIT: Duration = Duration::from_millis(500);

/// Largest report.
const MAX_REPORT_BYTES: usize = 4096;

/// Asks for the report of the target with own requests whose report is oldest, again and again.
pub(super) async fn poll_loads(shared: Rc<Shared>) {
    let timers = *shared.context.timers();
    let mut polled: HashMap<TargetId, Timestamp> = HashMap::new();
    let mut round = 0u64;
    loop {
        // A random part of the pause keeps instances from polling a target together.
        let jitter = 0.5 + rand::random::<f64>();
        timers.sleep(pause(&shared).mul_f64(jitter)).await;
        round += 1;
        let wants_idle = round.is_multiple_of(IDLE_POLL_EVERY);
        let Some((target, address)) = next_target(&shared, &mut polled, wants_idle) else {
            continue;
        };
        polled.insert(target.clone(), shared.now());
        let shared = Rc::clone(&shared);
        compio::runtime::spawn(async move { poll(&shared, &target, address).await }).detach();
    }
}

fn pause(shared: &Shared) -> Duration {
    let members = shared.context.service::<dyn MemberService>().members();
    let polls = if members.len() < SMALL_FLEET {
        SMALL_FLEET_LOAD_POLLS_PER_S
    } else {
        LOAD_POLLS_PER_S
    };
    Duration::from_secs(1) / polls
}

fn next_target(
    shared: &Shared,
    polled: &mut HashMap<TargetId, Timestamp>,
    wants_idle: bool,
) -> Option<(TargetId, SocketAddr)> {
    let config = shared.config()?;
    polled.retain(|target, _| config.fleet.targets.contains_key(target));
    let scheduler = shared.scheduler.borrow();
    let table = scheduler.router().targets();
    let is_used = |id: &str| {
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
            let last = polled.get(*id).copied();
            (is_used(id) == wants_idle, last)
        })
        .map(|(id, target)| (id.clone(), target.address))
}

async fn poll(shared: &Rc<Shared>, target: &TargetId, address: SocketAddr) {
    let request = Request::get("/v1/load")
        .header("host", address.to_string())
        .body(empty())
        .expect("a valid request");
    let answer = async {
        let response = shared
            .client
            .send(address, request, RequestOptions::default())
            .await
            .map_err(|error| error.to_string())?;
        let is_found = response.status().is_success();
        let body = collect_limited(response.into_body(), MAX_REPORT_BYTES)
            .await
            .map_err(|error| error.to_string())?
            .ok_or("the report is too large")?;
        if !is_found {
            return Err("the target reports no load".to_owned());
        }
        serde_json::from_slice::<LoadReport>(&body).map_err(|error| error.to_string())
    };
    let answer = shared.context.timers().timeout(POLL_LIMIT, answer).await;
    match answer.unwrap_or_else(|| Err("no report in time".to_owned())) {
        Ok(report) => take_report(shared, target, &report),
        Err(error) => {
            shared
                .context
                .metrics()
                .count("scheduler.load_polls_failed", 1);
            shared.warn("cannot read a load report", target, &error);
        }
    }
}

fn take_report(shared: &Rc<Shared>, target: &TargetId, report: &LoadReport) {
    let is_leaving = report.reported_state().is_leaving;
    let mut scheduler = shared.scheduler.borrow_mut();
    let table = scheduler.router().targets();
    let was_leaving = table
        .index(target)
        .is_some_and(|index| table.get(index).reported.is_leaving);
    scheduler.on_load(target, report, shared.now());
    drop(scheduler);
    if was_leaving != is_leaving {
        // Only a change that the target itself reports is spread; an operator's drain stays.
        let members = shared.context.service::<dyn MemberService>();
        members.set_target_leaving(target, is_leaving);
    }
    shared.pump();
}
