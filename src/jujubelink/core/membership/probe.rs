//! Outstanding probes and relayed pings.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::ids::{Incarnation, InstanceId, Timestamp};

/// Timeout of the direct acknowledgement of a ping.
pub(super) const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a relayed acknowledgement, counted from the direct timeout.
pub(super) const INDIRECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Largest number of pings relayed at the same time. Further requests are dropped, which the
/// protocol tolerates like a lost datagram.
const MAX_RELAYS: usize = 256;

/// Probe of the current protocol period.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) sent_at: Timestamp,
    pub(super) is_indirect: bool,
}

impl Probe {
    /// Whether other members should be asked now to relay the ping.
    pub(super) fn needs_relays(&self, now: Timestamp) -> bool {
        !self.is_indirect && now >= self.sent_at + DIRECT_TIMEOUT
    }

    /// Whether the member has failed the probe.
    pub(super) fn has_failed(&self, now: Timestamp) -> bool {
        now >= self.sent_at + DIRECT_TIMEOUT + INDIRECT_TIMEOUT
    }
}

#[derive(Debug)]
struct Relay {
    requester: InstanceId,
    sequence: u64,
    expires_at: Timestamp,
}

/// Pings sent on behalf of other members.
#[derive(Debug, Default)]
pub(super) struct Relays {
    by_sequence: BTreeMap<u64, Relay>,
}

impl Relays {
    /// Records that the ping with `relay_sequence` is sent for `requester`. Returns `false` if
    /// there are too many.
    pub(super) fn add(
        &mut self,
        relay_sequence: u64,
        requester: InstanceId,
        sequence: u64,
        now: Timestamp,
    ) -> bool {
        self.by_sequence.retain(|_, relay| relay.expires_at > now);
        if self.by_sequence.len() >= MAX_RELAYS {
            return false;
        }
        let relay = Relay {
            requester,
            sequence,
            expires_at: now + INDIRECT_TIMEOUT,
        };
        self.by_sequence.insert(relay_sequence, relay);
        true
    }

    /// Removes a relayed ping that was acknowledged, and returns its requester and the requester's
    /// sequence number.
    pub(super) fn take(&mut self, relay_sequence: u64) -> Option<(InstanceId, u64)> {
        let relay = self.by_sequence.remove(&relay_sequence)?;
        Some((relay.requester, relay.sequence))
    }
}
