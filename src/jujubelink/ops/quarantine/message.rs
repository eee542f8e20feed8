//! Protobuf messages on crashes and survivals, which are part of the messages between instances.

/// A request that was running at a target when the target crashed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashedRunMessage {
    /// Hash of the identifier of the client's attempt.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Fingerprints of the shared parts of its prompt.
    #[prost(fixed64, repeated, tag = "2")]
    pub parts: Vec<u64>,
    /// Fingerprint of the whole request.
    #[prost(fixed64, optional, tag = "3")]
    pub whole: Option<u64>,
    /// Time from the send to the crash, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub ran_for_ms: u64,
    /// Whether it was sent to find out whether a cause is gone.
    #[prost(bool, tag = "5")]
    pub is_trial: bool,
}

/// A crash and requests of the sender that were running.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashMessage {
    /// Hash of the target and its incarnation.
    #[prost(fixed64, tag = "1")]
    pub crash: u64,
    /// Time since the crash, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Requests that were running.
    #[prost(message, repeated, tag = "3")]
    pub runs: Vec<CrashedRunMessage>,
}

/// A fingerprint or cause, and the time since something happened to it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AgedFingerprint {
    /// The fingerprint, or the identifier of the cause.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Age in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// What an instance has observed recently.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvidenceMessage {
    /// Crashes.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<CrashMessage>,
    /// Suspected features with which requests ran to their end.
    #[prost(message, repeated, tag = "2")]
    pub survivals: Vec<AgedFingerprint>,
    /// Causes that the sender tries.
    #[prost(message, repeated, tag = "3")]
    pub trials: Vec<AgedFingerprint>,
}
