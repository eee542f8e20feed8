//! Entry point for model requests.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Response, header};
use hyper::body::Incoming;

use super::assemble::ResponseAssembler;
use super::call::{Endpoint, ModelCall};
use super::exchange::Exchange;
use super::stream::stream_body;
use crate::core::config::ConfigSnapshot;
use crate::core::ids::RequestId;
use crate::core::prompt::cache_namespace;
use crate::ops::proxy::auth::authenticate;
use crate::ops::proxy::handler::{Proxy, RequestState};
use crate::ops::proxy::refusal::{Refusal, RefusalCode};
use crate::ops::proxy::request_body::read_request_body;
use crate::ops::proxy::waits::Awaited;
use crate::util::http::{Body, full};
use crate::util::memory_budget::Reservation;

const MAX_MODEL_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Timeout for receiving the body of a model request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Handles a model request and returns a streamed or a complete response.
pub(in crate::ops::proxy) async fn handle_model_request(
    proxy: &Rc<Proxy>,
    config: &Rc<ConfigSnapshot>,
    endpoint: Endpoint,
    head: &Parts,
    body: &mut Option<Incoming>,
    state: RequestState,
) -> Result<Response<Body>, Refusal> {
    let RequestState { id, wait, memory } = state;
    let caller = authenticate(proxy, config, &head.headers)?;
    check_declared_size(&head.headers)?;
    memory.set_workspace(Some(caller.workspace.clone()));
    wait.set(Awaited::Body);
    let bytes = read_body(proxy, body, &memory).await?;
    let namespace = cache_namespace(&caller.workspace);
    let call = ModelCall::parse(endpoint, &bytes, config, &namespace)?;
    drop(bytes);
    let is_stream = call.is_stream;
    let traceparent = head.headers.get("traceparent").cloned();
    let mut exchange = Exchange::new(proxy, config, caller, call, namespace, &id, traceparent);
    exchange.memory = Some(memory);
    exchange.wait = wait;
    exchange.open().await?;
    if is_stream {
        streamed_response(exchange, &id).await
    } else {
        complete_response(exchange).await
    }
}

async fn streamed_response(
    mut exchange: Exchange,
    id: &RequestId,
) -> Result<Response<Body>, Refusal> {
    // A failure before the first event can still be reported with its own HTTP status.
    let first = exchange.next_data().await?;
    let response = Response::builder()
        .header(header::CONTENT_TYPE, "text/event-stream")
        .header(header::CACHE_CONTROL, "no-cache")
        .body(stream_body(exchange, first, id.clone()))
        .expect("valid headers");
    Ok(response)
}

async fn complete_response(mut exchange: Exchange) -> Result<Response<Body>, Refusal> {
    let mut assembler = ResponseAssembler::new(exchange.endpoint());
    while let Some(data) = exchange.next_data().await? {
        assembler.push_event(&data)?;
    }
    let response = Response::builder()
        .header(header::CONTENT_TYPE, "application/json")
        .body(full(assembler.into_json()))
        .expect("valid headers");
    Ok(response)
}

/// Refuses a body whose declared size exceeds the limit.
fn check_declared_size(headers: &HeaderMap) -> Result<(), Refusal> {
    let declared = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    match declared {
        Some(bytes) if bytes > MAX_MODEL_BODY_BYTES => Err(too_large()),
        _ => Ok(()),
    }
}

/// Reads the whole body. On an error, the partly read body stays in `body`.
async fn read_body(
    proxy: &Proxy,
    body: &mut Option<Incoming>,
    memory: &Reservation,
) -> Result<Bytes, Refusal> {
    let Some(incoming) = body.as_mut() else {
        return Ok(Bytes::new());
    };
    let read = read_request_body(incoming, MAX_MODEL_BODY_BYTES, memory);
    match compio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(Some(bytes))) => {
            body.take();
            Ok(bytes)
        }
        Ok(Ok(None)) => Err(too_large()),
        Ok(Err(failure)) => Err(failure.refuse(proxy.context.metrics())),
        Err(_) => Err(Refusal::not_run(
            RefusalCode::DeadlineExceeded,
            "the body did not arrive in time",
        )),
    }
}

fn too_large() -> Refusal {
    Refusal::not_run(
        RefusalCode::RequestTooLarge,
        format!("the body is larger than {MAX_MODEL_BODY_BYTES} bytes"),
    )
}
