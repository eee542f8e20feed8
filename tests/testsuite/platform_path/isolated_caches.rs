//! Cached prompts of workspaces that become isolated or stop being so by a change of the configuration.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use jujubelink::platform::decode_configuration;
use jujubelink_standins::StandInHandle;
use jujubelink_standins::fleet::{CacheStore, StoreMode};
use serde_json::{Value, json};

use super::faulty_responses::{refusal, stream_head, stream_part};
use super::scripted_deployment::{deploy, is_complete, stream, wait_until_prompts_complete};
use super::{Deployment, KEY, RunningInstance, header, send_with_host};
use crate::support::{ReceivedRequest, Reply, ScriptedTarget, Step, TestResponse, eventually, run};

/// Workspaces with their keys.
const WORKSPACES: [(&str, &str); 3] = [
    ("club", KEY),
    ("bank", "kd83hs0qpl3mxcu21xzb"),
    ("mill", "qo20dkw6sh17fpvn45tt"),
];

/// Returns a configuration of the three workspaces, of which some are isolated.
fn configuration(version: u64, isolated: &[&str], services: &[Value]) -> Value {
    let mut config = Deployment::configuration(version, &[KEY], services);
    let template = config["tenants"][0].clone();
    let tenants = WORKSPACES.map(|(name, key)| {
        let mut tenant = template.clone();
        tenant["name"] = json!(name);
        tenant["api_keys"] = json!([key]);
        tenant["dedicated"] = json!(isolated.contains(&name));
        tenant
    });
    config["tenants"] = json!(tenants);
    // A route of this version alone, which shows whether the configuration is active.
    let mut marker = config["routes"][0].clone();
    marker["path_prefix"] = json!(format!("/version{version}/"));
    config["routes"].as_array_mut().unwrap().push(marker);
    config
}

struct Caches {
    deployment: Deployment,
    instance: RunningInstance,
    requests: Cell<u64>,
}

impl Caches {
    async fn start() -> Self {
        let (deployment, instance) = Deployment::start_ready("").await;
        Self {
            deployment,
            instance,
            requests: Cell::new(0),
        }
    }

    /// Sends a prompt of a workspace, and returns the headers that its engine receives.
    async fn headers(&self, workspace: &str) -> Option<HeaderMap> {
        self.requests.set(self.requests.get() + 1);
        let id = format!("r{}", self.requests.get());
        let (_, key) = WORKSPACES.iter().find(|(name, _)| *name == workspace)?;
        let request = http::Request::post("/ask/x")
            .header("host", "shop.example")
            .header("jujubelink-attempt-id", &id)
            .header("jujubelink-deadline-ms", 3_000)
            .header("jujubelink-model", "m")
            .header("jujubelink-token-count", "1200,50")
            .header("jujubelink-prompt-prefix", "a1:800,b2:400")
            .header("authorization", format!("Bearer {key}"));
        send_with_host(self.instance.process.client_address, request, "prompt").await;
        let engines = &self.deployment.engines;
        let mut seen = engines.iter().flat_map(|engine| engine.seen());
        let found = seen.find(|(headers, _)| header(headers, "jujubelink-attempt-id") == id);
        found.map(|(headers, _)| headers)
    }

    async fn salt(&self, workspace: &str) -> String {
        let headers = self.headers(workspace).await.expect("an engine runs it");
        header(&headers, "jujubelink-cache-salt").to_owned()
    }

    /// Activates a configuration.
    async fn activate(&self, version: u64, isolated: &[&str], services: &[Value]) {
        let config = configuration(version, isolated, services);
        self.deployment.store.put("config", "main", config);
        eventually("the configuration is active", || async {
            let path = format!("/version{version}/x");
            let response = self.instance.send_request("probe", "GET", &path).await;
            (response.status == 200).then_some(())
        })
        .await;
    }

    /// Activates a configuration, and returns the salts of the workspaces by it.
    async fn salts(&self, version: u64, isolated: &[&str]) -> [String; 3] {
        self.activate(version, isolated, &[]).await;
        let [first, second, third] = WORKSPACES.map(|(name, _)| name);
        [
            self.salt(first).await,
            self.salt(second).await,
            self.salt(third).await,
        ]
    }
}

/// Guards against cached prompts that a workspace shared before it became isolated and that others go on
/// using, and against a shared salt that changes although no workspace is isolated.
#[test]
fn a_workspace_that_becomes_isolated_leaves_nothing_in_use() {
    run(async {
        let caches = Caches::start().await;
        let before = caches.salts(6, &[]).await;
        assert_eq!(before, ["1/"; 3]);
        assert_eq!(caches.salts(7, &[]).await, before);
        let [club, bank, mill] = caches.salts(8, &["club"]).await;
        assert_eq!(club, "1/club");
        assert_ne!(bank, "1/");
        assert_eq!(bank, mill);
        // A change of an unrelated route has no effect.
        assert_eq!(caches.salts(9, &["club"]).await, [club, bank.clone(), mill]);
    });
}

/// Guards against a workspace that stops being isolated and uses prompts that others cached while it was,
/// or lets others use its own.
#[test]
fn a_workspace_that_stops_being_isolated_uses_none_of_the_prompts_of_that_time() {
    run(async {
        let caches = Caches::start().await;
        let isolated = caches.salts(6, &["club", "bank"]).await;
        assert_eq!(isolated[..2], ["1/club", "1/bank"]);
        let after = caches.salts(7, &["bank"]).await;
        assert_eq!(after[0], after[2]);
        assert_eq!(after[1], "1/bank");
        assert!(!isolated.contains(&after[0]), "{isolated:?} {after:?}");
        assert_eq!(caches.salts(8, &[]).await, ["1/"; 3]);
    });
}

/// Guards against a shared salt that is the same for different sets of isolated workspaces, such as one
/// that depends on their number.
#[test]
fn workspaces_that_become_isolated_together_are_kept_apart() {
    run(async {
        let caches = Caches::start().await;
        let first = caches.salts(6, &["mill"]).await;
        let both = caches.salts(7, &["club", "bank"]).await;
        assert_eq!(both[..2], ["1/club", "1/bank"]);
        let other = caches.salts(8, &["club"]).await;
        let shared = ["1/", &first[0], &both[2], &other[1]];
        for (number, salt) in shared.iter().enumerate() {
            assert!(!shared[..number].contains(salt), "{shared:?}");
        }
        // An instance that starts now knows the newest configuration only.
        let second = caches.deployment.start("n2", "").await;
        second.wait_ready().await;
        let restarted = Caches {
            instance: second,
            ..caches
        };
        assert_eq!(restarted.salts(8, &["club"]).await, other);
    });
}

/// Guards against prompts in the KV cache store that are used after the workspace that may have saved them
/// has become isolated, and against prompts of the new salt that are not saved because the former ones are
/// taken for them.
#[test]
fn prompts_in_the_cache_store_are_saved_again_after_an_isolation() {
    run(async {
        let caches = Caches::start().await;
        let store = CacheStore::new();
        let handle = StandInHandle::start(Rc::clone(&store)).unwrap();
        let address = handle.address().to_string();
        let service = [json!({ "name": "kv", "kv_store_addr": address, "zone": "a" })];
        store.event("+", "1/", "a1", 800, "m");
        caches.activate(6, &[], &service).await;
        // The salt of a request, which applies to the store too, and whether the request saves to it.
        let store_use = async |workspace: &str| {
            let headers = caches.headers(workspace).await?;
            let salt = header(&headers, "jujubelink-cache-salt").to_owned();
            let saved_to = headers.get("jujubelink-kv-save");
            Some((salt, saved_to.is_some_and(|value| *value == *address)))
        };
        eventually("the shared part is known to be stored", || async {
            (store_use("bank").await? == ("1/".to_owned(), false)).then_some(())
        })
        .await;
        caches.activate(7, &["club"], &service).await;
        let (shared, is_saved) = store_use("bank").await.unwrap();
        assert_ne!(shared, "1/");
        assert!(is_saved);
        let (own, is_saved) = store_use("club").await.unwrap();
        assert_eq!((&*own, is_saved), ("1/club", true));
        // What the remaining workspaces have saved since is shared by them.
        assert_eq!(store_use("mill").await, Some((shared, false)));
    });
}

/// Prompts of a workspace at two scripted engines, while a configuration isolates another workspace.
struct Change {
    deployment: Deployment,
    instance: RunningInstance,
    engines: Vec<ScriptedTarget>,
}

/// Time for which a scripted engine lets a prompt wait, in which the configuration changes.
const WAIT: Duration = Duration::from_millis(1_200);

impl Change {
    /// `script` gets each request and the number of its earlier arrivals.
    async fn start(
        script: impl Fn(&ReceivedRequest, usize) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let (deployment, engines) = deploy(&["e1", "e2"], script);
        let config = configuration(6, &[], &[]);
        deployment.store.put("config", "main", config);
        let instance = deployment.start("n1", "").await;
        wait_until_prompts_complete(&instance).await;
        Self {
            deployment,
            instance,
            engines,
        }
    }

    /// Sends a prompt of the workspace `bank`, isolates `club` once it has reached an engine, and returns the
    /// response.
    async fn send(&self, path: &str) -> TestResponse {
        let (_, key) = WORKSPACES[1];
        let request = http::Request::post(path)
            .header("host", "shop.example")
            .header("jujubelink-attempt-id", "r")
            .header("jujubelink-deadline-ms", 4_000)
            .header("jujubelink-model", "m")
            .header("jujubelink-token-count", "1200,50")
            .header("jujubelink-prompt-prefix", "a1:800,b2:400")
            .header("authorization", format!("Bearer {key}"));
        let sent = send_with_host(self.instance.process.client_address, request, "prompt");
        let isolated = async {
            eventually("the prompt reaches an engine", || async {
                (!self.salts().is_empty()).then_some(())
            })
            .await;
            let config = configuration(7, &["club"], &[]);
            self.deployment.store.put("config", "main", config);
        };
        futures_util::join!(sent, isolated).0
    }

    /// Returns the salts of the arrivals of the prompt, in their order.
    fn salts(&self) -> Vec<String> {
        let received = self.engines.iter().flat_map(ScriptedTarget::received);
        let mut arrivals: Vec<_> = received.filter(|request| request.id == "r").collect();
        arrivals.sort_by_key(|request| request.arrived_at);
        let salts = arrivals.iter().filter_map(|request| {
            let mut lines = request.head.lines();
            let salt = lines.find_map(|line| line.strip_prefix("jujubelink-cache-salt: "));
            salt.map(str::to_owned)
        });
        salts.collect()
    }
}

/// The salt of the shared prompts while only `club` is isolated.
fn salt_beside_club() -> String {
    let config = configuration(7, &["club"], &[]);
    let policy = decode_configuration(&config.to_string()).unwrap();
    format!("1/{}", policy.shared_cache_namespace)
}

/// Guards against a prompt that waits at its engine while a workspace becomes isolated, and then begins with
/// what that workspace has cached.
#[test]
fn a_prompt_that_waits_at_its_engine_uses_nothing_of_a_workspace_isolated_meanwhile() {
    run(async {
        let change = Change::start(|request, attempt| {
            let reply = stream(request, &[]);
            if attempt == 0 {
                reply.with_delay(WAIT)
            } else {
                reply
            }
        });
        let change = change.await;
        let response = change.send("/ask/x").await;
        assert!(
            is_complete(&response),
            "{} {}",
            response.status,
            response.body
        );
        assert_eq!(change.salts(), ["1/".to_owned(), salt_beside_club()]);
    });
}

/// Guards against a prompt that may run only once and is sent again because a workspace became isolated.
#[test]
fn a_prompt_that_may_run_only_once_stays_at_its_engine_when_a_workspace_becomes_isolated() {
    run(async {
        let change = Change::start(|request, _| stream(request, &[]).with_delay(WAIT)).await;
        let response = change.send("/tell/x").await;
        assert!(
            is_complete(&response),
            "{} {}",
            response.status,
            response.body
        );
        assert_eq!(change.salts(), ["1/"]);
    });
}

/// Guards against a refused prompt that is sent again with the salt of its first send, though a workspace became
/// isolated in between.
#[test]
fn a_prompt_that_is_sent_again_after_an_isolation_has_the_new_salt() {
    run(async {
        let change = Change::start(|request, attempt| match attempt {
            0 => Reply::kept(refusal(&request.id)).with_delay(WAIT),
            _ => stream(request, &[]),
        });
        let change = change.await;
        let response = change.send("/tell/x").await;
        assert!(
            is_complete(&response),
            "{} {}",
            response.status,
            response.body
        );
        assert_eq!(change.salts().last(), Some(&salt_beside_club()));
    });
}

/// Guards against a stream that is resumed after a workspace became isolated, with what that workspace has
/// cached before.
#[test]
fn a_stream_that_is_resumed_after_an_isolation_has_the_new_salt() {
    run(async {
        let change = Change::start(|request, attempt| match attempt {
            0 => Reply {
                steps: vec![
                    Step::Send(stream_head(request) + &stream_part(1..=2)),
                    Step::Pause(WAIT * 3 / 4),
                ],
                closes: true,
            },
            _ => stream(request, &[]),
        });
        let change = change.await;
        let response = change.send("/ask/x").await;
        assert!(
            is_complete(&response),
            "{} {}",
            response.status,
            response.body
        );
        assert_eq!(change.salts(), ["1/".to_owned(), salt_beside_club()]);
    });
}

/// Guards against an instance that uses former prompts after an outage of the store in which a workspace became
/// isolated, and against one that starts within it.
#[test]
fn an_isolation_during_an_outage_applies_when_the_store_is_back() {
    run(async {
        let caches = Caches::start().await;
        assert_eq!(caches.salts(6, &[]).await, ["1/"; 3]);
        caches.instance.store_endpoint.set_mode(StoreMode::Silent);
        let config = configuration(7, &["club"], &[]);
        caches.deployment.store.put("config", "main", config);
        let started = caches
            .deployment
            .start_with_store("n2", "", StoreMode::Silent)
            .await;
        compio::time::sleep(WAIT).await;
        caches.instance.store_endpoint.set_mode(StoreMode::Up);
        started.store_endpoint.set_mode(StoreMode::Up);
        started.wait_ready().await;
        let started = Caches {
            deployment: caches.deployment,
            instance: started,
            requests: Cell::new(1_000),
        };
        assert_eq!(started.salt("bank").await, salt_beside_club());
        let caches = Caches {
            deployment: started.deployment,
            instance: caches.instance,
            requests: Cell::new(2_000),
        };
        caches.activate(7, &["club"], &[]).await;
        assert_eq!(caches.salt("bank").await, salt_beside_club());
        assert_eq!(caches.salt("club").await, "1/club");
    });
}

/// Guards against an instance without the store that goes on to use former prompts after its peer knows of an
/// isolation. It may refuse instead.
#[test]
fn an_isolation_reaches_an_instance_that_cannot_reach_the_store() {
    run(async {
        let caches = Caches::start().await;
        let cut_off = caches.deployment.start("n2", "").await;
        cut_off.wait_ready().await;
        assert_eq!(caches.salts(6, &[]).await, ["1/"; 3]);
        cut_off.store_endpoint.set_mode(StoreMode::Silent);
        caches.activate(7, &["club"], &[]).await;
        let cut_off = Caches {
            deployment: caches.deployment,
            instance: cut_off,
            requests: Cell::new(1_000),
        };
        let uses_former_prompts = async || {
            let headers = cut_off.headers("bank").await;
            headers.is_some_and(|headers| header(&headers, "jujubelink-cache-salt") == "1/")
        };
        eventually("no former prompts are used", || async {
            (!uses_former_prompts().await).then_some(())
        })
        .await;
        for _ in 0..20 {
            assert!(!uses_former_prompts().await);
        }
    });
}

/// Guards against a set of isolated workspaces that returns and brings prompts back which one of them has cached
/// in between.
#[test]
fn a_set_of_isolated_workspaces_that_returns_brings_no_foreign_prompts_back() {
    run(async {
        let caches = Caches::start().await;
        let [club, bank, _] = caches.salts(6, &["club"]).await;
        let between = caches.salts(7, &["bank"]).await;
        let again = caches.salts(8, &["club"]).await;
        assert_eq!(again[..2], [club, bank]);
        // In between, `club` has placed nothing where the others use it now.
        assert!(!again[1..].contains(&between[0]), "{between:?} {again:?}");
    });
}

/// Guards against names of isolated workspaces whose salt is that of the shared prompts, and against sets
/// of names that give the same salt.
#[test]
fn names_of_workspaces_do_not_collide_with_the_shared_namespace() {
    let isolated = |names: &[&str]| {
        let tenants = names.iter().map(|name| {
            json!({ "name": name, "api_keys": [format!("key of {name}")], "dedicated": true })
        });
        let mut config = Deployment::configuration(6, &[KEY], &[]);
        config["tenants"] = json!(tenants.collect::<Vec<_>>());
        decode_configuration(&config.to_string()).unwrap()
    };
    let shared = isolated(&["a"]).shared_cache_namespace;
    let names = ["", "/", "//", "a", "/a", &shared, &shared[1..]];
    let policy = isolated(&names);
    let mut namespaces: Vec<String> = names
        .iter()
        .map(|name| policy.cache_namespace(Some(&(*name).into())).unwrap())
        .collect();
    namespaces.push(shared);
    namespaces.push(policy.shared_cache_namespace.clone());
    namespaces.push(String::new());
    namespaces.sort();
    let count = namespaces.len();
    namespaces.dedup();
    assert_eq!(namespaces.len(), count, "{namespaces:?}");
    let sets = [isolated(&["ab", "c"]), isolated(&["a", "bc"])];
    assert_ne!(
        sets[0].shared_cache_namespace,
        sets[1].shared_cache_namespace
    );
    // The order in which the configuration lists them has no effect.
    let sets = [isolated(&["a", "b"]), isolated(&["b", "a"])];
    assert_eq!(
        sets[0].shared_cache_namespace,
        sets[1].shared_cache_namespace
    );
}
