//! Table of the other instances, and the content of the messages exchanged with them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use serde::Serialize;

use super::limits::Buckets;
use super::message::{LastReceived, LoadingEngine, ModelWeights, PeerMessage, WorkspaceUsage};
use crate::core::crash::InstancePlace;
use crate::core::fleet::{
    Announcement, FreshnessProof, InstancePosition, MessageSchedule, StorePosition,
};
use crate::core::ids::{
    ConfigVersion, Incarnation, InstanceId, ModelId, ObjectVersion, TargetId, Timestamp,
};
use crate::core::quota::{PeerUsage, contact_digest};
use crate::ops::canary::Canary;
use crate::ops::fleet::Fleet;
use crate::ops::kernel::{Context, Lifecycle};
use crate::ops::quarantine::{Quarantine, StoredEvidence};
use crate::ops::services::{
    GossipHandler, GossipItem, GossipService, Member, MemberService, MemberState, SchedulerService,
};
use crate::ops::store::InstanceRecord;
use crate::util::duration::ms;
use crate::util::hash::stable_hash;
use crate::util::http::{Client, empty};

/// Time without messages after which an instance counts as permanently removed. It is longer than
/// any freeze or partition from which machines recover.
const PEER_RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of observations in a message; the oldest is dropped first.
const MAX_REBROADCAST_ITEMS: usize = 32;

/// Fraction of a limit's tolerance that the initial levels of all instances' buckets may use. The
/// rest covers usage between two messages.
const INITIAL_LEVEL_RATIO: f64 = 0.4;

/// Time for which an engine counts as loading after a message reported it: two send intervals of an
/// instance that has engines loading.
const LOADING_TTL: Duration = Duration::from_millis(400);

/// Maximum number of peers. Messages of further instances are ignored.
const MAX_PEERS: usize = 1_024;

/// HTTP paths at which a peer serves the configuration, the target list and the causes of crashes.
pub(super) const POLICY_PATH: &str = "/configuration";
pub(super) const TARGETS_PATH: &str = "/targets";
pub(super) const EVIDENCE_PATH: &str = "/crashes";

/// Timeout of a request for the configuration or the target list.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of peers that are tried, one after the other.
const MAX_FETCH_ATTEMPTS: usize = 2;

/// Maximum size of a response.
const MAX_FETCHED_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    incarnation: Incarnation,
    /// `sent_at_ms` of the peer's last message, on the peer's clock.
    remote_sent_at_ms: u64,
    /// Local time at which that message arrived, or at which the peer was first listed.
    last_received_at: Timestamp,
    /// Local send time of this instance's newest message that the peer confirmed to have received.
    echoed_at: Timestamp,
    pub(super) config_version: ConfigVersion,
    proof: Option<FreshnessProof>,
    /// When the contact digest of the peer last equalled the local one.
    contacts_agreed_at: Option<Timestamp>,
    is_leaving: bool,
    /// Revision of the peer's record that the peer states; 0 if it states none.
    registered_revision: ObjectVersion,
    /// Time until which the peer is not used as a source of updates.
    pub(super) backoff_until: Timestamp,
}

/// The other instances of the fleet, and the rate limits shared with them.
pub struct Peers {
    pub(super) context: Context,
    pub(super) fleet: Rc<Fleet>,
    name: InstanceId,
    started_at: Timestamp,
    /// Revision at which the store accepted the record of this instance; 0 until then.
    registered_revision: Cell<ObjectVersion>,
    pub(super) table: RefCell<BTreeMap<InstanceId, Peer>>,
    has_instance_list: Cell<bool>,
    pub(super) buckets: Buckets,
    weights_confirmed_at: Cell<Option<Timestamp>>,
    /// Observed weights, each with the time until which it is included in messages.
    observed: RefCell<VecDeque<(Timestamp, ModelWeights)>>,
    loading: RefCell<Vec<LoadingEngine>>,
    client: Client,
}

impl Peers {
    /// Creates a table without peers.
    pub(super) fn new(context: &Context, fleet: Rc<Fleet>) -> Self {
        Self {
            name: fleet.settings().machine.as_str().into(),
            started_at: fleet.started_at(),
            registered_revision: Cell::new(0),
            context: context.clone(),
            fleet,
            table: RefCell::default(),
            has_instance_list: Cell::new(false),
            buckets: Buckets::default(),
            weights_confirmed_at: Cell::new(None),
            observed: RefCell::default(),
            loading: RefCell::default(),
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

    /// Intervals of the messages to the current number of peers.
    fn schedule(&self) -> MessageSchedule {
        MessageSchedule::new(self.table.borrow().len())
    }

    /// Time until which an observation of now is included in messages.
    pub(crate) fn rebroadcast_until(&self) -> Timestamp {
        self.now() + self.schedule().rebroadcast_duration
    }

    /// Whether engines are executing a weight-loading order of this instance.
    pub(super) fn has_loading_engines(&self) -> bool {
        !self.loading.borrow().is_empty()
    }

    pub(super) fn is_in_contact(&self, peer: &Peer, now: Timestamp) -> bool {
        let timeout = self.schedule().contact_timeout;
        let is_recent = |at: Timestamp| at >= self.started_at && now.saturating_sub(at) < timeout;
        is_recent(peer.last_received_at) && is_recent(peer.echoed_at) && !peer.is_leaving
    }

    /// Whether this instance and the peer may use each other's unused part of a limit.
    fn shares_limits(&self, peer: &Peer, now: Timestamp) -> bool {
        let has_agreed = peer
            .contacts_agreed_at
            .is_some_and(|at| now.saturating_sub(at) < self.schedule().agreement_timeout);
        has_agreed && self.is_in_contact(peer, now)
    }

    /// Digest of the set of instances in contact, including this one.
    fn contact_digest(&self, now: Timestamp) -> u64 {
        let table = self.table.borrow();
        let in_contact = table
            .iter()
            .filter(|(_, peer)| self.is_in_contact(peer, now))
            .map(|(name, _)| name);
        contact_digest(in_contact.chain([&self.name]))
    }

    /// Whether the list of instances has been read. Until then limits cannot be shared.
    pub fn has_instance_list(&self) -> bool {
        self.has_instance_list.get()
    }

    /// Initial level of a new bucket: this instance's share of [`INITIAL_LEVEL_RATIO`] of the usage
    /// that is tolerated above the limit.
    fn initial_level(&self, rate_per_s: f64, burst: f64) -> f64 {
        let settings = self.fleet.settings();
        let limit = rate_per_s * settings.quota_window_s + burst;
        let tolerated = limit * settings.quota_overage + settings.quota_slack;
        tolerated * INITIAL_LEVEL_RATIO / self.fleet_size() as f64
    }

    /// Records that the store accepted the record of this instance.
    pub(super) fn record_registration(&self, revision: ObjectVersion) {
        self.registered_revision.set(revision);
    }

    /// Number of instances in the fleet, including this one.
    pub fn fleet_size(&self) -> usize {
        self.table.borrow().len() + 1
    }

    /// Number of reachable instances that come before this one, by [`InstancePosition`].
    pub fn rank(&self) -> u32 {
        let now = self.now();
        let table = self.table.borrow();
        let local = InstancePosition::new(&self.name, self.registered_revision.get());
        let preceding = table
            .iter()
            .filter(|(name, peer)| self.is_in_contact(peer, now) && peer.position(name) < local);
        preceding.count() as u32
    }

    /// Place of this instance among the reachable ones in an order that depends on `seed`.
    pub(crate) fn place_in_order(&self, seed: u64) -> InstancePlace {
        let now = self.now();
        let table = self.table.borrow();
        let local = stable_hash(seed, self.name.as_bytes());
        let reachable = table
            .iter()
            .filter(|(_, peer)| self.is_in_contact(peer, now))
            .map(|(name, _)| stable_hash(seed, name.as_bytes()));
        InstancePlace {
            position: reachable.clone().filter(|peer| *peer < local).count() as u32,
            instances: reachable.count() as u32 + 1,
        }
    }

    /// The roll-outs by version.
    pub(super) fn canary(&self) -> Rc<Canary> {
        self.context.service()
    }

    /// Names of the instances in contact.
    pub(crate) fn names_in_contact(&self) -> Vec<InstanceId> {
        let now = self.now();
        let table = self.table.borrow();
        let in_contact = table
            .iter()
            .filter(|(_, peer)| self.is_in_contact(peer, now));
        in_contact.map(|(name, _)| name.clone()).collect()
    }

    /// Address of the instance at a place in the order of [`Self::rank`] among the others in contact.
    pub(crate) fn address_at(&self, place: usize) -> Option<SocketAddr> {
        self.in_order().get(place).copied()
    }

    /// Addresses of the others in contact, in the order of [`Self::rank`].
    fn in_order(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let table = self.table.borrow();
        let mut in_contact: Vec<_> = table
            .iter()
            .filter(|(_, peer)| self.is_in_contact(peer, now))
            .collect();
        in_contact.sort_by_key(|(name, peer)| peer.position(name));
        in_contact.iter().map(|(_, peer)| peer.address).collect()
    }

    /// Addresses of an instance, and of the first ones in contact in the order of [`Self::rank`].
    pub(crate) fn first_addresses(
        &self,
        instance: Option<&InstanceId>,
        count: usize,
    ) -> BTreeSet<SocketAddr> {
        let first = self.in_order().into_iter().take(count);
        let table = self.table.borrow();
        let instance = instance.and_then(|name| table.get(name));
        first.chain(instance.map(|peer| peer.address)).collect()
    }

    fn quarantine(&self) -> Rc<Quarantine> {
        self.context.service()
    }

    /// Whether this instance is in contact with the named one.
    pub fn is_reachable(&self, name: &str) -> bool {
        let now = self.now();
        let table = self.table.borrow();
        table
            .get(name)
            .is_some_and(|peer| self.is_in_contact(peer, now))
    }

    /// Newest version of the configuration that any peer reported.
    pub fn newest_config_version(&self) -> ConfigVersion {
        let table = self.table.borrow();
        let versions = table.values().map(|peer| peer.config_version);
        versions.max().unwrap_or(0)
    }

    /// When any instance last read the announced weights from the store.
    pub fn weights_confirmed_at(&self) -> Option<Timestamp> {
        self.weights_confirmed_at.get()
    }

    /// Records that the announced weights were read from the store at `requested_at`.
    pub fn record_weights_confirmed(&self, requested_at: Timestamp) {
        let newest = self.weights_confirmed_at.get().max(Some(requested_at));
        self.weights_confirmed_at.set(newest);
    }

    /// Applies the freshness proofs of peers for a version that has just become active here.
    pub fn apply_peer_proofs(&self, version: ConfigVersion) {
        let table = self.table.borrow();
        let proofs = table.values().filter_map(|peer| peer.proof);
        for proof in proofs.filter(|proof| proof.version == version) {
            self.fleet.on_proof(proof);
        }
    }

    /// Reports to the other instances which weights were observed on a target.
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
        queue_rebroadcast(&self.observed, self.rebroadcast_until(), observed);
    }

    /// Sets the engines that are executing an order and therefore refuse requests. Each message
    /// reports them until the next call.
    pub fn set_loading_engines(&self, loading: impl Iterator<Item = (TargetId, Incarnation)>) {
        let loading = loading.map(|(target, incarnation)| LoadingEngine {
            target: target.to_string(),
            incarnation,
        });
        self.loading.replace(loading.collect());
        self.mark_engines_busy(&self.loading.borrow());
    }

    /// Prevents requests to loading engines for [`LOADING_TTL`].
    fn mark_engines_busy(&self, loading: &[LoadingEngine]) {
        let scheduler = self.context.service::<dyn SchedulerService>();
        for engine in loading {
            let target: TargetId = engine.target.as_str().into();
            if self
                .fleet
                .state()
                .is_current_incarnation(&target, engine.incarnation)
            {
                scheduler.mark_busy(&target, LOADING_TTL);
            }
        }
    }

    /// Applies the list of instances of the store. Returns the instances whose records can be
    /// removed because no message has arrived from them for [`PEER_RETENTION`].
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
        self.apply_limits();
        expired
    }

    /// Applies the rate limits of the configuration. Before the list of instances has been read,
    /// there are no limits: a bucket created then would have the initial level, and accrue the rate,
    /// of a fleet of one instance.
    pub(super) fn apply_limits(&self) {
        let Some(policy) = self.fleet.policy() else {
            return;
        };
        if !self.has_instance_list() {
            return;
        }
        let limits = policy
            .workspaces
            .iter()
            .filter(|(_, workspace)| workspace.rate_per_s > 0.0)
            .map(|(name, workspace)| (name, workspace.rate_per_s, workspace.burst));
        let initial_level = |rate_per_s, burst| self.initial_level(rate_per_s, burst);
        self.buckets.set_limits(limits, initial_level, self.now());
    }

    /// Updates the set of peers that share limits with this instance.
    pub(super) fn refresh_contacts(&self) {
        let now = self.now();
        let table = self.table.borrow();
        let contacts: Vec<(InstanceId, bool)> = table
            .iter()
            .map(|(name, peer)| (name.clone(), self.shares_limits(peer, now)))
            .collect();
        drop(table);
        self.buckets.set_peers(contacts, now);
    }

    /// Returns the addresses that get a message in a round of the minimum send interval. A large fleet
    /// is spread over several rounds. Sending all datagrams at once would overflow the machine's
    /// link and lose the datagrams to the same peers each time.
    pub(super) fn addresses_due(&self, round: u64) -> BTreeSet<SocketAddr> {
        let mut due = self.addresses_in_round(self.schedule().send_interval, round);
        due.extend(self.watcher_addresses());
        due
    }

    /// Returns the addresses of the peers that get something sent at an interval in this round.
    pub(crate) fn addresses_in_round(
        &self,
        interval: Duration,
        round: u64,
    ) -> BTreeSet<SocketAddr> {
        let offset = stable_hash(0, self.name.as_bytes());
        let table = self.table.borrow();
        let in_turn = (0..)
            .zip(table.values())
            .filter(|(index, _)| MessageSchedule::is_due(interval, round, *index, offset));
        in_turn.map(|(_, peer)| peer.address).collect()
    }

    /// Returns the addresses of the peers that get a short report in this round: of those that are
    /// not `due`, all while engines load on this instance's order, and the next ones in turn while
    /// a limit is nearly exhausted.
    pub(super) fn short_report_addresses(
        &self,
        due: &BTreeSet<SocketAddr>,
        round: u64,
    ) -> Vec<SocketAddr> {
        let addresses = if self.has_loading_engines() || self.quarantine().is_urgent() {
            let table = self.table.borrow();
            table.values().map(|peer| peer.address).collect()
        } else if !self.buckets.nearly_exhausted(self.now()).is_empty() {
            self.addresses_in_round(self.schedule().usage_report_interval, round)
        } else {
            BTreeSet::new()
        };
        addresses.difference(due).copied().collect()
    }

    /// Creates a message that reports the engines that load or have loaded and the usage of limits
    /// that are nearly exhausted, without the state that grows with the fleet: sent to all peers in
    /// each round, that would fill the link of a small machine.
    pub(super) fn short_report(&self) -> PeerMessage {
        PeerMessage {
            uses: self.buckets.nearly_exhausted(self.now()),
            ..self.base_message()
        }
    }

    /// Creates the part that all messages have.
    fn base_message(&self) -> PeerMessage {
        let now = self.now();
        PeerMessage {
            name: self.name.to_string(),
            incarnation: self.context.incarnation(),
            sent_at_ms: ms(now),
            config_version: self.fleet.state().config_version(),
            observed: pending_rebroadcasts(&self.observed, now),
            loading: self.loading.borrow().clone(),
            uptime_ms: ms(now.saturating_sub(self.started_at)),
            registered_revision: self.registered_revision.get(),
            store_age_ms: self
                .fleet
                .store_answered_at()
                .map(|at| ms(now.saturating_sub(at))),
            evidence: self.quarantine().outgoing(),
            store_era: self.fleet.eras().current(),
            is_leaving: self.context.shutdown().lifecycle() != Lifecycle::Running,
            ..PeerMessage::default()
        }
    }

    /// Creates the part of a message that only the peer at an address needs: the confirmation that its last
    /// message has arrived. Confirmations to all peers in each message would grow with the fleet, and each
    /// peer would read only its own.
    pub(super) fn confirmation(&self, address: SocketAddr) -> PeerMessage {
        let table = self.table.borrow();
        // Earlier instances at the same address may still be listed.
        let peer = table
            .iter()
            .filter(|(_, peer)| peer.address == address && peer.remote_sent_at_ms > 0)
            .max_by_key(|(_, peer)| peer.last_received_at);
        let heard = peer.map(|(name, peer)| LastReceived {
            name_hash: stable_hash(0, name.as_bytes()),
            sent_at_ms: peer.remote_sent_at_ms,
        });
        PeerMessage {
            heard: heard.into_iter().collect(),
            ..PeerMessage::default()
        }
    }

    /// Creates the part of a message that is the same for all peers.
    pub(super) fn message(&self) -> PeerMessage {
        let now = self.now();
        let state = self.fleet.state();
        let proof = state.proof();
        let age = |requested_at: Timestamp| ms(now.saturating_sub(requested_at));
        PeerMessage {
            uses: self.buckets.totals(),
            config_age_ms: proof.map(|proof| age(proof.requested_at)),
            config_digest: self.fleet.config_digest(),
            adopted_revision: self
                .fleet
                .adopted_config_position()
                .map(|position| position.revision),
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
            contact_digest: self.contact_digest(now),
            ..self.base_message()
        }
    }

    /// Applies a message from a peer.
    pub(super) fn on_message(&self, message: PeerMessage, from: SocketAddr) {
        let name: InstanceId = message.name.as_str().into();
        if name == self.name {
            return;
        }
        // What follows counts by the newest era.
        if let Some(era) = message.store_era {
            self.fleet.eras().on_peer_era(era, &name);
        }
        let now = self.now();
        let previously_confirmed_at = self.weights_confirmed_at();
        let local_hash = stable_hash(0, self.name.as_bytes());
        let echoed = message
            .heard
            .iter()
            .find(|received| received.name_hash == local_hash)
            .map(|received| Duration::from_millis(received.sent_at_ms))
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
        let adopted_at = message.store_era.zip(message.adopted_revision);
        let adopted_at = adopted_at.map(|(era, revision)| StorePosition { era, revision });
        self.fleet
            .on_peer_config(message.config_version, adopted_at);
        peer.is_leaving = message.is_leaving;
        peer.registered_revision = message.registered_revision;
        if let Some(echoed) = echoed {
            peer.echoed_at = peer.echoed_at.max(echoed);
            // The peer measured all ages when it created the message, after it had received the
            // echoed message. Computing from `echoed` never makes the state look fresher than it
            // is, however long the message was in transit.
            let requested_at = |age_ms: u64| echoed.checked_sub(Duration::from_millis(age_ms));
            peer.proof = message
                .config_age_ms
                .and_then(requested_at)
                .map(|requested_at| FreshnessProof {
                    version: message.config_version,
                    digest: message.config_digest,
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
        if let Some(age_ms) = message.store_age_ms {
            let answered_at = now.saturating_sub(Duration::from_millis(age_ms));
            self.fleet.on_peer_store_answer(answered_at, &name);
        }
        // A short report does not change which peers are in contact.
        let is_short = message.is_short_report();
        let has_agreed = !is_short && message.contact_digest == self.contact_digest(now);
        if has_agreed && let Some(peer) = self.table.borrow_mut().get_mut(&name) {
            peer.contacts_agreed_at = Some(now);
        }
        if !is_short {
            self.refresh_contacts();
        }
        for usage in &message.uses {
            let report = PeerUsage {
                incarnation: message.incarnation,
                total: usage.total,
            };
            self.buckets.on_report(&usage.workspace, &name, report, now);
        }
        self.mark_engines_busy(&message.loading);
        self.apply_weights(&message, &name, previously_confirmed_at);
        if let Some(evidence) = &message.evidence {
            self.quarantine().on_message(evidence);
        }
        if let Some(rollouts) = &message.rollouts {
            let sender = (&name, message.incarnation);
            self.canary().on_message(sender, from, rollouts, echoed);
        }
    }

    /// Applies the announced and observed weights of a message. `previously_confirmed_at` is the
    /// time up to which this instance had confirmed the announced weights before the message.
    fn apply_weights(
        &self,
        message: &PeerMessage,
        name: &str,
        previously_confirmed_at: Option<Timestamp>,
    ) {
        let now = self.now();
        let announced: Vec<(ModelId, u64, Announcement)> = message
            .named
            .iter()
            .map(|named| {
                let announcement = Announcement::received(
                    named.named_ago_ms.map(Duration::from_millis),
                    now,
                    previously_confirmed_at,
                    self.fleet.assumed_announced_at(),
                );
                (named.model.as_str().into(), named.version, announcement)
            })
            .collect();
        self.fleet.on_weights_announced(&announced, name);
        for observed in &message.observed {
            let target: TargetId = observed.target.as_str().into();
            let is_current_incarnation = self
                .fleet
                .state()
                .is_current_incarnation(&target, observed.incarnation);
            if is_current_incarnation {
                let model = observed.model.as_str().into();
                self.fleet
                    .on_observed_weights(&target, &model, observed.version);
            }
        }
    }

    /// Fetches the configuration from a peer that has the newest version. Returns the name of the
    /// peer and the configuration as stored.
    pub async fn fetch_policy(&self) -> Option<(String, Bytes)> {
        let newest = self.newest_config_version();
        self.fetch(POLICY_PATH, |peer| peer.config_version == newest)
            .await
    }

    /// Fetches the target list from a reachable peer. Returns the name of the peer and the list.
    pub async fn fetch_targets(&self) -> Option<(String, Bytes)> {
        let now = self.now();
        self.fetch(TARGETS_PATH, |peer| self.is_in_contact(peer, now))
            .await
    }

    /// Fetches the causes of earlier crashes of targets from a peer that knows them. Returns the name of the
    /// peer and the evidence.
    pub(crate) async fn fetch_evidence(&self) -> Option<(String, StoredEvidence)> {
        let (peer, raw) = self.fetch(EVIDENCE_PATH, |_| true).await?;
        match serde_json::from_slice(&raw) {
            Ok(evidence) => Some((peer, evidence)),
            Err(error) => {
                slog::warn!(self.context.log(), "cannot decode the crashes of targets of a peer";
                    "peer" => &peer, "error" => %error);
                None
            }
        }
    }

    /// Sends a request to up to [`MAX_FETCH_ATTEMPTS`] random peers that satisfy `is_candidate`,
    /// one after the other.
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
            slog::warn!(self.context.log(), "cannot fetch from a peer";
                "peer" => &*name, "path" => path);
        }
        None
    }

    /// Sends a request to a peer. Unless it answers with status 200 within the timeout, the connections
    /// to the peer are closed.
    pub(super) async fn fetch_from(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Option<Bytes> {
        let request = Request::builder()
            .uri(path)
            .header("host", address.to_string())
            .body(empty())
            .ok()?;
        let call = self
            .client
            .call(address, request, timeout, MAX_FETCHED_BYTES);
        match call.await {
            Ok((StatusCode::OK, raw)) => Some(raw),
            _ => {
                self.client.close_address(address);
                None
            }
        }
    }

    /// Encodes a response to a peer as JSON.
    pub(super) fn encode(&self, response: &impl Serialize) -> Option<Bytes> {
        match serde_json::to_vec(response) {
            Ok(raw) => Some(raw.into()),
            Err(error) => {
                slog::error!(self.context.log(), "cannot encode a response to a peer";
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
            registered_revision: 0,
            backoff_until: Timestamp::ZERO,
        }
    }

    pub(super) fn position<'a>(&self, name: &'a InstanceId) -> InstancePosition<'a> {
        InstancePosition::new(name, self.registered_revision)
    }
}

fn queue_rebroadcast<T>(list: &RefCell<VecDeque<(Timestamp, T)>>, until: Timestamp, item: T) {
    let mut list = list.borrow_mut();
    if list.len() >= MAX_REBROADCAST_ITEMS {
        list.pop_front();
    }
    list.push_back((until, item));
}

fn pending_rebroadcasts<T: Clone>(
    list: &RefCell<VecDeque<(Timestamp, T)>>,
    now: Timestamp,
) -> Vec<T> {
    let mut list = list.borrow_mut();
    list.retain(|(expires_at, _)| now < *expires_at);
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
        let record = self.fleet.state().target(target).cloned();
        if let (true, Some(record)) = (is_leaving, record) {
            self.fleet.set_leaving(target, record.incarnation);
        }
    }
}

impl GossipService for Peers {
    /// Digests of cached prefixes are not exchanged: placement by rendezvous hashing does not need them in
    /// fleets of this size. Crashes of targets are exchanged by the quarantine.
    fn publish(&self, _item: GossipItem) {}

    fn subscribe(&self, _handler: GossipHandler) {}
}

/// Creates the usage entry of a workspace.
pub(super) fn workspace_usage(workspace: &str, total: u64) -> WorkspaceUsage {
    WorkspaceUsage {
        workspace: workspace.to_owned(),
        total,
    }
}
