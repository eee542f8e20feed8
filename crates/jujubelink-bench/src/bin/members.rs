//! Benchmark of membership and configuration propagation between real instances, at several fleet
//! sizes.
//!
//! Starts instances of the `jujubelink` binary in the same directory, with a stand-in for the
//! platform, and waits until every instance lists all others. It then measures the resources that
//! idle instances use, changes the configuration several times, and reads from the logs of the
//! instances when each change became active. The last lines extrapolate to 380 instances with a
//! least-squares fit over the sizes.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use bpaf::{Parser, long};
use jujubelink::ops::kernel;
use jujubelink::ops::peer::{PeerChannel, PeerToken};
use jujubelink_proto::spread::spread_client::SpreadClient;
use jujubelink_proto::spread::{MembersRequest, StatusRequest};
use jujubelink_standins::StandInHandle;
use jujubelink_standins::platform::Platform;
use jujubelink_standins::ports::free_address;
use serde_json::{Value, json};

/// Number of instances of a fleet at full size.
const FULL_SIZE: f64 = 380.0;

const CLUSTER_KEY: &str = "benchmark cluster key";

#[derive(Debug, Clone)]
struct Options {
    sizes: Vec<usize>,
    changes: u64,
    window_s: u64,
    workspaces: usize,
    settle_s: u64,
}

fn options() -> Options {
    let sizes = long("size")
        .help("Number of instances; may be repeated")
        .argument::<usize>("N")
        .some("at least one size");
    let sizes = sizes.fallback(vec![4, 8, 16, 32, 64]);
    let changes = long("changes").argument::<u64>("N").fallback(10);
    let window_s = long("window-s").argument::<u64>("S").fallback(30);
    let workspaces = long("workspaces").argument::<usize>("N").fallback(10);
    let settle_s = long("settle-s").argument::<u64>("S").fallback(15);
    bpaf::construct!(Options {
        sizes,
        changes,
        window_s,
        workspaces,
        settle_s
    })
    .to_options()
    .run()
}

/// Results for one fleet size, per instance unless stated otherwise.
#[derive(Debug, Default, Clone, Copy)]
struct Row {
    size: f64,
    cpu_percent: f64,
    max_cpu_percent: f64,
    rss_mb: f64,
    datagrams_per_s: f64,
    datagram_bytes_per_s: f64,
    tcp_bytes_per_s: f64,
    /// Total over all instances.
    platform_calls_per_s: f64,
    join_s: f64,
    median_change_ms: f64,
    max_change_ms: f64,
}

/// A running instance. It is killed, and its files are removed, on drop.
struct Process {
    child: Child,
    peer: SocketAddr,
    log: PathBuf,
    settings: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.log);
        let _ = fs::remove_file(&self.settings);
    }
}

fn config(version: u64, workspaces: usize) -> Value {
    let mut names = serde_json::Map::new();
    let mut keys = serde_json::Map::new();
    for index in 0..workspaces {
        let name = format!("workspace-{index}");
        for copy in 0..2 {
            keys.insert(
                format!("{index:060x}{copy:04x}"),
                json!({ "workspace": name }),
            );
        }
        let settings = json!({ "rate_tokens_per_s": 1000 + version, "burst_tokens": 100_000 });
        names.insert(name, settings);
        if index > 0 {
            // Only the first workspace changes with the version.
            names[&format!("workspace-{index}")]["rate_tokens_per_s"] = json!(1000);
        }
    }
    json!({ "version": version, "nonce": version.to_string(), "config": {
        "workspaces": names, "keys": keys, "models": { "m": { "weights_version": "1" } },
    } })
}

fn start(
    binary: &Path,
    peer: SocketAddr,
    seeds: &[SocketAddr],
    platform: SocketAddr,
    statsd: SocketAddr,
    index: usize,
) -> Result<Process> {
    let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let text = format!(
        "[instance]\npeer_address = \"{peer}\"\nfailure_domain = \"domain-{}\"\nregion = \"r\"\n\
         seeds = [{}]\ncluster_key = \"{CLUSTER_KEY}\"\n\
         [listen]\nclient_address = \"{}\"\nadmin_address = \"{}\"\n\
         [platform]\naddress = \"{platform}\"\n\
         [metrics]\nstatsd_address = \"{statsd}\"\n",
        index % 4,
        seeds.join(", "),
        free_address(),
        free_address(),
    );
    let name = format!("jujubelink-bench-{}-{index}", std::process::id());
    let settings = std::env::temp_dir().join(format!("{name}.toml"));
    let log = std::env::temp_dir().join(format!("{name}.log"));
    fs::write(&settings, text)?;
    let child = Command::new(binary)
        .args(["serve", "--settings"])
        .arg(&settings)
        .stdout(Stdio::null())
        .stderr(File::create(&log)?)
        .spawn()
        .context("start an instance; build the release binary first")?;
    Ok(Process {
        child,
        peer,
        log,
        settings,
    })
}

fn client(address: SocketAddr) -> SpreadClient<PeerChannel> {
    let channel = PeerChannel::new(address, PeerToken::new(CLUSTER_KEY));
    let origin = channel.origin();
    SpreadClient::with_origin(channel, origin)
}

/// Returns the number of members that an instance lists.
async fn member_count(address: SocketAddr) -> usize {
    let reply = client(address).members(MembersRequest {}).await;
    reply.map_or(0, |reply| reply.into_inner().members.len())
}

/// Returns the configuration version of an instance.
async fn version(address: SocketAddr) -> u64 {
    let reply = client(address).status(StatusRequest {}).await;
    reply.map_or(0, |reply| reply.into_inner().config_version)
}

/// Returns the processor time that a process has used.
fn cpu_time(pid: u32) -> Result<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/schedstat"))?;
    let ns = text.split(' ').next().context("schedstat")?.parse()?;
    Ok(Duration::from_nanos(ns))
}

fn rss_mb(pid: u32) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages: f64 = text.split(' ').nth(1).context("statm")?.parse()?;
    Ok(pages * 4096.0 / 1e6)
}

/// Reads all pending packets from the statsd socket and returns the sums of their counters.
fn drain_counters(statsd: &UdpSocket) -> BTreeMap<String, f64> {
    let mut sums = BTreeMap::new();
    let mut buffer = [0; 65_536];
    while let Ok(length) = statsd.recv(&mut buffer) {
        let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
        for line in text.lines() {
            let Some((name, value)) = line.split_once(':') else {
                continue;
            };
            let Some(value) = value.strip_suffix("|c") else {
                continue;
            };
            let name = name.trim_start_matches("jujubelink.").to_owned();
            *sums.entry(name).or_insert(0.0) += value.parse::<f64>().unwrap_or(0.0);
        }
    }
    sums
}

/// Returns the time at which a configuration version became active according to a log, in seconds
/// since midnight UTC.
fn applied_at(log: &Path, version: u64) -> Option<f64> {
    let text = fs::read_to_string(log).ok()?;
    text.lines().find_map(|line| {
        let value: Value = serde_json::from_str(line).ok()?;
        let is_match = value["msg"] == "configuration in force" && value["version"] == version;
        is_match.then(|| second_of_day(value["ts"].as_str()?))?
    })
}

fn second_of_day(timestamp: &str) -> Option<f64> {
    let time = timestamp.split('T').nth(1)?.trim_end_matches('Z');
    let mut parts = time.split(':').map(|part| part.parse::<f64>().ok());
    Some(parts.next()?? * 3600.0 + parts.next()?? * 60.0 + parts.next()??)
}

fn now_second_of_day() -> f64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    now.as_secs_f64() % 86_400.0
}

async fn measure(size: usize, options: &Options, binary: &Path) -> Result<Row> {
    let platform = Platform::new();
    let platform_handle = StandInHandle::start(Rc::clone(&platform))?;
    platform.put("config/current", config(1, options.workspaces));
    let statsd = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    statsd.set_nonblocking(true)?;
    let peers: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect();
    let started = Instant::now();
    let mut processes = Vec::new();
    for (index, peer) in peers.iter().enumerate() {
        let seeds = &peers[..size.min(3)];
        let address = platform_handle.address();
        let statsd = statsd.local_addr()?;
        processes.push(start(binary, *peer, seeds, address, statsd, index)?);
    }
    for process in &processes {
        while member_count(process.peer).await < size || version(process.peer).await < 1 {
            if started.elapsed() > Duration::from_secs(120) {
                bail!("some instances do not list all others after 120 s");
            }
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let mut row = Row {
        size: size as f64,
        join_s: started.elapsed().as_secs_f64(),
        ..Row::default()
    };
    compio::time::sleep(Duration::from_secs(options.settle_s)).await;
    measure_idle(&mut row, options, &processes, &platform, &statsd).await?;
    measure_changes(&mut row, options, &processes, &platform).await?;
    Ok(row)
}

async fn measure_idle(
    row: &mut Row,
    options: &Options,
    processes: &[Process],
    platform: &Platform,
    statsd: &UdpSocket,
) -> Result<()> {
    drain_counters(statsd);
    let cpu = |process: &Process| cpu_time(process.child.id());
    let before: Vec<Duration> = processes.iter().map(cpu).collect::<Result<_>>()?;
    let calls_before = platform.calls();
    let kinds_before = platform.calls_by_kind();
    let started = Instant::now();
    let mut sums: BTreeMap<String, f64> = BTreeMap::new();
    while started.elapsed() < Duration::from_secs(options.window_s) {
        compio::time::sleep(Duration::from_millis(200)).await;
        for (name, value) in drain_counters(statsd) {
            *sums.entry(name).or_default() += value;
        }
    }
    let elapsed = started.elapsed().as_secs_f64();
    let after: Vec<Duration> = processes.iter().map(cpu).collect::<Result<_>>()?;
    let calls = platform.calls();
    for (kind, count) in platform.calls_by_kind() {
        let count = count - kinds_before.get(&kind).copied().unwrap_or(0);
        if count > 0 {
            println!("{:5.2} platform calls/s: {kind}", count as f64 / elapsed);
        }
    }
    let shares: Vec<f64> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| (*after - *before).as_secs_f64() / elapsed * 100.0)
        .collect();
    let per_instance = |name: &str| sums.get(name).copied().unwrap_or(0.0) / elapsed / row.size;
    row.cpu_percent = shares.iter().sum::<f64>() / row.size;
    row.max_cpu_percent = shares.iter().copied().fold(0.0, f64::max);
    row.datagrams_per_s = per_instance("net.datagrams_sent");
    row.datagram_bytes_per_s = per_instance("net.datagram_sent_bytes");
    row.tcp_bytes_per_s = per_instance("net.tcp_sent_bytes");
    let total = (calls.reads + calls.writes) - (calls_before.reads + calls_before.writes);
    row.platform_calls_per_s = total as f64 / elapsed;
    let rss: Vec<f64> = processes
        .iter()
        .map(|process| rss_mb(process.child.id()))
        .collect::<Result<_>>()?;
    row.rss_mb = rss.iter().copied().fold(0.0, f64::max);
    Ok(())
}

async fn measure_changes(
    row: &mut Row,
    options: &Options,
    processes: &[Process],
    platform: &Platform,
) -> Result<()> {
    let mut times_ms = Vec::new();
    for version in 2..2 + options.changes {
        let put_at = now_second_of_day();
        platform.put("config/current", config(version, options.workspaces));
        let waiting_since = Instant::now();
        for process in processes {
            let at = loop {
                if let Some(at) = applied_at(&process.log, version) {
                    break at;
                }
                if waiting_since.elapsed() > Duration::from_secs(60) {
                    bail!("version {version} is not active on all instances after 60 s");
                }
                compio::time::sleep(Duration::from_millis(100)).await;
            };
            times_ms.push((at - put_at) * 1e3);
        }
    }
    times_ms.sort_by(f64::total_cmp);
    row.median_change_ms = times_ms[times_ms.len() / 2];
    row.max_change_ms = times_ms.last().copied().unwrap_or(0.0);
    Ok(())
}

/// Selects one result of a row.
type Figure = fn(&Row) -> f64;

/// Fits a line through the rows by least squares. Returns its slope and its value at full size.
fn extrapolate_to_full_size(rows: &[Row], figure: Figure) -> (f64, f64) {
    let count = rows.len() as f64;
    let mean = |value: &dyn Fn(&Row) -> f64| rows.iter().map(value).sum::<f64>() / count;
    let (x, y) = (mean(&|row| row.size), mean(&figure));
    let covariance: f64 = rows.iter().map(|r| (r.size - x) * (figure(r) - y)).sum();
    let variance: f64 = rows.iter().map(|r| (r.size - x).powi(2)).sum();
    let slope = covariance / variance.max(1e-9);
    (slope, y + slope * (FULL_SIZE - x))
}

fn print(rows: &[Row]) {
    println!(
        "size  cpu %  max cpu %  rss MB  datagrams/s  UDP B/s  TCP B/s  platform calls/s  \
         join s  change ms median  max"
    );
    for row in rows {
        println!(
            "{:4}  {:5.3}  {:9.3}  {:6.1}  {:11.2}  {:7.0}  {:7.0}  {:16.2}  {:6.1}  {:16.1}  {:.1}",
            row.size,
            row.cpu_percent,
            row.max_cpu_percent,
            row.rss_mb,
            row.datagrams_per_s,
            row.datagram_bytes_per_s,
            row.tcp_bytes_per_s,
            row.platform_calls_per_s,
            row.join_s,
            row.median_change_ms,
            row.max_change_ms
        );
    }
    if rows.len() < 2 {
        return;
    }
    println!("\nfigure                slope per instance   at {FULL_SIZE} instances");
    let figures: [(&str, Figure); 7] = [
        ("cpu %", |row| row.cpu_percent),
        ("rss MB", |row| row.rss_mb),
        ("datagrams/s", |row| row.datagrams_per_s),
        ("UDP B/s", |row| row.datagram_bytes_per_s),
        ("TCP B/s", |row| row.tcp_bytes_per_s),
        ("platform calls/s", |row| row.platform_calls_per_s),
        ("max change ms", |row| row.max_change_ms),
    ];
    for (name, figure) in figures {
        let (slope, value) = extrapolate_to_full_size(rows, figure);
        println!("{name:20}  {slope:18.5}  {value:18.3}");
    }
}

fn main() -> Result<()> {
    let options = options();
    let binary = std::env::current_exe()?.with_file_name("jujubelink");
    let rows = kernel::run(async {
        let mut rows = Vec::new();
        for size in &options.sizes {
            let row = measure(*size, &options, &binary).await?;
            println!("{row:?}");
            rows.push(row);
        }
        anyhow::Ok(rows)
    })??;
    print(&rows);
    Ok(())
}
