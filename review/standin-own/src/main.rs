//! The project's own stand-ins as processes: `standin-own platform ADDRESS CONFIGURATION`,
//! `standin-own engine ADDRESS` and `standin-own kv-store ADDRESS`.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jujubelink_standins::StandInHandle;
use jujubelink_standins::engine::{Engine, EngineSettings};
use jujubelink_standins::platform::Platform;
use jujubelink_standins::stores::KvStore;

/// Time that an engine takes for 1,000 prompt tokens, as the default of `prefill_tokens_per_s` states it.
const PREFILL_PER_1000_TOKENS: Duration = Duration::from_millis(50);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let address = |text: &str| text.parse::<SocketAddr>().expect("an address");
    let runtime = compio::runtime::Runtime::new().expect("the event loop starts");
    runtime.block_on(async {
        match args[..] {
            ["platform", at, file] => {
                let text = std::fs::read_to_string(file).expect("the configuration is readable");
                let configuration = serde_json::from_str(&text).expect("the configuration is JSON");
                let platform = Platform::new();
                platform.put("config/current", configuration);
                let _handle =
                    StandInHandle::start_on(platform, address(at)).expect("the address is free");
                std::future::pending::<()>().await;
            }
            ["kv-store", at] => {
                let _handle = StandInHandle::start_on(KvStore::new(), address(at))
                    .expect("the address is free");
                std::future::pending::<()>().await;
            }
            ["engine", at] => {
                let engine = Engine::with_settings(EngineSettings {
                    max_running: 64,
                    prefill_per_token: PREFILL_PER_1000_TOKENS / 1_000,
                    per_token: Duration::from_millis(10),
                    ..EngineSettings::default()
                });
                let _handle = StandInHandle::start_on(engine.clone(), address(at))
                    .expect("the address is free");
                log_runs(at, &engine).await;
            }
            _ => eprintln!("usage: standin-own platform|engine|kv-store ADDRESS"),
        }
    });
}

/// Writes which requests the engine has begun.
async fn log_runs(at: &str, engine: &Engine) {
    let mut logged = 0;
    loop {
        let seen = engine.seen_headers();
        for headers in &seen[logged..] {
            let id = headers.get("x-request-id").and_then(|id| id.to_str().ok());
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let (s, ms) = (now.as_secs() % 1_000_000, now.subsec_millis());
            println!(
                "{s:>7}.{ms:03} engine {at}: got request {}",
                id.unwrap_or("without an id")
            );
        }
        logged = seen.len();
        compio::time::sleep(Duration::from_millis(50)).await;
    }
}
