//! Audit log of changes made through the administration API.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;

/// Maximum number of entries in memory; the oldest ones are dropped. The process log contains all
/// entries, and the configuration history contains all changes of the configuration.
pub const MAX_AUDIT_ENTRIES: usize = 1000;

/// A requested change, successful or not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AuditEntry {
    /// Time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Name of the caller's key.
    pub actor: String,
    /// Role of the caller's key.
    pub role: String,
    /// Method and path.
    pub request: String,
    /// Status code of the response.
    pub status: u16,
    /// Whether the response repeats that of an earlier request with the same idempotency key.
    pub is_repeat: bool,
}

/// Returns the current time in milliseconds since the Unix epoch.
pub(super) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// In-memory log of the latest entries, newest first.
#[derive(Default)]
pub(super) struct AuditLog {
    entries: RefCell<VecDeque<AuditEntry>>,
}

impl AuditLog {
    pub(super) fn add(&self, entry: AuditEntry) {
        let mut entries = self.entries.borrow_mut();
        if entries.len() >= MAX_AUDIT_ENTRIES {
            entries.pop_back();
        }
        entries.push_front(entry);
    }

    pub(super) fn entries(&self) -> Vec<AuditEntry> {
        self.entries.borrow().iter().cloned().collect()
    }
}
