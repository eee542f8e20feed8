//! Stand-ins of engines, services and the platform, and a configuration that names them, for tests
//! of the request path.

use std::cell::{Cell, RefCell};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use jujubelink::util::hash::sha256_hex;
use jujubelink_standins::StandInHandle;
use jujubelink_standins::engine::{Engine, EngineSettings};
use jujubelink_standins::platform::Platform;
use jujubelink_standins::service::PlainService;
use serde_json::{Value, json};

use super::{Instance, TestResponse, eventually, free_address, send};

/// API key of the workspace `clerks`.
pub(crate) const KEY: &str = "secret";

/// Stand-ins of engines, of two plain services and of the platform.
pub(crate) struct Fleet {
    pub(crate) platform: Rc<Platform>,
    platform_handle: StandInHandle,
    pub(crate) engines: Vec<Rc<Engine>>,
    engine_handles: RefCell<Vec<Option<StandInHandle>>>,
    pub(crate) services: Vec<Rc<PlainService>>,
    _service_handles: Vec<StandInHandle>,
    version: Cell<u64>,
    config: RefCell<Value>,
}

impl Fleet {
    /// Starts the stand-ins. Engines generate a token every 4 ms.
    pub(crate) fn new(engine_count: usize) -> Self {
        let settings = EngineSettings {
            // With any other model, an instance would order the engine to load the configured one.
            model: "shop".to_owned(),
            per_token: Duration::from_millis(4),
            max_running: 64,
            ..EngineSettings::default()
        };
        let start = |_| Engine::with_settings(settings.clone());
        let engines: Vec<_> = (0..engine_count).map(start).collect();
        let handles: Vec<_> = engines
            .iter()
            .map(|engine| Some(StandInHandle::start(engine.clone()).unwrap()))
            .collect();
        let services = vec![PlainService::new(), PlainService::new()];
        let service_handles: Vec<_> = services
            .iter()
            .map(|service| StandInHandle::start(service.clone()).unwrap())
            .collect();
        let platform = Platform::new();
        let platform_handle = StandInHandle::start(platform.clone()).unwrap();
        let config = config_of(&handles, &service_handles);
        let fleet = Self {
            platform,
            platform_handle,
            engines,
            engine_handles: RefCell::new(handles),
            services,
            _service_handles: service_handles,
            version: Cell::new(0),
            config: RefCell::new(config),
        };
        fleet.update_config(|_| {});
        fleet
    }

    /// Changes the configuration and writes it to the platform under the next version.
    pub(crate) fn update_config(&self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config.borrow_mut());
        self.version.set(self.version.get() + 1);
        let stored = json!({ "version": self.version.get(), "nonce": "n",
            "config": *self.config.borrow() });
        self.platform.put("config/current", stored);
    }

    /// Address of the platform.
    pub(crate) fn platform_address(&self) -> std::net::SocketAddr {
        self.platform_handle.address()
    }

    /// Starts an instance and waits until it is ready.
    pub(crate) async fn start_instance(&self) -> Instance {
        self.start_instance_with("", Stdio::inherit()).await
    }

    /// Starts an instance with further settings (TOML) and a destination for its log, and waits until
    /// it is ready.
    pub(crate) async fn start_instance_with(&self, settings: &str, log: Stdio) -> Instance {
        let addresses = [free_address(), free_address(), free_address()];
        let platform = self.platform_handle.address();
        let instance = Instance::start_with(addresses, platform, &[], settings, log).await;
        eventually("the instance is ready", || async {
            let response = send(instance.client_address, Request::get("/readyz"), None).await;
            (response.status == 200).then_some(())
        })
        .await;
        instance
    }

    /// Stops an engine and its listener, like a crash of its process.
    pub(crate) fn kill_engine(&self, index: usize) {
        self.engines[index].crash();
        self.engine_handles.borrow_mut()[index] = None;
    }

    /// Waits for an engine that is running a request and has generated `tokens` tokens; returns its
    /// index.
    pub(crate) async fn running_engine(&self, tokens: u64) -> usize {
        eventually("an engine generates tokens", || async {
            self.engines.iter().position(|engine| {
                engine.running() > 0 && engine.counts().generated_tokens >= tokens
            })
        })
        .await
    }

    /// Number of requests that engines have started to run.
    pub(crate) fn started_requests(&self) -> u64 {
        self.engines
            .iter()
            .map(|engine| engine.counts().started)
            .sum()
    }

    /// Number of requests that plain services have run.
    pub(crate) fn service_runs(&self) -> u64 {
        self.services
            .iter()
            .map(|service| service.total_runs())
            .sum()
    }
}

/// Configuration with all stand-ins as targets, and the target `gone` at which nothing listens.
fn config_of(engines: &[Option<StandInHandle>], services: &[StandInHandle]) -> Value {
    let mut config = json!({
        "workspaces": {
            "clerks": { "rate_tokens_per_s": 10_000_000, "burst_tokens": 100_000_000 },
            "poets": { "rate_tokens_per_s": 10_000_000, "burst_tokens": 100_000_000 },
            "small": { "rate_tokens_per_s": 1, "burst_tokens": 4_000 },
        },
        "keys": { sha256_hex(KEY.as_bytes()): { "workspace": "clerks" },
            sha256_hex(b"poem"): { "workspace": "poets" },
            sha256_hex(b"tiny"): { "workspace": "small" },
            sha256_hex(b"old"): { "workspace": "poets" } },
        "withdrawn_keys": [sha256_hex(b"old")],
        "models": {
            "shop": { "weights_version": "1", "first_token_deadline_ms": 10_000 },
            "empty": { "weights_version": "1" },
        },
        "targets": {},
        "routes": {
            "shop": { "path_prefix": "/shop", "targets": ["s0", "s1"],
                "response_timeout_ms": 2_000, "idempotency_header": "idempotency-key" },
            "forms": { "path_prefix": "/forms", "targets": ["s0"], "idempotency_field": "id" },
            "open": { "path_prefix": "/open", "targets": ["s0"], "access": "open" },
            "slow": { "path_prefix": "/slow", "targets": ["s0"], "response_timeout_ms": 200 },
            "dead": { "path_prefix": "/dead", "targets": ["gone"] },
            "half": { "path_prefix": "/half", "targets": ["gone", "s1"] },
            "poets": { "path_prefix": "/poets", "targets": ["s0"], "workspaces": ["poets"] },
        },
    });
    for (index, engine) in engines.iter().enumerate() {
        let address = engine.as_ref().unwrap().address();
        config["targets"][format!("e{index}")] = json!({ "kind": "engine", "address": address,
            "failure_domain": "a", "models": ["shop"], "max_running": 64,
            "credential": "engine-credential" });
    }
    for (index, service) in services.iter().enumerate() {
        config["targets"][format!("s{index}")] =
            json!({ "kind": "service", "address": service.address(), "failure_domain": "a" });
    }
    config["targets"]["gone"] =
        json!({ "kind": "service", "address": super::free_address(), "failure_domain": "a" });
    config
}

/// Body of a chat request for `tokens` output tokens.
pub(crate) fn chat_body(prompt: &str, tokens: u64, is_stream: bool) -> String {
    json!({ "model": "shop", "stream": is_stream, "max_tokens": tokens,
        "messages": [{ "role": "user", "content": prompt }] })
    .to_string()
}

/// Canonical prompt text of the messages in [`chat_body`].
pub(crate) fn canonical_chat_prompt(prompt: &str) -> String {
    format!("<|user|>{prompt}<|end|><|assistant|>")
}

/// Builder of a chat request with the API key [`KEY`].
pub(crate) fn chat_request() -> http::request::Builder {
    Request::post("/v1/chat/completions")
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
}

/// Data lines of the server-sent events in a body.
pub(crate) fn event_data(body: &str) -> Vec<&str> {
    body.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}

/// Generated text of a streamed chat response. Fails unless the stream ended with `[DONE]`.
pub(crate) fn stream_text(response: &TestResponse) -> String {
    assert_eq!(response.status, 200, "{}", response.body);
    let data = event_data(&response.body);
    assert_eq!(data.last(), Some(&"[DONE]"), "{}", response.body);
    let chunks = data[..data.len() - 1]
        .iter()
        .map(|data| serde_json::from_str::<Value>(data).unwrap());
    chunks
        .map(|chunk| {
            let content = &chunk["choices"][0]["delta"]["content"];
            content.as_str().unwrap_or_default().to_owned()
        })
        .collect()
}
