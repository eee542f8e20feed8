//! Attempts in progress.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::core::ids::{Incarnation, ModelId, Timestamp, WorkspaceId};
use crate::core::prefix::PromptFingerprints;
use crate::core::routing::{Choice, EstimateAges, TargetIndex};

/// Maximum number of attempts in progress; new requests are refused at the limit.
pub const MAX_RUNNING_ATTEMPTS: usize = 16_384;

/// State of an attempt of a model request.
#[derive(Debug, Clone)]
pub(super) struct ModelAttempt {
    pub(super) workspace: WorkspaceId,
    pub(super) model: ModelId,
    pub(super) prompt: Rc<PromptFingerprints>,
    pub(super) choice: Choice,
    /// Remaining prefill time of this instance's earlier requests at the target when the request
    /// was sent, in seconds.
    pub(super) local_prefill_ahead_s: f64,
    pub(super) estimate_ages: EstimateAges,
    pub(super) is_suspect: bool,
    /// Number of earlier attempts.
    pub(super) earlier_attempts: u32,
    /// Deadline of a retry before the first token.
    pub(super) retry_deadline: Timestamp,
    pub(super) first_token_at: Option<Timestamp>,
    /// Part of the time to the first token that neither the prefill nor a queue at the target explains.
    pub(super) silence: Duration,
}

/// One attempt of a request at a target.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) target: TargetIndex,
    /// The target's generation and incarnation when the request was sent.
    pub(super) generation: u32,
    pub(super) incarnation: Incarnation,
    pub(super) sent_at: Timestamp,
    /// All targets of the plain service; empty for a model request.
    pub(super) service: Rc<[TargetIndex]>,
    /// `None` for a request to a plain service.
    pub(super) model: Option<ModelAttempt>,
}

/// Attempts in progress by their identifier (the `placement` in events).
#[derive(Debug, Default)]
pub(super) struct RunningTable {
    attempts: HashMap<u64, Attempt>,
    last_id: u64,
}

impl RunningTable {
    pub(super) fn is_full(&self) -> bool {
        self.attempts.len() >= MAX_RUNNING_ATTEMPTS
    }

    pub(super) fn add(&mut self, attempt: Attempt) -> u64 {
        self.last_id += 1;
        self.attempts.insert(self.last_id, attempt);
        self.last_id
    }

    pub(super) fn get_mut(&mut self, placement: u64) -> Option<&mut Attempt> {
        self.attempts.get_mut(&placement)
    }

    pub(super) fn remove(&mut self, placement: u64) -> Option<Attempt> {
        self.attempts.remove(&placement)
    }

    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }
}
