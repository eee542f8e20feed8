//! Classification of a target's response.

use std::time::Duration;

use derive_more::Display;

use crate::core::fleet::RequestKind;
use crate::core::pace::ReportedPace;

/// Status and headers of a target's response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Identifier of the request attempt that the target responded to.
    pub request_id: Option<String>,
    /// Whether the target signed the response.
    pub is_signed: bool,
    /// Whether the target states that it has not run the request.
    pub is_not_run: bool,
    /// Time for which the target asks for no further requests.
    pub retry_after: Option<Duration>,
    /// Whether the target states that it is shutting down.
    pub is_leaving: bool,
    /// Name of the target that responded, if stated.
    pub target: Option<String>,
    /// Number of running requests, queued requests and slots.
    pub load: Option<(u32, u32, u32)>,
    /// How long work takes at the target.
    pub pace: ReportedPace,
    /// Weights version that produced the response.
    pub weights: Option<u64>,
}

/// Meaning of a response for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// Deliver the response to the client.
    Deliver,
    /// The target has not run the request: it is full, or the request's deadline passed in its
    /// queue.
    Refused,
    /// The request was not run because another target has the address, or the target has other
    /// weights.
    Misdirected {
        /// Whether the expected target itself responded, so that its weights are the reason.
        is_expected_target: bool,
    },
    /// The target failed and may have run the request.
    FailedRun,
    /// The response belongs to another request or does not come from the target. It is unknown
    /// whether the request was run.
    Foreign,
}

/// Status codes by which a response states that the request has not been run.
const MISDIRECTED: u16 = 421;
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Classifies the response to the request `id` sent to `target`.
///
/// On a connection that served another request before, a response without an identifier may be a
/// repetition of that request's response.
pub fn classify_response(
    head: &ResponseHead,
    id: &str,
    target: &str,
    is_new_connection: bool,
) -> ResponseVerdict {
    let is_answer_to_request = match &head.request_id {
        Some(echoed) => echoed == id,
        None => is_new_connection,
    };
    // The client of the target skips interim responses, except for a change of protocols that nobody asked for.
    if !is_answer_to_request || head.status < 200 {
        return ResponseVerdict::Foreign;
    }
    if head.status == MISDIRECTED {
        return ResponseVerdict::Misdirected {
            is_expected_target: head.target.as_deref() == Some(target),
        };
    }
    if head.is_not_run {
        return ResponseVerdict::Refused;
    }
    if NOT_RUN_STATUSES.contains(&head.status) {
        // The status states that the request was not run, but the target does not confirm it. The
        // client must not see such a status.
        return ResponseVerdict::FailedRun;
    }
    let is_success = (200..300).contains(&head.status);
    match (is_success, head.is_signed && head.request_id.is_some()) {
        (true, false) => ResponseVerdict::Foreign,
        (false, _) if head.status >= 500 => ResponseVerdict::FailedRun,
        _ => ResponseVerdict::Deliver,
    }
}

/// How sending a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The request can't have reached the target.
    NotSent,
    /// The target stated that it has not run the request.
    NotRun,
    /// The request may have been run.
    MayHaveRun,
}

/// Why a request is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NoResend {
    /// It must run at most once, and may have run.
    #[display("the request must run at most once")]
    NotRepeatable,
    /// As many targets as its route allows may have run it.
    #[display("all attempts are used")]
    AttemptsUsed,
    /// It has been sent too often, even if no target ran it.
    #[display("the request was sent too often")]
    SendsUsed,
    /// No target could respond before the deadline.
    #[display("the deadline is too near")]
    DeadlineNear,
    /// The resend budget of its service is used up.
    #[display("the resend budget is used up")]
    BudgetUsed,
}

/// Checks whether a request may be sent to another target after a failure. `sends` counts the sends so
/// far, without the first failed connection to each target, and `attempts` the targets that may have run
/// the request, of which `max_attempts` are allowed.
///
/// A request that must run at most once is sent again only if it can't have been run. A send that no
/// target ran does not count as an attempt, but the number of sends is limited as well.
pub fn check_resend(
    kind: RequestKind,
    failure: Failure,
    attempts: u32,
    sends: u32,
    max_attempts: u32,
) -> Result<(), NoResend> {
    if failure == Failure::MayHaveRun && !kind.is_repeatable() {
        return Err(NoResend::NotRepeatable);
    }
    if attempts >= max_attempts {
        return Err(NoResend::AttemptsUsed);
    }
    if sends >= MAX_SENDS {
        return Err(NoResend::SendsUsed);
    }
    Ok(())
}

/// Maximum number of sends of one request, including those that no target ran, but without the first failed
/// connection to each target.
pub const MAX_SENDS: u32 = 4;
