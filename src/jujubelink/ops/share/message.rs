//! The message.

/// Use of one workspace's limit.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WorkspaceUsage {
    /// Workspace.
    #[prost(string, tag = "1")]
    pub(super) workspace: String,
    /// Units charged in this run of the sender.
    #[prost(uint64, tag = "2")]
    pub(super) total: u64,
}

/// When an instance was last heard.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct LastReceived {
    /// Hash of the instance's name.
    #[prost(fixed64, tag = "1")]
    pub(super) name_hash: u64,
    /// `sent_at_ms` of its last message.
    #[prost(uint64, tag = "2")]
    pub(super) sent_at_ms: u64,
}

/// Weights of a model.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ModelWeights {
    /// Target that was seen with them; empty for the newest named ones.
    #[prost(string, tag = "1")]
    pub(super) target: String,
    /// Run of the target.
    #[prost(uint64, tag = "2")]
    pub(super) incarnation: u64,
    /// Model.
    #[prost(string, tag = "3")]
    pub(super) model: String,
    /// Version.
    #[prost(uint64, tag = "4")]
    pub(super) version: u64,
    /// Time since the version was named; absent if it is not known.
    #[prost(uint64, optional, tag = "5")]
    pub(super) named_ago_ms: Option<u64>,
}

/// An engine that loads weights.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct LoadingEngine {
    /// Engine.
    #[prost(string, tag = "1")]
    pub(super) target: String,
    /// Run of the engine.
    #[prost(uint64, tag = "2")]
    pub(super) incarnation: u64,
}

/// A request that crashed targets.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Suspect {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub(super) fingerprint: u64,
    /// Crashes so far; 0 clears the suspect.
    #[prost(uint32, tag = "2")]
    pub(super) crashes: u32,
    /// Time for which it is kept, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub(super) remaining_ms: u64,
}

/// One datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ShareMessage {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub(super) name: String,
    /// Run of the sender.
    #[prost(fixed64, tag = "2")]
    pub(super) incarnation: u64,
    /// Time of the sender's machine at which the message was made, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub(super) sent_at_ms: u64,
    /// When the sender last heard the others.
    #[prost(message, repeated, tag = "4")]
    pub(super) heard: Vec<LastReceived>,
    /// Use of limits.
    #[prost(message, repeated, tag = "5")]
    pub(super) uses: Vec<WorkspaceUsage>,
    /// Version of the configuration in force; 0 without one.
    #[prost(uint64, tag = "6")]
    pub(super) config_version: u64,
    /// Age of the proof that it is the newest; absent without one.
    #[prost(uint64, optional, tag = "7")]
    pub(super) config_age_ms: Option<u64>,
    /// Named weights.
    #[prost(message, repeated, tag = "8")]
    pub(super) named: Vec<ModelWeights>,
    /// Age of the last reading of the named weights; absent without one.
    #[prost(uint64, optional, tag = "9")]
    pub(super) named_age_ms: Option<u64>,
    /// Weights that targets were seen with lately.
    #[prost(message, repeated, tag = "10")]
    pub(super) observed: Vec<ModelWeights>,
    /// Requests that crashed targets.
    #[prost(message, repeated, tag = "11")]
    pub(super) suspects: Vec<Suspect>,
    /// Engines that carry out an order of the sender.
    #[prost(message, repeated, tag = "13")]
    pub(super) loading: Vec<LoadingEngine>,
    /// Time since the start of the sender.
    #[prost(uint64, tag = "14")]
    pub(super) uptime_ms: u64,
    /// Digest of the instances that the sender is in contact with, itself included.
    #[prost(fixed64, tag = "15")]
    pub(super) contact_digest: u64,
    /// Whether the sender stops.
    #[prost(bool, tag = "12")]
    pub(super) is_leaving: bool,
}
