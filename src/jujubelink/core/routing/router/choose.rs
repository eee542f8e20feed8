//! Selects the target with the lowest expected time to the first token.

use super::{Choice, ModelState, RouteRequest, Router, TargetSpeed};
use std::time::Duration;

use crate::core::ids::{Fingerprint, Timestamp};
use crate::core::routing::missing::{HolderUse, missing_cause};
use crate::core::routing::scan::{FirstBlockDemand, PrefixScan, ScanInput};
use crate::core::routing::{
    MissingBlocks, MissingCause, TargetIndex, TargetState, rendezvous_score, unit_random,
};

/// Random candidates in addition to the replica set, so that requests can move away from an
/// overloaded set.
const RANDOM_CANDIDATES: usize = 2;

/// The same where paces are used. A fast target is rarely among two, and the random choice by weight
/// keeps instances from sending to the same one.
const PACED_RANDOM_CANDIDATES: usize = 6;

/// Further random candidates if no target or one without capacity was selected from the first ones.
/// In a small fleet they include all targets.
const FALLBACK_CANDIDATES: usize = 16;

/// Maximum expected wait at a target to which a request is sent. Requests that would wait longer
/// stay in the fair queue, where they can still be reordered.
const MAX_ENGINE_WAIT_S: f64 = 0.2;

/// Number of requests that each other instance is assumed to have sent to a target for each request
/// that this instance has sent to it since the target's last load report.
const UNREPORTED_RATIO: f64 = 0.1;

/// Upper bound of the requests that all other instances together are assumed to have sent for each
/// request of this instance.
const MAX_UNREPORTED: f64 = 2.0;

/// Wait added for a target whose last connection failed, in seconds. Such a target is not excluded,
/// because it may be the only one.
const UNRELIABLE_PENALTY_S: f64 = 0.5;

/// Wait added for a target whose weights differ from the configured ones, in seconds.
const OUTDATED_WEIGHTS_PENALTY_S: f64 = 0.5;

/// Ratio of the requests that avoid targets with outdated weights to the share of the targets that have the
/// configured ones. If all requests avoid them from the start of a roll-out, its first targets get the requests
/// of all instances, and their queues take seconds while other targets are idle.
const AVOIDING_RATIO: f64 = 2.0;

/// Seed that makes this choice independent of the random candidates.
const AVOIDING_SEED: u64 = 0x7765_6967;

/// Maximum random addition to a wait, in seconds. It spreads requests over targets of equal cost.
/// Without it, an instance that has no recent load reports would send all requests to the same
/// target.
const MAX_JITTER_S: f64 = 0.005;

/// Time to start an import from the KV cache store, and to import one block, in seconds.
const IMPORT_START_S: f64 = 0.010;
const IMPORT_BLOCK_S: f64 = 0.008;

/// The same where engines fetch blocks themselves: a block is 35 MB, and the link of a store
/// carries 120 Gbit/s.
const FETCH_START_S: f64 = 0.002;
const FETCH_BLOCK_S: f64 = 0.003;

/// Maximum age of a cache index entry for which an engine is a better source than the store.
/// Engines evict cached blocks within seconds, and after a fetch that finds nothing the whole
/// prefill remains.
const MAX_SOURCE_AGE: Duration = Duration::from_millis(1_500);

impl Router {
    /// Selects the target with the lowest expected time to the first token. `random` determines the
    /// random candidates. For an urgent request, a target without capacity is selected only if no
    /// candidate has capacity.
    ///
    /// Returns `None` if no target of the model is eligible.
    pub fn choose(
        &mut self,
        request: &RouteRequest<'_>,
        random: u64,
        now: Timestamp,
    ) -> Option<Choice> {
        self.count_updated_targets(request.model, now);
        let mut scan = std::mem::take(&mut self.scan);
        let mut choice = self.choose_among_candidates(&mut scan, request, random, now);
        if let (Some(choice), true) = (&mut choice, self.has_engine_fetch) {
            choice.fetch_from = self.fetch_source(request.blocks, &scan, choice, now);
        }
        self.scan = scan;
        choice
    }

    /// Tries the candidates, then further random targets, then all targets.
    fn choose_among_candidates(
        &self,
        scan: &mut PrefixScan,
        request: &RouteRequest<'_>,
        random: u64,
        now: Timestamp,
    ) -> Option<Choice> {
        let model = self.models.get(request.model)?;
        self.collect(model, scan, request, random, now);
        let best = match model.service_pace {
            Some(_) => self.choose_spread(model, request, scan, random, now),
            None => self.cheapest(model, request, scan, 0, random, now),
        };
        if best.is_some_and(|best| best.has_capacity) {
            return best;
        }
        let tried = scan.candidates.len();
        add_random(model, !random, FALLBACK_CANDIDATES, scan);
        let more = self.cheapest(model, request, scan, tried, random, now);
        better_choice(request, best, more)
            .or_else(|| self.choose_among_all(model, scan, request, now))
    }

    /// Returns the engine from which the selected one should fetch the missing part of the prompt:
    /// one that had the whole prompt cached a moment ago. If there is none, the store is the
    /// source.
    fn fetch_source(
        &self,
        blocks: &[Fingerprint],
        scan: &PrefixScan,
        choice: &Choice,
        now: Timestamp,
    ) -> Option<TargetIndex> {
        let deepest = *blocks.last()?;
        if choice.cached_blocks as usize >= blocks.len() {
            return None;
        }
        let chosen = self.targets.get(choice.target);
        let is_source = |target: &TargetIndex| {
            let state = self.targets.get(*target);
            let seen = self.prefixes.last_use(deepest, *target, state.generation);
            *target != choice.target
                && seen.is_some_and(|at| now.saturating_sub(at) < MAX_SOURCE_AGE)
                && state.settings.is_some()
                && now >= state.unreliable_until
                && state.busy_until <= now
                && state.traffic_fraction > 0.0
                && state.reported.weights_hash == chosen.reported.weights_hash
        };
        scan.candidates.iter().copied().find(is_source)
    }

    /// Collects the candidates of a request: its replica set, the targets with cached blocks, and
    /// random targets.
    pub(super) fn collect(
        &self,
        model: &ModelState,
        scan: &mut PrefixScan,
        request: &RouteRequest<'_>,
        random: u64,
        now: Timestamp,
    ) {
        let input = ScanInput {
            prefixes: &self.prefixes,
            targets: &self.targets,
            ranks: &model.ranks,
            blocks: request.blocks,
            excluded: request.excluded,
            first_block: FirstBlockDemand {
                busy_targets: request.rate_tokens_per_s as f64 * model.work_per_token_s,
                instances: self.instances,
            },
        };
        scan.random = random;
        scan.collect(&input, now);
        let count = match model.service_pace {
            Some(_) => PACED_RANDOM_CANDIDATES,
            None => RANDOM_CANDIDATES,
        };
        add_random(model, random, count, scan);
    }

    /// Returns the cheapest candidate from index `first` on.
    fn cheapest(
        &self,
        model: &ModelState,
        request: &RouteRequest<'_>,
        scan: &PrefixScan,
        first: usize,
        random: u64,
        now: Timestamp,
    ) -> Option<Choice> {
        scan.candidates[first..]
            .iter()
            .filter(|target| self.is_eligible(model, request, **target, random, now))
            .map(|target| self.evaluate(model, scan, request, *target, now))
            .fold(None, |best, choice| {
                better_choice(request, best, Some(choice))
            })
    }

    /// Returns the cheapest of all targets, whatever their part of normal traffic is. Used when no candidate
    /// is eligible. If no target is in service, the ejected ones are the last resort.
    fn choose_among_all(
        &self,
        model: &ModelState,
        scan: &PrefixScan,
        request: &RouteRequest<'_>,
        now: Timestamp,
    ) -> Option<Choice> {
        let members = model.ranks.members();
        let are_all_out = !members
            .iter()
            .any(|target| self.targets.get(*target).is_in_service());
        members
            .iter()
            .filter(|target| {
                let state = self.targets.get(**target);
                let accepts_requests = match are_all_out {
                    true => state.is_ejected() && state.paused_until <= now,
                    false => state.accepts_requests(now),
                };
                accepts_requests && may_run(model, request, state)
            })
            .map(|target| self.evaluate(model, scan, request, *target, now))
            .min_by(|a, b| a.cost_s().total_cmp(&b.cost_s()))
    }

    /// Whether a request may be sent to a target. `random` selects the requests that a target
    /// receives while its traffic increases after an ejection.
    pub(super) fn is_eligible(
        &self,
        model: &ModelState,
        request: &RouteRequest<'_>,
        target: TargetIndex,
        random: u64,
        now: Timestamp,
    ) -> bool {
        let state = self.targets.get(target);
        let is_sampled = state.traffic_fraction >= 1.0
            || unit_random(random, state.name_hash) < state.traffic_fraction;
        is_sampled && state.accepts_requests(now) && may_run(model, request, state)
    }

    /// Returns the shared blocks that the selected target is not estimated to have cached, and why none of
    /// the targets that hold them was selected. Must be called before [`Self::on_sent`], which adds the
    /// target to the cache index.
    pub fn missing_blocks(
        &self,
        request: &RouteRequest<'_>,
        choice: &Choice,
        now: Timestamp,
    ) -> Option<MissingBlocks> {
        let blocks = (request.blocks.len() as u32).checked_sub(choice.cached_blocks)?;
        let last = *request.blocks.last().filter(|_| blocks > 0)?;
        let model = self.models.get(request.model)?;
        let use_of = |target: TargetIndex| {
            let state = self.targets.get(target);
            if request.excluded.contains(&state.id) {
                return HolderUse::Excluded;
            }
            let is_out = !state.accepts_requests(now)
                || state.busy_until > now
                || !may_run(model, request, state)
                || !model.has_weights(state);
            if is_out {
                return HolderUse::Out;
            }
            let TargetSpeed { pace, limit } = self.speed_of(model, state, now);
            let times = model.times.at_pace(pace);
            let wait_s = state.load.wait_s(limit, &times, self.unreported(), now);
            match has_capacity(state, wait_s) {
                true => HolderUse::Available,
                false => HolderUse::Full,
            }
        };
        let cause = match self.prefixes.get(last) {
            Some(prefix) => missing_cause(prefix.holder_uses(&self.targets, now, use_of)),
            None => MissingCause::FirstUse,
        };
        Some(MissingBlocks { blocks, cause })
    }

    fn speed_of(&self, model: &ModelState, state: &TargetState, now: Timestamp) -> TargetSpeed {
        match &model.service_pace {
            Some(usual) => self.speed(state, usual, now),
            None => TargetSpeed {
                pace: 1.0,
                limit: state.settings.map_or(1, |settings| settings.max_running),
            },
        }
    }

    /// Estimates the wait and the prefill time of a request at a target.
    pub(super) fn evaluate(
        &self,
        model: &ModelState,
        scan: &PrefixScan,
        request: &RouteRequest<'_>,
        target: TargetIndex,
        now: Timestamp,
    ) -> Choice {
        let state = self.targets.get(target);
        let unreported = self.unreported();
        let TargetSpeed { pace, limit } = self.speed_of(model, state, now);
        let times = model.times.at_pace(pace);
        let mut wait_s = state.load.wait_s(limit, &times, unreported, now);
        let has_capacity = has_capacity(state, wait_s);
        if model.service_pace.is_some() {
            wait_s += self.expected_wait_s(state, 1, now);
        }
        wait_s += MAX_JITTER_S * unit_random(scan.random, state.name_hash);
        let busy_s = state.busy_until.saturating_sub(now).as_secs_f64();
        wait_s += busy_s;
        let has_capacity = has_capacity && busy_s == 0.0;
        if now < state.unreliable_until {
            wait_s += UNRELIABLE_PENALTY_S;
        }
        let avoids_outdated =
            unit_random(scan.random, AVOIDING_SEED) < AVOIDING_RATIO * model.updated.share;
        if avoids_outdated && !model.has_weights(state) {
            wait_s += OUTDATED_WEIGHTS_PENALTY_S;
        }
        let cached_blocks = scan.cached_blocks(target);
        let replica_blocks = scan.replica_blocks(target);
        let recent_blocks = scan.recent_blocks;
        let expected_hits = model.replica_hit_rates.expected_blocks(
            cached_blocks,
            recent_blocks,
            replica_blocks,
            self.instances,
        );
        let total = request.prompt_bytes as f64 / f64::from(model.block_bytes);
        let missing = (total - f64::from(cached_blocks) - expected_hits).max(0.0);
        let fetched = self.fetched_blocks(request, cached_blocks, expected_hits);
        let fetch_s = match fetched > 0.0 {
            true => FETCH_START_S + fetched * FETCH_BLOCK_S,
            false => 0.0,
        };
        let mut choice = Choice {
            target,
            cached_blocks,
            replica_blocks,
            recent_blocks,
            import_blocks: 0,
            fetch_from: None,
            wait_s,
            prefill_s: (missing - fetched).max(0.0) * model.block_prefill_s * pace + fetch_s,
            fetch_s,
            has_capacity,
            pace,
            limit,
        };
        self.consider_import(model, request, &mut choice);
        choice
    }

    /// Returns the expected number of shared blocks that the engine fetches instead of computing:
    /// those that it lacks and that have been seen before.
    fn fetched_blocks(
        &self,
        request: &RouteRequest<'_>,
        cached_blocks: u32,
        expected_hits: f64,
    ) -> f64 {
        if !self.has_engine_fetch {
            return 0.0;
        }
        let missing = &request.blocks[(cached_blocks as usize).min(request.blocks.len())..];
        let tracked = missing
            .iter()
            .take_while(|block| self.prefixes.contains(**block))
            .count();
        (tracked as f64 - expected_hits).max(0.0)
    }

    /// Imports missing blocks from the KV cache store if that is faster than computing them. Only
    /// blocks that have been seen before can be in the store.
    fn consider_import(&self, model: &ModelState, request: &RouteRequest<'_>, choice: &mut Choice) {
        if !self.has_kv_store {
            return;
        }
        let missing = &request.blocks[(choice.cached_blocks as usize).min(request.blocks.len())..];
        let tracked = missing
            .iter()
            .take_while(|block| self.prefixes.contains(**block))
            .count();
        let transfer_s = IMPORT_START_S + tracked as f64 * IMPORT_BLOCK_S;
        let compute_s = tracked as f64 * model.block_prefill_s * choice.pace;
        if transfer_s < compute_s {
            choice.import_blocks = choice.cached_blocks + tracked as u32;
            choice.prefill_s += transfer_s - compute_s;
        }
    }

    /// Returns the number of other instances' requests that are assumed at a target for each
    /// request of this instance since the last load report.
    fn unreported(&self) -> f64 {
        (f64::from(self.instances - 1) * UNREPORTED_RATIO).min(MAX_UNREPORTED)
    }
}

/// Whether a target with the given wait can start a request without a long wait.
fn has_capacity(state: &TargetState, wait_s: f64) -> bool {
    wait_s <= MAX_ENGINE_WAIT_S || state.load.local_requests() == 0
}

/// Whether a target that accepts requests may run this one.
fn may_run(model: &ModelState, request: &RouteRequest<'_>, state: &TargetState) -> bool {
    [0, model.model_hash].contains(&state.reported.model_hash)
        && !(request.is_suspect && state.has_suspect)
        && !request.excluded.contains(&state.id)
}

/// Returns the choice with the lower cost, or the first one if the costs are equal. An urgent
/// request prefers a target with capacity.
pub(super) fn better_choice(
    request: &RouteRequest<'_>,
    first: Option<Choice>,
    second: Option<Choice>,
) -> Option<Choice> {
    let (Some(one), Some(other)) = (first, second) else {
        return first.or(second);
    };
    if request.is_urgent && one.has_capacity != other.has_capacity {
        return if one.has_capacity { first } else { second };
    }
    if other.cost_s() < one.cost_s() {
        second
    } else {
        first
    }
}

/// Adds `count` random targets, or all if there are few.
fn add_random(model: &ModelState, random: u64, count: usize, scan: &mut PrefixScan) {
    let members = model.ranks.members();
    if members.len() <= count + RANDOM_CANDIDATES {
        members.iter().for_each(|target| scan.add(*target));
        return;
    }
    for sample in 0..count as u64 {
        let position = rendezvous_score(random, sample) % members.len() as u64;
        scan.add(members[position as usize]);
    }
}
