//! Messages on roll-outs: to whom they go, what they contain, and how received ones are applied.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::Canary;
use super::message::{RolloutMessage, RolloutsMessage, ShareMessage};
use crate::core::canary::Share;
use crate::core::fleet::MessageSchedule;
use crate::core::ids::{Incarnation, InstanceId, Timestamp};
use crate::util::duration::ms;
use crate::util::hash::stable_hash;

/// Largest number of instances that are told of a stop at once. In a larger fleet the others learn it from the
/// regular messages, which pass it on.
const MAX_STOP_MESSAGES: usize = 100;

/// Instances, first in the order of [`Peers::rank`], that get reports beside the lease holder, as they may take
/// the lease over.
///
/// [`Peers::rank`]: crate::ops::share::Peers::rank
const MAX_LEASE_CANDIDATES: usize = 3;

/// The same in a large fleet, where the counts reach the next holder with the first reports after its shares.
const LARGE_FLEET_LEASE_CANDIDATES: usize = 1;

/// Maximum number of orders without a decision whose evidence a message contains, so that it fits a datagram.
/// Further ones take turns.
const MAX_REPORTED_ORDERS: usize = 8;

/// Maximum number of decided orders that a message contains. Further ones take turns, so that messages stay
/// small after many roll-outs.
const MAX_DECIDED_ORDERS: usize = 8;

/// The part on roll-outs of the messages of one round.
#[derive(Debug, Default)]
pub(crate) struct RoundMessages {
    /// Content of all messages: orders, shares and stops.
    pub(crate) brief: Option<RolloutsMessage>,
    /// The same with the evidence of this instance.
    pub(crate) report: Option<RolloutsMessage>,
    /// Addresses that get the evidence.
    pub(crate) reported_to: BTreeSet<SocketAddr>,
    /// Address that is asked for a share.
    pub(crate) asked: Option<SocketAddr>,
    /// All addresses that get a message in this round.
    pub(crate) addresses: BTreeSet<SocketAddr>,
}

impl Canary {
    /// Returns the messages of a round: shares of the holder to all instances, or to those that pass them on;
    /// reports to the holder and to those that may become it; answers to instances that asked for a share; and
    /// a stop to all.
    pub(crate) fn round_messages(&self, round: u64) -> RoundMessages {
        if !self.is_enabled() {
            return RoundMessages::default();
        }
        let mut messages = RoundMessages {
            brief: Some(self.outgoing(false)),
            addresses: self.asking.take(),
            ..RoundMessages::default()
        };
        if self.work_since.get().is_none() {
            messages.addresses.clear();
            return messages;
        }
        if let Some(left) = self.stop_rounds.get().checked_sub(1) {
            self.stop_rounds.set(left);
            let all = self.peers.first_addresses(None, MAX_STOP_MESSAGES);
            messages.addresses.extend(all);
        }
        let routes = self.routes();
        let seed = stable_hash(0, self.peers.name().as_bytes());
        if !self.steps.borrow().is_empty() {
            let interval = routes.call_interval();
            if MessageSchedule::is_due(interval, round, 0, seed) {
                messages.addresses.extend(match routes.is_direct() {
                    true => self.peers.addresses_in_round(interval, round),
                    false => self.peers.first_addresses(None, routes.relays()),
                });
            }
            return messages;
        }
        // An instance without a share asks again at once, as a message may be lost or a relay gone.
        let is_without = !routes.is_direct() && !self.has_share();
        if !MessageSchedule::is_due(routes.interval(), round, 0, seed) && !is_without {
            return messages;
        }
        let holder = self.holder.borrow();
        let holder = holder.as_ref().map(|(_, name)| name);
        let candidates = match routes.is_direct() || holder.is_none() {
            true => MAX_LEASE_CANDIDATES,
            false => LARGE_FLEET_LEASE_CANDIDATES,
        };
        messages.report = Some(self.outgoing(true));
        messages.reported_to = self.peers.first_addresses(holder, candidates);
        messages.addresses.extend(&messages.reported_to);
        if is_without {
            self.missed_shares.set(self.missed_shares.get() + 1);
        }
        messages.asked = match routes.relay(self.peers.rank(), seed, self.missed_shares.get()) {
            _ if routes.is_direct() => None,
            Some(place) => self.peers.address_at(place),
            None => holder.and_then(|name| self.peers.address_of(name)),
        };
        messages.addresses.extend(messages.asked);
        messages
    }

    fn has_share(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        let services = state.open_services();
        services
            .iter()
            .any(|service| state.share(service, now).is_some())
    }

    /// Returns the part of a message on roll-outs.
    fn outgoing(&self, has_reports: bool) -> RolloutsMessage {
        let now = self.now();
        let state = self.state.borrow();
        let (open, decided): (Vec<_>, Vec<_>) =
            state.records(now).partition(|(record, _)| record.is_open());
        // The turns start at random, as those in order could skip the same instance each time.
        let turn = usize::from(rand::random::<u16>());
        let is_in_turn =
            |index: usize, count: usize, maximum: usize| (index + turn) % count.max(1) < maximum;
        let is_reported = |index| has_reports && is_in_turn(index, open.len(), MAX_REPORTED_ORDERS);
        let open = open.iter().enumerate().map(|(index, (record, age))| {
            let service = &record.order.service;
            let report = state.report(service, now).filter(|_| is_reported(index));
            let is_stopped = state.is_stopped(service);
            RolloutMessage::new(
                record,
                *age,
                is_stopped,
                report,
                self.outgoing_share(service, now),
            )
        });
        let count = decided.len();
        let decided = decided.iter().enumerate();
        let decided = decided
            .filter(|(index, _)| is_in_turn(*index, count, MAX_DECIDED_ORDERS))
            .map(|(_, (record, age))| RolloutMessage::new(record, *age, false, None, None));
        RolloutsMessage {
            rollouts: open.chain(decided).collect(),
            read_age_ms: self.read_age().map(ms),
            wants_share: false,
        }
    }

    /// Returns the share that this instance gives as the holder, or passes on with the time that remains. The
    /// receiver counts that time from an earlier moment, so that its share never ends later.
    fn outgoing_share(&self, service: &str, now: Timestamp) -> Option<ShareMessage> {
        if let Some((epoch, phase)) = self.steps.borrow().get(service) {
            return ShareMessage::new(*epoch, *phase, self.share_term(), "");
        }
        let holder = self.holder.borrow();
        let (epoch, holder) = holder.as_ref().filter(|_| !self.routes().is_direct())?;
        let share = self.state.borrow().share(service, now)?;
        let remaining = share.until.saturating_sub(now);
        (share.epoch == *epoch)
            .then(|| ShareMessage::new(share.epoch, share.phase, remaining, holder))?
    }

    /// Applies the part of a message. `echoed` is when this instance sent the message that it confirms, from
    /// which shares and ages count: a message that was delayed, or read late, never extends a share.
    pub(crate) fn on_message(
        &self,
        from: (&InstanceId, Incarnation),
        address: SocketAddr,
        message: &RolloutsMessage,
        echoed: Option<Timestamp>,
    ) {
        if !self.is_enabled() {
            return;
        }
        let now = self.now();
        if let (Some(echoed), Some(age_ms)) = (echoed, message.read_age_ms)
            && let Some(at) = echoed.checked_sub(Duration::from_millis(age_ms))
        {
            self.record_read(at);
        }
        let can_answer = || !self.steps.borrow().is_empty() || self.has_share();
        if message.wants_share && can_answer() {
            self.asking.borrow_mut().insert(address);
        }
        let mut state = self.state.borrow_mut();
        for rollout in &message.rollouts {
            let Some(record) = rollout.record() else {
                continue;
            };
            state.on_record(record, Duration::from_millis(rollout.age_ms), now);
            let order = (&*rollout.target, rollout.revision);
            if let Some(report) = rollout.report() {
                state.on_report(&rollout.service, order, from, report, now);
            }
            if rollout.is_stopped {
                state.on_stop(&rollout.service, order.0, order.1);
            }
            let Some(share) = &rollout.share else {
                continue;
            };
            if let (Some(phase), Some(echoed)) = (share.phase(), echoed) {
                let given = Share {
                    epoch: share.epoch,
                    phase,
                    until: echoed + Duration::from_millis(share.term_ms),
                };
                state.on_share(&rollout.service, &rollout.target, given, now);
                let name = match share.holder.is_empty() {
                    true => from.0.clone(),
                    false => share.holder.as_str().into(),
                };
                let mut holder = self.holder.borrow_mut();
                let known = holder.as_ref().map_or(0, |(epoch, _)| *epoch);
                if share.epoch >= known {
                    *holder = Some((share.epoch, name));
                }
            }
        }
        drop(state);
        self.log_news();
    }
}
