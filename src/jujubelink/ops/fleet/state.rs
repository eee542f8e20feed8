//! The view shared by the parts of the process.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::core::config::ConfigSnapshot;
use crate::core::fleet::{Announcement, FleetPolicy, FleetState, FreshnessProof, TargetRecord};
use crate::core::ids::{Incarnation, ModelId, TargetId, Timestamp};
use crate::ops::kernel::{Context, Notifier};
use crate::ops::services::ConfigService;
use crate::ops::settings::FleetSettings;
use crate::ops::store::{SharedStore, StoredPolicy, TargetChange, TargetChanges};

/// Part of the revocation bound that is left for the way to the target.
const REVOCATION_MARGIN: Duration = Duration::from_millis(250);

/// Part of the bound on new weights after which older ones are no longer used. The rest covers the
/// time until this instance heard of them, and the wait in a target's queue.
const OLD_WEIGHTS_RATIO: f64 = 0.85;

/// Time after its start for which a process uses weights of which it does not know when they were
/// replaced, so that a start of all instances does not leave few engines for all requests.
const STARTUP_OLD_WEIGHTS_GRACE: Duration = Duration::from_secs(3);

/// Why a key cannot be used now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StaleConfig {
    /// Age of the last proof, if there is one.
    pub age: Option<Duration>,
}

/// Targets as one instance passes them on to another.
#[derive(Debug, Serialize, Deserialize)]
pub struct TargetListUpdate {
    /// Revision of the store up to which they are known.
    revision: u64,
    /// Names of all targets.
    names: Vec<TargetId>,
    /// Entries that are newer than the revision which was asked for, with their own revisions.
    entries: Vec<(u64, TargetRecord)>,
}

/// View of the fleet with its store.
pub struct Fleet {
    context: Context,
    settings: RefCell<Rc<FleetSettings>>,
    store: SharedStore,
    state: RefCell<FleetState>,
    raw_policy: RefCell<Option<Bytes>>,
    snapshot: RefCell<Option<Rc<ConfigSnapshot>>>,
    snapshot_generation: Cell<u64>,
    /// Revision of the store up to which the targets are known.
    target_revision: Cell<u64>,
    started_at: Timestamp,
    /// When the store last said that the targets are these, by whichever way.
    targets_confirmed_at: Cell<Timestamp>,
    changed: Notifier,
}

impl Fleet {
    /// A view that knows nothing.
    pub fn new(context: &Context, settings: FleetSettings, store: SharedStore) -> Self {
        Self {
            context: context.clone(),
            settings: RefCell::new(Rc::new(settings)),
            store,
            state: RefCell::default(),
            raw_policy: RefCell::default(),
            snapshot: RefCell::default(),
            snapshot_generation: Cell::new(0),
            target_revision: Cell::new(0),
            started_at: context.timers().boot_now(),
            targets_confirmed_at: Cell::new(Timestamp::ZERO),
            changed: Notifier::new(),
        }
    }

    /// The store.
    pub fn store(&self) -> &SharedStore {
        &self.store
    }

    /// Settings of the fleet.
    pub fn settings(&self) -> Rc<FleetSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Takes changed settings. Addresses and the name of the machine are used at the start only.
    pub fn set_settings(&self, settings: FleetSettings) {
        self.settings.replace(Rc::new(settings));
    }

    /// The view, to read.
    pub fn state(&self) -> std::cell::Ref<'_, FleetState> {
        self.state.borrow()
    }

    /// The configuration in force.
    pub fn policy(&self) -> Option<Rc<FleetPolicy>> {
        self.state.borrow().policy().cloned()
    }

    /// Stored form of the configuration in force, for peers.
    pub fn raw_policy(&self) -> Option<Bytes> {
        self.raw_policy.borrow().clone()
    }

    /// Age of the proof that the configuration in force is the newest.
    pub fn config_age(&self) -> Option<Duration> {
        let now = self.context.timers().boot_now();
        self.state.borrow().config_age(now)
    }

    /// Whether keys may be used now: the configuration was proved to be the newest recently enough
    /// that no key which it grants can have been withdrawn for longer than the bound.
    pub fn check_config_fresh(&self) -> Result<(), StaleConfig> {
        if !self.settings().is_revocation_strict {
            return Ok(());
        }
        let limit =
            Duration::from_millis(self.settings().revocation_ms).saturating_sub(REVOCATION_MARGIN);
        let age = self.config_age();
        match age {
            Some(age) if age < limit => Ok(()),
            _ => Err(StaleConfig { age }),
        }
    }

    /// Whether the configuration is certainly recent enough to deny what it does not name.
    pub fn may_reject_unknown(&self) -> bool {
        let limit = Duration::from_millis(self.settings().config_ms);
        self.config_age().is_some_and(|age| age < limit)
    }

    /// Takes a configuration that was read at `requested_at`, or that a peer passed on with that age.
    pub fn on_policy(&self, stored: StoredPolicy, requested_at: Timestamp, source: &str) {
        let version = stored.policy.version;
        let is_new = self.state.borrow_mut().apply_policy(stored.policy);
        if is_new {
            self.raw_policy.replace(Some(stored.raw));
            slog::info!(self.context.log(), "configuration in force"; "version" => version,
                "source" => source);
            self.context.metrics().gauge("config.version", version);
        }
        self.on_proof(FreshnessProof {
            version,
            requested_at,
        });
        self.publish_snapshot();
    }

    /// Takes a proof of the newest version.
    pub fn on_proof(&self, proof: FreshnessProof) {
        self.state.borrow_mut().on_proof(proof);
    }

    /// Takes changes of the targets. A whole list also removes the targets that it does not name.
    pub fn on_targets(&self, changes: TargetChanges, is_complete: bool) {
        let now = self.context.timers().boot_now();
        let newest = self.target_revision.get().max(changes.revision);
        self.target_revision.set(newest);
        let mut state = self.state.borrow_mut();
        let mut written = Vec::new();
        for change in changes.changes {
            match change {
                TargetChange::Written { revision, record } => {
                    self.log_target_change(&state, &record, revision);
                    if is_complete {
                        written.push((revision, record));
                    } else {
                        state.on_target(revision, record);
                    }
                }
                TargetChange::Removed {
                    revision,
                    id,
                    fault,
                } => {
                    if state.target(&id).is_some() {
                        slog::info!(self.context.log(), "target removed"; "target" => &*id,
                            "revision" => revision, "fault" => fault);
                    }
                    state.on_target_removed(&id, revision, now);
                }
            }
        }
        if is_complete {
            state.on_target_list(changes.revision, written, now);
        }
        drop(state);
        self.publish_snapshot();
    }

    fn log_target_change(&self, state: &FleetState, record: &TargetRecord, revision: u64) {
        let known = state.target(&record.id);
        let is_same = known.is_some_and(|known| {
            known.is_leaving == record.is_leaving
                && known.incarnation == record.incarnation
                && known.weights == record.weights
        });
        if !is_same {
            let weights: Vec<u64> = record.weights.iter().map(|(_, version)| *version).collect();
            slog::info!(self.context.log(), "target changed"; "target" => &*record.id,
                "revision" => revision, "leaving" => record.is_leaving,
                "incarnation" => record.incarnation, "weights" => format!("{weights:?}"));
        }
    }

    /// Notes that the store answers again after an outage.
    pub fn on_store_recovered(&self) {
        let now = self.context.timers().boot_now();
        self.state.borrow_mut().on_store_recovered(now);
    }

    /// Removes targets that did not come back after an outage of the store.
    pub fn expire_lapsed(&self) {
        let now = self.context.timers().boot_now();
        let removed = self.state.borrow_mut().expire_lapsed(now);
        for id in removed {
            slog::info!(self.context.log(), "target removed"; "target" => &*id,
                "fault" => "its entry did not come back after the outage");
        }
        self.publish_snapshot();
    }

    /// Takes the newest weights that the store names. Those that a process finds when it starts were
    /// named at an unknown time.
    pub fn on_stored_weights(&self, named: &[(ModelId, u64)], is_first: bool) {
        let now = self.context.timers().boot_now();
        let announcement = match is_first {
            true => Announcement {
                at: self.assumed_announced_at_from(now),
                is_assumed: true,
            },
            false => Announcement {
                at: now,
                is_assumed: false,
            },
        };
        let named: Vec<_> = named
            .iter()
            .map(|(model, version)| (model.clone(), *version, announcement))
            .collect();
        self.on_weights_announced(&named, "store");
    }

    /// Whether a target with the given weights may still be used: no newer ones were named long ago.
    pub fn may_use_weights(&self, model: &str, version: u64) -> bool {
        let bound = Duration::from_millis(self.settings().weights_ms);
        let now = self.context.timers().boot_now();
        let superseded_at = self.state.borrow().superseded_at(model, version);
        superseded_at.is_none_or(|at| now.saturating_sub(at) < bound.mul_f64(OLD_WEIGHTS_RATIO))
    }

    /// When the view, and with it the process, began.
    pub fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Time of naming that counts for weights which were named before this process started.
    pub fn assumed_announced_at(&self) -> Timestamp {
        self.assumed_announced_at_from(self.started_at)
    }

    /// Old weights may be used for [`STARTUP_OLD_WEIGHTS_GRACE`] from `first` on.
    fn assumed_announced_at_from(&self, first: Timestamp) -> Timestamp {
        let bound = Duration::from_millis(self.settings().weights_ms);
        (first + STARTUP_OLD_WEIGHTS_GRACE).saturating_sub(bound.mul_f64(OLD_WEIGHTS_RATIO))
    }

    /// Takes named weights with the time of their naming.
    pub fn on_weights_announced(&self, named: &[(ModelId, u64, Announcement)], source: &str) {
        for (model, version, announcement) in named {
            if self
                .state
                .borrow_mut()
                .on_weights_announced(model, *version, *announcement)
            {
                slog::info!(self.context.log(), "weights named"; "model" => &**model,
                    "version" => *version, "source" => source);
            }
        }
        self.publish_snapshot();
    }

    /// Notes the weights that a target has, by its answer, its report or a peer.
    pub fn on_observed_weights(&self, target: &TargetId, model: &ModelId, version: u64) {
        self.state
            .borrow_mut()
            .on_observed_weights(target, model, version);
        self.publish_snapshot();
    }

    /// Takes a target's own report.
    pub fn on_report(
        &self,
        target: &TargetId,
        incarnation: Incarnation,
        weights: &[(ModelId, u64)],
    ) {
        self.state
            .borrow_mut()
            .on_report(target, incarnation, weights);
        self.publish_snapshot();
    }

    /// Notes that another target answers at the address of this one.
    pub fn on_replaced(&self, target: &TargetId, by: Option<&str>) {
        let now = self.context.timers().boot_now();
        if self.state.borrow_mut().on_replaced(target, now) {
            slog::info!(self.context.log(), "target removed"; "target" => &**target,
                "fault" => "another target has its address", "by" => by);
        }
        self.publish_snapshot();
    }

    /// Revision of the store up to which the targets are known.
    pub fn target_revision(&self) -> u64 {
        self.target_revision.get()
    }

    /// When the store last said that the targets are these.
    pub fn targets_confirmed_at(&self) -> Timestamp {
        self.targets_confirmed_at.get()
    }

    /// Notes that the store said so.
    pub fn record_targets_confirmed(&self, at: Timestamp) {
        let newest = self.targets_confirmed_at.get().max(at);
        self.targets_confirmed_at.set(newest);
    }

    /// The targets for an instance that knows them up to a revision.
    pub fn target_update_since(&self, revision: u64) -> TargetListUpdate {
        let mut entries = self.state.borrow().entries();
        let names = entries.iter().map(|(_, record)| record.id.clone());
        let names = names.collect();
        entries.retain(|(entry_revision, _)| *entry_revision > revision);
        TargetListUpdate {
            revision: self.target_revision.get(),
            names,
            entries,
        }
    }

    /// Takes a list of targets that a peer passed on. One that is older than the own one is dropped.
    pub fn apply_peer_targets(&self, raw: &[u8], peer: &str) {
        let list: TargetListUpdate = match serde_json::from_slice(raw) {
            Ok(list) => list,
            Err(error) => {
                slog::warn!(self.context.log(), "a peer passed on an unusable list of targets";
                    "peer" => peer, "error" => %error);
                return;
            }
        };
        if self.apply_newer_targets(list) == Some(true) {
            slog::info!(self.context.log(), "targets taken from a peer"; "peer" => peer,
                "revision" => self.target_revision.get());
        }
    }

    /// Takes the news of a peer about the targets, which the store said at `proved_at`. Returns
    /// whether there were any; `None` if they cannot be used.
    pub fn apply_target_update(
        &self,
        list: TargetListUpdate,
        proved_at: Timestamp,
        peer: &str,
    ) -> Option<bool> {
        let revision = list.revision;
        let taken = self.apply_newer_targets(list);
        match taken {
            // A peer that is behind proves nothing for now.
            Some(_) if revision < self.target_revision.get() => {}
            Some(_) => self.record_targets_confirmed(proved_at),
            None => slog::info!(self.context.log(), "a peer's targets are incomplete";
                "peer" => peer, "revision" => revision, "own" => self.target_revision.get()),
        }
        taken
    }

    /// Takes targets that are newer than the own ones. `None` if they leave out an entry that this
    /// instance does not have.
    fn apply_newer_targets(&self, list: TargetListUpdate) -> Option<bool> {
        if list.revision <= self.target_revision.get() {
            return Some(false);
        }
        let names: BTreeSet<TargetId> = list.names.into_iter().collect();
        let updated: BTreeSet<TargetId> = list
            .entries
            .iter()
            .map(|(_, record)| record.id.clone())
            .collect();
        let mut entries = self.state.borrow().entries();
        entries.retain(|(_, record)| names.contains(&record.id) && !updated.contains(&record.id));
        entries.extend(list.entries);
        if entries.len() < names.len() {
            return None;
        }
        let changes = entries.into_iter();
        let changes = TargetChanges {
            changes: changes
                .map(|(revision, record)| TargetChange::Written { revision, record })
                .collect(),
            revision: list.revision,
        };
        self.on_targets(changes, true);
        Some(true)
    }

    /// Notes that a target announced its leaving in an answer.
    pub fn set_leaving(&self, target: &TargetId) {
        self.state.borrow_mut().set_leaving(target);
        self.publish_snapshot();
    }

    /// Tells the scheduler about changes.
    fn publish_snapshot(&self) {
        let state = self.state.borrow();
        if state.generation() == self.snapshot_generation.get() || state.policy().is_none() {
            return;
        }
        self.snapshot_generation.set(state.generation());
        let snapshot = Rc::new(state.snapshot());
        drop(state);
        self.snapshot.replace(Some(snapshot));
        self.changed.notify();
    }
}

/// [`ConfigService`] over the view: the scheduler's configuration.
pub(super) struct FleetConfigService(pub(super) Rc<Fleet>);

impl ConfigService for FleetConfigService {
    fn current(&self) -> Option<Rc<ConfigSnapshot>> {
        self.0.snapshot.borrow().clone()
    }

    fn is_revoked(&self, _key_hash: &str) -> bool {
        // Keys are withdrawn by new configurations only.
        false
    }

    fn changed(&self) -> LocalBoxFuture<'static, ()> {
        self.0.changed.changed().boxed_local()
    }

    fn apply_snapshot(&self, _snapshot: ConfigSnapshot) -> bool {
        false
    }

    fn revoke(&self, key_hash: &str) {
        slog::error!(self.0.context.log(), "keys are withdrawn in the platform's configuration";
            "key" => key_hash.get(..8));
    }
}
