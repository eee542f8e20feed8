//! Interfaces between plug-ins, looked up in the kernel's service registry.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use crate::core::config::ConfigSnapshot;
use crate::core::ids::{
    Epoch, Fingerprint, Incarnation, InstanceId, ModelId, RequestId, TargetId, Timestamp, Tokens,
    WorkspaceId,
};
use crate::core::overload::Aims;
use crate::core::prefix::PromptFingerprints;
use crate::core::routing::LoadReport;

/// Access to the active configuration of this instance.
pub trait ConfigService {
    /// Returns the active snapshot; `None` until the first one arrives.
    fn current(&self) -> Option<Rc<ConfigSnapshot>>;

    /// Whether a key is revoked, either by the active configuration or by a revocation that the
    /// configuration does not contain yet.
    fn is_revoked(&self, key_hash: &str) -> bool;

    /// Completes at the next change of the configuration or the revocations.
    fn changed(&self) -> LocalBoxFuture<'static, ()>;

    /// Activates a snapshot if its version is higher than that of the active one. Returns whether
    /// it was activated.
    fn apply_snapshot(&self, snapshot: ConfigSnapshot) -> bool;

    /// Revokes a key, on this instance immediately and on all others by gossip.
    fn revoke(&self, key_hash: &str);

    /// Returns the number of revocations that are active but not yet written to the configuration.
    /// They would be lost if all instances restarted at the same time.
    fn unwritten_revocations(&self) -> usize {
        0
    }
}

/// Reason why a charge was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeError {
    /// The workspace has exhausted its rate limit.
    RateLimited {
        /// Delay after which the same charge can succeed.
        retry_after: Duration,
    },
    /// No holder of the workspace's limit slots is reachable with a valid session.
    Unavailable,
    /// The request needs more tokens than the burst size; it can never succeed.
    TooLarge,
}

/// Tokens taken from a workspace's rate limit. Each charge is settled exactly once.
#[derive(Debug)]
pub struct Charge {
    /// Identifier assigned by the limiter.
    pub id: u64,
    /// Charged workspace.
    pub workspace: WorkspaceId,
    /// Number of tokens taken.
    pub tokens: Tokens,
    /// Time at which the charge was sent. The request must reach a target within
    /// [`crate::ops::services::MAX_ADMISSION_DELAY`] of this time.
    pub charged_at: Timestamp,
}

pub use crate::core::limit::MAX_ADMISSION_DELAY;

/// Rate limits of workspaces, enforced across all instances.
pub trait LimitService {
    /// Takes tokens from the workspace's limit, waiting until `deadline` for them to become
    /// available.
    fn charge(
        &self,
        workspace: &WorkspaceId,
        tokens: Tokens,
        deadline: Timestamp,
    ) -> LocalBoxFuture<'static, Result<Charge, ChargeError>>;

    /// Settles a charge: refunds the tokens beyond `used_tokens`.
    fn settle(&self, charge: Charge, used_tokens: Tokens);
}

/// The properties of a model request that scheduling depends on.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Request identifier.
    pub id: RequestId,
    /// Workspace that the request is charged to and queued for.
    pub workspace: WorkspaceId,
    /// Requested model.
    pub model: ModelId,
    /// Fingerprints of the prompt's blocks.
    pub prompt: Rc<PromptFingerprints>,
    /// Estimated number of tokens of prompt and completion.
    pub cost_tokens: Tokens,
    /// Deadline for the first token.
    pub first_token_deadline: Timestamp,
    /// Targets at which this request has failed and that must not be chosen again.
    pub excluded: Vec<TargetId>,
    /// Whether the request was running on a target when the target crashed.
    pub is_suspect: bool,
    /// Aims on the scheduler's clock, if requests are ordered by urgency.
    pub aims: Option<Aims>,
}

/// Numbers of requests at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFigures {
    /// Requests in the queue.
    pub queued: usize,
    /// Attempts in progress.
    pub running: usize,
}

/// The target chosen for one attempt. The outcome of each placement is reported exactly once.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Identifier assigned by the scheduler.
    pub id: u64,
    /// Chosen target.
    pub target: TargetId,
    /// Engine incarnation that the choice was based on; 0 if unknown.
    pub incarnation: Incarnation,
    /// Estimated number of prompt blocks in the target's cache.
    pub expected_cached_blocks: u32,
    /// Engine with a longer cached prefix of the prompt, from which the target should fetch it.
    pub fetch_from: Option<TargetId>,
}

/// Reason why no target was chosen. In all of these cases nothing was sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// The first token cannot be produced before its deadline.
    Overloaded {
        /// Delay after which capacity may be available.
        retry_after: Duration,
    },
    /// No target that serves the model is in service.
    NoTarget,
    /// The request has crashed targets and is temporarily refused.
    Quarantined {
        /// Remaining time of the quarantine.
        retry_after: Duration,
    },
    /// The retry budget of the workspace is exhausted.
    NoRetryBudget,
}

/// Outcome of an attempt at a target.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// The complete response arrived.
    Completed {
        /// Incarnation of the engine that responded.
        incarnation: Incarnation,
        /// Number of prompt tokens reported by the engine.
        prompt_tokens: Tokens,
        /// Number of prompt tokens that the engine found in its cache.
        cached_tokens: Tokens,
        /// Number of generated tokens.
        completion_tokens: Tokens,
        /// Time from sending the request to the first token.
        first_token: Duration,
    },
    /// The connection could not be established; nothing was sent.
    ConnectFailed,
    /// The target refused the request without running it.
    Refused,
    /// The target responded with an error.
    Failed,
    /// The connection failed or the target's incarnation changed while the request was running.
    Crashed,
    /// The connection failed while the request was running. It is not known whether the target crashed.
    Interrupted,
    /// The target stopped responding.
    TimedOut,
    /// The client disconnected or the request was cancelled.
    Cancelled,
}

/// Queueing, placement and retries of model requests, ejection of failing targets, and quarantine
/// of requests that crash targets.
pub trait SchedulerService {
    /// Queues the request until it is scheduled, and chooses a target.
    fn place(
        &self,
        request: &ModelRequest,
    ) -> LocalBoxFuture<'static, Result<Placement, PlacementError>>;

    /// Returns the requests in the queue and the attempts in progress.
    fn queue_figures(&self) -> QueueFigures;

    /// Records the first token of an attempt, which marks the end of its prefill.
    fn record_first_token(&self, placement: &Placement);

    /// Records the outcome of an attempt. Returns whether a retry is allowed, and its backoff.
    fn report(
        &self,
        request: &ModelRequest,
        placement: Placement,
        outcome: AttemptOutcome,
    ) -> RetryAdvice;

    /// Asks whether another target may be asked for the rest of a response while its run goes on silently.
    /// The retry counts against the budgets.
    fn hedge(&self, placement: &Placement) -> RetryAdvice;

    /// Chooses the least loaded target in service among those of a plain route.
    fn place_plain(&self, targets: &[TargetId], excluded: &[TargetId]) -> Option<Placement>;

    /// Records the outcome of an attempt of a plain request.
    fn report_plain(&self, placement: Placement, outcome: AttemptOutcome);

    /// Records the load report that a target attached to a response.
    fn record_load(&self, target: &TargetId, report: &LoadReport);

    /// Marks a target as refusing requests for `duration` because it is loading weights.
    fn mark_busy(&self, target: &TargetId, duration: Duration);

    /// Sends the target no requests for `duration`, as it asked for.
    fn pause(&self, target: &TargetId, duration: Duration);

    /// Returns the time until the first of the targets accepts requests, if all of those in service
    /// asked for a pause.
    fn remaining_pause(&self, targets: &[TargetId]) -> Option<Duration>;

    /// Records the incarnation and the weights of a target, learned from another source than its
    /// load reports.
    fn record_engine_state(&self, target: &TargetId, report: &LoadReport);
}

/// Whether and when a failed attempt may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAdvice {
    /// No retry is needed or allowed.
    No,
    /// Retry after the delay.
    After {
        /// Backoff with jitter.
        delay: Duration,
        /// Whether the request is now suspected of crashing targets and must run at a target
        /// without other suspects.
        is_suspect: bool,
    },
    /// The request has crashed too many targets.
    Quarantined {
        /// Remaining time of the quarantine.
        retry_after: Duration,
    },
}

/// Stored response to a non-idempotent request.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredResponse {
    /// Status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: bytes::Bytes,
}

/// How to proceed with a non-idempotent request that carries an idempotency key.
#[derive(Debug)]
pub enum ClaimDecision {
    /// This instance may run the request once, and must send it before the ticket expires.
    Run(ClaimTicket),
    /// The request has already run; this is the original response.
    Replay(StoredResponse),
    /// The request was started earlier and its outcome cannot be determined.
    OutcomeUnknown,
    /// The idempotency key was already used with a different body.
    Conflict,
    /// The platform is unavailable; nothing was run.
    Unavailable,
}

/// The right to run a non-idempotent request once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimTicket {
    /// Key of the platform object that stores the claim.
    pub object_key: String,
    /// Version of the object after the claim was written.
    pub version: u64,
    /// Nonce that identifies the claim's writer.
    pub nonce: String,
    /// Time after which the request must not be sent.
    pub send_before: Timestamp,
}

/// Outcome of a claimed request.
#[derive(Debug)]
pub enum ClaimResult {
    /// Nothing was sent; the claim is released.
    NotRun,
    /// The response, which is stored for replay.
    Answered(StoredResponse),
    /// The request was sent and its outcome is unknown, or the response is too large to store.
    Unknown,
}

/// Claims that let each non-idempotent request run at most once.
pub trait ClaimService {
    /// Claims the request identified by workspace, route and idempotency key.
    fn begin(
        &self,
        workspace: &str,
        route: &str,
        idempotency_key: &str,
        body_fingerprint: u64,
        deadline: Timestamp,
    ) -> LocalBoxFuture<'static, ClaimDecision>;

    /// Records the outcome of the request.
    fn finish(&self, ticket: ClaimTicket, result: ClaimResult) -> LocalBoxFuture<'static, ()>;
}

/// State of another instance as seen by this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Has not responded recently.
    Suspect,
    /// Is shutting down and accepts no new work.
    Leaving,
    /// Is considered dead.
    Dead,
}

/// Another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Peer address.
    pub instance: InstanceId,
    /// Incarnation of the instance's process.
    pub incarnation: Incarnation,
    /// State as seen by this instance.
    pub state: MemberState,
    /// Failure domain.
    pub failure_domain: String,
    /// Region.
    pub region: String,
    /// Last reported configuration version.
    pub config_version: u64,
}

/// The instances of the fleet as seen by this one.
pub trait MemberService {
    /// Returns the peer address of this instance.
    fn self_id(&self) -> InstanceId;

    /// Returns the random incarnation of this process.
    fn self_incarnation(&self) -> Incarnation;

    /// Returns all members except this instance.
    fn members(&self) -> Vec<Member>;

    /// Announces that this instance is shutting down.
    fn leave(&self);

    /// Returns the targets marked as leaving by the platform's target list, by their own responses
    /// or by an operator.
    fn leaving_targets(&self) -> Rc<std::collections::BTreeSet<TargetId>>;

    /// Sets or clears the leaving mark of a target on all instances.
    fn set_target_leaving(&self, target: &TargetId, is_leaving: bool);
}

/// A named lease held under this instance's session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLease {
    /// Key of the platform object that stores the lease.
    pub object_key: String,
    /// Fencing token; higher than that of every earlier holder.
    pub epoch: Epoch,
}

/// Named leases held under this instance's session.
pub trait LeaseService {
    /// Tries to acquire a lease that is free or whose holder's session has provably ended. Returns
    /// `None` if another instance holds it or the platform is unavailable.
    fn acquire(&self, object_key: &str) -> LocalBoxFuture<'static, Option<HeldLease>>;

    /// Returns the lease stored at `object_key` if this instance currently holds it.
    fn held(&self, object_key: &str) -> Option<HeldLease>;

    /// Whether the lease is currently held. Must be checked immediately before each external
    /// effect.
    fn is_held(&self, lease: &HeldLease) -> bool;

    /// Releases a lease so that another instance can acquire it without waiting for a timeout.
    fn release(&self, lease: HeldLease) -> LocalBoxFuture<'static, ()>;
}

/// An update sent between instances by gossip. Delivery is unordered and at least once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipItem {
    /// A request has crashed targets.
    Quarantine {
        /// Hash of workspace, model and whole prompt.
        fingerprint: Fingerprint,
        /// Number of crashes so far.
        crashes: u32,
        /// Remaining lifetime of the entry.
        remaining: Duration,
    },
    /// Changes to the frequently used prefixes cached at one target.
    Digest {
        /// Target.
        target: TargetId,
        /// Incarnation of the engine.
        incarnation: Incarnation,
        /// Prefixes that were added to the cache.
        stored: Vec<Fingerprint>,
        /// Prefixes that were evicted from the cache.
        evicted: Vec<Fingerprint>,
    },
}

/// Callback for received gossip items.
pub type GossipHandler = Rc<dyn Fn(&GossipItem)>;

/// Gossip between instances.
pub trait GossipService {
    /// Sends an item to all other instances.
    fn publish(&self, item: GossipItem);

    /// Calls `handler` for each item received from another instance.
    fn subscribe(&self, handler: GossipHandler);
}

/// Reason why an operator's request to break a session failed.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum LeaseBreakError {
    /// The instance has no stored session.
    #[display("the instance has no session")]
    NoSession,
    /// The instance responds, so it has not been destroyed.
    #[display("the instance is alive")]
    StillAlive,
    /// The platform is unavailable or did not confirm the change.
    #[display("the platform does not answer")]
    Unavailable,
}

/// Operator access to leases, provided by the plug-in that manages sessions.
pub trait LeaseAdminService {
    /// Fences the session of an instance that, according to an operator, has been destroyed. Does
    /// not wait for the end of the session's term.
    fn break_session(
        &self,
        instance: &str,
    ) -> LocalBoxFuture<'static, std::result::Result<(), LeaseBreakError>>;
}

/// A target considered by the scheduler for a request.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct TraceCandidate {
    /// Considered target.
    pub target: TargetId,
    /// Whether the request would currently be placed at this target.
    pub is_chosen: bool,
    /// Estimated number of prompt blocks in the target's cache.
    pub expected_cached_blocks: u32,
    /// Expected wait for a free slot, in milliseconds.
    pub expected_wait_ms: f64,
    /// Expected time to compute the prompt blocks that are not cached, in milliseconds.
    pub expected_recompute_ms: f64,
    /// Human-readable reason why the target is eligible or not.
    pub reason: String,
}

/// Explanation of a placement decision.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct TraceReport {
    /// Reason for refusal if the request would be refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refusal: Option<String>,
    /// Considered targets, best first.
    pub candidates: Vec<TraceCandidate>,
}

/// Explains placement decisions; provided by the scheduler plug-in.
pub trait TraceService {
    /// Explains where the request would currently be placed. Has no side effects.
    fn explain(&self, request: &ModelRequest) -> TraceReport;
}
