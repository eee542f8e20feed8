//! Detection of outages of the store.

use std::time::Duration;

use crate::core::ids::Timestamp;

/// Shortest outage of the store in which an entry can expire, in heartbeats of its target. Entries expire
/// after three heartbeats of silence, and the last one before the outage is up to one interval old.
const SHORTEST_OUTAGE_HEARTBEATS: u32 = 2;

/// Maximum age of a target list received from a peer. An instance whose list is older reads the store. The
/// store answers the peer every second, and all instances have to discover a leaving target within two
/// seconds.
pub const MAX_RELAYED_AGE: Duration = Duration::from_millis(1_500);

/// When the store last answered the instances of the fleet.
///
/// Entries expire only if the store is unavailable to the targets. An instance, or the peer from which it
/// gets updates, may lose the store alone, so only the silence of the store towards all instances counts as
/// an outage.
#[derive(Debug, Clone, Copy)]
pub struct StoreContact {
    /// When the store last answered this instance.
    own_answer_at: Option<Timestamp>,
    /// When the store last answered any instance, as far as known here; the start of the instance until
    /// the first answer. Not before `own_answer_at`.
    last_answer_at: Timestamp,
    /// Time between two heartbeats of a target.
    heartbeat: Duration,
}

impl StoreContact {
    /// Creates the state of an instance that starts now, with the time between two heartbeats of a target.
    pub fn new(now: Timestamp, heartbeat: Duration) -> Self {
        Self {
            own_answer_at: None,
            last_answer_at: now,
            heartbeat,
        }
    }

    /// Replaces the time between two heartbeats of a target.
    pub fn with_heartbeat(self, heartbeat: Duration) -> Self {
        Self { heartbeat, ..self }
    }

    /// Records an answer to this instance's request. Returns the duration of the outage that it ends, if
    /// any. The time from the request to the answer is no part of an outage, because the store holds
    /// watches open.
    pub fn on_answer(
        &mut self,
        requested_at: Timestamp,
        answered_at: Timestamp,
    ) -> Option<Duration> {
        let outage = self.outage_until(requested_at);
        self.own_answer_at = Some(answered_at);
        self.last_answer_at = self.last_answer_at.max(answered_at);
        outage
    }

    /// Records that the store answered a peer. Returns the duration of the outage that the answer ends, if
    /// any.
    pub fn on_peer_answer(&mut self, answered_at: Timestamp) -> Option<Duration> {
        let outage = self.outage_until(answered_at);
        self.last_answer_at = self.last_answer_at.max(answered_at);
        outage
    }

    fn outage_until(&self, at: Timestamp) -> Option<Duration> {
        // Answers to others are known only through their messages, so a shorter silence shows nothing.
        let shortest = (self.heartbeat * SHORTEST_OUTAGE_HEARTBEATS).max(MAX_RELAYED_AGE);
        Some(self.unanswered(at)).filter(|duration| *duration > shortest)
    }

    /// Time since the store last answered any instance.
    pub fn unanswered(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.last_answer_at)
    }

    /// When the store last answered this instance.
    pub fn own_answer_at(&self) -> Option<Timestamp> {
        self.own_answer_at
    }
}
