//! Decision whether the end of a connection is the end of the response.
//!
//! A body with a length or in chunks states its end. Any other body ends with its connection, which the end of
//! the target's process closes in the same way, so that such an end needs a proof. The only one is a response of
//! the target to a probe that was sent after the end.

use std::time::Duration;

use derive_more::Display;

/// Shortest time that a target takes to end and start again.
pub const RESTART_TIME: Duration = Duration::from_millis(500);

/// What a probe that was sent after the end showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeFinding {
    /// The incarnation that sent the response has responded to the probe.
    Alive,
    /// A target responded that does not state its incarnation. It may have started after the end.
    Responded,
    /// Nothing accepts connections there, or another incarnation or target responded.
    Gone,
    /// There was no response in time, or the connection failed in another way.
    Unknown,
}

/// What is known about the end of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseEnd {
    /// Whether the body has a length or consists of chunks, and ended as it states.
    pub is_delimited: bool,
    /// What the probe of the target showed; `None` before it.
    pub probe: Option<ProbeFinding>,
    /// Longest time that the response may have ended before the finding of the probe. A client that reads slowly
    /// keeps the end from being read.
    pub probed_after: Duration,
    /// Whether a later incarnation of the target is registered.
    pub is_replaced: bool,
    /// Whether an incarnation that responded to the probe would be registered by now.
    pub is_registration_known: bool,
    /// Time from the news that the target leaves to the end of the response; `None` without such news, or if
    /// the response may have ended before. It explains the end of a target and proves nothing about its
    /// responses: a target may be taken away at any time after its notice.
    pub departed_for: Option<Duration>,
    /// Time for which a leaving target serves after its notice.
    pub drain_time: Duration,
    /// Whether the store answers, so that a departure would be known.
    pub is_store_fresh: bool,
}

/// Why an end counts as complete or as incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EndReason {
    /// The body states its end.
    #[display("delimited")]
    Delimited,
    /// The target lived after the end.
    #[display("target_alive")]
    TargetAlive,
    /// The target is gone before the end of its drain time.
    #[display("gone_while_draining")]
    GoneWhileDraining,
    /// The target is gone after its drain time.
    #[display("gone_after_draining")]
    GoneAfterDraining,
    /// The target is gone, and no departure is known.
    #[display("target_gone")]
    TargetGone,
    /// The target is gone, and the store does not answer, so that a departure would not be known.
    #[display("gone_unannounced")]
    GoneUnannounced,
    /// The probe failed, or its response may be of a later incarnation.
    #[display("no_proof")]
    NoProof,
}

impl EndReason {
    /// Whether the response is complete.
    pub fn is_complete(self) -> bool {
        matches!(self, Self::Delimited | Self::TargetAlive)
    }
}

/// What has to be found out before an end can be judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingEvidence {
    /// The finding of a probe that is sent after the end.
    Probe,
    /// Whether the target that responded to the probe is registered as a later incarnation.
    Registration,
}

/// Decides whether a response is complete, or returns what is missing for that.
pub fn judge_end(end: &ResponseEnd) -> Result<EndReason, MissingEvidence> {
    if end.is_delimited {
        return Ok(EndReason::Delimited);
    }
    let gone = match end.departed_for {
        Some(time) if time < end.drain_time => EndReason::GoneWhileDraining,
        Some(_) => EndReason::GoneAfterDraining,
        None if end.is_store_fresh => EndReason::TargetGone,
        None => EndReason::GoneUnannounced,
    };
    if end.is_replaced {
        return Ok(gone);
    }
    Ok(match end.probe.ok_or(MissingEvidence::Probe)? {
        ProbeFinding::Alive => EndReason::TargetAlive,
        ProbeFinding::Responded if end.probed_after < RESTART_TIME => EndReason::TargetAlive,
        ProbeFinding::Responded if !end.is_store_fresh => EndReason::NoProof,
        ProbeFinding::Responded if end.is_registration_known => EndReason::TargetAlive,
        ProbeFinding::Responded => return Err(MissingEvidence::Registration),
        ProbeFinding::Unknown => EndReason::NoProof,
        ProbeFinding::Gone => gone,
    })
}
