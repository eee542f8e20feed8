//! The event loop.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use jujubelink::core::routing::{LoadReport, rendezvous_score};
use jujubelink::core::scheduler::{AttemptEnd, Effect, NewRequest, Retry, Scheduler};
use jujubelink::ops::scheduler::LOAD_POLLS_PER_S;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::baseline::oracle_choice;
use super::limiter::Bucket;
use super::routed::{config_of, engine_index, engine_name, model_of_engine};
use super::{Baseline, Engine, Figures, Parts};
use crate::workload::{BLOCK_TOKENS, WorkRequest, WorkloadSpec};

/// One-way time between an instance and an engine.
const NETWORK: Duration = Duration::from_micros(500);

/// Time that an engine needs to come back.
const RESTART: Duration = Duration::from_millis(1300);

/// Time for the dispatch of a request.
const DEADLINE: Duration = Duration::from_millis(410);

/// Period at which an instance offers waiting requests again.
const PUMP_PERIOD: Duration = Duration::from_millis(10);

/// Load reports that an instance of a small fleet reads in a second, as in the plug-in.
const SMALL_FLEET_POLLS_PER_S: u32 = 12;

/// Requests of the first seconds fill the caches and do not count.
const WARM_UP: Duration = Duration::from_secs(10);

/// Clock of the decisions at the start; any time after zero.
const START: Duration = Duration::from_secs(1000);

/// Who chooses targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The decision code of the instances.
    Router,
    /// A baseline.
    Baseline(Baseline),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Submit { attempt: usize },
    PrefillEnd { attempt: usize, incarnation: u64 },
    Completed { attempt: usize, incarnation: u64 },
    Retry { request: usize, attempt: usize },
    Poll(usize),
    Pump(usize),
    Tick(usize),
    Crash,
    Restart(usize),
}

/// One try of a request at an engine.
#[derive(Debug, Clone)]
struct Try {
    request: usize,
    engine: usize,
    placement: u64,
    cached_blocks: usize,
    sent_at: Duration,
    prefill_at: Duration,
    is_suspect: bool,
    excluded: Vec<usize>,
}

/// A request that waits in an instance's queue.
#[derive(Debug, Clone)]
struct Job {
    request: usize,
    excluded: Vec<usize>,
    is_suspect: bool,
}

struct World<'a> {
    spec: &'a WorkloadSpec,
    requests: &'a [WorkRequest],
    policy: Policy,
    engines: Vec<Engine>,
    by_model: Vec<Vec<usize>>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next_event: u64,
    tries: Vec<Try>,
    instances: Vec<Scheduler>,
    /// Waiting jobs of each instance.
    jobs: Vec<HashMap<u64, Job>>,
    polled: Vec<Vec<Duration>>,
    is_pumping: Vec<bool>,
    outstanding: Vec<Vec<u32>>,
    turns: Vec<usize>,
    buckets: Vec<Bucket>,
    random: ChaCha8Rng,
    figures: Figures,
    /// Whether the first token of a request was delivered.
    is_started: Vec<bool>,
}

/// Runs requests under a policy and returns the figures.
pub fn run(spec: &WorkloadSpec, requests: &[WorkRequest], policy: Policy, seed: u64) -> Figures {
    let mut world = World::new(spec, requests, policy, seed);
    world.schedule_start();
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        if now > spec.duration + Duration::from_secs(20) {
            break;
        }
        world.handle(event, now);
    }
    world.figures
}

impl<'a> World<'a> {
    fn new(spec: &'a WorkloadSpec, requests: &'a [WorkRequest], policy: Policy, seed: u64) -> Self {
        let config = config_of(spec, mean_tokens(requests));
        let instances = match policy {
            Policy::Router => spec.instances,
            Policy::Baseline(_) => 0,
        };
        let schedulers = (0..instances).map(|_| {
            let mut scheduler = Scheduler::new();
            scheduler.on_config(&config);
            let router = scheduler.router_mut();
            router.set_instance_count(spec.instances as u32);
            scheduler
        });
        let mut by_model = vec![Vec::new(); spec.models.len()];
        for engine in 0..spec.engines {
            by_model[model_of_engine(spec, engine)].push(engine);
        }
        Self {
            engines: (0..spec.engines)
                .map(|_| {
                    Engine::new(
                        spec.max_running,
                        spec.prefill_tokens_per_s,
                        spec.cache_blocks,
                    )
                })
                .collect(),
            instances: schedulers.collect(),
            jobs: vec![HashMap::new(); instances],
            polled: vec![vec![Duration::ZERO; spec.engines]; instances],
            is_pumping: vec![false; instances],
            outstanding: vec![vec![0; spec.engines]; spec.instances],
            turns: (0..spec.instances).collect(),
            buckets: buckets(spec, requests),
            random: ChaCha8Rng::seed_from_u64(seed),
            figures: Figures::new(spec.workspaces.len()),
            is_started: vec![false; requests.len()],
            events: BinaryHeap::new(),
            next_event: 0,
            tries: Vec::new(),
            spec,
            requests,
            policy,
            by_model,
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn schedule_start(&mut self) {
        if !self.requests.is_empty() {
            self.schedule(self.requests[0].at, Event::Arrival(0));
        }
        for instance in 0..self.instances.len() {
            let offset = Duration::from_millis(7 * instance as u64);
            self.schedule(offset, Event::Poll(instance));
            self.schedule(offset, Event::Tick(instance));
        }
        if let Some(period) = self.spec.crash_period {
            self.schedule(WARM_UP + period, Event::Crash);
        }
    }

    fn handle(&mut self, event: Event, now: Duration) {
        match event {
            Event::Arrival(request) => self.on_arrival(request, now),
            Event::Submit { attempt } => self.on_submit(attempt, now),
            Event::PrefillEnd {
                attempt,
                incarnation,
            } => self.on_prefill_end(attempt, incarnation, now),
            Event::Completed {
                attempt,
                incarnation,
            } => self.on_completed(attempt, incarnation, now),
            Event::Retry { request, attempt } => self.on_retry(request, attempt, now),
            Event::Poll(instance) => self.on_poll(instance, now),
            Event::Pump(instance) => {
                self.is_pumping[instance] = false;
                self.pump(instance, now);
            }
            Event::Tick(instance) => {
                self.instances[instance].on_tick(START + now);
                self.schedule(now + Duration::from_secs(1), Event::Tick(instance));
            }
            Event::Crash => self.on_crash(now),
            Event::Restart(engine) => self.engines[engine].is_up = true,
        }
    }

    fn on_arrival(&mut self, request: usize, now: Duration) {
        if request + 1 < self.requests.len() {
            self.schedule(self.requests[request + 1].at, Event::Arrival(request + 1));
        }
        let held = &self.requests[request];
        if !self.buckets[held.workspace].take(held.cost_tokens(), now) {
            self.figures.over_rate += 1;
            return;
        }
        if now >= WARM_UP {
            self.figures.admitted[held.workspace] += 1;
        }
        self.place(request, Vec::new(), false, now);
    }

    fn place(&mut self, request: usize, excluded: Vec<usize>, is_suspect: bool, now: Duration) {
        match self.policy {
            Policy::Router => self.place_routed(request, excluded, is_suspect, now),
            Policy::Baseline(baseline) => self.place_baseline(baseline, request, excluded, now),
        }
    }

    fn place_routed(
        &mut self,
        request: usize,
        excluded: Vec<usize>,
        is_suspect: bool,
        now: Duration,
    ) {
        let held = &self.requests[request];
        let instance = held.instance;
        let new = NewRequest {
            workspace: self.spec.workspaces[held.workspace].name.as_str().into(),
            model: self.spec.models[held.model].name.into(),
            prompt: held.prompt.clone(),
            cost_tokens: held.cost_tokens(),
            deadline: START + now + DEADLINE,
            excluded: excluded.iter().map(|e| engine_name(*e).into()).collect(),
            is_suspect,
        };
        let mut effects = Vec::new();
        let scheduler = &mut self.instances[instance];
        let job = scheduler.on_request(new, START + now, &mut effects);
        self.jobs[instance].insert(
            job,
            Job {
                request,
                excluded,
                is_suspect,
            },
        );
        self.carry_out(instance, effects, now);
        self.pump(instance, now);
    }

    fn pump(&mut self, instance: usize, now: Duration) {
        let mut effects = Vec::new();
        let random = self.random.random();
        self.instances[instance].dispatch_waiting(random, START + now, &mut effects);
        self.carry_out(instance, effects, now);
        if self.instances[instance].queued() > 0 && !self.is_pumping[instance] {
            self.is_pumping[instance] = true;
            self.schedule(now + PUMP_PERIOD, Event::Pump(instance));
        }
    }

    fn carry_out(&mut self, instance: usize, effects: Vec<Effect>, now: Duration) {
        for effect in effects {
            match effect {
                Effect::Dispatch(dispatch) => {
                    let job = self.jobs[instance].remove(&dispatch.job);
                    let Job {
                        request,
                        excluded,
                        is_suspect,
                    } = job.expect("a waiting job");
                    let engine = engine_index(&dispatch.target);
                    let attempt = self.add_try(request, engine, excluded, is_suspect, now);
                    self.tries[attempt].placement = dispatch.placement;
                    self.schedule(now + NETWORK, Event::Submit { attempt });
                }
                Effect::Refuse { job, .. } => {
                    let job = self.jobs[instance].remove(&job).expect("a waiting job");
                    let held = &self.requests[job.request];
                    if held.at >= WARM_UP {
                        self.figures.refused[held.workspace] += 1;
                    }
                }
                Effect::Publish(notice) => {
                    for (other, scheduler) in self.instances.iter_mut().enumerate() {
                        if other != instance {
                            scheduler.on_suspect_update(notice, START + now);
                        }
                    }
                }
            }
        }
    }

    fn add_try(
        &mut self,
        request: usize,
        engine: usize,
        excluded: Vec<usize>,
        is_suspect: bool,
        now: Duration,
    ) -> usize {
        self.outstanding[self.requests[request].instance][engine] += 1;
        self.tries.push(Try {
            request,
            engine,
            placement: 0,
            cached_blocks: 0,
            sent_at: now,
            prefill_at: now,
            is_suspect,
            excluded,
        });
        self.tries.len() - 1
    }

    fn place_baseline(
        &mut self,
        baseline: Baseline,
        request: usize,
        excluded: Vec<usize>,
        now: Duration,
    ) {
        let held = &self.requests[request];
        let all = &self.by_model[held.model];
        let allowed: Vec<_> = all
            .iter()
            .copied()
            .filter(|engine| !excluded.contains(engine))
            .collect();
        let count = allowed.len();
        let chosen = match baseline {
            Baseline::Random => allowed
                .get(self.random.random_range(0..count.max(1)))
                .copied(),
            Baseline::RoundRobin => {
                self.turns[held.instance] += 1;
                allowed
                    .get(self.turns[held.instance] % count.max(1))
                    .copied()
            }
            Baseline::LeastOutstanding => {
                let own = &self.outstanding[held.instance];
                let draw = self.random.random();
                let key = |e: &usize| (own[*e], rendezvous_score(draw, *e as u64));
                allowed.iter().copied().min_by_key(key)
            }
            Baseline::PromptHash => {
                let hash = held
                    .prompt
                    .blocks
                    .last()
                    .copied()
                    .unwrap_or(held.prompt.whole);
                let score = |e: &usize| rendezvous_score(hash, *e as u64 + 1);
                allowed.iter().copied().max_by_key(score)
            }
            Baseline::Oracle => {
                let work = |engine: usize, attempt: usize| {
                    let queued = &self.requests[self.tries[attempt].request];
                    let cached = self.engines[engine].cached_blocks(&queued.prompt.blocks);
                    self.engines[engine].prefill_time(queued, cached)
                };
                oracle_choice(&self.engines, &allowed, held, now, work)
            }
        };
        let Some(engine) = chosen else {
            self.figures.failed += 1;
            return;
        };
        let attempt = self.add_try(request, engine, excluded, false, now);
        // The oracle's request is there at once, so that the next choice sees it.
        if baseline == Baseline::Oracle {
            self.on_submit(attempt, now);
        } else {
            self.schedule(now + NETWORK, Event::Submit { attempt });
        }
    }

    fn on_submit(&mut self, attempt: usize, now: Duration) {
        let engine = self.tries[attempt].engine;
        if !self.engines[engine].is_up {
            self.end_try(attempt, AttemptEnd::ConnectFailed, now);
            return;
        }
        self.engines[engine].submit(attempt);
        self.start_prefill(engine, now);
    }

    fn start_prefill(&mut self, engine: usize, now: Duration) {
        let (requests, tries) = (self.requests, &self.tries);
        let request_of = |attempt: usize| &requests[tries[attempt].request];
        let Some(prefill) = self.engines[engine].start_prefill(now, request_of) else {
            return;
        };
        let attempt = prefill.attempt;
        self.tries[attempt].cached_blocks = prefill.cached_blocks;
        self.tries[attempt].prefill_at = now;
        let held = &self.requests[self.tries[attempt].request];
        if held.at >= WARM_UP {
            let up = self.by_model[held.model].iter().map(|e| &self.engines[*e]);
            let best = up.map(|e| e.cached_blocks(&held.prompt.blocks)).max();
            let wasted = best.unwrap_or(0).saturating_sub(prefill.cached_blocks);
            self.figures.wasted_tokens += wasted as u64 * BLOCK_TOKENS;
        }
        let incarnation = self.engines[engine].incarnation;
        let event = Event::PrefillEnd {
            attempt,
            incarnation,
        };
        self.schedule(prefill.ends, event);
    }

    fn on_prefill_end(&mut self, attempt: usize, incarnation: u64, now: Duration) {
        let engine = self.tries[attempt].engine;
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let request = self.tries[attempt].request;
        let held = &self.requests[request];
        let decode = self.engines[engine].end_prefill(held);
        if held.at >= WARM_UP {
            let cached = self.tries[attempt].cached_blocks as u64 * BLOCK_TOKENS;
            self.figures.prompt_tokens += held.prompt_tokens;
            self.figures.cached_tokens += cached;
            if !self.is_started[request] {
                let took = now + NETWORK - held.at;
                self.figures.first_tokens[held.workspace].push(took);
                let attempt = &self.tries[attempt];
                self.figures.parts.push(Parts {
                    first_token: took,
                    queue: attempt.sent_at - held.at,
                    engine: attempt.prefill_at - attempt.sent_at,
                    prefill: now - attempt.prefill_at,
                });
            }
        }
        self.is_started[request] = true;
        let event = Event::Completed {
            attempt,
            incarnation,
        };
        self.schedule(now + decode, event);
        if self.policy == Policy::Router {
            let instance = held.instance;
            let placement = self.tries[attempt].placement;
            self.instances[instance].on_first_token(placement, START + now);
            self.pump(instance, now);
        }
        self.start_prefill(engine, now);
    }

    fn on_completed(&mut self, attempt: usize, incarnation: u64, now: Duration) {
        let engine = self.tries[attempt].engine;
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        self.engines[engine].complete(attempt);
        self.start_prefill(engine, now);
        let cached = self.tries[attempt].cached_blocks as u64 * BLOCK_TOKENS;
        let end = AttemptEnd::Completed {
            incarnation,
            cached_tokens: Some(cached),
        };
        self.end_try(attempt, end, now);
    }

    fn end_try(&mut self, attempt: usize, end: AttemptEnd, now: Duration) {
        let held = self.tries[attempt].clone();
        let instance = self.requests[held.request].instance;
        self.outstanding[instance][held.engine] -= 1;
        if self.policy != Policy::Router {
            if end.is_failure() && held.excluded.len() < 3 {
                let retry = Event::Retry {
                    request: held.request,
                    attempt,
                };
                self.schedule(now + Duration::from_millis(20), retry);
            } else if end.is_failure() {
                self.figures.failed += 1;
            }
            return;
        }
        let mut effects = Vec::new();
        let random = self.random.random();
        let scheduler = &mut self.instances[instance];
        let retry = scheduler.on_end(held.placement, end, random, START + now, &mut effects);
        self.carry_out(instance, effects, now);
        match retry {
            Retry::After { delay, is_suspect } => {
                self.tries[attempt].is_suspect = is_suspect;
                let retry = Event::Retry {
                    request: held.request,
                    attempt,
                };
                self.schedule(now + delay, retry);
            }
            _ if end.is_failure() => self.figures.failed += 1,
            _ => {}
        }
        self.pump(instance, now);
    }

    fn on_retry(&mut self, request: usize, attempt: usize, now: Duration) {
        let held = &self.tries[attempt];
        let mut excluded = held.excluded.clone();
        excluded.push(held.engine);
        let is_suspect = held.is_suspect;
        self.place(request, excluded, is_suspect, now);
    }

    /// Reads the report of the engine with own requests whose report is oldest.
    fn on_poll(&mut self, instance: usize, now: Duration) {
        let own = &self.outstanding[instance];
        let polled = &self.polled[instance];
        let chosen = (0..self.engines.len()).min_by_key(|e| (own[*e] == 0, polled[*e]));
        if let Some(index) = chosen {
            self.polled[instance][index] = now;
            let engine = &self.engines[index];
            let (running, waiting) = engine.load();
            if engine.is_up {
                let report = LoadReport {
                    incarnation: engine.incarnation,
                    running,
                    waiting,
                    ..LoadReport::default()
                };
                let name = engine_name(index);
                self.instances[instance].on_load(&name, &report, START + now);
                self.pump(instance, now);
            }
        }
        let polls = match self.spec.instances {
            0..=32 => SMALL_FLEET_POLLS_PER_S,
            _ => LOAD_POLLS_PER_S,
        };
        let pause = Duration::from_secs(1) / polls;
        self.schedule(now + pause, Event::Poll(instance));
    }

    fn on_crash(&mut self, now: Duration) {
        let Some(period) = self.spec.crash_period else {
            return;
        };
        let engine = self.random.random_range(0..self.engines.len());
        self.figures.crashes += 1;
        for attempt in self.engines[engine].crash() {
            self.end_try(attempt, AttemptEnd::Crashed, now);
        }
        self.schedule(now + RESTART, Event::Restart(engine));
        if now + period < self.spec.duration {
            self.schedule(now + period, Event::Crash);
        }
    }
}

/// Buckets whose rates are the workspaces' shares of the planned load, with room for chance: 1.3
/// times the mean, and a burst of 5 s.
fn buckets(spec: &WorkloadSpec, requests: &[WorkRequest]) -> Vec<Bucket> {
    let mean = mean_tokens(requests);
    let rates = spec.workspaces.iter().map(|workspace| {
        let rate = spec.requests_per_s * workspace.share * mean;
        Bucket::new(rate * 1.3, (rate * 6.5).max(20.0 * mean))
    });
    rates.collect()
}

fn mean_tokens(requests: &[WorkRequest]) -> f64 {
    let tokens: u64 = requests.iter().map(WorkRequest::cost_tokens).sum();
    tokens as f64 / requests.len().max(1) as f64
}
