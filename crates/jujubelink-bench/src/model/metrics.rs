//! Results of a simulated run.

use std::time::Duration;

/// Components of the time to the first token of one request.
#[derive(Debug, Clone, Copy)]
pub struct FirstTokenBreakdown {
    /// Total time to the first token.
    pub first_token: Duration,
    /// Time in the queue of the instance, including earlier attempts.
    pub queue: Duration,
    /// Wait in the queue of the engine.
    pub engine: Duration,
    /// Duration of the prefill.
    pub prefill: Duration,
}

/// Results of a simulated run.
#[derive(Debug, Clone, Default)]
pub struct RunMetrics {
    /// Prompt tokens of all completed prefills.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache of the chosen engine.
    pub cached_tokens: u64,
    /// Prompt tokens that were computed although another engine with the model had them cached.
    pub wasted_tokens: u64,
    /// Times to the first token, by workspace.
    pub first_tokens: Vec<Vec<Duration>>,
    /// Components of the times to the first token.
    pub breakdowns: Vec<FirstTokenBreakdown>,
    /// Requests admitted by the rate limit, by workspace.
    pub admitted: Vec<u64>,
    /// Requests refused by the rate limit.
    pub over_rate: u64,
    /// Requests admitted by the rate limit but refused by the scheduler, by workspace.
    pub refused: Vec<u64>,
    /// Requests that failed after a crash.
    pub failed: u64,
    /// Engine crashes.
    pub crashes: u64,
}

impl RunMetrics {
    /// Creates empty results for a number of workspaces.
    pub fn new(workspaces: usize) -> Self {
        Self {
            first_tokens: vec![Vec::new(); workspaces],
            admitted: vec![0; workspaces],
            refused: vec![0; workspaces],
            ..Self::default()
        }
    }

    /// Returns the fraction of prompt tokens that were found in the cache.
    pub fn hit_rate(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Returns the fraction of prompt tokens that were computed although another engine had them
    /// cached.
    pub fn wasted_rate(&self) -> f64 {
        self.wasted_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Returns a quantile of the time to the first token over all workspaces.
    pub fn first_token(&self, quantile_rank: f64) -> Duration {
        quantile(self.first_tokens.iter().flatten().copied(), quantile_rank)
    }

    /// Returns a quantile of the time to the first token of one workspace.
    pub fn first_token_of(&self, workspace: usize, quantile_rank: f64) -> Duration {
        quantile(self.first_tokens[workspace].iter().copied(), quantile_rank)
    }

    /// Returns the mean queue time in the instance, wait at the engine and prefill time over the
    /// slowest requests; `fraction` is their share of all requests.
    pub fn mean_tail_breakdown(&self, fraction: f64) -> [Duration; 3] {
        let mut sorted = self.breakdowns.clone();
        sorted.sort_unstable_by_key(|breakdown| std::cmp::Reverse(breakdown.first_token));
        sorted.truncate(((sorted.len() as f64 * fraction) as usize).max(1));
        let count = sorted.len().max(1) as u32;
        let mean = |of: fn(&FirstTokenBreakdown) -> Duration| {
            sorted.iter().map(of).sum::<Duration>() / count
        };
        [
            mean(|breakdown| breakdown.queue),
            mean(|breakdown| breakdown.engine),
            mean(|breakdown| breakdown.prefill),
        ]
    }

    /// Returns the fraction of admitted requests that the scheduler refused.
    pub fn refusal_rate(&self) -> f64 {
        let refused: u64 = self.refused.iter().sum();
        refused as f64 / self.admitted.iter().sum::<u64>().max(1) as f64
    }
}

/// Returns a quantile of `times`, such as 0.95, or zero if there are none.
pub fn quantile(times: impl Iterator<Item = Duration>, quantile_rank: f64) -> Duration {
    let mut sorted: Vec<_> = times.collect();
    sorted.sort_unstable();
    let position = (sorted.len() as f64 * quantile_rank) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(position.min(last)).copied().unwrap_or_default()
}
