//! Attempts under way.

use std::collections::HashMap;
use std::rc::Rc;

use crate::core::ids::{Incarnation, ModelId, Timestamp, WorkspaceId};
use crate::core::prefix::PromptFingerprints;
use crate::core::routing::{Choice, EstimateAges, TargetIndex};

/// Attempts under way at once; at the bound new requests are refused.
pub const MAX_RUNNING_ATTEMPTS: usize = 16_384;

/// A model request at a target.
#[derive(Debug, Clone)]
pub(super) struct ModelAttempt {
    pub(super) workspace: WorkspaceId,
    pub(super) model: ModelId,
    pub(super) prompt: Rc<PromptFingerprints>,
    pub(super) choice: Choice,
    /// Prefill work of this instance that was ahead of the request, in seconds.
    pub(super) local_prefill_ahead_s: f64,
    pub(super) estimate_ages: EstimateAges,
    pub(super) is_suspect: bool,
    /// Number of earlier attempts.
    pub(super) earlier_attempts: u32,
    /// Latest time of a retry while there was no first token.
    pub(super) retry_deadline: Timestamp,
    pub(super) first_token_at: Option<Timestamp>,
}

/// An attempt at a target.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) target: TargetIndex,
    /// The target's generation and incarnation when the request was sent.
    pub(super) generation: u32,
    pub(super) incarnation: Incarnation,
    pub(super) sent_at: Timestamp,
    /// `None` for a plain request.
    pub(super) model: Option<ModelAttempt>,
}

/// Attempts by placement id.
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
