//! Detection of outages of the store.

use std::time::Duration;

use crate::core::ids::Timestamp;

/// Time without an answer after which the store counts as having been unavailable.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(900);

/// Maximum age of a target list received from a peer. The store answers watchers every second, and all
/// instances have to discover a leaving target within two seconds.
///
/// A younger list shows no outage. Together with the threshold, this is the shortest outage in which
/// entries expire: they do so after three heartbeats of 1.2 s, of which the last one before the outage is
/// up to one interval old.
pub const MAX_RELAYED_AGE: Duration = Duration::from_millis(1_500);

/// When the store last answered this instance or the peer from which it gets updates.
#[derive(Debug, Clone, Copy)]
pub struct StoreContact {
    last_answer_at: Timestamp,
    /// Time since then that was spent on peers that did not answer. It is no part of an outage, because
    /// the store was not called.
    waited_for_peers: Duration,
}

impl StoreContact {
    /// Creates the state of an instance that starts now.
    pub fn new(now: Timestamp) -> Self {
        Self {
            last_answer_at: now,
            waited_for_peers: Duration::ZERO,
        }
    }

    /// Records an answer of the store.
    pub fn on_answer(&mut self, at: Timestamp) {
        *self = Self::new(at);
    }

    /// Records an answer that a peer received from the store at `confirmed_at` and relayed.
    pub fn on_relayed_answer(&mut self, confirmed_at: Timestamp, now: Timestamp) {
        self.on_answer((confirmed_at + MAX_RELAYED_AGE).min(now));
    }

    /// Records that a peer did not answer a request for updates within `waited`.
    pub fn on_silent_peer(&mut self, waited: Duration) {
        self.waited_for_peers += waited;
    }

    /// Time without an answer up to `now`, except for the time spent on silent peers.
    pub fn unanswered(&self, now: Timestamp) -> Duration {
        let elapsed = now.saturating_sub(self.last_answer_at);
        elapsed.saturating_sub(self.waited_for_peers)
    }

    /// Whether the store was unavailable before a request that was sent at `requested_at` and answered.
    pub fn had_outage(&self, requested_at: Timestamp) -> bool {
        self.unanswered(requested_at) > OUTAGE_THRESHOLD
    }
}
