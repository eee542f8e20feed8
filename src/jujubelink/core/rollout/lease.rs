//! Lease that allows one instance at a time to give orders.

use std::sync::Arc;
use std::time::Duration;

use crate::core::ids::{Epoch, ObjectVersion, Timestamp};

/// Value of the lease object.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseRecord {
    /// Name of the machine that holds the lease.
    pub holder: String,
    /// Fencing number; increases with each change of the holder. Never above the version of the object.
    pub epoch: Epoch,
    /// Whether the holder has given its last order and has released the lease.
    #[serde(default)]
    pub is_released: bool,
    /// Random number of the write, by which the writer recognizes it after a lost response.
    pub nonce: u64,
}

/// Durations that decide when the lease is renewed and taken over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderLeaseTiming {
    /// Time from the start of a renewal during which the holder may give orders.
    pub term: Duration,
    /// Age of the last renewal at which the holder renews the lease while there is work.
    pub renew_after: Duration,
    /// Time for which an instance must have observed an unchanged lease before it takes it over:
    /// the term, plus the required delay between orders of different holders.
    pub takeover_after: Duration,
    /// The same for a lease that its holder released after its last order.
    pub takeover_after_release: Duration,
}

impl OrderLeaseTiming {
    /// Returns the longer of the two values of each wait before a takeover, and the other times of `self`.
    fn with_longer_waits(self, other: Self) -> Self {
        Self {
            takeover_after: self.takeover_after.max(other.takeover_after),
            takeover_after_release: self
                .takeover_after_release
                .max(other.takeover_after_release),
            ..self
        }
    }
}

/// Current role of the local instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseRole {
    /// Since when there have been orders to give.
    pub work_since: Option<Timestamp>,
    /// Whether the local instance may take the lease over. Candidates read the lease until it has
    /// been unchanged for long enough, so that a takeover is not delayed when there is work.
    pub is_candidate: bool,
    /// Time from the start of work before the local instance takes over, which leaves the holder
    /// and earlier candidates time to act.
    pub takeover_delay: Duration,
}

/// Next action on the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Do nothing for now.
    Wait,
    /// Read the object.
    Read,
    /// Write the record if the object still has this version; 0 means that it must be absent.
    Write {
        /// Version that the object must have.
        if_version: ObjectVersion,
        /// Value.
        record: LeaseRecord,
    },
}

#[derive(Debug, Clone)]
struct Observed {
    /// Version of the object; 0 if it is absent.
    version: ObjectVersion,
    /// `None` if the object is absent or its contents cannot be used.
    record: Option<LeaseRecord>,
    /// When this version was first observed.
    since: Timestamp,
    /// When the object was last read.
    read_at: Timestamp,
    /// Whether the record can be relied on; false after a call whose outcome is unknown.
    is_current: bool,
    /// Times that apply to a takeover of this version. A change of the times while the version is
    /// unchanged lengthens the waits and never shortens them, because the holder counts by either value.
    timing: OrderLeaseTiming,
}

/// State of the lease as observed by one instance. Timestamps come from a clock that also runs
/// while the machine is suspended.
///
/// A holder keeps the lease without renewing it while there is no work. Another instance takes over
/// only if it has observed the same version for `takeover_after`, because a holder that last
/// renewed at that version may no longer give orders by then.
#[derive(Debug)]
pub struct OrderLease {
    local_name: Arc<str>,
    timing: OrderLeaseTiming,
    observed: Option<Observed>,
    /// End of the current term and fencing number, while this run holds the lease.
    held: Option<(Timestamp, Epoch)>,
    /// When the last renewal was sent.
    renewed_at: Timestamp,
    pending_nonce: Option<u64>,
    /// Time until which no call is made after a failed one.
    retry_at: Timestamp,
    /// Number of consecutive failed calls.
    failures: u32,
}

/// Backoff after a failed call to the store. It doubles with each consecutive failure up to the
/// maximum, because a store that rejects an instance still charges for each call.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(1_000);

/// Time between reads of a lease that another instance holds.
const POLL_PERIOD: Duration = Duration::from_millis(1_000);

impl OrderLease {
    /// Creates the state before the first read.
    pub fn new(local_name: Arc<str>, timing: OrderLeaseTiming) -> Self {
        Self {
            local_name,
            timing,
            observed: None,
            held: None,
            renewed_at: Timestamp::ZERO,
            pending_nonce: None,
            retry_at: Timestamp::ZERO,
            failures: 0,
        }
    }

    /// Applies changed times. They also apply to the version observed last, unless they are shorter.
    pub fn set_timing(&mut self, timing: OrderLeaseTiming) {
        self.timing = timing;
        if let Some(observed) = &mut self.observed {
            observed.timing = timing.with_longer_waits(observed.timing);
        }
    }

    /// Returns the fencing number if orders may be given now. Checked immediately before each
    /// order.
    pub fn epoch(&self, now: Timestamp) -> Option<Epoch> {
        let (until, epoch) = self.held?;
        (now < until).then_some(epoch)
    }

    /// Returns the name of the holder as last read.
    pub fn holder(&self) -> Option<&str> {
        let record = self.observed.as_ref()?.record.as_ref()?;
        Some(&record.holder)
    }

    /// Returns the next action. `nonce` is a new random number.
    pub fn next(&self, role: LeaseRole, nonce: u64, now: Timestamp) -> LeaseAction {
        if now < self.retry_at {
            return LeaseAction::Wait;
        }
        let is_local = self.holder() == Some(&*self.local_name);
        if (is_local && role.work_since.is_none()) || (!is_local && !role.is_candidate) {
            return LeaseAction::Wait;
        }
        let Some(observed) = self
            .observed
            .as_ref()
            .filter(|observed| observed.is_current)
        else {
            return LeaseAction::Read;
        };
        let write = |epoch: Epoch| LeaseAction::Write {
            if_version: observed.version,
            record: LeaseRecord {
                holder: self.local_name.to_string(),
                epoch,
                is_released: false,
                nonce,
            },
        };
        let is_takeover_due = role
            .work_since
            .is_some_and(|at| now >= at + role.takeover_delay);
        let take_over = |wait: Duration, epoch: Epoch| {
            let is_settled = now >= observed.since + wait;
            match (is_settled, is_takeover_due) {
                (true, true) => write(epoch),
                (false, _) if now >= observed.read_at + POLL_PERIOD => LeaseAction::Read,
                _ => LeaseAction::Wait,
            }
        };
        match &observed.record {
            None if observed.version == 0 && is_takeover_due => write(1),
            None if observed.version == 0 => LeaseAction::Wait,
            // Any instance may hold the lease. Its fencing number is below the version.
            None => take_over(observed.timing.takeover_after, observed.version),
            Some(record) if is_local => {
                let renew_at = self.renewed_at + self.timing.renew_after;
                match self.held {
                    Some((until, _)) if now < until.min(renew_at) => LeaseAction::Wait,
                    // An earlier run on this machine may have held the lease. It has ended, so its
                    // orders and those of this run count as those of one holder.
                    _ => write(record.epoch),
                }
            }
            Some(record) => {
                let wait = match record.is_released {
                    true => observed.timing.takeover_after_release,
                    false => observed.timing.takeover_after,
                };
                take_over(wait, record.epoch + 1)
            }
        }
    }

    /// Releases the lease and returns the write that records it. No order may be given from now on.
    /// Returns `None` if another instance holds the lease, it is already released, or its state is
    /// not current.
    pub fn release(&mut self, nonce: u64) -> Option<(ObjectVersion, LeaseRecord)> {
        self.held = None;
        let observed = self.observed.as_mut()?;
        let record = observed.record.as_ref()?;
        if *record.holder != *self.local_name || !observed.is_current || record.is_released {
            return None;
        }
        let released = LeaseRecord {
            is_released: true,
            nonce,
            ..record.clone()
        };
        observed.is_current = false;
        Some((observed.version, released))
    }

    /// Records that a write with `nonce` is being sent.
    pub fn on_write_sent(&mut self, nonce: u64, now: Timestamp) {
        self.pending_nonce = Some(nonce);
        self.renewed_at = now;
    }

    /// Handles the object as read; version 0 means that it is absent, and no record with another
    /// version that its contents cannot be decoded. `requested_at` is the time before the request was
    /// sent.
    pub fn on_read(
        &mut self,
        version: ObjectVersion,
        record: Option<LeaseRecord>,
        requested_at: Timestamp,
        now: Timestamp,
    ) {
        self.failures = 0;
        // Each write raises the fencing number by at most 1 and the version by at least 1. A record
        // whose number is above its version was not written by an instance.
        let record = record.filter(|record| record.epoch <= version);
        let is_same = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.version == version);
        if let (Some(record), Some(nonce)) = (&record, self.pending_nonce)
            && record.nonce == nonce
            && !record.is_released
        {
            // The write whose response was lost was applied. Its term is counted from before its
            // request was sent.
            self.held = Some((self.renewed_at + self.timing.term, record.epoch));
            self.pending_nonce = None;
        } else if record.as_ref().map(|record| &*record.holder) != Some(&*self.local_name) {
            self.held = None;
        }
        let (since, timing) = match &self.observed {
            Some(observed) if is_same => (observed.since, observed.timing),
            _ => (now, self.timing),
        };
        self.observed = Some(Observed {
            version,
            record,
            since,
            read_at: requested_at,
            is_current: true,
            timing,
        });
    }

    /// Records that the write was applied at `version`.
    pub fn on_written(&mut self, version: ObjectVersion, record: LeaseRecord, now: Timestamp) {
        self.failures = 0;
        if self.pending_nonce == Some(record.nonce) {
            self.pending_nonce = None;
        }
        self.held = Some((self.renewed_at + self.timing.term, record.epoch));
        self.observed = Some(Observed {
            version,
            record: Some(record),
            since: now,
            read_at: now,
            is_current: true,
            timing: self.timing,
        });
    }

    /// Records that a call failed or that the object had another version; it is read again.
    pub fn on_failed(&mut self, is_conflict: bool, now: Timestamp) {
        if !is_conflict {
            let backoff = RETRY_BACKOFF * 2u32.pow(self.failures.min(8));
            self.retry_at = now + backoff.min(MAX_RETRY_BACKOFF);
            self.failures += 1;
        }
        if let Some(observed) = &mut self.observed {
            observed.is_current = false;
        }
    }
}
