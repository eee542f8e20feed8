//! Creates claims and records their outcomes.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::core::claim::{
    ClaimAttempt, ClaimRecord, ClaimState, ClaimStep, MAX_SEND_DELAY, MAX_STORED_BODY_BYTES,
    MAX_STORED_HEADER_BYTES, ResponseRecord, claim_key,
};
use crate::core::ids::{ObjectVersion, Timestamp};
use crate::core::lease::Safeguards;
use crate::ops::kernel::Context;
use crate::ops::platform::{PlatformClient, PlatformError, WriteOutcome};
use crate::ops::services::{
    ClaimDecision, ClaimResult, ClaimService, ClaimTicket, MemberService, MemberState,
    StoredResponse,
};
use crate::ops::telemetry::LogLimiter;

/// First and longest delay between reads of a claim while another attempt at the request is in
/// progress. The delay doubles after each read.
const POLL_DELAY_RANGE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// Delay before the next call after a failure of the platform.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time for which writing the outcome of a claim is retried after failures. If it is never written,
/// repeats of the request get the result that the outcome is unknown.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);

/// Manages the claims stored in the platform.
pub struct Claims {
    pub(super) context: Context,
    pub(super) failures: LogLimiter,
}

/// Implementation of [`ClaimService`].
pub(super) struct SharedClaims(pub(super) Rc<Claims>);

impl ClaimService for SharedClaims {
    fn begin(
        &self,
        workspace: &str,
        route: &str,
        idempotency_key: &str,
        body_fingerprint: u64,
        deadline: Timestamp,
    ) -> LocalBoxFuture<'static, ClaimDecision> {
        let claims = Rc::clone(&self.0);
        let key = claim_key(workspace, route, idempotency_key);
        async move {
            let decision = claims.begin(key, body_fingerprint, deadline).await;
            let name = match &decision {
                ClaimDecision::Run(_) => "claims.run",
                ClaimDecision::Replay(_) => "claims.replayed",
                ClaimDecision::OutcomeUnknown => "claims.outcome_unknown",
                ClaimDecision::Conflict => "claims.conflict",
                ClaimDecision::Unavailable => "claims.unavailable",
            };
            claims.context.metrics().count(name, 1);
            decision
        }
        .boxed_local()
    }

    fn finish(&self, ticket: ClaimTicket, result: ClaimResult) -> LocalBoxFuture<'static, ()> {
        let claims = Rc::clone(&self.0);
        async move { claims.finish(ticket, result).await }.boxed_local()
    }
}

/// A claim with the version of its object; `None` if the object is absent.
type VersionedClaim = Option<(ObjectVersion, ClaimRecord)>;

impl Claims {
    pub(super) fn new(context: &Context) -> Self {
        Self {
            context: context.clone(),
            failures: LogLimiter::default(),
        }
    }

    pub(super) fn platform(&self) -> Rc<PlatformClient> {
        self.context.service::<PlatformClient>()
    }

    pub(super) fn log_failure(&self, message: &'static str, error: &PlatformError) {
        let now = self.context.timers().now();
        if let Some(suppressed) = self.failures.admit(now) {
            slog::warn!(self.context.log(), "{}", message;
                "error" => %error, "suppressed" => suppressed);
        }
    }

    async fn begin(
        self: &Rc<Self>,
        key: String,
        body_fingerprint: u64,
        deadline: Timestamp,
    ) -> ClaimDecision {
        let nonce = format!("{:032x}", rand::random::<u128>());
        let now = self.context.timers().now();
        let safeguards = Safeguards::default();
        let attempt = ClaimAttempt::new(nonce, body_fingerprint, MAX_SEND_DELAY, safeguards, now);
        // Whether a create request without a response may have taken effect or may still do so.
        let mut is_uncertain = false;
        let decision = self
            .resolve(&key, &attempt, deadline, &mut is_uncertain)
            .await;
        if is_uncertain && !matches!(decision, ClaimDecision::Run(_)) {
            let (claims, attempt) = (Rc::clone(self), attempt.clone());
            compio::runtime::spawn(async move { claims.abandon(&key, &attempt).await }).detach();
        }
        decision
    }

    /// Repeats creating or reading the claim until there is a decision. Sets `is_uncertain` if a
    /// create request got no response.
    async fn resolve(
        &self,
        key: &str,
        attempt: &ClaimAttempt,
        deadline: Timestamp,
        is_uncertain: &mut bool,
    ) -> ClaimDecision {
        let timers = self.context.timers();
        let mut delay = POLL_DELAY_RANGE.0;
        let mut is_creating = true;
        loop {
            let step = match self
                .create_or_read(key, attempt, is_creating, is_uncertain)
                .await
            {
                Ok(step) => step,
                Err(error) => {
                    self.log_failure("cannot create a claim", &error);
                    if !*is_uncertain || timers.now() + FAILURE_RETRY_DELAY >= deadline {
                        return ClaimDecision::Unavailable;
                    }
                    is_creating = false;
                    timers.sleep(FAILURE_RETRY_DELAY).await;
                    continue;
                }
            };
            match step {
                Step::Run(version) => return ClaimDecision::Run(ticket(key, attempt, version)),
                Step::Read(ClaimStep::Create) => is_creating = true,
                Step::Read(ClaimStep::Replay(response)) => return replay(response),
                Step::Read(ClaimStep::Conflict) => return ClaimDecision::Conflict,
                Step::Read(ClaimStep::TooLate) => return ClaimDecision::Unavailable,
                Step::Read(ClaimStep::OutcomeUnknown | ClaimStep::Run) => {
                    return ClaimDecision::OutcomeUnknown;
                }
                Step::Read(ClaimStep::Wait) => {
                    if timers.now() + delay >= deadline {
                        return ClaimDecision::OutcomeUnknown;
                    }
                    is_creating = false;
                    timers.sleep(delay).await;
                    delay = (delay * 2).min(POLL_DELAY_RANGE.1);
                }
                Step::OwnerEnded => return ClaimDecision::OutcomeUnknown,
            }
        }
    }

    /// Tries to create the claim if `is_creating`. Unless this succeeds, reads the claim.
    async fn create_or_read(
        &self,
        key: &str,
        attempt: &ClaimAttempt,
        is_creating: bool,
        is_uncertain: &mut bool,
    ) -> Result<Step, PlatformError> {
        let now = || self.context.timers().now();
        if is_creating && attempt.may_send(now()) {
            let instance = self
                .context
                .settings()
                .instance
                .peer_address
                .to_string()
                .into();
            let record = attempt.record(instance, self.context.incarnation(), unix_ms());
            match self.platform().write(key, 0, &record).await {
                Ok(WriteOutcome::Done { version }) => return Ok(Step::Run(version)),
                Ok(WriteOutcome::Conflict { .. }) => {}
                Err(error) if error.has_no_effect() => return Err(error),
                Err(_) => *is_uncertain = true,
            }
        }
        let found = self.read(key).await?;
        let step = attempt.on_read(found.as_ref().map(|(_, record)| record), now());
        Ok(match (step, found) {
            (ClaimStep::Run, Some((version, _))) => Step::Run(version),
            (ClaimStep::Wait, Some((_, record))) if self.has_owner_ended(&record) => {
                Step::OwnerEnded
            }
            (step, _) => Step::Read(step),
        })
    }

    async fn read(&self, key: &str) -> Result<VersionedClaim, PlatformError> {
        let found = self.platform().read(key).await?;
        found
            .map(|object| Ok((object.version, object.parse()?)))
            .transpose()
    }

    /// Whether the process that created a claim has ended.
    fn has_owner_ended(&self, record: &ClaimRecord) -> bool {
        let local_address = self.context.settings().instance.peer_address.to_string();
        if *record.instance == *local_address {
            return record.incarnation != self.context.incarnation();
        }
        let members = self.context.service::<dyn MemberService>().members();
        let member = members
            .iter()
            .find(|member| member.instance == record.instance);
        member.is_some_and(|member| {
            member.state == MemberState::Dead || member.incarnation != record.incarnation
        })
    }

    /// Deletes the claim of an abandoned attempt in case its create request took effect after all.
    /// No request was sent for this attempt.
    async fn abandon(&self, key: &str, attempt: &ClaimAttempt) {
        let timers = self.context.timers();
        let end = timers.now() + FINISH_TIMEOUT;
        while timers.now() < end {
            if let Ok(Some((version, record))) = self.read(key).await {
                if record.nonce != attempt.nonce() {
                    return;
                }
                if matches!(
                    self.platform().delete(key, version).await,
                    Ok(WriteOutcome::Done { .. })
                ) {
                    return;
                }
            }
            timers.sleep(POLL_DELAY_RANGE.1).await;
        }
    }

    async fn finish(&self, ticket: ClaimTicket, result: ClaimResult) {
        let timers = self.context.timers();
        let end = timers.now() + FINISH_TIMEOUT;
        let mut delay = POLL_DELAY_RANGE.0;
        loop {
            match self.try_finish(&ticket, &result).await {
                Ok(()) => return,
                Err(error) if timers.now() + delay >= end => {
                    self.log_failure("cannot record the outcome of a claimed request", &error);
                    return;
                }
                Err(_) => {
                    timers
                        .sleep(delay.mul_f64(0.5 + rand::random::<f64>()))
                        .await
                }
            }
            delay = (delay * 2).min(POLL_DELAY_RANGE.1);
        }
    }

    /// Writes the outcome of a claim at the version of the ticket. A conflict after a lost response
    /// means that the earlier write took effect, because only the ticket's holder changes a claim.
    async fn try_finish(
        &self,
        ticket: &ClaimTicket,
        result: &ClaimResult,
    ) -> Result<(), PlatformError> {
        let state = match result {
            ClaimResult::NotRun => {
                return self
                    .platform()
                    .delete(&ticket.object_key, ticket.version)
                    .await
                    .map(drop);
            }
            ClaimResult::Answered(response) => to_claim_state(response),
            ClaimResult::Unknown => ClaimState::Unknown,
        };
        let Some((version, mut record)) = self.read(&ticket.object_key).await? else {
            return Ok(());
        };
        if record.nonce != ticket.nonce || version != ticket.version {
            return Ok(());
        }
        record.state = state;
        self.platform()
            .write(&ticket.object_key, version, &record)
            .await
            .map(drop)
    }
}

/// Result of one attempt to create or read a claim.
enum Step {
    /// This attempt created the claim; the object has this version.
    Run(ObjectVersion),
    /// Step that follows from the claim's current state.
    Read(ClaimStep),
    /// The process that created the claim ended without recording an outcome.
    OwnerEnded,
}

fn ticket(key: &str, attempt: &ClaimAttempt, version: ObjectVersion) -> ClaimTicket {
    ClaimTicket {
        object_key: key.to_owned(),
        version,
        nonce: attempt.nonce().to_owned(),
        send_before: attempt.send_deadline(),
    }
}

/// Returns the claim state that stores a response; `Unknown` if the response is too large to store.
fn to_claim_state(response: &StoredResponse) -> ClaimState {
    let header_bytes: usize = response
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum();
    if response.body.len() > MAX_STORED_BODY_BYTES || header_bytes > MAX_STORED_HEADER_BYTES {
        return ClaimState::Unknown;
    }
    ClaimState::Answered(ResponseRecord {
        status: response.status,
        headers: response.headers.clone(),
        body_hex: hex::encode(&response.body),
    })
}

fn replay(response: ResponseRecord) -> ClaimDecision {
    match hex::decode(&response.body_hex) {
        Ok(body) => ClaimDecision::Replay(StoredResponse {
            status: response.status,
            headers: response.headers,
            body: body.into(),
        }),
        Err(_) => ClaimDecision::OutcomeUnknown,
    }
}

pub(super) fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
