//! Decisions about one relayed request: how to interpret the response of a target, and whether the
//! request may be sent again.
//!
//! The rules handle targets that fail, refuse requests, stop responding, respond to other requests
//! or restart under the same name, while some requests must run at most once.

mod attempts;
mod end;
mod head;
mod response;

pub use attempts::{AllowedTargets, Attempts, FIRST_ATTEMPT_TIME_RATIO, MIN_SEND_TIME};
pub use end::{EndReason, MissingEvidence, ProbeFinding, RESTART_TIME, ResponseEnd, judge_end};
pub use head::{
    AttemptHead, BLOCK_TOKENS, BlockCounting, EngineParams, PromptHead, PromptPart, RelayHead,
};
pub use response::{
    Failure, MAX_SENDS, NoResend, ResponseHead, ResponseVerdict, check_resend, classify_response,
};
