//! Claims that make non-idempotent requests run at most once.
//!
//! A claim is a platform object that is created only if it is absent. Its creator may run the
//! request once, and only for a limited time after it sent the create request, because an instance
//! that was paused must not run a request whose claim has been abandoned or deleted in the
//! meantime.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::ids::{Incarnation, InstanceId, Timestamp};
use crate::core::lease::Safeguards;
use crate::util::hash::sha256_hex;

/// Time after the create request within which a claimed request may be sent.
pub const MAX_SEND_DELAY: Duration = Duration::from_secs(60);

/// Age above which claims are deleted.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Largest response body that is stored with a claim. A repeat of a request with a larger response
/// gets an error saying that the outcome is unknown.
pub const MAX_STORED_BODY_BYTES: usize = 256 * 1024;

/// Largest total size of the response headers that are stored with a claim.
pub const MAX_STORED_HEADER_BYTES: usize = 64 * 1024;

/// Prefix of the keys of claim objects.
pub const CLAIM_PREFIX: &str = "claims/";

/// Returns the key of the claim object of a request. Each part is hashed together with its length,
/// so that different requests never hash the same text.
pub fn claim_key(workspace: &str, route: &str, idempotency_key: &str) -> String {
    let text = format!(
        "{}:{workspace}{}:{route}{}:{idempotency_key}",
        workspace.len(),
        route.len(),
        idempotency_key.len()
    );
    format!("{CLAIM_PREFIX}{}", sha256_hex(text.as_bytes()))
}

/// Response stored with a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResponseRecord {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body in hexadecimal.
    pub body_hex: String,
}

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The creator runs the request, or has failed while doing so.
    Running,
    /// The request has run, and its response is stored.
    Answered(ResponseRecord),
    /// The request was sent, and its response is unknown or too large to store.
    Unknown,
}

/// Value of a claim object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Nonce of the attempt that created the claim.
    pub nonce: String,
    /// Instance that created the claim.
    pub instance: InstanceId,
    /// Run of that instance.
    pub incarnation: Incarnation,
    /// Fingerprint of the request body in hexadecimal.
    pub body_fingerprint: String,
    /// Creation time by the creator's wall clock, used only to delete old claims.
    pub created_unix_ms: u64,
    /// State of the request.
    pub state: ClaimState,
}

impl ClaimRecord {
    /// Whether the claim is old enough to be deleted.
    pub fn is_expired(&self, now_unix_ms: u64) -> bool {
        let age_ms = now_unix_ms.saturating_sub(self.created_unix_ms);
        age_ms > CLAIM_RETENTION.as_millis() as u64
    }
}

/// Next step of an attempt, depending on the claim object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// This attempt created the claim and may run the request.
    Run,
    /// The claim is absent. The create request may be sent again with the same nonce.
    Create,
    /// The request has run; its stored response is returned.
    Replay(ResponseRecord),
    /// Another attempt runs the request. The claim has to be read again later.
    Wait,
    /// The outcome cannot be determined.
    OutcomeUnknown,
    /// The idempotency key was used with a different body.
    Conflict,
    /// The time within which the request may be sent has passed.
    TooLate,
}

/// An attempt to claim and run a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimAttempt {
    nonce: String,
    body_fingerprint: String,
    send_deadline: Timestamp,
    safeguards: Safeguards,
}

impl ClaimAttempt {
    /// Creates an attempt whose first create request is sent at `now`.
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

    /// Returns the nonce of the attempt.
    pub fn nonce(&self) -> &str {
        &self.nonce
    }

    /// Returns the time after which the request must not be sent.
    pub fn send_deadline(&self) -> Timestamp {
        self.send_deadline
    }

    /// Whether the request may be sent now. Checked immediately before the send.
    pub fn may_send(&self, now: Timestamp) -> bool {
        !self.safeguards.limits_claim_age || now < self.send_deadline
    }

    /// Returns the value of the claim object to create.
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

    /// Returns the next step for the claim object as read after a conflict or a lost response.
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
