//! Merged state of the fleet.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::configuration::{ActiveConfiguration, ConfigCandidate, ConfigOutcome};
use super::removals::{Removals, is_written_after};
use super::{Announcement, FleetPolicy, FreshnessProof, StorePosition, TargetRecord};
use crate::core::config::{ConfigSnapshot, FleetConfig, Model, Target, TargetKind, Workspace};
use crate::core::ids::{
    ConfigDigest, ConfigVersion, Incarnation, ModelId, ObjectVersion, StoreEra, TargetId, Timestamp,
};

/// Assumed prefill rate of an engine whose description does not state one. The engines of both
/// sites process 92.1 tokens per millisecond.
const PREFILL_TOKENS_PER_S: u64 = 92_000;

/// Prompt tokens per block of the router's prefix table. The platform's prompts consist of parts of
/// a hundred to ten thousand tokens, and only complete parts are shared.
const BLOCK_TOKENS: u32 = 1_000;

/// Time after the recovery or a restore of the store during which a missing entry may reappear: a running
/// target whose entry expired during an outage, or is not in the copy, writes it again within two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// Maximum number of announced weights versions kept for a model.
const MAX_ANNOUNCED_VERSIONS: usize = 64;

/// What happened to a target whose entry was removed from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Removal {
    /// The target was removed.
    Removed,
    /// The target is kept, because its entry may have expired in an outage of the store.
    Postponed {
        /// When the target is removed unless its entry reappears.
        until: Timestamp,
    },
    /// The target was not known, or has a newer entry.
    Unknown,
}

/// Returns the name under which the scheduler handles a model of a service. Several services may
/// serve the same model, and each request belongs to one of the services.
pub fn model_key(service: &str, model: &str) -> ModelId {
    format!("{service}/{model}").into()
}

/// State of the fleet as seen by this instance. Versions of the configuration and of weights, and
/// the revisions of target entries in an era of the store only increase.
#[derive(Debug, Default)]
pub struct FleetState {
    config: ActiveConfiguration,
    /// Present era of the store; 0 if it states none.
    era: StoreEra,
    /// Whether the store states an era.
    has_era: bool,
    /// Revision of the store at its first list of targets since a restore.
    first_list: Option<ObjectVersion>,
    /// When this instance learned of the last restore.
    restored_at: Option<Timestamp>,
    /// Targets by name, with the position of their entry in the store.
    targets: BTreeMap<TargetId, (StorePosition, Rc<TargetRecord>)>,
    removed: Removals,
    /// Entries that were missing after an outage or a restore of the store: the position of their removal,
    /// and the time at which they are removed here.
    lapsed: BTreeMap<TargetId, (StorePosition, Timestamp)>,
    /// When the store last recovered from an outage.
    store_recovered_at: Option<Timestamp>,
    /// Targets, by name and incarnation, that announced their shutdown. An incarnation never
    /// returns to service.
    leaving: BTreeSet<(TargetId, u64)>,
    /// When it became known that a target, by name and incarnation, leaves. Kept as long as `leaving`.
    departures: HashMap<(TargetId, Incarnation), Timestamp>,
    /// Announcements of weights by model and version.
    announced: BTreeMap<ModelId, BTreeMap<u64, Announcement>>,
    /// Weights observed in responses since the entry was written, by name and incarnation of the
    /// target.
    observed: HashMap<(TargetId, u64), BTreeMap<ModelId, u64>>,
    /// Increases with each change that affects the scheduler.
    generation: u64,
}

impl FleetState {
    /// Creates an empty state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the active configuration.
    pub fn policy(&self) -> Option<&Rc<FleetPolicy>> {
        self.config.policy()
    }

    /// Returns the version of the active configuration; 0 if there is none.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.version()
    }

    /// Returns the highest version that was ever active. The active one is lower if the operator used versions
    /// again after a restore of the store.
    pub fn highest_config_version(&self) -> ConfigVersion {
        self.config.highest_version()
    }

    /// Returns the digest of the active configuration; 0 if there is none.
    pub fn config_digest(&self) -> ConfigDigest {
        self.config.digest()
    }

    /// Whether a restore of the store is known. From then on, confirmations have to name the contents.
    pub fn is_config_restored(&self) -> bool {
        self.config.has_restored()
    }

    /// Returns a number that increases with each change that affects the scheduler.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Activates a configuration that does not come from the store if its version is newer. Returns whether it
    /// was.
    pub fn apply_policy(&mut self, policy: FleetPolicy) -> bool {
        let outcome = self.apply_config(ConfigCandidate {
            policy,
            digest: 0,
            revision: None,
        });
        outcome != ConfigOutcome::Ignored
    }

    /// Activates a configuration if it is newer.
    pub fn apply_config(&mut self, candidate: ConfigCandidate) -> ConfigOutcome {
        let outcome = self.config.apply(candidate);
        if outcome != ConfigOutcome::Ignored {
            self.generation += 1;
        }
        outcome
    }

    /// Records that the store was restored from a copy, which may contain an older configuration.
    pub fn on_config_restored(&mut self) {
        self.config.on_restored();
    }

    /// Records a revision that the store stated in the present era. A configuration above it was written after
    /// the last restore.
    pub fn on_store_revision(&mut self, revision: ObjectVersion) {
        self.config.on_revision(revision);
    }

    /// Returns the revision of the configuration that became active last of those which were written after the
    /// last restore of the store; 0 if there is none.
    pub fn adopted_config_revision(&self) -> ObjectVersion {
        self.config.adopted_revision()
    }

    /// Records that a peer has adopted such a configuration in the present era. What has this or a later revision
    /// was written after the restore.
    pub fn on_peer_adoption(&mut self, revision: ObjectVersion) {
        self.config.on_peer_adoption(revision);
    }

    /// Records a version that a peer stated.
    pub fn on_peer_config_version(&mut self, version: ConfigVersion) {
        self.config.on_peer_version(version);
    }

    /// Applies a confirmation of the newest version.
    pub fn on_proof(&mut self, proof: FreshnessProof) {
        self.config.on_proof(proof);
    }

    /// Returns the latest confirmation of the active version.
    pub fn proof(&self) -> Option<FreshnessProof> {
        self.config.proof()
    }

    /// Returns the time since the active version was last confirmed to be the newest.
    pub fn config_age(&self, now: Timestamp) -> Option<Duration> {
        self.config.age(now)
    }

    /// Enters an era of the store. After a restore, what was read before is kept until it is replaced, and
    /// targets that the store no longer lists have time to write their entries again.
    pub fn on_era(&mut self, era: StoreEra, is_restore: bool, now: Timestamp) {
        self.era = era;
        self.has_era = true;
        if !is_restore {
            // The store has stated no era so far.
            for (position, _) in self.targets.values_mut() {
                position.era = era;
            }
            for (position, _) in self.lapsed.values_mut() {
                position.era = era;
            }
            self.removed.assign_era(era);
            return;
        }
        self.first_list = None;
        self.store_recovered_at = Some(now);
        self.restored_at = Some(now);
        for lapsed in self.lapsed.values_mut() {
            *lapsed = (StorePosition { era, revision: 0 }, now + LAPSE_GRACE);
        }
    }

    /// Returns the revision of the store at its first list of targets since the last restore. What has a
    /// higher revision was written after the restore.
    pub fn first_list_revision(&self) -> Option<ObjectVersion> {
        self.first_list
    }

    /// Returns the position of a revision in the present era.
    fn position(&self, revision: ObjectVersion) -> StorePosition {
        let era = self.era;
        StorePosition { era, revision }
    }

    /// Whether an entry was restored from the copy although its incarnation had been removed or replaced
    /// before the restore.
    fn is_outdated_copy(&self, revision: ObjectVersion, record: &TargetRecord) -> bool {
        let current = self.targets.get(&record.id);
        let is_replaced = current.is_some_and(|(position, current)| {
            position.era != self.era && record.incarnation < current.incarnation
        });
        let (id, incarnation) = (&record.id, record.incarnation);
        (is_replaced || self.removed.is_removed_before(id, incarnation, self.era))
            && !is_written_after(self.first_list, revision)
    }

    /// Applies one entry at a revision of the present era. Older revisions are ignored.
    pub fn on_target(&mut self, revision: ObjectVersion, record: TargetRecord) {
        let position = self.position(revision);
        let current = self.targets.get(&record.id);
        // A revision of 0 is that of an entry without one.
        let is_superseded = revision == 0
            || current.is_some_and(|(current, _)| position <= *current)
            || self.removed.supersedes(&record.id, position);
        if is_superseded || self.is_outdated_copy(revision, &record) {
            return;
        }
        let record = match current {
            Some((former, known)) if former.era != self.era => with_newest_weights(record, known),
            _ => record,
        };
        let run = (record.id.clone(), record.incarnation);
        if record.is_leaving {
            self.leaving.insert(run);
        } else if !self.leaving.contains(&run) {
            // Its entry was missing, but the target lives on.
            self.departures.remove(&run);
        }
        // The new entry supersedes what earlier responses reported, except for weights: versions
        // only increase within an incarnation, so `weights_of` takes the larger one.
        let id = record.id.clone();
        self.lapsed.remove(&id);
        self.targets.insert(id, (position, Rc::new(record)));
        self.generation += 1;
    }

    /// Records that the store responds again after an outage.
    pub fn on_store_recovered(&mut self, now: Timestamp) {
        self.store_recovered_at = Some(now);
    }

    /// Removes the entries that have not reappeared within the grace period after an outage.
    /// Returns their names.
    pub fn expire_lapsed(&mut self, now: Timestamp) -> Vec<TargetId> {
        let due: Vec<(TargetId, StorePosition)> = self
            .lapsed
            .iter()
            .filter(|(_, (_, at))| now >= *at)
            .map(|(id, (position, _))| (id.clone(), *position))
            .collect();
        let mut removed = Vec::new();
        for (id, position) in due {
            self.lapsed.remove(&id);
            let current = self.targets.get(&id);
            if let Some((_, record)) = current.filter(|(current, _)| current.is_before(position)) {
                let incarnation = record.incarnation;
                self.on_departure(&id, incarnation, now);
            }
            self.remove_target(&id, position, now);
            removed.push(id);
        }
        removed
    }

    /// Returns when the next target is removed whose entry is missing, after a restore of the store.
    pub fn next_lapse_after_restore(&self) -> Option<Timestamp> {
        self.restored_at?;
        self.lapsed.values().map(|(_, due)| *due).min()
    }

    /// Applies the removal of an entry at a store revision. Shortly after an outage of the store,
    /// the entry may merely have expired; the target is then kept until it has had time to write
    /// the entry again. Returns what happened to the target.
    pub fn on_target_removed(
        &mut self,
        id: &TargetId,
        revision: ObjectVersion,
        now: Timestamp,
    ) -> Removal {
        let position = self.position(revision);
        let current = self.targets.get(id);
        if let Some((_, record)) = current.filter(|(current, _)| current.is_before(position)) {
            let incarnation = record.incarnation;
            self.on_departure(id, incarnation, now);
        }
        self.remove_or_postpone(id, position, now)
    }

    /// Removes a target, or postpones that shortly after an outage or a restore of the store.
    fn remove_or_postpone(
        &mut self,
        id: &TargetId,
        position: StorePosition,
        now: Timestamp,
    ) -> Removal {
        let grace_end = self.store_recovered_at.map(|at| at + LAPSE_GRACE);
        let is_known = self.targets.contains_key(id);
        if let Some(due) = grace_end.filter(|end| now < *end)
            && is_known
        {
            self.lapsed.insert(id.clone(), (position, due));
            return Removal::Postponed { until: due };
        }
        self.remove_target(id, position, now);
        match is_known && !self.targets.contains_key(id) {
            true => Removal::Removed,
            false => Removal::Unknown,
        }
    }

    /// Removes a target unless its entry is newer than `position`, and remembers the removal.
    fn remove_target(&mut self, id: &TargetId, position: StorePosition, now: Timestamp) {
        let current = self.targets.get(id);
        let superseded = current.filter(|(current, _)| current.is_before(position));
        let incarnation = superseded.map(|(_, record)| record.incarnation);
        if incarnation.is_some() {
            self.targets.remove(id);
            self.generation += 1;
        }
        self.removed
            .record(id, position, incarnation, now, self.has_era);
        let (targets, removed) = (&self.targets, &self.removed);
        self.observed.retain(|(id, _), _| targets.contains_key(id));
        // An entry that expired may be written again by an incarnation that is shutting down.
        let is_remembered = |id: &TargetId| targets.contains_key(id) || removed.contains(id);
        self.leaving.retain(|(id, _)| is_remembered(id));
        self.departures.retain(|(id, _), _| is_remembered(id));
    }

    /// Applies a complete list at a revision of the present era: targets that are missing in it are
    /// removed. Returns what happened to these.
    pub fn on_target_list(
        &mut self,
        revision: ObjectVersion,
        entries: Vec<(ObjectVersion, TargetRecord)>,
        now: Timestamp,
    ) -> Vec<(TargetId, Removal)> {
        let position = self.position(revision);
        self.first_list = self.first_list.or(Some(revision));
        let listed: BTreeSet<TargetId> = entries
            .iter()
            .filter(|(revision, record)| !self.is_outdated_copy(*revision, record))
            .map(|(_, record)| record.id.clone())
            .collect();
        let missing: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(id, (current, _))| !listed.contains(*id) && current.is_before(position))
            .map(|(id, _)| id.clone())
            .collect();
        // Targets whose entries the copy lacks have not left: it is known only after the grace period.
        let is_restored = self
            .restored_at
            .is_some_and(|at| now.saturating_sub(at) < LAPSE_GRACE);
        let mut removals = Vec::new();
        for id in missing {
            let removal = match is_restored {
                true => self.remove_or_postpone(&id, position, now),
                false => self.on_target_removed(&id, revision, now),
            };
            removals.push((id, removal));
        }
        for (revision, record) in entries {
            self.on_target(revision, record);
        }
        removals
    }

    /// Returns all entries that were read in an era, with their store revisions, for other instances.
    pub fn entries(&self, era: StoreEra) -> Vec<(ObjectVersion, TargetRecord)> {
        let entries = self.targets.values();
        entries
            .filter(|(position, _)| position.era == era)
            .map(|(position, record)| (position.revision, (**record).clone()))
            .collect()
    }

    /// Records that another target responds at the address of this one, which is removed. Only a
    /// new entry written by the target restores it. Returns whether the target existed.
    pub fn on_replaced(&mut self, id: &TargetId, now: Timestamp) -> bool {
        let Some((position, _)) = self.targets.get(id) else {
            return false;
        };
        let position = *position;
        self.remove_target(id, position, now);
        true
    }

    /// Whether this is the current incarnation of a target.
    pub fn is_current_incarnation(&self, id: &str, incarnation: Incarnation) -> bool {
        self.target(id)
            .is_some_and(|record| record.incarnation == incarnation)
    }

    /// Returns a target by name.
    pub fn target(&self, id: &str) -> Option<&Rc<TargetRecord>> {
        self.targets.get(id).map(|(_, record)| record)
    }

    /// Iterates over all targets.
    pub fn targets(&self) -> impl Iterator<Item = &Rc<TargetRecord>> {
        self.targets.values().map(|(_, record)| record)
    }

    /// Returns the names of a service's targets that take new work.
    pub fn serving_targets(&self, service: &str) -> Vec<TargetId> {
        self.targets()
            .filter(|record| *record.service == *service && !self.is_leaving(record))
            .map(|record| record.id.clone())
            .collect()
    }

    /// Whether a target is shutting down and takes no new work.
    pub fn is_leaving(&self, record: &TargetRecord) -> bool {
        record.is_leaving
            || self
                .leaving
                .contains(&(record.id.clone(), record.incarnation))
    }

    /// Records that an incarnation of a target is known to leave at `at`, unless that was known before.
    pub fn on_departure(&mut self, id: &TargetId, incarnation: Incarnation, at: Timestamp) {
        let run = (id.clone(), incarnation);
        self.departures.entry(run).or_insert(at);
    }

    /// Returns since when a target is known to leave: it has announced that, or its entry is missing. Some
    /// targets announce nothing: their entry is removed, and they go on for a while.
    pub fn departed_at(&self, record: &TargetRecord) -> Option<Timestamp> {
        let run = (record.id.clone(), record.incarnation);
        let known = self.departures.get(&run).copied();
        // Old removals are forgotten.
        let is_forgotten =
            !self.targets.contains_key(&record.id) && !self.removed.contains(&record.id);
        known.or(is_forgotten.then_some(Timestamp::ZERO))
    }

    /// Whether a target has announced its shutdown or its entry is removed. An entry that may have expired in
    /// an outage of the store says neither.
    pub fn has_left(&self, record: &TargetRecord) -> bool {
        self.is_leaving(record) || !self.targets.contains_key(&record.id)
    }

    /// Records that an incarnation of a target announced its shutdown in a response. Returns whether
    /// that was unknown.
    pub fn set_leaving(&mut self, id: &TargetId, incarnation: Incarnation) -> bool {
        let is_new = !self.leaving.contains(&(id.clone(), incarnation));
        if is_new && self.is_current_incarnation(id, incarnation) {
            self.leaving.insert((id.clone(), incarnation));
            self.generation += 1;
            return true;
        }
        false
    }

    /// Records the announcement of a model's weights version. Returns whether it is the newest
    /// version.
    pub fn on_weights_announced(
        &mut self,
        model: &ModelId,
        version: u64,
        announcement: Announcement,
    ) -> bool {
        let newest = self.announced_weights(model).unwrap_or(0);
        let versions = self.announced.entry(model.clone()).or_default();
        match versions.get_mut(&version) {
            Some(stored) => {
                stored.merge(announcement);
                return false;
            }
            None => versions.insert(version, announcement),
        };
        while versions.len() > MAX_ANNOUNCED_VERSIONS {
            // The oldest version is kept, since its announcement superseded all versions before it.
            let second = versions.keys().nth(1).copied();
            second.map(|version| versions.remove(&version));
        }
        self.generation += 1;
        version > newest
    }

    /// Records that the store holds a weights version. `announcement` applies only if the version is
    /// not known yet: a known version was announced before this read, which says nothing about when.
    /// Returns whether it is the newest version.
    pub fn on_weights_read(
        &mut self,
        model: &ModelId,
        version: u64,
        announcement: Announcement,
    ) -> bool {
        let versions = self.announced.get(model);
        if versions.is_some_and(|versions| versions.contains_key(&version)) {
            return false;
        }
        self.on_weights_announced(model, version, announcement)
    }

    /// Returns the newest announced weights version of a model.
    pub fn announced_weights(&self, model: &str) -> Option<u64> {
        self.announced.get(model)?.keys().next_back().copied()
    }

    /// Returns when the first version after `version` of a model's weights was announced, actual or
    /// assumed.
    pub fn superseded_at(&self, model: &str, version: u64) -> Option<Timestamp> {
        let after = (Bound::Excluded(version), Bound::Unbounded);
        let newer = self.announced.get(model)?.range(after);
        newer.map(|(_, announcement)| announcement.at).min()
    }

    /// Iterates over all announced versions of all models, with the actual time of the announcement
    /// if there is one.
    pub fn announcements(&self) -> impl Iterator<Item = (&ModelId, u64, Option<Timestamp>)> {
        self.announced.iter().flat_map(|(model, versions)| {
            let versions = versions.iter();
            versions.map(move |(version, announcement)| {
                let at = (!announcement.is_assumed).then_some(announcement.at);
                (model, *version, at)
            })
        })
    }

    /// Iterates over all models with their newest announced weights version.
    pub fn newest_announced_weights(&self) -> impl Iterator<Item = (&ModelId, u64)> {
        self.announced.iter().filter_map(|(model, versions)| {
            let (newest, _) = versions.last_key_value()?;
            Some((model, *newest))
        })
    }

    /// Records the weights version that a target's response reported.
    pub fn on_observed_weights(&mut self, id: &TargetId, model: &ModelId, version: u64) {
        let Some(record) = self.target(id) else {
            return;
        };
        let current = record.weights_of(model).unwrap_or(0);
        let target_run = (id.clone(), record.incarnation);
        let observed = self.observed.entry(target_run).or_default();
        let stored = observed.entry(model.clone()).or_insert(0);
        if version > current.max(*stored) {
            *stored = version;
            self.generation += 1;
        }
    }

    /// Applies a target's report about itself. A later incarnation than that of the entry replaces
    /// the entry until the target has written a new one.
    pub fn on_report(
        &mut self,
        id: &TargetId,
        incarnation: Incarnation,
        weights: &[(ModelId, u64)],
    ) {
        let Some((position, record)) = self.targets.get(id) else {
            return;
        };
        if incarnation > record.incarnation {
            let restarted = TargetRecord {
                incarnation,
                weights: weights.to_vec(),
                ..(**record).clone()
            };
            let entry = (*position, Rc::new(restarted));
            self.targets.insert(id.clone(), entry);
            self.generation += 1;
        } else if incarnation == record.incarnation {
            for (model, version) in weights {
                self.on_observed_weights(id, model, *version);
            }
        }
    }

    /// Returns the newest known version of a model's weights at a target. Versions only increase
    /// within an incarnation, so the larger one of entry and responses is the newer one.
    pub fn weights_of(&self, record: &TargetRecord, model: &str) -> Option<u64> {
        let target_run = (record.id.clone(), record.incarnation);
        let observed = self
            .observed
            .get(&target_run)
            .and_then(|observed| observed.get(model));
        record.weights_of(model).max(observed.copied())
    }

    /// Returns the configuration for the scheduler: engines by service and model, and all other
    /// targets.
    pub fn snapshot(&self) -> ConfigSnapshot {
        let mut fleet = FleetConfig::default();
        let Some(policy) = self.config.policy() else {
            return ConfigSnapshot::new(0, fleet);
        };
        for (name, workspace) in &policy.workspaces {
            let scheduler_workspace = Workspace {
                weight: 1,
                rate_tokens_per_s: workspace.rate_per_s as u64,
                burst_tokens: workspace.burst as u64,
                priority: workspace.priority.unwrap_or(u8::MAX),
            };
            fleet.workspaces.insert(name.clone(), scheduler_workspace);
        }
        for (service, definition) in &policy.services {
            for model in definition.engine.iter().flat_map(|engine| &engine.models) {
                let version = self.announced_weights(model).unwrap_or(0);
                fleet
                    .models
                    .insert(model_key(service, model), scheduler_model(version));
            }
        }
        for record in self.targets() {
            if let Some(target) = self.scheduler_target(policy, record) {
                fleet.targets.insert(record.id.clone(), target);
            }
        }
        ConfigSnapshot::new(policy.version, fleet)
    }

    /// Converts an entry for the scheduler. `None` if the service is unknown or a KV cache store.
    fn scheduler_target(&self, policy: &FleetPolicy, record: &TargetRecord) -> Option<Target> {
        let service = policy.services.get(&record.service)?;
        if service.kv_store.is_some() {
            return None;
        }
        let models = service.engine.iter().flat_map(|engine| &engine.models);
        Some(Target {
            kind: match service.engine {
                Some(_) => TargetKind::Engine,
                None => TargetKind::Service,
            },
            address: record.address,
            failure_domain: record.failure_domain.to_string(),
            models: models
                .map(|model| model_key(&record.service, model))
                .collect(),
            max_running: record.slots.max(1),
            checks_fencing: false,
            credential: None,
            is_draining: self.is_leaving(record),
        })
    }
}

/// Returns an entry with the newest weights that it or a former entry of the same incarnation states.
/// Versions only increase within an incarnation, and the entry may be that of an older copy.
fn with_newest_weights(mut record: TargetRecord, former: &TargetRecord) -> TargetRecord {
    if record.incarnation == former.incarnation {
        for (model, version) in &mut record.weights {
            *version = former.weights_of(model).max(Some(*version)).unwrap_or(0);
        }
    }
    record
}

/// Returns the scheduler's settings of a model. The length of prompts is counted in tokens here, so
/// a token has one byte.
fn scheduler_model(version: u64) -> Model {
    Model {
        weights_version: Arc::from(version.to_string()),
        block_bytes: BLOCK_TOKENS,
        min_bytes_per_token: 1,
        default_max_tokens: 1,
        max_tokens_limit: 1,
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        first_token_deadline_ms: 0,
        min_ready_targets: 1,
    }
}
