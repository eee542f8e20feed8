//! A queueing model of targets with different and changing speed, and of instances that decide by partial and
//! late views: each learns the state of a target only from its own responses.

use std::collections::BinaryHeap;
use std::time::Duration;

use jujubelink::core::config::{ConfigSnapshot, TargetKind};
use jujubelink::core::ids::{TargetId, Timestamp};
use jujubelink::core::pace::ReportedPace;
use jujubelink::core::routing::LoadReport;
use jujubelink::core::scheduler::{AttemptEnd, Scheduler};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::decisions::{config_with_engines, engine_name};

/// Mean time of a call at a pace of 1, in seconds.
const CALL_S: f64 = 0.06;
const SLOTS: usize = 6;
const START: Timestamp = Duration::from_secs(100);

/// True pace of a target at a time in seconds.
type PaceAt = fn(usize, f64) -> f64;
/// Figure that a target reports, from its true pace.
type ReportAt = fn(usize, f64) -> ReportedPace;

#[derive(Clone, Copy)]
struct Setting {
    targets: usize,
    deciders: usize,
    /// Part of the slots that are in use at the speeds at the start.
    utilization: f64,
    pace: PaceAt,
    report: ReportAt,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Policy {
    RoundRobin,
    LeastOutstanding,
    /// Random choice by the true speeds.
    Oracle,
    Paced,
}

/// End of a call, in the order of time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct End {
    at: std::cmp::Reverse<Timestamp>,
    decider: usize,
    target: usize,
    placement: u64,
}

struct Outcome {
    /// Arrival in seconds, and time to the end in seconds.
    calls: Vec<(f64, f64)>,
    arrivals: Vec<u32>,
}

impl Outcome {
    fn p95(&self, from_s: f64, to_s: f64) -> f64 {
        let in_window = |call: &&(f64, f64)| (from_s..to_s).contains(&call.0);
        let mut times: Vec<f64> = self
            .calls
            .iter()
            .filter(in_window)
            .map(|call| call.1)
            .collect();
        times.sort_by(f64::total_cmp);
        times[times.len() * 95 / 100]
    }

    fn busiest(&self) -> f64 {
        let mean = self.calls.len() as f64 / self.arrivals.len() as f64;
        self.arrivals.iter().copied().max().map_or(0.0, f64::from) / mean
    }
}

fn service(targets: usize) -> ConfigSnapshot {
    let mut config = config_with_engines(targets);
    for target in config.fleet.targets.values_mut() {
        target.kind = TargetKind::Service;
        target.models.clear();
        target.max_running = SLOTS as u32;
    }
    config
}

/// Draws a target with a probability in proportion to its speed.
fn draw_by_speed(setting: &Setting, now_s: f64, random: &mut StdRng) -> usize {
    let speed = |target: usize| 1.0 / (setting.pace)(target, now_s);
    let sum: f64 = (0..setting.targets).map(speed).sum();
    let mut rest = random.random::<f64>() * sum;
    let found = (0..setting.targets).find(|target| {
        rest -= speed(*target);
        rest <= 0.0
    });
    found.unwrap_or(0)
}

fn simulate(setting: &Setting, policy: Policy, seconds: f64, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let ids: Vec<TargetId> = (0..setting.targets)
        .map(|index| engine_name(index).into())
        .collect();
    let config = service(setting.targets);
    let mut deciders: Vec<Scheduler> = (0..setting.deciders)
        .map(|_| {
            let mut scheduler = Scheduler::new();
            scheduler.on_config(&config);
            scheduler
                .router_mut()
                .set_instance_count(setting.deciders as u32);
            scheduler
        })
        .collect();
    let mut free_at = vec![vec![Timestamp::ZERO; SLOTS]; setting.targets];
    let mut at_target = vec![0u32; setting.targets];
    let mut ends: BinaryHeap<End> = BinaryHeap::new();
    let mut outcome = Outcome {
        calls: Vec::new(),
        arrivals: vec![0; setting.targets],
    };
    let slots: f64 = (0..setting.targets)
        .map(|target| SLOTS as f64 / (setting.pace)(target, 0.0))
        .sum();
    let rate = setting.utilization * slots / CALL_S;
    let mut now_s = 0.0;
    let mut call = 0usize;
    while now_s < seconds {
        now_s -= (1.0 - random.random::<f64>()).ln() / rate;
        let now = START + Duration::from_secs_f64(now_s);
        while ends.peek().is_some_and(|end| end.at.0 <= now) {
            let End {
                at,
                decider,
                target,
                placement,
            } = ends.pop().expect("an end");
            let end_s = (at.0 - START).as_secs_f64();
            let count = at_target[target];
            at_target[target] -= 1;
            if policy == Policy::RoundRobin || policy == Policy::Oracle {
                continue;
            }
            let report = LoadReport {
                running: count.min(SLOTS as u32),
                waiting: count.saturating_sub(SLOTS as u32),
                max_running: SLOTS as u32,
                pace: match policy {
                    Policy::Paced => (setting.report)(target, end_s),
                    _ => ReportedPace::Missing,
                },
                ..LoadReport::default()
            };
            let scheduler = &mut deciders[decider];
            scheduler.on_load(&ids[target], &report, at.0);
            let completed = AttemptEnd::Completed {
                incarnation: 0,
                cached_tokens: None,
            };
            scheduler.on_end(placement, completed, 7, at.0, &mut Vec::new());
        }
        let decider = random.random_range(0..setting.deciders);
        let (placement, target) = match policy {
            Policy::RoundRobin => (0, call % setting.targets),
            Policy::Oracle => (0, draw_by_speed(setting, now_s, &mut random)),
            _ => {
                let scheduler = &mut deciders[decider];
                let placed = scheduler.place_plain(&ids, &[], random.random(), now);
                let (placement, id) = placed.expect("a target");
                (
                    placement,
                    ids.iter().position(|other| *other == id).expect("a target"),
                )
            }
        };
        call += 1;
        at_target[target] += 1;
        outcome.arrivals[target] += 1;
        let slot = free_at[target].iter_mut().min().expect("a slot");
        let start = now.max(*slot);
        let pace = (setting.pace)(target, (start - START).as_secs_f64());
        *slot = start + Duration::from_secs_f64(CALL_S * (0.5 + random.random::<f64>()) * pace);
        outcome.calls.push((now_s, (*slot - now).as_secs_f64()));
        ends.push(End {
            at: std::cmp::Reverse(*slot),
            decider,
            target,
            placement,
        });
    }
    outcome
}

fn permille(pace: f64) -> ReportedPace {
    ReportedPace::Permille((pace * 1000.0).round() as u32)
}

/// Paces of targets whose speeds are 0.6, 1.0 and 1.6.
fn constant(target: usize, _now_s: f64) -> f64 {
    [1.0 / 0.6, 1.0, 1.0, 1.0 / 1.6][target % 4]
}

fn step(target: usize, now_s: f64) -> f64 {
    match target.is_multiple_of(4) && now_s >= 10.0 {
        true => 3.0,
        false => 1.0,
    }
}

fn ramp(target: usize, now_s: f64) -> f64 {
    match target.is_multiple_of(4) {
        true => 1.0 + 2.0 * ((now_s - 5.0) / 10.0).clamp(0.0, 1.0),
        false => 1.0,
    }
}

fn sine(target: usize, now_s: f64) -> f64 {
    (0.5 * (now_s * std::f64::consts::TAU / 8.0 + target as f64).sin()).exp()
}

/// Returns the ratio of the 95th percentile of the time of a call to the one with ideal weights.
fn ratio_to_oracle(setting: &Setting, from_s: f64, to_s: f64) -> f64 {
    let p95 = |policy| simulate(setting, policy, to_s, 7).p95(from_s, to_s);
    p95(Policy::Paced) / p95(Policy::Oracle)
}

/// Numbers of targets and deciders, and parts of the slots in use.
const SIZES: [(usize, usize, f64); 5] = [
    (4, 1, 0.5),
    (4, 1, 0.7),
    (4, 85, 0.1),
    (4, 85, 0.5),
    (16, 8, 0.5),
];

fn settings(pace: PaceAt, report: ReportAt) -> impl Iterator<Item = Setting> {
    SIZES
        .into_iter()
        .map(move |(targets, deciders, utilization)| Setting {
            targets,
            deciders,
            utilization,
            pace,
            report,
        })
}

fn assert_ratio(setting: &Setting, window_s: (f64, f64), max_ratio: f64) {
    let ratio = ratio_to_oracle(setting, window_s.0, window_s.1);
    assert!(
        ratio <= max_ratio,
        "{ratio:.2} at {} targets, {} deciders, load {}",
        setting.targets,
        setting.deciders,
        setting.utilization
    );
}

/// Guards against placements that are slower than ideal weights although the speeds do not change.
#[test]
fn constant_speeds_are_within_the_goal() {
    let busy = Setting {
        targets: 4,
        deciders: 85,
        utilization: 0.7,
        pace: constant,
        report: |target, now_s| permille(constant(target, now_s)),
    };
    for setting in settings(busy.pace, busy.report).chain([busy]) {
        assert_ratio(&setting, (5.0, 15.0), 1.15);
    }
    let p95 = |policy| simulate(&busy, policy, 15.0, 7).p95(5.0, 15.0);
    let paced = p95(Policy::Paced);
    for other in [Policy::RoundRobin, Policy::LeastOutstanding] {
        assert!(paced < p95(other), "not better than {other:?}");
    }
}

/// Guards against placements by speeds that targets no longer have, 3 s after a step. Many instances with few
/// calls each don't meet the goal (see docs/design/target-capacity.md), so they are not tested here.
#[test]
fn a_step_of_speed_is_followed() {
    let settings = settings(step, |target, now_s| permille(step(target, now_s)));
    for setting in settings.filter(|setting| (setting.deciders, setting.utilization) != (85, 0.1)) {
        assert_ratio(&setting, (13.0, 18.0), 1.2);
    }
}

/// Guards against placements that lag behind a slow change of speed.
#[test]
fn a_ramp_of_speed_is_followed() {
    for setting in settings(ramp, |target, now_s| permille(ramp(target, now_s))) {
        assert_ratio(&setting, (5.0, 15.0), 1.3);
    }
}

/// Guards against placements that swing with speeds that rise and fall.
#[test]
fn a_sine_of_speed_is_followed() {
    for setting in settings(sine, |target, now_s| permille(sine(target, now_s))) {
        assert_ratio(&setting, (5.0, 15.0), 1.3);
    }
}

/// Guards against a fastest target that gets nearly all calls of many instances.
#[test]
fn many_instances_do_not_herd() {
    for setting in settings(constant, |target, now_s| permille(constant(target, now_s))) {
        let outcome = simulate(&setting, Policy::Paced, 10.0, 7);
        let all = setting.targets as f64;
        let fastest = setting.targets as f64 / 4.0;
        // Among a quarter of the targets the calls would be at most that much above the mean.
        assert!(
            outcome.busiest() < 0.8 * all / fastest,
            "{}",
            outcome.busiest()
        );
    }
}

/// Checks that wrong figures cost little against placements without figures.
fn assert_not_worse_than_unpaced(pace: PaceAt, report: ReportAt, from_s: f64) {
    for setting in settings(pace, report) {
        let p95 = |policy| simulate(&setting, policy, 20.0, 7).p95(from_s, 20.0);
        let (paced, unpaced) = (p95(Policy::Paced), p95(Policy::LeastOutstanding));
        assert!(
            paced <= 1.15 * unpaced,
            "{paced} and {unpaced} at {} targets, {} deciders, load {}",
            setting.targets,
            setting.deciders,
            setting.utilization
        );
    }
}

/// Guards against targets that report the reverse of their speeds and make placements worse than those
/// without figures.
#[test]
fn reversed_figures_are_corrected() {
    let report: ReportAt = |target, now_s| permille(1.0 / constant(target, now_s));
    assert_not_worse_than_unpaced(constant, report, 5.0);
}

/// Guards against figures that stay the same while their targets become slow.
#[test]
fn frozen_figures_are_corrected() {
    assert_not_worse_than_unpaced(step, |_, _| permille(1.0), 15.0);
}
