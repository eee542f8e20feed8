//! Decisions about one relayed request: what its head says, what a target's answer means, and whether
//! it may be sent again.
//!
//! The load it answers: targets that fail, refuse, fall silent, answer for other requests or restart
//! under the same name, while some requests may run once only.

mod head;
mod response;

pub use head::{AttemptHead, BLOCK_TOKENS, EngineParams, PromptHead, RelayHead};
pub use response::{Failure, ResponseHead, ResponseVerdict, classify_response, may_send_again};
