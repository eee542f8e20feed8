//! The version that gets the requests of a service unless an order says otherwise.

use std::collections::BTreeMap;

use super::{RolloutRecord, RolloutState, VersionId};

/// A target of a service that takes new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVersion {
    /// Version in the entry of the target.
    pub version: VersionId,
    /// Start time of the target in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// Part of the targets of the version in force, as one in so many, at which an ordinary release counts as
/// almost done: the last targets of the old version could not carry all requests.
const RELEASE_FRACTION: usize = 4;

/// The version in force of one service.
///
/// It changes only when an order completes, when none of its targets is left, or when no more than one in
/// [`RELEASE_FRACTION`] of them is left beside more targets of another version that no order withholds. It
/// is never a version without targets while there are others, so that a service with targets is served.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    current: Option<VersionId>,
    /// Largest number of targets of the current version since it came into force.
    peak_targets: usize,
    /// Target of the completed order that was applied last.
    applied_order: Option<VersionId>,
}

impl InForce {
    /// Creates the state before the first list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version in force; `None` if no target states a version.
    pub fn version(&self) -> Option<&VersionId> {
        self.current.as_ref()
    }

    /// Applies the list of targets and the newest order. Returns whether the version in force changed.
    pub fn update(&mut self, listed: &[ListedVersion], record: Option<&RolloutRecord>) -> bool {
        // Number of targets and time of the first start by version.
        let mut versions: BTreeMap<&VersionId, (usize, u64)> = BTreeMap::new();
        for target in listed.iter().filter(|target| !target.version.is_empty()) {
            let entry = versions.entry(&target.version).or_insert((0, u64::MAX));
            entry.0 += 1;
            entry.1 = entry.1.min(target.born_ms);
        }
        let completed = record.filter(|record| record.state() == Some(RolloutState::Completed));
        let completed = completed.map(|record| &record.order.target);
        let withheld = match completed {
            Some(_) => None,
            None => record.map(|record| &record.order.target),
        };
        let count = |version: &VersionId| versions.get(version).map_or(0, |(count, _)| *count);
        let is_usable = |version: &&VersionId| count(version) > 0 && Some(*version) != withheld;
        let oldest = || {
            let usable = versions.iter().filter(|(version, _)| is_usable(version));
            let oldest = usable.min_by_key(|(_, (_, born_ms))| *born_ms);
            oldest.map(|(version, _)| (*version).clone())
        };
        let kept = self.current.as_ref().filter(is_usable);
        let largest_other = || {
            let others = versions
                .iter()
                .filter(|(version, _)| is_usable(version) && Some(**version) != kept);
            others.max_by_key(|(_, (count, _))| *count)
        };
        let next = match (completed.filter(is_usable), kept) {
            // Each completed order counts once, so that an ordinary release may follow it.
            (Some(target), _) if self.applied_order.as_ref() != Some(target) => {
                self.applied_order = Some(target.clone());
                Some(target.clone())
            }
            (_, Some(kept)) => match largest_other() {
                Some((other, (targets, _)))
                    if *targets > count(kept)
                        && count(kept) * RELEASE_FRACTION <= self.peak_targets =>
                {
                    Some((*other).clone())
                }
                _ => Some(kept.clone()),
            },
            // The version that is ordered serves alone only if there is no other one.
            _ => oldest().or_else(|| withheld.filter(|version| count(version) > 0).cloned()),
        };
        let next_count = next.as_ref().map_or(0, count);
        let is_changed = next != self.current;
        self.peak_targets = match is_changed {
            true => next_count,
            false => self.peak_targets.max(next_count),
        };
        if is_changed {
            self.current = next;
        }
        is_changed
    }
}
