//! Announcements of weights, and how long the weights that they supersede may be used.

use std::time::Duration;

use crate::core::ids::Timestamp;

/// Fraction of the bound on adopting new weights after which older weights are no longer used. The
/// rest covers the delay until this instance discovers the new weights, and the wait in the
/// target's queue.
const OLD_WEIGHTS_RATIO: f64 = 0.85;

/// Fraction of the contact time after process start during which old weights may be used although it
/// is unknown when they were replaced. Without it, starting all instances together would leave few
/// engines for all requests. The rest covers the wait in the target's queue.
const STARTUP_OLD_WEIGHTS_RATIO: f64 = 0.6;

/// Time since a version was last confirmed absent after which a read no longer dates its announcement,
/// unless a read failed meanwhile. The bound on old weights counts while instances are suspended, but
/// not while the store or a link is disrupted. The first two instances read more often; a gap between
/// the reads of others makes the announcement look older, which errs to the safe side.
const MAX_READ_GAP: Duration = Duration::from_millis(1_600);

/// Bounds on the use of superseded weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightsBounds {
    /// Time within which requests must run on newly announced weights.
    pub adoption: Duration,
    /// Time after its start from which an instance has to keep the bound.
    pub contact: Duration,
}

impl WeightsBounds {
    /// Whether weights that were superseded `age` ago may still be used.
    pub fn may_use(&self, age: Duration) -> bool {
        age < self.adoption.mul_f64(OLD_WEIGHTS_RATIO)
    }

    /// Returns the announcement time to assume for weights that were announced before this process
    /// started.
    pub fn assumed_announced_at(&self, started_at: Timestamp) -> Timestamp {
        let grace_end = started_at + self.contact.mul_f64(STARTUP_OLD_WEIGHTS_RATIO);
        grace_end.saturating_sub(self.adoption.mul_f64(OLD_WEIGHTS_RATIO))
    }
}

/// Time at which the platform announced that a weights version is to be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// Time of the announcement, or an assumed bound of it.
    pub at: Timestamp,
    /// Whether the time is assumed: the version was announced before this process started to watch,
    /// and no peer has reported the time.
    pub is_assumed: bool,
}

impl Announcement {
    /// Returns the announcement of a version that the store was read to hold at `read_at`.
    ///
    /// The read dates the announcement if the version was confirmed to be absent before
    /// (`absent_until`), by this instance or another one. If that was long ago although no read has
    /// failed since (`failed_at`), the instances were suspended, and the version may have been
    /// announced at any time meanwhile. If it was never confirmed to be absent, it was announced before
    /// this instance started, and `assumed` is used.
    pub fn read(
        read_at: Timestamp,
        absent_until: Option<Timestamp>,
        failed_at: Option<Timestamp>,
        assumed: Timestamp,
    ) -> Self {
        let has_gap = |absent_until: Timestamp| {
            failed_at.is_none_or(|at| at < absent_until)
                && read_at.saturating_sub(absent_until) > MAX_READ_GAP
        };
        match absent_until {
            Some(absent_until) if has_gap(absent_until) => Self {
                at: absent_until,
                is_assumed: true,
            },
            Some(_) => Self {
                at: read_at,
                is_assumed: false,
            },
            None => Self {
                at: assumed,
                is_assumed: true,
            },
        }
    }

    /// Returns the announcement for a report of another instance that arrived at `received_at`.
    ///
    /// `age` is the time since the announcement as the other instance reported it. If it has none
    /// either, the version was announced after this instance last confirmed its absence
    /// (`absent_until`). Without such a confirmation it was announced before this instance started,
    /// and `assumed` is used.
    ///
    /// The age is counted back from the arrival, which is later than its measurement. The earliest
    /// time wins in [`Self::merge`], so an error to the other side would grow with each relay.
    pub fn received(
        age: Option<Duration>,
        received_at: Timestamp,
        absent_until: Option<Timestamp>,
        assumed: Timestamp,
    ) -> Self {
        let at = age.map(|age| received_at.saturating_sub(age));
        Self {
            at: at.or(absent_until).unwrap_or(assumed),
            is_assumed: at.is_none(),
        }
    }

    /// Merges two reports. Actual times take precedence over assumed ones. The earliest time is
    /// right, since other instances received the announcement later.
    pub(super) fn merge(&mut self, other: Self) {
        let should_replace = match (self.is_assumed, other.is_assumed) {
            (true, false) => true,
            (false, true) => false,
            _ => other.at < self.at,
        };
        if should_replace {
            *self = other;
        }
    }
}
