//! Retry budgets as token buckets.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::core::ids::Timestamp;

/// Retries that each request adds to a budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Minimum budget, which is refilled over time without requests: 10 retries per 10 s. It is larger
/// than the number of consecutive failures that ejects a target. Otherwise one failing target at a
/// small site would exhaust the budget before it is ejected.
const MIN_RETRIES: f64 = 10.0;
const MIN_RETRIES_PERIOD: Duration = Duration::from_secs(10);

/// Maximum budget, so that a long period without failures doesn't accumulate a burst of retries.
const MAX_RETRIES: f64 = 100.0;

/// Maximum number of budgets in one [`RetryBudgets`]. At the limit, all are reset to the minimum.
pub const MAX_BUDGETS: usize = 8192;

/// Budget of one workspace or target.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// Currently available retries.
    retries: f64,
    updated: Timestamp,
}

impl RetryBudget {
    /// Creates a budget with the minimum.
    pub fn new(now: Timestamp) -> Self {
        Self {
            retries: MIN_RETRIES,
            updated: now,
        }
    }

    /// Records a request that is not a retry.
    pub fn on_request(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Whether a retry is available.
    pub fn allows(&mut self, now: Timestamp) -> bool {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let accrued = elapsed * MIN_RETRIES / MIN_RETRIES_PERIOD.as_secs_f64();
        if self.retries < MIN_RETRIES {
            self.retries = (self.retries + accrued).min(MIN_RETRIES);
        }
        self.updated = now;
        self.retries >= 1.0
    }

    /// Consumes a retry; [`Self::allows`] must have returned `true`.
    pub fn consume(&mut self) {
        self.retries -= 1.0;
    }
}

/// Budgets by workspace or by target.
#[derive(Debug)]
pub struct RetryBudgets<K> {
    budgets: HashMap<K, RetryBudget>,
}

impl<K> Default for RetryBudgets<K> {
    fn default() -> Self {
        Self {
            budgets: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash + Clone> RetryBudgets<K> {
    /// Returns a budget, creating it if needed.
    pub fn get(&mut self, owner: &K, now: Timestamp) -> &mut RetryBudget {
        if self.budgets.len() >= MAX_BUDGETS && !self.budgets.contains_key(owner) {
            self.budgets.clear();
        }
        self.budgets
            .entry(owner.clone())
            .or_insert_with(|| RetryBudget::new(now))
    }
}
