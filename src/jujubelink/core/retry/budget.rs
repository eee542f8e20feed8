//! Retry budgets as token buckets.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::core::ids::Timestamp;

/// Retries that a request adds to a budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries that accrue without requests: 10 per 10 s. Above the consecutive failures after which a
/// target is ejected, because at a small site one bad target would otherwise use up the budget
/// before it is ejected.
const MIN_RETRIES: f64 = 10.0;
const MIN_RETRIES_PERIOD: Duration = Duration::from_secs(10);

/// Most retries that a budget holds, so that a quiet hour does not pay for a burst of retries.
const MAX_RETRIES: f64 = 100.0;

/// Budgets kept for each kind of owner; at the bound all start anew with the minimum.
pub const MAX_BUDGETS: usize = 8192;

/// Budget of one workspace or target.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// Retries that may be made now.
    retries: f64,
    updated: Timestamp,
}

impl RetryBudget {
    /// A budget with the minimum.
    pub fn new(now: Timestamp) -> Self {
        Self {
            retries: MIN_RETRIES,
            updated: now,
        }
    }

    /// Notes a request that is not a retry.
    pub fn on_request(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Whether a retry may be made.
    pub fn allows(&mut self, now: Timestamp) -> bool {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let accrued = elapsed * MIN_RETRIES / MIN_RETRIES_PERIOD.as_secs_f64();
        if self.retries < MIN_RETRIES {
            self.retries = (self.retries + accrued).min(MIN_RETRIES);
        }
        self.updated = now;
        self.retries >= 1.0
    }

    /// Takes a retry that was allowed.
    pub fn consume(&mut self) {
        self.retries -= 1.0;
    }
}

/// Budgets by owner.
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
    /// The budget of an owner.
    pub fn get(&mut self, owner: &K, now: Timestamp) -> &mut RetryBudget {
        if self.budgets.len() >= MAX_BUDGETS && !self.budgets.contains_key(owner) {
            self.budgets.clear();
        }
        self.budgets
            .entry(owner.clone())
            .or_insert_with(|| RetryBudget::new(now))
    }
}
