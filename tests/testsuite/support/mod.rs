//! Support for tests: stand-ins, instances of the real binary, and an HTTP client.

mod cluster;
pub(crate) mod decisions;
mod fleet;
mod flood;
pub(crate) mod http2;
mod instance;
mod log;
mod process;
mod scripted;
mod unresponsive;

pub(crate) use cluster::{Cluster, config};
pub(crate) use fleet::{
    Fleet, KEY, canonical_chat_prompt, chat_body, chat_request, event_data, stream_text,
};
pub(crate) use flood::{Flood, FloodClient, FloodProxy, ID};
pub(crate) use instance::{ADMIN_KEY, Instance};
pub(crate) use jujubelink_standins::ports::{free_address, spawn};
pub(crate) use log::LogFile;
pub(crate) use process::{ProcessSockets, process_memory_bytes};
pub(crate) use scripted::{ReceivedRequest, Reply, ScriptedTarget, Step};
pub(crate) use unresponsive::UnresponsivePort;

use std::net::SocketAddr;

use std::time::Duration;

use proptest::test_runner::{Config as ProptestConfig, RngSeed};

use jujubelink::util::http::{Client, RequestOptions, collect_limited, empty, full};

/// Longest wait for an expected condition. Only a failing test waits this long.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Seed of the property tests.
const PROPERTY_SEED: u64 = 20_261_204;

/// Configuration of property tests with a fixed seed, which it prints.
pub(crate) fn property_config() -> ProptestConfig {
    println!("property seed {PROPERTY_SEED}");
    ProptestConfig {
        rng_seed: RngSeed::Fixed(PROPERTY_SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Runs a future to its end on a new event loop.
pub(crate) fn run<F: Future>(test: F) -> F::Output {
    let runtime = compio::runtime::Runtime::new().expect("create an event loop");
    runtime.block_on(test)
}

/// A response with its complete body.
pub(crate) struct TestResponse {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: String,
}

/// Sends a request on a new connection and reads the whole response.
pub(crate) async fn send(
    address: SocketAddr,
    request: http::request::Builder,
    body: Option<String>,
) -> TestResponse {
    let response = try_send(address, request, body).await;
    response.expect("a complete response")
}

/// Like [`send`]. Returns `None` if the connection ends before the response does.
pub(crate) async fn try_send(
    address: SocketAddr,
    request: http::request::Builder,
    body: Option<String>,
) -> Option<TestResponse> {
    let body = body.map_or_else(empty, full);
    let request = request
        .header("host", address.to_string())
        .body(body)
        .expect("a valid request");
    let options = RequestOptions::default().with_new_connection();
    let response = Client::new().send(address, request, options).await.ok()?;
    let (head, body) = response.into_parts();
    let body = collect_limited(body, 64 << 20).await.ok()?;
    let body = body.expect("a body of at most 64 MiB");
    Some(TestResponse {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::from_utf8(body.to_vec()).expect("text"),
    })
}

/// Calls `probe` every 10 ms until it returns a value; panics after [`WAIT_TIMEOUT`]. `what`
/// describes the awaited condition.
pub(crate) async fn eventually<T, F>(what: &str, mut probe: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let wait = async {
        loop {
            if let Some(value) = probe().await {
                return value;
            }
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    compio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting for: {what}"))
}
