//! Headers of requests and responses.

use std::time::Duration;

use http::header::{AUTHORIZATION, HOST, HeaderName, RETRY_AFTER, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, StatusCode};

use super::names::{
    ATTEMPT_ID, CACHE_SALT, DEADLINE_MS, EXPECT_TARGET, EXPECT_WEIGHTS, KV_FETCH, KV_SAVE,
    LAST_EVENT_ID, LEAVING, MODEL, NOT_RUN, PRIORITY, PROMPT_PARTS, RESERVED, RESPONSE_SIGNATURE,
    TARGET_ID, TARGET_LOAD, TOKEN_COUNT, WEIGHTS, WORKSPACE,
};
use crate::core::pace::ReportedPace;
use crate::core::relay::{AttemptHead, PromptHead, PromptPart, RelayHead, ResponseHead};
use crate::util::hash::{sha256_hex, stable_hash};

/// Maximum timeout that a client may request; a longer one is reduced to it.
const MAX_CLIENT_TIMEOUT_MS: u64 = 3_600_000;

/// Longest time for which a target can ask for no further requests; a longer one is reduced to it, so that
/// a malformed value does not take the target out of service for good.
const MAX_RETRY_AFTER_S: f64 = 3_600.0;

/// Maximum number of tokens of a prompt, a part of it or an answer; a larger one is reduced to it, so that
/// sums cannot overflow.
pub(super) const MAX_TOKENS: u64 = 1 << 32;

/// Maximum number of prompt parts that are used for the placement; further ones are ignored.
const MAX_PARTS: usize = 64;

/// Hop-by-hop headers, which apply to one connection only and are not forwarded.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Headers that decide for whom, where and from which point a request runs. A request with two of one is invalid: this
/// program would go by the first one, and a target might go by the other.
const SINGLE_HEADERS: [&str; 6] = [
    "host",
    "authorization",
    ATTEMPT_ID,
    MODEL,
    TOKEN_COUNT,
    LAST_EVENT_ID,
];

/// Decodes the head of a client's request. The error states which header is invalid.
pub fn decode_request(head: &Parts) -> Result<RelayHead, String> {
    let headers = &head.headers;
    for name in SINGLE_HEADERS {
        if headers.get_all(name).iter().nth(1).is_some() {
            return Err(format!("the header {name} occurs more than once"));
        }
    }
    // Targets get the body without its transfer coding, and would take one that is still coded for the body.
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_known = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    };
    if !is_known {
        return Err("the transfer coding of the body is not known".to_owned());
    }
    let id = text(headers, ATTEMPT_ID).filter(|id| !id.is_empty());
    let id = id.ok_or_else(|| format!("the header {ATTEMPT_ID} is missing"))?;
    let host = match head.uri.authority() {
        Some(authority) => authority.as_str().to_owned(),
        None => headers
            .get(HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
    };
    let client_timeout = match text(headers, DEADLINE_MS) {
        Some(value) => Some(decode_ms(value)?),
        None => None,
    };
    Ok(RelayHead {
        id: id.into(),
        host,
        key: decode_key(headers),
        client_timeout,
        prompt: decode_prompt(headers)?,
        last_event: text(headers, LAST_EVENT_ID).and_then(|value| value.trim().parse().ok()),
    })
}

fn decode_ms(value: &str) -> Result<Duration, String> {
    let ms: f64 = value
        .trim()
        .parse()
        .ok()
        .filter(|ms: &f64| ms.is_finite() && *ms >= 0.0)
        .ok_or_else(|| format!("the header {DEADLINE_MS} is not a number"))?;
    Ok(Duration::from_secs_f64(
        ms.min(MAX_CLIENT_TIMEOUT_MS as f64) / 1000.0,
    ))
}

/// Decodes a number of seconds, which may have fractions. Dates are not used on this platform.
fn decode_retry_after(value: &str) -> Option<Duration> {
    let seconds: f64 = value.trim().parse().ok()?;
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER_S)))
}

fn decode_key(headers: &HeaderMap) -> Option<std::sync::Arc<str>> {
    let (scheme, key) = text(headers, AUTHORIZATION.as_str())?.split_once(' ')?;
    let is_bearer = scheme.eq_ignore_ascii_case("bearer");
    is_bearer.then(|| sha256_hex(key.trim().as_bytes()).into())
}

fn decode_prompt(headers: &HeaderMap) -> Result<Option<PromptHead>, String> {
    let (Some(model), Some(counts)) = (text(headers, MODEL), text(headers, TOKEN_COUNT)) else {
        return Ok(None);
    };
    let malformed = || format!("the header {TOKEN_COUNT} is not two numbers");
    let (prompt, output) = counts.split_once(',').ok_or_else(malformed)?;
    let number = |text: &str| match text.trim().parse::<u64>() {
        Ok(tokens) => Ok(tokens.min(MAX_TOKENS)),
        Err(_) => Err(malformed()),
    };
    let mut parts = Vec::new();
    for part in text(headers, PROMPT_PARTS).unwrap_or_default().split(',') {
        let Some((name, tokens)) = part.trim().split_once(':') else {
            continue;
        };
        if let (Ok(tokens), true) = (tokens.parse::<u64>(), parts.len() < MAX_PARTS) {
            parts.push(PromptPart {
                name: name.into(),
                hash: part_hash(name),
                tokens: tokens.min(MAX_TOKENS),
            });
        }
    }
    Ok(Some(PromptHead {
        model: model.into(),
        prompt_tokens: number(prompt)?,
        max_output_tokens: number(output)?,
        parts,
    }))
}

/// Computes the hash that identifies a prompt part, from the part's name.
pub(super) fn part_hash(name: &str) -> u64 {
    stable_hash(0, name.as_bytes())
}

/// Returns the headers of a request to a target: the client's headers, without hop-by-hop headers, the
/// client's key and the headers that only this program sets, and with the headers for this attempt.
pub fn encode_request(client: &HeaderMap, attempt: &AttemptHead) -> HeaderMap {
    let mut headers = client.clone();
    for name in CONNECTION_HEADERS.iter().chain(&RESERVED) {
        headers.remove(*name);
    }
    headers.remove(AUTHORIZATION);
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::try_from(value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(EXPECT_TARGET, attempt.target.to_string());
    set(DEADLINE_MS, attempt.remaining.as_millis().to_string());
    if let Some(workspace) = &attempt.workspace {
        set(WORKSPACE, workspace.to_string());
    }
    if let Some(engine) = &attempt.engine {
        set(CACHE_SALT, engine.cache_salt.clone());
        set(PRIORITY, engine.priority.to_string());
        if let Some(source) = engine.fetch_from {
            set(KV_FETCH, source.to_string());
        }
        if let Some(store) = engine.save_to {
            set(KV_SAVE, store.to_string());
        }
        if let Some(weights) = engine.weights {
            set(EXPECT_WEIGHTS, weights.to_string());
        }
    }
    if let Some(event) = attempt.last_event {
        set(LAST_EVENT_ID, event.to_string());
    }
    headers
}

/// Decodes a percentage, which may have fractions. Values that are too large for the result are reduced
/// to its largest one.
fn decode_pace(value: &str) -> ReportedPace {
    match value.trim().parse::<f64>() {
        Ok(percent) if percent.is_finite() && percent >= 0.0 => {
            ReportedPace::Permille((percent * 10.0).round() as u32)
        }
        _ => ReportedPace::Malformed,
    }
}

/// Decodes the head of a target's response.
pub fn decode_response_head(status: u16, headers: &HeaderMap) -> ResponseHead {
    let load = text(headers, TARGET_LOAD).and_then(|value| {
        let mut numbers = value.split(',').map(|number| number.trim().parse().ok());
        Some((numbers.next()??, numbers.next()??, numbers.next()??))
    });
    let pace = text(headers, TARGET_LOAD).and_then(|value| value.split(',').nth(3));
    ResponseHead {
        status,
        request_id: text(headers, ATTEMPT_ID).map(str::to_owned),
        is_signed: headers.contains_key(RESPONSE_SIGNATURE),
        is_not_run: headers.contains_key(NOT_RUN),
        retry_after: text(headers, RETRY_AFTER.as_str())
            .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
            .and_then(decode_retry_after),
        is_leaving: text(headers, LEAVING).is_some_and(|value| value.trim() == "1"),
        target: text(headers, TARGET_ID).map(str::to_owned),
        load,
        pace: pace.map_or(ReportedPace::Missing, decode_pace),
        weights: text(headers, WEIGHTS).and_then(|value| value.trim().parse().ok()),
    }
}

/// Whether a header is a hop-by-hop header, which is not forwarded to the client.
pub fn is_connection_header(name: &HeaderName) -> bool {
    CONNECTION_HEADERS.contains(&name.as_str())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
