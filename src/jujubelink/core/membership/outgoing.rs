//! Probes and outgoing messages of the detector.

use std::time::Duration;

use rand::RngCore;
use rand::seq::{IteratorRandom, SliceRandom};

use super::detector::{Detector, Effect, PROBE_PERIOD};
use super::probe::Probe;
use super::record::{Health, Message, MessageKind};
use super::table::Table;
use crate::core::ids::{InstanceId, Timestamp};

/// Number of members that are asked to relay a ping.
const RELAYS_PER_PROBE: usize = 3;

/// Time between pings to a seed address that is not a live member, while the local instance is in
/// contact with others.
const SEED_PERIOD: Duration = Duration::from_secs(10);

/// Number of seed addresses that are pinged each second while no member is live.
const ISOLATED_SEED_PINGS: usize = 3;

/// Largest number of member records in a message, not counting the receiver's own.
const MAX_MEMBER_RECORDS: usize = 6;

/// Largest number of random member records that fill up a message.
const MAX_FILL_RECORDS: usize = 2;

/// Largest number of target records in a message.
const MAX_TARGET_RECORDS: usize = 2;

impl Detector {
    pub(super) fn advance_probe(
        &mut self,
        now: Timestamp,
        rng: &mut dyn RngCore,
        effects: &mut Vec<Effect>,
    ) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        if probe.has_failed(now) {
            if let Some(probe) = self.probe.take() {
                self.suspect(&probe, now, rng, effects);
            }
        } else if probe.needs_relays(now) {
            probe.is_indirect = true;
            let (sequence, instance) = (probe.sequence, probe.instance.clone());
            for relay in self.table.choose_live(RELAYS_PER_PROBE, &instance, rng) {
                let kind = MessageKind::PingRequest {
                    sequence,
                    instance: instance.clone(),
                };
                self.send(relay, kind, rng, effects);
            }
        }
    }

    fn suspect(
        &mut self,
        probe: &Probe,
        now: Timestamp,
        rng: &mut dyn RngCore,
        effects: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.table.get(&probe.instance) else {
            return;
        };
        if entry.record.incarnation != probe.incarnation || entry.record.health != Health::Alive {
            return;
        }
        let mut record = entry.record.clone();
        record.health = Health::Suspect;
        self.merge_record(&record, now, effects);
        // The ping carries the suspicion, so that the member can refute it immediately.
        self.ping(probe.instance.clone(), rng, effects);
    }

    pub(super) fn start_probe(
        &mut self,
        now: Timestamp,
        rng: &mut dyn RngCore,
        effects: &mut Vec<Effect>,
    ) {
        let Some(instance) = self.next_in_round(rng) else {
            return;
        };
        let incarnation = self
            .table
            .get(&instance)
            .map_or(0, |entry| entry.record.incarnation);
        let sequence = self.ping(instance.clone(), rng, effects);
        self.probe = Some(Probe {
            instance,
            incarnation,
            sequence,
            sent_at: now,
            is_indirect: false,
        });
    }

    fn next_in_round(&mut self, rng: &mut dyn RngCore) -> Option<InstanceId> {
        let is_alive = |table: &Table, instance: &str| {
            table
                .get(instance)
                .is_some_and(|entry| entry.record.health == Health::Alive)
        };
        for _ in 0..2 {
            while let Some(instance) = self.round.pop() {
                if is_alive(&self.table, &instance) {
                    return Some(instance);
                }
            }
            self.round = self
                .table
                .live()
                .map(|entry| entry.record.instance.clone())
                .collect();
            self.round.shuffle(rng);
        }
        None
    }

    pub(super) fn ping_seeds(
        &mut self,
        now: Timestamp,
        rng: &mut dyn RngCore,
        effects: &mut Vec<Effect>,
    ) {
        let is_isolated = self.live_count() == 0;
        let (period, count) = match is_isolated {
            true => (PROBE_PERIOD, ISOLATED_SEED_PINGS),
            false => (SEED_PERIOD, 1),
        };
        self.next_seed_at = now + period;
        let seeds = self
            .seeds
            .iter()
            .filter(|seed| {
                let entry = self.table.get(seed);
                entry.is_none_or(|entry| entry.record.health == Health::Dead)
            })
            .cloned()
            .choose_multiple(rng, count);
        for seed in seeds {
            self.ping(seed, rng, effects);
        }
    }

    pub(super) fn ping(
        &mut self,
        to: InstanceId,
        rng: &mut dyn RngCore,
        effects: &mut Vec<Effect>,
    ) -> u64 {
        let sequence = rng.next_u64();
        self.send(to, MessageKind::Ping { sequence }, rng, effects);
        sequence
    }

    pub(super) fn send(
        &mut self,
        to: InstanceId,
        kind: MessageKind,
        rng: &mut dyn RngCore,
        effects: &mut Vec<Effect>,
    ) {
        let mut members = self
            .table
            .take_to_send(MAX_MEMBER_RECORDS, MAX_FILL_RECORDS, rng);
        // The record of the receiver is always included, so that the receiver can refute it.
        if let Some(entry) = self.table.get(&to)
            && !members.iter().any(|record| record.instance == to)
        {
            members.push(entry.record.clone());
        }
        let message = Message {
            kind,
            sender: self.local.clone(),
            summary: self.summary,
            members_hash: self.members_hash(),
            members,
            targets: self.targets.take_to_send(MAX_TARGET_RECORDS),
        };
        effects.push(Effect::Send { to, message });
    }
}
