//! Relay of digests of frequently used prompt prefixes, within a byte budget.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::core::ids::{Fingerprint, Incarnation, InstanceId, TargetId, Timestamp};

/// Bytes of digests that an instance sends per second. Digests beyond this wait, and the oldest are
/// dropped. Routing works without them, with fewer cache hits.
pub const DIGEST_BYTES_PER_S: u64 = 2_048;

/// Largest number of queued digests; at the bound the oldest is dropped.
pub const MAX_QUEUED_DIGESTS: usize = 256;

/// Largest number of origins whose sequence numbers are tracked. Digests of further origins are not
/// relayed.
const MAX_ORIGINS: usize = 1_024;

/// Largest number of stored and of evicted fingerprints in one digest; further ones are left out.
const MAX_DIGEST_FINGERPRINTS: usize = 64;

/// Time for which unused budget accumulates.
const MAX_BURST: Duration = Duration::from_secs(2);

/// A digest of cache changes at a target, with its origin and sequence number to detect duplicates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequencedDigest {
    /// Instance that receives the target's cache events.
    pub origin: InstanceId,
    /// Run of the origin instance.
    pub origin_incarnation: Incarnation,
    /// Increases with each digest of the origin.
    pub sequence: u64,
    /// Target.
    pub target: TargetId,
    /// Run of the engine.
    pub incarnation: Incarnation,
    /// Prefixes that were added to the cache.
    pub stored: Vec<Fingerprint>,
    /// Prefixes that were evicted from the cache.
    pub evicted: Vec<Fingerprint>,
}

impl SequencedDigest {
    /// Returns the approximate size on the wire.
    pub fn size_bytes(&self) -> u64 {
        let text = self.origin.len() + self.target.len();
        let numbers = 3 + self.stored.len() + self.evicted.len();
        (text + numbers * 8 + 16) as u64
    }
}

/// Sliding window over the sequence numbers of an origin: the last one and the 63 before it.
#[derive(Debug, Clone, Copy)]
struct SequenceWindow {
    incarnation: Incarnation,
    last: u64,
    /// Bit i is set if `last - i` was received.
    window: u64,
}

impl SequenceWindow {
    /// Records a sequence number. Returns whether it is new.
    fn insert(&mut self, incarnation: Incarnation, sequence: u64) -> bool {
        if incarnation != self.incarnation {
            *self = Self {
                incarnation,
                last: sequence,
                window: 1,
            };
            return true;
        }
        if sequence > self.last {
            let shift = sequence - self.last;
            self.window = if shift < 64 { self.window << shift } else { 0 } | 1;
            self.last = sequence;
            return true;
        }
        let age = self.last - sequence;
        if age >= 64 || self.window & (1 << age) != 0 {
            return false;
        }
        self.window |= 1 << age;
        true
    }
}

/// Queue of digests to send to other instances.
#[derive(Debug, Default)]
pub struct DigestRelay {
    queue: VecDeque<SequencedDigest>,
    origin_windows: BTreeMap<InstanceId, SequenceWindow>,
    next_sequence: u64,
    budget_bytes: u64,
    refilled_at: Timestamp,
    dropped: u64,
}

impl DigestRelay {
    /// Queues a digest that originates from the local instance.
    pub fn publish(&mut self, mut digest: SequencedDigest) {
        self.next_sequence += 1;
        digest.sequence = self.next_sequence;
        digest.stored.truncate(MAX_DIGEST_FINGERPRINTS);
        digest.evicted.truncate(MAX_DIGEST_FINGERPRINTS);
        self.enqueue(digest);
    }

    /// Handles a digest of another instance, and queues it for relay if it is new. Returns whether
    /// it is new.
    pub fn on_received(&mut self, digest: &SequencedDigest) -> bool {
        let has_room = self.origin_windows.len() < MAX_ORIGINS;
        let is_new = match self.origin_windows.get_mut(&digest.origin) {
            Some(origin_window) => origin_window.insert(digest.origin_incarnation, digest.sequence),
            None if !has_room => return false,
            None => {
                let origin_window = SequenceWindow {
                    incarnation: digest.origin_incarnation,
                    last: digest.sequence,
                    window: 1,
                };
                self.origin_windows
                    .insert(digest.origin.clone(), origin_window);
                true
            }
        };
        if is_new {
            self.enqueue(digest.clone());
        }
        is_new
    }

    fn enqueue(&mut self, digest: SequencedDigest) {
        if self.queue.len() >= MAX_QUEUED_DIGESTS {
            self.queue.pop_front();
            self.dropped += 1;
        }
        self.queue.push_back(digest);
    }

    /// Removes origins that are not members.
    pub fn retain_origins(&mut self, is_member: impl Fn(&InstanceId) -> bool) {
        self.origin_windows.retain(|origin, _| is_member(origin));
    }

    /// Returns the number of digests dropped so far because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Removes and returns the queued digests that the budget allows to send to `receivers`
    /// instances now.
    pub fn take_to_send(&mut self, receivers: u64, now: Timestamp) -> Vec<SequencedDigest> {
        let elapsed = now.saturating_sub(self.refilled_at).min(MAX_BURST);
        let max_budget = DIGEST_BYTES_PER_S * MAX_BURST.as_secs();
        let refill = (DIGEST_BYTES_PER_S as f64 * elapsed.as_secs_f64()) as u64;
        self.budget_bytes = (self.budget_bytes + refill).min(max_budget);
        self.refilled_at = now;
        let mut taken = Vec::new();
        while let Some(digest) = self.queue.front() {
            let cost = digest.size_bytes() * receivers.max(1);
            if cost > self.budget_bytes {
                break;
            }
            self.budget_bytes -= cost;
            taken.extend(self.queue.pop_front());
        }
        taken
    }
}
