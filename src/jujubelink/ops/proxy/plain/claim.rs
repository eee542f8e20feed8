//! Non-idempotent requests with an idempotency key: a claim on the key ensures that they run at
//! most once.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::PlainCall;
use super::body::ResponseBody;
use super::prepare::PlainRequest;
use super::run::{PlainResponse, run_attempts};
use crate::ops::proxy::refusal::{Outcome, Refusal, RefusalCode};
use crate::ops::services::{
    AttemptOutcome, ClaimDecision, ClaimResult, ClaimService, ClaimTicket, SchedulerService,
    StoredResponse,
};
use crate::util::http::{Body, full};

/// Limit on the body size of a response stored with a claim.
const MAX_STORED_RESPONSE_BYTES: usize = 256 * 1024;

/// Workspace name in claims of open routes. It cannot collide, because workspace names are never
/// empty.
const OPEN_WORKSPACE: &str = "";

/// Runs a request at most once for its idempotency key.
pub(super) async fn run_claimed(
    call: PlainCall,
    request: PlainRequest,
) -> Result<Response<Body>, Refusal> {
    let claims = call.proxy.service::<dyn ClaimService>();
    let workspace = call.caller.as_ref().map(|caller| caller.workspace.clone());
    let decision = claims.begin(
        workspace.as_deref().unwrap_or(OPEN_WORKSPACE),
        &call.route_id,
        request.idempotency_key.as_deref().unwrap_or_default(),
        request.fingerprint,
        call.deadline,
    );
    match decision.await {
        ClaimDecision::Run(ticket) => run_once(call, request, ticket).await,
        ClaimDecision::Replay(stored) => Ok(replay(stored)),
        ClaimDecision::OutcomeUnknown => Err(Refusal::outcome_unknown(
            RefusalCode::UpstreamFailed,
            "the request was started before and its outcome is not known",
        )),
        ClaimDecision::Conflict => Err(Refusal::not_run(
            RefusalCode::ClaimConflict,
            "the idempotency key was used with another request",
        )),
        ClaimDecision::Unavailable => Err(Refusal::not_run(
            RefusalCode::ClaimUnavailable,
            "the request cannot be claimed now",
        )),
    }
}

async fn run_once(
    mut call: PlainCall,
    mut request: PlainRequest,
    ticket: ClaimTicket,
) -> Result<Response<Body>, Refusal> {
    let claims = call.proxy.service::<dyn ClaimService>();
    match run_attempts(&mut call, &mut request, Some(ticket.send_before)).await {
        Ok(plain_response) => store_response(call, plain_response, ticket).await,
        Err(refusal) => {
            let result = match refusal.outcome {
                Outcome::NotRun => ClaimResult::NotRun,
                Outcome::OutcomeUnknown | Outcome::Run => ClaimResult::Unknown,
            };
            claims.finish(ticket, result).await;
            Err(refusal)
        }
    }
}

/// Reads the response and stores it with the claim before forwarding it, so that a retry after a
/// lost response gets the same one.
async fn store_response(
    call: PlainCall,
    plain_response: PlainResponse,
    ticket: ClaimTicket,
) -> Result<Response<Body>, Refusal> {
    let claims = call.proxy.service::<dyn ClaimService>();
    let (mut head, mut body) = plain_response.response.into_parts();
    crate::ops::upstream::strip_response_headers(&mut head.headers);
    let timeout = call
        .deadline
        .saturating_sub(call.proxy.context.timers().now());
    let read = compio::time::timeout(timeout, read_storable_body(&mut body)).await;
    match read {
        Ok(Ok((bytes, true))) => {
            drop(ResponseBody::new(
                body,
                call,
                plain_response.placement,
                plain_response.first_byte,
            ));
            let stored = StoredResponse {
                status: head.status.as_u16(),
                headers: stored_headers(&head.headers),
                body: bytes.clone(),
            };
            claims.finish(ticket, ClaimResult::Answered(stored)).await;
            Ok(Response::from_parts(head, full(bytes)))
        }
        Ok(Ok((bytes, false))) => {
            claims.finish(ticket, ClaimResult::Unknown).await;
            let rest = ResponseBody::new(
                body,
                call,
                plain_response.placement,
                plain_response.first_byte,
            );
            let first =
                futures_util::stream::once(async move { Ok(http_body::Frame::data(bytes)) });
            let rest = http_body_util::BodyStream::new(rest);
            let frames = futures_util::StreamExt::chain(first, rest);
            let body: Body = Box::pin(http_body_util::StreamBody::new(frames));
            Ok(Response::from_parts(head, body))
        }
        Ok(Err(_)) | Err(_) => {
            let scheduler = call.proxy.service::<dyn SchedulerService>();
            scheduler.report_plain(plain_response.placement, AttemptOutcome::Crashed);
            claims.finish(ticket, ClaimResult::Unknown).await;
            Err(Refusal::outcome_unknown(
                RefusalCode::UpstreamFailed,
                "the target's answer broke off",
            ))
        }
    }
}

/// Reads up to the size that can be stored. Returns the bytes and whether they are the complete
/// body.
async fn read_storable_body(body: &mut Incoming) -> Result<(Bytes, bool), hyper::Error> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > MAX_STORED_RESPONSE_BYTES {
            return Ok((bytes.freeze(), false));
        }
    }
    Ok((bytes.freeze(), true))
}

fn stored_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        Some((name.to_string(), value.to_str().ok()?.to_owned()))
    };
    headers.iter().filter_map(text).collect()
}

fn replay(stored: StoredResponse) -> Response<Body> {
    let mut response = Response::new(full(stored.body));
    *response.status_mut() =
        StatusCode::from_u16(stored.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in stored.headers {
        let name = HeaderName::try_from(name);
        let value = HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
