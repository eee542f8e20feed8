//! Routing state of one instance, and the choice of a target for a model request.

mod choose;
mod explain;
mod hit_rates;

use std::collections::HashMap;
use std::time::Duration;

use self::hit_rates::ReplicaHitRates;
use super::scan::{FirstBlockDemand, PrefixScan, ScanInput};
use super::{
    LoadReport, PrefixTable, RankTable, ServiceTimes, TargetIndex, TargetSettings, TargetTable,
};
use crate::core::config::ConfigSnapshot;
use crate::core::ids::{Fingerprint, Incarnation, ModelId, TargetId, Timestamp, Tokens};
use crate::util::hash::stable_hash;

/// Weight of a prefill against a wait. A prefill costs more than its own time, because it delays
/// other requests at the target and evicts their blocks.
const PREFILL_WEIGHT: f64 = 1.3;

/// Further weight of a fetch. All engines share the links of the store, which a site's long prompts
/// would fill if each request fetched its shared parts.
const FETCH_WEIGHT: f64 = 2.0;

/// A request as the router sees it.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Model.
    pub model: &'a str,
    /// Fingerprints of the whole blocks of the prompt.
    pub blocks: &'a [Fingerprint],
    /// Length of the prompt.
    pub prompt_bytes: usize,
    /// Rate of the workspace.
    pub rate_tokens_per_s: Tokens,
    /// Targets that must not be chosen.
    pub excluded: &'a [TargetId],
    /// Whether the request has to be the only suspect at its target.
    pub is_suspect: bool,
    /// Whether a target with room is better than a cheaper one without.
    pub is_urgent: bool,
}

/// A chosen target and the reasons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Target.
    pub target: TargetIndex,
    /// Leading blocks that the target is believed to have cached.
    pub cached_blocks: u32,
    /// Leading blocks in whose replica sets the target is.
    pub replica_blocks: u32,
    /// Leading blocks that this instance has seen lately.
    pub recent_blocks: u32,
    /// Leading blocks that a transfer from the KV cache store should fill before the request, 0 if
    /// none.
    pub import_blocks: u32,
    /// Engine that has more of the prompt cached and from which the target should fetch it.
    pub fetch_from: Option<TargetIndex>,
    /// Expected time until the prefill begins, in seconds.
    pub wait_s: f64,
    /// Expected time of the prefill or the transfer, in seconds.
    pub prefill_s: f64,
    /// Part of `prefill_s` in which the target fetches blocks.
    pub fetch_s: f64,
    /// Whether the target has room now.
    pub has_capacity: bool,
}

impl Choice {
    /// Expected time to the first token, in seconds.
    pub fn first_token_s(&self) -> f64 {
        self.wait_s + self.prefill_s
    }

    /// Cost by which choices are compared, in seconds.
    pub fn cost_s(&self) -> f64 {
        self.wait_s + PREFILL_WEIGHT * self.prefill_s + FETCH_WEIGHT * self.fetch_s
    }
}

/// Ages of beliefs, from which a response teaches the target's block lifetime.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EstimateAges {
    /// Age of the deepest belief that was still valid.
    pub deepest_valid: Option<Duration>,
    /// Age of the next one, if it had expired.
    pub first_expired: Option<Duration>,
}

#[derive(Debug)]
struct ModelState {
    members: Vec<(TargetIndex, u64)>,
    ranks: RankTable,
    block_bytes: u32,
    block_prefill_s: f64,
    /// Hashes as in [`super::ReportedState`].
    model_hash: u64,
    weights_hash: u64,
    times: ServiceTimes,
    replica_hit_rates: ReplicaHitRates,
    /// Smoothed time that a target is kept busy by one prompt token, in seconds.
    work_per_token_s: f64,
}

/// Part of a prompt that is assumed to be computed until requests were seen.
const INITIAL_COMPUTED_RATIO: f64 = 0.5;

/// Weight of one request in the work per token.
const WORK_SMOOTHING: f64 = 0.02;

/// Routing state of one instance. Its size is bounded by the targets of the configuration and
/// [`super::MAX_PREFIXES`].
#[derive(Debug, Default)]
pub struct Router {
    targets: TargetTable,
    models: HashMap<ModelId, ModelState>,
    prefixes: PrefixTable,
    /// Instances in the fleet, at least 1.
    instances: u32,
    has_kv_store: bool,
    /// Whether engines fetch cached blocks from each other.
    has_engine_fetch: bool,
    scan: PrefixScan,
}

impl Router {
    /// A router that knows no target.
    pub fn new() -> Self {
        Self {
            instances: 1,
            ..Self::default()
        }
    }

    /// Takes the targets and models of a configuration. State of targets and rankings of models
    /// that did not change are kept.
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
            });
            state.block_bytes = model.block_bytes.max(1);
            state.block_prefill_s = BLOCK_TOKENS / rate;
            state.weights_hash = stable_hash(state.model_hash, model.weights_version.as_bytes());
            if state.members != members {
                state.ranks = RankTable::new(&members);
                state.members = members;
            }
        }
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
        for (id, target) in &config.fleet.targets {
            let index = self.targets.add(id);
            self.targets.get_mut(index).settings = Some(TargetSettings {
                max_running: target.max_running,
                is_draining: target.is_draining,
            });
        }
        let mut kinds = config.fleet.targets.values().map(|target| target.kind);
        self.has_kv_store = kinds.any(|kind| kind == TargetKind::KvStore);
    }

    /// Takes the number of instances in the fleet, this one included.
    pub fn set_instance_count(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Notes that engines fetch cached blocks from each other.
    pub fn with_engine_fetch(mut self) -> Self {
        self.has_engine_fetch = true;
        self
    }

    /// Targets.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Targets to change.
    pub fn targets_mut(&mut self) -> &mut TargetTable {
        &mut self.targets
    }

    /// Targets of a model in the configuration.
    pub fn targets_of(&self, model: &str) -> &[TargetIndex] {
        self.models
            .get(model)
            .map_or(&[], |state| state.ranks.members())
    }

    /// Members of the replica set of a prompt's deepest prefix.
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

    /// Notes that a request was sent: its blocks will be cached at the target.
    pub fn on_sent(&mut self, request: &RouteRequest<'_>, choice: &Choice, now: Timestamp) {
        let Some(model) = self.models.get_mut(request.model) else {
            return;
        };
        let prefill = Duration::from_secs_f64(choice.prefill_s);
        let work = prefill + Duration::from_secs_f64(DECODE_WORK_RATIO * model.times.occupied_s);
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
    }

    /// Ages of the beliefs behind a choice, taken before the request is sent.
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

    /// Notes what a completed request found cached, which corrects beliefs, the target's block
    /// lifetime and the expectation of blocks stored by other instances.
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

    /// Notes a completed request's times.
    pub fn on_completed(&mut self, model: &str, occupied: Duration, prefill: Duration) {
        if let Some(state) = self.models.get_mut(model) {
            state.times.on_completed(occupied, prefill);
        }
    }

    /// Smoothed times of a model.
    pub fn times(&self, model: &str) -> ServiceTimes {
        self.models
            .get(model)
            .map(|state| state.times)
            .unwrap_or_default()
    }

    /// Takes a load report.
    pub fn on_load(&mut self, target: TargetIndex, report: &LoadReport, now: Timestamp) {
        let state = self.targets.get_mut(target);
        state.set_incarnation(report.incarnation);
        state.set_reported(report.reported_state());
        state.load.on_report(report, now);
        if let (Some(settings), true) = (&mut state.settings, report.max_running > 0) {
            settings.max_running = report.max_running;
        }
    }

    /// Takes a cache event of the target's present incarnation. A prefix that this instance never
    /// used is not recorded, which bounds the work by own traffic.
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

    /// Notes that events of a target were lost: what it has cached is unknown.
    pub fn on_event_gap(&mut self, target: TargetIndex) {
        self.targets.get_mut(target).invalidate_cache();
    }

    /// Takes another instance's digest of hot prefixes at a target. A digest of another run than the
    /// known one cannot be ordered and is dropped.
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

    /// Whether a prefix is spread over more than one target, which makes its changes worth telling
    /// to other instances.
    pub fn is_hot(&self, fingerprint: Fingerprint) -> bool {
        let prefix = self.prefixes.get(fingerprint);
        prefix.is_some_and(|prefix| prefix.demand.replicas() > 1)
    }
}

/// Tokens of one block, by which `cached_tokens` of answers are counted in blocks.
pub const BLOCK_TOKENS: f64 = 1000.0;

/// Part of a request's occupation of a target that counts as work, since a target decodes many
/// requests at once.
const DECODE_WORK_RATIO: f64 = 1.0 / 16.0;
