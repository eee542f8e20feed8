//! Targets that were removed, so that delayed or restored entries do not bring them back.

use std::collections::HashMap;
use std::time::Duration;

use super::StorePosition;
use crate::core::ids::{Incarnation, ObjectVersion, StoreEra, TargetId, Timestamp};

/// Minimum time for which the removal of a target is remembered, so that a delayed update of its
/// former entry cannot restore it.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// The same while the store states an era. After a restore, entries of targets that were removed since
/// the copy come back.
const REMOVED_RETENTION_WITH_ERA: Duration = Duration::from_secs(600);

/// Maximum number of removed targets that are remembered. Further ones are not recorded or, while the
/// store states an era, replace the oldest one.
const MAX_REMOVED: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct RemovedTarget {
    position: StorePosition,
    /// Latest incarnation that was removed, if it was known.
    incarnation: Option<Incarnation>,
    /// When this instance recorded the removal.
    at: Timestamp,
}

/// The removed targets, by name.
#[derive(Debug, Default)]
pub(super) struct Removals {
    targets: HashMap<TargetId, RemovedTarget>,
}

impl Removals {
    /// Whether the removal of a target is remembered.
    pub(super) fn contains(&self, id: &TargetId) -> bool {
        self.targets.contains_key(id)
    }

    /// Records a removal, and forgets old ones. `has_era` tells whether the store states an era.
    pub(super) fn record(
        &mut self,
        id: &TargetId,
        position: StorePosition,
        incarnation: Option<Incarnation>,
        now: Timestamp,
        has_era: bool,
    ) {
        let retention = match has_era {
            true => REMOVED_RETENTION_WITH_ERA,
            false => REMOVED_RETENTION,
        };
        self.targets
            .retain(|_, removed| now.saturating_sub(removed.at) < retention);
        if self.targets.len() >= MAX_REMOVED && has_era && !self.contains(id) {
            let oldest = self.targets.iter().min_by_key(|(_, removed)| removed.at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.map(|id| self.targets.remove(&id));
        }
        if self.targets.len() >= MAX_REMOVED {
            return;
        }
        let removed = self.targets.entry(id.clone()).or_insert(RemovedTarget {
            position,
            incarnation,
            at: now,
        });
        if removed.position <= position || removed.position.era != position.era {
            removed.position = position;
        }
        removed.incarnation = removed.incarnation.max(incarnation);
        removed.at = now;
    }

    /// Whether a removal in the present era supersedes an entry.
    pub(super) fn supersedes(&self, id: &TargetId, position: StorePosition) -> bool {
        let removed = self.targets.get(id);
        removed.is_some_and(|removed| position <= removed.position)
    }

    /// Whether this incarnation or a later one of the target was removed in an era before `era`.
    pub(super) fn is_removed_before(
        &self,
        id: &TargetId,
        incarnation: Incarnation,
        era: StoreEra,
    ) -> bool {
        let removed = self.targets.get(id);
        removed.is_some_and(|removed| {
            removed.position.era != era && Some(incarnation) <= removed.incarnation
        })
    }

    /// Assigns what was removed before the store stated an era to that era.
    pub(super) fn assign_era(&mut self, era: StoreEra) {
        for removed in self.targets.values_mut() {
            removed.position.era = era;
        }
    }
}

/// Returns whether an entry was written after the first list of targets in its era.
pub(super) fn is_written_after(first_list: Option<ObjectVersion>, revision: ObjectVersion) -> bool {
    first_list.is_some_and(|first| revision > first)
}
