//! Demonstration: one instance with stand-ins for the platform and two engines, in one process.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, Result};
use jujubelink::ops::kernel;
use jujubelink::ops::serve::new_context;
use jujubelink::ops::settings::ProcessSettings;
use jujubelink::util::hash::sha256_hex;
use jujubelink_standins::StandInHandle;
use jujubelink_standins::engine::{Engine, EngineTimes};
use jujubelink_standins::platform::Platform;
use serde_json::json;

/// API key of the demo workspace.
const DEMO_KEY: &str = "demo-key";

const ENGINE_TIMES: EngineTimes = EngineTimes {
    prefill: Duration::from_millis(50),
    per_token: Duration::from_millis(30),
};

fn main() -> Result<()> {
    kernel::run(demo())?
}

async fn demo() -> Result<()> {
    let engines = [
        StandInHandle::start(Engine::new(ENGINE_TIMES))?,
        StandInHandle::start(Engine::new(ENGINE_TIMES))?,
    ];
    let platform = Platform::new();
    let platform_handle = StandInHandle::start(platform.clone())?;
    platform.put("config/current", fleet(&engines));
    let context = new_context(settings(platform_handle.address())?)?;
    let client = context.settings().listen.client_address;
    println!("jujubelink listens on {client}. Try:\n");
    println!(
        "curl -N http://{client}/v1/chat/completions -H 'authorization: Bearer {DEMO_KEY}' \\\n  \
         -d '{{\"model\":\"demo\",\"stream\":true,\"max_tokens\":20,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n"
    );
    kernel::run_plugins(context).await
}

fn settings(platform: SocketAddr) -> Result<ProcessSettings> {
    let settings = json!({
        "instance": { "peer_address": "127.0.0.1:7400", "failure_domain": "demo",
            "region": "demo", "cluster_key": "demonstration only" },
        "listen": { "client_address": "127.0.0.1:8400", "admin_address": "127.0.0.1:8401" },
        "platform": { "address": platform },
        "log": { "level": "warning" },
        "stop": { "balancer_notice_ms": 0 },
    });
    serde_json::from_value(settings).context("settings of the demonstration")
}

fn fleet(engines: &[StandInHandle]) -> serde_json::Value {
    let targets: serde_json::Map<_, _> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| {
            let target = json!({ "kind": "engine", "address": engine.address(),
                "failure_domain": "demo", "models": ["demo"] });
            (format!("engine-{index}"), target)
        })
        .collect();
    json!({ "version": 1, "nonce": "demo", "config": {
        "workspaces": { "demo": { "rate_tokens_per_s": 10_000, "burst_tokens": 50_000 } },
        "keys": { sha256_hex(DEMO_KEY.as_bytes()): { "workspace": "demo" } },
        "models": { "demo": { "weights_version": "1" } },
        "targets": targets,
    } })
}
