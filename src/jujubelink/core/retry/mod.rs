//! Retry budgets, ejection of failing targets, and quarantine of requests that crash targets.

mod backoff;
mod budget;
mod ejection;
mod suspects;

pub use backoff::backoff;
pub use budget::{MAX_BUDGETS, RetryBudget, RetryBudgets};
pub use ejection::{Ejection, MAX_EJECTED_PERCENT, MAX_EJECTED_SERVICE_PERCENT, TargetHealth};
pub use suspects::{
    CrashVerdict, MAX_SUSPECTS, QUARANTINE_CRASHES, QUARANTINE_DURATION, SuspectState, SuspectTable,
};
