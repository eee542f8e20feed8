//! Decisions about one relayed request: what its head says, what a target's answer means, and whether
//! it may be sent again.
//!
//! The load it answers: targets that fail, refuse, fall silent, answer for other requests or restart
//! under the same name, while some requests may run once only.

mod answer;
mod head;

pub use answer::{AnswerHead, AnswerVerdict, Failure, judge_answer, may_send_again};
pub use head::{BLOCK_TOKENS, PromptHead, RelayHead, SendHead, TargetUse};
