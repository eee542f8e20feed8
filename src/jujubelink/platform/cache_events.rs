//! Changes of what a store of KV cache holds.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use serde::Deserialize;

use super::names::{CACHE_EVENTS_PATH, WAIT_MS};
use super::request::part_hash;
use crate::core::kvcache::{PartChange, StoreChanges, StoredPart};
use crate::util::http::{Client, empty};

/// Largest answer.
const MAX_NEWS_BYTES: usize = 256 * 1024;

/// An event: number, `+` or `-`, salt, part, tokens held now, model.
type Event = (u64, String, String, String, u64, String);

#[derive(Deserialize)]
struct Events {
    /// Changes with each start of the store.
    boot_epoch: u64,
    next: u64,
    #[serde(default)]
    events: Vec<Event>,
}

/// Answer to the question for changes.
#[derive(Debug, PartialEq, Eq)]
pub enum CacheEventsResponse {
    /// Changes since the position that was named.
    Changes(StoreChanges),
    /// The store answers, but too many ask at once.
    Busy,
    /// No usable answer.
    Failed,
}

/// Asks for the changes since `position`. The store waits up to `wait` until there are some.
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
    let answer = client.call(address, request, timeout, MAX_NEWS_BYTES);
    match answer.await {
        Ok((StatusCode::OK, body)) => decode_cache_events(&body)
            .map_or(CacheEventsResponse::Failed, CacheEventsResponse::Changes),
        Ok((StatusCode::TOO_MANY_REQUESTS, _)) => CacheEventsResponse::Busy,
        _ => CacheEventsResponse::Failed,
    }
}

/// Decodes an answer; `None` if it is not one.
pub fn decode_cache_events(body: &[u8]) -> Option<StoreChanges> {
    let events: Events = serde_json::from_slice(body).ok()?;
    let changes = events.events.into_iter().map(change);
    Some(StoreChanges {
        run: events.boot_epoch,
        next: events.next,
        changes: changes.collect(),
    })
}

/// A removal may leave the first tokens of a part; they count as nothing, since the rest is read
/// again.
fn change((number, sign, salt, part, tokens, model): Event) -> PartChange {
    PartChange {
        number,
        part: StoredPart::new(&salt, &model, part_hash(&part)),
        tokens: if sign == "+" { tokens } else { 0 },
    }
}
