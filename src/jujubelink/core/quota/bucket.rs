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
    /// When the last report arrived, or the peer was added.
    reported_at: Timestamp,
    /// Usage up to which the peer's reports have been applied.
    incarnation: Incarnation,
    total: u64,
    /// Since when the limit is shared with the peer; `None` while it is not.
    sharing_since: Option<Timestamp>,
    /// Units deducted for the peer while the limit was not shared with it. Reports are offset
    /// against them until [`SETTLE_PERIOD`] after sharing resumed.
    assumed_units: f64,
}

/// Token bucket of one workspace, as seen by one instance.
///
/// Invariant: over any period, the sum of the units that this instance admits, those reported by
/// the peers with which the limit is shared, and the fair shares of all other peers is at most the
/// rate plus one burst, plus what is in flight between instances. Sharing is mutual and transitive,
/// so each group of instances stays within the sum of its fair shares.
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
    /// When a charge last succeeded.
    charged_at: Option<Timestamp>,
    peers: BTreeMap<InstanceId, Peer>,
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
            charged_at: None,
            peers: BTreeMap::new(),
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
        let sharing = self
            .peers
            .values()
            .filter(|peer| peer.sharing_since.is_some());
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

    /// Sets the peers of the fleet, and for each whether the limit is shared with it. A new peer
    /// starts without assumed units.
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
                ..Peer::default()
            });
            peer.sharing_since = is_sharing.then(|| peer.sharing_since.unwrap_or(now));
            kept.insert(id.clone(), peer);
        }
        self.peers = kept;
    }

    /// Applies a peer's report. While the limit is not shared with the peer, its fair share is
    /// deducted instead, and the reported usage is applied once sharing resumes.
    pub fn on_report(&mut self, id: &InstanceId, used: PeerUsage, now: Timestamp) {
        self.advance(now);
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        if peer.incarnation != used.incarnation {
            // At the first contact with a peer, it is unknown since when it has used its total. The
            // assumed fair share covers what it used before.
            let is_first = peer.incarnation == 0;
            peer.incarnation = used.incarnation;
            peer.total = if is_first { used.total } else { 0 };
        }
        peer.reported_at = now;
        if peer.sharing_since.is_none() {
            return;
        }
        let new_units = used.total.saturating_sub(peer.total) as f64;
        peer.total = peer.total.max(used.total);
        self.reported += new_units;
        let already_assumed = new_units.min(peer.assumed_units);
        peer.assumed_units -= already_assumed;
        self.level -=
            new_units - already_assumed - self.settle_assumed(new_units - already_assumed);
    }

    /// Consumes up to `units` of what was assumed for peers with which the limit is shared again,
    /// and returns the consumed number. All of these peers are considered, because each of them may
    /// have used the fair shares of the others in its group.
    fn settle_assumed(&mut self, units: f64) -> f64 {
        let mut missing = units;
        let sharing = self
            .peers
            .values_mut()
            .filter(|peer| peer.sharing_since.is_some());
        for peer in sharing {
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

    /// Accrues units since the last update, minus the fair shares of peers without sharing.
    fn advance(&mut self, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        self.updated = now;
        let accrued = self.rate_per_s * elapsed_s;
        let fair_share = accrued / (self.peers.len() + 1) as f64;
        if elapsed_s > MAX_SILENCE_S {
            // The process was suspended while its peers continued without it.
            self.level = (self.level + fair_share).min(self.burst);
            return;
        }
        let mut reserved = 0.0;
        for peer in self.peers.values_mut() {
            match peer.sharing_since {
                None => {
                    peer.assumed_units += fair_share;
                    reserved += fair_share;
                }
                Some(since) if now.saturating_sub(since) > SETTLE_PERIOD => {
                    peer.assumed_units = 0.0
                }
                Some(_) => {}
            }
        }
        self.level = (self.level + accrued - reserved).min(self.burst);
    }
}

/// Time without any call after which the process is assumed to have been suspended, and contact to
/// all peers to be lost, in seconds. Instances exchange messages several times per second.
const MAX_SILENCE_S: f64 = 1.0;

/// Time after which the reports of all peers that became reachable together have arrived. Instances
/// exchange messages several times per second.
const SETTLE_PERIOD: Duration = Duration::from_secs(1);

/// Fraction of the burst below which charges are reported without waiting for the next regular
/// message. A workspace that stays within its rate rarely gets below it.
const REPORTED_LEVEL_RATIO: f64 = 0.75;

/// Maximum retry delay sent to a client, in seconds.
const MAX_RETRY_AFTER_S: f64 = 30.0;
