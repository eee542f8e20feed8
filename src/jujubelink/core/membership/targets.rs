//! Leaving state of targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::record::TargetRecord;
use crate::core::ids::{TargetId, Timestamp};

/// Largest number of targets whose state is kept. At the bound, records of targets that are no
/// longer leaving are dropped first. After that, further targets are ignored, and routing relies on
/// the targets refusing requests.
pub const MAX_TARGET_STATES: usize = 4_096;

/// Time after which a target stops counting as leaving unless it is reported again. A plain service
/// that restarted at the same address has no other way to clear the state; one that is still
/// leaving reports it again with its next response.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(600);

/// Age from which a repeated report renews the leaving state at all instances. Earlier repeats are
/// not sent.
const LEAVING_RENEWAL_AGE: Duration = Duration::from_secs(300);

#[derive(Debug, Clone)]
struct Entry {
    record: TargetRecord,
    updated_at: Timestamp,
    remaining_sends: u32,
}

/// Last known state of targets that were reported as leaving.
#[derive(Debug, Default)]
pub(super) struct TargetStates {
    entries: BTreeMap<TargetId, Entry>,
}

impl TargetStates {
    /// Records a local observation. Returns whether the state was updated.
    pub(super) fn set(
        &mut self,
        target: &TargetId,
        is_leaving: bool,
        send_count: u32,
        now: Timestamp,
    ) -> bool {
        let existing = self.entries.get(target);
        let is_unchanged = existing.map_or(!is_leaving, |entry| {
            let is_fresh = !is_leaving || now < entry.updated_at + LEAVING_RENEWAL_AGE;
            entry.record.is_leaving == is_leaving && is_fresh
        });
        if is_unchanged {
            return false;
        }
        let revision = existing.map_or(0, |entry| entry.record.revision) + 1;
        let record = TargetRecord {
            target: target.clone(),
            is_leaving,
            revision,
        };
        self.merge(record, send_count, now)
    }

    /// Applies a record if it is newer. Returns whether it was applied.
    pub(super) fn merge(&mut self, record: TargetRecord, send_count: u32, now: Timestamp) -> bool {
        let rank = |record: &TargetRecord| (record.revision, record.is_leaving);
        let existing = self.entries.get(&record.target);
        if existing.is_some_and(|existing| rank(&existing.record) >= rank(&record)) {
            return false;
        }
        if existing.is_none() && !self.has_room() {
            return false;
        }
        let entry = Entry {
            record: record.clone(),
            updated_at: now,
            remaining_sends: send_count,
        };
        self.entries.insert(record.target, entry);
        true
    }

    /// Clears the leaving state of targets for which it was not renewed. Returns whether there were
    /// any.
    pub(super) fn expire(&mut self, send_count: u32, now: Timestamp) -> bool {
        let expired: Vec<TargetId> = self
            .entries
            .values()
            .filter(|entry| entry.record.is_leaving && now >= entry.updated_at + LEAVING_TIMEOUT)
            .map(|entry| entry.record.target.clone())
            .collect();
        for target in &expired {
            self.set(target, false, send_count, now);
        }
        !expired.is_empty()
    }

    fn has_room(&mut self) -> bool {
        if self.entries.len() >= MAX_TARGET_STATES {
            self.entries.retain(|_, entry| entry.record.is_leaving);
        }
        self.entries.len() < MAX_TARGET_STATES
    }

    /// Removes targets that `is_configured` rejects.
    pub(super) fn retain(&mut self, is_configured: impl Fn(&TargetId) -> bool) {
        self.entries.retain(|target, _| is_configured(target));
    }

    /// Returns the targets that are leaving.
    pub(super) fn leaving(&self) -> BTreeSet<TargetId> {
        self.entries
            .values()
            .filter(|entry| entry.record.is_leaving)
            .map(|entry| entry.record.target.clone())
            .collect()
    }

    /// Returns all records.
    pub(super) fn records(&self) -> Vec<TargetRecord> {
        let records = self.entries.values();
        records.map(|entry| entry.record.clone()).collect()
    }

    /// Returns up to `limit` records to send, least often sent first.
    pub(super) fn take_to_send(&mut self, limit: usize) -> Vec<TargetRecord> {
        let mut waiting: Vec<&mut Entry> = self
            .entries
            .values_mut()
            .filter(|entry| entry.remaining_sends > 0)
            .collect();
        waiting.sort_by_key(|entry| std::cmp::Reverse(entry.remaining_sends));
        let taken = waiting.into_iter().take(limit);
        taken
            .map(|entry| {
                entry.remaining_sends -= 1;
                entry.record.clone()
            })
            .collect()
    }
}
