//! The other instances.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use serde::Serialize;

use super::exchange::MIN_SEND_INTERVAL;
use super::limits::Buckets;
use super::message::{
    LastReceived, LoadingEngine, ModelWeights, ShareMessage, Suspect, WorkspaceUsage,
};
use crate::core::fleet::{Announcement, FreshnessProof};
use crate::core::ids::{ConfigVersion, Incarnation, InstanceId, ModelId, TargetId, Timestamp};
use crate::core::quota::{PeerUsage, contact_digest};
use crate::ops::fleet::Fleet;
use crate::ops::kernel::{Context, Lifecycle};
use crate::ops::services::{
    GossipHandler, GossipItem, GossipService, Member, MemberService, MemberState, SchedulerService,
};
use crate::ops::store::InstanceRecord;
use crate::util::duration::ms;
use crate::util::hash::stable_hash;
use crate::util::http::{Client, empty};

/// Messages per second that an instance sends at most; with more peers than this allows for, each is
/// told less often.
const MAX_MESSAGES_PER_S: u32 = 40;

/// Periods without an echo after which a peer is out of contact. Datagrams are lost at times.
const CONTACT_TIMEOUT_INTERVALS: u32 = 4;

/// Periods without agreement on who is in contact after which a limit is not shared any more. Each
/// instance notices a lost or new peer in another period.
const AGREEMENT_TIMEOUT_INTERVALS: u32 = 6;

/// Silence after which an instance is taken for removed for good, longer than any freeze or partition
/// that machines come back from.
const PEER_RETENTION: Duration = Duration::from_secs(30);

/// Time for which an observation or a suspect is repeated in messages.
const REBROADCAST_DURATION: Duration = Duration::from_secs(1);

/// Observations and suspects that are repeated at a time; the oldest is dropped at the bound.
const MAX_REBROADCAST_ITEMS: usize = 32;

/// Part of the tolerance of a limit that the first levels of all buckets may use. The rest covers
/// what is used between two messages.
const INITIAL_LEVEL_RATIO: f64 = 0.4;

/// Starts that lie closer together count as the same: all instances of a fleet start within 0.3 s.
pub(super) const START_TIME_TOLERANCE: Duration = Duration::from_millis(1_000);

/// Time for which an engine counts as loading after a message said so: two of the messages that an
/// instance sends while it has engines load.
const LOADING_TTL: Duration = Duration::from_millis(400);

/// Peers that are kept; further ones are not heard.
const MAX_PEERS: usize = 1_024;

/// Paths of the configuration and of the list of targets at a peer.
pub(super) const POLICY_PATH: &str = "/configuration";
pub(super) const TARGETS_PATH: &str = "/targets";

/// Time for a peer to pass on what it is asked for.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Peers that are asked one after the other.
const MAX_FETCH_ATTEMPTS: usize = 2;

/// Largest configuration or list.
const MAX_FETCHED_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    incarnation: Incarnation,
    /// Time of the peer's machine at which its last message was made.
    remote_sent_at_ms: u64,
    /// When that message arrived, or when the peer was first listed.
    last_received_at: Timestamp,
    /// Own time that the peer last echoed: it has heard a message of that time.
    echoed_at: Timestamp,
    pub(super) config_version: ConfigVersion,
    proof: Option<FreshnessProof>,
    /// When a message last showed that the peer is in contact with the same instances as this one.
    contacts_agreed_at: Option<Timestamp>,
    is_leaving: bool,
    /// When the peer's process started.
    pub(super) started_at: Timestamp,
    /// Until when the peer is not asked for news.
    pub(super) backoff_until: Timestamp,
}

/// The other instances as this one hears them, with the shared limits.
pub struct Peers {
    pub(super) context: Context,
    pub(super) fleet: Rc<Fleet>,
    name: InstanceId,
    started_at: Timestamp,
    pub(super) table: RefCell<BTreeMap<InstanceId, Peer>>,
    has_instance_list: Cell<bool>,
    pub(super) buckets: Buckets,
    weights_confirmed_at: Cell<Option<Timestamp>>,
    observed: RefCell<VecDeque<(Timestamp, ModelWeights)>>,
    suspects: RefCell<VecDeque<(Timestamp, Suspect)>>,
    loading: RefCell<Vec<LoadingEngine>>,
    handlers: RefCell<Vec<GossipHandler>>,
    client: Client,
}

impl Peers {
    /// A table without peers.
    pub(super) fn new(context: &Context, fleet: Rc<Fleet>) -> Self {
        Self {
            name: fleet.settings().machine.as_str().into(),
            started_at: fleet.started_at(),
            context: context.clone(),
            fleet,
            table: RefCell::default(),
            has_instance_list: Cell::new(false),
            buckets: Buckets::default(),
            weights_confirmed_at: Cell::new(None),
            observed: RefCell::default(),
            suspects: RefCell::default(),
            loading: RefCell::default(),
            handlers: RefCell::default(),
            client: Client::new(),
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        self.context.timers().boot_now()
    }

    /// Name of this instance.
    pub fn name(&self) -> &InstanceId {
        &self.name
    }

    /// Time between messages to each peer, which grows with their number.
    pub(super) fn send_interval(&self) -> Duration {
        let peers = self.table.borrow().len() as u32;
        MIN_SEND_INTERVAL.max(Duration::from_secs(1) * peers / MAX_MESSAGES_PER_S)
    }

    /// Whether engines carry out an order of this instance.
    pub(super) fn has_loading_engines(&self) -> bool {
        !self.loading.borrow().is_empty()
    }

    fn contact_timeout(&self) -> Duration {
        self.send_interval() * CONTACT_TIMEOUT_INTERVALS
    }

    pub(super) fn is_in_contact(&self, peer: &Peer, now: Timestamp) -> bool {
        let limit = self.contact_timeout();
        let is_recent = |at: Timestamp| at >= self.started_at && now.saturating_sub(at) < limit;
        is_recent(peer.last_received_at) && is_recent(peer.echoed_at) && !peer.is_leaving
    }

    /// Whether what one of the two leaves unused of a limit is the other's to use.
    fn shares_limits(&self, peer: &Peer, now: Timestamp) -> bool {
        let has_agreed = peer.contacts_agreed_at.is_some_and(|at| {
            now.saturating_sub(at) < self.send_interval() * AGREEMENT_TIMEOUT_INTERVALS
        });
        has_agreed && self.is_in_contact(peer, now)
    }

    /// Digest of the instances in contact, this one included.
    fn contact_digest(&self, now: Timestamp) -> u64 {
        let table = self.table.borrow();
        let in_contact = table
            .iter()
            .filter(|(_, peer)| self.is_in_contact(peer, now))
            .map(|(name, _)| name);
        contact_digest(in_contact.chain([&self.name]))
    }

    /// Whether the instances of the fleet are known; until then limits cannot be shared.
    pub fn has_instance_list(&self) -> bool {
        self.has_instance_list.get()
    }

    /// Units that a new bucket may hold: this instance's share of a part of what the limit tolerates
    /// beyond itself.
    pub(super) fn initial_level(&self, rate_per_s: f64, burst: f64) -> f64 {
        let settings = self.fleet.settings();
        let limit = rate_per_s * settings.quota_window_s + burst;
        let tolerated = limit * settings.quota_overage + settings.quota_slack;
        tolerated * INITIAL_LEVEL_RATIO / self.fleet_size() as f64
    }

    /// Instances of the fleet, this one included.
    pub fn fleet_size(&self) -> usize {
        self.table.borrow().len() + 1
    }

    /// Live instances that come before this one: those that started clearly later, and then by name.
    /// Instances are often stopped one after the other, so that the youngest one stays longest.
    pub fn rank(&self) -> u32 {
        let now = self.now();
        let table = self.table.borrow();
        let is_before = |name: &InstanceId, peer: &Peer| {
            if peer.started_at > self.started_at + START_TIME_TOLERANCE {
                return true;
            }
            peer.started_at + START_TIME_TOLERANCE >= self.started_at && *name < self.name
        };
        let before = table
            .iter()
            .filter(|(name, peer)| self.is_in_contact(peer, now) && is_before(name, peer));
        before.count() as u32
    }

    /// Whether another instance is in contact.
    pub fn is_reachable(&self, name: &str) -> bool {
        let now = self.now();
        let table = self.table.borrow();
        table
            .get(name)
            .is_some_and(|peer| self.is_in_contact(peer, now))
    }

    /// Newest version of the configuration that a peer has.
    pub fn newest_config_version(&self) -> ConfigVersion {
        let table = self.table.borrow();
        let versions = table.values().map(|peer| peer.config_version);
        versions.max().unwrap_or(0)
    }

    /// When the named weights were last read, by whichever instance.
    pub fn weights_confirmed_at(&self) -> Option<Timestamp> {
        self.weights_confirmed_at.get()
    }

    /// Notes a reading of the named weights.
    pub fn record_weights_confirmed(&self, asked_at: Timestamp) {
        let newest = self.weights_confirmed_at.get().max(Some(asked_at));
        self.weights_confirmed_at.set(newest);
    }

    /// Uses the proofs of peers for a version that has just come into force here.
    pub fn apply_peer_proofs(&self, version: ConfigVersion) {
        let table = self.table.borrow();
        let proofs = table.values().filter_map(|peer| peer.proof);
        for proof in proofs.filter(|proof| proof.version == version) {
            self.fleet.on_proof(proof);
        }
    }

    /// Tells the others which weights a target was seen with.
    pub fn publish_observed_weights(
        &self,
        target: &TargetId,
        incarnation: Incarnation,
        model: &ModelId,
        version: u64,
    ) {
        let observed = ModelWeights {
            target: target.to_string(),
            incarnation,
            model: model.to_string(),
            version,
            named_ago_ms: None,
        };
        queue_rebroadcast(&self.observed, self.now(), observed);
    }

    /// Tells the others, as long as it holds, which engines carry out an order and refuse requests.
    pub fn set_loading_engines(&self, loading: impl Iterator<Item = (TargetId, Incarnation)>) {
        let loading = loading.map(|(target, incarnation)| LoadingEngine {
            target: target.to_string(),
            incarnation,
        });
        self.loading.replace(loading.collect());
        self.mark_engines_busy(&self.loading.borrow());
    }

    /// Keeps requests from engines that load, until the next message at most.
    fn mark_engines_busy(&self, loading: &[LoadingEngine]) {
        let scheduler = self.context.service::<dyn SchedulerService>();
        for held in loading {
            let target: TargetId = held.target.as_str().into();
            if self.fleet.state().is_current_run(&target, held.incarnation) {
                scheduler.mark_busy(&target, LOADING_TTL);
            }
        }
    }

    /// Takes the list of instances of the store. Returns those that have been silent for so long
    /// that their entry can be removed.
    pub(super) fn apply_instance_list(&self, listed: Vec<InstanceRecord>) -> Vec<InstanceId> {
        let now = self.now();
        let mut table = self.table.borrow_mut();
        for record in listed {
            let name: InstanceId = record.name.as_str().into();
            if name == self.name || table.len() >= MAX_PEERS {
                continue;
            }
            let address = record.address;
            let peer = table.entry(name.clone()).or_insert_with(|| {
                slog::info!(self.context.log(), "instance listed"; "peer" => &*name,
                    "address" => address.to_string());
                Peer::new(address, now)
            });
            peer.address = address;
        }
        self.has_instance_list.set(true);
        let expired: Vec<InstanceId> = table
            .iter()
            .filter(|(_, peer)| now.saturating_sub(peer.last_received_at) > PEER_RETENTION)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            slog::info!(self.context.log(), "instance forgotten"; "peer" => &**name);
            table.remove(name);
        }
        drop(table);
        self.refresh_contacts();
        expired
    }

    /// Brings the shared limits in line with who is in contact now.
    pub(super) fn refresh_contacts(&self) {
        let now = self.now();
        let table = self.table.borrow();
        let contacts: Vec<(InstanceId, bool)> = table
            .iter()
            .map(|(name, peer)| (name.clone(), self.shares_limits(peer, now)))
            .collect();
        drop(table);
        self.buckets.set_peers(&contacts, now);
    }

    /// Addresses that get a message in a round of [`MIN_SEND_INTERVAL`]. Those of a large fleet get theirs in
    /// turn: datagrams of all at once would overflow the machine's link, and the same ones be lost each
    /// time.
    pub(super) fn addresses_due(&self, round: u32) -> Vec<SocketAddr> {
        let rounds =
            (self.send_interval().as_millis() / MIN_SEND_INTERVAL.as_millis()).max(1) as u32;
        let table = self.table.borrow();
        let is_due = |index: u32| self.has_loading_engines() || index % rounds == round % rounds;
        let in_turn = (0..)
            .zip(table.values())
            .filter(|(index, _)| is_due(*index));
        let mut due: BTreeSet<SocketAddr> = in_turn.map(|(_, peer)| peer.address).collect();
        drop(table);
        due.extend(self.watcher_addresses());
        due.into_iter().collect()
    }

    /// The message to all peers.
    pub(super) fn message(&self) -> ShareMessage {
        let now = self.now();
        let heard = self.table.borrow();
        let heard = heard
            .iter()
            .filter(|(_, peer)| peer.remote_sent_at_ms > 0)
            .map(|(name, peer)| LastReceived {
                name_hash: stable_hash(0, name.as_bytes()),
                sent_at_ms: peer.remote_sent_at_ms,
            });
        let state = self.fleet.state();
        let proof = state.proof();
        let age = |asked_at: Timestamp| ms(now.saturating_sub(asked_at));
        ShareMessage {
            name: self.name.to_string(),
            incarnation: self.context.incarnation(),
            sent_at_ms: ms(now),
            heard: heard.collect(),
            uses: self.buckets.totals(),
            config_version: state.config_version(),
            config_age_ms: proof.map(|proof| age(proof.requested_at)),
            named: state
                .announcements()
                .map(|(model, version, at)| ModelWeights {
                    model: model.to_string(),
                    version,
                    named_ago_ms: at.map(age),
                    ..ModelWeights::default()
                })
                .collect(),
            named_age_ms: self.weights_confirmed_at.get().map(age),
            observed: pending_rebroadcasts(&self.observed, now),
            suspects: pending_rebroadcasts(&self.suspects, now),
            loading: self.loading.borrow().clone(),
            uptime_ms: ms(now.saturating_sub(self.started_at)),
            contact_digest: self.contact_digest(now),
            is_leaving: self.context.shutdown().lifecycle() != Lifecycle::Running,
        }
    }

    /// Takes a message.
    pub(super) fn on_message(&self, message: ShareMessage, from: SocketAddr) {
        let name: InstanceId = message.name.as_str().into();
        if name == self.name {
            return;
        }
        let now = self.now();
        let previously_confirmed_at = self.weights_confirmed_at();
        let local_hash = stable_hash(0, self.name.as_bytes());
        let echoed = message
            .heard
            .iter()
            .find(|heard| heard.name_hash == local_hash)
            .map(|heard| Duration::from_millis(heard.sent_at_ms))
            .filter(|at| *at >= self.started_at && *at <= now);
        let mut table = self.table.borrow_mut();
        if !table.contains_key(&name) && table.len() >= MAX_PEERS {
            return;
        }
        let peer = table.entry(name.clone()).or_insert_with(|| {
            slog::info!(self.context.log(), "instance heard"; "peer" => &*name,
                "address" => from.to_string());
            Peer::new(from, now)
        });
        let is_restart = peer.incarnation != message.incarnation;
        if !is_restart && message.sent_at_ms <= peer.remote_sent_at_ms {
            return;
        }
        peer.address = from;
        peer.incarnation = message.incarnation;
        peer.remote_sent_at_ms = message.sent_at_ms;
        peer.last_received_at = now;
        peer.config_version = message.config_version;
        peer.is_leaving = message.is_leaving;
        peer.started_at = now.saturating_sub(Duration::from_millis(message.uptime_ms));
        if let Some(echoed) = echoed {
            peer.echoed_at = peer.echoed_at.max(echoed);
            // The message was made after the echoed one arrived, so that what it calls `age` old is
            // no older than this on the clock here, however long the message itself took.
            let requested_at = |age_ms: u64| echoed.checked_sub(Duration::from_millis(age_ms));
            peer.proof = message
                .config_age_ms
                .and_then(requested_at)
                .map(|requested_at| FreshnessProof {
                    version: message.config_version,
                    requested_at,
                });
            if let Some(proof) = peer.proof {
                self.fleet.on_proof(proof);
            }
            if let Some(at) = message.named_age_ms.and_then(requested_at) {
                self.record_weights_confirmed(at);
            }
        }
        drop(table);
        let has_agreed = message.contact_digest == self.contact_digest(now);
        if has_agreed && let Some(peer) = self.table.borrow_mut().get_mut(&name) {
            peer.contacts_agreed_at = Some(now);
        }
        self.refresh_contacts();
        for used in &message.uses {
            let report = PeerUsage {
                incarnation: message.incarnation,
                total: used.total,
            };
            self.buckets.on_report(&used.workspace, &name, report, now);
        }
        self.mark_engines_busy(&message.loading);
        self.apply_weights(&message, &name, previously_confirmed_at);
        for suspect in &message.suspects {
            let item = GossipItem::Quarantine {
                fingerprint: suspect.fingerprint,
                crashes: suspect.crashes,
                remaining: Duration::from_millis(suspect.remaining_ms),
            };
            for handler in self.handlers.borrow().iter() {
                handler(&item);
            }
        }
    }

    /// Takes the weights that a message tells of. Before it, this instance knew the named ones as of
    /// `known_until`.
    fn apply_weights(&self, message: &ShareMessage, name: &str, known_until: Option<Timestamp>) {
        let now = self.now();
        let named: Vec<(ModelId, u64, Announcement)> = message
            .named
            .iter()
            .map(|named| {
                let ago = named.named_ago_ms.map(Duration::from_millis);
                let at = ago.map(|ago| now.saturating_sub(ago));
                let announcement =
                    Announcement::received(at, known_until, self.fleet.assumed_announced_at());
                (named.model.as_str().into(), named.version, announcement)
            })
            .collect();
        self.fleet.on_weights_announced(&named, name);
        for seen in &message.observed {
            let target: TargetId = seen.target.as_str().into();
            let is_current_run = self.fleet.state().is_current_run(&target, seen.incarnation);
            if is_current_run {
                let model = seen.model.as_str().into();
                self.fleet
                    .on_observed_weights(&target, &model, seen.version);
            }
        }
    }

    /// Asks the peers with the newest configuration for it. Returns its stored form and the peer's
    /// name.
    pub async fn fetch_policy(&self) -> Option<(String, Bytes)> {
        let newest = self.newest_config_version();
        self.fetch(POLICY_PATH, |peer| peer.config_version == newest)
            .await
    }

    /// Asks peers in contact for their list of targets. Returns it and the peer's name.
    pub async fn fetch_targets(&self) -> Option<(String, Bytes)> {
        let now = self.now();
        self.fetch(TARGETS_PATH, |peer| self.is_in_contact(peer, now))
            .await
    }

    /// Asks up to [`MAX_FETCH_ATTEMPTS`] random peers that `is_candidate` selects.
    async fn fetch(
        &self,
        path: &'static str,
        is_candidate: impl Fn(&Peer) -> bool,
    ) -> Option<(String, Bytes)> {
        let mut candidates: Vec<(InstanceId, SocketAddr)> = self
            .table
            .borrow()
            .iter()
            .filter(|(_, peer)| is_candidate(peer))
            .map(|(name, peer)| (name.clone(), peer.address))
            .collect();
        let seed: u64 = rand::random();
        candidates.sort_by_key(|(name, _)| stable_hash(seed, name.as_bytes()));
        for (name, address) in candidates.into_iter().take(MAX_FETCH_ATTEMPTS) {
            if let Some(raw) = self.fetch_from(address, path, FETCH_TIMEOUT).await {
                return Some((name.to_string(), raw));
            }
            slog::warn!(self.context.log(), "a peer did not pass on what it was asked for";
                "peer" => &*name, "path" => path);
        }
        None
    }

    /// Asks the peer at an address. Without an answer in time its connections are closed.
    pub(super) async fn fetch_from(
        &self,
        address: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Option<Bytes> {
        let request = Request::builder()
            .uri(path)
            .header("host", address.to_string())
            .body(empty())
            .ok()?;
        let call = self.client.call(address, request, limit, MAX_FETCHED_BYTES);
        match call.await {
            Ok((StatusCode::OK, raw)) => Some(raw),
            _ => {
                self.client.close_address(address);
                None
            }
        }
    }

    /// The JSON text of what is passed on to a peer.
    pub(super) fn encode(&self, passed: &impl Serialize) -> Option<Bytes> {
        match serde_json::to_vec(passed) {
            Ok(raw) => Some(raw.into()),
            Err(error) => {
                slog::error!(self.context.log(), "cannot encode what is passed on to a peer";
                    "error" => %error);
                None
            }
        }
    }
}

impl Peer {
    fn new(address: SocketAddr, now: Timestamp) -> Self {
        Self {
            address,
            incarnation: 0,
            remote_sent_at_ms: 0,
            last_received_at: now,
            echoed_at: Timestamp::ZERO,
            config_version: 0,
            proof: None,
            contacts_agreed_at: None,
            is_leaving: false,
            started_at: Timestamp::ZERO,
            backoff_until: Timestamp::ZERO,
        }
    }
}

fn queue_rebroadcast<T>(list: &RefCell<VecDeque<(Timestamp, T)>>, now: Timestamp, item: T) {
    let mut list = list.borrow_mut();
    if list.len() >= MAX_REBROADCAST_ITEMS {
        list.pop_front();
    }
    list.push_back((now + REBROADCAST_DURATION, item));
}

fn pending_rebroadcasts<T: Clone>(
    list: &RefCell<VecDeque<(Timestamp, T)>>,
    now: Timestamp,
) -> Vec<T> {
    let mut list = list.borrow_mut();
    list.retain(|(until, _)| now < *until);
    list.iter().map(|(_, item)| item.clone()).collect()
}

impl MemberService for Peers {
    fn self_id(&self) -> InstanceId {
        self.name.clone()
    }

    fn self_incarnation(&self) -> Incarnation {
        self.context.incarnation()
    }

    fn members(&self) -> Vec<Member> {
        let now = self.now();
        let table = self.table.borrow();
        let members = table.iter().map(|(name, peer)| Member {
            instance: name.clone(),
            incarnation: peer.incarnation,
            state: match (peer.is_leaving, self.is_in_contact(peer, now)) {
                (true, _) => MemberState::Leaving,
                (false, true) => MemberState::Alive,
                (false, false) => MemberState::Suspect,
            },
            failure_domain: String::new(),
            region: String::new(),
            config_version: peer.config_version,
        });
        members.collect()
    }

    fn leave(&self) {}

    fn leaving_targets(&self) -> Rc<std::collections::BTreeSet<TargetId>> {
        let state = self.fleet.state();
        let leaving = state.targets().filter(|record| state.is_leaving(record));
        Rc::new(leaving.map(|record| record.id.clone()).collect())
    }

    fn set_target_leaving(&self, target: &TargetId, is_leaving: bool) {
        if is_leaving {
            self.fleet.set_leaving(target);
        }
    }
}

impl GossipService for Peers {
    fn publish(&self, item: GossipItem) {
        // Digests of cached prefixes are not exchanged here: placement by rendezvous hashing needs
        // none at this size.
        if let GossipItem::Quarantine {
            fingerprint,
            crashes,
            remaining,
        } = item
        {
            let suspect = Suspect {
                fingerprint,
                crashes,
                remaining_ms: ms(remaining),
            };
            queue_rebroadcast(&self.suspects, self.now(), suspect);
        }
    }

    fn subscribe(&self, handler: GossipHandler) {
        self.handlers.borrow_mut().push(handler);
    }
}

/// Use of limits in a message.
pub(super) fn workspace_usage(workspace: &str, total: u64) -> WorkspaceUsage {
    WorkspaceUsage {
        workspace: workspace.to_owned(),
        total,
    }
}
