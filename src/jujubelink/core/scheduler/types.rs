//! Input events and effects of the scheduler.

use std::rc::Rc;
use std::time::Duration;

use crate::core::ids::{
    Fingerprint, Incarnation, ModelId, TargetId, Timestamp, Tokens, WorkspaceId,
};
use crate::core::overload::Aims;
use crate::core::prefix::PromptFingerprints;
use crate::core::queue::JobId;
use crate::core::routing::MissingBlocks;

/// A model request that needs a target.
#[derive(Debug, Clone)]
pub struct NewRequest {
    /// Workspace of the client.
    pub workspace: WorkspaceId,
    /// Model.
    pub model: ModelId,
    /// Fingerprints of the prompt.
    pub prompt: Rc<PromptFingerprints>,
    /// Estimated number of tokens.
    pub cost_tokens: Tokens,
    /// Deadline for sending the request to a target.
    pub deadline: Timestamp,
    /// Targets at which earlier attempts failed.
    pub excluded: Vec<TargetId>,
    /// Whether the request was running at a target that crashed.
    pub is_suspect: bool,
    /// Aims by which the request is ordered and placed. Without them it is ordered by arrival, and waits
    /// for a target that counts as free.
    pub aims: Option<Aims>,
}

impl NewRequest {
    /// Whether there were earlier attempts.
    pub fn is_retry(&self) -> bool {
        self.is_suspect || !self.excluded.is_empty()
    }
}

/// A request that is to be sent to a target.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// Queued request.
    pub job: JobId,
    /// Identifier of the attempt in subsequent events.
    pub placement: u64,
    /// Target.
    pub target: TargetId,
    /// Incarnation of the engine for which the target was selected; 0 if unknown.
    pub incarnation: Incarnation,
    /// Number of leading blocks that are estimated to be cached.
    pub cached_blocks: u32,
    /// Number of leading blocks to import from the KV cache store before the request; 0 for no
    /// import.
    pub import_blocks: u32,
    /// Engine with a longer cached prefix from which the target should fetch blocks.
    pub fetch_from: Option<TargetId>,
    /// Expected time from now to the first token.
    pub expected_first_token: Duration,
    /// Shared blocks that the target is not estimated to have cached; `None` if it has them all.
    pub missing: Option<MissingBlocks>,
    /// Number of blocks of the prompt's shared parts.
    pub shared_blocks: u32,
    /// Estimates of a choice by the paces of targets; `None` if the model uses none.
    pub paced_estimate: Option<PacedEstimate>,
}

/// Estimates that decided a choice by the paces of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacedEstimate {
    /// Time that work takes at the target, in percent of the usual time.
    pub pace_percent: u32,
    /// Limit of concurrent requests at the target.
    pub limit: u32,
    /// Expected time until the prefill starts.
    pub wait: Duration,
    /// Expected time of the prefill.
    pub prefill: Duration,
}

/// Reason for which a request is refused without being sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The first token can't be produced in time.
    Overloaded {
        /// Time after which there may be capacity.
        retry_after: Duration,
    },
    /// No target of the model is in service.
    NoTarget,
    /// Requests with this content have crashed targets.
    Quarantined {
        /// Remaining time of the quarantine.
        retry_after: Duration,
    },
}

/// A change of a suspect that is sent to other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// Hash of workspace, model and whole prompt.
    pub fingerprint: Fingerprint,
    /// Number of crashes so far; 0 clears a suspect.
    pub crashes: u32,
    /// Remaining lifetime of the entry.
    pub remaining: Duration,
}

/// An action that the caller has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a queued request to a target.
    Dispatch(Dispatch),
    /// Refuse a queued request.
    Refuse {
        /// Queued request.
        job: JobId,
        /// Reason.
        reason: Refusal,
    },
    /// Send a change of a suspect to other instances.
    Publish(SuspectUpdate),
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole response was received.
    Completed {
        /// Incarnation of the engine; 0 if unknown.
        incarnation: Incarnation,
        /// Number of prompt tokens found in the cache, if reported.
        cached_tokens: Option<Tokens>,
    },
    /// The connection could not be established.
    ConnectFailed,
    /// The target refused the request without running it.
    Refused,
    /// The target responded with an error.
    Failed,
    /// The connection failed or the engine restarted while the request was running.
    Crashed,
    /// The connection failed while the request was running. It is not known whether the target crashed.
    Interrupted,
    /// The target stopped responding.
    TimedOut,
    /// The request was cancelled.
    Cancelled,
}

impl AttemptEnd {
    /// Whether the outcome counts as a failure of the target.
    pub fn is_failure(&self) -> bool {
        matches!(
            self,
            Self::ConnectFailed | Self::Failed | Self::Crashed | Self::Interrupted | Self::TimedOut
        )
    }

    /// Whether a retry at another target can succeed.
    pub fn is_retriable(&self) -> bool {
        self.is_failure() || matches!(self, Self::Refused)
    }
}

/// Decision whether to retry after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Don't retry.
    No,
    /// Retry after a delay.
    After {
        /// Exponential backoff with jitter.
        delay: Duration,
        /// Whether the request has become a suspect.
        is_suspect: bool,
    },
    /// Requests with this content have crashed too many targets.
    Quarantined {
        /// Remaining time of the quarantine.
        retry_after: Duration,
    },
}
