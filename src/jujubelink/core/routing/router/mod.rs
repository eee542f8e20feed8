//! Routing state of one instance, and the selection of a target for a model request.

mod choose;
mod explain;
mod hit_rates;
mod pace;

use std::collections::HashMap;
use std::time::Duration;

use self::hit_rates::ReplicaHitRates;
pub(super) use self::pace::ExpectedShare;
pub use self::pace::{SpeedRange, TargetSpeed};
use super::scan::{FirstBlockDemand, PrefixScan, ScanInput};
use super::{
    LoadReport, PrefixTable, RankTable, ServiceTimes, TargetIndex, TargetSettings, TargetState,
    TargetTable,
};
use crate::core::config::ConfigSnapshot;
use crate::core::ids::{Fingerprint, Incarnation, ModelId, TargetId, Timestamp, Tokens};
use crate::core::pace::{IgnoredPace, Ramp, ServicePace};
use crate::util::hash::stable_hash;

/// Cost factor of the prefill time relative to the wait. A prefill costs more than its own
/// duration: it delays other requests at the target and evicts their blocks.
const PREFILL_WEIGHT: f64 = 1.3;

/// Additional cost factor of the fetch time. All engines share the link of the KV cache store, and
/// a site with long prompts would saturate it if each request fetched its shared blocks.
const FETCH_WEIGHT: f64 = 2.0;

/// A request for which a target is selected.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Model.
    pub model: &'a str,
    /// Fingerprints of the complete blocks of the prompt.
    pub blocks: &'a [Fingerprint],
    /// Length of the prompt.
    pub prompt_bytes: usize,
    /// Rate limit of the workspace.
    pub rate_tokens_per_s: Tokens,
    /// Targets that must not be selected.
    pub excluded: &'a [TargetId],
    /// Whether the request was running when an engine crashed. It must then be the only such
    /// request at its target.
    pub is_suspect: bool,
    /// Whether a target with free capacity is preferred to a cheaper one without.
    pub is_urgent: bool,
}

/// A selected target with the estimates that led to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Target.
    pub target: TargetIndex,
    /// Number of leading blocks that the target is estimated to have cached.
    pub cached_blocks: u32,
    /// Number of leading blocks whose replica sets contain the target.
    pub replica_blocks: u32,
    /// Number of leading blocks that this instance has recently seen.
    pub recent_blocks: u32,
    /// Number of leading blocks to import from the KV cache store before the request; 0 for no
    /// import.
    pub import_blocks: u32,
    /// Engine with a longer cached prefix from which the target should fetch blocks.
    pub fetch_from: Option<TargetIndex>,
    /// Expected time until the prefill starts, in seconds.
    pub wait_s: f64,
    /// Expected time of the prefill including transfers of blocks, in seconds.
    pub prefill_s: f64,
    /// Part of `prefill_s` that the target spends on fetching blocks.
    pub fetch_s: f64,
    /// Whether the target can start the request without a long wait.
    pub has_capacity: bool,
    /// Pace of the target by which the times are estimated; 1 if its service uses no paces.
    pub pace: f64,
    /// Limit of concurrent requests at the target.
    pub limit: u32,
}

impl Choice {
    /// Returns the expected time to the first token, in seconds.
    pub fn first_token_s(&self) -> f64 {
        self.wait_s + self.prefill_s
    }

    /// Returns the cost by which targets are compared, in seconds.
    pub fn cost_s(&self) -> f64 {
        self.wait_s + PREFILL_WEIGHT * self.prefill_s + FETCH_WEIGHT * self.fetch_s
    }
}

/// Ages of the cache index entries behind a choice. Together with the cached tokens of the response
/// they yield the target's block lifetime.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EstimateAges {
    /// Age of the entry for the last block that was estimated to be cached.
    pub deepest_valid: Option<Duration>,
    /// Age of the entry for the next block, if it had expired.
    pub first_expired: Option<Duration>,
}

/// Routing state of one model.
#[derive(Debug)]
struct ModelState {
    /// Targets that serve the model, each with a hash of its name.
    members: Vec<(TargetIndex, u64)>,
    ranks: RankTable,
    block_bytes: u32,
    /// Prefill time of one block, in seconds.
    block_prefill_s: f64,
    /// Hashes as in [`super::ReportedState`].
    model_hash: u64,
    weights_hash: u64,
    times: ServiceTimes,
    replica_hit_rates: ReplicaHitRates,
    /// Smoothed time for which one prompt token occupies a target, in seconds.
    work_per_token_s: f64,
    /// Usual values of the model's targets; `None` until one of them has reported a pace.
    service_pace: Option<ServicePace>,
    updated: UpdatedTargets,
}

impl ModelState {
    /// Whether a target has the configured weights, as far as is known.
    fn has_weights(&self, state: &TargetState) -> bool {
        [0, self.weights_hash].contains(&state.reported.weights_hash)
    }
}

/// Share of a model's targets in service that have the configured weights, as last counted.
#[derive(Debug, Clone, Copy)]
struct UpdatedTargets {
    share: f64,
    counted_at: Option<Timestamp>,
}

impl Default for UpdatedTargets {
    fn default() -> Self {
        Self {
            share: 1.0,
            counted_at: None,
        }
    }
}

/// Time between counts of the targets that have the configured weights. A decision must not visit all
/// targets, and a load takes 0.4 s or more.
const COUNT_PERIOD: Duration = Duration::from_millis(100);

/// Assumed fraction of a prompt that is computed (not cached) until requests have been observed.
const INITIAL_COMPUTED_RATIO: f64 = 0.5;

/// Smoothing factor of the work per token.
const WORK_SMOOTHING: f64 = 0.02;

/// Routing state of one instance. Its size is bounded by the targets in the configuration and
/// [`super::MAX_PREFIXES`].
#[derive(Debug, Default)]
pub struct Router {
    targets: TargetTable,
    models: HashMap<ModelId, ModelState>,
    prefixes: PrefixTable,
    /// Number of instances in the fleet, at least 1.
    instances: u32,
    has_kv_store: bool,
    /// Whether engines fetch cached blocks from each other.
    has_engine_fetch: bool,
    scan: PrefixScan,
    /// Numbers of ignored paces by reason since they were last read.
    ignored_paces: HashMap<IgnoredPace, u64>,
}

impl Router {
    /// Creates a router without targets.
    pub fn new() -> Self {
        Self {
            instances: 1,
            ..Self::default()
        }
    }

    /// Applies the targets and models of a configuration. The state of targets and rankings that
    /// did not change is kept.
    pub fn on_config(&mut self, config: &ConfigSnapshot) {
        self.apply_targets(config);
        self.models
            .retain(|model, _| config.fleet.models.contains_key(model));
        for (id, model) in &config.fleet.models {
            let members: Vec<_> = config
                .engines_of(id)
                .filter_map(|(target, _)| self.targets.index(target))
                .map(|index| (index, self.targets.get(index).name_hash))
                .collect();
            let rate = model.prefill_tokens_per_s.max(1) as f64;
            let state = self.models.entry(id.clone()).or_insert_with(|| ModelState {
                members: Vec::new(),
                ranks: RankTable::new(&[]),
                block_bytes: 1,
                block_prefill_s: 0.0,
                model_hash: stable_hash(0, id.as_bytes()),
                weights_hash: 0,
                times: ServiceTimes::default(),
                replica_hit_rates: ReplicaHitRates::default(),
                work_per_token_s: INITIAL_COMPUTED_RATIO / rate,
                service_pace: None,
                updated: UpdatedTargets::default(),
            });
            state.block_bytes = model.block_bytes.max(1);
            state.block_prefill_s = BLOCK_TOKENS / rate;
            state.weights_hash = stable_hash(state.model_hash, model.weights_version.as_bytes());
            if state.members != members {
                state.ranks = RankTable::new(&members);
                state.members = members;
            }
        }
        self.enable_paces();
    }

    fn apply_targets(&mut self, config: &ConfigSnapshot) {
        use crate::core::config::TargetKind;
        let removed: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, state)| !config.fleet.targets.contains_key(&state.id))
            .map(|(index, _)| index)
            .collect();
        for index in removed {
            let state = self.targets.get_mut(index);
            state.settings = None;
            state.invalidate_cache();
        }
        let is_first = self
            .targets
            .iter()
            .all(|(_, state)| state.settings.is_none());
        for (id, target) in &config.fleet.targets {
            let index = self.targets.add(id);
            let state = self.targets.get_mut(index);
            if state.settings.is_none() && !is_first {
                state.ramp = Ramp::Pending;
            }
            state.settings = Some(TargetSettings {
                max_running: target.max_running,
                is_draining: target.is_draining,
            });
        }
        let mut kinds = config.fleet.targets.values().map(|target| target.kind);
        self.has_kv_store = kinds.any(|kind| kind == TargetKind::KvStore);
    }

    /// Sets the number of instances in the fleet, including this one.
    pub fn set_instance_count(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Enables the mode in which engines fetch cached blocks from each other.
    pub fn with_engine_fetch(mut self) -> Self {
        self.has_engine_fetch = true;
        self
    }

    /// Returns the table of targets.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Returns the mutable table of targets.
    pub fn targets_mut(&mut self) -> &mut TargetTable {
        &mut self.targets
    }

    /// Returns the targets that serve a model in the current configuration.
    pub fn targets_of(&self, model: &str) -> &[TargetIndex] {
        self.models
            .get(model)
            .map_or(&[], |state| state.ranks.members())
    }

    /// Returns the replica set of the whole prompt (its longest prefix).
    pub fn replica_set(&self, model: &str, blocks: &[Fingerprint]) -> Vec<TargetIndex> {
        let Some(state) = self.models.get(model) else {
            return Vec::new();
        };
        let mut scan = PrefixScan::default();
        let input = ScanInput {
            prefixes: &self.prefixes,
            targets: &self.targets,
            ranks: &state.ranks,
            blocks,
            excluded: &[],
            first_block: FirstBlockDemand {
                busy_targets: 0.0,
                instances: self.instances,
            },
        };
        scan.collect(&input, Timestamp::ZERO);
        let depth = blocks.len() as u32;
        let members = state.ranks.members().iter().copied();
        members
            .filter(|target| scan.replica_blocks(*target) == depth)
            .collect()
    }

    /// Counts the targets that have the configured weights, unless that was done a moment ago.
    fn count_updated_targets(&mut self, model: &str, now: Timestamp) {
        let Some(model) = self.models.get_mut(model) else {
            return;
        };
        let last = model.updated.counted_at;
        if last.is_some_and(|last| now.saturating_sub(last) < COUNT_PERIOD) {
            return;
        }
        let states = model.members.iter();
        let states = states.map(|(target, _)| self.targets.get(*target));
        let (mut in_service, mut updated) = (0u32, 0u32);
        for state in states.filter(|state| state.is_in_service()) {
            in_service += 1;
            updated += u32::from(model.has_weights(state));
        }
        model.updated = UpdatedTargets {
            share: match in_service {
                0 => 1.0,
                _ => f64::from(updated) / f64::from(in_service),
            },
            counted_at: Some(now),
        };
    }

    /// Records a sent request, whose blocks will be cached at the target.
    pub fn on_sent(&mut self, request: &RouteRequest<'_>, choice: &Choice, now: Timestamp) {
        let Some(model) = self.models.get_mut(request.model) else {
            return;
        };
        let prefill = Duration::from_secs_f64(choice.prefill_s);
        // Instances must agree on the sizes of replica sets, so the work does not depend on the target.
        let usual_prefill = Duration::from_secs_f64(choice.prefill_s / choice.pace);
        let work =
            usual_prefill + Duration::from_secs_f64(DECODE_WORK_RATIO * model.times.occupied_s);
        let tokens = BLOCK_TOKENS * request.prompt_bytes as f64 / f64::from(model.block_bytes);
        let per_token_s = work.as_secs_f64() / tokens.max(1.0);
        if tokens >= BLOCK_TOKENS {
            model.work_per_token_s += WORK_SMOOTHING * (per_token_s - model.work_per_token_s);
        }
        let state = self.targets.get_mut(choice.target);
        state.load.on_sent(prefill, now);
        state.has_suspect |= request.is_suspect;
        let generation = state.generation;
        for block in request.blocks {
            let prefix = self.prefixes.get_or_add(*block, now);
            prefix.demand.on_request(work, self.instances, now);
            prefix.store(choice.target, generation, now);
        }
        if model.service_pace.is_some() {
            self.add_placed_work(choice, now);
        }
    }

    /// Returns the ages of the cache index entries behind a choice. Must be called before
    /// [`Self::on_sent`], which refreshes the entries.
    pub fn estimate_ages(
        &self,
        blocks: &[Fingerprint],
        choice: &Choice,
        now: Timestamp,
    ) -> EstimateAges {
        let generation = self.targets.get(choice.target).generation;
        let age = |position: usize| {
            let used = self
                .prefixes
                .last_use(*blocks.get(position)?, choice.target, generation)?;
            Some(now.saturating_sub(used))
        };
        let depth = choice.cached_blocks as usize;
        EstimateAges {
            deepest_valid: depth.checked_sub(1).and_then(age),
            first_expired: age(depth),
        }
    }

    /// Records how much of a completed request's prompt was cached. Updates the cache index, the
    /// target's block lifetime and the hit rates of replicas.
    pub fn on_cached(
        &mut self,
        model: &str,
        blocks: &[Fingerprint],
        choice: &Choice,
        ages: EstimateAges,
        cached_tokens: Tokens,
        now: Timestamp,
    ) {
        let found = (cached_tokens as f64 / BLOCK_TOKENS).round() as u32;
        let estimated = choice.cached_blocks;
        let state = self.targets.get_mut(choice.target);
        if let Some(age) = ages.deepest_valid {
            state.observe_block_lifetime(age, found >= estimated);
        }
        if let Some(age) = ages.first_expired {
            state.observe_block_lifetime(age, found > estimated);
        }
        let generation = state.generation;
        for block in blocks {
            let prefix = self.prefixes.get_or_add(*block, now);
            prefix.store(choice.target, generation, now);
        }
        if let Some(model) = self.models.get_mut(model) {
            let (recent, replica) = (choice.recent_blocks, choice.replica_blocks);
            model
                .replica_hit_rates
                .observe(estimated, recent, replica, found);
        }
    }

    /// Records a completed request whose response does not state how much of the prompt was cached.
    pub fn on_cached_unstated(&mut self, model: &str) {
        if let Some(model) = self.models.get_mut(model) {
            model.replica_hit_rates.on_unstated();
        }
    }

    /// Records the durations of a completed request.
    pub fn on_completed(&mut self, model: &str, occupied: Duration, prefill: Duration) {
        if let Some(state) = self.models.get_mut(model) {
            state.times.on_completed(occupied, prefill);
        }
    }

    /// Returns the smoothed durations of a model's requests.
    pub fn times(&self, model: &str) -> ServiceTimes {
        self.models
            .get(model)
            .map(|state| state.times)
            .unwrap_or_default()
    }

    /// Applies a load report.
    pub fn on_load(&mut self, target: TargetIndex, report: &LoadReport, now: Timestamp) {
        let state = self.targets.get_mut(target);
        state.set_incarnation(report.incarnation);
        state.set_reported(report.reported_state());
        state.load.on_report(report, now);
        if let (Some(settings), true) = (&mut state.settings, report.max_running > 0) {
            settings.max_running = report.max_running;
        }
        let requests = report.running.saturating_add(report.waiting);
        self.on_reported_pace(target, report.pace, requests, now);
    }

    /// Applies a cache event of the target's current incarnation. Events for prefixes that this
    /// instance has not routed are ignored, which bounds the work by the local traffic.
    pub fn on_cache_event(
        &mut self,
        target: TargetIndex,
        fingerprint: Fingerprint,
        is_stored: bool,
        now: Timestamp,
    ) {
        if !self.prefixes.contains(fingerprint) {
            return;
        }
        let generation = self.targets.get(target).generation;
        if is_stored {
            let prefix = self.prefixes.get_or_add(fingerprint, now);
            prefix.store(target, generation, now);
            return;
        }
        if let Some(used) = self.prefixes.last_use(fingerprint, target, generation) {
            let age = now.saturating_sub(used);
            self.targets
                .get_mut(target)
                .observe_block_lifetime(age, false);
        }
        self.prefixes.evict(fingerprint, target);
    }

    /// Records that cache events of a target were lost, so its cache contents are unknown.
    pub fn on_event_gap(&mut self, target: TargetIndex) {
        self.targets.get_mut(target).invalidate_cache();
    }

    /// Applies another instance's digest of changes to hot prefixes at a target. A digest for
    /// another incarnation than the current one cannot be ordered and is ignored.
    pub fn on_digest(
        &mut self,
        target: TargetIndex,
        incarnation: Incarnation,
        stored: &[Fingerprint],
        evicted: &[Fingerprint],
        now: Timestamp,
    ) {
        if self.targets.get(target).incarnation != incarnation {
            return;
        }
        for fingerprint in stored {
            self.on_cache_event(target, *fingerprint, true, now);
        }
        for fingerprint in evicted {
            self.on_cache_event(target, *fingerprint, false, now);
        }
    }

    /// Whether a prefix has more than one replica, so that changes to it are worth sending to other
    /// instances.
    pub fn is_hot(&self, fingerprint: Fingerprint) -> bool {
        let prefix = self.prefixes.get(fingerprint);
        prefix.is_some_and(|prefix| prefix.demand.replicas() > 1)
    }
}

/// Tokens per block, by which the `cached_tokens` of responses are converted to blocks.
pub const BLOCK_TOKENS: f64 = 1000.0;

/// Fraction of the time a request holds a slot that counts as work: a target decodes many requests
/// at once.
const DECODE_WORK_RATIO: f64 = 1.0 / 16.0;
