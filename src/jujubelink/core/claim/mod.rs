//! At-most-once claims of non-idempotent requests.
//!
//! A claim is a platform object that is created if absent. Its creator may run the request once, and
//! only for a limited time after it sent the create request: a paused instance must not run a claim
//! that has been given up or deleted since.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::ids::{Incarnation, InstanceId, Timestamp};
use crate::core::lease::Safeguards;
use crate::util::hash::sha256_hex;

/// Time from the create request within which a claimed request may be sent.
pub const MAX_SEND_DELAY: Duration = Duration::from_secs(60);

/// Age above which claims are deleted.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Largest body of an answer that is kept with a claim. A repeat of a request with a larger answer
/// is told that its outcome is unknown.
pub const MAX_STORED_BODY_BYTES: usize = 256 * 1024;

/// Largest size of the headers that are kept with a claim.
pub const MAX_STORED_HEADER_BYTES: usize = 64 * 1024;

/// Prefix of the platform objects of claims.
pub const CLAIM_PREFIX: &str = "claims/";

/// Platform object of the claim of a request. The parts are joined with their lengths, so that
/// different requests never have the same text.
pub fn claim_key(workspace: &str, route: &str, idempotency_key: &str) -> String {
    let text = format!(
        "{}:{workspace}{}:{route}{}:{idempotency_key}",
        workspace.len(),
        route.len(),
        idempotency_key.len()
    );
    format!("{CLAIM_PREFIX}{}", sha256_hex(text.as_bytes()))
}

/// An answer kept with a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResponseRecord {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body in hexadecimal.
    pub body_hex: String,
}

/// How far a claimed request has come.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The creator runs the request or has died.
    Running,
    /// The request has run.
    Answered(ResponseRecord),
    /// The request was sent and its answer is not known or too large to keep.
    Unknown,
}

/// Value of a claim object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Nonce of the creator.
    pub nonce: String,
    /// Instance that created the claim.
    pub instance: InstanceId,
    /// Run of that instance.
    pub incarnation: Incarnation,
    /// Fingerprint of the body in hexadecimal.
    pub body_fingerprint: String,
    /// Creation by the creator's wall clock, for the deletion of old claims only.
    pub created_unix_ms: u64,
    /// Progress.
    pub state: ClaimState,
}

impl ClaimRecord {
    /// Whether the claim is old enough to be deleted.
    pub fn is_expired(&self, now_unix_ms: u64) -> bool {
        let age_ms = now_unix_ms.saturating_sub(self.created_unix_ms);
        age_ms > CLAIM_RETENTION.as_millis() as u64
    }
}

/// What a reading of the claim object means for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// This attempt holds the claim and may run the request.
    Run,
    /// The claim is absent; the create request may be sent again with the same nonce.
    Create,
    /// The request has run.
    Replay(ResponseRecord),
    /// Another attempt runs the request; read again later.
    Wait,
    /// The outcome cannot be known.
    OutcomeUnknown,
    /// The idempotency key was used with another body.
    Conflict,
    /// The time in which the request may be sent has passed.
    TooLate,
}

/// An attempt to claim a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimAttempt {
    nonce: String,
    body_fingerprint: String,
    send_deadline: Timestamp,
    safeguards: Safeguards,
}

impl ClaimAttempt {
    /// An attempt whose first create request is sent at `now`.
    pub fn new(
        nonce: String,
        body_fingerprint: u64,
        max_send_delay: Duration,
        safeguards: Safeguards,
        now: Timestamp,
    ) -> Self {
        Self {
            nonce,
            body_fingerprint: format!("{body_fingerprint:016x}"),
            send_deadline: now + max_send_delay,
            safeguards,
        }
    }

    /// Nonce of the attempt.
    pub fn nonce(&self) -> &str {
        &self.nonce
    }

    /// Time after which the request must not be sent.
    pub fn send_deadline(&self) -> Timestamp {
        self.send_deadline
    }

    /// Whether the request may be sent now. Checked immediately before the send.
    pub fn may_send(&self, now: Timestamp) -> bool {
        !self.safeguards.limits_claim_age || now < self.send_deadline
    }

    /// The value to create.
    pub fn record(
        &self,
        instance: InstanceId,
        incarnation: Incarnation,
        created_unix_ms: u64,
    ) -> ClaimRecord {
        ClaimRecord {
            nonce: self.nonce.clone(),
            instance,
            incarnation,
            body_fingerprint: self.body_fingerprint.clone(),
            created_unix_ms,
            state: ClaimState::Running,
        }
    }

    /// Decides by the claim object as read, after a conflict or a lost answer.
    pub fn on_read(&self, found: Option<&ClaimRecord>, now: Timestamp) -> ClaimStep {
        let Some(record) = found else {
            return match self.may_send(now) {
                true => ClaimStep::Create,
                false => ClaimStep::TooLate,
            };
        };
        let is_own = record.nonce == self.nonce || !self.safeguards.checks_claim_nonce;
        if is_own && record.state == ClaimState::Running {
            return match self.may_send(now) {
                true => ClaimStep::Run,
                false => ClaimStep::TooLate,
            };
        }
        if record.body_fingerprint != self.body_fingerprint {
            return ClaimStep::Conflict;
        }
        match &record.state {
            ClaimState::Running => ClaimStep::Wait,
            ClaimState::Answered(answer) => ClaimStep::Replay(answer.clone()),
            ClaimState::Unknown => ClaimStep::OutcomeUnknown,
        }
    }
}
