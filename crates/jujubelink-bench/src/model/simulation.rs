//! Event loop of the simulation.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use jujubelink::core::routing::{LoadReport, rendezvous_score};
use jujubelink::core::scheduler::{AttemptEnd, Effect, NewRequest, Retry, Scheduler};
use jujubelink::ops::scheduler::LOAD_POLLS_PER_S;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::baseline::oracle_choice;
use super::fleet_config::{build_config, engine_index, engine_name, model_of_engine};
use super::token_bucket::Bucket;
use super::{Baseline, Engine, FirstTokenBreakdown, RunMetrics};
use crate::workload::{BLOCK_TOKENS, WorkRequest, WorkloadSpec};

/// One-way network delay between an instance and an engine.
const NETWORK_DELAY: Duration = Duration::from_micros(500);

/// Time that an engine needs to restart after a crash.
const RESTART_TIME: Duration = Duration::from_millis(1300);

/// Time within which a request must be dispatched.
const DISPATCH_TIMEOUT: Duration = Duration::from_millis(410);

/// Interval at which an instance tries to dispatch its queued requests.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Rate at which an instance of a small fleet polls load reports, as in the scheduler plug-in.
const SMALL_FLEET_LOAD_POLLS_PER_S: u32 = 12;

/// Requests that arrive within this time fill the caches and are not counted.
const WARM_UP: Duration = Duration::from_secs(10);

/// Value of the clock of the scheduling code when the simulation starts. It must be positive.
const CLOCK_START: Duration = Duration::from_secs(1000);

/// The policy under test, which chooses the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The routing and scheduling code of jujubelink.
    Router,
    /// A baseline policy.
    Baseline(Baseline),
}

/// An event of the simulation. A number without a name is the index of a request, instance or
/// engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Submit { attempt: usize },
    PrefillEnd { attempt: usize, incarnation: u64 },
    Completed { attempt: usize, incarnation: u64 },
    Retry { request: usize, attempt: usize },
    Poll(usize),
    DispatchQueued(usize),
    Tick(usize),
    Crash,
    Restart(usize),
}

/// One attempt of a request at an engine.
#[derive(Debug, Clone)]
struct Attempt {
    request: usize,
    engine: usize,
    /// Id of the placement in the scheduler.
    placement: u64,
    cached_blocks: usize,
    sent_at: Duration,
    /// When the prefill started.
    prefill_at: Duration,
    is_suspect: bool,
    /// Engines of earlier attempts.
    excluded: Vec<usize>,
}

/// A request that waits in an instance's queue.
#[derive(Debug, Clone)]
struct QueuedRequest {
    request: usize,
    excluded: Vec<usize>,
    is_suspect: bool,
}

/// State of a simulated run.
struct Simulation<'a> {
    spec: &'a WorkloadSpec,
    requests: &'a [WorkRequest],
    policy: Policy,
    engines: Vec<Engine>,
    engines_by_model: Vec<Vec<usize>>,
    /// Pending events by time, then by order of scheduling.
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next_event: u64,
    attempts: Vec<Attempt>,
    /// Schedulers of the instances; empty for a baseline.
    instances: Vec<Scheduler>,
    /// Queued requests of each instance by the job number of its scheduler.
    queued_requests: Vec<HashMap<u64, QueuedRequest>>,
    /// Time of the last load poll, by instance and engine.
    last_polled_at: Vec<Vec<Duration>>,
    is_dispatch_scheduled: Vec<bool>,
    /// Number of outstanding attempts, by instance and engine.
    outstanding: Vec<Vec<u32>>,
    /// Counter of the round-robin baseline, by instance.
    round_robin_next: Vec<usize>,
    /// Rate limits by workspace.
    buckets: Vec<Bucket>,
    random: ChaCha8Rng,
    metrics: RunMetrics,
    /// Whether the first token was delivered, by request.
    is_started: Vec<bool>,
}

/// Simulates `requests` under a policy and returns the results.
pub fn run(spec: &WorkloadSpec, requests: &[WorkRequest], policy: Policy, seed: u64) -> RunMetrics {
    let mut simulation = Simulation::new(spec, requests, policy, seed);
    simulation.schedule_start();
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        if now > spec.duration + Duration::from_secs(20) {
            break;
        }
        simulation.handle(event, now);
    }
    simulation.metrics
}

impl<'a> Simulation<'a> {
    fn new(spec: &'a WorkloadSpec, requests: &'a [WorkRequest], policy: Policy, seed: u64) -> Self {
        let config = build_config(spec, mean_tokens(requests));
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
        let mut engines_by_model = vec![Vec::new(); spec.models.len()];
        for engine in 0..spec.engines {
            engines_by_model[model_of_engine(spec, engine)].push(engine);
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
            queued_requests: vec![HashMap::new(); instances],
            last_polled_at: vec![vec![Duration::ZERO; spec.engines]; instances],
            is_dispatch_scheduled: vec![false; instances],
            outstanding: vec![vec![0; spec.engines]; spec.instances],
            round_robin_next: (0..spec.instances).collect(),
            buckets: buckets(spec, requests),
            random: ChaCha8Rng::seed_from_u64(seed),
            metrics: RunMetrics::new(spec.workspaces.len()),
            is_started: vec![false; requests.len()],
            events: BinaryHeap::new(),
            next_event: 0,
            attempts: Vec::new(),
            spec,
            requests,
            policy,
            engines_by_model,
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
            Event::DispatchQueued(instance) => {
                self.is_dispatch_scheduled[instance] = false;
                self.dispatch_queued(instance, now);
            }
            Event::Tick(instance) => {
                self.instances[instance].on_tick(CLOCK_START + now);
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
        let work_request = &self.requests[request];
        if !self.buckets[work_request.workspace].try_take(work_request.cost_tokens(), now) {
            self.metrics.over_rate += 1;
            return;
        }
        if now >= WARM_UP {
            self.metrics.admitted[work_request.workspace] += 1;
        }
        self.place(request, Vec::new(), false, now);
    }

    /// Sends a request, or a retry of it, according to the policy.
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
        let work_request = &self.requests[request];
        let instance = work_request.instance;
        let new = NewRequest {
            workspace: self.spec.workspaces[work_request.workspace]
                .name
                .as_str()
                .into(),
            model: self.spec.models[work_request.model].name.into(),
            prompt: work_request.prompt.clone(),
            cost_tokens: work_request.cost_tokens(),
            deadline: CLOCK_START + now + DISPATCH_TIMEOUT,
            excluded: excluded.iter().map(|e| engine_name(*e).into()).collect(),
            is_suspect,
            aims: None,
        };
        let mut effects = Vec::new();
        let scheduler = &mut self.instances[instance];
        let job = scheduler.on_request(new, CLOCK_START + now, &mut effects);
        self.queued_requests[instance].insert(
            job,
            QueuedRequest {
                request,
                excluded,
                is_suspect,
            },
        );
        self.apply_effects(instance, effects, now);
        self.dispatch_queued(instance, now);
    }

    /// Dispatches queued requests of an instance and schedules the next try if some remain.
    fn dispatch_queued(&mut self, instance: usize, now: Duration) {
        let mut effects = Vec::new();
        let random = self.random.random();
        self.instances[instance].dispatch_waiting(random, CLOCK_START + now, &mut effects);
        self.apply_effects(instance, effects, now);
        if self.instances[instance].queued() > 0 && !self.is_dispatch_scheduled[instance] {
            self.is_dispatch_scheduled[instance] = true;
            self.schedule(now + DISPATCH_INTERVAL, Event::DispatchQueued(instance));
        }
    }

    /// Applies the effects that the scheduler of an instance requested.
    fn apply_effects(&mut self, instance: usize, effects: Vec<Effect>, now: Duration) {
        for effect in effects {
            match effect {
                Effect::Dispatch(dispatch) => {
                    let job = self.queued_requests[instance].remove(&dispatch.job);
                    let QueuedRequest {
                        request,
                        excluded,
                        is_suspect,
                    } = job.expect("a waiting job");
                    let engine = engine_index(&dispatch.target);
                    let attempt = self.add_attempt(request, engine, excluded, is_suspect, now);
                    self.attempts[attempt].placement = dispatch.placement;
                    self.schedule(now + NETWORK_DELAY, Event::Submit { attempt });
                }
                Effect::Refuse { job, .. } => {
                    let job = self.queued_requests[instance]
                        .remove(&job)
                        .expect("a waiting job");
                    let work_request = &self.requests[job.request];
                    if work_request.at >= WARM_UP {
                        self.metrics.refused[work_request.workspace] += 1;
                    }
                }
                Effect::Publish(notice) => {
                    for (other, scheduler) in self.instances.iter_mut().enumerate() {
                        if other != instance {
                            scheduler.on_suspect_update(notice, CLOCK_START + now);
                        }
                    }
                }
            }
        }
    }

    fn add_attempt(
        &mut self,
        request: usize,
        engine: usize,
        excluded: Vec<usize>,
        is_suspect: bool,
        now: Duration,
    ) -> usize {
        self.outstanding[self.requests[request].instance][engine] += 1;
        self.attempts.push(Attempt {
            request,
            engine,
            placement: 0,
            cached_blocks: 0,
            sent_at: now,
            prefill_at: now,
            is_suspect,
            excluded,
        });
        self.attempts.len() - 1
    }

    fn place_baseline(
        &mut self,
        baseline: Baseline,
        request: usize,
        excluded: Vec<usize>,
        now: Duration,
    ) {
        let work_request = &self.requests[request];
        let all = &self.engines_by_model[work_request.model];
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
                self.round_robin_next[work_request.instance] += 1;
                allowed
                    .get(self.round_robin_next[work_request.instance] % count.max(1))
                    .copied()
            }
            Baseline::LeastOutstanding => {
                let outstanding = &self.outstanding[work_request.instance];
                let draw = self.random.random();
                let key = |e: &usize| (outstanding[*e], rendezvous_score(draw, *e as u64));
                allowed.iter().copied().min_by_key(key)
            }
            Baseline::PromptHash => {
                let hash = work_request
                    .prompt
                    .blocks
                    .last()
                    .copied()
                    .unwrap_or(work_request.prompt.whole);
                let score = |e: &usize| rendezvous_score(hash, *e as u64 + 1);
                allowed.iter().copied().max_by_key(score)
            }
            Baseline::Oracle => {
                let prefill_time_of = |engine: usize, attempt: usize| {
                    let queued = &self.requests[self.attempts[attempt].request];
                    let cached = self.engines[engine].cached_blocks(&queued.prompt.blocks);
                    self.engines[engine].prefill_time(queued, cached)
                };
                oracle_choice(&self.engines, &allowed, work_request, now, prefill_time_of)
            }
        };
        let Some(engine) = chosen else {
            self.metrics.failed += 1;
            return;
        };
        let attempt = self.add_attempt(request, engine, excluded, false, now);
        // The oracle skips the network delay, so that its next choice sees this request at the
        // engine.
        if baseline == Baseline::Oracle {
            self.on_submit(attempt, now);
        } else {
            self.schedule(now + NETWORK_DELAY, Event::Submit { attempt });
        }
    }

    fn on_submit(&mut self, attempt: usize, now: Duration) {
        let engine = self.attempts[attempt].engine;
        if !self.engines[engine].is_up {
            self.end_attempt(attempt, AttemptEnd::ConnectFailed, now);
            return;
        }
        self.engines[engine].submit(attempt);
        self.start_prefill(engine, now);
    }

    fn start_prefill(&mut self, engine: usize, now: Duration) {
        let (requests, attempts) = (self.requests, &self.attempts);
        let request_of = |attempt: usize| &requests[attempts[attempt].request];
        let Some(prefill) = self.engines[engine].start_prefill(now, request_of) else {
            return;
        };
        let attempt = prefill.attempt;
        self.attempts[attempt].cached_blocks = prefill.cached_blocks;
        self.attempts[attempt].prefill_at = now;
        let work_request = &self.requests[self.attempts[attempt].request];
        if work_request.at >= WARM_UP {
            let up = self.engines_by_model[work_request.model]
                .iter()
                .map(|e| &self.engines[*e]);
            let best = up
                .map(|e| e.cached_blocks(&work_request.prompt.blocks))
                .max();
            let wasted = best.unwrap_or(0).saturating_sub(prefill.cached_blocks);
            self.metrics.wasted_tokens += wasted as u64 * BLOCK_TOKENS;
        }
        let incarnation = self.engines[engine].incarnation;
        let event = Event::PrefillEnd {
            attempt,
            incarnation,
        };
        self.schedule(prefill.ends_at, event);
    }

    fn on_prefill_end(&mut self, attempt: usize, incarnation: u64, now: Duration) {
        let engine = self.attempts[attempt].engine;
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let request = self.attempts[attempt].request;
        let work_request = &self.requests[request];
        let decode = self.engines[engine].end_prefill(work_request);
        if work_request.at >= WARM_UP {
            let cached = self.attempts[attempt].cached_blocks as u64 * BLOCK_TOKENS;
            self.metrics.prompt_tokens += work_request.prompt_tokens;
            self.metrics.cached_tokens += cached;
            if !self.is_started[request] {
                let first_token_time = now + NETWORK_DELAY - work_request.at;
                self.metrics.first_tokens[work_request.workspace].push(first_token_time);
                let attempt = &self.attempts[attempt];
                self.metrics.breakdowns.push(FirstTokenBreakdown {
                    first_token: first_token_time,
                    queue: attempt.sent_at - work_request.at,
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
            let instance = work_request.instance;
            let placement = self.attempts[attempt].placement;
            self.instances[instance].on_first_token(placement, CLOCK_START + now);
            self.dispatch_queued(instance, now);
        }
        self.start_prefill(engine, now);
    }

    fn on_completed(&mut self, attempt: usize, incarnation: u64, now: Duration) {
        let engine = self.attempts[attempt].engine;
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        self.engines[engine].complete(attempt);
        self.start_prefill(engine, now);
        let cached = self.attempts[attempt].cached_blocks as u64 * BLOCK_TOKENS;
        let end = AttemptEnd::Completed {
            incarnation,
            cached_tokens: Some(cached),
        };
        self.end_attempt(attempt, end, now);
    }

    fn end_attempt(&mut self, attempt: usize, end: AttemptEnd, now: Duration) {
        let ended = self.attempts[attempt].clone();
        let instance = self.requests[ended.request].instance;
        self.outstanding[instance][ended.engine] -= 1;
        if self.policy != Policy::Router {
            if end.is_failure() && ended.excluded.len() < 3 {
                let retry = Event::Retry {
                    request: ended.request,
                    attempt,
                };
                self.schedule(now + Duration::from_millis(20), retry);
            } else if end.is_failure() {
                self.metrics.failed += 1;
            }
            return;
        }
        let mut effects = Vec::new();
        let random = self.random.random();
        let scheduler = &mut self.instances[instance];
        let retry = scheduler.on_end(
            ended.placement,
            end,
            random,
            CLOCK_START + now,
            &mut effects,
        );
        self.apply_effects(instance, effects, now);
        match retry {
            Retry::After { delay, is_suspect } => {
                self.attempts[attempt].is_suspect = is_suspect;
                let retry = Event::Retry {
                    request: ended.request,
                    attempt,
                };
                self.schedule(now + delay, retry);
            }
            _ if end.is_failure() => self.metrics.failed += 1,
            _ => {}
        }
        self.dispatch_queued(instance, now);
    }

    fn on_retry(&mut self, request: usize, attempt: usize, now: Duration) {
        let previous = &self.attempts[attempt];
        let mut excluded = previous.excluded.clone();
        excluded.push(previous.engine);
        let is_suspect = previous.is_suspect;
        self.place(request, excluded, is_suspect, now);
    }

    /// Polls the engine whose load report is oldest. Engines with outstanding requests of this
    /// instance take precedence.
    fn on_poll(&mut self, instance: usize, now: Duration) {
        let outstanding = &self.outstanding[instance];
        let last_polled_at = &self.last_polled_at[instance];
        let chosen =
            (0..self.engines.len()).min_by_key(|e| (outstanding[*e] == 0, last_polled_at[*e]));
        if let Some(index) = chosen {
            self.last_polled_at[instance][index] = now;
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
                self.instances[instance].on_load(&name, &report, CLOCK_START + now);
                self.dispatch_queued(instance, now);
            }
        }
        let polls = match self.spec.instances {
            0..=32 => SMALL_FLEET_LOAD_POLLS_PER_S,
            _ => LOAD_POLLS_PER_S,
        };
        let poll_interval = Duration::from_secs(1) / polls;
        self.schedule(now + poll_interval, Event::Poll(instance));
    }

    fn on_crash(&mut self, now: Duration) {
        let Some(period) = self.spec.crash_period else {
            return;
        };
        let engine = self.random.random_range(0..self.engines.len());
        self.metrics.crashes += 1;
        for attempt in self.engines[engine].crash() {
            self.end_attempt(attempt, AttemptEnd::Crashed, now);
        }
        self.schedule(now + RESTART_TIME, Event::Restart(engine));
        if now + period < self.spec.duration {
            self.schedule(now + period, Event::Crash);
        }
    }
}

/// Returns the rate limits of the workspaces: 1.3 times their shares of the planned load, so that
/// random peaks stay within the limit, and a burst of 5 s at that rate.
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
