//! Faults of entries in the store that have been logged.

use std::collections::BTreeMap;

use crate::core::ids::ObjectVersion;
use crate::ops::store::EntryFault;

/// Maximum number of entries whose faults are logged; faults of further entries are not.
const MAX_LOGGED: usize = 1_024;

/// The entries whose faults have been logged, so that each fault is logged once and not at each
/// read of the entry.
#[derive(Debug, Default)]
pub(super) struct LoggedFaults {
    /// Revision with the logged fault, by kind and name of the entry.
    revisions: BTreeMap<(&'static str, String), ObjectVersion>,
}

impl LoggedFaults {
    /// Records a fault. Returns whether it is to be logged.
    pub(super) fn is_new(&mut self, fault: &EntryFault) -> bool {
        let key = (fault.kind, fault.name.clone());
        if self.revisions.len() >= MAX_LOGGED && !self.revisions.contains_key(&key) {
            return false;
        }
        self.revisions.insert(key, fault.revision) != Some(fault.revision)
    }
}
