//! The member table.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngCore;
use rand::seq::IteratorRandom;

use super::record::{ConfigSummary, Health, MemberRecord};
use crate::core::ids::{InstanceId, Timestamp};

/// Largest number of members. At the bound, the member that has been dead longest is evicted; if
/// none is dead, a new member is ignored.
pub const MAX_MEMBERS: usize = 1_024;

/// Time for which a dead member is kept and probed to detect that a partition has healed. Regions
/// can lose contact for minutes.
const DEAD_RETENTION: Duration = Duration::from_secs(3_600);

/// Time for which a member that left is kept, so that late records about it are recognized as
/// outdated.
const LEFT_RETENTION: Duration = Duration::from_secs(60);

/// A member in the local table.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// Newest record.
    pub record: MemberRecord,
    /// When the health last changed.
    pub health_changed_at: Timestamp,
    /// Last reported state of the member's configuration.
    pub summary: ConfigSummary,
    pub(super) remaining_sends: u32,
}

impl MemberEntry {
    fn retention(&self) -> Duration {
        match self.record.is_leaving {
            true => LEFT_RETENTION,
            false => DEAD_RETENTION,
        }
    }
}

/// Members by peer address, without the local instance.
#[derive(Debug, Default)]
pub(super) struct Table {
    entries: BTreeMap<InstanceId, MemberEntry>,
}

impl Table {
    pub(super) fn get(&self, instance: &str) -> Option<&MemberEntry> {
        self.entries.get(instance)
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Returns the members that are alive or suspect.
    pub(super) fn live(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries()
            .filter(|entry| entry.record.health < Health::Dead)
    }

    /// Applies a record if it outranks the current one. Returns whether it was applied.
    pub(super) fn merge(&mut self, record: &MemberRecord, send_count: u32, now: Timestamp) -> bool {
        match self.entries.get_mut(&record.instance) {
            Some(entry) if record.rank() <= entry.record.rank() => false,
            Some(entry) => {
                let was_leaving =
                    entry.record.is_leaving && entry.record.incarnation == record.incarnation;
                if entry.record.health != record.health {
                    entry.health_changed_at = now;
                }
                entry.record = record.clone();
                entry.record.is_leaving |= was_leaving;
                entry.remaining_sends = send_count;
                true
            }
            None => record.health < Health::Dead && self.insert(record, send_count, now),
        }
    }

    fn insert(&mut self, record: &MemberRecord, send_count: u32, now: Timestamp) -> bool {
        if self.entries.len() >= MAX_MEMBERS && !self.evict_longest_dead() {
            return false;
        }
        let entry = MemberEntry {
            record: record.clone(),
            health_changed_at: now,
            summary: ConfigSummary::default(),
            remaining_sends: send_count,
        };
        self.entries.insert(record.instance.clone(), entry);
        true
    }

    fn evict_longest_dead(&mut self) -> bool {
        let longest = self
            .entries()
            .filter(|entry| entry.record.health == Health::Dead)
            .min_by_key(|entry| entry.health_changed_at)
            .map(|entry| entry.record.instance.clone());
        longest.is_some_and(|instance| self.entries.remove(&instance).is_some())
    }

    /// Records the reported state of a member's configuration.
    pub(super) fn set_summary(&mut self, instance: &str, summary: ConfigSummary) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.summary = summary;
        }
    }

    /// Delays all timeouts by a pause of the local process, during which members could not refute.
    pub(super) fn extend_timeouts(&mut self, pause: Duration) {
        for entry in self.entries.values_mut() {
            entry.health_changed_at += pause;
        }
    }

    /// Returns the members that have been suspect for at least `timeout`.
    pub(super) fn expired_suspicions(
        &self,
        timeout: Duration,
        now: Timestamp,
    ) -> Vec<MemberRecord> {
        self.entries()
            .filter(|entry| entry.record.health == Health::Suspect)
            .filter(|entry| now >= entry.health_changed_at + timeout)
            .map(|entry| entry.record.clone())
            .collect()
    }

    /// Removes dead members whose retention time has passed.
    pub(super) fn remove_expired_dead(&mut self, now: Timestamp) {
        self.entries.retain(|_, entry| {
            entry.record.health < Health::Dead || now < entry.health_changed_at + entry.retention()
        });
    }

    /// Returns a random member that is suspect, or dead without having left.
    pub(super) fn choose_unresponsive(&self, rng: &mut dyn RngCore) -> Option<InstanceId> {
        self.entries()
            .filter(|entry| match entry.record.health {
                Health::Alive => false,
                Health::Suspect => true,
                Health::Dead => !entry.record.is_leaving,
            })
            .choose(rng)
            .map(|entry| entry.record.instance.clone())
    }

    /// Returns up to `limit` random live members other than `excluded`.
    pub(super) fn choose_live(
        &self,
        limit: usize,
        excluded: &str,
        rng: &mut dyn RngCore,
    ) -> Vec<InstanceId> {
        self.live()
            .filter(|entry| &*entry.record.instance != excluded)
            .map(|entry| entry.record.instance.clone())
            .choose_multiple(rng, limit)
    }

    /// Returns up to `limit` records to send: first the changes that were sent least often, then up
    /// to `fill` random members, whose records reach instances that missed a change.
    pub(super) fn take_to_send(
        &mut self,
        limit: usize,
        fill: usize,
        rng: &mut dyn RngCore,
    ) -> Vec<MemberRecord> {
        let mut waiting: Vec<&mut MemberEntry> = self
            .entries
            .values_mut()
            .filter(|entry| entry.remaining_sends > 0)
            .collect();
        waiting.sort_by_key(|entry| std::cmp::Reverse(entry.remaining_sends));
        let mut records: Vec<MemberRecord> = Vec::with_capacity(limit);
        for entry in waiting.into_iter().take(limit) {
            entry.remaining_sends -= 1;
            records.push(entry.record.clone());
        }
        let fill = fill.min(limit - records.len());
        let others = self
            .live()
            .filter(|entry| {
                !records
                    .iter()
                    .any(|sent| sent.instance == entry.record.instance)
            })
            .choose_multiple(rng, fill);
        let others: Vec<_> = others.iter().map(|entry| entry.record.clone()).collect();
        records.extend(others);
        records
    }
}
