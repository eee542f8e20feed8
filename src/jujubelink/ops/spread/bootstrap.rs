//! Loads the first configuration of a starting instance.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;

use super::calls;
use super::push::random_members;
use super::server::Components;
use super::state::CONFIG_OBJECT;
use crate::core::config::{ConfigSnapshot, StoredConfig};
use crate::ops::platform::PlatformClient;

/// Number of members that are queried in a round.
const MAX_PEERS_QUERIED: usize = 3;

/// Time to wait for the newest configuration among the responses. A response of the platform also
/// waits up to this long for the revocations of one member.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between rounds while there is no configuration.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Default)]
struct CollectedResponses {
    newest: RefCell<Option<ConfigSnapshot>>,
    has_member_responded: Cell<bool>,
    is_closed: Cell<bool>,
}

impl CollectedResponses {
    /// Keeps the snapshot with the largest version until the response timeout; later snapshots are
    /// activated directly.
    fn add(&self, components: &Components, snapshot: ConfigSnapshot) {
        if self.is_closed.get() {
            components.state.adopt(snapshot);
            return;
        }
        let mut newest = self.newest.borrow_mut();
        if newest
            .as_ref()
            .is_none_or(|newest| newest.version < snapshot.version)
        {
            *newest = Some(snapshot);
        }
    }
}

/// Queries the platform and some members until there is a configuration.
pub(super) async fn load_initial_config(components: Rc<Components>) {
    while components.state.version() == 0 {
        run_round(&components).await;
    }
}

async fn run_round(components: &Rc<Components>) {
    let timers = *components.context.timers();
    let started_at = timers.now();
    let collected = Rc::new(CollectedResponses::default());
    let peers = select_peers(components);
    for address in &peers {
        spawn(query_member(
            Rc::clone(components),
            Rc::clone(&collected),
            *address,
        ));
    }
    spawn(query_platform(Rc::clone(components), Rc::clone(&collected)));
    while timers.now() < started_at + RESPONSE_TIMEOUT {
        timers.sleep(Duration::from_millis(10)).await;
        let has_member_response = collected.has_member_responded.get() || peers.is_empty();
        if has_member_response && collected.newest.borrow().is_some() {
            break;
        }
    }
    collected.is_closed.set(true);
    if let Some(snapshot) = collected.newest.take() {
        components.state.adopt(snapshot);
    }
    // Late responses are still used, so the next round does not start immediately.
    while components.state.version() == 0 && timers.now() < started_at + ROUND_INTERVAL {
        timers.sleep(Duration::from_millis(20)).await;
    }
}

fn select_peers(components: &Components) -> BTreeSet<SocketAddr> {
    let mut peers: BTreeSet<_> = random_members(&components.members, MAX_PEERS_QUERIED)
        .into_iter()
        .collect();
    let settings = &components.context.settings().instance;
    let seeds: Vec<_> = settings
        .seeds
        .iter()
        .filter(|seed| **seed != settings.peer_address)
        .copied()
        .collect();
    let missing = MAX_PEERS_QUERIED.saturating_sub(peers.len());
    peers.extend(seeds.choose_multiple(&mut rand::rng(), missing));
    peers
}

async fn query_member(
    components: Rc<Components>,
    collected: Rc<CollectedResponses>,
    address: SocketAddr,
) {
    let members = calls::fetch_members(&components.context, &components.members, address);
    let fetched = calls::fetch(&components.context, &components.state, address);
    let (_, fetched) = futures_util::join!(members, fetched);
    match fetched {
        Ok(fetched) => {
            fetched.apply_revocations_and_quarantine(&components.state, &components.gossip);
            if let Some(snapshot) = fetched.snapshot {
                collected.has_member_responded.set(true);
                collected.add(&components, snapshot);
            }
        }
        Err(error) => {
            slog::debug!(components.context.log(), "cannot fetch the configuration from a member";
                "error" => format!("{error:#}"));
        }
    }
}

async fn query_platform(components: Rc<Components>, collected: Rc<CollectedResponses>) {
    let platform = components.context.service::<PlatformClient>();
    let response = platform.read(CONFIG_OBJECT).await;
    match response.and_then(|object| object.map(|object| object.parse()).transpose()) {
        Ok(Some(StoredConfig {
            version, config, ..
        })) => collected.add(&components, ConfigSnapshot::new(version, config)),
        Ok(None) => {
            slog::debug!(
                components.context.log(),
                "the platform has no configuration"
            );
        }
        Err(error) => {
            slog::debug!(components.context.log(),
                "cannot read the configuration from the platform";
                "error" => %error);
        }
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}
