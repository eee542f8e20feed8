//! Events and effects of the scheduler.

use std::rc::Rc;
use std::time::Duration;

use crate::core::ids::{
    Fingerprint, Incarnation, ModelId, TargetId, Timestamp, Tokens, WorkspaceId,
};
use crate::core::prefix::PromptFingerprints;
use crate::core::queue::JobId;

/// A model request that needs a target.
#[derive(Debug, Clone)]
pub struct NewRequest {
    /// Workspace that waits.
    pub workspace: WorkspaceId,
    /// Model.
    pub model: ModelId,
    /// Fingerprints of the prompt.
    pub prompt: Rc<PromptFingerprints>,
    /// Estimated tokens.
    pub cost_tokens: Tokens,
    /// Time by which the request has to be sent.
    pub deadline: Timestamp,
    /// Targets that the request has failed at.
    pub excluded: Vec<TargetId>,
    /// Whether the request was running at a target that crashed.
    pub is_suspect: bool,
}

impl NewRequest {
    /// Whether the request was tried before.
    pub fn is_retry(&self) -> bool {
        self.is_suspect || !self.excluded.is_empty()
    }
}

/// A request goes to a target.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// Waiting request.
    pub job: JobId,
    /// Identifier of the attempt in later events.
    pub placement: u64,
    /// Target.
    pub target: TargetId,
    /// Incarnation of the engine that the choice relies on; 0 if unknown.
    pub incarnation: Incarnation,
    /// Leading blocks believed cached.
    pub cached_blocks: u32,
    /// Leading blocks to fetch from the KV cache store before the request; 0 if none.
    pub import_blocks: u32,
    /// Engine that has more of the prompt cached and from which the target should fetch it.
    pub fetch_from: Option<TargetId>,
    /// Expected time from now to the first token.
    pub expected_first_token: Duration,
}

/// Reason why a request gets no target. Nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The first token cannot be produced in time.
    Overloaded {
        /// Time after which there may be room.
        retry_after: Duration,
    },
    /// No target of the model is in service.
    NoTarget,
    /// The content has crashed targets.
    Quarantined {
        /// Remaining time.
        retry_after: Duration,
    },
}

/// A change of a suspect, for other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// Hash of workspace, model and whole prompt.
    pub fingerprint: Fingerprint,
    /// Crashes so far; 0 clears a suspect.
    pub crashes: u32,
    /// Time for which the entry is kept.
    pub remaining: Duration,
}

/// What the scheduler wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// A waiting request goes to a target.
    Dispatch(Dispatch),
    /// A waiting request is refused.
    Refuse {
        /// Waiting request.
        job: JobId,
        /// Reason.
        reason: Refusal,
    },
    /// Other instances are told about a suspect.
    Publish(SuspectUpdate),
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer arrived.
    Completed {
        /// Run of the engine; 0 if unknown.
        incarnation: Incarnation,
        /// Prompt tokens found in the cache, if the engine told.
        cached_tokens: Option<Tokens>,
    },
    /// No connection was made.
    ConnectFailed,
    /// The target refused before it ran the request.
    Refused,
    /// The target answered with an error.
    Failed,
    /// The connection broke or the engine restarted while the request ran.
    Crashed,
    /// The target went silent.
    TimedOut,
    /// The request was cancelled.
    Cancelled,
}

impl AttemptEnd {
    /// Whether the end speaks against the target.
    pub fn is_failure(&self) -> bool {
        matches!(
            self,
            Self::ConnectFailed | Self::Failed | Self::Crashed | Self::TimedOut
        )
    }

    /// Whether a retry elsewhere makes sense.
    pub fn is_retriable(&self) -> bool {
        self.is_failure() || matches!(self, Self::Refused)
    }
}

/// Whether a failed attempt may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// No retry is needed or allowed.
    No,
    /// Retry after the delay.
    After {
        /// Jittered backoff.
        delay: Duration,
        /// Whether the request is now a suspect.
        is_suspect: bool,
    },
    /// The content has crashed too many targets.
    Quarantined {
        /// Remaining time.
        retry_after: Duration,
    },
}
