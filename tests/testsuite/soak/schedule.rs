//! Seeded series of faults, changes and restarts that overlap.

use std::rc::Rc;
use std::time::{Duration, Instant};

use jujubelink_standins::fleet::{StoreMode, TargetFault};
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::world::{Machine, World};

fn ms(random: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

/// Starts events until `end`, and waits until all of them have ended.
pub(super) async fn run(world: &Rc<World>, end: Instant, random: &mut StdRng) {
    let mut running = Vec::new();
    while Instant::now() < end {
        compio::time::sleep(ms(random, 50..500)).await;
        match random.random_range(0..100) {
            0..30 => running.push(compio::runtime::spawn(pauses(
                Rc::clone(world),
                random.random(),
            ))),
            30..60 => add_faults(world, random),
            60..70 => {
                let event = drain(Rc::clone(world), random.random());
                running.push(compio::runtime::spawn(event));
            }
            70..84 => change_config(world, random),
            84..89 => reload(world, random),
            89..95 => {
                let event = restarts(Rc::clone(world), random.random());
                running.push(compio::runtime::spawn(event));
            }
            _ => {
                let event = store_trouble(Rc::clone(world), random.random());
                running.push(compio::runtime::spawn(event));
            }
        }
    }
    for event in running {
        event.await.unwrap();
    }
    world.app_faults.borrow_mut().clear();
    world.engine_faults.borrow_mut().clear();
}

fn seeded(seed: u64) -> StdRng {
    rand::SeedableRng::seed_from_u64(seed)
}

/// Targets fall silent: a random share of them, one of them, one after the other, or all at once.
async fn pauses(world: Rc<World>, seed: u64) {
    let mut random = seeded(seed);
    let targets = &world.targets;
    for _ in 0..random.random_range(1..=3) {
        match random.random_range(0..4) {
            0 => {
                let share = random.random_range(0.2..1.0);
                for (target, _) in targets {
                    if random.random_bool(share) {
                        target.pause(ms(&mut random, 200..1_600));
                    }
                }
            }
            1 => {
                let (target, _) = targets.choose(&mut random).unwrap();
                target.pause(ms(&mut random, 200..1_600));
            }
            2 => {
                for (target, _) in targets {
                    let pause = ms(&mut random, 200..1_600);
                    target.pause(pause);
                    compio::time::sleep(pause / 2).await;
                }
            }
            _ => {
                let pause = ms(&mut random, 900..1_500);
                targets.iter().for_each(|(target, _)| target.pause(pause));
            }
        }
        compio::time::sleep(ms(&mut random, 300..2_000)).await;
    }
}

/// The next requests get faults.
fn add_faults(world: &World, random: &mut StdRng) {
    let is_engine = random.random_bool(0.6);
    let faults = match is_engine {
        true => &world.engine_faults,
        false => &world.app_faults,
    };
    for _ in 0..random.random_range(1..8) {
        let events = random.random_range(0..5);
        let fault = match random.random_range(0..16) {
            0..4 => TargetFault::Refuse,
            4 => TargetFault::RefuseFor(ms(random, 100..600)),
            5 => TargetFault::Fail,
            6 => TargetFault::Hang,
            7 => TargetFault::MismatchedAttemptId,
            8..10 => TargetFault::Delay(ms(random, 100..1_600)),
            10..12 if is_engine => TargetFault::BreakAfter(events),
            12..16 if is_engine => TargetFault::PauseAfter(events, ms(random, 200..1_600)),
            _ => TargetFault::Delay(ms(random, 20..400)),
        };
        let is_fault = random.random_bool(0.8);
        faults.borrow_mut().push_back(is_fault.then_some(fault));
    }
}

/// A target announces that it leaves, and returns later. Another one of its service stays.
async fn drain(world: Rc<World>, seed: u64) {
    let mut random = seeded(seed);
    let index = random.random_range(0..world.targets.len());
    let target = &world.targets[index].0;
    let mut others = world.targets.iter().map(|(other, _)| other);
    let is_alone =
        others.any(|other| other.service == target.service && other.draining_since.get().is_some());
    if is_alone {
        return;
    }
    world.put_target(index, "draining");
    target.draining_since.set(Some(Instant::now()));
    compio::time::sleep(ms(&mut random, 2_500..4_500)).await;
    target.draining_since.set(None);
    target.incarnation.set(target.incarnation.get() + 1);
    world.put_target(index, "ready");
}

/// Stops the execution of single instances for a moment, until `end`.
pub(super) async fn stalls(world: &World, end: Instant, random: &mut StdRng) {
    while Instant::now() < end {
        compio::time::sleep(ms(random, 500..4_000)).await;
        let machine = world.machines.choose(random).unwrap();
        if machine.is_disturbed(Instant::now()) {
            continue;
        }
        machine.disturb();
        let signal = |is_paused| match (&*machine.process.borrow(), is_paused) {
            (Some(process), true) => process.pause(),
            (Some(process), false) => process.resume(),
            (None, _) => {}
        };
        signal(true);
        compio::time::sleep(ms(random, 200..1_500)).await;
        signal(false);
        machine.end_disturbance();
    }
}

/// Up to three versions at once, beside which instances may reload their settings.
fn change_config(world: &World, random: &mut StdRng) {
    for _ in 0..random.random_range(1..=3) {
        let mut config = world.config();
        config.version += random.random_range(1..5);
        match random.random_range(0..8) {
            0..3 => {
                let route = random.random_range(0..4);
                config.is_moved[route] = !config.is_moved[route];
            }
            3 => config.timeout = ms(random, 2_000..4_500),
            4 => {
                config.idle_timeout = ms(random, 2_000..16_000);
                config.header_timeout = ms(random, 500..5_000);
            }
            5 => config.added_routes = 0,
            _ => config.added_routes += random.random_range(1..20),
        }
        world.put_config(config);
        if random.random_bool(0.2) {
            reload(world, random);
        }
    }
}

/// Up to three SIGHUP in a series, to one instance or to all of them.
fn reload(world: &World, random: &mut StdRng) {
    let one = random.random_range(0..world.machines.len());
    let is_for_all = random.random_bool(0.3);
    for _ in 0..random.random_range(1..=3) {
        for (index, machine) in world.machines.iter().enumerate() {
            if let Some(process) = &*machine.process.borrow()
                && machine.takes_connections.get()
                && (is_for_all || index == one)
            {
                process.reload();
            }
        }
    }
}

/// Up to three planned restarts, one after the other. At least one instance stays.
async fn restarts(world: Rc<World>, seed: u64) {
    let mut random = seeded(seed);
    for _ in 0..random.random_range(1..=3) {
        let in_use: Vec<&Rc<Machine>> = world
            .machines
            .iter()
            .filter(|machine| machine.takes_connections.get())
            .collect();
        if in_use.len() < 2 {
            return;
        }
        let machine = Rc::clone(in_use.choose(&mut random).unwrap());
        drop(in_use);
        world.stop_process(&machine).await;
        compio::time::sleep(ms(&mut random, 0..300)).await;
        world.start_process(&machine).await;
    }
}

/// The store rejects or ignores one instance. The others reach it.
async fn store_trouble(world: Rc<World>, seed: u64) {
    let mut random = seeded(seed);
    let machine = world.machines.choose(&mut random).unwrap();
    let now = Instant::now();
    if world.machines.iter().any(|other| other.is_disturbed(now)) {
        return;
    }
    machine.disturb();
    let mode = match random.random_bool(0.5) {
        true => StoreMode::Silent,
        false => StoreMode::Refusing,
    };
    machine.store.set_mode(mode);
    compio::time::sleep(ms(&mut random, 500..3_000)).await;
    machine.store.set_mode(StoreMode::Up);
    machine.end_disturbance();
}
