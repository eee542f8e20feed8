//! What instances tell each other.

use std::sync::Arc;

use crate::core::ids::{ConfigVersion, Incarnation, InstanceId, TargetId};
use crate::util::hash::{combine, stable_hash};

/// Seed of the hash of a run.
const RUN_SEED: u64 = 0x6d65_6d62;

/// Whether a member answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Answers.
    Alive,
    /// Has not answered lately; it may still refute.
    Suspect,
    /// Has not refuted a suspicion in time, or has left.
    Dead,
}

/// A statement about one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Peer address.
    pub instance: InstanceId,
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// Raised by the instance itself to overrule what others say about it, also about an earlier
    /// run at its address.
    pub refutation: u32,
    /// Whether it answers.
    pub health: Health,
    /// Whether the run has begun its planned stop. A run never takes this back.
    pub is_leaving: bool,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Region.
    pub region: Arc<str>,
}

impl MemberRecord {
    /// Order of statements about one instance; the larger one wins. The incarnation only breaks
    /// ties, so that all instances settle on the same record until the member refutes.
    pub fn rank(&self) -> (u32, Health, Incarnation) {
        (self.refutation, self.health, self.incarnation)
    }

    /// Hash of the run that the statement is about.
    pub(super) fn run_hash(&self) -> u64 {
        combine(
            stable_hash(RUN_SEED, self.instance.as_bytes()),
            self.incarnation,
        )
    }
}

/// A statement about a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Target.
    pub target: TargetId,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// The larger revision wins; at equal ones "leaving" wins.
    pub revision: u64,
}

/// State of the sender's configuration, carried by each message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigSummary {
    /// Version of the configuration in force; 0 if none.
    pub config_version: ConfigVersion,
    /// Hash of the revocations that the configuration does not contain.
    pub revocations_hash: u64,
}

/// Kind of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageKind {
    /// Asks for an acknowledgement.
    Ping {
        /// Random number that the acknowledgement repeats.
        sequence: u64,
    },
    /// Asks the receiver to ping `instance` and to relay its acknowledgement.
    PingRequest {
        /// Random number that the relayed acknowledgement repeats.
        sequence: u64,
        /// Instance to ping.
        instance: InstanceId,
    },
    /// Answers a ping.
    Ack {
        /// Number of the ping.
        sequence: u64,
        /// Instance that answered; the sender itself unless the acknowledgement is relayed.
        instance: InstanceId,
    },
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Kind.
    pub kind: MessageKind,
    /// The sender about itself.
    pub sender: MemberRecord,
    /// State of the sender's configuration.
    pub summary: ConfigSummary,
    /// Hash of the runs that the sender takes for live, itself included.
    pub members_hash: u64,
    /// Statements about members.
    pub members: Vec<MemberRecord>,
    /// Statements about targets.
    pub targets: Vec<TargetRecord>,
}
