//! How many requests this instance may send to a new version.

use std::time::Duration;

use super::Phase;
use crate::core::ids::{Epoch, Timestamp};

/// Part of the exposed share that is used before the version has passed its test. The rest is left for the
/// time between a fault that starts later and its detection.
const PROBE_RATIO: f64 = 0.4;

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

    /// Applies a share. Shares of earlier holders, and those that ended, are ignored.
    pub fn on_share(&mut self, share: Share, now: Timestamp) {
        let current = self.share.map_or(0, |share| share.epoch);
        if share.epoch >= current && now < share.until {
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

    /// Decides whether a request goes to the new version. `fraction` is a number in 0..1 that is evenly
    /// distributed over the requests.
    pub fn choose(&mut self, fraction: f64, now: Timestamp) -> bool {
        let is_chosen = match self.phase(now) {
            Phase::Hold => false,
            Phase::Probe => {
                let allowed =
                    self.bounds.share * PROBE_RATIO * self.forwarded as f64 + self.slack_part();
                fraction < MAX_PROBE_FRACTION && (self.exposed + 1) as f64 <= allowed
            }
            Phase::Ramp { permille } => fraction * 1_000.0 < f64::from(permille),
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

    /// Remaining time of the share, for the log.
    pub fn remaining(&self, now: Timestamp) -> Option<Duration> {
        self.share.map(|share| share.until.saturating_sub(now))
    }
}
