//! Benchmark of the request path: the latency, processor time and memory that one instance adds to
//! requests to stand-in engines.
//!
//! `path all [instance binary]` starts engines and one instance as processes and sends the same
//! requests to the engines directly and through the instance, in alternating time slices.
//! `path memory [instance binary]` measures only the memory of connections and streams.

use std::cell::{Cell, RefCell};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result, ensure};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use jujubelink::ops::kernel;
use jujubelink::util::hash::sha256_hex;
use jujubelink::util::http::{Client, RequestOptions, full};
use jujubelink_standins::StandInHandle;
use jujubelink_standins::engine::{Engine, EngineSettings};
use jujubelink_standins::platform::Platform;
use jujubelink_standins::ports::free_address;
use serde_json::json;

/// API key of the benchmark workspace.
const KEY: &str = "bench-key";

/// Number of engine processes; several, so that the engines are not the bottleneck.
const ENGINE_COUNT: usize = 3;

/// Size of the prompt of each request.
const PROMPT_BYTES: usize = 8_000;

/// Number of tokens generated for each request of the latency benchmark.
const COMPLETION_TOKENS: u64 = 24;

/// Time between two tokens of an engine.
const PER_TOKEN: Duration = Duration::from_millis(20);

/// Time of an engine to process a prompt.
const PREFILL: Duration = Duration::from_millis(5);

/// Request rates of the latency benchmark.
const REQUEST_RATES_PER_S: [u64; 5] = [50, 100, 200, 400, 600];

/// Duration of a time slice, in which all requests take the same path.
const SLICE_TIME: Duration = Duration::from_secs(2);

/// Number of time slices for each path and rate.
const SLICES_PER_PATH: usize = 3;

/// Number of connections of the memory benchmark.
const CONNECTIONS: usize = 2_000;

fn main() -> Result<()> {
    let argument = std::env::args().nth(1);
    let binary = std::env::args().nth(2).map(PathBuf::from);
    match argument.as_deref() {
        Some("engine") => kernel::run(engine())?,
        Some("memory") => kernel::run(measure(binary, false))?,
        _ => kernel::run(measure(binary, true))?,
    }
}

/// Runs one engine in this process and prints its address.
async fn engine() -> Result<()> {
    let engine = Engine::with_settings(EngineSettings {
        max_running: 4_096,
        prefill: PREFILL,
        per_token: PER_TOKEN,
        ..EngineSettings::default()
    });
    engine.stop_recording_requests();
    let handle = StandInHandle::start(engine)?;
    println!("{}", handle.address());
    std::future::pending().await
}

/// A child process that is killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Returns a field of `/proc/PID/status` in KB, or 0 if it cannot be read.
    fn status_kb(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(field));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
            .unwrap_or(0)
    }

    /// Returns the total time for which the process was runnable but waited for a processor. If it
    /// is a large fraction of the run, the machine was too busy for the results to be meaningful.
    fn processor_wait(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.0.id()));
        let stat = stat.unwrap_or_default();
        let wait = stat.split_whitespace().nth(1);
        Duration::from_nanos(wait.and_then(|wait| wait.parse().ok()).unwrap_or(0))
    }

    /// Returns the processor time of the process, with the resolution of a kernel clock tick (10
    /// ms).
    fn cpu_time(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id()));
        let stat = stat.unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<u64> = after_name
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse().ok())
            .collect();
        Duration::from_millis(fields.iter().sum::<u64>() * 10)
    }
}

fn start_engine() -> Result<(Process, SocketAddr)> {
    let mut child = Command::new(std::env::current_exe()?)
        .arg("engine")
        .stdout(Stdio::piped())
        .spawn()
        .context("start an engine")?;
    let stdout = child.stdout.take().context("output of an engine")?;
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line)?;
    Ok((Process(child), line.trim().parse()?))
}

fn start_instance(binary: Option<PathBuf>, platform: SocketAddr) -> Result<(Process, SocketAddr)> {
    let beside = std::env::current_exe()?.with_file_name("jujubelink");
    let binary = binary.unwrap_or(beside);
    let (client, admin, peer) = (free_address(), free_address(), free_address());
    let settings = format!(
        "[instance]\npeer_address = \"{peer}\"\nfailure_domain = \"a\"\nregion = \"r\"\n\
         cluster_key = \"benchmark cluster key\"\n[listen]\nclient_address = \"{client}\"\n\
         admin_address = \"{admin}\"\n[platform]\naddress = \"{platform}\"\n\
         [log]\nlevel = \"error\"\n"
    );
    let path = std::env::temp_dir().join(format!("jujubelink-bench-{}.toml", std::process::id()));
    std::fs::write(&path, settings)?;
    let child = Command::new(&binary)
        .arg("serve")
        .arg("--settings")
        .arg(&path)
        .spawn()
        .with_context(|| format!("start {}", binary.display()))?;
    Ok((Process(child), client))
}

fn fleet(engines: &[SocketAddr]) -> serde_json::Value {
    let targets: serde_json::Map<_, _> = engines
        .iter()
        .enumerate()
        .map(|(index, address)| {
            let target = json!({ "kind": "engine", "address": address, "failure_domain": "a",
                "models": ["m"], "max_running": 4096 });
            (format!("e{index}"), target)
        })
        .collect();
    json!({ "version": 1, "nonce": "n", "config": {
        "workspaces": { "w": { "rate_tokens_per_s": 1_000_000_000_u64,
            "burst_tokens": 10_000_000_000_u64 } },
        "keys": { sha256_hex(KEY.as_bytes()): { "workspace": "w" } },
        "models": { "m": { "weights_version": "1", "first_token_deadline_ms": 10_000,
            "max_tokens_limit": 100_000,
            "prefill_tokens_per_s": 10_000_000_u64 } },
        "targets": targets,
    } })
}

/// Results of the requests that took one path.
struct Times {
    /// Time to the first token, in microseconds.
    first_token: Histogram<u64>,
    /// Time between two chunks of a stream, in microseconds.
    between: Histogram<u64>,
    requests: u64,
    tokens: u64,
    failures: u64,
}

impl Times {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits");
        Self {
            first_token: histogram(),
            between: histogram(),
            requests: 0,
            tokens: 0,
            failures: 0,
        }
    }
}

/// Client that sends requests directly to the engines or through the instance.
struct LoadGenerator {
    client: Client,
    engines: Vec<SocketAddr>,
    instance: SocketAddr,
    /// Number of the next request, which makes its prompt unique.
    next_number: Cell<usize>,
}

/// Path of a request to an engine.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestPath {
    Direct,
    Instance,
}

impl LoadGenerator {
    fn request(&self, tokens: u64, number: usize) -> Request<jujubelink::util::http::Body> {
        let text = format!("{number:08}{}", "x".repeat(PROMPT_BYTES - 8));
        let body = json!({ "model": "m", "stream": true, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": text }] });
        Request::post("/v1/chat/completions")
            .header("host", "bench")
            .header("authorization", format!("Bearer {KEY}"))
            .body(full(body.to_string()))
            .expect("valid headers")
    }

    async fn send(&self, path: RequestPath, tokens: u64, times: &RefCell<Times>) -> Result<()> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let address = match path {
            RequestPath::Direct => self.engines[number % self.engines.len()],
            RequestPath::Instance => self.instance,
        };
        let request = self.request(tokens, number);
        let start = Instant::now();
        let response = self
            .client
            .send(address, request, RequestOptions::default())
            .await?;
        ensure!(response.status() == 200, "status {}", response.status());
        let mut body = response.into_body();
        let mut last: Option<Instant> = None;
        let mut is_complete = false;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let now = Instant::now();
            let mut times = times.borrow_mut();
            match last {
                None => times.first_token.record(micros(now - start))?,
                Some(before) => times.between.record(micros(now - before))?,
            }
            last = Some(now);
            times.tokens += events(&data);
            is_complete |= data.ends_with(b"data: [DONE]\n\n");
        }
        ensure!(is_complete, "the stream ended before the [DONE] event");
        times.borrow_mut().requests += 1;
        Ok(())
    }

    /// Sends requests at a fixed rate for one time slice and waits for all responses.
    async fn slice(
        self: &Rc<Self>,
        path: RequestPath,
        rate_per_s: u64,
        times: &Rc<RefCell<Times>>,
    ) {
        let start = Instant::now();
        let gap = Duration::from_secs(1) / rate_per_s as u32;
        let mut running = Vec::new();
        for number in 0.. {
            let due = gap * number;
            if due >= SLICE_TIME {
                break;
            }
            compio::time::sleep_until(start + due).await;
            let (load, times) = (Rc::clone(self), Rc::clone(times));
            running.push(compio::runtime::spawn(async move {
                if load.send(path, COMPLETION_TOKENS, &times).await.is_err() {
                    times.borrow_mut().failures += 1;
                }
            }));
        }
        for request in running {
            let _ = request.await;
        }
    }
}

fn micros(time: Duration) -> u64 {
    time.as_micros().max(1) as u64
}

/// Counts the server-sent events that end in a chunk.
fn events(data: &Bytes) -> u64 {
    data.windows(2).filter(|pair| pair == b"\n\n").count() as u64
}

async fn measure(binary: Option<PathBuf>, with_latency: bool) -> Result<()> {
    let platform = Platform::new();
    let platform_handle = StandInHandle::start(platform.clone())?;
    let engines: Vec<_> = (0..ENGINE_COUNT)
        .map(|_| start_engine())
        .collect::<Result<_>>()?;
    let addresses: Vec<_> = engines.iter().map(|(_, address)| *address).collect();
    platform.put("config/current", fleet(&addresses));
    let (instance, address) = start_instance(binary, platform_handle.address())?;
    let load = Rc::new(LoadGenerator {
        client: Client::new(),
        engines: addresses,
        instance: address,
        next_number: Cell::new(0),
    });
    wait_until_ready(&load).await?;
    if with_latency {
        latency(&load, &instance).await;
    }
    idle_memory(&load, &instance).await?;
    stream_memory(&load, &instance).await;
    drop(engines);
    Ok(())
}

async fn wait_until_ready(load: &LoadGenerator) -> Result<()> {
    let deadline = Instant::now() + Duration::from_secs(20);
    let ignored = RefCell::new(Times::new());
    while load.send(RequestPath::Instance, 1, &ignored).await.is_err() {
        ensure!(Instant::now() < deadline, "the instance is not ready");
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn latency(load: &Rc<LoadGenerator>, instance: &Process) {
    println!(
        "first token and time between tokens, microseconds; {COMPLETION_TOKENS} tokens, engine times \
        {PREFILL:?} and {PER_TOKEN:?}"
    );
    println!(
        "{:>6} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} {:>9} {:>8} {:>8}",
        "req/s",
        "way",
        "first50",
        "first99",
        "gap50",
        "gap99",
        "requests",
        "tokens",
        "failed",
        "cpu/req",
        "cpu %",
        "wait %"
    );
    for rate in REQUEST_RATES_PER_S {
        let direct = Rc::new(RefCell::new(Times::new()));
        let via_instance = Rc::new(RefCell::new(Times::new()));
        let mut usage = Usage::default();
        for _ in 0..SLICES_PER_PATH {
            load.slice(RequestPath::Direct, rate, &direct).await;
            let (cpu, wait, start) = (
                instance.cpu_time(),
                instance.processor_wait(),
                Instant::now(),
            );
            load.slice(RequestPath::Instance, rate, &via_instance).await;
            usage.cpu += instance.cpu_time() - cpu;
            usage.wait += instance.processor_wait() - wait;
            usage.wall += start.elapsed();
        }
        print_row(rate, "direct", &direct.borrow(), None);
        print_row(rate, "instance", &via_instance.borrow(), Some(usage));
    }
}

/// Processor usage of the instance.
#[derive(Default, Clone, Copy)]
struct Usage {
    cpu: Duration,
    wait: Duration,
    wall: Duration,
}

fn print_row(rate: u64, path: &str, times: &Times, usage: Option<Usage>) {
    let at = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile);
    let usage = usage.unwrap_or_default();
    let per_request = micros(usage.cpu) / times.requests.max(1);
    let share = |time: Duration| 100.0 * time.as_secs_f64() / usage.wall.as_secs_f64().max(0.001);
    let (cpu, wait) = (share(usage.cpu), share(usage.wait));
    println!(
        "{rate:>6} {path:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} {per_request:>9} {cpu:>8.1} {wait:>8.1}",
        at(&times.first_token, 0.5),
        at(&times.first_token, 0.99),
        at(&times.between, 0.5),
        at(&times.between, 0.99),
        times.requests,
        times.tokens,
        times.failures
    );
}

async fn idle_memory(load: &LoadGenerator, instance: &Process) -> Result<()> {
    compio::time::sleep(Duration::from_secs(1)).await;
    let before = instance.status_kb("VmRSS:");
    let mut idle = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut socket = TcpStream::connect(load.instance)?;
        socket.write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n")?;
        idle.push(socket);
        compio::time::sleep(Duration::from_micros(300)).await;
    }
    compio::time::sleep(Duration::from_secs(1)).await;
    let after = instance.status_kb("VmRSS:");
    println!(
        "resident size: {before} KB; with {CONNECTIONS} idle connections: {after} KB, {} B each",
        (after.saturating_sub(before)) * 1024 / CONNECTIONS as u64
    );
    Ok(())
}

async fn stream_memory(load: &Rc<LoadGenerator>, instance: &Process) {
    let before = instance.status_kb("VmRSS:");
    let times = Rc::new(RefCell::new(Times::new()));
    let streams: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            let (load, times) = (Rc::clone(load), Rc::clone(&times));
            compio::runtime::spawn(async move {
                compio::time::sleep(Duration::from_millis(number as u64 * 2)).await;
                if load.send(RequestPath::Instance, 600, &times).await.is_err() {
                    times.borrow_mut().failures += 1;
                }
            })
        })
        .collect();
    compio::time::sleep(Duration::from_secs(6)).await;
    let (cpu_start, tokens_start, start) =
        (instance.cpu_time(), times.borrow().tokens, Instant::now());
    compio::time::sleep(Duration::from_secs(4)).await;
    let cpu = instance.cpu_time() - cpu_start;
    let tokens = times.borrow().tokens - tokens_start;
    let after = instance.status_kb("VmRSS:");
    println!(
        "{CONNECTIONS} streams: resident {after} KB, {} B each; {:.0} tokens/s at {:.1} % of a \
        core, {:.1} microseconds of processor time a token",
        (after.saturating_sub(before)) * 1024 / CONNECTIONS as u64,
        tokens as f64 / start.elapsed().as_secs_f64(),
        100.0 * cpu.as_secs_f64() / start.elapsed().as_secs_f64(),
        micros(cpu) as f64 / tokens.max(1) as f64
    );
    for stream in streams {
        let _ = stream.await;
    }
    let times = times.borrow();
    println!(
        "whole streams: {}, failed: {}, peak resident size {} KB",
        times.requests,
        times.failures,
        instance.status_kb("VmHWM:")
    );
}
