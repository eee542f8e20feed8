//! Lease that allows one instance at a time to give orders.

use std::sync::Arc;
use std::time::Duration;

use crate::core::ids::{Epoch, ObjectVersion, StoreEra, Timestamp};

/// Value of the lease object.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseRecord {
    /// Name of the machine that holds the lease.
    pub holder: String,
    /// Fencing number; increases with each change of the holder. Not above the version of the object, unless
    /// the store was restored from a copy.
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
    /// Whether the object was read before the last restore. Its version does not compare with later ones.
    is_former: bool,
    /// Times that apply to a takeover of this version. A change of the times while the version is
    /// unchanged lengthens the waits and never shortens them, because the holder counts by either value.
    timing: OrderLeaseTiming,
}

/// Term of the lease that this run acquired last.
#[derive(Debug, Clone, Copy)]
struct Term {
    until: Timestamp,
    epoch: Epoch,
    /// Whether the term began before the last restore of the store. The store may no longer show it.
    is_former: bool,
}

/// State of the lease as observed by one instance. Timestamps come from a clock that also runs
/// while the machine is suspended.
///
/// A holder keeps the lease without renewing it while there is no work. Another instance takes over
/// only if it has observed the same version for `takeover_after`, because a holder that last
/// renewed at that version may no longer give orders by then.
///
/// If the store states its era, the object may be lost or go back to an older one by a restore from a copy. No
/// term starts from a write that was sent before the restore, so all terms of former eras have ended after
/// `takeover_after` from the time at which this instance first knew the present era. Until then only an instance
/// whose own term still runs writes the lease.
#[derive(Debug)]
pub struct OrderLease {
    local_name: Arc<str>,
    timing: OrderLeaseTiming,
    observed: Option<Observed>,
    /// Term of this run; kept after its end until another holder is observed.
    held: Option<Term>,
    /// When this instance first knew the present era of the store; `None` if the store states no era.
    era_since: Option<Timestamp>,
    /// Lowest fencing number of a holder that takes the lease in the present era.
    min_epoch: Epoch,
    /// Highest fencing number seen, in the lease or in reports of targets.
    highest_epoch: Epoch,
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

/// Highest fencing number that is taken for one of an instance. It leaves room for all that can be issued after
/// it, so that none overflows.
const MAX_EPOCH: Epoch = 1 << 62;

/// Fencing numbers of one era of the store. Each era has its own range, so that an instance which never saw the
/// numbers of the part that a restore has lost uses none of them again. Holders can change every few seconds for
/// two months before a range is used up; the numbers seen then still only increase.
const EPOCHS_PER_ERA: Epoch = 1 << 20;

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
            era_since: None,
            min_epoch: 0,
            highest_epoch: 0,
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

    /// Records that the first response of the store that states an era has arrived. The lease may have been lost
    /// in a restore shortly before.
    pub fn on_era_known(&mut self, era: StoreEra, now: Timestamp) {
        self.start_era(era, now);
        let record = self.observed.as_ref().and_then(|seen| seen.record.as_ref());
        if let Some(epoch) = record.map(|record| record.epoch) {
            self.on_epoch_seen(epoch);
        }
    }

    /// Records that the store was restored from a copy, as noticed now. The own term and fencing number are kept.
    /// The outcome of a write that is in flight or unanswered becomes unknown for good: if the store shows it
    /// later, another holder may have taken the lease meanwhile, in the part that was lost.
    pub fn on_restored(&mut self, era: StoreEra, now: Timestamp) {
        self.start_era(era, now);
        self.pending_nonce = None;
        if let Some(term) = &mut self.held {
            term.is_former = true;
        }
        if let Some(observed) = &mut self.observed {
            observed.is_current = false;
            observed.is_former = true;
        }
    }

    fn start_era(&mut self, era: StoreEra, now: Timestamp) {
        self.era_since = Some(now);
        let min_epoch = era.checked_mul(EPOCHS_PER_ERA);
        self.min_epoch = min_epoch.filter(|epoch| *epoch <= MAX_EPOCH).unwrap_or(0);
    }

    /// Records a fencing number that a target has seen. Ignored if the store states no era, because the lease
    /// itself then never goes back.
    pub fn on_epoch_seen(&mut self, epoch: Epoch) {
        if self.era_since.is_some() && epoch <= MAX_EPOCH {
            self.highest_epoch = self.highest_epoch.max(epoch);
        }
    }

    /// Returns the highest fencing number seen; `None` if the store states no era.
    pub fn highest_epoch(&self) -> Option<Epoch> {
        self.era_since.map(|_| self.highest_epoch)
    }

    /// Returns the own term if it runs.
    fn running_term(&self, now: Timestamp) -> Option<Term> {
        self.held.filter(|term| now < term.until)
    }

    /// Whether a fencing number is below one that another holder may have used.
    fn is_superseded(&self, epoch: Epoch) -> bool {
        self.era_since.is_some() && epoch < self.highest_epoch
    }

    /// Returns the fencing number of the next write in an era. The one of the own last term is used again only
    /// if no other holder can have had the lease since.
    fn next_epoch(&self, now: Timestamp) -> Epoch {
        match self.held {
            Some(term)
                if !self.is_superseded(term.epoch) && (now < term.until || !term.is_former) =>
            {
                term.epoch
            }
            _ => self.min_epoch.max(self.highest_epoch + 1),
        }
    }

    /// Returns the fencing number if orders may be given now. Checked immediately before each
    /// order.
    pub fn epoch(&self, now: Timestamp) -> Option<Epoch> {
        let term = self.running_term(now)?;
        (!self.is_superseded(term.epoch)).then_some(term.epoch)
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
        let running = self.running_term(now);
        let is_local = self.holder() == Some(&*self.local_name) || running.is_some();
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
        // No other instance can have written the lease since the restore while this term runs. A number above
        // the own one was issued in the part that was lost.
        if let Some(term) = running
            && (term.is_former || self.is_superseded(term.epoch))
        {
            return write(self.next_epoch(now));
        }
        // The terms of former eras have ended by then.
        let era_settled_at = self.era_since.map(|since| {
            let wait = observed.timing.takeover_after;
            since + wait.max(self.timing.takeover_after)
        });
        let is_era_settled = era_settled_at.is_none_or(|at| now >= at);
        let is_takeover_due = role
            .work_since
            .is_some_and(|at| now >= at + role.takeover_delay);
        let take_over = |wait: Duration, epoch: Epoch| {
            let is_settled = is_era_settled && now >= observed.since + wait;
            match (is_settled, is_takeover_due) {
                (true, true) => write(epoch),
                (false, _) if now >= observed.read_at + POLL_PERIOD => LeaseAction::Read,
                _ => LeaseAction::Wait,
            }
        };
        let epoch_or = |without_era: Epoch| match self.era_since {
            Some(_) => self.next_epoch(now),
            None => without_era,
        };
        match &observed.record {
            // The write fails if another instance creates the lease first, so it need not be read meanwhile.
            None if observed.version == 0 => match is_takeover_due && is_era_settled {
                true => write(epoch_or(1)),
                false => LeaseAction::Wait,
            },
            // Any instance may hold the lease. Its fencing number is below the version, unless it was taken
            // after a restore.
            None => {
                let epoch = epoch_or(observed.version).max(observed.version);
                take_over(observed.timing.takeover_after, epoch)
            }
            Some(record) if is_local => {
                let renew_at = self.renewed_at + self.timing.renew_after;
                match running {
                    Some(term) if now < term.until.min(renew_at) => LeaseAction::Wait,
                    // The copy may be from an earlier term of this instance.
                    None if !is_era_settled => LeaseAction::Wait,
                    // An earlier run on this machine may have held the lease. It has ended, so its
                    // orders and those of this run count as those of one holder.
                    _ => write(epoch_or(record.epoch)),
                }
            }
            Some(record) => {
                let wait = match record.is_released {
                    true => observed.timing.takeover_after_release,
                    false => observed.timing.takeover_after,
                };
                take_over(wait, epoch_or(record.epoch + 1))
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
        // whose number is above its version was not written by an instance, unless a restore has set the
        // versions back.
        let max_epoch = match self.era_since {
            Some(_) => MAX_EPOCH,
            None => version,
        };
        let record = record.filter(|record| record.epoch <= max_epoch);
        if let Some(record) = &record {
            self.on_epoch_seen(record.epoch);
        }
        let is_same = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.version == version && !observed.is_former);
        // The store may no longer show a term of a former era.
        let is_lost_term = self.running_term(now).is_some_and(|term| term.is_former);
        if let (Some(record), Some(nonce)) = (&record, self.pending_nonce)
            && record.nonce == nonce
            && !record.is_released
        {
            // The write whose response was lost was applied. Its term is counted from before its
            // request was sent.
            self.start_term(record.epoch);
            self.pending_nonce = None;
        } else if !is_lost_term
            && record.as_ref().map(|record| &*record.holder) != Some(&*self.local_name)
        {
            self.held = None;
        }
        let (since, timing) = match &self.observed {
            Some(observed) if is_same => (observed.since, observed.timing),
            // Holders of the former era may count by the former times.
            Some(observed) if observed.is_former => {
                (now, self.timing.with_longer_waits(observed.timing))
            }
            _ => (now, self.timing),
        };
        self.observed = Some(Observed {
            version,
            record,
            since,
            read_at: requested_at,
            is_current: true,
            is_former: false,
            timing,
        });
    }

    /// Starts a term of the write that was sent last. It counts from before the request was sent.
    fn start_term(&mut self, epoch: Epoch) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.held = Some(Term {
            until: self.renewed_at + self.timing.term,
            epoch,
            is_former: false,
        });
    }

    /// Records that the write was applied at `version`. If the store was restored after it was sent, its outcome
    /// is unknown, and no term starts.
    pub fn on_written(&mut self, version: ObjectVersion, record: LeaseRecord, now: Timestamp) {
        if self.pending_nonce != Some(record.nonce) {
            return self.on_failed(true, now);
        }
        self.failures = 0;
        self.pending_nonce = None;
        self.start_term(record.epoch);
        self.observed = Some(Observed {
            version,
            record: Some(record),
            since: now,
            read_at: now,
            is_current: true,
            is_former: false,
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
