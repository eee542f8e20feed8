//! Detection and quarantine of requests that crash targets.
//!
//! A request that was running at a target when it crashed is a suspect. A retry of a suspect runs
//! apart from other suspects. After a further crash, requests with the same content are refused for
//! a time (quarantine).

use std::collections::HashMap;
use std::time::Duration;

use crate::core::ids::{Fingerprint, Incarnation, TargetId, Timestamp};

/// Time for which a quarantined request is refused, and for which a suspect is remembered.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(600);

/// Number of crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: u32 = 2;

/// Maximum number of suspects and quarantined requests. At the limit, suspects are evicted before
/// quarantined requests, and those that expire first before others.
pub const MAX_SUSPECTS: usize = 4096;

/// Quarantine state of a request's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectState {
    /// No crashes, or a completed run since.
    Clear,
    /// Was running during one crash; runs at a target without other suspects.
    Suspect,
    /// Refused for the remaining time.
    Quarantined {
        /// Remaining time.
        remaining: Duration,
    },
}

/// Result of recording a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashVerdict {
    /// Number of crashes attributed to the content.
    pub crashes: u32,
    /// Remaining lifetime of the entry.
    pub remaining: Duration,
    /// Whether the crash was counted. A second request of the same content that was running during
    /// the same crash is not counted again.
    pub is_new: bool,
}

#[derive(Debug)]
struct Entry {
    crashes: u32,
    expires_at: Timestamp,
    /// Target and incarnation of the last crash that this instance observed.
    last_crash: Option<(TargetId, Incarnation)>,
}

/// Suspects and quarantined requests by the fingerprint of workspace, model and whole prompt.
#[derive(Debug, Default)]
pub struct SuspectTable {
    entries: HashMap<Fingerprint, Entry>,
}

impl SuspectTable {
    /// Returns the quarantine state of a request's content.
    pub fn state(&self, fingerprint: Fingerprint, now: Timestamp) -> SuspectState {
        match self.entries.get(&fingerprint) {
            Some(entry) if entry.expires_at <= now => SuspectState::Clear,
            Some(entry) if entry.crashes >= QUARANTINE_CRASHES => SuspectState::Quarantined {
                remaining: entry.expires_at - now,
            },
            Some(_) => SuspectState::Suspect,
            None => SuspectState::Clear,
        }
    }

    /// Records that a request was running at a target that crashed.
    pub fn on_crash(
        &mut self,
        fingerprint: Fingerprint,
        target: &TargetId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> CrashVerdict {
        let crash = (target.clone(), incarnation);
        let entry = self.entry(fingerprint, now);
        let is_new = entry.last_crash.as_ref() != Some(&crash);
        if is_new {
            entry.crashes += 1;
            entry.expires_at = now + QUARANTINE_DURATION;
            entry.last_crash = Some(crash);
        }
        CrashVerdict {
            crashes: entry.crashes,
            remaining: entry.expires_at - now,
            is_new,
        }
    }

    /// Applies an entry sent by another instance. The higher number of crashes wins, and 0 crashes
    /// clear a suspect.
    pub fn on_gossip(
        &mut self,
        fingerprint: Fingerprint,
        crashes: u32,
        remaining: Duration,
        now: Timestamp,
    ) {
        if crashes == 0 {
            self.clear(fingerprint, now);
            return;
        }
        let entry = self.entry(fingerprint, now);
        entry.crashes = entry.crashes.max(crashes);
        entry.expires_at = entry
            .expires_at
            .max(now + remaining.min(QUARANTINE_DURATION));
    }

    /// Clears a suspect after a completed run. Returns whether there was one.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Timestamp) -> bool {
        let is_suspect = self.state(fingerprint, now) == SuspectState::Suspect;
        if is_suspect {
            self.entries.remove(&fingerprint);
        }
        is_suspect
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry of a fingerprint. Creates it if there is none or if it has expired.
    fn entry(&mut self, fingerprint: Fingerprint, now: Timestamp) -> &mut Entry {
        if self
            .entries
            .get(&fingerprint)
            .is_some_and(|entry| entry.expires_at <= now)
        {
            self.entries.remove(&fingerprint);
        }
        if self.entries.len() >= MAX_SUSPECTS && !self.entries.contains_key(&fingerprint) {
            self.evict_one();
        }
        self.entries.entry(fingerprint).or_insert(Entry {
            crashes: 0,
            expires_at: now,
            last_crash: None,
        })
    }

    /// Evicts a suspect, or if there is none a quarantined request; the one that expires first.
    fn evict_one(&mut self) {
        let first = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.crashes >= QUARANTINE_CRASHES, entry.expires_at))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = first {
            self.entries.remove(&fingerprint);
        }
    }
}
