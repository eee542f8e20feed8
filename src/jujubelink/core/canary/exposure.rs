//! How many requests this instance may send to a new version.

use super::Phase;
use crate::core::ids::{Epoch, Timestamp};

/// Part of the bounds on exposure that is used while few requests go to the new version. The rest is for the
/// test under load, in which a fault that starts later is found.
const PROBE_RATIO: f64 = 0.2;

/// Distributes the fractions of requests that the instances may send over them, by rank: the fractional part of
/// its multiples is even over any number of ranks.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Largest fraction of requests that are sent to an untested version at once. The test needs requests at the
/// old version from the same time to compare with.
const MAX_PROBE_FRACTION: f64 = 0.25;

/// Bounds on the exposure to a version that may be bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBounds {
    /// Part of the requests of the service.
    pub share: f64,
    /// Requests beyond that part, over all instances.
    pub slack: f64,
}

/// Permission to send requests to the new version. It ends by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Fencing number of the holder that gave it. A lower one never replaces a higher one.
    pub epoch: Epoch,
    /// Step of the roll-out.
    pub phase: Phase,
    /// End of the permission. [`Phase::Commit`] has no end, because the old targets may stop at any time.
    pub until: Timestamp,
}

/// Requests of one service that this instance has sent since it learned of an order.
#[derive(Debug, Clone)]
pub struct Exposure {
    bounds: ExposureBounds,
    /// Largest number of instances seen while the order ran. The parts of the slack sum up to it at most.
    instances: usize,
    /// Place of this instance among those in contact.
    rank: u32,
    /// Requests sent to any version.
    forwarded: u64,
    /// Requests chosen for the new version. Those that are not sent in the end count too.
    exposed: u64,
    share: Option<Share>,
    is_stopped: bool,
}

impl Exposure {
    /// Creates the state at the time at which an order becomes known.
    pub fn new(bounds: ExposureBounds, instances: usize) -> Self {
        Self {
            bounds,
            instances: instances.max(1),
            rank: u32::MAX,
            forwarded: 0,
            exposed: 0,
            share: None,
            is_stopped: false,
        }
    }

    /// Applies the present number of instances, and the place of this one among those in contact.
    pub fn set_instances(&mut self, instances: usize, rank: u32) {
        self.instances = self.instances.max(instances);
        self.rank = rank;
    }

    /// Returns this instance's part of the slack. In a fleet with more instances than slack, the first ones
    /// have one request each.
    fn slack_part(&self) -> f64 {
        let part = (self.bounds.slack / self.instances as f64).floor();
        match part < 1.0 && f64::from(self.rank) + 1.0 <= self.bounds.slack {
            true => 1.0,
            false => part,
        }
    }

    /// Requests chosen for the new version.
    pub fn exposed(&self) -> u64 {
        self.exposed
    }

    /// Requests sent to any version.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Records a request that is sent to any version.
    pub fn on_forwarded(&mut self) {
        self.forwarded += 1;
    }

    /// Applies a share. Shares of earlier holders, and those that ended, are ignored. The last step is never taken
    /// back by a share, as the old targets may have stopped.
    pub fn on_share(&mut self, share: Share, now: Timestamp) {
        let current = self.share.map_or(0, |share| share.epoch);
        let is_committed = self.phase(now) == Phase::Commit && share.phase != Phase::Commit;
        if share.epoch >= current && now < share.until && !is_committed {
            self.share = Some(share);
        }
    }

    /// Stops sending requests to the new version, until the end of the order.
    pub fn stop(&mut self) -> bool {
        !std::mem::replace(&mut self.is_stopped, true)
    }

    /// Whether the version was stopped here.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Returns the step that is in effect. Without a valid share, it is [`Phase::Hold`].
    pub fn phase(&self, now: Timestamp) -> Phase {
        match self.share {
            _ if self.is_stopped => Phase::Hold,
            Some(share) if now < share.until || share.phase == Phase::Commit => share.phase,
            _ => Phase::Hold,
        }
    }

    /// Returns the share as it may be passed on, if it is valid.
    pub fn share(&self, now: Timestamp) -> Option<Share> {
        self.share
            .filter(|share| now < share.until && !self.is_stopped)
    }

    /// Decides whether a request goes to the new version. Before the last step, no more than the bounds allow at
    /// any time, counted from the order. `fraction` is a number in 0..1 that is evenly
    /// distributed over the requests.
    pub fn choose(&mut self, fraction: f64, now: Timestamp) -> bool {
        let allowed = self.bounds.share * self.forwarded as f64 + self.slack_part();
        // Rounded down alone, the part would be none at all in a large fleet.
        let rounding = (f64::from(self.rank) * GOLDEN_RATIO).fract();
        let probed = (PROBE_RATIO * allowed + rounding).min(allowed);
        let is_allowed = |allowed: f64| (self.exposed + 1) as f64 <= allowed;
        let is_chosen = match self.phase(now) {
            Phase::Hold => false,
            Phase::Probe => fraction < MAX_PROBE_FRACTION && is_allowed(probed),
            Phase::Ramp { permille } => {
                fraction * 1_000.0 < f64::from(permille) && is_allowed(allowed)
            }
            Phase::Commit => true,
        };
        self.exposed += u64::from(is_chosen);
        is_chosen
    }

    /// Whether a request that was chosen for the new version earlier may be sent there now.
    pub fn may_send_new(&self, now: Timestamp) -> bool {
        self.phase(now) != Phase::Hold
    }

    /// Whether a request may be sent to the old version now.
    pub fn may_send_old(&self, now: Timestamp) -> bool {
        self.phase(now) != Phase::Commit
    }
}
