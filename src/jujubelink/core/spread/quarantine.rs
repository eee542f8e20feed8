//! Set of quarantined requests that is shared between instances. A request is quarantined because
//! it crashed targets.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::ids::{Fingerprint, Timestamp};

/// Largest number of quarantined fingerprints. At the bound, the entry that ends first is evicted.
pub const MAX_QUARANTINED: usize = 4_096;

/// Longest remaining quarantine that is accepted from a member.
const MAX_REMAINING: Duration = Duration::from_secs(3_600);

/// Largest difference between the end times of two reports that still count as the same quarantine.
/// The time in transit shifts the end a little, and must not turn a report into a new one.
const END_TOLERANCE: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy)]
struct Entry {
    crashes: u32,
    ends_at: Timestamp,
}

/// Quarantined fingerprints with the end of each quarantine.
#[derive(Debug, Default)]
pub struct QuarantineSet {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl QuarantineSet {
    /// Applies a report. Returns whether it is new and has to be forwarded.
    pub fn merge(
        &mut self,
        fingerprint: Fingerprint,
        crashes: u32,
        remaining: Duration,
        now: Timestamp,
    ) -> bool {
        let ends_at = now + remaining.min(MAX_REMAINING);
        let is_duplicate = self.entries.get(&fingerprint).is_some_and(|existing| {
            existing.ends_at > now
                && existing.crashes >= crashes
                && existing.ends_at + END_TOLERANCE >= ends_at
        });
        if is_duplicate || remaining.is_zero() {
            return false;
        }
        if !self.entries.contains_key(&fingerprint) {
            self.make_room(now);
        }
        self.entries.insert(fingerprint, Entry { crashes, ends_at });
        true
    }

    fn make_room(&mut self, now: Timestamp) {
        if self.entries.len() < MAX_QUARANTINED {
            return;
        }
        self.entries.retain(|_, entry| entry.ends_at > now);
        if self.entries.len() >= MAX_QUARANTINED {
            let first = self.entries.iter().min_by_key(|(_, entry)| entry.ends_at);
            if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
                self.entries.remove(&fingerprint);
            }
        }
    }

    /// Returns the current entries: fingerprint, number of crashes and remaining time.
    pub fn current(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (Fingerprint, u32, Duration)> + '_ {
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.ends_at > now)
            .map(move |(fingerprint, entry)| (*fingerprint, entry.crashes, entry.ends_at - now))
    }
}
