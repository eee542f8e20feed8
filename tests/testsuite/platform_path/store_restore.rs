//! A store that is restored from an older copy while requests are in progress.

use std::cell::Cell;
use std::process::Stdio;
use std::time::{Duration, Instant};

use jujubelink::core::crash::PART_CRASHES;
use jujubelink::platform::names::{CRASH_EVIDENCE, KIND_CRASHES, KIND_INSTANCES, KIND_TARGETS};
use jujubelink_standins::fleet::{FleetTarget, StoreCopy, StoreMode};
use serde_json::{Value, json};

use super::{Deployment, RunningInstance, read_lines, start_large_fleet, wait_for_four_followers};
use crate::support::{eventually, run};

/// Time for which the store is unavailable before it returns from the copy.
const OUTAGE: Duration = Duration::from_millis(300);

/// Time after which a target that writes no entry again counts as gone, with some reserve.
const GONE_AFTER: Duration = Duration::from_millis(2_000);

/// Time by which such a target gets no requests, including the time to find that out.
const GONE_BY: Duration = Duration::from_secs(4);

/// Number of writes after the copy, so that the revision goes back by as many.
const LOST_WRITES: u64 = 40;

const TARGETS: [&str; 4] = ["s1", "s2", "e1", "e2"];

/// Waits until no request of a number reaches a target that would get about half of them.
async fn wait_until_out_of_service(target: &FleetTarget, instance: &RunningInstance) {
    eventually("requests go to other targets", || async {
        let before = target.runs();
        for _ in 0..40 {
            instance.send_request("r", "GET", "/read/x").await;
            if target.runs() > before {
                return None;
            }
        }
        Some(())
    })
    .await;
}

/// Makes the store unavailable for a moment and restores it.
async fn restore(deployment: &Deployment, instances: &[&RunningInstance], copy: &StoreCopy) {
    let set_mode = |mode| {
        for instance in instances {
            instance.store_endpoint.set_mode(mode);
        }
    };
    set_mode(StoreMode::Refusing);
    compio::time::sleep(OUTAGE).await;
    deployment.store.restore(copy);
    set_mode(StoreMode::Up);
}

/// Writes objects that no instance reads.
fn write_more(deployment: &Deployment) {
    for _ in 0..LOST_WRITES {
        deployment.store.put("other", "x", Value::Null);
    }
}

/// Starts a deployment whose store states era 1, after `prepare` has changed it and before the copy is made.
async fn start_with_copy(
    prepare: impl FnOnce(&Deployment),
) -> (Deployment, RunningInstance, StoreCopy) {
    let deployment = Deployment::new();
    deployment.store.set_era(1);
    prepare(&deployment);
    let copy = deployment.store.copy();
    // Revisions of the lost entries are far above those that the restored store issues next.
    write_more(&deployment);
    for id in TARGETS {
        deployment.put_target(id, "ready", 1);
    }
    let instance = deployment.start("n1", "").await;
    instance.wait_ready().await;
    instance.wait_status("requests are served", 200).await;
    (deployment, instance, copy)
}

/// Guards against targets that are given up because the copy lacks their entries, and against those that
/// stay in service although they do not write them again.
#[test]
fn requests_are_served_through_a_restore() {
    run(async {
        let lose_targets = |deployment: &Deployment| {
            for id in TARGETS {
                deployment.store.remove(KIND_TARGETS, id);
            }
        };
        let (deployment, instance, copy) = start_with_copy(lose_targets).await;
        let is_over = Cell::new(false);
        let requests = async {
            let mut served = 0;
            while !is_over.get() {
                let plain = instance.send_request("r", "GET", "/read/x").await;
                let prompt = instance.send_prompt("p", "/ask/x").await;
                assert_eq!((plain.status, prompt.status), (200, 200));
                served += 1;
            }
            served
        };
        let restored = async {
            restore(&deployment, &[&instance], &copy).await;
            let returned_at = Instant::now();
            compio::time::sleep(GONE_AFTER - Duration::from_millis(200)).await;
            for id in ["s1", "e1", "e2"] {
                deployment.put_target(id, "ready", 1);
            }
            let runs = eventually("the target without an entry gets no requests", || async {
                let before = deployment.services[1].runs();
                compio::time::sleep(Duration::from_millis(300)).await;
                (deployment.services[1].runs() == before).then_some(before)
            })
            .await;
            let gone_after = returned_at.elapsed();
            is_over.set(true);
            (runs, gone_after)
        };
        let (served, (runs, gone_after)) = futures_util::join!(requests, restored);
        println!("{served} requests served, the target is gone after {gone_after:?}");
        assert!(
            (GONE_AFTER..GONE_BY).contains(&gone_after),
            "{gone_after:?}"
        );
        assert!(runs > 0);
    });
}

/// Guards against work for a target that was removed and comes back with the copy.
#[test]
fn a_removed_target_gets_no_work_after_a_restore() {
    run(async {
        let (deployment, instance, copy) = start_with_copy(|_| ()).await;
        deployment.store.remove(KIND_TARGETS, "s1");
        wait_until_out_of_service(&deployment.services[0], &instance).await;
        let before = deployment.services[0].runs();
        restore(&deployment, &[&instance], &copy).await;
        assert!(deployment.store.spec(KIND_TARGETS, "s1").is_some());
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(3) {
            let response = instance.send_request("r", "GET", "/read/x").await;
            assert_eq!(response.status, 200);
        }
        assert_eq!(deployment.services[0].runs(), before);
        deployment.put_target("s1", "ready", 2);
        eventually("its next incarnation is used", || async {
            instance.send_request("r", "GET", "/read/x").await;
            (deployment.services[0].runs() > before).then_some(())
        })
        .await;
    });
}

/// Guards against changes that are missed after a restore, because their revisions are lower than those seen
/// before. The store answers the watch with 410, or the revision is reached again.
#[test]
fn changes_after_a_restore_are_followed() {
    run(async {
        let (deployment, instance, copy) = start_with_copy(|_| ()).await;
        for era in 2..4 {
            restore(&deployment, &[&instance], &copy).await;
            if era == 3 {
                // The watch continues at a revision that was issued again for other contents.
                deployment.put_target("s1", "draining", 1);
                write_more(&deployment);
                write_more(&deployment);
            }
            compio::time::sleep(Duration::from_millis(500)).await;
            deployment.put_target("s1", "draining", 1);
            wait_until_out_of_service(&deployment.services[0], &instance).await;
            let before = deployment.services[0].runs();
            deployment.put_target("s1", "ready", era);
            eventually("the next incarnation is used", || async {
                instance.send_request("r", "GET", "/read/x").await;
                (deployment.services[0].runs() > before).then_some(())
            })
            .await;
        }
    });
}

/// Guards against an instance that no other one finds, and against crash evidence that an instance that starts
/// does not get, because the copy lacks both.
#[test]
fn the_own_entry_and_the_crash_evidence_are_written_again() {
    run(async {
        let deployment = Deployment::new();
        deployment.store.set_era(1);
        let copy = deployment.store.copy();
        let crashes = (1..=PART_CRASHES as u64).map(|number| {
            json!({ "crash": format!("{number:016x}"), "age_ms": 1_000 * number, "cause": format!("{:016x}", number + 100),
                "parts": [format!("{:016x}", 200)] })
        });
        let evidence = json!({ "crashes": crashes.collect::<Vec<_>>() });
        deployment.store.put(KIND_CRASHES, CRASH_EVIDENCE, evidence);
        let instance = deployment.start("n1", "").await;
        instance.wait_ready().await;
        let written = || deployment.store.spec(KIND_INSTANCES, "n1");
        eventually("the entry is written", || async { written() }).await;
        deployment.store.restore(&copy);
        assert_eq!(written(), None);
        let evidence = eventually("both are written again", || async {
            written()?;
            deployment.store.spec(KIND_CRASHES, CRASH_EVIDENCE)
        })
        .await;
        let count = evidence["crashes"].as_array().unwrap().len();
        assert!(count > 0, "{evidence}");
    });
}

/// Guards against a response from before the restore that overwrites what the new era has stated.
#[test]
fn a_response_from_before_the_restore_is_discarded() {
    run(async {
        let (deployment, _unused, copy) = start_with_copy(|_| ()).await;
        let log = "[log]\nlevel = \"info\"\n";
        let mut instance = deployment
            .start_with_log("n2", log, StoreMode::Up, Stdio::piped())
            .await;
        instance.wait_ready().await;
        let lines = read_lines(instance.process.take_log());
        let reason = "the response is of an era before the last restore of the store";
        instance.store_endpoint.set_mode(StoreMode::Late);
        eventually("a read is answered late", || async {
            (instance.store_endpoint.late_reads() > 0).then_some(())
        })
        .await;
        // The watch continues at a revision that the copy lacks, and sees the restore first.
        instance.store_endpoint.set_mode(StoreMode::Up);
        deployment.store.restore(&copy);
        eventually("a response of the former era is discarded", || async {
            lines.try_iter().find(|line| line.contains(reason))
        })
        .await;
        instance.wait_status("requests are served", 200).await;
    });
}

/// Guards against an instance that fails at a faulty era or logs each faulty response, and against one that
/// changes at a store without the header.
#[test]
fn faulty_eras_are_logged_once_and_change_nothing() {
    run(async {
        let (deployment, _unused, _) = start_with_copy(|_| ()).await;
        let log = "[log]\nlevel = \"info\"\n";
        let mut instance = deployment
            .start_with_log("n2", log, StoreMode::Up, Stdio::piped())
            .await;
        instance.wait_ready().await;
        let lines = read_lines(instance.process.take_log());
        let faulty: [(&[&str], &str); 5] = [
            (&[], "Absent"),
            (&["x"], "Invalid"),
            (&["1", "1"], "Repeated"),
            (&["7"], "Jumped"),
            (&["0"], "Fell"),
        ];
        for (values, _) in faulty {
            deployment.store.state_eras(Some(values));
            let start = Instant::now();
            // Longer than two reads of the configuration.
            while start.elapsed() < Duration::from_millis(1_600) {
                assert_eq!(
                    instance.send_request("r", "GET", "/read/x").await.status,
                    200
                );
            }
        }
        deployment.store.state_eras(None);
        compio::time::sleep(Duration::from_millis(500)).await;
        let logged: Vec<Value> = lines
            .try_iter()
            .filter(|line| line.contains("\"faulty era of the store"))
            .map(|line| serde_json::from_str(&line).unwrap())
            .collect();
        let kinds: Vec<_> = logged.iter().map(|line| line["fault"].as_str()).collect();
        let expected: Vec<_> = faulty.iter().map(|(_, kind)| Some(*kind)).collect();
        assert_eq!(kinds, expected);
    });
}

/// Guards against calls that the era adds while the store is not restored.
#[test]
fn the_era_adds_no_calls() {
    run(async {
        let calls = [None, Some(1)].map(|era| async move {
            let deployment = Deployment::new();
            if let Some(era) = era {
                deployment.store.set_era(era);
            }
            let instance = deployment.start("n1", "").await;
            instance.wait_ready().await;
            compio::time::sleep(Duration::from_secs(1)).await;
            let before = instance.store_endpoint.calls();
            compio::time::sleep(Duration::from_secs(6)).await;
            instance.store_endpoint.calls() - before
        });
        let calls = futures_util::future::join_all(calls).await;
        println!("calls in 6 s without and with an era: {calls:?}");
        assert!(calls[1] <= calls[0] + 2, "{calls:?}");
    });
}

/// Guards against instances that miss changes after a restore because they get their updates from another
/// instance, and against more instances that call the store than before it.
#[test]
fn a_large_fleet_follows_a_restore() {
    run(async {
        let deployment = Deployment::new();
        deployment.store.set_era(1);
        let copy = deployment.store.copy();
        write_more(&deployment);
        for id in TARGETS {
            deployment.put_target(id, "ready", 1);
        }
        let (instances, _) = start_large_fleet(&deployment).await;
        let all: Vec<_> = instances.iter().collect();
        restore(&deployment, &all, &copy).await;
        deployment.put_target("s1", "draining", 1);
        for instance in &instances {
            wait_until_out_of_service(&deployment.services[0], instance).await;
        }
        let before = deployment.services[0].runs();
        for instance in &instances {
            for _ in 0..10 {
                let response = instance.send_request("r", "GET", "/read/x").await;
                assert_eq!(response.status, 200);
            }
        }
        assert_eq!(deployment.services[0].runs(), before);
        deployment.put_target("s1", "ready", 2);
        for instance in &instances {
            let before = deployment.services[0].runs();
            eventually("the next incarnation is used", || async {
                instance.send_request("r", "GET", "/read/x").await;
                (deployment.services[0].runs() > before).then_some(())
            })
            .await;
        }
        wait_for_four_followers(&instances).await;
    });
}

/// Time after a restore within which no other instance may take a lost lease: its term and the pause between
/// holders, with some reserve for the time at which the instance notices the restore.
const LEASE_KEPT: Duration = Duration::from_millis(4_500);

/// Guards against two holders, and against a fencing number that is issued twice, after a restore to a copy
/// without the lease. The holder cannot reach the store and acts until the end of its term.
#[test]
fn a_lost_lease_is_taken_only_after_the_term_of_its_holder() {
    run(async {
        let deployment = Deployment::new();
        deployment.store.set_era(1);
        let copy = deployment.store.copy();
        let instances = [
            deployment.start("n1", "").await,
            deployment.start("n2", "").await,
        ];
        for instance in &instances {
            instance.wait_ready().await;
        }
        // One engine loads at a time, so the other one needs an order for as long.
        for engine in &deployment.engines {
            engine.set_load_duration(Duration::from_secs(12));
        }
        deployment.announce_weights(4);
        let orders = || {
            let engines = deployment.engines.iter();
            engines
                .flat_map(|engine| engine.orders())
                .collect::<Vec<Value>>()
        };
        let first = eventually("an engine has an order", || async { orders().pop() }).await;
        let holder = usize::from(first["holder"] != "n1");
        let loading = deployment
            .engines
            .iter()
            .position(|engine| !engine.orders().is_empty());
        instances[holder].store_endpoint.set_mode(StoreMode::Silent);
        deployment.store.restore(&copy);
        let restored_at = Instant::now();
        // The operator announces the weights again, and the first engine announces them as loaded.
        deployment.announce_weights(4);
        let id = ["e1", "e2"][loading.unwrap()];
        deployment.put_target_with_weights(id, "ready", 1, 4);
        // The holder's order for it equals the first one, as orders do not name their engine.
        let other = &deployment.engines[1 - loading.unwrap()];
        let second = eventually("the other engine has an order", || async {
            other.orders().pop()
        })
        .await;
        let after = restored_at.elapsed();
        println!("first {first}, then after {after:?} {second}");
        assert!(
            second["fence"].as_u64() >= first["fence"].as_u64(),
            "{first} {second}"
        );
        if second["holder"] != first["holder"] {
            assert!(after >= LEASE_KEPT, "after {after:?}: {first} {second}");
            assert!(
                second["fence"].as_u64() > first["fence"].as_u64(),
                "{first} {second}"
            );
        }
    });
}
