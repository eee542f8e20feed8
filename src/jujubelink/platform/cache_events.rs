//! Changes to the contents of KV cache stores.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::names::{CACHE_EVENTS_PATH, WAIT_MS};
use super::objects::decode_text;
use super::request::{MAX_TOKENS, part_hash};
use crate::core::kvcache::{PartChange, StoreChanges, StoredPart};
use crate::util::http::{Client, empty};

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// An event: sequence number, `+` (stored) or `-` (evicted), salt, name of the prompt part, number of
/// its tokens stored now, model.
type Event = (u64, String, String, String, u64, String);

/// Response to a poll. Events are decoded each on its own, so that one that is invalid does not affect
/// the others.
#[derive(Deserialize)]
struct Events<'a> {
    /// Incarnation of the store; changes with each start.
    boot_epoch: u64,
    /// Sequence number from which to continue with the next poll.
    next: u64,
    #[serde(borrow, default)]
    events: Vec<&'a RawValue>,
}

/// Outcome of a poll for changes.
#[derive(Debug, PartialEq, Eq)]
pub enum CacheEventsResponse {
    /// Changes since the requested position.
    Changes(StoreChanges),
    /// The store responds, but has too many concurrent polls.
    Busy,
    /// No response, or an invalid one.
    Failed,
}

/// Requests the changes since `position` by a long poll. The store responds once there are changes,
/// and at the latest after `wait`.
pub async fn read_cache_events(
    client: &Client,
    address: SocketAddr,
    position: u64,
    wait: Duration,
    timeout: Duration,
) -> CacheEventsResponse {
    let request = Request::builder()
        .uri(format!("{CACHE_EVENTS_PATH}?since={position}"))
        .header("host", address.to_string())
        .header(WAIT_MS, wait.as_millis().to_string())
        .body(empty());
    let Ok(request) = request else {
        return CacheEventsResponse::Failed;
    };
    let response = client.call(address, request, timeout, MAX_RESPONSE_BYTES);
    match response.await {
        Ok((StatusCode::OK, body)) => decode_cache_events(&body)
            .map_or(CacheEventsResponse::Failed, CacheEventsResponse::Changes),
        Ok((StatusCode::TOO_MANY_REQUESTS, _)) => CacheEventsResponse::Busy,
        _ => CacheEventsResponse::Failed,
    }
}

/// Decodes a response to a poll. Returns `None` if it is invalid. Invalid events are left out, as if
/// they had never arrived.
pub fn decode_cache_events(body: &[u8]) -> Option<StoreChanges> {
    let text = decode_text(body);
    let events: Events<'_> = serde_json::from_str(&text).ok()?;
    let events_read = events.events.into_iter();
    let changes = events_read
        .filter_map(|event| serde_json::from_str(event.get()).ok())
        .map(decode_event);
    Some(StoreChanges {
        run: events.boot_epoch,
        next: events.next,
        changes: changes.collect(),
    })
}

/// Decodes an event. After an eviction the first tokens of a part may remain stored; they are
/// ignored, since the engine has to compute the rest anyway.
fn decode_event((number, sign, salt, part, tokens, model): Event) -> PartChange {
    PartChange {
        number,
        part: StoredPart::new(&salt, &model, part_hash(&part)),
        tokens: if sign == "+" {
            tokens.min(MAX_TOKENS)
        } else {
            0
        },
    }
}
