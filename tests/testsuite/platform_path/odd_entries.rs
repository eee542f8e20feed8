//! Entries of other writers in the object store that cannot be decoded, beside entries that can.

use jujubelink_standins::fleet::FleetTarget;

use super::*;

/// An entry that cannot be decoded.
struct OddEntry {
    what: &'static str,
    /// JSON, or other bytes.
    spec: Vec<u8>,
}

/// Returns entries that cannot be decoded, made from a valid one by replacing the value of `field`
/// or the whole entry.
fn odd_entries(valid: &Value, field: &str) -> Vec<OddEntry> {
    let replaced = |value: &[u8]| {
        let mut entry = valid.clone();
        entry[field] = json!("REPLACED");
        let text = entry.to_string();
        let (start, end) = text.split_once("\"REPLACED\"").expect("the field");
        [start.as_bytes(), value, end.as_bytes()].concat()
    };
    let nested = |levels: usize| "[".repeat(levels) + &"]".repeat(levels);
    let odd = |what, spec| OddEntry { what, spec };
    vec![
        odd("nested 100,000 levels deep", nested(100_000).into_bytes()),
        odd(
            "a field nested 200 levels deep",
            replaced(nested(200).as_bytes()),
        ),
        odd("a number too large", replaced(b"1e400")),
        odd("an integer too large", replaced(b"99999999999999999999999")),
        odd("a port out of range", replaced(b"\"127.0.0.1:70000\"")),
        odd("bytes that are not UTF-8", replaced(b"\"\xff\xfe\"")),
        odd("a lone surrogate", replaced(b"\"\\ud800\"")),
        odd("an empty object", b"{}".to_vec()),
    ]
}

impl Deployment {
    fn spec(&self, kind: &str, name: &str) -> Value {
        self.store.spec(kind, name).expect("the entry")
    }
}

/// Sends requests until none of ten consecutive ones reaches the target. Returns how many of the last
/// ten reached it.
async fn requests_at_leaving_target(target: &FleetTarget, instance: &RunningInstance) -> u64 {
    let mut reached = 0;
    for _ in 0..8 {
        let before = target.runs();
        for _ in 0..10 {
            instance.send_request("r", "GET", "/read/x").await;
        }
        reached = target.runs() - before;
        if reached == 0 {
            break;
        }
        compio::time::sleep(Duration::from_millis(500)).await;
    }
    reached
}

/// Guards against one undecodable entry among the targets that hides the shutdown of another target.
#[test]
fn an_odd_target_entry_does_not_hide_leaving_targets() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let mut failures = Vec::new();
        let mut incarnation = 1;
        for odd in odd_entries(&deployment.spec("servers", "s1"), "address") {
            for is_listed in [false, true] {
                deployment.store.put_raw("servers", "odd", &odd.spec);
                if is_listed {
                    // The watch fails, so that the instance lists the targets.
                    deployment.store.compact();
                }
                deployment.put_target("s1", "draining", incarnation);
                let reached = requests_at_leaving_target(&deployment.services[0], &instance).await;
                if reached > 0 {
                    let list = if is_listed { "listed" } else { "watched" };
                    failures.push(format!("{}, {list}: {reached} of 10", odd.what));
                }
                deployment.store.remove("servers", "odd");
                incarnation += 1;
                deployment.put_target("s1", "ready", incarnation);
                let runs = deployment.services[0].runs();
                eventually("the target is used again", || async {
                    instance.send_request("r", "GET", "/read/x").await;
                    (deployment.services[0].runs() > runs).then_some(())
                })
                .await;
            }
        }
        assert!(
            failures.is_empty(),
            "requests at a leaving target: {failures:#?}"
        );
    });
}

/// Guards against one undecodable announcement of weights that hides the others.
#[test]
fn an_odd_weights_entry_does_not_hide_other_announcements() {
    run(async {
        let (deployment, _instance) = Deployment::start_ready("").await;
        let mut failures = Vec::new();
        let odd_entries = odd_entries(&deployment.spec("versions", "m"), "version");
        for (odd, version) in odd_entries.into_iter().zip(2..) {
            deployment.store.put_raw("versions", "odd", &odd.spec);
            deployment.announce_weights(version);
            let is_loaded = || {
                deployment
                    .engines
                    .iter()
                    .all(|engine| engine.version() == version)
            };
            for _ in 0..400 {
                if is_loaded() {
                    break;
                }
                compio::time::sleep(Duration::from_millis(10)).await;
            }
            if !is_loaded() {
                failures.push(odd.what);
            }
            deployment.store.remove("versions", "odd");
            eventually("the engines load the announced weights", || async {
                is_loaded().then_some(())
            })
            .await;
            for id in ["e1", "e2"] {
                deployment.put_target_with_weights(id, "ready", 1, version);
            }
        }
        assert!(
            failures.is_empty(),
            "weights not loaded in 4 s beside: {failures:#?}"
        );
    });
}

/// Guards against one undecodable entry of an instance that keeps new instances from becoming ready
/// and from learning of the others.
#[test]
fn an_odd_instance_entry_does_not_hide_other_instances() {
    run(async {
        let (deployment, _first) = Deployment::start_ready("").await;
        let valid = json!({ "address": "127.0.0.1:4000" });
        let mut failures = Vec::new();
        let mut version = 5;
        for odd in odd_entries(&valid, "address") {
            deployment
                .store
                .put_raw("jujubelink-instances", "odd", &odd.spec);
            let instance = deployment.start("n2", "").await;
            let mut status = 0;
            for _ in 0..50 {
                status = instance.send_request("r", "GET", "/read/x").await.status;
                if status == 200 && instance.is_ready().await {
                    break;
                }
                compio::time::sleep(Duration::from_millis(100)).await;
            }
            if status != 200 {
                failures.push(format!("{}: status {status} after 5 s", odd.what));
                continue;
            }
            // What the store announces arrives through the first instance.
            instance.store_endpoint.set_mode(StoreMode::Refusing);
            deployment.put_configuration(version + 1, &["another key"]);
            instance
                .wait_status("the first instance is known", 401)
                .await;
            version += 2;
            deployment.put_configuration(version, &[KEY]);
        }
        assert!(failures.is_empty(), "instances not ready: {failures:#?}");
    });
}

/// Guards against metadata that cannot be decoded and a name that a URI cannot contain, which hide the
/// other entries of their kind.
#[test]
fn odd_metadata_does_not_hide_other_entries() {
    run(async {
        let deployment = Deployment::new();
        for (kind, valid) in [("servers", "s1"), ("versions", "m")] {
            let spec = deployment.spec(kind, valid);
            let names: [&[u8]; 4] = [
                b"null",
                b"{\"name\":\"\\ud800\",\"revision\":3}",
                b"{\"name\":\"odd\",\"revision\":1e400}",
                b"{\"name\":7,\"revision\":3}",
            ];
            for (number, metadata) in names.into_iter().enumerate() {
                let key = format!("odd{number}");
                deployment
                    .store
                    .put_with_metadata(kind, &key, spec.clone(), metadata);
            }
        }
        let odd = json!({ "address": "127.0.0.1:70000" });
        deployment
            .store
            .put("jujubelink-instances", "a b\u{7f}/%?#\u{fc}", odd);
        let instance = deployment.start("n1", "").await;
        instance.wait_ready().await;
        deployment.put_target("s1", "draining", 1);
        let reached = requests_at_leaving_target(&deployment.services[0], &instance).await;
        assert_eq!(reached, 0);
        deployment.announce_weights(2);
        eventually("the engines load the announced weights", || async {
            let mut engines = deployment.engines.iter();
            engines.all(|engine| engine.version() == 2).then_some(())
        })
        .await;
    });
}

/// Guards against a lease that cannot be decoded and stops the orders to engines for good, and against
/// a next holder whose fencing number is not above the earlier ones.
#[test]
fn an_odd_lease_entry_does_not_stop_rollouts() {
    run(async {
        let (deployment, _instance) = Deployment::start_ready("").await;
        let announce = async |version: u64| {
            deployment.announce_weights(version);
            eventually("the engines load the announced weights", || async {
                let mut engines = deployment.engines.iter();
                engines
                    .all(|engine| engine.version() == version)
                    .then_some(())
            })
            .await;
            for id in ["e1", "e2"] {
                deployment.put_target_with_weights(id, "ready", 1, version);
            }
            let orders = deployment.engines.iter().flat_map(|engine| engine.orders());
            let fences = orders.map(|order| order["fence"].as_u64().expect("a fencing number"));
            fences.collect::<Vec<u64>>()
        };
        let mut fences = announce(2).await;
        let lease = deployment.spec(KIND_LEASES, ORDER_LEASE);
        let mut odd_leases = odd_entries(&lease, "epoch");
        odd_leases.retain(|odd| odd.what.contains("100,000") || odd.what == "a number too large");
        let mut largest = lease.clone();
        largest["epoch"] = json!(u64::MAX);
        largest["holder"] = json!("another");
        odd_leases.push(OddEntry {
            what: "the largest number",
            spec: largest.to_string().into_bytes(),
        });
        for (odd, version) in odd_leases.into_iter().zip(3..) {
            println!("lease: {}", odd.what);
            deployment
                .store
                .put_raw(KIND_LEASES, ORDER_LEASE, &odd.spec);
            // Until its term ends, the holder may give orders with the former number.
            compio::time::sleep(Duration::from_secs(2)).await;
            let highest = fences.iter().max().copied();
            let earlier = fences.len();
            fences = announce(version).await;
            let new = fences.iter().filter(|fence| Some(**fence) > highest);
            assert_eq!(
                new.count(),
                fences.len() - earlier,
                "{}: {fences:?}",
                odd.what
            );
        }
    });
}

/// Guards against an undecodable configuration that ends the use of the last one, delays the next one
/// or announced weights, or leaves no trace in the log.
#[test]
fn an_odd_configuration_leaves_the_last_one_in_force() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let valid = deployment.spec("config", "main");
        let mut version = 5;
        for odd in odd_entries(&valid, "version") {
            println!("configuration: {}", odd.what);
            deployment.store.put_raw("config", "main", &odd.spec);
            compio::time::sleep(Duration::from_secs(1)).await;
            assert_eq!(
                instance.send_request("r", "GET", "/read/x").await.status,
                200
            );
            version += 1;
            deployment.put_configuration(version, &["another key"]);
            instance
                .wait_status("the next configuration is used", 401)
                .await;
            version += 1;
            deployment.put_configuration(version, &[KEY]);
            instance
                .wait_status("the next configuration is used", 200)
                .await;
        }
        // Keys stop at the revocation bound, and announced weights are still followed.
        deployment.store.put_raw("config", "main", b"{}");
        deployment.announce_weights(2);
        eventually("the engines load the announced weights", || async {
            let mut engines = deployment.engines.iter();
            engines.all(|engine| engine.version() == 2).then_some(())
        })
        .await;
        instance
            .wait_status("keys are refused at the bound", 503)
            .await;
        let new = deployment.start_with_log("n2", "", StoreMode::Up, Stdio::piped());
        let mut new = new.await;
        let log = read_lines(new.process.take_log());
        assert_eq!(new.send_request("r", "GET", "/read/x").await.status, 503);
        eventually("the log names the entry", || async {
            let mut lines = log.try_iter();
            lines
                .any(|line| line.contains("entry of the store ignored") && line.contains("config"))
                .then_some(())
        })
        .await;
        deployment.put_configuration(version + 1, &[KEY]);
        new.wait_status("the configuration is used", 200).await;
    });
}

/// Guards against a configuration that is rejected because of a field that is not needed.
#[test]
fn unknown_fields_of_a_configuration_are_skipped() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        deployment.put_configuration(6, &["another key"]);
        let text = deployment.spec("config", "main").to_string();
        let nested = "[".repeat(100_000) + &"]".repeat(100_000);
        let further = format!("{{\"further\":{nested},\"size\":1e400,");
        let text = text.replacen('{', &further, 1);
        deployment.store.put_raw("config", "main", text.as_bytes());
        instance.wait_status("the configuration is used", 401).await;
    });
}

/// Guards against one undecodable event of a KV cache store after which the store counts as lost.
#[test]
fn odd_cache_events_do_not_hide_other_events() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let cache = CacheStore::new();
        let handle = StandInHandle::start(Rc::clone(&cache)).unwrap();
        let address = handle.address().to_string();
        let service = json!({ "name": "kv", "kv_store_addr": address, "zone": "a" });
        deployment.put_configuration_with_services(6, &[KEY], &[service]);
        let nested = "[".repeat(100_000) + &"]".repeat(100_000);
        let odd = [
            "[1e400,\"+\",\"1/\",\"a1\",800,\"m\"]",
            "null",
            &nested,
            "[2,\"+\",7]",
        ];
        for event in odd {
            cache.raw_event(event);
        }
        cache.raw_event("[18446744073709551615,\"+\",\"1/\",\"c3\",18446744073709551615,\"m\"]");
        cache.event("+", "1/", "a1", 800, "m");
        let number = std::cell::Cell::new(0);
        eventually("the shared part is fetched and not saved", || async {
            number.set(number.get() + 1);
            let id = format!("r{}", number.get());
            instance.send_prompt(&id, "/ask/x").await;
            let mut seen = deployment.engines.iter().flat_map(|target| target.seen());
            let (headers, _) =
                seen.find(|(headers, _)| header(headers, "jujubelink-attempt-id") == id)?;
            let is_fetched = header(&headers, "jujubelink-kv-fetch") == address;
            (is_fetched && !headers.contains_key("jujubelink-kv-save")).then_some(())
        })
        .await;
        let response = instance
            .send_prompt_of_parts("last", "/ask/x", "c3:800,d4:400")
            .await;
        assert_eq!(response.status, 200);
    });
}
