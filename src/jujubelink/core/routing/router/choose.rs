//! Choice of a target by expected time to the first token.

use super::{Choice, ModelState, RouteRequest, Router};
use std::time::Duration;

use crate::core::ids::{Fingerprint, Timestamp};
use crate::core::routing::scan::{FirstBlockDemand, PrefixScan, ScanInput};
use crate::core::routing::{TargetIndex, rendezvous_score};

/// Random targets beside the replica set, so that a request can leave a set that is overloaded.
const RANDOM_CANDIDATES: usize = 2;

/// Further random targets if none of the first candidates has room. All targets of a small fleet are
/// looked at then.
const FALLBACK_CANDIDATES: usize = 16;

/// Largest expected wait at a target to which a request is sent. Requests that would wait longer
/// stay in the fair queue, where their order can still change.
const MAX_ENGINE_WAIT_S: f64 = 0.2;

/// Requests of other instances that are assumed at a target for each own request since the last
/// load report, as a share of the other instances.
const UNREPORTED_RATIO: f64 = 0.1;

/// Most requests that are assumed so.
const MAX_UNREPORTED: f64 = 2.0;

/// Wait added for a target whose last attempt broke or that has other weights than the configured
/// ones, in seconds. It is not excluded, because it may be the only one.
const UNRELIABLE_PENALTY_S: f64 = 0.5;

/// Largest random part of a wait, in seconds. It spreads requests over targets that seem equal; an
/// instance without news of their load would send all to the same one.
const MAX_JITTER_S: f64 = 0.005;

/// Time to start a transfer from the KV cache store, and to move one block, in seconds.
const IMPORT_START_S: f64 = 0.010;
const IMPORT_BLOCK_S: f64 = 0.008;

/// The same where engines fetch by themselves: a block is 35 MB, links of a store carry 120 Gbit/s.
const FETCH_START_S: f64 = 0.002;
const FETCH_BLOCK_S: f64 = 0.003;

/// Age of a belief up to which an engine is a better source than the store. Engines evict cached
/// blocks within seconds, and a fetch from one that has none is followed by a whole prefill.
const MAX_SOURCE_AGE: Duration = Duration::from_millis(1_500);

impl Router {
    /// Chooses the target with the lowest expected time to the first token. `random` decides the
    /// alternatives. Targets without room are chosen only if all candidates are.
    ///
    /// `None` if no target of the model is in service.
    pub fn choose(
        &mut self,
        request: &RouteRequest<'_>,
        random: u64,
        now: Timestamp,
    ) -> Option<Choice> {
        let mut scan = std::mem::take(&mut self.scan);
        let mut choice = self.choose_with(&mut scan, request, random, now);
        if let (Some(choice), true) = (&mut choice, self.has_engine_fetch) {
            choice.fetch_from = self.fetch_source(request.blocks, &scan, choice, now);
        }
        self.scan = scan;
        choice
    }

    fn choose_with(
        &self,
        scan: &mut PrefixScan,
        request: &RouteRequest<'_>,
        random: u64,
        now: Timestamp,
    ) -> Option<Choice> {
        let state = self.models.get(request.model)?;
        self.collect(state, scan, request, random, now);
        let best = self.cheapest(state, request, scan, 0, random, now);
        if best.is_some_and(|best| best.has_capacity) {
            return best;
        }
        let tried = scan.candidates.len();
        add_random(state, !random, FALLBACK_CANDIDATES, scan);
        let more = self.cheapest(state, request, scan, tried, random, now);
        better_choice(request, best, more)
            .or_else(|| self.choose_among_all(state, scan, request, now))
    }

    /// The engine from which the chosen one should fetch what it lacks of the prompt: one that has
    /// been seen with more of it a moment ago. Other prompts are left to the store.
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

    /// Collects the candidates of a request: its replica sets, believed holders and random targets.
    pub(super) fn collect(
        &self,
        state: &ModelState,
        scan: &mut PrefixScan,
        request: &RouteRequest<'_>,
        random: u64,
        now: Timestamp,
    ) {
        let input = ScanInput {
            prefixes: &self.prefixes,
            targets: &self.targets,
            ranks: &state.ranks,
            blocks: request.blocks,
            excluded: request.excluded,
            first_block: FirstBlockDemand {
                busy_targets: request.rate_tokens_per_s as f64 * state.work_per_token_s,
                instances: self.instances,
            },
        };
        scan.random = random;
        scan.collect(&input, now);
        add_random(state, random, RANDOM_CANDIDATES, scan);
    }

    /// The cheapest candidate from position `first` on.
    fn cheapest(
        &self,
        state: &ModelState,
        request: &RouteRequest<'_>,
        scan: &PrefixScan,
        first: usize,
        random: u64,
        now: Timestamp,
    ) -> Option<Choice> {
        scan.candidates[first..]
            .iter()
            .filter(|target| self.is_eligible(state, request, **target, random))
            .map(|target| self.evaluate(state, scan, request, *target, now))
            .fold(None, |best, choice| {
                better_choice(request, best, Some(choice))
            })
    }

    /// The cheapest of all targets, when none of the candidates can be used.
    fn choose_among_all(
        &self,
        state: &ModelState,
        scan: &PrefixScan,
        request: &RouteRequest<'_>,
        now: Timestamp,
    ) -> Option<Choice> {
        let members = state.ranks.members().iter();
        members
            .filter(|target| self.is_eligible(state, request, **target, 0))
            .map(|target| self.evaluate(state, scan, request, *target, now))
            .min_by(|a, b| a.cost_s().total_cmp(&b.cost_s()))
    }

    pub(super) fn is_eligible(
        &self,
        model: &ModelState,
        request: &RouteRequest<'_>,
        target: TargetIndex,
        random: u64,
    ) -> bool {
        let state = self.targets.get(target);
        if ![0, model.model_hash].contains(&state.reported.model_hash) {
            return false;
        }
        if !state.is_in_service() || (request.is_suspect && state.has_suspect) {
            return false;
        }
        let is_sampled = state.traffic_fraction >= 1.0
            || unit_random(random, state.name_hash) < state.traffic_fraction;
        is_sampled && !request.excluded.contains(&state.id)
    }

    pub(super) fn evaluate(
        &self,
        model: &ModelState,
        scan: &PrefixScan,
        request: &RouteRequest<'_>,
        target: TargetIndex,
        now: Timestamp,
    ) -> Choice {
        let state = self.targets.get(target);
        let max_running = state.settings.map_or(1, |settings| settings.max_running);
        let unseen = self.unseen();
        let mut wait_s = state.load.wait_s(max_running, &model.times, unseen, now);
        let has_capacity = wait_s <= MAX_ENGINE_WAIT_S || state.load.local_requests() == 0;
        wait_s += MAX_JITTER_S * unit_random(scan.random, state.name_hash);
        let busy_s = state.busy_until.saturating_sub(now).as_secs_f64();
        wait_s += busy_s;
        let has_capacity = has_capacity && busy_s == 0.0;
        if now < state.unreliable_until {
            wait_s += UNRELIABLE_PENALTY_S;
        }
        let has_weights = [0, model.weights_hash].contains(&state.reported.weights_hash);
        if !has_weights {
            wait_s += UNRELIABLE_PENALTY_S;
        }
        let if_usable = |blocks: u32| if has_weights { blocks } else { 0 };
        let cached_blocks = if_usable(scan.cached_blocks(target));
        let replica_blocks = if_usable(scan.replica_blocks(target));
        let recent_blocks = scan.recent_blocks;
        let unseen_blocks =
            model
                .replica_hit_rates
                .expected_blocks(cached_blocks, recent_blocks, replica_blocks);
        let total = request.prompt_bytes as f64 / f64::from(model.block_bytes);
        let missing = (total - f64::from(cached_blocks) - unseen_blocks).max(0.0);
        let fetched = self.fetched_blocks(request, cached_blocks, unseen_blocks);
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
            prefill_s: (missing - fetched).max(0.0) * model.block_prefill_s + fetch_s,
            fetch_s,
            has_capacity,
        };
        self.consider_import(model, request, &mut choice);
        choice
    }

    /// Shared blocks that the engine is expected to fetch instead of reading them: those that were
    /// seen before and that it lacks.
    fn fetched_blocks(
        &self,
        request: &RouteRequest<'_>,
        cached_blocks: u32,
        unseen_blocks: f64,
    ) -> f64 {
        if !self.has_engine_fetch {
            return 0.0;
        }
        let missing = &request.blocks[(cached_blocks as usize).min(request.blocks.len())..];
        let tracked = missing
            .iter()
            .take_while(|block| self.prefixes.contains(**block))
            .count();
        (tracked as f64 - unseen_blocks).max(0.0)
    }

    /// Fills missing blocks from the KV cache store if that is cheaper than computing them. Only
    /// blocks of prefixes that were seen before can be in the store.
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
        let compute_s = tracked as f64 * model.block_prefill_s;
        if transfer_s < compute_s {
            choice.import_blocks = choice.cached_blocks + tracked as u32;
            choice.prefill_s += transfer_s - compute_s;
        }
    }

    /// Requests of other instances assumed at a target for each own one since its report.
    fn unseen(&self) -> f64 {
        (f64::from(self.instances - 1) * UNREPORTED_RATIO).min(MAX_UNREPORTED)
    }
}

/// The choice with the lower cost; the first one of two equal ones.
fn better_choice(
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

/// Adds `count` random members, or all if there are not many more.
fn add_random(state: &ModelState, random: u64, count: usize, scan: &mut PrefixScan) {
    let members = state.ranks.members();
    if members.len() <= count + RANDOM_CANDIDATES {
        members.iter().for_each(|target| scan.add(*target));
        return;
    }
    for sample in 0..count as u64 {
        let position = rendezvous_score(random, sample) % members.len() as u64;
        scan.add(members[position as usize]);
    }
}

/// A number from 0 to 1 by a random number and a hash.
fn unit_random(random: u64, hash: u64) -> f64 {
    (rendezvous_score(random, hash) >> 11) as f64 / (1u64 << 53) as f64
}
