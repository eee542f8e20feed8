//! Meaning of a target's answer.

use crate::core::fleet::RequestKind;

/// Head of a target's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Identifier of the attempt that the answer belongs to.
    pub request_id: Option<String>,
    /// Whether the target signed the answer.
    pub is_signed: bool,
    /// Whether the target states that it has not run the request.
    pub is_not_run: bool,
    /// Target that answered, if it says so.
    pub target: Option<String>,
    /// Running and waiting requests, and places.
    pub load: Option<(u32, u32, u32)>,
    /// Weights that made the answer.
    pub weights: Option<u64>,
}

/// What an answer means for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// The answer is delivered.
    Deliver,
    /// The target has not run the request: it is full, or its deadline passed in the queue.
    Refused,
    /// Another target has the address, or the target has other weights; not run.
    Misdirected {
        /// Whether the expected target itself answered, which has other weights then.
        is_expected_target: bool,
    },
    /// The answer is the target's own failure; the request has run.
    FailedRun,
    /// The answer belongs to another request, or is none of the target's; whether this request ran
    /// is not known.
    Foreign,
}

/// Statuses that promise that a request has not run.
const MISDIRECTED: u16 = 421;
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Judges the head of an answer to the request `id` at `target`.
pub fn classify_response(head: &ResponseHead, id: &str, target: &str) -> ResponseVerdict {
    if head
        .request_id
        .as_deref()
        .is_some_and(|echoed| echoed != id)
    {
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
        // The status promises something that the target does not state; it is not passed on.
        return ResponseVerdict::FailedRun;
    }
    let is_success = (200..300).contains(&head.status);
    match (is_success, head.is_signed && head.request_id.is_some()) {
        (true, false) => ResponseVerdict::Foreign,
        (false, _) if head.status >= 500 => ResponseVerdict::FailedRun,
        _ => ResponseVerdict::Deliver,
    }
}

/// How a send failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing can have reached the target.
    NotSent,
    /// The target stated that it has not run the request.
    NotRun,
    /// The request may have run.
    MayHaveRun,
}

/// Whether a request may be sent to another target after a failure, with `sends` made of
/// `max_attempts`.
///
/// A request that may run once is sent again only if nothing of it can have run. A send that reached
/// no target counts against no limit of targets, but ends after as many tries.
pub fn may_send_again(
    kind: RequestKind,
    failure: Failure,
    runs: u32,
    sends: u32,
    max_attempts: u32,
) -> bool {
    match failure {
        Failure::NotSent | Failure::NotRun => sends < MAX_SENDS && runs < max_attempts,
        Failure::MayHaveRun => kind.is_repeatable() && runs < max_attempts && sends < MAX_SENDS,
    }
}

/// Sends of one request, those that no target ran included.
const MAX_SENDS: u32 = 4;
