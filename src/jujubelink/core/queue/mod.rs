//! Fair queue of requests that wait for a target.

mod fair;

pub use fair::{FairQueue, JobId, MAX_QUEUED, MAX_QUEUED_BYTES, QueuedJob};
