//! Decisions about requests under overload: which one goes first, how long one waits, and when it is
//! refused. `docs/design/overload.md` states the reasons.

mod mix;
mod urgency;
mod wait;

pub use mix::WorkMix;
pub use urgency::{Aims, LATE_RANK, MAX_RANK, Rank};
pub use wait::{Decision, Prospect, decide, queue_deadline, retry_after};

/// Feature name in the settings that enables the decisions of this module.
pub const FEATURE: &str = "pressure";
