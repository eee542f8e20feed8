//! The failure detector.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::RngCore;

use super::broadcast::transmission_count;
use super::probe::{Probe, Relays};
use super::record::{ConfigSummary, Health, MemberRecord, Message, MessageKind, TargetRecord};
use super::table::{MemberEntry, Table};
use super::targets::TargetStates;
use crate::core::ids::{Incarnation, InstanceId, TargetId, Timestamp};

/// Time between probes.
pub(super) const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Time between extra pings to a suspect or dead member. The ping notifies a suspect of the
/// suspicion, and detects that a network partition has healed.
const UNRESPONSIVE_PROBE_PERIOD: Duration = Duration::from_secs(2);

/// Largest number of seed addresses from the settings and the platform's list; further ones are
/// ignored.
const MAX_SEEDS: usize = 1_024;

/// Shortest time from a suspicion to the declaration as dead. `log2` of the number of members is
/// added in seconds.
const MIN_SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// A longer gap between ticks means that the process was paused. Responses may have arrived during
/// the pause, so timeouts that elapsed in it are not counted against members.
const MAX_TICK_GAP: Duration = Duration::from_millis(700);

/// Time between fetches of a complete member list, and the same during startup. Incremental changes
/// alone take minutes when all instances start at once, because every instance sends each of them
/// `3 * log2(n)` times. A list of 380 members is about 25 KB.
const SYNC_PERIOD: Duration = Duration::from_secs(10);
const STARTUP_SYNC_PERIOD: Duration = Duration::from_secs(1);

/// Time after the start of the process during which [`STARTUP_SYNC_PERIOD`] applies.
const STARTUP_PERIOD: Duration = Duration::from_secs(60);

/// Number of members that are notified immediately when the local instance starts its planned stop
/// or has left.
const ANNOUNCE_FANOUT: usize = 4;

/// Identity of the local instance.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Peer address.
    pub instance: InstanceId,
    /// Random number that identifies this run.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Region.
    pub region: Arc<str>,
}

/// Action that the process has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: Message,
    },
    /// The record of a member changed.
    MemberChanged {
        /// New record.
        record: MemberRecord,
    },
    /// A member reported the state of its configuration.
    SummaryReceived {
        /// Member.
        instance: InstanceId,
        /// State of its configuration.
        summary: ConfigSummary,
    },
    /// The set of leaving targets changed.
    TargetsChanged,
    /// Fetch the complete member list of a member whose list differs, and pass it to
    /// [`Detector::import`].
    FetchMembers {
        /// Member.
        from: InstanceId,
    },
}

/// The failure detector and member table of one instance.
#[derive(Debug)]
pub struct Detector {
    pub(super) local: MemberRecord,
    pub(super) summary: ConfigSummary,
    pub(super) table: Table,
    pub(super) targets: TargetStates,
    pub(super) seeds: BTreeSet<InstanceId>,
    /// Members still to be probed in this round. Rounds in random order bound the time until each
    /// member is probed.
    pub(super) round: Vec<InstanceId>,
    pub(super) probe: Option<Probe>,
    relays: Relays,
    next_probe_at: Timestamp,
    next_unresponsive_probe_at: Timestamp,
    pub(super) next_seed_at: Timestamp,
    last_tick_at: Timestamp,
    last_received_at: Option<Timestamp>,
    started_at: Timestamp,
    next_sync_at: Timestamp,
}

impl Detector {
    /// Creates a detector without other members.
    pub fn new(identity: Identity, now: Timestamp) -> Self {
        Self {
            local: MemberRecord {
                instance: identity.instance,
                incarnation: identity.incarnation,
                refutation: 0,
                health: Health::Alive,
                is_leaving: false,
                failure_domain: identity.failure_domain,
                region: identity.region,
            },
            summary: ConfigSummary::default(),
            table: Table::default(),
            targets: TargetStates::default(),
            seeds: BTreeSet::new(),
            round: Vec::new(),
            probe: None,
            relays: Relays::default(),
            next_probe_at: now,
            next_unresponsive_probe_at: now,
            next_seed_at: now,
            last_tick_at: now,
            last_received_at: None,
            started_at: now,
            next_sync_at: now,
        }
    }

    /// Returns the record of the local instance.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// Returns all members except the local instance.
    pub fn members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.table.entries()
    }

    /// Returns the number of members that are alive or suspect, without the local instance.
    pub fn live_count(&self) -> usize {
        self.table.live().count()
    }

    /// Returns when a message was last received from any member.
    pub fn last_received_at(&self) -> Option<Timestamp> {
        self.last_received_at
    }

    /// Sets the state of the local configuration that messages carry.
    pub fn set_summary(&mut self, summary: ConfigSummary) {
        self.summary = summary;
    }

    /// Adds seed addresses, at which instances may be reachable.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = InstanceId>) {
        for seed in seeds {
            if seed != self.local.instance && self.seeds.len() < MAX_SEEDS {
                self.seeds.insert(seed);
            }
        }
    }

    /// Replaces the seed addresses.
    pub fn replace_seeds(&mut self, seeds: impl IntoIterator<Item = InstanceId>) {
        self.seeds.clear();
        self.add_seeds(seeds);
    }

    /// Marks the local instance as leaving, and notifies some members. Called at the start of a
    /// planned stop.
    pub fn announce_leaving(&mut self, rng: &mut dyn RngCore) -> Vec<Effect> {
        if self.local.is_leaving {
            return Vec::new();
        }
        self.local.is_leaving = true;
        self.local.refutation += 1;
        self.announce(rng)
    }

    /// Marks the local instance as dead, and notifies some members. Called at the end of a planned
    /// stop.
    pub fn announce_departure(&mut self, rng: &mut dyn RngCore) -> Vec<Effect> {
        self.local.is_leaving = true;
        self.local.health = Health::Dead;
        self.local.refutation += 1;
        self.announce(rng)
    }

    fn announce(&mut self, rng: &mut dyn RngCore) -> Vec<Effect> {
        let receivers = self.table.choose_live(ANNOUNCE_FANOUT, "", rng);
        let mut effects = Vec::new();
        for to in receivers {
            self.ping(to, rng, &mut effects);
        }
        effects
    }

    /// Records whether a target is leaving.
    pub fn set_target_leaving(
        &mut self,
        target: &TargetId,
        is_leaving: bool,
        now: Timestamp,
    ) -> Vec<Effect> {
        let send_count = self.transmission_count();
        match self.targets.set(target, is_leaving, send_count, now) {
            true => vec![Effect::TargetsChanged],
            false => Vec::new(),
        }
    }

    /// Removes the state of targets that are no longer configured.
    pub fn retain_targets(&mut self, is_configured: impl Fn(&TargetId) -> bool) {
        self.targets.retain(is_configured);
    }

    /// Returns the targets that are leaving.
    pub fn leaving_targets(&self) -> BTreeSet<TargetId> {
        self.targets.leaving()
    }

    /// Returns all live members, including the local instance, and the records of targets, for
    /// transfer to another instance.
    pub fn export(&self) -> (Vec<MemberRecord>, Vec<TargetRecord>) {
        let local = std::iter::once(self.local.clone());
        let members = local.chain(self.table.live().map(|entry| entry.record.clone()));
        (members.collect(), self.targets.records())
    }

    /// Applies the records that another instance exported.
    pub fn import(
        &mut self,
        members: Vec<MemberRecord>,
        targets: Vec<TargetRecord>,
        now: Timestamp,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for record in &members {
            // Records that are new to the local instance are already known elsewhere, so they are
            // not retransmitted.
            let is_existing = self.table.get(&record.instance).is_some();
            let send_count = if is_existing {
                self.transmission_count()
            } else {
                0
            };
            self.merge_with_sends(record, send_count, now, &mut effects);
        }
        self.merge_all(&[], targets, now, &mut effects);
        effects
    }

    /// Advances time. Must be called several times a second.
    pub fn on_tick(&mut self, now: Timestamp, rng: &mut dyn RngCore) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.handle_process_pause(now);
        self.advance_probe(now, rng, &mut effects);
        self.declare_dead(now, &mut effects);
        self.table.remove_expired_dead(now);
        if self.targets.expire(self.transmission_count(), now) {
            effects.push(Effect::TargetsChanged);
        }
        if now >= self.next_probe_at {
            self.next_probe_at = now + PROBE_PERIOD;
            self.start_probe(now, rng, &mut effects);
        }
        if now >= self.next_unresponsive_probe_at {
            self.next_unresponsive_probe_at = now + UNRESPONSIVE_PROBE_PERIOD;
            if let Some(instance) = self.table.choose_unresponsive(rng) {
                self.ping(instance, rng, &mut effects);
            }
        }
        if now >= self.next_seed_at {
            self.ping_seeds(now, rng, &mut effects);
        }
        effects
    }

    /// Handles a datagram whose authentication code was verified.
    pub fn on_message(
        &mut self,
        message: Message,
        now: Timestamp,
        rng: &mut dyn RngCore,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let sender = message.sender.instance.clone();
        if sender == self.local.instance {
            return effects;
        }
        self.merge_record(&message.sender, now, &mut effects);
        let is_current = self.table.get(&sender).is_some_and(|entry| {
            entry.record.incarnation == message.sender.incarnation
                && entry.record.refutation == message.sender.refutation
        });
        if is_current {
            self.last_received_at = Some(now);
            self.table.set_summary(&sender, message.summary);
            effects.push(Effect::SummaryReceived {
                instance: sender.clone(),
                summary: message.summary,
            });
        }
        self.merge_all(&message.members, message.targets, now, &mut effects);
        if is_current && message.members_hash != self.members_hash() {
            self.fetch_members(&sender, now, &mut effects);
        }
        self.respond(message.kind, sender, now, rng, &mut effects);
        effects
    }

    fn fetch_members(&mut self, from: &InstanceId, now: Timestamp, effects: &mut Vec<Effect>) {
        if now < self.next_sync_at {
            return;
        }
        let is_starting = now < self.started_at + STARTUP_PERIOD;
        let period = match is_starting {
            true => STARTUP_SYNC_PERIOD,
            false => SYNC_PERIOD,
        };
        self.next_sync_at = now + period;
        effects.push(Effect::FetchMembers { from: from.clone() });
    }

    /// Returns the hash of the live member runs, including the local instance.
    pub(super) fn members_hash(&self) -> u64 {
        let runs = self.table.live().map(|entry| entry.record.run_hash());
        runs.fold(self.local.run_hash(), |sum, run| sum ^ run)
    }

    fn respond(
        &mut self,
        kind: MessageKind,
        sender: InstanceId,
        now: Timestamp,
        rng: &mut dyn RngCore,
        effects: &mut Vec<Effect>,
    ) {
        match kind {
            MessageKind::Ping { sequence } => {
                let instance = self.local.instance.clone();
                let kind = MessageKind::Ack { sequence, instance };
                self.send(sender, kind, rng, effects);
            }
            MessageKind::PingRequest { sequence, instance } => {
                let relay_sequence = rng.next_u64();
                if self.relays.add(relay_sequence, sender, sequence, now) {
                    let kind = MessageKind::Ping {
                        sequence: relay_sequence,
                    };
                    self.send(instance, kind, rng, effects);
                }
            }
            MessageKind::Ack { sequence, instance } => {
                if self
                    .probe
                    .as_ref()
                    .is_some_and(|probe| probe.sequence == sequence && probe.instance == instance)
                {
                    self.probe = None;
                }
                if let Some((requester, sequence)) = self.relays.take(sequence) {
                    let kind = MessageKind::Ack { sequence, instance };
                    self.send(requester, kind, rng, effects);
                }
            }
        }
    }

    fn handle_process_pause(&mut self, now: Timestamp) {
        let gap = now.saturating_sub(self.last_tick_at);
        self.last_tick_at = now;
        if gap > MAX_TICK_GAP {
            self.probe = None;
            self.table.extend_timeouts(gap);
        }
    }

    fn declare_dead(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let members = self.live_count() + 1;
        let timeout = MIN_SUSPICION_TIMEOUT + Duration::from_secs_f64((members as f64).log2());
        for mut record in self.table.expired_suspicions(timeout, now) {
            record.health = Health::Dead;
            self.merge_record(&record, now, effects);
        }
    }

    fn merge_all(
        &mut self,
        members: &[MemberRecord],
        targets: Vec<TargetRecord>,
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for record in members {
            self.merge_record(record, now, effects);
        }
        let send_count = self.transmission_count();
        let mut is_changed = false;
        for record in targets {
            is_changed |= self.targets.merge(record, send_count, now);
        }
        if is_changed {
            effects.push(Effect::TargetsChanged);
        }
    }

    pub(super) fn merge_record(
        &mut self,
        record: &MemberRecord,
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let send_count = self.transmission_count();
        self.merge_with_sends(record, send_count, now, effects);
    }

    fn merge_with_sends(
        &mut self,
        record: &MemberRecord,
        send_count: u32,
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if record.instance == self.local.instance {
            return self.refute(record);
        }
        if self.table.merge(record, send_count, now) {
            effects.push(Effect::MemberChanged {
                record: record.clone(),
            });
        }
    }

    /// Increases the local refutation number if a record about the local instance is wrong or
    /// concerns an earlier run, so that the local record outranks it.
    fn refute(&mut self, record: &MemberRecord) {
        let is_correct =
            record.incarnation == self.local.incarnation && record.health <= self.local.health;
        if !is_correct && record.refutation >= self.local.refutation {
            self.local.refutation = record.refutation.saturating_add(1);
        }
    }

    fn transmission_count(&self) -> u32 {
        transmission_count(self.live_count() + 1)
    }
}
