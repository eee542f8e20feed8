//! Interfaces between plug-ins, looked up in the kernel's service table.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use crate::core::config::ConfigSnapshot;
use crate::core::ids::{
    Epoch, Fingerprint, Incarnation, InstanceId, ModelId, RequestId, TargetId, Timestamp, Tokens,
    WorkspaceId,
};
use crate::core::prefix::PromptFingerprints;
use crate::core::routing::LoadReport;

/// The configuration in force on this instance.
pub trait ConfigService {
    /// The snapshot in force; `None` until the first one arrives.
    fn current(&self) -> Option<Rc<ConfigSnapshot>>;

    /// Whether a key is withdrawn, by the configuration or by a revocation that it does not yet
    /// contain.
    fn is_revoked(&self, key_hash: &str) -> bool;

    /// Completes at the next change of the configuration or the revocations.
    fn changed(&self) -> LocalBoxFuture<'static, ()>;

    /// Takes a snapshot if its version is larger than the one in force. Returns whether it was.
    fn apply_snapshot(&self, snapshot: ConfigSnapshot) -> bool;

    /// Withdraws a key on this instance at once and on all others by gossip.
    fn revoke(&self, key_hash: &str);

    /// Number of revocations that are in force but not yet written into the configuration. They
    /// would be lost if all instances restarted at once.
    fn unwritten_revocations(&self) -> usize {
        0
    }
}

/// Reason why a charge was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeError {
    /// The workspace has used its rate.
    RateLimited {
        /// Time after which the same charge can succeed.
        retry_after: Duration,
    },
    /// No slot holder of the workspace can be reached or act.
    Unavailable,
    /// The request asks for more tokens than the burst; it can never succeed.
    TooLarge,
}

/// Tokens taken from a workspace's limit. It is settled once.
#[derive(Debug)]
pub struct Charge {
    /// Identifier that the limiter gave the charge.
    pub id: u64,
    /// Workspace that was charged.
    pub workspace: WorkspaceId,
    /// Tokens taken.
    pub tokens: Tokens,
    /// When the charge was sent. The request must reach a target within
    /// [`crate::ops::services::MAX_ADMISSION_DELAY`] of it.
    pub charged_at: Timestamp,
}

pub use crate::core::limit::MAX_ADMISSION_DELAY;

/// Rate limits of workspaces over all instances.
pub trait LimitService {
    /// Takes tokens, waiting for them until `deadline`.
    fn charge(
        &self,
        workspace: &WorkspaceId,
        tokens: Tokens,
        deadline: Timestamp,
    ) -> LocalBoxFuture<'static, Result<Charge, ChargeError>>;

    /// Settles a charge with the tokens that were used and refunds the rest.
    fn settle(&self, charge: Charge, used_tokens: Tokens);
}

/// A model request as the scheduler sees it.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Workspace that pays and waits.
    pub workspace: WorkspaceId,
    /// Model.
    pub model: ModelId,
    /// Fingerprints of the prompt.
    pub prompt: Rc<PromptFingerprints>,
    /// Estimated tokens of prompt and completion.
    pub cost_tokens: Tokens,
    /// When the first token is due.
    pub first_token_deadline: Timestamp,
    /// Targets that this request has failed at, not to be chosen again.
    pub excluded: Vec<TargetId>,
    /// Whether the request was running at a target that crashed.
    pub is_suspect: bool,
}

/// A target chosen for one attempt. It is reported once.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Identifier that the scheduler gave the placement.
    pub id: u64,
    /// Target.
    pub target: TargetId,
    /// Incarnation of the engine that the choice relied on; 0 if unknown.
    pub incarnation: Incarnation,
    /// Blocks of the prompt that the target is believed to have cached.
    pub expected_cached_blocks: u32,
    /// Engine that has more of the prompt cached and from which the target should fetch it.
    pub fetch_from: Option<TargetId>,
}

/// Reason why no target was chosen. Nothing has been sent in any of these cases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// The request cannot get its first token in time.
    Overloaded {
        /// Time after which there may be room.
        retry_after: Duration,
    },
    /// No target of the model is in service.
    NoTarget,
    /// The request has crashed targets and is refused for a time.
    Quarantined {
        /// Remaining time of the quarantine.
        retry_after: Duration,
    },
    /// The retry budget of the workspace is used up.
    NoRetryBudget,
}

/// How an attempt at a target ended.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// The whole answer arrived.
    Completed {
        /// Incarnation of the engine that answered.
        incarnation: Incarnation,
        /// Prompt tokens that the engine counted.
        prompt_tokens: Tokens,
        /// Prompt tokens that the engine found in its cache.
        cached_tokens: Tokens,
        /// Generated tokens.
        completion_tokens: Tokens,
        /// Time from the send to the first token.
        first_token: Duration,
    },
    /// Nothing was sent.
    ConnectFailed,
    /// The target refused, before it ran the request.
    Refused,
    /// The target answered with an error.
    Failed,
    /// The connection broke or the target's incarnation changed while the request ran.
    Crashed,
    /// The target went silent.
    TimedOut,
    /// The client went away or the request was cancelled.
    Cancelled,
}

/// Queue, placement, retries, ejection and quarantine of model requests.
pub trait SchedulerService {
    /// Waits for the request's turn and chooses a target.
    fn place(
        &self,
        request: &ModelRequest,
    ) -> LocalBoxFuture<'static, Result<Placement, PlacementError>>;

    /// Notes the first token of an attempt, after which the request no longer waits for prefill.
    fn record_first_token(&self, placement: &Placement);

    /// Reports the end of an attempt and returns whether a retry may be made, with its backoff.
    fn report(
        &self,
        request: &ModelRequest,
        placement: Placement,
        outcome: AttemptOutcome,
    ) -> RetryAdvice;

    /// Chooses among the targets of a plain route: the least loaded one in service.
    fn place_plain(&self, targets: &[TargetId], excluded: &[TargetId]) -> Option<Placement>;

    /// Reports the end of an attempt of a plain request.
    fn report_plain(&self, placement: Placement, outcome: AttemptOutcome);

    /// Takes a load that a target told with an answer.
    fn record_load(&self, target: &TargetId, report: &LoadReport);

    /// Notes that a target refuses requests for a while because it loads weights.
    fn mark_busy(&self, target: &TargetId, duration: Duration);

    /// Takes the run and the weights of a target, as known from elsewhere than its load reports.
    fn record_engine_state(&self, target: &TargetId, report: &LoadReport);
}

/// Whether and when a failed attempt may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAdvice {
    /// No retry is needed or allowed.
    No,
    /// Retry after the delay.
    After {
        /// Jittered backoff.
        delay: Duration,
        /// Whether the request is now suspect and has to run alone.
        is_suspect: bool,
    },
    /// The request has crashed too many targets.
    Quarantined {
        /// Time for which it is refused.
        retry_after: Duration,
    },
}

/// A stored answer of a non-idempotent request.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredResponse {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: bytes::Bytes,
}

/// Decision about a non-idempotent request with an idempotency key.
#[derive(Debug)]
pub enum ClaimDecision {
    /// This instance may run the request, once, before the deadline of the ticket.
    Run(ClaimTicket),
    /// The request has run; this is the first answer.
    Replay(StoredResponse),
    /// The request has been started before and its outcome cannot be known.
    OutcomeUnknown,
    /// The idempotency key was used with another body.
    Conflict,
    /// The platform cannot be asked; nothing was run.
    Unavailable,
}

/// The right to run a non-idempotent request once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimTicket {
    /// Platform object of the claim.
    pub object_key: String,
    /// Version of the object after the claim.
    pub version: u64,
    /// Nonce of the claim.
    pub nonce: String,
    /// Time after which the request must not be sent any more.
    pub send_before: Timestamp,
}

/// How a claimed request ended.
#[derive(Debug)]
pub enum ClaimResult {
    /// Nothing was sent; the claim is released.
    NotRun,
    /// The answer to keep.
    Answered(StoredResponse),
    /// The request was sent and its outcome is not known, or the answer is too large to keep.
    Unknown,
}

/// At-most-once claims of non-idempotent requests.
pub trait ClaimService {
    /// Claims the request named by workspace, route and idempotency key.
    fn begin(
        &self,
        workspace: &str,
        route: &str,
        idempotency_key: &str,
        body_fingerprint: u64,
        deadline: Timestamp,
    ) -> LocalBoxFuture<'static, ClaimDecision>;

    /// Records how the request ended.
    fn finish(&self, ticket: ClaimTicket, result: ClaimResult) -> LocalBoxFuture<'static, ()>;
}

/// State of another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Has not answered lately.
    Suspect,
    /// Stops and takes no new work.
    Leaving,
    /// Is taken for dead.
    Dead,
}

/// Another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Peer address.
    pub instance: InstanceId,
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// State as seen from here.
    pub state: MemberState,
    /// Failure domain.
    pub failure_domain: String,
    /// Region.
    pub region: String,
    /// Configuration version that it last reported.
    pub config_version: u64,
}

/// The instances of the fleet as seen from here.
pub trait MemberService {
    /// This instance's own peer address.
    fn self_id(&self) -> InstanceId;

    /// This process's random incarnation.
    fn self_incarnation(&self) -> Incarnation;

    /// All known members but this one.
    fn members(&self) -> Vec<Member>;

    /// Announces that this instance leaves.
    fn leave(&self);

    /// Targets that are known to be leaving, from the platform's list, their own answers and
    /// operators.
    fn leaving_targets(&self) -> Rc<std::collections::BTreeSet<TargetId>>;

    /// Notes that a target leaves or is back; spreads to all instances.
    fn set_target_leaving(&self, target: &TargetId, is_leaving: bool);
}

/// A named lease held under this instance's session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLease {
    /// Platform object of the lease.
    pub object_key: String,
    /// Fencing number; larger than that of every earlier holder.
    pub epoch: Epoch,
}

/// Leases under this instance's session.
pub trait LeaseService {
    /// Tries to take a lease that is free or whose holder's session has certainly ended. `None` if
    /// another instance holds it or the platform cannot be asked.
    fn acquire(&self, object_key: &str) -> LocalBoxFuture<'static, Option<HeldLease>>;

    /// The lease of an object, if this instance holds it now.
    fn held(&self, object_key: &str) -> Option<HeldLease>;

    /// Whether the lease is held now. Checked immediately before each effect.
    fn is_held(&self, lease: &HeldLease) -> bool;

    /// Gives a lease back so that another instance can take it without waiting.
    fn release(&self, lease: HeldLease) -> LocalBoxFuture<'static, ()>;
}

/// Knowledge that spreads between instances by gossip, without an order and at least once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipItem {
    /// A request has crashed targets.
    Quarantine {
        /// Hash of workspace, model and whole prompt.
        fingerprint: Fingerprint,
        /// Crashes so far.
        crashes: u32,
        /// Time for which the entry is kept.
        remaining: Duration,
    },
    /// Changes of hot prefixes at one target.
    Digest {
        /// Target.
        target: TargetId,
        /// Run of the engine.
        incarnation: Incarnation,
        /// Prefixes that are now cached.
        stored: Vec<Fingerprint>,
        /// Prefixes that are no longer cached.
        evicted: Vec<Fingerprint>,
    },
}

/// Receiver of gossip.
pub type GossipHandler = Rc<dyn Fn(&GossipItem)>;

/// Gossip between instances.
pub trait GossipService {
    /// Sends an item to all other instances.
    fn publish(&self, item: GossipItem);

    /// Calls `handler` for each item from other instances.
    fn subscribe(&self, handler: GossipHandler);
}

/// Reason why a session was not broken.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum LeaseBreakError {
    /// No session of the instance is stored.
    #[display("the instance has no session")]
    NoSession,
    /// The instance answers, so it is not destroyed.
    #[display("the instance is alive")]
    StillAlive,
    /// The platform cannot be asked, or did not confirm the change.
    #[display("the platform does not answer")]
    Unavailable,
}

/// Operators' access to leases; provided by the plug-in that holds sessions.
pub trait LeaseAdminService {
    /// Fences the session of an instance that an operator asserts to be destroyed, without waiting
    /// for its term to end.
    fn break_session(
        &self,
        instance: &str,
    ) -> LocalBoxFuture<'static, std::result::Result<(), LeaseBreakError>>;
}

/// A target as the scheduler weighs it for a request.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct TraceCandidate {
    /// Target.
    pub target: TargetId,
    /// Whether a request would go there now.
    pub is_chosen: bool,
    /// Blocks of the prompt that the target is believed to have cached.
    pub expected_cached_blocks: u32,
    /// Expected wait for a free place, in milliseconds.
    pub expected_wait_ms: f64,
    /// Expected time to compute the missing blocks, in milliseconds.
    pub expected_recompute_ms: f64,
    /// Why the target is or is not considered, for people.
    pub reason: String,
}

/// Explanation of the scheduler's choice.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct TraceReport {
    /// Why the request would be refused, if it would be.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refusal: Option<String>,
    /// Targets that were weighed, best first.
    pub candidates: Vec<TraceCandidate>,
}

/// Explains placement; provided by the scheduler's plug-in.
pub trait TraceService {
    /// Where the request would be placed now. Changes and sends nothing.
    fn explain(&self, request: &ModelRequest) -> TraceReport;
}
