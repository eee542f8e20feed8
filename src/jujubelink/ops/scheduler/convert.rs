//! Conversions between the service types and those of the core scheduler.

use crate::core::scheduler::{AttemptEnd, Dispatch, NewRequest, Refusal, Retry, SuspectUpdate};
use crate::ops::services::{
    AttemptOutcome, GossipItem, ModelRequest, Placement, PlacementError, RetryAdvice,
};

impl From<&ModelRequest> for NewRequest {
    fn from(request: &ModelRequest) -> Self {
        Self {
            workspace: request.workspace.clone(),
            model: request.model.clone(),
            prompt: request.prompt.clone(),
            cost_tokens: request.cost_tokens,
            deadline: request.first_token_deadline,
            excluded: request.excluded.clone(),
            is_suspect: request.is_suspect,
            aims: request.aims,
        }
    }
}

impl From<&AttemptOutcome> for AttemptEnd {
    fn from(outcome: &AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Completed {
                incarnation,
                prompt_tokens,
                cached_tokens,
                ..
            } => Self::Completed {
                incarnation: *incarnation,
                // A response without usage data contains no information about the cache.
                cached_tokens: (*prompt_tokens > 0).then_some(*cached_tokens),
            },
            AttemptOutcome::ConnectFailed => Self::ConnectFailed,
            AttemptOutcome::Refused => Self::Refused,
            AttemptOutcome::Failed => Self::Failed,
            AttemptOutcome::Crashed => Self::Crashed,
            AttemptOutcome::Interrupted => Self::Interrupted,
            AttemptOutcome::TimedOut => Self::TimedOut,
            AttemptOutcome::Cancelled => Self::Cancelled,
        }
    }
}

impl From<&Dispatch> for Placement {
    fn from(dispatch: &Dispatch) -> Self {
        Self {
            id: dispatch.placement,
            target: dispatch.target.clone(),
            incarnation: dispatch.incarnation,
            expected_cached_blocks: dispatch.cached_blocks,
            fetch_from: dispatch.fetch_from.clone(),
        }
    }
}

impl From<Refusal> for PlacementError {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Overloaded { retry_after } => Self::Overloaded { retry_after },
            Refusal::NoTarget => Self::NoTarget,
            Refusal::Quarantined { retry_after } => Self::Quarantined { retry_after },
        }
    }
}

impl From<Retry> for RetryAdvice {
    fn from(retry: Retry) -> Self {
        match retry {
            Retry::No => Self::No,
            Retry::After { delay, is_suspect } => Self::After { delay, is_suspect },
            Retry::Quarantined { retry_after } => Self::Quarantined { retry_after },
        }
    }
}

impl From<SuspectUpdate> for GossipItem {
    fn from(update: SuspectUpdate) -> Self {
        Self::Quarantine {
            fingerprint: update.fingerprint,
            crashes: update.crashes,
            remaining: update.remaining,
        }
    }
}

/// Returns the name of a refusal in metrics.
pub(super) fn refusal_name(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Overloaded { .. } => "overloaded",
        Refusal::NoTarget => "no_target",
        Refusal::Quarantined { .. } => "quarantined",
    }
}
