//! State machine that combines queueing, routing, retries, ejection and quarantine.

mod plain;
mod running;
mod schedule;
mod types;

pub use running::MAX_RUNNING_ATTEMPTS;
pub use schedule::Scheduler;
pub use types::{
    AttemptEnd, Dispatch, Effect, NewRequest, PacedEstimate, Refusal, Retry, SuspectUpdate,
};
