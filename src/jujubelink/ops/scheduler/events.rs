//! Reading of cache events from engines.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use serde::Deserialize;

use super::digests::DigestBuilder;
use super::service::SchedulerState;
use crate::core::config::TargetKind;
use crate::core::ids::{Fingerprint, Incarnation, TargetId, Timestamp};
use crate::core::routing::rendezvous_score;
use crate::ops::services::{GossipService, MemberService, MemberState};
use crate::util::hash::stable_hash;
use crate::util::http::{RequestOptions, collect_limited, empty};

/// Rate limit for the cache events that an instance reads. A target whose events exceed it is not
/// read for `UNAVAILABLE_BACKOFF`; its cached estimate then relies on responses and the observed
/// lifetime of blocks.
pub const EVENT_BYTES_PER_S: f64 = 3000.0;

/// Burst size of the rate limit.
const MAX_BURST_BYTES: f64 = 64_000.0;

/// Backoff for a target whose events exceed the rate limit or that provides none.
const UNAVAILABLE_BACKOFF: Duration = Duration::from_secs(60);

const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Interval at which the assignment of targets to instances is checked and digests are sent.
const ASSIGNMENT_CHECK_PERIOD: Duration = Duration::from_secs(1);

const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// A target that returns a larger page is not read for [`UNAVAILABLE_BACKOFF`].
const MAX_PAGE_BYTES: usize = 1 << 20;

/// Response of `GET /v1/cache/events`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct EventPage {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// First sequence number that the page covers. It is larger than the requested one if events
    /// were lost.
    pub first: u64,
    /// Sequence number to request next.
    pub next: u64,
    /// Changes of the cache, in sequence.
    #[serde(default)]
    pub events: Vec<CacheEvent>,
}

impl EventPage {
    /// Whether events between `first` and `next` are missing.
    pub fn has_gap(&self) -> bool {
        let covered = (self.first..self.next).map(Some);
        let present = self.events.iter().map(|event| Some(event.seq));
        !covered.eq(present)
    }
}

/// A change of an engine's cache.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    pub seq: u64,
    pub kind: CacheEventKind,
    /// Fingerprint of the prefix that the block ends.
    pub fingerprint: Fingerprint,
}

/// Kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block is now cached.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// Read state of one target.
#[derive(Debug, Clone, Copy, Default)]
struct ReadPosition {
    incarnation: Incarnation,
    /// Next sequence number, or `None` before the first page.
    next: Option<u64>,
    backoff_until: Timestamp,
    is_reading: bool,
}

struct ByteBudget {
    available_bytes: f64,
    updated: Timestamp,
}

/// Reads the cache events of all targets assigned to this instance.
pub(super) struct EventReaders {
    state: Rc<SchedulerState>,
    positions: RefCell<HashMap<TargetId, ReadPosition>>,
    digests: RefCell<DigestBuilder>,
    budget: RefCell<ByteBudget>,
}

impl EventReaders {
    pub(super) fn new(state: &Rc<SchedulerState>) -> Rc<Self> {
        Rc::new(Self {
            state: Rc::clone(state),
            positions: RefCell::default(),
            digests: RefCell::default(),
            budget: RefCell::new(ByteBudget {
                available_bytes: MAX_BURST_BYTES,
                updated: Timestamp::ZERO,
            }),
        })
    }

    /// Starts reads that are due and sends digests, periodically.
    pub(super) async fn run(self: Rc<Self>) {
        let mut interval = self
            .state
            .context
            .timers()
            .interval(ASSIGNMENT_CHECK_PERIOD);
        loop {
            interval.tick().await;
            self.start_due_reads();
            self.send_digests();
        }
    }

    fn start_due_reads(self: &Rc<Self>) {
        let assigned = self.assigned_targets();
        let now = self.state.now();
        let mut positions = self.positions.borrow_mut();
        positions.retain(|target, position| position.is_reading || assigned.contains(target));
        for target in assigned {
            let position = positions.entry(target.clone()).or_default();
            if position.is_reading || now < position.backoff_until {
                continue;
            }
            position.is_reading = true;
            let readers = Rc::clone(self);
            compio::runtime::spawn(async move { readers.read_while_due(&target).await }).detach();
        }
    }

    /// Returns the engines assigned to this instance by rendezvous hashing over the alive
    /// instances.
    fn assigned_targets(&self) -> Vec<TargetId> {
        let Some(config) = self.state.config() else {
            return Vec::new();
        };
        let service = self.state.context.service::<dyn MemberService>();
        let local = stable_hash(0, service.self_id().as_bytes());
        let others: Vec<_> = service
            .members()
            .iter()
            .filter(|member| member.state == MemberState::Alive)
            .map(|member| stable_hash(0, member.instance.as_bytes()))
            .collect();
        let engines = config.fleet.targets.iter();
        engines
            .filter(|(_, target)| target.kind == TargetKind::Engine)
            .filter(|(id, _)| {
                let target_hash = stable_hash(0, id.as_bytes());
                let local_score = rendezvous_score(target_hash, local);
                others
                    .iter()
                    .all(|other| rendezvous_score(target_hash, *other) < local_score)
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    async fn read_while_due(&self, target: &TargetId) {
        let backoff = loop {
            match self.read(target).await {
                Ok(bytes) if self.consume_budget(bytes) => {}
                Ok(_) => break UNAVAILABLE_BACKOFF,
                Err(error) => {
                    self.state.warn("cannot read cache events", target, &error);
                    break error.backoff();
                }
            }
            if !self.assigned_targets().contains(target) {
                break Duration::ZERO;
            }
        };
        let backoff_until = self.state.now() + backoff;
        let mut positions = self.positions.borrow_mut();
        if let Some(position) = positions.get_mut(target) {
            position.is_reading = false;
            position.backoff_until = backoff_until;
            if backoff >= UNAVAILABLE_BACKOFF {
                // Reading restarts at the engine's current position.
                position.next = None;
            }
        }
    }

    fn consume_budget(&self, bytes: usize) -> bool {
        let mut budget = self.budget.borrow_mut();
        let now = self.state.now();
        let elapsed_s = now.saturating_sub(budget.updated).as_secs_f64();
        let available = budget.available_bytes + elapsed_s * EVENT_BYTES_PER_S;
        budget.available_bytes = available.min(MAX_BURST_BYTES) - bytes as f64;
        budget.updated = now;
        budget.available_bytes > 0.0
    }

    async fn read(&self, target: &TargetId) -> Result<usize, ReadError> {
        let address = self.state.address(target).ok_or(ReadError::Unsupported)?;
        let after = self
            .positions
            .borrow()
            .get(target)
            .and_then(|position| position.next)
            .unwrap_or(0);
        let wait_ms = LONG_POLL_TIMEOUT.as_millis();
        let request = Request::get(format!(
            "/v1/cache/events?after={after}&timeout_ms={wait_ms}"
        ))
        .header("host", address.to_string())
        .body(empty())
        .map_err(|_| ReadError::Unsupported)?;
        let read = async {
            let options = RequestOptions::default();
            let response = self.state.client.send(address, request, options).await;
            let response = response.map_err(|_| ReadError::ConnectionLost)?;
            if !response.status().is_success() {
                return Err(ReadError::Unsupported);
            }
            let body = collect_limited(response.into_body(), MAX_PAGE_BYTES).await;
            body.map_err(|_| ReadError::ConnectionLost)?
                .ok_or(ReadError::PageTooLarge)
        };
        let timeout = LONG_POLL_TIMEOUT + Duration::from_secs(2);
        let timers = self.state.context.timers();
        let body = timers.timeout(timeout, read).await;
        let body = body.unwrap_or(Err(ReadError::ConnectionLost))?;
        let page: EventPage = serde_json::from_slice(&body).map_err(|_| ReadError::Unsupported)?;
        self.apply_page(target, &page);
        Ok(body.len())
    }

    /// Applies a page to the router. If events were lost, the cached estimate of the target is
    /// discarded.
    fn apply_page(&self, target: &TargetId, page: &EventPage) {
        let now = self.state.now();
        let mut positions = self.positions.borrow_mut();
        let Some(position) = positions.get_mut(target) else {
            return;
        };
        let is_same_incarnation = position.incarnation == page.incarnation;
        let skips_events = position.next.is_some_and(|next| page.first > next);
        let has_gap = is_same_incarnation && (skips_events || page.has_gap());
        position.incarnation = page.incarnation;
        position.next = Some(page.next);
        drop(positions);
        let mut scheduler = self.state.scheduler.borrow_mut();
        let router = scheduler.router_mut();
        let Some(index) = router.targets().index(target) else {
            return;
        };
        router
            .targets_mut()
            .get_mut(index)
            .set_incarnation(page.incarnation);
        if has_gap {
            self.state
                .context
                .metrics()
                .count("scheduler.event_gaps", 1);
            router.on_event_gap(index);
        }
        let mut digests = self.digests.borrow_mut();
        for event in &page.events {
            let is_stored = event.kind == CacheEventKind::Stored;
            router.on_cache_event(index, event.fingerprint, is_stored, now);
            if router.is_hot(event.fingerprint) {
                digests.add(target, page.incarnation, event.fingerprint, is_stored);
            }
        }
    }

    fn send_digests(&self) {
        let members = self.state.context.service::<dyn MemberService>();
        let instances = members.members().len() + 1;
        let now = self.state.now();
        let items = self.digests.borrow_mut().take(instances, now);
        let gossip = self.state.context.service::<dyn GossipService>();
        for item in items {
            gossip.publish(item);
        }
    }
}

/// Failure to read a page of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
enum ReadError {
    #[display("the connection failed")]
    ConnectionLost,
    #[display("the page is too large")]
    PageTooLarge,
    #[display("the target provides no cache events")]
    Unsupported,
}

impl ReadError {
    fn backoff(self) -> Duration {
        match self {
            Self::ConnectionLost => RETRY_DELAY,
            Self::PageTooLarge | Self::Unsupported => UNAVAILABLE_BACKOFF,
        }
    }
}
