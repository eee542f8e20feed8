//! Baseline policies for the choice of a target. They send each request at once, without a queue.

use std::time::Duration;

use super::Engine;
use crate::workload::WorkRequest;

/// A simple policy for the choice of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// A random target for each request.
    Random,
    /// Round robin, separately at each instance.
    RoundRobin,
    /// The target with the fewest outstanding requests from the same instance.
    LeastOutstanding,
    /// Rendezvous hashing of all complete blocks of the prompt.
    PromptHash,
    /// The shortest time to the first token, computed from the actual state of all caches and
    /// queues.
    Oracle,
}

impl Baseline {
    /// All baselines.
    pub const ALL: [Self; 5] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::PromptHash,
        Self::Oracle,
    ];

    /// Returns the name that is printed in result tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastOutstanding => "least outstanding",
            Self::PromptHash => "hash of whole prompt",
            Self::Oracle => "oracle",
        }
    }
}

/// Returns the engine with the least time to the first token. `prefill_time_of(engine, attempt)` is
/// the prefill time of a queued attempt.
pub(super) fn oracle_choice(
    engines: &[Engine],
    candidates: &[usize],
    request: &WorkRequest,
    now: Duration,
    prefill_time_of: impl Fn(usize, usize) -> Duration,
) -> Option<usize> {
    let cost = |index: usize| {
        let engine = &engines[index];
        let cached = engine.cached_blocks(&request.prompt.blocks);
        let slot_penalty = Duration::from_millis(150) * engine.excess();
        engine.backlog(now, |attempt| prefill_time_of(index, attempt))
            + slot_penalty
            + engine.prefill_time(request, cached)
    };
    let up = candidates
        .iter()
        .copied()
        .filter(|index| engines[*index].is_up);
    up.min_by_key(|index| (cost(*index), engines[*index].load()))
}
