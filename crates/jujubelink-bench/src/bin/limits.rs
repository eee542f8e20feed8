//! Benchmark of the distributed rate limits: how many requests within the rate are refused, and how
//! many tokens are admitted at most in any window, for limit slots and three baseline schemes.
//!
//! The rate limiting code of `core` runs in virtual time with message delays between instances;
//! nothing else of an instance is simulated. All workspaces but one send only requests that a token
//! bucket with their rate and usable burst admits, so none of these requests should be refused.
//!
//! Usage: `limits [seed] [seconds]`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use jujubelink::core::ids::{InstanceId, Tokens, WorkspaceId};
use jujubelink::core::limit::{
    ChargePlanner, ChargeStep, HolderView, InitialLevels, LevelCache, MICRO_PER_TOKEN, Proximity,
    SlotAssignment, SlotKey, SlotLimit, SlotTable, WorkspaceLimit, shard_of,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time within which a charge must be granted: the first-token deadline of a model.
const CHARGE_TIMEOUT: Duration = Duration::from_millis(410);
/// Percentage of the charged tokens that requests use; the rest is refunded.
const USED_PERCENT: u64 = 60;
/// Time from the grant of a charge to the refund of its unused tokens.
const SERVICE_TIME: Duration = Duration::from_secs(2);
/// Offered load in percent of the rate, before it is shaped by a token bucket.
const OFFERED_LOAD_PERCENT: u64 = 95;
/// Start and end of the platform outage.
const OUTAGE_S: (u64, u64) = (60, 660);
/// Time of the crash of an instance that holds slots.
const CRASH_AT_S: u64 = 90;
/// Time until the slots of the crashed instance are taken over once the platform responds: the
/// denials by witnesses, the wait and the fencing write. Counted from the crash or the end of the
/// outage.
const TAKEOVER_DELAY: Duration = Duration::from_millis(5_000);
/// Assumed size of a charge request or response.
const MESSAGE_BYTES: u64 = 140;

/// How the rate of a workspace is distributed over instances.
#[derive(Clone, Copy, PartialEq)]
enum Scheme {
    /// Limit slots, as in jujubelink: several instances hold slots of a workspace and grant
    /// charges.
    Slots,
    /// Each instance has an equal share of the rate and uses only this share.
    EqualShare,
    /// One instance holds the whole rate of a workspace, under a lease that the platform renews.
    OneOwner { lease: Duration },
}

/// Size of the simulated fleet and its load.
#[derive(Clone, Copy)]
struct Size {
    name: &'static str,
    instances: usize,
    workspaces: usize,
    regions: usize,
    /// Mean request rate over all workspaces.
    requests_per_s: u64,
    /// Whether all requests of a workspace arrive at one instance.
    is_pinned: bool,
}

/// A workspace with its load and the results.
struct Workspace {
    id: WorkspaceId,
    limit: WorkspaceLimit,
    shard: u32,
    /// Time and used tokens of each granted request.
    admitted: Vec<(Duration, u64)>,
    sent: u64,
    refused: u64,
    is_within_rate: bool,
}

/// A charge in progress for one request.
struct Charge {
    workspace: usize,
    instance: usize,
    tokens: Tokens,
    planner: ChargePlanner,
    /// Holder, charge id and tokens of each grant.
    grants: Vec<(usize, u64, Tokens)>,
    /// Number of outstanding calls to holders.
    pending_answers: usize,
}

/// An event of the simulation.
enum Event {
    Arrive {
        workspace: usize,
        tokens: Tokens,
    },
    Plan {
        charge: usize,
    },
    ChargeAtHolder {
        charge: usize,
        holder: usize,
        tokens: Tokens,
    },
    Answer {
        charge: usize,
        holder: usize,
        charge_id: u64,
        granted: Option<Tokens>,
        level: Tokens,
    },
    Settle {
        workspace: usize,
        grants: Vec<(usize, u64, Tokens)>,
        unused: Tokens,
    },
    Crash,
    Takeover,
}

/// State of a simulated run.
struct Simulation {
    scheme: Scheme,
    size: Size,
    /// Number of slots in each shard.
    slots: u32,
    shards: u32,
    with_faults: bool,
    now: Duration,
    names: Vec<InstanceId>,
    indexes: BTreeMap<InstanceId, usize>,
    /// Slots held by each instance, with their levels.
    tables: Vec<SlotTable>,
    /// Levels of other holders as last seen by each instance.
    level_caches: Vec<LevelCache>,
    /// Holder of each slot; the crashed instance until its slots are taken over.
    holders: BTreeMap<SlotKey, usize>,
    workspaces: Vec<Workspace>,
    charges: BTreeMap<usize, Charge>,
    next_id: usize,
    /// Times and ids of the pending events.
    event_queue: BinaryHeap<Reverse<(Duration, usize)>>,
    /// Pending events by the id in `event_queue`.
    events_by_id: BTreeMap<usize, Event>,
    crashed: Option<usize>,
    rng: ChaCha8Rng,
    calls: u64,
    grants: u64,
    granted: u64,
    slot_writes: u64,
}

impl Simulation {
    fn new(scheme: Scheme, size: Size, with_faults: bool, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<InstanceId> = (0..size.instances)
            .map(|index| format!("10.0.{}.{}:7000", index / 250, index % 250).into())
            .collect();
        let (shards, slots) = match scheme {
            Scheme::Slots => (64, 8),
            Scheme::OneOwner { .. } => (512, 1),
            Scheme::EqualShare => (1, size.instances as u32),
        };
        let workspaces = (0..size.workspaces)
            .map(|index| workspace(index, size, shards, &mut rng))
            .collect();
        let indexes = names
            .iter()
            .cloned()
            .enumerate()
            .map(|(i, name)| (name, i))
            .collect();
        let mut simulation = Self {
            scheme,
            size,
            slots,
            shards,
            with_faults,
            now: Duration::ZERO,
            names,
            indexes,
            tables: vec![SlotTable::default(); size.instances],
            level_caches: (0..size.instances).map(|_| LevelCache::default()).collect(),
            holders: BTreeMap::new(),
            workspaces,
            charges: BTreeMap::new(),
            next_id: 0,
            event_queue: BinaryHeap::new(),
            events_by_id: BTreeMap::new(),
            crashed: None,
            rng,
            calls: 0,
            grants: 0,
            granted: 0,
            slot_writes: 0,
        };
        simulation.assign(&InitialLevels::Full);
        simulation
    }

    /// Assigns all slots that no live instance holds.
    fn assign(&mut self, initial_levels: &InitialLevels) {
        let live: Vec<InstanceId> = (0..self.names.len())
            .filter(|index| Some(*index) != self.crashed)
            .map(|index| self.names[index].clone())
            .collect();
        let assignment = SlotAssignment::new(self.shards, self.slots, &live);
        for shard in 0..self.shards {
            for slot in 0..self.slots {
                let key = SlotKey { shard, slot };
                let is_held = self
                    .holders
                    .get(&key)
                    .is_some_and(|h| Some(*h) != self.crashed);
                if is_held {
                    continue;
                }
                let preferred = assignment.preferred(key).expect("a live member");
                let holder = match self.scheme {
                    Scheme::EqualShare => slot as usize,
                    _ => self.indexes[preferred],
                };
                if Some(holder) == self.crashed {
                    continue;
                }
                self.tables[holder].insert(key, 1, initial_levels.clone());
                self.holders.insert(key, holder);
                self.slot_writes += 1;
            }
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.next_id += 1;
        self.events_by_id.insert(self.next_id, event);
        self.event_queue.push(Reverse((at, self.next_id)));
    }

    /// Returns the one-way message delay between two instances.
    fn delay(&self, from: usize, to: usize) -> Duration {
        match () {
            () if from == to => Duration::ZERO,
            () if from % self.size.regions == to % self.size.regions => Duration::from_micros(500),
            () => Duration::from_millis(15),
        }
    }

    /// Whether a holder may grant charges: it has not crashed, and its lease, if any, is valid.
    fn can_grant(&self, holder: usize) -> bool {
        if Some(holder) == self.crashed {
            return false;
        }
        let Scheme::OneOwner { lease } = self.scheme else {
            return true;
        };
        let outage = Duration::from_secs(OUTAGE_S.0)..Duration::from_secs(OUTAGE_S.1);
        !self.with_faults || !outage.contains(&self.now) || self.now < outage.start + lease
    }

    fn run(&mut self, length: Duration) {
        for index in 0..self.workspaces.len() {
            self.generate(index, length);
        }
        if self.with_faults {
            self.push(Duration::from_secs(CRASH_AT_S), Event::Crash);
            // A takeover requires the platform, so it happens only after the outage.
            let ready = Duration::from_secs(OUTAGE_S.1) + TAKEOVER_DELAY;
            let takeover_at = match self.scheme {
                Scheme::Slots => ready,
                Scheme::EqualShare => Duration::from_secs(CRASH_AT_S + 90 * 60).max(ready),
                Scheme::OneOwner { lease } => (Duration::from_secs(CRASH_AT_S) + lease).max(ready),
            };
            self.push(takeover_at, Event::Takeover);
        }
        while let Some(Reverse((at, id))) = self.event_queue.pop() {
            if at > length + Duration::from_secs(5) {
                break;
            }
            self.now = at;
            let event = self.events_by_id.remove(&id).expect("an event");
            self.handle(event);
        }
    }

    /// Generates the requests of a workspace: those that a token bucket with its rate and usable
    /// burst admits, or, for the workspace over its rate, without shaping.
    fn generate(&mut self, index: usize, length: Duration) {
        let limit = self.workspaces[index].limit;
        let is_within = self.workspaces[index].is_within_rate;
        let burst = limit.usable_burst_tokens() as f64;
        let rate = limit.rate_tokens_per_s as f64;
        let load = rate * OFFERED_LOAD_PERCENT as f64 / 100.0 * if is_within { 1.0 } else { 5.0 };
        let (mut level, mut at, mut last) = (burst, 0.0, 0.0);
        loop {
            let tokens = f64::from(self.rng.random_range(200..2_000)).min(burst);
            let gap = -(1.0 - self.rng.random::<f64>()).ln() * tokens / load;
            at += gap;
            if is_within {
                level = (level + (at - last) * rate).min(burst);
                if level < tokens {
                    at += (tokens - level) / rate;
                    level = tokens;
                }
                level -= tokens;
                last = at;
            }
            if at > length.as_secs_f64() {
                return;
            }
            let event = Event::Arrive {
                workspace: index,
                tokens: tokens as Tokens,
            };
            self.push(Duration::from_secs_f64(at), event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { workspace, tokens } => self.arrive(workspace, tokens),
            Event::Plan { charge } => self.plan(charge),
            Event::ChargeAtHolder {
                charge,
                holder,
                tokens,
            } => self.charge_at_holder(charge, holder, tokens),
            Event::Answer {
                charge,
                holder,
                charge_id,
                granted,
                level,
            } => {
                self.answer(charge, holder, charge_id, granted, level);
            }
            Event::Settle {
                workspace,
                grants,
                unused,
            } => self.settle(workspace, grants, unused),
            Event::Crash => {
                let crashed = self.holders.values().next().copied().unwrap_or(0);
                self.crashed = Some(crashed);
                self.tables[crashed].clear();
            }
            Event::Takeover => {
                let quiet_at = Duration::from_secs(CRASH_AT_S) + TAKEOVER_DELAY;
                self.assign(&InitialLevels::EmptySince(quiet_at));
            }
        }
    }

    fn arrive(&mut self, workspace: usize, tokens: Tokens) {
        let mut instance = match self.size.is_pinned {
            true => workspace % self.size.instances,
            false => self.rng.random_range(0..self.size.instances),
        };
        if Some(instance) == self.crashed {
            instance = (instance + 1) % self.size.instances;
        }
        self.workspaces[workspace].sent += 1;
        self.next_id += 1;
        let id = self.next_id;
        let planner = ChargePlanner::new(tokens, self.now + CHARGE_TIMEOUT);
        let charge = Charge {
            workspace,
            instance,
            tokens,
            planner,
            grants: Vec::new(),
            pending_answers: 0,
        };
        self.charges.insert(id, charge);
        self.plan(id);
    }

    /// Returns the holders of a workspace, as seen by an instance.
    fn views(
        &mut self,
        workspace: usize,
        instance: usize,
        slot_limit: &SlotLimit,
    ) -> Vec<HolderView> {
        let (id, shard) = (
            self.workspaces[workspace].id.clone(),
            self.workspaces[workspace].shard,
        );
        if self.scheme == Scheme::EqualShare {
            let slots = self.tables[instance].slot_count(shard);
            let level = self.tables[instance].level_tokens(shard, &id, slot_limit, self.now);
            return vec![self.local_view(instance, slots, level)];
        }
        let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
        let (first, last) = (
            SlotKey { shard, slot: 0 },
            SlotKey {
                shard,
                slot: u32::MAX,
            },
        );
        for (_, holder) in self.holders.range(first..=last) {
            *counts.entry(*holder).or_default() += 1;
        }
        let mut views = Vec::new();
        for (holder, slots) in counts {
            if holder == instance {
                let level = self.tables[instance].level_tokens(shard, &id, slot_limit, self.now);
                if self.can_grant(holder) {
                    views.push(self.local_view(instance, slots, level));
                }
                continue;
            }
            let name = self.names[holder].clone();
            let level_cache = &mut self.level_caches[instance];
            if level_cache.is_reachable(&name, self.now) {
                let level_micro =
                    level_cache.estimate_level(&id, &name, slot_limit, slots, self.now);
                let proximity = match self.delay(instance, holder) < Duration::from_millis(1) {
                    true => Proximity::SameRegion,
                    false => Proximity::Other,
                };
                views.push(HolderView {
                    instance: name,
                    proximity,
                    slots,
                    level_micro,
                });
            }
        }
        views
    }

    fn local_view(&self, instance: usize, slots: u32, level: Tokens) -> HolderView {
        HolderView {
            instance: self.names[instance].clone(),
            proximity: Proximity::Local,
            slots,
            level_micro: level as i64 * MICRO_PER_TOKEN,
        }
    }

    /// Performs the next step of a charge.
    fn plan(&mut self, id: usize) {
        let Some(charge) = self.charges.get(&id) else {
            return;
        };
        let (workspace, instance) = (charge.workspace, charge.instance);
        let slot_limit = self.workspaces[workspace].limit.slot_limit(self.slots);
        let views = self.views(workspace, instance, &slot_limit);
        let now = self.now;
        let charge = self.charges.get_mut(&id).expect("a charge");
        match charge.planner.next(&views, &slot_limit, now) {
            ChargeStep::Done => self.done(id),
            ChargeStep::Wait(until) => self.push(until, Event::Plan { charge: id }),
            ChargeStep::GiveUp { .. } => {
                let charge = self.charges.remove(&id).expect("a charge");
                let total = charge.grants.iter().map(|grant| grant.2).sum();
                self.settle(workspace, charge.grants, total);
                self.workspaces[workspace].refused += 1;
            }
            ChargeStep::Charge(requests) => {
                charge.pending_answers = requests.len();
                for request in requests {
                    let holder = self.indexes[&request.instance];
                    let delay = self.delay(instance, holder);
                    self.calls += u64::from(holder != instance);
                    let event = Event::ChargeAtHolder {
                        charge: id,
                        holder,
                        tokens: request.tokens,
                    };
                    self.push(now + delay, event);
                }
            }
        }
    }

    fn charge_at_holder(&mut self, id: usize, holder: usize, tokens: Tokens) {
        let Some(charge) = self.charges.get(&id) else {
            return;
        };
        let workspace = &self.workspaces[charge.workspace];
        let delay = self.delay(holder, charge.instance);
        self.next_id += 1;
        let charge_id = self.next_id as u64;
        let (mut granted, mut level) = (None, 0);
        if self.can_grant(holder) {
            let answer = self.tables[holder].charge(
                charge_id,
                workspace.shard,
                &workspace.id,
                &workspace.limit,
                self.slots,
                tokens,
                true,
                self.now,
            );
            granted = Some(answer.granted_tokens);
            level = answer.level_tokens;
        }
        let event = Event::Answer {
            charge: id,
            holder,
            charge_id,
            granted,
            level,
        };
        self.push(self.now + delay, event);
    }

    fn answer(
        &mut self,
        id: usize,
        holder: usize,
        charge_id: u64,
        granted: Option<Tokens>,
        level: Tokens,
    ) {
        let Some(charge) = self.charges.get_mut(&id) else {
            return;
        };
        let name = &self.names[holder];
        let level_cache = &mut self.level_caches[charge.instance];
        match granted {
            Some(tokens) => {
                level_cache.record_level(
                    &self.workspaces[charge.workspace].id,
                    name,
                    level,
                    self.now,
                );
                charge.planner.on_granted(tokens);
                if tokens > 0 {
                    charge.grants.push((holder, charge_id, tokens));
                }
            }
            None => {
                level_cache.mark_unreachable(name, self.now);
                charge.planner.on_failed(name);
            }
        }
        charge.pending_answers -= 1;
        if charge.pending_answers == 0 {
            self.plan(id);
        }
    }

    fn done(&mut self, id: usize) {
        let charge = self.charges.remove(&id).expect("a charge");
        let used = charge.tokens * USED_PERCENT / 100;
        self.granted += 1;
        self.grants += charge.grants.len() as u64;
        self.workspaces[charge.workspace]
            .admitted
            .push((self.now, used));
        let unused = charge.tokens - used;
        let event = Event::Settle {
            workspace: charge.workspace,
            grants: charge.grants,
            unused,
        };
        self.push(self.now + SERVICE_TIME, event);
    }

    /// Refunds the unused tokens of a request, starting with the last grant.
    fn settle(&mut self, workspace: usize, grants: Vec<(usize, u64, Tokens)>, unused: Tokens) {
        let limit = self.workspaces[workspace].limit;
        let mut left = unused;
        for (holder, charge_id, tokens) in grants.into_iter().rev() {
            let refund = left.min(tokens);
            left -= refund;
            if refund > 0 {
                self.tables[holder].refund(charge_id, refund, &limit, self.slots, self.now);
            }
        }
    }

    fn report(&self, label: &str, length: Duration) {
        let within = self
            .workspaces
            .iter()
            .filter(|workspace| workspace.is_within_rate);
        let (sent, refused) = within.fold((0, 0), |(s, r), workspace| {
            (s + workspace.sent, r + workspace.refused)
        });
        let worst = self
            .workspaces
            .iter()
            .filter(|w| w.is_within_rate && w.sent > 0);
        let worst = worst
            .map(|w| 100.0 * w.refused as f64 / w.sent as f64)
            .fold(0.0, f64::max);
        let peak = self
            .workspaces
            .iter()
            .map(peak_burst_fraction)
            .fold(0.0, f64::max);
        let instance_s = self.size.instances as f64 * length.as_secs_f64();
        println!(
            "{:<18} {label:<22} sent {sent:>8} refused {refused:>7} ({:.4}%) worst workspace {worst:.3}% \
             peak/limit {peak:.3} calls/request {:.2} parts {:.2} bytes/s {:.0} slot writes {}",
            self.size.name,
            100.0 * refused as f64 / sent as f64,
            self.calls as f64 / self.granted.max(1) as f64,
            self.grants as f64 / self.granted.max(1) as f64,
            self.calls as f64 * MESSAGE_BYTES as f64 * 2.0 / instance_s,
            self.slot_writes,
        );
    }
}

/// Returns the largest number of tokens by which any window exceeded `rate` × window length, as a
/// fraction of the burst. A value of at most 1 means that the limit was respected.
fn peak_burst_fraction(workspace: &Workspace) -> f64 {
    let rate = workspace.limit.rate_tokens_per_s as f64;
    let mut admitted = workspace.admitted.clone();
    admitted.sort_unstable();
    let (mut sum, mut lowest, mut peak) = (0.0, f64::MAX, 0.0_f64);
    for (at, tokens) in admitted {
        let accrued = rate * at.as_secs_f64();
        lowest = lowest.min(sum - accrued);
        sum += tokens as f64;
        peak = peak.max(sum - accrued - lowest);
    }
    peak / workspace.limit.burst_tokens as f64
}

/// Creates a workspace. Its share of the load decreases with its index, so that a few workspaces
/// are large.
fn workspace(index: usize, size: Size, shards: u32, rng: &mut ChaCha8Rng) -> Workspace {
    let id: WorkspaceId = format!("workspace-{index}").into();
    let weights: f64 = (0..size.workspaces)
        .map(|rank| 1.0 / (rank + 3) as f64)
        .sum();
    let requests_per_s = size.requests_per_s as f64 / (index + 3) as f64 / weights;
    let rate = (requests_per_s * 1_100.0).max(20.0) as Tokens;
    // Two seconds at the rate, but at least four of the largest requests.
    let burst_tokens = (2 * rate).max(8_000) + rng.random_range(0..500);
    Workspace {
        shard: shard_of(&id, shards),
        id,
        limit: WorkspaceLimit {
            rate_tokens_per_s: rate,
            burst_tokens,
        },
        admitted: Vec::new(),
        sent: 0,
        refused: 0,
        // One workspace of medium size sends five times its rate.
        is_within_rate: index != size.workspaces / 2,
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse::<u64>());
    let seed = arguments.next().and_then(Result::ok).unwrap_or(7);
    let seconds = arguments.next().and_then(Result::ok).unwrap_or(900);
    let length = Duration::from_secs(seconds);
    let small = Size {
        name: "9 x 5",
        instances: 9,
        workspaces: 5,
        regions: 1,
        requests_per_s: 60,
        is_pinned: false,
    };
    let large = Size {
        name: "380 x 1500",
        instances: 380,
        workspaces: 1_500,
        regions: 7,
        requests_per_s: 2_900,
        is_pinned: false,
    };
    let sizes = [
        small,
        Size {
            name: "9 x 5 pinned",
            is_pinned: true,
            ..small
        },
        large,
        Size {
            name: "380 x 1500 pinned",
            is_pinned: true,
            ..large
        },
    ];
    println!("seed {seed}, {seconds} s, outage {OUTAGE_S:?} s, crash at {CRASH_AT_S} s");
    let schemes = [
        ("slots", Scheme::Slots),
        ("equal share", Scheme::EqualShare),
        (
            "one owner, 10 s",
            Scheme::OneOwner {
                lease: Duration::from_secs(10),
            },
        ),
        (
            "one owner, 90 min",
            Scheme::OneOwner {
                lease: Duration::from_secs(90 * 60),
            },
        ),
    ];
    for size in sizes {
        for with_faults in [false, true] {
            for (name, scheme) in schemes {
                let mut simulation = Simulation::new(scheme, size, with_faults, seed);
                simulation.run(length);
                let faults = if with_faults { " faults" } else { "" };
                simulation.report(&format!("{name}{faults}"), length);
            }
        }
    }
}
