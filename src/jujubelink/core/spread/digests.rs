//! Relay of hot-prefix digests within a byte budget.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::core::ids::{Fingerprint, Incarnation, InstanceId, TargetId, Timestamp};

/// Bytes of digests that an instance sends per second. Digests beyond it wait, and the oldest are
/// dropped: routing works without them, only with fewer hits.
pub const DIGEST_BYTES_PER_S: u64 = 2_048;

/// Largest number of waiting digests; the oldest makes room.
pub const MAX_QUEUED_DIGESTS: usize = 256;

/// Largest number of origins whose last sequence number is kept. An origin beyond it is not
/// relayed.
const MAX_ORIGINS: usize = 1_024;

/// Fingerprints of each kind in one digest; further ones are cut off.
const MAX_DIGEST_FINGERPRINTS: usize = 64;

/// Budget that may be saved up.
const MAX_BURST: Duration = Duration::from_secs(2);

/// A digest with its origin, which makes it recognizable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequencedDigest {
    /// Instance that consumes the target's events.
    pub origin: InstanceId,
    /// Run of the origin.
    pub origin_incarnation: Incarnation,
    /// Grows with each digest of the origin.
    pub sequence: u64,
    /// Target.
    pub target: TargetId,
    /// Run of the engine.
    pub incarnation: Incarnation,
    /// Prefixes that are now cached.
    pub stored: Vec<Fingerprint>,
    /// Prefixes that are no longer cached.
    pub evicted: Vec<Fingerprint>,
}

impl SequencedDigest {
    /// Approximate size on the wire.
    pub fn size_bytes(&self) -> u64 {
        let text = self.origin.len() + self.target.len();
        let numbers = 3 + self.stored.len() + self.evicted.len();
        (text + numbers * 8 + 16) as u64
    }
}

/// Last sequence number of an origin and the 64 before it.
#[derive(Debug, Clone, Copy)]
struct SequenceWindow {
    incarnation: Incarnation,
    last: u64,
    /// Bit i stands for `last - i`.
    window: u64,
}

impl SequenceWindow {
    /// Notes a number. Returns whether it is new.
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

/// Digests on their way to other instances.
#[derive(Debug, Default)]
pub struct DigestRelay {
    queue: VecDeque<SequencedDigest>,
    seen: BTreeMap<InstanceId, SequenceWindow>,
    next_sequence: u64,
    budget_bytes: u64,
    refilled_at: Timestamp,
    dropped: u64,
}

impl DigestRelay {
    /// Queues a digest of this instance.
    pub fn publish(&mut self, mut digest: SequencedDigest) {
        self.next_sequence += 1;
        digest.sequence = self.next_sequence;
        digest.stored.truncate(MAX_DIGEST_FINGERPRINTS);
        digest.evicted.truncate(MAX_DIGEST_FINGERPRINTS);
        self.enqueue(digest);
    }

    /// Takes a digest of another instance and queues it for the next ones. Returns whether it is
    /// new.
    pub fn on_received(&mut self, digest: &SequencedDigest) -> bool {
        let has_room = self.seen.len() < MAX_ORIGINS;
        let is_new = match self.seen.get_mut(&digest.origin) {
            Some(seen) => seen.insert(digest.origin_incarnation, digest.sequence),
            None if !has_room => return false,
            None => {
                let seen = SequenceWindow {
                    incarnation: digest.origin_incarnation,
                    last: digest.sequence,
                    window: 1,
                };
                self.seen.insert(digest.origin.clone(), seen);
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

    /// Forgets origins that are no members.
    pub fn retain_origins(&mut self, is_member: impl Fn(&InstanceId) -> bool) {
        self.seen.retain(|origin, _| is_member(origin));
    }

    /// Digests dropped so far for lack of room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Takes the digests that the budget allows to send to `receivers` instances now.
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
