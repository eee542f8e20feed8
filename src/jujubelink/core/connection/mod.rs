//! How long a connection of a client waits for the next request.
//!
//! The limits may change while a connection waits, and an instance may learn of that later than the
//! client. A wait therefore ends by the longest limit that the client may believe in.

use std::time::Duration;

use super::ids::{ConfigVersion, Timestamp};

/// Shortest pause between two checks of a wait that is over by the known limits.
const MIN_RECHECK_TIME: Duration = Duration::from_secs(1);

/// Longest pause between two such checks.
const MAX_RECHECK_TIME: Duration = Duration::from_secs(15);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitKind {
    /// The first byte of a request.
    Request,
    /// The rest of the head of a request.
    Head,
}

/// Limits of the time that a client may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitLimits {
    /// Time from the first to the last byte of the head of a request.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl WaitLimits {
    /// Returns how long a connection waits.
    ///
    /// The client counts the idle time from the arrival of its last response, later than the instance.
    /// The time for a head, which allows for slow links, is added to cover the difference.
    pub fn wait_time(&self, kind: WaitKind) -> Duration {
        match kind {
            WaitKind::Request => self.idle_timeout + self.header_timeout,
            WaitKind::Head => self.header_timeout,
        }
    }

    /// Returns the longer one of each limit.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            header_timeout: self.header_timeout.max(other.header_timeout),
            idle_timeout: self.idle_timeout.max(other.idle_timeout),
        }
    }
}

/// What an instance knows about the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownLimits {
    /// The limits.
    pub limits: WaitLimits,
    /// Age of the proof that they are the newest; `None` without one.
    pub age: Option<Duration>,
    /// Whether open connections are so many that those which waited too long are closed in any case.
    pub is_crowded: bool,
}

impl KnownLimits {
    /// Limits that cannot change.
    pub fn fixed(limits: WaitLimits) -> Self {
        Self {
            limits,
            age: Some(Duration::ZERO),
            is_crowded: false,
        }
    }
}

/// Result of a check of a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// The connection waits; the next check is due after this time.
    Wait(Duration),
    /// The client has taken longer than any limit allows that it may know.
    Close,
}

/// A connection's wait for bytes of its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    kind: WaitKind,
    /// Longest time that has been allowed since the wait began.
    allowed: Duration,
}

impl Wait {
    /// Begins a wait under the given limits.
    pub fn new(kind: WaitKind, limits: &WaitLimits) -> Self {
        Self {
            kind,
            allowed: limits.wait_time(kind),
        }
    }

    /// What the connection waits for.
    pub fn kind(&self) -> WaitKind {
        self.kind
    }

    /// Longest time that has been allowed since the wait began.
    pub fn allowed(&self) -> Duration {
        self.allowed
    }

    /// Checks a wait that has lasted for `elapsed`.
    ///
    /// Raised limits apply at once, and lowered ones do not shorten the wait. If the limits are not
    /// proved to be the newest at the time at which the wait is over, they may have been raised.
    /// `elapsed` may leave out the time of a suspension, as that only prolongs the wait.
    pub fn check(&mut self, elapsed: Duration, known: &KnownLimits) -> WaitDecision {
        self.allowed = self.allowed.max(known.limits.wait_time(self.kind));
        let Some(overdue) = elapsed.checked_sub(self.allowed) else {
            return WaitDecision::Wait(self.allowed - elapsed);
        };
        let is_proved = known.age.is_some_and(|age| age <= overdue);
        match is_proved || known.is_crowded {
            true => WaitDecision::Close,
            false => WaitDecision::Wait((overdue / 2).clamp(MIN_RECHECK_TIME, MAX_RECHECK_TIME)),
        }
    }
}

/// Limits that clients may keep to: the active ones, and for a while the longer ones before.
#[derive(Debug, Clone, Copy)]
pub struct LimitHistory {
    active: WaitLimits,
    /// Longer limits that were active before, and until when clients may still believe in them.
    former: Option<(WaitLimits, Timestamp)>,
    /// Time by which all clients know a change.
    change_time: Duration,
    /// Version of the configuration that states the active limits.
    version: Option<ConfigVersion>,
    /// Until when clients may believe in a version that was superseded before this instance read it.
    skipped_until: Option<Timestamp>,
}

impl LimitHistory {
    /// Creates a history with the first limits.
    pub fn new(active: WaitLimits, change_time: Duration) -> Self {
        Self {
            active,
            former: None,
            change_time,
            version: None,
            skipped_until: None,
        }
    }

    /// Records the version that states the active limits. Versions before it may have been in force unread.
    pub fn on_version(&mut self, version: ConfigVersion, now: Timestamp) {
        let last = self.version.replace(version);
        if last.is_some_and(|last| version > last + 1) {
            self.skipped_until = Some(now + self.change_time);
        }
    }

    /// Whether clients may still believe in limits that this instance has never read.
    pub fn may_have_skipped(&self, now: Timestamp) -> bool {
        self.skipped_until.is_some_and(|until| now < until)
    }

    /// Changes the time by which all clients know a change. Applies to later changes of the limits.
    pub fn set_change_time(&mut self, change_time: Duration) {
        self.change_time = change_time;
    }

    /// Applies the limits that are active now.
    pub fn on_limits(&mut self, active: WaitLimits, now: Timestamp) {
        if active == self.active {
            return;
        }
        let former = self.limits(now);
        self.former = Some((former, now + self.change_time));
        self.active = active;
    }

    /// Returns the longest limits that a client may believe in.
    pub fn limits(&self, now: Timestamp) -> WaitLimits {
        match &self.former {
            Some((former, until)) if now < *until => self.active.max(former),
            _ => self.active,
        }
    }
}
