//! Decision whether the end of a connection is the end of the response.
//!
//! A body with a length or in chunks states its end. Any other body ends with its connection, which the end of
//! the target's process closes in the same way, so that such an end needs a proof. The only one is a response of
//! the target to a probe that was sent after the end.

use std::time::Duration;

use derive_more::Display;

/// What a probe that was sent after the end showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeFinding {
    /// The target responded, so it has closed the connection itself.
    Alive,
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
    /// Time from the news that the target leaves to the end of the response; `None` without such news, or if
    /// the response may have ended before. It explains the end of a target and proves nothing about its
    /// responses, as a target may be taken away at any time after its notice.
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
    /// The probe failed.
    #[display("no_proof")]
    NoProof,
}

impl EndReason {
    /// Whether the response is complete.
    pub fn is_complete(self) -> bool {
        matches!(self, Self::Delimited | Self::TargetAlive)
    }
}

/// Decides whether a response is complete. Returns `None` if that depends on a probe that was not sent yet.
pub fn judge_end(end: &ResponseEnd) -> Option<EndReason> {
    if end.is_delimited {
        return Some(EndReason::Delimited);
    }
    Some(match end.probe? {
        ProbeFinding::Alive => EndReason::TargetAlive,
        ProbeFinding::Unknown => EndReason::NoProof,
        ProbeFinding::Gone => match end.departed_for {
            Some(time) if time < end.drain_time => EndReason::GoneWhileDraining,
            Some(_) => EndReason::GoneAfterDraining,
            None if end.is_store_fresh => EndReason::TargetGone,
            None => EndReason::GoneUnannounced,
        },
    })
}
