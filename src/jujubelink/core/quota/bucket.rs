//! A token bucket over all instances.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::ids::{Incarnation, InstanceId, Timestamp};

/// A reason to refuse a charge.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketRefusal {
    /// Time after which the same charge can succeed, if nobody else takes the tokens.
    pub retry_after: Duration,
}

/// What a peer reports of its use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerUsage {
    /// Run of the peer; its total starts at 0 with each.
    pub incarnation: Incarnation,
    /// Units that the peer has charged in this run.
    pub total: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    incarnation: Incarnation,
    total: u64,
    /// Since when the instances share the limit; `None` while they do not.
    sharing_since: Option<Timestamp>,
    /// Units taken off for the peer while the limit was not shared with it. Reports may explain them
    /// until [`SETTLE_PERIOD`] after sharing began again.
    assumed_units: f64,
}

/// Bucket of one workspace as one instance sees it.
///
/// Invariant: over any time, the units that this instance lets pass, those that peers report which it
/// shares with, and the fair share of each other peer sum up to no more than the rate and one burst,
/// plus what is under way between instances. Sharing is mutual and transitive, so that each group of
/// instances keeps to the sum of its fair shares.
#[derive(Debug, Clone)]
pub struct SharedBucket {
    rate_per_s: f64,
    burst: f64,
    /// May be negative: peers used more than was known.
    level: f64,
    updated: Timestamp,
    /// Units that this run has charged.
    total: u64,
    peers: BTreeMap<InstanceId, Peer>,
}

impl SharedBucket {
    /// A bucket that holds `level` at first. What former runs used of the burst is not known, so that
    /// it can only be a part of what the limit tolerates.
    pub fn new(rate_per_s: f64, burst: f64, level: f64, now: Timestamp) -> Self {
        Self {
            rate_per_s,
            burst,
            level: level.min(burst),
            updated: now,
            total: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Takes a changed limit. A lower burst binds at once.
    pub fn set_limit(&mut self, rate_per_s: f64, burst: f64, now: Timestamp) {
        self.advance(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Units that this run has charged, for the report to peers.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Level now; negative while the fleet has used more than was known.
    pub fn level(&mut self, now: Timestamp) -> f64 {
        self.advance(now);
        self.level
    }

    /// Takes the peers of the fleet, and whether the limit is shared with each. A peer that is new
    /// starts without.
    pub fn set_peers<'a>(
        &mut self,
        peers: impl Iterator<Item = (&'a InstanceId, bool)>,
        now: Timestamp,
    ) {
        self.advance(now);
        let mut kept = BTreeMap::new();
        for (id, is_sharing) in peers {
            let mut peer = self.peers.remove(id).unwrap_or_default();
            peer.sharing_since = is_sharing.then(|| peer.sharing_since.unwrap_or(now));
            kept.insert(id.clone(), peer);
        }
        self.peers = kept;
    }

    /// Takes a peer's report. While the limit is not shared with the peer, its fair share stands for
    /// what it uses, and the report counts once they share again.
    pub fn on_report(&mut self, id: &InstanceId, used: PeerUsage, now: Timestamp) {
        self.advance(now);
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        if peer.incarnation != used.incarnation {
            // A run that is met for the first time has used its total since some unknown time; the
            // assumed share stands for what was used before this instance listened.
            let is_first = peer.incarnation == 0;
            peer.incarnation = used.incarnation;
            peer.total = if is_first { used.total } else { 0 };
        }
        if peer.sharing_since.is_none() {
            return;
        }
        let new_units = used.total.saturating_sub(peer.total) as f64;
        peer.total = peer.total.max(used.total);
        let already_assumed = new_units.min(peer.assumed_units);
        peer.assumed_units -= already_assumed;
        self.level -=
            new_units - already_assumed - self.settle_assumed(new_units - already_assumed);
    }

    /// Takes up to `units` of what was assumed of peers that share again. A group of peers shares its
    /// fair shares, so that one of them may have used those of the others.
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

    /// Charges a request of `units`. One that is larger than the burst waits for a full bucket.
    pub fn charge(&mut self, units: u64, now: Timestamp) -> Result<(), BucketRefusal> {
        self.advance(now);
        let needed = (units as f64).min(self.burst.max(1.0));
        if self.level < needed {
            let missing = needed - self.level;
            let wait_s = missing / self.rate_per_s.max(f64::MIN_POSITIVE);
            let retry_after = Duration::from_secs_f64(wait_s.clamp(0.0, MAX_RETRY_AFTER_S));
            return Err(BucketRefusal { retry_after });
        }
        self.level -= units as f64;
        self.total += units;
        Ok(())
    }

    /// Gives back a charge of a request that never reached a target. The report to peers is not taken
    /// back, which errs on the side of the limit.
    pub fn refund(&mut self, units: u64, now: Timestamp) {
        self.advance(now);
        self.level = (self.level + units as f64).min(self.burst);
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        self.updated = now;
        let accrued = self.rate_per_s * elapsed_s;
        let fair_share = accrued / (self.peers.len() + 1) as f64;
        if elapsed_s > MAX_SILENCE_S {
            // The process stood still, and its peers went on without it.
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

/// Time without any event after which contact to peers is taken for lost, in seconds. Instances talk
/// several times a second.
const MAX_SILENCE_S: f64 = 1.0;

/// Time after which the reports of all peers that were out of reach together have arrived. Instances
/// talk several times a second.
const SETTLE_PERIOD: Duration = Duration::from_secs(1);

/// Longest wait that a client is told, in seconds.
const MAX_RETRY_AFTER_S: f64 = 30.0;
