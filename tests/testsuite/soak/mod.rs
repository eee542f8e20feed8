//! Soaks: clients that keep their connections, while seeded faults, changes of the configuration and
//! restarts come in series and overlap. DEVELOPERS.md states how to run further seeds.

mod client;
mod schedule;
mod targets;
mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;

use self::client::run_client;
use self::world::{MAX_ATTEMPTS, ROUTES, World};
use crate::support::{eventually, run};

/// Time within which requests to a target that leaves have to end.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Seeds that failed once, with their causes. CI runs the first two.
const FAILED_SEEDS: [(u64, &str); 18] = [
    (1, RESEND_FAILED),
    (2, RESEND_FAILED),
    (3, RESEND_FAILED),
    (4, RESEND_FAILED),
    (5, RESEND_FAILED),
    (6, RESEND_FAILED),
    (7, RESEND_FAILED),
    (8, RESEND_FAILED),
    (9, TAKEOVER_FAILED),
    (10, RESEND_FAILED),
    (11, TAKEOVER_FAILED),
    (12, RESEND_FAILED),
    (13, RESEND_FAILED),
    (14, RESEND_FAILED),
    (15, RESEND_FAILED),
    (16, RESEND_FAILED),
    (121, BODY_REFUSED),
    (126, BODY_REFUSED),
];

/// Issue 23.
const RESEND_FAILED: &str = "streams of silent targets were given up, and could not be resumed";

/// Issue 23, also after the cause of [`RESEND_FAILED`] was mended.
const TAKEOVER_FAILED: &str = "silent targets were given up before the next one refused or failed";

/// Issue 29.
const BODY_REFUSED: &str =
    "connections were closed after a refusal while the body of the request was still arriving";

/// Runs of a stream that may be resumed. A target whose run was cancelled may run it again.
const MAX_STREAM_RUNS: usize = 4;

const MACHINES: usize = 3;
const CLIENTS_PER_ROUTE: usize = 6;
const CI_DURATION: Duration = Duration::from_secs(20);

/// Runs a soak. Returns its violations.
async fn soak(seed: u64, duration: Duration) -> Vec<String> {
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let world = World::start(seed, MACHINES).await;
    let clients = (0..ROUTES.len() * CLIENTS_PER_ROUTE).map(|number| {
        let random = StdRng::seed_from_u64(seed * 1_000 + number as u64);
        let route = number % ROUTES.len();
        compio::runtime::spawn(run_client(world.clone(), number, route, random))
    });
    let clients: Vec<_> = clients.collect();
    let end = Instant::now() + duration;
    let mut stall_random = StdRng::seed_from_u64(!seed);
    let stalls = schedule::stalls(&world, end, &mut stall_random);
    futures_util::join!(schedule::run(&world, end, &mut random), stalls);
    let before = world.counts.borrow().complete;
    eventually("each route is served after the faults", || async {
        let complete = world.counts.borrow().complete;
        let is_served = complete
            .iter()
            .zip(&before)
            .all(|(now, before)| now > before);
        is_served.then_some(())
    })
    .await;
    // Clients use their connections until the processes are gone.
    let stops = world
        .machines
        .iter()
        .map(|machine| world.stop_process(machine));
    futures_util::future::join_all(stops).await;
    world.is_over.set(true);
    for client in clients {
        client.await.unwrap();
    }
    check_runs(&world);
    let counts = world.counts.borrow().clone();
    println!("seed {seed}: {counts:?}");
    if counts.overdue >= 8 && counts.overdue * 2 > counts.due {
        world.violation(format!("timeout: {counts:?}"));
    }
    let violations = world.violations.take();
    if violations.is_empty() {
        world.remove_logs();
    }
    violations
}

/// Checks that no request ran at more targets, or more often, than its route allows.
fn check_runs(world: &World) {
    for (id, arrivals) in world.ledger.all() {
        let runs: Vec<_> = arrivals
            .iter()
            .filter(|arrival| !arrival.is_not_run)
            .collect();
        let targets: BTreeSet<_> = runs.iter().map(|arrival| &arrival.target).collect();
        let number: usize = id[1..].split('-').next().unwrap().parse().unwrap();
        let (name, _, _) = ROUTES[number % ROUTES.len()];
        let max_attempts = MAX_ATTEMPTS[number % ROUTES.len()];
        let (max_targets, max_runs) = match name {
            "read" => (max_attempts, max_attempts),
            "ask" => (max_attempts, MAX_STREAM_RUNS),
            _ => (1, 1),
        };
        if targets.len() > max_targets || runs.len() > max_runs {
            let (targets, runs) = (targets.len(), runs.len());
            world.violation(format!(
                "twice: {name} {id} ran {runs} times at {targets} targets: {arrivals:?}"
            ));
        }
    }
}

fn check((seed, cause): (u64, &str)) {
    println!("cause of an earlier failure: {cause}");
    let violations = run(soak(seed, CI_DURATION));
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Guards against requests that are lost or run twice when faults, changes and restarts overlap.
#[test]
fn overlapping_faults_lose_no_request_first_seed() {
    check(FAILED_SEEDS[0]);
}

/// Guards against requests that are lost or run twice when faults, changes and restarts overlap.
#[test]
fn overlapping_faults_lose_no_request_second_seed() {
    check(FAILED_SEEDS[1]);
}

/// Runs the seeds that the environment names; without it, none.
#[test]
fn seeds_of_the_environment() {
    let Ok(seeds) = std::env::var("SOAK_SEEDS") else {
        return;
    };
    let (first, end) = seeds.split_once("..").expect("a range of seeds");
    let seeds = first.parse::<u64>().unwrap()..end.parse().unwrap();
    let seconds = std::env::var("SOAK_SECONDS").map(|text| text.parse().expect("seconds"));
    let duration = seconds.map_or(CI_DURATION, Duration::from_secs);
    let mut kinds: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for seed in seeds {
        for violation in run(soak(seed, duration)) {
            let kind = violation.split(':').next().unwrap().to_owned();
            kinds.entry(kind).or_default().push(seed);
        }
    }
    assert!(kinds.is_empty(), "seeds by kind of violation: {kinds:#?}");
}
