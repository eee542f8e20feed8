//! Implements [`GossipService`]: distribution of quarantine entries and of digests of cached
//! prefixes.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use jujubelink_proto::spread as proto;

use super::calls::{self, CALL_TIMEOUT};
use super::push::{random_members, record_failure};
use super::server::Components;
use crate::core::ids::InstanceId;
use crate::core::spread::{DigestRelay, PUSH_FANOUT, QuarantineSet, SequencedDigest};
use crate::ops::kernel::Context;
use crate::ops::services::{
    ConfigService, GossipHandler, GossipItem, GossipService, Member, MemberService,
};

/// Time between two sends of queued items.
const FLUSH_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two maintenance runs.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of queued quarantine entries. Further entries are not pushed, but instances that
/// fetch the configuration still receive them.
const MAX_QUEUED_QUARANTINE_ENTRIES: usize = 256;

#[derive(Default)]
struct Outbox {
    quarantine: Vec<proto::QuarantineEntry>,
    digests: DigestRelay,
}

/// Gossip state of this instance.
pub(super) struct GossipState {
    context: Context,
    handlers: RefCell<Vec<GossipHandler>>,
    quarantine: RefCell<QuarantineSet>,
    outbox: RefCell<Outbox>,
}

impl GossipState {
    pub(super) fn new(context: &Context) -> Self {
        Self {
            context: context.clone(),
            handlers: RefCell::default(),
            quarantine: RefCell::default(),
            outbox: RefCell::default(),
        }
    }

    /// Returns the current quarantine entries, for an instance that fetches the state.
    pub(super) fn quarantine(&self) -> Vec<proto::QuarantineEntry> {
        let now = self.context.timers().now();
        let quarantine = self.quarantine.borrow();
        let entries = quarantine.current(now);
        entries
            .map(|(fingerprint, crashes, remaining)| to_entry(fingerprint, crashes, remaining))
            .collect()
    }

    /// Merges quarantine entries of another instance. New ones are dispatched to subscribers and
    /// queued for other members.
    pub(super) fn on_quarantine(&self, entries: &[proto::QuarantineEntry]) {
        for entry in entries {
            let remaining = Duration::from_millis(u64::from(entry.remaining_ms));
            if self.record_quarantine(entry.fingerprint, entry.crashes, remaining) {
                self.dispatch(&GossipItem::Quarantine {
                    fingerprint: entry.fingerprint,
                    crashes: entry.crashes,
                    remaining,
                });
            }
        }
    }

    /// Merges digests of other instances. New ones are dispatched to subscribers and queued for
    /// other members.
    pub(super) fn on_digests(&self, digests: Vec<proto::Digest>) {
        for digest in digests.into_iter().map(from_digest) {
            let is_local = *digest.origin == *self.local_id();
            if !is_local && self.outbox.borrow_mut().digests.on_received(&digest) {
                self.dispatch(&GossipItem::Digest {
                    target: digest.target,
                    incarnation: digest.incarnation,
                    stored: digest.stored,
                    evicted: digest.evicted,
                });
            }
        }
    }

    /// Removes the state of digest origins that are not members, and returns the total number of
    /// dropped digests.
    fn maintain(&self, members: &[Member]) -> u64 {
        let member_ids: BTreeSet<&InstanceId> =
            members.iter().map(|member| &member.instance).collect();
        let digests = &mut self.outbox.borrow_mut().digests;
        digests.retain_origins(|origin| member_ids.contains(origin));
        digests.dropped()
    }

    fn local_id(&self) -> InstanceId {
        self.context.service::<dyn MemberService>().self_id()
    }

    fn record_quarantine(&self, fingerprint: u64, crashes: u32, remaining: Duration) -> bool {
        let now = self.context.timers().now();
        let mut quarantine = self.quarantine.borrow_mut();
        let is_new = quarantine.merge(fingerprint, crashes, remaining, now);
        let mut outbox = self.outbox.borrow_mut();
        if is_new && outbox.quarantine.len() < MAX_QUEUED_QUARANTINE_ENTRIES {
            let entry = to_entry(fingerprint, crashes, remaining);
            outbox.quarantine.push(entry);
        }
        is_new
    }

    fn dispatch(&self, item: &GossipItem) {
        let handlers = self.handlers.borrow().clone();
        for handler in handlers {
            handler(item);
        }
    }
}

impl GossipService for GossipState {
    fn publish(&self, item: GossipItem) {
        match item {
            GossipItem::Quarantine {
                fingerprint,
                crashes,
                remaining,
            } => {
                self.record_quarantine(fingerprint, crashes, remaining);
            }
            GossipItem::Digest {
                target,
                incarnation,
                stored,
                evicted,
            } => {
                let digest = SequencedDigest {
                    origin: self.local_id(),
                    origin_incarnation: self.context.incarnation(),
                    sequence: 0,
                    target,
                    incarnation,
                    stored,
                    evicted,
                };
                self.outbox.borrow_mut().digests.publish(digest);
            }
        }
    }

    fn subscribe(&self, handler: GossipHandler) {
        self.handlers.borrow_mut().push(handler);
    }
}

/// Removes outdated digests and reports metrics periodically.
pub(super) async fn maintain(components: Rc<Components>) {
    let mut interval = components.context.timers().interval(MAINTENANCE_INTERVAL);
    let mut dropped_before = 0;
    loop {
        interval.tick().await;
        let dropped = components.gossip.maintain(&components.members.members());
        let metrics = components.context.metrics();
        metrics.count("spread.digests_dropped", dropped - dropped_before);
        metrics.gauge(
            "config.unwritten_revocations",
            components.state.unwritten_revocations() as u64,
        );
        dropped_before = dropped;
    }
}

/// Sends queued items to random members periodically; digests are limited to their byte budget.
pub(super) async fn flush(components: Rc<Components>) {
    let mut interval = components.context.timers().interval(FLUSH_INTERVAL);
    loop {
        interval.tick().await;
        let entries = std::mem::take(&mut components.gossip.outbox.borrow_mut().quarantine);
        if !entries.is_empty() {
            push_quarantine(&components, entries);
        }
        let receivers = random_members(&components.members, PUSH_FANOUT);
        let now = components.context.timers().now();
        let digests = {
            let mut outbox = components.gossip.outbox.borrow_mut();
            outbox.digests.take_to_send(receivers.len() as u64, now)
        };
        if digests.is_empty() || receivers.is_empty() {
            continue;
        }
        let digests: Vec<_> = digests.iter().map(to_digest).collect();
        for address in receivers {
            let (components, digests) = (Rc::clone(&components), digests.clone());
            compio::runtime::spawn(async move {
                let mut client = calls::client(&components.context, address);
                let call = client.push_digest(proto::PushDigestRequest { digests });
                let result = calls::with_timeout(&components.context, CALL_TIMEOUT, call).await;
                record_failure(&components, "push of digests failed", result);
            })
            .detach();
        }
    }
}

fn push_quarantine(components: &Rc<Components>, entries: Vec<proto::QuarantineEntry>) {
    for address in random_members(&components.members, PUSH_FANOUT) {
        let (components, entries) = (Rc::clone(components), entries.clone());
        compio::runtime::spawn(async move {
            let mut client = calls::client(&components.context, address);
            let call = client.push_quarantine(proto::PushQuarantineRequest { entries });
            let result = calls::with_timeout(&components.context, CALL_TIMEOUT, call).await;
            record_failure(&components, "push of quarantine failed", result);
        })
        .detach();
    }
}

fn to_entry(fingerprint: u64, crashes: u32, remaining: Duration) -> proto::QuarantineEntry {
    proto::QuarantineEntry {
        fingerprint,
        crashes,
        remaining_ms: remaining.as_millis().try_into().unwrap_or(u32::MAX),
    }
}

fn to_digest(digest: &SequencedDigest) -> proto::Digest {
    proto::Digest {
        origin: digest.origin.to_string(),
        origin_incarnation: digest.origin_incarnation,
        sequence: digest.sequence,
        target: digest.target.to_string(),
        incarnation: digest.incarnation,
        stored: digest.stored.clone(),
        evicted: digest.evicted.clone(),
    }
}

fn from_digest(digest: proto::Digest) -> SequencedDigest {
    SequencedDigest {
        origin: digest.origin.into(),
        origin_incarnation: digest.origin_incarnation,
        sequence: digest.sequence,
        target: digest.target.into(),
        incarnation: digest.incarnation,
        stored: digest.stored,
        evicted: digest.evicted,
    }
}
