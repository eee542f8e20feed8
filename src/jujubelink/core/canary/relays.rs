//! Which instances pass shares on in a large fleet, and how often messages on roll-outs are sent.

use std::time::Duration;

/// Largest fleet in which the holder sends shares to all instances itself.
const MAX_DIRECT_INSTANCES: usize = 16;

/// Shortest time between two messages on roll-outs to the same instance.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Messages on roll-outs that an instance sends per second in a large fleet, beside the regular ones. With about
/// 165 bytes each, they leave room for the regular ones within 13 KB/s.
const MAX_MESSAGES_PER_S: usize = 24;

/// Number of intervals between messages of the holder to relays that did not ask it, as they may not know it.
const CALL_INTERVALS: u32 = 3;

/// Routes of the shares from the holder of the order lease to all instances.
///
/// In a large fleet the first instances by rank get their shares from the holder, and pass them on to the others
/// with the time that remains. The holder and each of the others then send about as many messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareRoutes {
    instances: usize,
    relays: usize,
}

impl ShareRoutes {
    /// Creates the routes for the number of instances.
    pub fn new(instances: usize) -> Self {
        let relays = match instances <= MAX_DIRECT_INSTANCES {
            true => 0,
            false => (1..).find(|n| n * n >= instances).unwrap_or(instances),
        };
        Self { instances, relays }
    }

    /// Whether the holder sends shares to all instances itself.
    pub fn is_direct(&self) -> bool {
        self.relays == 0
    }

    /// Number of instances, first by rank, that pass shares on.
    pub fn relays(&self) -> usize {
        self.relays
    }

    /// Messages of one instance in each interval.
    fn messages(&self) -> usize {
        match self.is_direct() {
            true => self.instances.saturating_sub(1),
            // To the instances that ask the holder or a relay, and reports.
            false => self.relays.max(self.instances.div_ceil(self.relays)) + 2,
        }
    }

    /// Time between messages on roll-outs to each instance that gets them.
    pub fn interval(&self) -> Duration {
        if self.is_direct() {
            return MIN_INTERVAL;
        }
        let exact = Duration::from_secs(1) * self.messages() as u32 / MAX_MESSAGES_PER_S as u32;
        let rounds = exact.as_millis().div_ceil(MIN_INTERVAL.as_millis()).max(1);
        MIN_INTERVAL * rounds as u32
    }

    /// Time between messages of the holder to the instances that get their shares from it.
    pub fn call_interval(&self) -> Duration {
        match self.is_direct() {
            true => MIN_INTERVAL,
            false => self.interval() * CALL_INTERVALS,
        }
    }

    /// Time between a step of the holder and its confirmation by all instances, if no message is lost: to the
    /// relays, on to the others, and back.
    pub fn step_time(&self) -> Duration {
        match self.is_direct() {
            true => MIN_INTERVAL * 2,
            false => self.interval() * 3,
        }
    }

    /// Returns which of the relays an instance asks for its share; `None` if it asks the holder. `attempt` counts
    /// the times at which it got none, as a relay may be gone.
    pub fn relay(&self, rank: u32, seed: u64, attempt: u64) -> Option<usize> {
        let has_relay = !self.is_direct() && rank as usize >= self.relays;
        has_relay.then(|| (seed.wrapping_add(attempt) % self.relays as u64) as usize)
    }
}
