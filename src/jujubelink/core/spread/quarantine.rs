//! Quarantined requests as they spread.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::ids::{Fingerprint, Timestamp};

/// Largest number of quarantined fingerprints. At the bound the entry that ends first makes room.
pub const MAX_QUARANTINED: usize = 4_096;

/// Longest quarantine that is taken from a member.
const MAX_REMAINING: Duration = Duration::from_secs(3_600);

/// Difference of the end of two reports of one quarantine below which they are the same. Reports
/// age a little on the way, which must not make them news again.
const END_TOLERANCE: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy)]
struct Entry {
    crashes: u32,
    ends_at: Timestamp,
}

/// Quarantined fingerprints with the end of each.
#[derive(Debug, Default)]
pub struct QuarantineSet {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl QuarantineSet {
    /// Takes a report. Returns whether it is news, which is passed on.
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

    /// Entries that still hold: fingerprint, crashes and remaining time.
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
