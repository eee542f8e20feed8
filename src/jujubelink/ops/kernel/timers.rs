//! Clocks and timers.

use std::future::Future;
use std::time::{Duration, Instant};

use crate::core::ids::Timestamp;

/// Time of [`Timers::boot_now`] at the boot of the machine. The age of a report is subtracted from the
/// time of its arrival; if the result were clamped to the boot, an old report would look recent on a
/// machine that has just booted.
const TIME_OF_BOOT: Timestamp = Duration::from_secs(24 * 60 * 60);

/// Clocks and timers of the event loop.
#[derive(Debug, Clone, Copy)]
pub struct Timers {
    started: Instant,
}

impl Timers {
    /// Creates a service whose monotonic time starts now.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the time since the creation of this service, which is the start of the process, from
    /// the monotonic clock.
    pub fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    /// Returns the time on a clock that also runs while the machine is suspended. The freshness of
    /// keys and the terms of leases are measured with it. It starts at a day, so that times before the
    /// boot of the machine can be expressed.
    pub fn boot_now(&self) -> Timestamp {
        TIME_OF_BOOT + self.since_boot()
    }

    /// Returns the time since the machine was booted, including times of suspension.
    pub fn since_boot(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(
            time.tv_sec.unsigned_abs(),
            u32::try_from(time.tv_nsec).unwrap_or(0),
        )
    }

    /// Completes after `duration`.
    pub fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + use<> {
        compio::time::sleep(duration)
    }

    /// Completes at `deadline`, or immediately if it has passed.
    pub fn sleep_until(&self, deadline: Timestamp) -> impl Future<Output = ()> + use<> {
        compio::time::sleep_until(self.started + deadline)
    }

    /// Returns a timer with a tick every `period`, the first one after a random fraction of it, so that
    /// instances that start at the same time do not act at the same time.
    pub fn interval(&self, period: Duration) -> Interval {
        Interval {
            timers: *self,
            period,
            next_tick: self.now() + period.mul_f64(rand::random::<f64>()),
        }
    }

    /// Runs `future` for at most `limit`. Returns `None` if it did not complete in that time.
    pub async fn timeout<F: Future>(&self, limit: Duration, future: F) -> Option<F::Output> {
        compio::time::timeout(limit, future).await.ok()
    }
}

/// A periodic timer.
#[derive(Debug)]
pub struct Interval {
    timers: Timers,
    period: Duration,
    next_tick: Timestamp,
}

impl Interval {
    /// Waits for the next tick. Ticks missed while the process was paused are skipped.
    pub async fn tick(&mut self) {
        self.timers.sleep_until(self.next_tick).await;
        let now = self.timers.now();
        self.next_tick = (self.next_tick + self.period).max(now);
    }
}
