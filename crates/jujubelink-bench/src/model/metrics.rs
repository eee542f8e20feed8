//! Figures of a run.

use std::time::Duration;

/// Parts of a time to the first token.
#[derive(Debug, Clone, Copy)]
pub struct FirstTokenBreakdown {
    /// The whole time.
    pub first_token: Duration,
    /// Wait in the instance, and earlier attempts.
    pub queue: Duration,
    /// Wait at the engine.
    pub engine: Duration,
    /// Prefill.
    pub prefill: Duration,
}

/// Figures of a run.
#[derive(Debug, Clone, Default)]
pub struct RunMetrics {
    /// Prompt tokens of requests whose prefill ended.
    pub prompt_tokens: u64,
    /// Prompt tokens found in caches.
    pub cached_tokens: u64,
    /// Prompt tokens computed although another engine of the model had them cached.
    pub wasted_tokens: u64,
    /// Times to the first token by workspace.
    pub first_tokens: Vec<Vec<Duration>>,
    /// Parts of the times to the first token.
    pub breakdowns: Vec<FirstTokenBreakdown>,
    /// Requests admitted by the limit, by workspace.
    pub admitted: Vec<u64>,
    /// Requests over the limit.
    pub over_rate: u64,
    /// Requests within the rate that the scheduler refused, by workspace.
    pub refused: Vec<u64>,
    /// Requests that failed after a crash.
    pub failed: u64,
    /// Engine crashes.
    pub crashes: u64,
}

impl RunMetrics {
    /// Figures of a number of workspaces.
    pub fn new(workspaces: usize) -> Self {
        Self {
            first_tokens: vec![Vec::new(); workspaces],
            admitted: vec![0; workspaces],
            refused: vec![0; workspaces],
            ..Self::default()
        }
    }

    /// Part of the prompt tokens found in caches.
    pub fn hit_rate(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Part of the prompt tokens computed although they were cached elsewhere.
    pub fn wasted_rate(&self) -> f64 {
        self.wasted_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Quantile of the time to the first token over all workspaces.
    pub fn first_token(&self, quantile_rank: f64) -> Duration {
        quantile(self.first_tokens.iter().flatten().copied(), quantile_rank)
    }

    /// Quantile of the time to the first token of one workspace.
    pub fn first_token_of(&self, workspace: usize, quantile_rank: f64) -> Duration {
        quantile(self.first_tokens[workspace].iter().copied(), quantile_rank)
    }

    /// Mean wait in the instance, wait at the engine and prefill of the slowest requests, `quantile_rank` of
    /// all.
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

    /// Refused requests within the rate, as a part of the admitted ones.
    pub fn refusal_rate(&self) -> f64 {
        let refused: u64 = self.refused.iter().sum();
        refused as f64 / self.admitted.iter().sum::<u64>().max(1) as f64
    }
}

/// Quantile of times; zero without any.
pub fn quantile(times: impl Iterator<Item = Duration>, quantile_rank: f64) -> Duration {
    let mut sorted: Vec<_> = times.collect();
    sorted.sort_unstable();
    let position = (sorted.len() as f64 * quantile_rank) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(position.min(last)).copied().unwrap_or_default()
}
