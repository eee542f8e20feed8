//! Token bucket shared by all instances.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::fleet::MessageSchedule;
use crate::core::ids::{Incarnation, InstanceId, Timestamp};

/// Refusal of a charge.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketRefusal {
    /// Time after which the same charge can succeed if nothing else is charged meanwhile.
    pub retry_after: Duration,
}

/// Usage reported by a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerUsage {
    /// Incarnation of the peer; its total starts at 0 with each.
    pub incarnation: Incarnation,
    /// Units that the peer has charged in this incarnation.
    pub total: u64,
}

/// What an instance knows of the usage of a limit, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketStatus {
    /// Current level; negative if the fleet has used more than the reports had shown.
    pub level: f64,
    /// Level at which the bucket is full.
    pub burst: f64,
    /// Units charged in this incarnation of the instance.
    pub total: u64,
    /// Charges refused in this incarnation of the instance.
    pub refusals: u64,
    /// Units that peers reported while the limit was shared with them.
    pub reported: f64,
    /// Number of peers.
    pub peers: usize,
    /// Number of peers with which the limit is shared.
    pub sharing_peers: usize,
    /// Mean time since the last report of the peers with which the limit is shared.
    pub mean_report_age: Duration,
    /// Maximum time since the last report of these peers.
    pub max_report_age: Duration,
}

/// State of the limit with regard to one peer.
#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    /// Usage up to which the peer's reports have been applied.
    incarnation: Incarnation,
    total: u64,
    /// When the last report arrived, or the peer was added.
    reported_at: Timestamp,
    /// Whether the limit is shared with the peer.
    is_sharing: bool,
    /// Whether the peer's share of the limit is deducted: while the limit is not shared with it, or
    /// while its reports are overdue.
    is_reserved: bool,
    /// Time up to which the peer's usage was reported or its share was deducted.
    accounted_until: Timestamp,
    /// `overflowed` at that time.
    overflowed_before: f64,
    /// Units deducted for the peer that its reports have not yet replaced.
    assumed_units: f64,
}

/// Token bucket of one workspace, as seen by one instance.
///
/// Invariant: over any period, the sum of the units that this instance admits, those reported by
/// the peers with which the limit is shared, and the fair shares of all other peers is at most the
/// rate plus one burst, plus what is in flight between instances. Sharing is mutual and transitive,
/// so each group of instances stays within the sum of its fair shares. A peer whose reports are
/// overdue counts as one without sharing until its next report, which replaces its fair share.
#[derive(Debug, Clone)]
pub struct SharedBucket {
    rate_per_s: f64,
    burst: f64,
    /// Negative if peers used more than their reports had shown.
    level: f64,
    updated: Timestamp,
    /// Units charged in this incarnation of the instance.
    total: u64,
    /// Charges refused in this incarnation of the instance.
    refusals: u64,
    /// Units that peers reported while the limit was shared with them.
    reported: f64,
    /// Units that were lost because the bucket was full. A share that is deducted late is taken from
    /// these first, since the level never contained them.
    overflowed: f64,
    /// When a charge last succeeded.
    charged_at: Option<Timestamp>,
    peers: BTreeMap<InstanceId, Peer>,
    /// Number of peers whose shares are deducted.
    reserved_peers: usize,
    /// Time up to which no further peer's reports are overdue.
    next_overdue_at: Timestamp,
}

impl SharedBucket {
    /// Creates a bucket with an initial `level`. The units that earlier incarnations used are
    /// unknown, so the initial level must be within the tolerance of the limit.
    pub fn new(rate_per_s: f64, burst: f64, level: f64, now: Timestamp) -> Self {
        Self {
            rate_per_s,
            burst,
            level: level.min(burst),
            updated: now,
            total: 0,
            refusals: 0,
            reported: 0.0,
            overflowed: 0.0,
            charged_at: None,
            peers: BTreeMap::new(),
            reserved_peers: 0,
            next_overdue_at: now,
        }
    }

    /// Changes the limit. A lower burst takes effect immediately.
    pub fn set_limit(&mut self, rate_per_s: f64, burst: f64, now: Timestamp) {
        self.advance(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Returns the units charged in this incarnation, for the report to peers.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the current level. It is negative if the fleet has used more than the reports had
    /// shown.
    pub fn level(&mut self, now: Timestamp) -> f64 {
        self.advance(now);
        self.level
    }

    /// Returns what this instance knows of the usage of the limit.
    pub fn status(&mut self, now: Timestamp) -> BucketStatus {
        self.advance(now);
        let sharing = self.peers.values().filter(|peer| peer.is_sharing);
        let ages: Vec<Duration> = sharing
            .map(|peer| now.saturating_sub(peer.reported_at))
            .collect();
        BucketStatus {
            level: self.level,
            burst: self.burst,
            total: self.total,
            refusals: self.refusals,
            reported: self.reported,
            peers: self.peers.len(),
            sharing_peers: ages.len(),
            mean_report_age: ages.iter().sum::<Duration>() / (ages.len().max(1) as u32),
            max_report_age: ages.iter().max().copied().unwrap_or_default(),
        }
    }

    /// Whether peers need to know of this instance's usage before the next regular message: the
    /// level is low enough that all instances together can exhaust it until then, and a charge has
    /// succeeded recently. Each charge is reported twice, because a datagram may be lost.
    pub fn needs_usage_report(&mut self, now: Timestamp) -> bool {
        let recent = MessageSchedule::new(self.peers.len()).usage_report_interval * 2;
        self.level(now) < self.burst * REPORTED_LEVEL_RATIO
            && self
                .charged_at
                .is_some_and(|at| now.saturating_sub(at) <= recent)
    }

    /// Sets the peers of the fleet, and for each whether the limit is shared with it. The share of a
    /// new peer is deducted from now on.
    pub fn set_peers<'a>(
        &mut self,
        peers: impl Iterator<Item = (&'a InstanceId, bool)>,
        now: Timestamp,
    ) {
        self.advance(now);
        let mut kept = BTreeMap::new();
        for (id, is_sharing) in peers {
            let mut peer = self.peers.remove(id).unwrap_or(Peer {
                reported_at: now,
                accounted_until: now,
                overflowed_before: self.overflowed,
                is_reserved: !is_sharing,
                ..Peer::default()
            });
            peer.is_sharing = is_sharing;
            kept.insert(id.clone(), peer);
        }
        self.peers = kept;
        self.reserve_shares(now);
    }

    /// Sets for some of the peers whether the limit is shared with them. Does the same as [`Self::set_peers`]
    /// while the peers of the fleet stay the same, without a new table of all of them.
    pub fn set_sharing<'a>(
        &mut self,
        changes: impl Iterator<Item = (&'a InstanceId, bool)>,
        now: Timestamp,
    ) {
        self.advance(now);
        for (id, is_sharing) in changes {
            if let Some(peer) = self.peers.get_mut(id) {
                peer.is_sharing = is_sharing;
            }
        }
        self.reserve_shares(now);
    }

    /// Applies a peer's report. While the limit is not shared with the peer, its fair share is
    /// deducted instead, and the reported usage is applied once sharing resumes.
    pub fn on_report(&mut self, id: &InstanceId, used: PeerUsage, now: Timestamp) {
        self.advance(now);
        let (overflowed, report_timeout) = (self.overflowed, self.report_timeout());
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        if peer.incarnation != used.incarnation {
            // It is unknown since when a peer that is met for the first time has used its total,
            // and what an earlier incarnation used last. The share deducted so far covers both.
            let is_covered = peer.incarnation == 0 || peer.is_reserved;
            peer.incarnation = used.incarnation;
            peer.total = if is_covered { used.total } else { 0 };
            peer.assumed_units = 0.0;
        }
        peer.reported_at = now;
        if !peer.is_sharing {
            return;
        }
        if std::mem::replace(&mut peer.is_reserved, false) {
            self.reserved_peers -= 1;
            self.next_overdue_at = self.next_overdue_at.min(now + report_timeout);
        }
        peer.accounted_until = now;
        peer.overflowed_before = overflowed;
        let new_units = used.total.saturating_sub(peer.total) as f64;
        peer.total = peer.total.max(used.total);
        self.reported += new_units;
        let already_assumed = new_units.min(peer.assumed_units);
        let unused = peer.assumed_units - already_assumed;
        peer.assumed_units = 0.0;
        let missing = new_units - already_assumed;
        let settled = self.settle_assumed(missing, now);
        self.level = (self.level + unused - (missing - settled)).min(self.burst);
    }

    /// Consumes up to `units` of what was assumed for peers with which the limit is shared again
    /// and which have not reported since, and returns the consumed number. All of these peers are
    /// considered, because each of them may have used the fair shares of the others in its group.
    fn settle_assumed(&mut self, units: f64, now: Timestamp) -> f64 {
        let report_timeout = self.report_timeout();
        let mut missing = units;
        let resumed = self.peers.values_mut().filter(|peer| {
            peer.is_reserved && peer.is_sharing && now <= peer.reported_at + report_timeout
        });
        for peer in resumed {
            let taken = missing.min(peer.assumed_units);
            peer.assumed_units -= taken;
            missing -= taken;
        }
        units - missing
    }

    /// Charges a request. One larger than the burst needs a full bucket.
    pub fn charge(&mut self, units: u64, now: Timestamp) -> Result<(), BucketRefusal> {
        self.advance(now);
        let needed = (units as f64).min(self.burst.max(1.0));
        if self.level < needed {
            self.refusals += 1;
            let missing = needed - self.level;
            let wait_s = missing / self.rate_per_s.max(f64::MIN_POSITIVE);
            let retry_after = Duration::from_secs_f64(wait_s.clamp(0.0, MAX_RETRY_AFTER_S));
            return Err(BucketRefusal { retry_after });
        }
        self.level -= units as f64;
        self.total += units;
        self.charged_at = Some(now);
        Ok(())
    }

    /// Refunds the charge of a request that never reached a target. The total reported to peers is
    /// not reduced, so peers may deduct too much, but the fleet stays within the limit.
    pub fn refund(&mut self, units: u64, now: Timestamp) {
        self.advance(now);
        self.level = (self.level + units as f64).min(self.burst);
    }

    /// Accrues units since the last update, minus the fair shares of the peers whose usage is
    /// unknown.
    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.updated);
        if elapsed.is_zero() {
            return;
        }
        self.updated = now;
        let accrued = self.rate_per_s * elapsed.as_secs_f64();
        let fair_share = self.fair_share(elapsed);
        if self.reserved_peers > 0 {
            for peer in self.peers.values_mut().filter(|peer| peer.is_reserved) {
                peer.assumed_units += fair_share;
                peer.accounted_until = now;
            }
        }
        let level = self.level + accrued - fair_share * self.reserved_peers as f64;
        self.overflowed += (level - self.burst).max(0.0);
        self.level = level.min(self.burst);
        if now > self.next_overdue_at {
            self.reserve_shares(now);
        }
    }

    /// Deducts the shares of the peers that have stopped to share the limit or whose reports have
    /// become overdue: what accrued since their last report, and their part of the level. Otherwise
    /// each group of instances without contact to the others would use the whole level.
    fn reserve_shares(&mut self, now: Timestamp) {
        let report_timeout = self.report_timeout();
        let rate_per_instance = self.fair_share(Duration::from_secs(1));
        let mut next_overdue_at = Timestamp::MAX;
        self.reserved_peers = self.peers.values().filter(|peer| peer.is_reserved).count();
        let mut group_size = self.peers.len() + 1 - self.reserved_peers;
        for peer in self.peers.values_mut().filter(|peer| !peer.is_reserved) {
            let overdue_at = peer.reported_at + report_timeout;
            if peer.is_sharing && now <= overdue_at {
                next_overdue_at = next_overdue_at.min(overdue_at);
                continue;
            }
            let unaccounted = now.saturating_sub(peer.accounted_until);
            let accrued = rate_per_instance * unaccounted.as_secs_f64();
            let from_overflowed = (self.overflowed - peer.overflowed_before).clamp(0.0, accrued);
            self.overflowed -= from_overflowed;
            self.level -= accrued - from_overflowed;
            let part_of_level = self.level.max(0.0) / group_size as f64;
            self.level -= part_of_level;
            group_size -= 1;
            self.reserved_peers += 1;
            peer.assumed_units += accrued - from_overflowed + part_of_level;
            peer.is_reserved = true;
            peer.accounted_until = now;
        }
        self.next_overdue_at = next_overdue_at;
    }

    /// The part of the units that accrue in a period to which each instance is entitled.
    fn fair_share(&self, period: Duration) -> f64 {
        self.rate_per_s * period.as_secs_f64() / (self.peers.len() + 1) as f64
    }

    fn report_timeout(&self) -> Duration {
        MessageSchedule::new(self.peers.len()).report_timeout
    }
}

/// Fraction of the burst below which charges are reported without waiting for the next regular
/// message. A workspace that stays within its rate rarely gets below it. Only this instance's view of
/// the level counts, so the instances of a very large fleet can exhaust the limit before.
const REPORTED_LEVEL_RATIO: f64 = 0.75;

/// Maximum retry delay sent to a client, in seconds.
const MAX_RETRY_AFTER_S: f64 = 30.0;
