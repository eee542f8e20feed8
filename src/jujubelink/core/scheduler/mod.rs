//! Queue, routing, retries, ejection and quarantine as one state machine.

mod running;
mod schedule;
mod types;

pub use running::MAX_RUNNING_ATTEMPTS;
pub use schedule::Scheduler;
pub use types::{AttemptEnd, Dispatch, Effect, NewRequest, Refusal, Retry, SuspectUpdate};
