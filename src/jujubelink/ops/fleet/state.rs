//! Fleet view that the tasks of the process share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use super::faults::LoggedFaults;
use crate::core::config::ConfigSnapshot;
use crate::core::fleet::{
    Announcement, ConfigCandidate, ConfigOutcome, FleetPolicy, FleetState, FreshnessProof, Removal,
    StoreContact, StorePosition, TargetRecord, WeightsBounds,
};
use crate::core::ids::{
    ConfigDigest, ConfigVersion, Incarnation, ModelId, ObjectVersion, StoreEra, TargetId, Timestamp,
};
use crate::ops::kernel::{Context, Notifier};
use crate::ops::services::ConfigService;
use crate::ops::settings::FleetSettings;
use crate::ops::store::{
    EntryFault, EraChange, SharedStore, StoreEras, StoredPolicy, TargetChange, TargetChanges,
};
use crate::util::duration::ms;

/// Part of the revocation bound that is reserved for sending the request to the target.
const REVOCATION_MARGIN: Duration = Duration::from_millis(250);

/// Error: the active configuration is not proved recent enough to accept keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StaleConfig {
    /// Age of the last freshness proof; `None` without one.
    pub age: Option<Duration>,
}

/// Target list that one instance sends to another. The field names are part of the peer protocol.
#[derive(Debug, Serialize, Deserialize)]
pub struct TargetListUpdate {
    /// Era of that revision; absent if the store states none, and in lists of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<StoreEra>,
    /// Revision of the store that the list reflects.
    revision: u64,
    /// Names of all targets.
    names: Vec<TargetId>,
    /// Entries newer than the requested revision, each with its own revision.
    entries: Vec<(u64, TargetRecord)>,
}

/// This instance's view of the fleet, and the store that it is read from.
pub struct Fleet {
    context: Context,
    settings: RefCell<Rc<FleetSettings>>,
    store: SharedStore,
    eras: Rc<StoreEras>,
    state: RefCell<FleetState>,
    raw_policy: RefCell<Option<Bytes>>,
    /// Restores of the store that have been applied to the configuration.
    config_restores: Cell<u64>,
    snapshot: RefCell<Option<Rc<ConfigSnapshot>>>,
    snapshot_generation: Cell<u64>,
    /// Position of the store that the targets reflect.
    target_position: Cell<StorePosition>,
    started_at: Timestamp,
    /// When the store last confirmed the target list, directly or through a peer.
    targets_confirmed_at: Cell<Timestamp>,
    /// Notified when the store confirms the target list.
    targets_confirmed: Notifier,
    store_contact: RefCell<StoreContact>,
    logged_faults: RefCell<LoggedFaults>,
    changed: Notifier,
}

impl Fleet {
    /// Creates an empty view.
    pub fn new(
        context: &Context,
        settings: FleetSettings,
        store: SharedStore,
        eras: Rc<StoreEras>,
    ) -> Self {
        let started_at = context.timers().boot_now();
        let heartbeat = Duration::from_millis(settings.heartbeat_ms);
        Self {
            context: context.clone(),
            settings: RefCell::new(Rc::new(settings)),
            store,
            eras,
            state: RefCell::default(),
            raw_policy: RefCell::default(),
            config_restores: Cell::new(0),
            snapshot: RefCell::default(),
            snapshot_generation: Cell::new(0),
            target_position: Cell::new(StorePosition {
                era: 0,
                revision: 0,
            }),
            started_at,
            targets_confirmed_at: Cell::new(Timestamp::ZERO),
            targets_confirmed: Notifier::new(),
            store_contact: RefCell::new(StoreContact::new(started_at, heartbeat)),
            logged_faults: RefCell::default(),
            changed: Notifier::new(),
        }
    }

    /// The store.
    pub fn store(&self) -> &SharedStore {
        &self.store
    }

    /// Era of the store.
    pub fn eras(&self) -> &Rc<StoreEras> {
        &self.eras
    }

    /// Applies a change of the store's era.
    pub(super) fn on_era(&self, change: EraChange) {
        let is_restore = change.former.is_some();
        self.state
            .borrow_mut()
            .on_era(change.era, is_restore, change.at);
        if !is_restore {
            // The store has stated no era so far.
            let revision = self.target_position.get().revision;
            let era = change.era;
            self.target_position.set(StorePosition { era, revision });
        }
    }

    /// Whether the targets reflect a list of the store's present era. Changes after a revision of a former
    /// era cannot be requested.
    pub(super) fn has_present_list(&self) -> bool {
        self.target_position.get().era == self.eras.current().unwrap_or(0)
    }

    /// Settings of the fleet.
    pub fn settings(&self) -> Rc<FleetSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Applies changed settings. Changes of addresses and of the instance name take effect only at
    /// the next start.
    pub fn set_settings(&self, settings: FleetSettings) {
        let heartbeat = Duration::from_millis(settings.heartbeat_ms);
        let contact = *self.store_contact.borrow();
        self.store_contact
            .replace(contact.with_heartbeat(heartbeat));
        self.settings.replace(Rc::new(settings));
    }

    /// Borrows the state of the fleet.
    pub fn state(&self) -> std::cell::Ref<'_, FleetState> {
        self.state.borrow()
    }

    /// The active configuration.
    pub fn policy(&self) -> Option<Rc<FleetPolicy>> {
        self.state.borrow().policy().cloned()
    }

    /// The active configuration as stored, for peers.
    pub fn raw_policy(&self) -> Option<Bytes> {
        self.raw_policy.borrow().clone()
    }

    /// Age of the proof that the active configuration is the newest.
    pub fn config_age(&self) -> Option<Duration> {
        let now = self.context.timers().boot_now();
        self.state.borrow().config_age(now)
    }

    /// Checks that keys may be accepted: the freshness proof of the configuration is recent enough
    /// that no key which it grants can have been revoked for longer than the revocation bound.
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

    /// Whether the configuration is recent enough to reject requests for hosts, routes or keys that
    /// it does not contain.
    pub fn may_reject_unknown(&self) -> bool {
        let limit = Duration::from_millis(self.settings().config_ms);
        self.config_age().is_some_and(|age| age < limit)
    }

    /// Applies a configuration that the store showed in its present era, as the newest one at `requested_at`.
    pub fn on_policy(&self, stored: StoredPolicy, requested_at: Timestamp) {
        self.note_config_restore();
        let (version, digest) = (stored.policy.version, stored.digest);
        let revision = (!self.eras.is_doubtful()).then_some(stored.revision);
        self.activate_policy(stored, revision, "store");
        // Without a restore, what the store shows under the active version counts whatever its contents.
        let digest = self.state.borrow().is_config_restored().then_some(digest);
        self.on_proof(FreshnessProof {
            version,
            digest,
            requested_at,
        });
        self.publish_snapshot();
    }

    /// Applies a configuration that a peer passed on. When it was the newest one is unknown.
    pub fn on_peer_policy(&self, stored: StoredPolicy, peer: &str) {
        self.note_config_restore();
        self.activate_policy(stored, None, peer);
        self.publish_snapshot();
    }

    fn activate_policy(&self, stored: StoredPolicy, revision: Option<ObjectVersion>, source: &str) {
        let version = stored.policy.version;
        let former_version = self.state.borrow().config_version();
        let outcome = self.state.borrow_mut().apply_config(ConfigCandidate {
            policy: stored.policy,
            digest: stored.digest,
            revision,
        });
        let ConfigOutcome::Active { withheld_keys } = outcome else {
            return;
        };
        self.raw_policy.replace(Some(stored.raw));
        slog::info!(self.context.log(), "configuration in force"; "version" => version,
            "source" => source);
        if version <= former_version || withheld_keys > 0 {
            slog::warn!(self.context.log(), "configuration changed under a version used before a restore";
                "version" => version, "former_version" => former_version,
                "withheld_keys" => withheld_keys);
        }
        self.context.metrics().gauge("config.version", version);
    }

    /// Digest of the active configuration, for peers. `None` if the store states no era.
    pub fn config_digest(&self) -> Option<ConfigDigest> {
        self.eras().current()?;
        Some(self.state.borrow().config_digest()).filter(|digest| *digest > 0)
    }

    /// Applies a restore of the store to the configuration, if there was one.
    fn note_config_restore(&self) {
        let restores = self.eras().restores();
        if self.config_restores.replace(restores) != restores {
            self.state.borrow_mut().on_config_restored();
        }
    }

    /// Records a revision that the store stated in its present era.
    pub fn on_store_revision(&self, revision: ObjectVersion) {
        self.note_config_restore();
        if !self.eras.is_doubtful() {
            self.state.borrow_mut().on_store_revision(revision);
        }
    }

    /// Records a version of the configuration that a peer stated, and a position of contents that the peer knows to
    /// be written after the last restore.
    pub fn on_peer_config(&self, version: ConfigVersion, adopted_at: Option<StorePosition>) {
        self.note_config_restore();
        let mut state = self.state.borrow_mut();
        state.on_peer_config_version(version);
        if let Some(position) = adopted_at
            && Some(position.era) == self.eras.current()
        {
            state.on_peer_adoption(position.revision);
        }
    }

    /// Position of the last active configuration that was written after the last restore.
    pub fn adopted_config_position(&self) -> Option<StorePosition> {
        let revision = self.state.borrow().adopted_config_revision();
        let era = self.eras.current()?;
        (revision > 0).then_some(StorePosition { era, revision })
    }

    /// Applies a proof that a version is the newest.
    pub fn on_proof(&self, proof: FreshnessProof) {
        self.note_config_restore();
        self.state.borrow_mut().on_proof(proof);
    }

    /// Applies changes of targets. A complete list also removes the targets that are not in it.
    pub fn on_targets(&self, changes: TargetChanges, is_complete: bool) {
        if changes.era != self.eras.current() {
            self.context.metrics().count("store.discarded", 1);
            return;
        }
        self.log_entry_faults(&changes.faults);
        let now = self.context.timers().boot_now();
        let leaving: Vec<_> = changes
            .changes
            .iter()
            .filter_map(|change| match change {
                TargetChange::Written { record, .. } if record.is_leaving => {
                    Some((record.id.clone(), record.incarnation))
                }
                _ => None,
            })
            .collect();
        let position = StorePosition {
            era: changes.era.unwrap_or(0),
            revision: changes.revision,
        };
        if position.era != self.target_position.get().era || position > self.target_position.get() {
            self.target_position.set(position);
        }
        let mut state = self.state.borrow_mut();
        let mut entries = Vec::new();
        for change in changes.changes {
            match change {
                TargetChange::Written { revision, record } => {
                    self.log_target_change(&state, &record, revision);
                    if is_complete {
                        entries.push((revision, record));
                    } else {
                        state.on_target(revision, record);
                    }
                }
                TargetChange::Removed {
                    revision,
                    id,
                    fault,
                } => {
                    let removal = state.on_target_removed(&id, revision, now);
                    self.log_removal(&id, revision, removal, fault);
                }
            }
        }
        if is_complete {
            for (id, removal) in state.on_target_list(changes.revision, entries, now) {
                self.log_removal(&id, changes.revision, removal, None);
            }
        }
        for (id, incarnation) in leaving {
            state.on_departure(&id, incarnation, now);
        }
        drop(state);
        self.publish_snapshot();
    }

    /// Logs entries of the store that cannot be decoded and are ignored.
    pub fn log_entry_faults(&self, faults: &[EntryFault]) {
        let mut logged = self.logged_faults.borrow_mut();
        for fault in faults.iter().filter(|fault| logged.is_new(fault)) {
            slog::warn!(self.context.log(), "entry of the store ignored"; "kind" => fault.kind,
                "name" => &fault.name, "revision" => fault.revision, "fault" => &fault.reason);
        }
    }

    fn log_removal(&self, id: &TargetId, revision: u64, removal: Removal, fault: Option<String>) {
        match removal {
            Removal::Removed => {
                slog::info!(self.context.log(), "target removed"; "target" => &**id,
                    "revision" => revision, "fault" => fault);
            }
            Removal::Postponed { until } => {
                let remaining = until.saturating_sub(self.context.timers().boot_now());
                slog::info!(self.context.log(), "target kept after a store outage";
                    "target" => &**id, "revision" => revision, "fault" => fault,
                    "remaining_ms" => ms(remaining));
            }
            Removal::Unknown => {}
        }
    }

    fn log_target_change(&self, state: &FleetState, record: &TargetRecord, revision: u64) {
        let previous = state.target(&record.id);
        let is_same = previous.is_some_and(|previous| {
            previous.is_leaving == record.is_leaving
                && previous.incarnation == record.incarnation
                && previous.weights == record.weights
        });
        if !is_same {
            let weights: Vec<u64> = record.weights.iter().map(|(_, version)| *version).collect();
            slog::info!(self.context.log(), "target changed"; "target" => &*record.id,
                "revision" => revision, "leaving" => record.is_leaving,
                "incarnation" => record.incarnation, "weights" => format!("{weights:?}"));
        }
    }

    /// Records that the store has now answered a request that was sent at `requested_at`.
    pub fn on_store_answer(&self, requested_at: Timestamp) {
        let now = self.now();
        let outage = self.store_contact.borrow_mut().on_answer(requested_at, now);
        self.on_outage_end(outage, "store");
    }

    /// Records that the store answered a peer at `answered_at`.
    pub fn on_peer_store_answer(&self, answered_at: Timestamp, peer: &str) {
        let outage = self.store_contact.borrow_mut().on_peer_answer(answered_at);
        self.on_outage_end(outage, peer);
    }

    /// Applies the end of an outage of the store, if there was one. Entries that expired in it have
    /// time to reappear.
    fn on_outage_end(&self, outage: Option<Duration>, source: &str) {
        let Some(duration) = outage else { return };
        self.state.borrow_mut().on_store_recovered(self.now());
        slog::info!(self.context.log(), "store regained"; "source" => source,
            "unanswered_ms" => ms(duration));
    }

    /// Time since the store last answered any instance.
    pub fn store_unanswered(&self) -> Duration {
        self.store_contact.borrow().unanswered(self.now())
    }

    /// When the store last answered this instance.
    pub fn store_answered_at(&self) -> Option<Timestamp> {
        self.store_contact.borrow().own_answer_at()
    }

    fn now(&self) -> Timestamp {
        self.context.timers().boot_now()
    }

    /// Time until the next target is removed whose entry is missing since a restore.
    pub(super) fn next_lapse_after_restore(&self) -> Option<Duration> {
        let due = self.state.borrow().next_lapse_after_restore()?;
        Some(due.saturating_sub(self.now()))
    }

    /// Removes targets whose entries did not reappear after an outage or a restore of the store.
    pub fn expire_lapsed(&self) {
        let now = self.context.timers().boot_now();
        let removed = self.state.borrow_mut().expire_lapsed(now);
        for id in removed {
            slog::info!(self.context.log(), "target removed"; "target" => &*id,
                "fault" => "its entry was not renewed after the store outage");
        }
        self.publish_snapshot();
    }

    /// Applies the weights announced in the store. `absent_until` is when the announced weights were
    /// last confirmed before, by this instance or another one. `failed_at` is when the last failed
    /// read was requested.
    pub fn on_stored_weights(
        &self,
        announced: &[(ModelId, u64)],
        absent_until: Option<Timestamp>,
        failed_at: Option<Timestamp>,
    ) {
        let now = self.context.timers().boot_now();
        let assumed = self.assumed_announced_at();
        let announcement = Announcement::read(now, absent_until, failed_at, assumed);
        for (model, version) in announced {
            let is_newest = self
                .state
                .borrow_mut()
                .on_weights_read(model, *version, announcement);
            if is_newest {
                self.log_weights_named(model, *version, announcement, "store");
            }
        }
        self.publish_snapshot();
    }

    fn weights_bounds(&self) -> WeightsBounds {
        let settings = self.settings();
        WeightsBounds {
            adoption: Duration::from_millis(settings.weights_ms),
            contact: Duration::from_millis(settings.contact_ms),
        }
    }

    /// Whether a target with the given weights may still be used, because newer ones were not
    /// announced or only recently.
    pub fn may_use_weights(&self, model: &str, version: u64) -> bool {
        let age = self.superseded_age(model, version);
        age.is_none_or(|age| self.weights_bounds().may_use(age))
    }

    /// Time since newer weights than `version` were announced, actual or assumed. `None` if there
    /// are none.
    pub fn superseded_age(&self, model: &str, version: u64) -> Option<Duration> {
        let superseded_at = self.state.borrow().superseded_at(model, version)?;
        Some(
            self.context
                .timers()
                .boot_now()
                .saturating_sub(superseded_at),
        )
    }

    /// When this view was created, at the start of the process.
    pub fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Assumed announcement time of weights that were announced before this process started.
    pub fn assumed_announced_at(&self) -> Timestamp {
        self.weights_bounds().assumed_announced_at(self.started_at)
    }

    /// Applies announced weights with their announcement times.
    pub fn on_weights_announced(&self, announced: &[(ModelId, u64, Announcement)], source: &str) {
        for (model, version, announcement) in announced {
            let is_newest =
                self.state
                    .borrow_mut()
                    .on_weights_announced(model, *version, *announcement);
            if is_newest {
                self.log_weights_named(model, *version, *announcement, source);
            }
        }
        self.publish_snapshot();
    }

    fn log_weights_named(
        &self,
        model: &str,
        version: u64,
        announcement: Announcement,
        source: &str,
    ) {
        let now = self.context.timers().boot_now();
        slog::info!(self.context.log(), "weights named"; "model" => model,
            "version" => version, "source" => source,
            "age_ms" => ms(now.saturating_sub(announcement.at)),
            "is_age_assumed" => announcement.is_assumed);
    }

    /// Records weights observed on a target, from its response, its load report or a peer.
    pub fn on_observed_weights(&self, target: &TargetId, model: &ModelId, version: u64) {
        self.state
            .borrow_mut()
            .on_observed_weights(target, model, version);
        self.publish_snapshot();
    }

    /// Applies a load report of a target.
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

    /// Records that another target answers at the address of this one.
    pub fn on_replaced(&self, target: &TargetId, by: Option<&str>) {
        let now = self.context.timers().boot_now();
        if self.state.borrow_mut().on_replaced(target, now) {
            slog::info!(self.context.log(), "target removed"; "target" => &**target,
                "fault" => "another target has its address", "by" => by);
        }
        self.publish_snapshot();
    }

    /// Revision of the store that the targets reflect, in the era of [`Self::target_era`].
    pub fn target_revision(&self) -> u64 {
        self.target_position.get().revision
    }

    /// Era of the store that the targets reflect; `None` if the store states none.
    pub fn target_era(&self) -> Option<StoreEra> {
        let era = self.target_position.get().era;
        self.eras.current().map(|_| era)
    }

    /// Time since the store last confirmed the target list.
    pub fn targets_age(&self) -> Duration {
        self.now().saturating_sub(self.targets_confirmed_at.get())
    }

    /// Records that the store confirmed the target list at `at`.
    pub fn record_targets_confirmed(&self, at: Timestamp) {
        if at > self.targets_confirmed_at.get() {
            self.targets_confirmed_at.set(at);
            self.targets_confirmed.notify();
        }
    }

    /// Completes when the store next confirms the target list.
    pub fn targets_confirmed(&self) -> impl Future<Output = ()> + 'static {
        self.targets_confirmed.changed()
    }

    /// Returns the target list for a peer that has the targets up to a revision of an era. A peer that has
    /// them of another era, or states none after a restore, gets all entries.
    pub fn target_update_since(&self, revision: u64, era: Option<StoreEra>) -> TargetListUpdate {
        let position = self.target_position.get();
        let is_same_era = match era {
            Some(_) => era == self.target_era(),
            None => self.eras.restores() == 0,
        };
        let revision = if is_same_era { revision } else { 0 };
        let mut entries = self.state.borrow().entries(position.era);
        let names = entries.iter().map(|(_, record)| record.id.clone());
        let names = names.collect();
        entries.retain(|(entry_revision, _)| *entry_revision > revision);
        TargetListUpdate {
            era: self.target_era(),
            revision: position.revision,
            names,
            entries,
        }
    }

    /// Applies a target list received from a peer, unless it is older than the local one.
    pub fn apply_peer_targets(&self, raw: &[u8], peer: &str) {
        let list: TargetListUpdate = match serde_json::from_slice(raw) {
            Ok(list) => list,
            Err(error) => {
                slog::warn!(self.context.log(), "cannot decode the target list of a peer";
                    "peer" => peer, "error" => %error);
                return;
            }
        };
        if self.enter_era_of(&list, peer) && self.apply_newer_targets(list) == Some(true) {
            slog::info!(self.context.log(), "targets taken from a peer"; "peer" => peer,
                "revision" => self.target_revision());
        }
    }

    /// Applies a target list that the store confirmed to a peer at `confirmed_at`. Returns whether
    /// it was newer than the local one, or `None` if it is incomplete.
    pub fn apply_target_update(
        &self,
        list: TargetListUpdate,
        confirmed_at: Timestamp,
        peer: &str,
    ) -> Option<bool> {
        if !self.enter_era_of(&list, peer) {
            return None;
        }
        let revision = list.revision;
        let applied = self.apply_newer_targets(list);
        match applied {
            // A list older than the local one does not confirm that the local one is current.
            Some(_) if revision < self.target_revision() => {}
            Some(_) => self.record_targets_confirmed(confirmed_at),
            None => slog::info!(self.context.log(), "a peer's targets are incomplete";
                "peer" => peer, "revision" => revision, "own" => self.target_revision()),
        }
        applied
    }

    /// Applies the era of a peer's list. Returns whether the list is of the present era. A list without an
    /// era, which earlier versions send, counts until a restore: it may be from before that.
    fn enter_era_of(&self, list: &TargetListUpdate, peer: &str) -> bool {
        let is_present = match list.era {
            None => self.eras.restores() == 0,
            Some(era) => {
                self.eras.on_peer_era(era, peer);
                self.eras.current() == Some(era)
            }
        };
        if !is_present {
            slog::info!(self.context.log(), "a peer's targets are of another era";
                "peer" => peer, "era" => list.era, "own" => self.eras.current());
            self.context.metrics().count("store.discarded", 1);
        }
        is_present
    }

    /// Applies a list that is newer than the local one. Returns `None` if an entry is neither in
    /// the list nor present locally.
    fn apply_newer_targets(&self, list: TargetListUpdate) -> Option<bool> {
        if self.has_present_list() && list.revision <= self.target_revision() {
            return Some(false);
        }
        let names: BTreeSet<TargetId> = list.names.into_iter().collect();
        let updated: BTreeSet<TargetId> = list
            .entries
            .iter()
            .map(|(_, record)| record.id.clone())
            .collect();
        let present_era = self.eras.current();
        let mut entries = self.state.borrow().entries(present_era.unwrap_or(0));
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
            faults: Vec::new(),
            revision: list.revision,
            era: present_era,
        };
        self.on_targets(changes, true);
        Some(true)
    }

    /// Takes an incarnation of a target out of service, as it announced its shutdown in a response.
    pub fn set_leaving(&self, target: &TargetId, incarnation: Incarnation) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_new = state.set_leaving(target, incarnation);
        if is_new {
            state.on_departure(target, incarnation, now);
        }
        drop(state);
        if is_new {
            slog::info!(self.context.log(), "target announced its shutdown";
                "target" => &**target, "incarnation" => incarnation);
        }
        self.publish_snapshot();
    }

    /// Publishes a new snapshot to the scheduler if the state changed.
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

/// Provides the fleet view to the scheduler as a [`ConfigService`].
pub(super) struct FleetConfigService(pub(super) Rc<Fleet>);

impl ConfigService for FleetConfigService {
    fn current(&self) -> Option<Rc<ConfigSnapshot>> {
        self.0.snapshot.borrow().clone()
    }

    fn is_revoked(&self, _key_hash: &str) -> bool {
        // In this mode, keys are revoked only by a new configuration.
        false
    }

    fn changed(&self) -> LocalBoxFuture<'static, ()> {
        self.0.changed.changed().boxed_local()
    }

    fn apply_snapshot(&self, _snapshot: ConfigSnapshot) -> bool {
        false
    }

    fn revoke(&self, key_hash: &str) {
        slog::error!(self.0.context.log(),
            "cannot revoke a key here; remove it from the platform's configuration";
            "key" => key_hash.get(..8));
    }
}
