//! Protobuf messages that instances send to each other.

use crate::ops::canary::RolloutsMessage;
use crate::ops::quarantine::EvidenceMessage;

/// Usage of the rate limit of one workspace.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WorkspaceUsage {
    #[prost(string, tag = "1")]
    pub(super) workspace: String,
    /// Total units charged by this incarnation of the sender.
    #[prost(uint64, tag = "2")]
    pub(super) total: u64,
}

/// The last message that the sender received from an instance.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct LastReceived {
    /// Hash of the instance name.
    #[prost(fixed64, tag = "1")]
    pub(super) name_hash: u64,
    /// `sent_at_ms` of that message.
    #[prost(uint64, tag = "2")]
    pub(super) sent_at_ms: u64,
}

/// A version of the weights of a model.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ModelWeights {
    /// Target on which the version was observed; empty for an announced version.
    #[prost(string, tag = "1")]
    pub(super) target: String,
    /// Incarnation of the target.
    #[prost(uint64, tag = "2")]
    pub(super) incarnation: u64,
    #[prost(string, tag = "3")]
    pub(super) model: String,
    #[prost(uint64, tag = "4")]
    pub(super) version: u64,
    /// Time since the version was announced; absent if unknown.
    #[prost(uint64, optional, tag = "5")]
    pub(super) named_ago_ms: Option<u64>,
}

/// An engine that is loading weights.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct LoadingEngine {
    #[prost(string, tag = "1")]
    pub(super) target: String,
    /// Incarnation of the engine.
    #[prost(uint64, tag = "2")]
    pub(super) incarnation: u64,
}

/// Content of one datagram. Earlier versions send requests that crashed targets under tag 11.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct PeerMessage {
    /// Name of the sending instance.
    #[prost(string, tag = "1")]
    pub(super) name: String,
    /// Incarnation of the sending process.
    #[prost(fixed64, tag = "2")]
    pub(super) incarnation: u64,
    /// Time on the sender's clock at which the message was created, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub(super) sent_at_ms: u64,
    /// Last message received from the peer to which this message is sent. Earlier versions send the last
    /// ones received from all peers.
    #[prost(message, repeated, tag = "4")]
    pub(super) heard: Vec<LastReceived>,
    /// Usage of rate limits by workspace.
    #[prost(message, repeated, tag = "5")]
    pub(super) uses: Vec<WorkspaceUsage>,
    /// Version of the active configuration; 0 without one.
    #[prost(uint64, tag = "6")]
    pub(super) config_version: u64,
    /// Age of the freshness proof of that version; absent without a proof.
    #[prost(uint64, optional, tag = "7")]
    pub(super) config_age_ms: Option<u64>,
    /// Announced weights.
    #[prost(message, repeated, tag = "8")]
    pub(super) named: Vec<ModelWeights>,
    /// Time since the announced weights were last read from the store; absent if never.
    #[prost(uint64, optional, tag = "9")]
    pub(super) named_age_ms: Option<u64>,
    /// Weights observed on targets recently.
    #[prost(message, repeated, tag = "10")]
    pub(super) observed: Vec<ModelWeights>,
    /// Engines that are executing a weight-loading order of the sender.
    #[prost(message, repeated, tag = "13")]
    pub(super) loading: Vec<LoadingEngine>,
    /// Time since the sender started, by which instances of earlier versions order the others.
    #[prost(uint64, tag = "14")]
    pub(super) uptime_ms: u64,
    /// Revision at which the store accepted the record of the sender. Earlier versions do not send it.
    #[prost(uint64, tag = "16")]
    pub(super) registered_revision: u64,
    /// Time since the store last answered the sender itself; absent if it never did. Answers to others
    /// are not passed on, because the delay of each message would make them look more recent.
    #[prost(uint64, optional, tag = "17")]
    pub(super) store_age_ms: Option<u64>,
    /// Recent crashes of targets, and what is known about their causes.
    #[prost(message, optional, tag = "18")]
    pub(super) evidence: Option<EvidenceMessage>,
    /// Era of the store as the sender knows it; absent if unknown.
    #[prost(uint64, optional, tag = "19")]
    pub(super) store_era: Option<u64>,
    /// Digest of the contents of the active configuration; absent if the store states no era.
    #[prost(fixed64, optional, tag = "22")]
    pub(super) config_digest: Option<u64>,
    /// Revision, in the era `store_era`, of a configuration that the sender knows to be written after the last
    /// restore of the store.
    #[prost(uint64, optional, tag = "23")]
    pub(super) adopted_revision: Option<u64>,
    /// Orders of roll-outs by version, with evidence and shares. Absent unless the deployment asks for them.
    #[prost(message, optional, tag = "20")]
    pub(super) rollouts: Option<RolloutsMessage>,
    /// Digest of the set of instances that the sender is in contact with, including itself; 0 in a
    /// short report.
    #[prost(fixed64, tag = "15")]
    pub(super) contact_digest: u64,
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "12")]
    pub(super) is_leaving: bool,
}

impl PeerMessage {
    /// Whether this is a short report, which lacks the state that grows with the fleet.
    pub(super) fn is_short_report(&self) -> bool {
        self.contact_digest == 0
    }
}
