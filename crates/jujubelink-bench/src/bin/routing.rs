//! Benchmark of routing: compares the scheduling code with baseline policies on a simulated
//! workload, and measures the processor time of one routing decision at full size.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use jujubelink::core::config::{ConfigSnapshot, FleetConfig};
use jujubelink::core::pace::ReportedPace;
use jujubelink::core::routing::{LoadReport, RouteRequest, Router};
use jujubelink::util::hash::combine;
use jujubelink_bench::model::{Baseline, Policy, RunMetrics, quantile, run};
use jujubelink_bench::workload::{WorkRequest, WorkloadSpec, generate};
use serde_json::{Map, Value, json};

/// Options of the benchmark.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of the workload
    #[bpaf(fallback(1))]
    seed: u64,
    /// Leave out baselines
    router_only: bool,
    /// Leave out the cost of a decision
    no_decision_cost: bool,
    /// Measure only the cost of a decision
    decision_cost_only: bool,
}

fn main() {
    let options = options().run();
    println!("seed {}", options.seed);
    if !options.decision_cost_only {
        measure_workloads(&options);
    }
    if !options.no_decision_cost {
        for (targets, models) in [(130, 12), (1300, 12), (1300, 1)] {
            measure_decision(targets, models, false);
            measure_decision(targets, models, true);
        }
    }
}

fn measure_workloads(options: &Options) {
    for spec in [
        WorkloadSpec::pedra_polida(),
        WorkloadSpec::cartografia_pirata(),
    ] {
        measure(&spec.clone().without_crashes(), options, "no faults");
        measure(&spec, options, "crashes");
    }
    measure(&WorkloadSpec::full_size_model(), options, "crashes");
}

fn measure(spec: &WorkloadSpec, options: &Options, faults: &str) {
    let requests = generate(spec, options.seed);
    println!(
        "\n## {}, {faults}: {} instances, {} engines, {} requests\n",
        spec.name,
        spec.instances,
        spec.engines,
        requests.len()
    );
    println!(
        "| policy | hit rate | wasted | TTFT p50 | p95 | p99 | worst workspace p95 | p99 | refused | failed |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    if !options.router_only {
        for baseline in Baseline::ALL {
            let policy = Policy::Baseline(baseline);
            print_row(baseline.name(), &run(spec, &requests, policy, options.seed));
        }
    }
    let metrics = run(spec, &requests, Policy::Router, options.seed);
    print_row("jujubelink", &metrics);
    let [queue, engine, prefill] = metrics.mean_tail_breakdown(0.05);
    println!(
        "\nslowest 5% of jujubelink: wait in the instance {}, at the engine {}, prefill {}",
        ms(queue),
        ms(engine),
        ms(prefill)
    );
    print_workspaces(spec, &requests, &metrics, options.seed);
}

fn print_row(name: &str, metrics: &RunMetrics) {
    let worst_workspace = |part| {
        let workspaces = 0..metrics.first_tokens.len();
        let times = workspaces.map(|workspace| metrics.first_token_of(workspace, part));
        times.max().unwrap_or_default()
    };
    println!(
        "| {name} | {:.3} | {:.3} | {} | {} | {} | {} | {} | {:.3}% | {} |",
        metrics.hit_rate(),
        metrics.wasted_rate(),
        ms(metrics.first_token(0.5)),
        ms(metrics.first_token(0.95)),
        ms(metrics.first_token(0.99)),
        ms(worst_workspace(0.95)),
        ms(worst_workspace(0.99)),
        metrics.refusal_rate() * 100.0,
        metrics.failed,
    );
}

/// Number of workspaces that are reported individually.
const REPORTED_WORKSPACES: usize = 5;

fn print_workspaces(
    spec: &WorkloadSpec,
    requests: &[WorkRequest],
    combined: &RunMetrics,
    seed: u64,
) {
    println!(
        "\n| workspace | admitted | refused | p95 | p95 alone | ratio | p99 | p99 alone | ratio |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let reported = spec.workspaces.iter().enumerate().take(REPORTED_WORKSPACES);
    for (index, workspace) in reported {
        let workspace_requests = requests.iter().filter(|request| request.workspace == index);
        let workspace_requests: Vec<_> = workspace_requests.cloned().collect();
        let isolated = run(spec, &workspace_requests, Policy::Router, seed);
        let (p95, p95_alone) = (
            combined.first_token_of(index, 0.95),
            isolated.first_token_of(index, 0.95),
        );
        let (p99, p99_alone) = (
            combined.first_token_of(index, 0.99),
            isolated.first_token_of(index, 0.99),
        );
        println!(
            "| {} | {} | {} | {} | {} | {:.2} | {} | {} | {:.2} |",
            workspace.name,
            combined.admitted[index],
            combined.refused[index],
            ms(p95),
            ms(p95_alone),
            p95.as_secs_f64() / p95_alone.as_secs_f64(),
            ms(p99),
            ms(p99_alone),
            p99.as_secs_f64() / p99_alone.as_secs_f64(),
        );
    }
}

fn ms(time: Duration) -> String {
    format!("{:.0} ms", time.as_secs_f64() * 1000.0)
}

/// Number of routing decisions to time.
const DECISION_COUNT: usize = 100_000;

/// Number of distinct prefixes on the first level (the first two blocks) of the timed requests.
const FIRST_LEVEL_PREFIXES: u64 = 1500;
/// Number of distinct second levels (the next four blocks) for each prefix of the first level.
const SECOND_LEVEL_PREFIXES: u64 = 20;

/// Measures the time of a decision. With `reports_pace` each response reports the pace of its target.
fn measure_decision(targets: usize, models: usize, reports_pace: bool) {
    let config = fleet(targets, models);
    let mut router = Router::new();
    let started = Instant::now();
    router.on_config(&config);
    let build = started.elapsed();
    router.set_instance_count(380);
    let names: Vec<String> = (0..models).map(|model| format!("m{model}")).collect();
    let mut times = Vec::with_capacity(DECISION_COUNT);
    let mut now = Duration::from_secs(1000);
    for index in 0..DECISION_COUNT as u64 {
        let draw = combine(7, index);
        let blocks = blocks_of(draw, index);
        let request = RouteRequest {
            model: &names[draw as usize % models],
            blocks: &blocks,
            prompt_bytes: blocks.len() * 4000 + 2000,
            excluded: &[],
            is_suspect: false,
            is_urgent: false,
            rate_tokens_per_s: 0,
        };
        // 7.6 requests per second, the load of one instance in a fleet of 380.
        now += Duration::from_millis(131);
        let started = Instant::now();
        let choice = router.choose(&request, draw, now).expect("a target");
        router.on_sent(&request, &choice, now);
        times.push(started.elapsed());
        if reports_pace {
            let report = LoadReport {
                running: 1 + (draw % 8) as u32,
                max_running: 16,
                pace: ReportedPace::Permille(600 + (draw % 1000) as u32),
                ..LoadReport::default()
            };
            router.on_load(choice.target, &report, now);
            router.on_first_token(request.model, &choice, choice.prefill_s, now);
        }
        let load = &mut router.targets_mut().get_mut(choice.target).load;
        load.on_prefilled(now);
        load.on_ended();
    }
    println!(
        "\ndecision, {targets} targets, {models} models, paces {reports_pace}: p50 {:.1} µs, p99 {:.1} µs, p99.9 {:.1} µs, table build {}",
        micros(quantile(times.iter().copied(), 0.5)),
        micros(quantile(times.iter().copied(), 0.99)),
        micros(quantile(times.iter().copied(), 0.999)),
        ms(build)
    );
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

/// Returns the fingerprints of a prompt of 14 blocks: 2 of the first level, 4 of the second, and 8
/// that four consecutive requests share. Low-numbered prefixes are drawn more often.
fn blocks_of(draw: u64, index: u64) -> Vec<u64> {
    let skew =
        |bits: u64, count: u64| (((bits % 1024) as f64 / 1024.0).powi(4) * count as f64) as u64;
    let first_level = skew(draw >> 10, FIRST_LEVEL_PREFIXES);
    let second_level = skew(draw >> 24, SECOND_LEVEL_PREFIXES);
    let mut chained = combine(first_level, 0);
    (0..14u64)
        .map(|position| {
            let content = match position {
                0..2 => 0,
                2..6 => second_level,
                _ => index / 4,
            };
            chained = combine(chained, combine(content, position));
            chained
        })
        .collect()
}

fn fleet(targets: usize, models: usize) -> ConfigSnapshot {
    let targets: Map<String, Value> = (0..targets)
        .map(|index| {
            let target = json!({ "kind": "engine", "address": "127.0.0.1:9",
                "failure_domain": "a", "models": [format!("m{}", index % models)] });
            (format!("t{index:04}"), target)
        })
        .collect();
    let models: Map<String, Value> = (0..models)
        .map(|index| (format!("m{index}"), json!({ "weights_version": "1" })))
        .collect();
    let fleet: FleetConfig =
        serde_json::from_value(json!({ "targets": targets, "models": models }))
            .expect("a valid configuration");
    ConfigSnapshot::new(1, fleet)
}
