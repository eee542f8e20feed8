//! Scheduler service: queueing, placement, retries, ejection and quarantine of requests, and the
//! polling of load reports and cache events.

mod convert;
mod digests;
mod events;
mod explain;
mod loads;
mod log_limiter;
mod oneshot;
mod plugin;
mod service;

pub use events::{EVENT_BYTES_PER_S, EventPage};
pub use loads::LOAD_POLLS_PER_S;
