//! Baselines that send each request at once.

use std::time::Duration;

use super::Engine;
use crate::workload::WorkRequest;

/// A simple way to choose a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// A random target.
    Random,
    /// Each instance goes round.
    RoundRobin,
    /// The target with the fewest outstanding requests of the instance.
    LeastOutstanding,
    /// Rendezvous hashing of the whole prompt's blocks.
    PromptHash,
    /// The shortest time to the first token, with knowledge of all caches and queues.
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

    /// Name in tables.
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

/// Least expected time to the first token over engines, for the oracle. `prefill_time_of` gives the prefill
/// time of a queued attempt.
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
