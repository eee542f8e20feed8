//! Sending a plain request to targets, with retries.

use std::time::{Duration, Instant};

use http::{Response, header};
use hyper::body::Incoming;

use super::body::ResponseBody;
use super::prepare::PlainRequest;
use super::{PlainCall, acquire_charge};
use crate::core::config::Target;
use crate::core::ids::{TargetId, Timestamp};
use crate::ops::proxy::refusal::{Refusal, RefusalCode};
use crate::ops::proxy::waits::Awaited;
use crate::ops::services::{
    AttemptOutcome, MAX_ADMISSION_DELAY, MemberService, Placement, SchedulerService,
};
use crate::ops::upstream::{AttemptError, AttemptTag, set_credential, strip_response_headers};
use crate::util::http::{Body, ClientError, RequestOptions};

/// Limit on the attempts of one request, each at a different target.
const MAX_ATTEMPTS: usize = 3;

/// Upper bound of the random delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A response head with its unread body.
pub(super) struct PlainResponse {
    pub(super) response: Response<Incoming>,
    pub(super) placement: Placement,
    pub(super) first_byte: Duration,
}

/// Runs a request and streams its response.
pub(super) async fn run(
    mut call: PlainCall,
    mut request: PlainRequest,
) -> Result<Response<Body>, Refusal> {
    let plain_response = run_attempts(&mut call, &mut request, None).await?;
    let (mut head, body) = plain_response.response.into_parts();
    strip_response_headers(&mut head.headers);
    let body = ResponseBody::new(
        body,
        call,
        plain_response.placement,
        plain_response.first_byte,
    );
    Ok(Response::from_parts(head, Box::pin(body)))
}

/// Obtains a response head, with as many attempts as allowed. Nothing is sent after `send_before`.
pub(super) async fn run_attempts(
    call: &mut PlainCall,
    request: &mut PlainRequest,
    send_before: Option<Timestamp>,
) -> Result<PlainResponse, Refusal> {
    let mut excluded: Vec<TargetId> = Vec::new();
    let mut may_have_run = false;
    let mut last_refusal = Refusal::not_run(
        RefusalCode::NoTarget,
        "no target of the route is in service",
    );
    while excluded.len() < MAX_ATTEMPTS {
        let now = call.proxy.context.timers().now();
        if is_charge_outdated(call) && now < call.deadline {
            call.charge.settle();
            match acquire_charge(call).await {
                Ok(charge) => call.charge.charge = charge,
                Err(refusal) => {
                    last_refusal = refusal;
                    break;
                }
            }
        }
        let scheduler = call.proxy.service::<dyn SchedulerService>();
        let Some(placement) = scheduler.place_plain(&call.route.targets, &excluded) else {
            break;
        };
        if let Err(refusal) = check_send(call, send_before) {
            scheduler.report_plain(placement, AttemptOutcome::Cancelled);
            last_refusal = refusal;
            break;
        }
        excluded.push(placement.target.clone());
        let error = match attempt(call, request, placement).await {
            Ok(plain_response) => return Ok(plain_response),
            Err(error) => error,
        };
        may_have_run |= error.may_have_run();
        last_refusal = attempt_refusal(&error);
        if error.may_have_run() && !request.is_repeatable() {
            break;
        }
        call.wait.set(Awaited::Resend);
        let retry_delay = MAX_RETRY_DELAY.mul_f64(rand::random::<f64>());
        call.proxy.context.timers().sleep(retry_delay).await;
    }
    if may_have_run {
        last_refusal.outcome = crate::ops::proxy::refusal::Outcome::OutcomeUnknown;
    }
    Err(last_refusal)
}

/// Whether the charge is too old for the first send, because the request waited for its claim or for a
/// connection.
fn is_charge_outdated(call: &PlainCall) -> bool {
    let now = call.proxy.context.timers().now();
    let charge = call.charge.charge.as_ref();
    !call.charge.is_sent
        && charge.is_some_and(|charge| now > charge.charged_at + MAX_ADMISSION_DELAY)
}

/// Checks charge, deadline and API key before an attempt is sent.
fn check_send(call: &PlainCall, send_before: Option<Timestamp>) -> Result<(), Refusal> {
    let now = call.proxy.context.timers().now();
    if now >= call.deadline || send_before.is_some_and(|limit| now >= limit) {
        return Err(Refusal::not_run(
            RefusalCode::DeadlineExceeded,
            "the deadline passed before the request was sent",
        ));
    }
    if is_charge_outdated(call) {
        return Err(Refusal::not_run(
            RefusalCode::Overloaded,
            "the request waited too long for a target",
        ));
    }
    let is_revoked = call
        .caller
        .as_ref()
        .is_some_and(|caller| caller.revocation.is_revoked());
    if is_revoked {
        return Err(Refusal::not_run(
            RefusalCode::KeyRevoked,
            "the key was withdrawn",
        ));
    }
    Ok(())
}

/// Reports a placement as cancelled if the attempt is dropped.
struct PlacementGuard<'a> {
    call: &'a PlainCall,
    placement: Option<Placement>,
}

impl PlacementGuard<'_> {
    fn report(&mut self, outcome: AttemptOutcome) {
        if let Some(placement) = self.placement.take() {
            let scheduler = self.call.proxy.service::<dyn SchedulerService>();
            scheduler.report_plain(placement, outcome);
        }
    }
}

impl Drop for PlacementGuard<'_> {
    fn drop(&mut self) {
        self.report(AttemptOutcome::Cancelled);
    }
}

async fn attempt(
    call: &mut PlainCall,
    request: &mut PlainRequest,
    placement: Placement,
) -> Result<PlainResponse, AttemptError> {
    let target = call.config.fleet.targets.get(&placement.target).cloned();
    let target_id = placement.target.clone();
    let was_sent_before = call.charge.is_sent;
    // A request that is dropped while being sent counts as sent.
    call.charge.is_sent = true;
    let mut guard = PlacementGuard {
        call,
        placement: Some(placement),
    };
    let sent_at = Instant::now();
    let sent = match &target {
        Some(target) => send(call, request, target).await,
        None => Err(AttemptError::ConnectFailed),
    };
    match (sent, guard.placement.take()) {
        (Ok(response), Some(placement)) => {
            record_target_state(call, &target_id, &response);
            Ok(PlainResponse {
                response,
                placement,
                first_byte: sent_at.elapsed(),
            })
        }
        (Err(error), placement) => {
            guard.placement = placement;
            guard.report(error.outcome());
            drop(guard);
            call.charge.is_sent = was_sent_before || error.may_have_run();
            Err(error)
        }
        (Ok(_), None) => Err(AttemptError::ConnectionLost),
    }
}

async fn send(
    call: &PlainCall,
    request: &mut PlainRequest,
    target: &Target,
) -> Result<Response<Incoming>, AttemptError> {
    let tag = AttemptTag::new(&call.id);
    let mut attempt = request.attempt_request();
    let headers = attempt.headers_mut();
    tag.apply(headers);
    set_credential(headers, target.credential.as_deref());
    if let Some(caller) = &call.caller {
        let namespace = crate::core::prompt::cache_namespace(&caller.workspace);
        if let Ok(namespace) = http::HeaderValue::try_from(namespace) {
            headers.insert("x-workspace", namespace);
        }
    }
    if !headers.contains_key(header::HOST)
        && let Ok(host) = http::HeaderValue::try_from(target.address.to_string())
    {
        headers.insert(header::HOST, host);
    }
    let options = match request.is_idempotent {
        true => RequestOptions::default(),
        false => RequestOptions::for_non_idempotent(),
    };
    let timers = call.proxy.context.timers();
    let timeout = call.deadline.saturating_sub(timers.now());
    call.wait.set(Awaited::Connection);
    let on_connected = || {
        call.wait.on_connected();
        true
    };
    let client = &call.proxy.client;
    let sending = client.send_if(target.address, attempt, options, on_connected);
    let response = match timers.timeout(timeout, sending).await {
        None => return Err(AttemptError::TimedOut),
        Some(Ok(response)) => response,
        Some(Err(failure)) => {
            if let Some(unsent) = failure.unsent {
                request.restore_body(unsent);
            }
            return Err(match failure.error {
                ClientError::Connect { .. } | ClientError::Withheld { .. } => {
                    AttemptError::ConnectFailed
                }
                ClientError::MaybeSent { .. } => AttemptError::ConnectionLost,
            });
        }
    };
    if tag.is_contradicted_by(response.headers()) {
        return Err(AttemptError::ResponseMismatch);
    }
    Ok(response)
}

fn record_target_state(call: &PlainCall, target: &TargetId, response: &Response<Incoming>) {
    let state = response.headers().get("x-target-state");
    if state.is_some_and(|state| state.as_bytes() == b"leaving") {
        let members = call.proxy.service::<dyn MemberService>();
        members.set_target_leaving(target, true);
    }
}

fn attempt_refusal(error: &AttemptError) -> Refusal {
    let code = match error {
        AttemptError::ConnectFailed => RefusalCode::NoTarget,
        AttemptError::TimedOut => RefusalCode::DeadlineExceeded,
        _ => RefusalCode::UpstreamFailed,
    };
    match error.may_have_run() {
        true => Refusal::outcome_unknown(code, error.to_string()),
        false => Refusal::not_run(code, error.to_string()),
    }
}
