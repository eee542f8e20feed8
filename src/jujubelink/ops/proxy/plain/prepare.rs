//! Converts a client's plain request to one for a target.

use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header};
use hyper::body::Incoming;
use serde_json::Value;

use super::PlainCall;
use super::body::{IdleTimeoutBody, UnreadRest, with_prefix};
use crate::core::config::Route;
use crate::ops::proxy::refusal::{Refusal, RefusalCode};
use crate::ops::proxy::request_body::read_start;
use crate::ops::upstream::strip_request_headers;
use crate::util::hash::{combine, stable_hash};
use crate::util::http::{Body, empty, full};

/// Limit on the part of a body that is read to find the idempotency key and to compute the
/// fingerprint of a claim.
const MAX_CLAIM_BODY_BYTES: usize = 1024 * 1024;

/// Limit on the size of a body that is buffered so that an idempotent request can be retried.
const MAX_REPEATABLE_BYTES: usize = 64 * 1024;

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Timeout for receiving the part of a body that is read in advance.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

pub(super) enum PlainBody {
    /// Streamed from the client; it can be sent only once.
    Streamed(Body),
    /// Buffered completely.
    Buffered(Bytes),
}

/// A request for a target, without the headers that are specific to an attempt.
pub(super) struct PlainRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: PlainBody,
    /// Whether the request is idempotent and may be retried.
    pub(super) is_idempotent: bool,
    pub(super) idempotency_key: Option<String>,
    /// Fingerprint of method, path and body.
    pub(super) fingerprint: u64,
}

impl PlainRequest {
    /// Builds the request for one attempt. A streamed body is moved into it.
    pub(super) fn attempt_request(&mut self) -> Request<Body> {
        let body = match &mut self.body {
            PlainBody::Buffered(bytes) if bytes.is_empty() => empty(),
            PlainBody::Buffered(bytes) => full(bytes.clone()),
            PlainBody::Streamed(body) => std::mem::replace(body, empty()),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }

    /// Takes back the body of a request that was not sent at all.
    pub(super) fn restore_body(&mut self, unsent: Request<Body>) {
        if let PlainBody::Streamed(body) = &mut self.body {
            *body = unsent.into_body();
        }
    }

    /// Whether the request can be retried after an attempt that may have run.
    pub(super) fn is_repeatable(&self) -> bool {
        self.is_idempotent && matches!(self.body, PlainBody::Buffered(_))
    }
}

/// Returns the host name in the request, without the port.
pub(super) fn request_host(head: &Parts) -> Option<String> {
    let authority = head.uri.authority().map(|authority| authority.as_str());
    let header = head.headers.get(header::HOST);
    let host = authority.or_else(|| header?.to_str().ok())?;
    let parsed: http::uri::Authority = host.parse().ok()?;
    Some(parsed.host().to_ascii_lowercase())
}

/// Reads the idempotency key and the required part of the body, and builds the request for the
/// targets. A body that is streamed goes to `unread` when its reader is dropped.
pub(super) async fn prepare(
    call: &PlainCall,
    head: Parts,
    incoming: &mut Option<Incoming>,
    host: Option<String>,
    unread: &UnreadRest,
) -> Result<PlainRequest, Refusal> {
    let route = &call.route;
    let is_safe = matches!(head.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let is_idempotent = route.is_idempotent || is_safe;
    let key_from_header = key_from_header(route, &head.headers, is_idempotent)?;
    let key_is_in_body =
        route.idempotency_field.is_some() && key_from_header.is_none() && !is_idempotent;
    let declared = incoming
        .as_ref()
        .map_or(Some(0), |body| declared_body_size(&head.headers, body));
    let is_short = declared.is_some_and(|bytes| bytes <= MAX_REPEATABLE_BYTES);
    let (body, idempotency_key, body_hash) = if key_is_in_body {
        let bytes = read_body(call, incoming).await?;
        let key = key_from_field(route, &bytes)?;
        let hash = stable_hash(0, &bytes);
        (PlainBody::Buffered(bytes), key, hash)
    } else if key_from_header.is_some() {
        let (body, hash) = read_prefix(call, incoming, &head.headers, unread).await?;
        (body, key_from_header, hash)
    } else if is_idempotent && is_short {
        (
            PlainBody::Buffered(read_body(call, incoming).await?),
            None,
            0,
        )
    } else {
        let body = incoming
            .take()
            .map_or_else(empty, |body| IdleTimeoutBody::new(body, unread).boxed());
        (PlainBody::Streamed(body), None, 0)
    };
    let fingerprint = combine(fingerprint_head(&head), body_hash);
    Ok(PlainRequest {
        uri: origin_form(&head.uri),
        headers: target_headers(&head, host),
        method: head.method,
        body,
        is_idempotent,
        idempotency_key,
        fingerprint,
    })
}

fn fingerprint_head(head: &Parts) -> u64 {
    let method = stable_hash(0, head.method.as_str().as_bytes());
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    stable_hash(method, path.as_bytes())
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}

fn target_headers(head: &Parts, host: Option<String>) -> HeaderMap {
    let mut headers = head.headers.clone();
    strip_request_headers(&mut headers);
    let host = host.and_then(|host| HeaderValue::try_from(host).ok());
    if let (false, Some(host)) = (headers.contains_key(header::HOST), host) {
        headers.insert(header::HOST, host);
    }
    headers
}

fn key_from_header(
    route: &Route,
    headers: &HeaderMap,
    is_idempotent: bool,
) -> Result<Option<String>, Refusal> {
    let name = route
        .idempotency_header
        .as_deref()
        .filter(|_| !is_idempotent);
    let Some(value) = name.and_then(|name| headers.get(name)) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) => validate_key(key.to_owned()).map(Some),
        Err(_) => Err(invalid("the idempotency key is not text")),
    }
}

fn key_from_field(route: &Route, body: &Bytes) -> Result<Option<String>, Refusal> {
    let Some(name) = &route.idempotency_field else {
        return Ok(None);
    };
    let fields: Value = serde_json::from_slice(body).unwrap_or_default();
    match &fields[name.as_str()] {
        Value::String(key) => validate_key(key.clone()).map(Some),
        Value::Number(key) => Ok(Some(key.to_string())),
        Value::Null => Ok(None),
        _ => Err(invalid("the idempotency key must be a string or a number")),
    }
}

fn validate_key(key: String) -> Result<String, Refusal> {
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(invalid(format!(
            "the idempotency key must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes"
        )));
    }
    Ok(key)
}

fn declared_body_size(headers: &HeaderMap, body: &Incoming) -> Option<usize> {
    if http_body::Body::is_end_stream(body) {
        return Some(0);
    }
    let length = headers.get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

async fn read_body(call: &PlainCall, incoming: &mut Option<Incoming>) -> Result<Bytes, Refusal> {
    match read_limited(call, incoming).await? {
        (bytes, false) => Ok(bytes),
        (_, true) => Err(Refusal::not_run(
            RefusalCode::RequestTooLarge,
            format!("the body is larger than {MAX_CLAIM_BODY_BYTES} bytes"),
        )),
    }
}

/// Reads the part of the body that the fingerprint covers. If the body is longer, the rest is
/// streamed, and the fingerprint includes the declared length.
async fn read_prefix(
    call: &PlainCall,
    incoming: &mut Option<Incoming>,
    headers: &HeaderMap,
    unread: &UnreadRest,
) -> Result<(PlainBody, u64), Refusal> {
    let (bytes, _) = read_limited(call, incoming).await?;
    let hash = stable_hash(0, &bytes);
    match incoming.take() {
        None => Ok((PlainBody::Buffered(bytes), hash)),
        Some(rest) => {
            let length = headers.get(header::CONTENT_LENGTH);
            let length = length.map_or(&b""[..], |value| value.as_bytes());
            let hash = combine(hash, stable_hash(1, length));
            Ok((PlainBody::Streamed(with_prefix(bytes, rest, unread)), hash))
        }
    }
}

/// Reads a body up to the limit. Returns the bytes and whether the body continues; the rest stays
/// in `incoming`.
async fn read_limited(
    call: &PlainCall,
    incoming: &mut Option<Incoming>,
) -> Result<(Bytes, bool), Refusal> {
    let Some(body) = incoming.as_mut() else {
        return Ok((Bytes::new(), false));
    };
    let read = read_start(body, MAX_CLAIM_BODY_BYTES, &call.memory);
    match compio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok((bytes, None))) => {
            incoming.take();
            Ok((bytes, false))
        }
        Ok(Ok((bytes, Some(excess)))) => Ok(([bytes, excess].concat().into(), true)),
        Ok(Err(failure)) => Err(failure.refuse(call.proxy.context.metrics())),
        Err(_) => Err(Refusal::not_run(
            RefusalCode::DeadlineExceeded,
            "the body did not arrive in time",
        )),
    }
}

fn invalid(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalCode::InvalidRequest, message)
}
