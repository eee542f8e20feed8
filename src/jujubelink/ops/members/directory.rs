//! Polls the platform's directory of instances and targets. The directory lags behind, and only
//! some instances poll it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use super::MemberTable;
use crate::core::config::ConfigSnapshot;
use crate::core::ids::TargetId;
use crate::core::spread::rendezvous_rank;
use crate::ops::kernel::Context;
use crate::ops::platform::PlatformClient;
use crate::ops::services::{ConfigService, MemberService, MemberState};

/// Time between reads of the directory by a polling instance.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Time between reads while this instance has no live members.
const ISOLATED_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Number of instances that poll. Three calls per [`POLL_INTERVAL`] are 0.6 calls/s for any fleet
/// size.
const POLLER_COUNT: usize = 3;

/// Seed of the rendezvous hash that selects the polling instances.
const POLLER_SEED: u64 = 0x706f_6c6c;

#[derive(Debug, Deserialize)]
struct Directory {
    instances: Vec<DirectoryEntry>,
}

#[derive(Debug, Deserialize)]
struct DirectoryEntry {
    address: SocketAddr,
    kind: String,
    state: String,
}

/// Reads the directory while this instance is one of the polling ones or has no live members.
pub(super) async fn poll(context: Context, table: std::rc::Rc<MemberTable>) {
    let mut listed_leaving = BTreeSet::new();
    let mut interval = context.timers().interval(ISOLATED_POLL_INTERVAL);
    let mut next_poll = context.timers().now();
    loop {
        interval.tick().await;
        let has_no_members = table.live_count() == 0;
        let now = context.timers().now();
        if !has_no_members && (now < next_poll || !is_poller(&table)) {
            continue;
        }
        next_poll = now + POLL_INTERVAL;
        let platform = context.service::<PlatformClient>();
        match platform.instances().await {
            Ok(list) => match Directory::deserialize(list) {
                Ok(directory) => apply_directory(&context, &table, directory, &mut listed_leaving),
                Err(error) => {
                    slog::warn!(context.log(), "cannot decode the directory of instances";
                        "error" => %error);
                }
            },
            Err(error) => {
                context.metrics().count("members.list_errors", 1);
                slog::debug!(context.log(), "cannot read the directory of instances";
                    "error" => %error);
            }
        }
    }
}

fn is_poller(table: &MemberTable) -> bool {
    let members = table.members();
    let live = members
        .iter()
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
        .map(|member| &*member.instance);
    rendezvous_rank(POLLER_SEED, &table.self_id(), live) < POLLER_COUNT
}

fn apply_directory(
    context: &Context,
    table: &MemberTable,
    directory: Directory,
    listed_leaving: &mut BTreeSet<TargetId>,
) {
    let settings = &context.settings().instance;
    let routers = directory
        .instances
        .iter()
        .filter(|entry| entry.kind == "router" && entry.state == "live")
        .map(|entry| entry.address);
    let has_other_routers = routers
        .clone()
        .any(|address| address != settings.peer_address);
    table.replace_seeds(settings.seeds.iter().copied().chain(routers));
    // The directory lists other routers but none responds: this instance may be partitioned.
    let is_isolated = has_other_routers && table.live_count() == 0;
    context
        .metrics()
        .gauge("members.is_isolated", u64::from(is_isolated));
    if let Some(config) = context.service::<dyn ConfigService>().current() {
        let leaving = leaving_targets(&config, &directory);
        // The directory lags behind, so its state "live" does not override what a target announced
        // itself. Only a change within the directory does.
        for target in leaving.difference(listed_leaving) {
            table.set_target_leaving(target, true);
        }
        for target in listed_leaving.difference(&leaving) {
            table.set_target_leaving(target, false);
        }
        *listed_leaving = leaving;
    }
}

fn leaving_targets(config: &ConfigSnapshot, directory: &Directory) -> BTreeSet<TargetId> {
    let leaving: BTreeSet<SocketAddr> = directory
        .instances
        .iter()
        .filter(|entry| entry.kind == "target" && entry.state == "leaving")
        .map(|entry| entry.address)
        .collect();
    let targets = config.fleet.targets.iter();
    targets
        .filter(|(_, target)| leaving.contains(&target.address))
        .map(|(id, _)| id.clone())
        .collect()
}
