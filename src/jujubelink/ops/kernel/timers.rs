//! Timer service.

use std::future::Future;
use std::time::{Duration, Instant};

use crate::core::ids::Timestamp;

/// Clock and timers of the event loop.
#[derive(Debug, Clone, Copy)]
pub struct Timers {
    started: Instant,
}

impl Timers {
    /// A service whose time starts now.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Time since the start of the process, from the monotonic clock.
    pub fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    /// Time since the machine's start, from the clock that also runs while the machine is suspended.
    /// The freshness of keys and the terms of leases are counted on it.
    pub fn boot_now(&self) -> Timestamp {
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

    /// Completes at `deadline`, or at once if it has passed.
    pub fn sleep_until(&self, deadline: Timestamp) -> impl Future<Output = ()> + use<> {
        compio::time::sleep_until(self.started + deadline)
    }

    /// Subscribes to a tick every `period`, the first one after a random part of it. The random
    /// start keeps instances that start together from acting together.
    pub fn interval(&self, period: Duration) -> Interval {
        Interval {
            timers: *self,
            period,
            next: self.now() + period.mul_f64(rand::random::<f64>()),
        }
    }

    /// Runs `future` for at most `limit`. Returns `None` if it did not end.
    pub async fn timeout<F: Future>(&self, limit: Duration, future: F) -> Option<F::Output> {
        compio::time::timeout(limit, future).await.ok()
    }
}

/// A subscription to a periodic tick.
#[derive(Debug)]
pub struct Interval {
    timers: Timers,
    period: Duration,
    next: Timestamp,
}

impl Interval {
    /// Waits for the next tick. Ticks missed while the process was paused are skipped.
    pub async fn tick(&mut self) {
        self.timers.sleep_until(self.next).await;
        let now = self.timers.now();
        self.next = (self.next + self.period).max(now);
    }
}
