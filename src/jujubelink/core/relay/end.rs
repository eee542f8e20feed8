//! Decision whether the end of a connection is the end of the response.
//!
//! A body with a length or in chunks states its end. Any other body ends with its connection, which a crash of
//! the target closes in the same way, so that such an end needs a proof.

use std::time::Duration;

use derive_more::Display;

/// Time after the drain time from which an ended target counts as one that left as planned. A target that is
/// taken away exactly at the end of its drain time is seen to end a few milliseconds later. One that leaves as
/// planned goes on a little longer.
pub const DRAIN_MARGIN: Duration = Duration::from_millis(40);

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
    /// the response may have ended before.
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
    /// The target has left, and its drain time had passed.
    #[display("target_left")]
    TargetLeft,
    /// The target is gone before the end of its drain time.
    #[display("gone_while_draining")]
    GoneWhileDraining,
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
        matches!(self, Self::Delimited | Self::TargetAlive | Self::TargetLeft)
    }
}

/// Decides whether a response is complete. Returns `None` if that depends on a probe that was not sent yet.
pub fn judge_end(end: &ResponseEnd) -> Option<EndReason> {
    if end.is_delimited {
        return Some(EndReason::Delimited);
    }
    let planned_end = end.drain_time + DRAIN_MARGIN;
    if end.departed_for.is_some_and(|time| time >= planned_end) {
        return Some(EndReason::TargetLeft);
    }
    Some(match end.probe? {
        ProbeFinding::Alive => EndReason::TargetAlive,
        ProbeFinding::Unknown => EndReason::NoProof,
        ProbeFinding::Gone if end.departed_for.is_some() => EndReason::GoneWhileDraining,
        ProbeFinding::Gone if end.is_store_fresh => EndReason::TargetGone,
        ProbeFinding::Gone => EndReason::GoneUnannounced,
    })
}
