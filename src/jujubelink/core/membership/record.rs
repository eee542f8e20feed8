//! Records and messages that instances exchange.

use std::sync::Arc;

use crate::core::ids::{ConfigVersion, Incarnation, InstanceId, TargetId};
use crate::util::hash::{combine, stable_hash};

/// Seed of the hash of a run.
const RUN_SEED: u64 = 0x6d65_6d62;

/// Health of a member, from best to worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// The member responds to probes.
    Alive,
    /// The member did not respond to a probe, and may still refute the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time, or has left.
    Dead,
}

/// State of one instance, as claimed by itself or by another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Peer address.
    pub instance: InstanceId,
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// Increased only by the instance itself, to outrank records of others about it, including
    /// those about an earlier run at its address.
    pub refutation: u32,
    /// Health.
    pub health: Health,
    /// Whether the run has started its planned stop. A run never reverts this.
    pub is_leaving: bool,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Region.
    pub region: Arc<str>,
}

impl MemberRecord {
    /// Returns the key that orders records about one instance; the larger one wins. The incarnation
    /// only breaks ties, so that all instances converge on the same record until the member refutes
    /// it.
    pub fn rank(&self) -> (u32, Health, Incarnation) {
        (self.refutation, self.health, self.incarnation)
    }

    /// Returns the hash of the instance and its incarnation.
    pub(super) fn run_hash(&self) -> u64 {
        combine(
            stable_hash(RUN_SEED, self.instance.as_bytes()),
            self.incarnation,
        )
    }
}

/// State of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Target.
    pub target: TargetId,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// The record with the larger revision wins. If they are equal, the one that is leaving wins.
    pub revision: u64,
}

/// State of an instance's configuration, carried by each message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigSummary {
    /// Version of the active configuration; 0 if there is none.
    pub config_version: ConfigVersion,
    /// Hash of the key revocations that the configuration does not contain yet.
    pub revocations_hash: u64,
}

/// Kind of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests an acknowledgement.
    Ping {
        /// Random number that the acknowledgement repeats.
        sequence: u64,
    },
    /// Requests that the receiver pings `instance` and relays the acknowledgement.
    PingRequest {
        /// Random number that the relayed acknowledgement repeats.
        sequence: u64,
        /// Instance to ping.
        instance: InstanceId,
    },
    /// Acknowledges a ping.
    Ack {
        /// Sequence number of the ping.
        sequence: u64,
        /// Instance that was pinged; the sender itself unless the acknowledgement is relayed.
        instance: InstanceId,
    },
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Kind.
    pub kind: MessageKind,
    /// Record of the sender.
    pub sender: MemberRecord,
    /// State of the sender's configuration.
    pub summary: ConfigSummary,
    /// Hash of the live member runs at the sender, including itself.
    pub members_hash: u64,
    /// Records of members.
    pub members: Vec<MemberRecord>,
    /// Records of targets.
    pub targets: Vec<TargetRecord>,
}
