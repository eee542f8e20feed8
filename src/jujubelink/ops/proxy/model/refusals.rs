//! Conversion of charge, placement and attempt errors to refusals.

use crate::ops::proxy::refusal::{Refusal, RefusalCode};
use crate::ops::services::{ChargeError, PlacementError};
use crate::ops::upstream::AttemptError;

/// Returns the refusal for a failed charge.
pub(in crate::ops::proxy) fn charge_refusal(error: ChargeError) -> Refusal {
    match error {
        ChargeError::RateLimited { retry_after } => {
            Refusal::not_run(RefusalCode::RateLimited, "the workspace has used its rate")
                .with_retry_after(retry_after)
        }
        ChargeError::Unavailable => Refusal::not_run(
            RefusalCode::RateLimited,
            "the workspace's limit cannot be checked now",
        ),
        ChargeError::TooLarge => Refusal::not_run(
            RefusalCode::RequestTooLarge,
            "the request asks for more tokens than the workspace's burst",
        ),
    }
}

/// Returns the refusal for a failed placement.
pub(super) fn placement_refusal(error: PlacementError) -> Refusal {
    match error {
        PlacementError::Overloaded { retry_after } => Refusal::not_run(
            RefusalCode::Overloaded,
            "the first token cannot be produced in time",
        )
        .with_retry_after(retry_after),
        PlacementError::NoTarget => Refusal::not_run(
            RefusalCode::NoTarget,
            "no target of the model is in service",
        ),
        PlacementError::Quarantined { retry_after } => Refusal::not_run(
            RefusalCode::Quarantined,
            "the request has crashed the targets that ran it",
        )
        .with_retry_after(retry_after),
        PlacementError::NoRetryBudget => Refusal::not_run(
            RefusalCode::Overloaded,
            "the workspace's retry budget is used up",
        ),
    }
}

/// Returns the refusal for a failed attempt.
pub(super) fn attempt_refusal(error: &AttemptError) -> Refusal {
    let code = match error {
        AttemptError::Rejected { .. } => RefusalCode::InvalidRequest,
        AttemptError::Refused { .. } | AttemptError::WeightsMismatch => RefusalCode::Overloaded,
        AttemptError::TimedOut => RefusalCode::DeadlineExceeded,
        AttemptError::ConnectFailed => RefusalCode::NoTarget,
        AttemptError::ConnectionLost
        | AttemptError::ResponseMismatch
        | AttemptError::Failed { .. } => RefusalCode::UpstreamFailed,
    };
    match error.may_have_run() {
        true => Refusal::outcome_unknown(code, error.to_string()),
        false => Refusal::not_run(code, error.to_string()),
    }
}
