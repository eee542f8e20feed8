//! Learns how fast each target works and how much concurrent work it takes well.
//!
//! The pace of a target is the ratio of the time that work takes there to the usual time of its
//! service: 2 means twice as long. It is learned from the figure that targets report with their load
//! and from observed times, both weighted by age. Everything here is pure code without a clock.
//!
//! A service uses paces only once one of its targets has reported a valid figure. See
//! `docs/design/target-capacity.md`.

mod aged_mean;
mod limit;
mod placed_work;
mod ramp;
mod reported;
mod spread;
mod target;

pub use aged_mean::AgedMean;
pub use limit::ConcurrencyLimit;
pub use placed_work::{PlacedWork, queue_wait_s, work_window};
pub use ramp::Ramp;
pub use reported::{IgnoredPace, ReportedPace};
pub use spread::choose_weighted;
pub use target::{MAX_PACE, MIN_PACE, ServicePace, TargetPace};
