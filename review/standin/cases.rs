//! The cases.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{ask, connect, read_response, End, Response};
use crate::platform::Store;
use crate::server::{piece, MODEL};
use crate::stress::{signal, stress};

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const COULD_NOT_RUN: i32 = 2;

/// Keys of the tenants t1 and t2.
pub const KEY: &str = "review-key-1";
const SECOND_KEY: &str = "review-key-2";
pub const HOST: &str = "app.example";

pub fn main(case: &str, arguments: &[String]) -> i32 {
    let Some(folder) = arguments.first() else {
        return COULD_NOT_RUN;
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut run = match Run::new(Path::new(folder), trouble) {
        Ok(run) => run,
        Err(error) => {
            eprintln!("{error}");
            return COULD_NOT_RUN;
        }
    };
    let code = match case {
        "draining-crash" => draining_crash(&mut run),
        "dedicated-later" => dedicated_later(&mut run),
        "crash" => crash(&mut run),
        "orders" => {
            let seed = arguments.get(1).and_then(|text| text.parse().ok()).unwrap_or(1);
            changing_holders(&mut run, seed)
        }
        "unseen-departure" => unseen_departure(&mut run),
        "lease-raised" => lease_raised(&mut run),
        "stress" => {
            let mode = arguments.get(1).map_or("", String::as_str);
            let seconds = arguments.get(2).and_then(|text| text.parse().ok()).unwrap_or(30);
            stress(&mut run, mode, seconds)
        }
        _ => COULD_NOT_RUN,
    };
    let result = ["the rule held", "the rule was broken", "the case could not run"][code as usize];
    run.record(result);
    println!("{result}");
    code
}

/// One play of a case. Dropping it ends all processes that it started.
pub struct Run {
    record: File,
    started: Instant,
    temporary: PathBuf,
    children: Vec<(String, Child)>,
    pub store: Store,
    store_address: SocketAddr,
    trouble: bool,
}

impl Run {
    fn new(folder: &Path, trouble: bool) -> std::io::Result<Self> {
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&temporary)?;
        let store = Store::default();
        let store_address = store.start(&Arc::default());
        Ok(Self {
            record: File::create(folder.join("record.txt"))?,
            started: Instant::now(),
            temporary,
            children: Vec::new(),
            store,
            store_address,
            trouble,
        })
    }

    pub fn record(&mut self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.record, "{at:7.3} s  {line}");
    }

    /// Starts the program with the command of the deploy file, and returns where it takes clients. The settings
    /// are those of `deploy/settings.toml` with the bounds of a small deployment.
    pub fn start_router(&mut self, name: &str) -> std::io::Result<Router> {
        let ports: Vec<u16> = (0..5).map(|_| free_port()).collect::<Result<_, _>>()?;
        let values = [
            ("{{ip}}:{{internal_ports.0}}", format!("127.0.0.1:{}", ports[0])),
            ("{{ip}}:{{internal_ports.1}}", format!("127.0.0.1:{}", ports[1])),
            ("{{ip}}:9464", format!("127.0.0.1:{}", ports[2])),
            ("{{listen.front}}", format!("127.0.0.1:{}", ports[3])),
            ("{{listen.ready_addr}}", format!("127.0.0.1:{}", ports[4])),
            ("{{platform.address}}", self.store_address.to_string()),
            ("{{zone}}", "zone-a".to_owned()),
            ("{{region}}", "region-a".to_owned()),
            ("{{node_name}}", name.to_owned()),
            ("{{limits.memory_mb}}", "110".to_owned()),
            ("{{limits.max_fds}}", "4100".to_owned()),
            ("{{bounds.strict_revoke}}", "true".to_owned()),
            ("{{bounds.revoke_ms}}", "5000".to_owned()),
            ("{{bounds.contact_ms}}", "3000".to_owned()),
            ("{{bounds.config_ms}}", "2000".to_owned()),
            ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
            ("{{bounds.budget_slack}}", "54".to_owned()),
            ("{{bounds.budget_window_s}}", "10".to_owned()),
            ("{{bounds.quota_window_s}}", "8".to_owned()),
            ("{{bounds.quota_overage}}", "0.1".to_owned()),
            ("{{bounds.quota_slack}}", "110000".to_owned()),
            ("{{bounds.lease_ms}}", "3000".to_owned()),
            ("{{bounds.version_ms}}", "12000".to_owned()),
            ("{{heartbeat_ms}}", "1200".to_owned()),
            ("{{bounds.drain_ms}}", "2000".to_owned()),
            ("{{contracts|json}}", "[]".to_owned()),
        ];
        let mut settings = fs::read_to_string("deploy/settings.toml")?;
        for (placeholder, value) in values {
            settings = settings.replace(placeholder, &value);
        }
        let settings = without_sections(&settings);
        let path = self.temporary.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let router = Router { front: address(ports[3]), ready: address(ports[4]), settings: path };
        self.restart_router(name, &router)?;
        Ok(router)
    }

    /// Starts the program with settings that were written before.
    pub fn restart_router(&mut self, name: &str, router: &Router) -> std::io::Result<()> {
        let log = self.temporary.join(format!("{name}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let process = Command::new("target/release/jujubelink")
            .args(["serve", "--settings"])
            .arg(&router.settings)
            .env_clear()
            .env("JUJUBELINK_SETTINGS", &router.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record(&format!("{name} started, process {}", process.id()));
        self.children.push((name.to_owned(), process));
        Ok(())
    }

    /// Returns the process that was last started under a name.
    pub fn pid(&self, name: &str) -> u32 {
        let mut children = self.children.iter().rev();
        children.find(|(known, _)| known == name).map_or(0, |(_, child)| child.id())
    }

    /// Waits until a process has ended, and forgets it.
    pub fn wait(&mut self, name: &str) {
        for (known, child) in &mut self.children {
            if known == name {
                let _ = child.wait();
            }
        }
        self.forget(name);
    }

    /// Writes a line to the standard input of a process.
    pub fn send_line(&mut self, name: &str) {
        let mut children = self.children.iter_mut().rev();
        if let Some((_, child)) = children.find(|(known, _)| known == name) {
            if let Some(input) = &mut child.stdin {
                let _ = input.write_all(b"leave\n").and_then(|()| input.flush());
            }
        }
        self.record(&format!("{name} leaves"));
    }

    /// Forgets a process that has ended.
    pub fn forget(&mut self, name: &str) {
        self.children.retain(|(known, _)| known != name);
    }

    pub fn store_address(&self) -> SocketAddr {
        self.store_address
    }

    pub fn temporary(&self) -> &Path {
        &self.temporary
    }

    /// Starts a server process and lists it in the store.
    pub fn start_server(&mut self, service: &str, id: &str) -> std::io::Result<ServerProcess> {
        let port = free_port()?;
        let mut server = Command::new(std::env::current_exe()?)
            .args(["server", &port.to_string(), id])
            .arg(self.temporary.join("runs.log"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut born = String::new();
        if let Some(output) = server.stdout.take() {
            BufReader::new(output).read_line(&mut born)?;
        }
        self.record(&format!("server {id} started, process {}, port {port}", server.id()));
        self.children.push((id.to_owned(), server));
        let server = ServerProcess {
            id: id.to_owned(),
            service: service.to_owned(),
            port,
            born: born.trim().to_owned(),
        };
        self.list(&server, "ready");
        Ok(server)
    }

    /// Writes a server's entry, as the server does.
    fn list(&mut self, server: &ServerProcess, state: &str) {
        let ServerProcess { id, service, port, born } = server;
        let models = match service.as_str() {
            "llm" => format!("{{\"name\":\"{MODEL}\",\"version\":1}}"),
            _ => String::new(),
        };
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"127.0.0.1:{port}\",\"zone\":\"zone-a\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
             \"phase\":\"both\",\"models\":[{models}],\"sequence\":1,\"born\":{born}}}"
        );
        self.store.put("servers", id, &entry);
        self.record(&format!("the store holds {id} as {state}"));
    }

    /// Kills a process that this run started.
    pub fn kill(&mut self, name: &str) {
        for (known, child) in &mut self.children {
            if known == name {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.record(&format!("{name} killed (SIGKILL)"));
    }

    /// Writes the configuration with the routes `/read/` (idempotent) and `/pay/` of the service `app`, and
    /// `/ask/` of the model servers. Tenant t1 is `dedicated` or not.
    pub fn configure(&mut self, version: u64, is_dedicated: bool) {
        let route = |name: &str, kind: &str, rest: &str| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
                 \"kind\":\"{kind}\",\"timeout_ms\":10000,\"target_latency_ms\":1000,\
                 \"priority\":1,\"public\":false,{rest}}}"
            )
        };
        let public = |name: &str, kind: &str, attempts: u32| {
            let rest = format!("\"service\":\"app\",\"max_attempts\":{attempts}");
            route(name, kind, &rest).replace("\"public\":false", "\"public\":true")
        };
        let routes = [
            public("open", "idempotent", 2),
            public("charge", "non_idempotent", 1),
            route("read", "idempotent", "\"service\":\"app\",\"max_attempts\":2"),
            route("pay", "non_idempotent", "\"service\":\"app\",\"max_attempts\":1"),
            route(
                "ask",
                "streaming",
                "\"service\":\"llm\",\"max_attempts\":2,\"session_affinity\":true,\
                 \"resumable\":true,\"gap_aim_ms\":250",
            ),
            route(
                "tell",
                "streaming",
                "\"service\":\"llm\",\"max_attempts\":1,\"session_affinity\":true,\
                 \"resumable\":false,\"gap_aim_ms\":250",
            ),
        ];
        let services = [
            "{\"name\":\"app\",\"health_check\":\"/healthz\",\"max_connections\":100,\
             \"protocol\":\"h1\",\"tls\":false}"
                .to_owned(),
            format!(
                "{{\"name\":\"llm\",\"health_check\":\"/healthz\",\"max_connections\":360,\
                 \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
                 \"kv_capacity\":106556,\"kv_token_bytes\":35136,\"link_mbps\":1100000.0,\
                 \"max_concurrent\":12,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}}"
            ),
        ];
        let tenants = [("t1", KEY, is_dedicated), ("t2", SECOND_KEY, false)].map(
            |(name, key, is_dedicated)| {
                format!(
                    "{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1,\
                     \"unit\":\"tokens\",\"plain_tokens\":200,\"dedicated\":{is_dedicated},\
                     \"rate_per_s\":386419,\"burst\":386419}}"
                )
            },
        );
        let config = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
            routes.join(","),
            services.join(","),
            tenants.join(",")
        );
        self.store.put("config", "main", &config);
        self.record(&format!(
            "the store holds configuration {version}, in which t1 has dedicated = {is_dedicated}"
        ));
    }

    pub fn wait_until_ready(&mut self, router: &Router) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let head = "GET /api/ready HTTP/1.1\r\nHost: ready\r\n";
            if ask(router.ready, head, "", Duration::from_secs(1)).status == 200 {
                self.record("the router is ready");
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record("the router does not become ready");
        false
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.temporary);
        }
    }
}

#[derive(Clone)]
pub struct Router {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
}

pub struct ServerProcess {
    id: String,
    service: String,
    port: u16,
    born: String,
}

fn free_port() -> std::io::Result<u16> {
    loop {
        let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
}

fn send(router: &Router, method: &str, path: &str, id: &str) -> Response {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nJujubelink-Attempt-Id: {id}\r\n\
         Jujubelink-Deadline-Ms: 8000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n"
    );
    ask(router.front, &head, "", Duration::from_secs(10))
}

/// One of seven servers that has announced that it drains is gone two seconds later, within responses that end with
/// their connection.
fn draining_crash(run: &mut Run) -> i32 {
    const SERVERS: usize = 7;
    const PIECES: u64 = 60;
    const CALLS: usize = 28;
    /// Time from the notice until the server is gone, as in `scale_in` with `spot`.
    const NOTICE: Duration = Duration::from_secs(2);
    run.configure(1, false);
    let mut servers = Vec::new();
    for server in 0..SERVERS {
        match run.start_server("app", &format!("i-{server}")) {
            Ok(server) => servers.push(server),
            Err(_) => return COULD_NOT_RUN,
        }
    }
    let Ok(router) = run.start_router("edge-a-1") else {
        return COULD_NOT_RUN;
    };
    if !run.wait_until_ready(&router) {
        return COULD_NOT_RUN;
    }
    // The router may learn of the keys a moment after it is ready.
    std::thread::sleep(Duration::from_millis(500));
    run.record(&format!("{CALLS} clients send a request each, half of them on a route that is not idempotent"));
    let calls: Vec<_> = (0..CALLS)
        .map(|number| {
            let router = router.clone();
            let (method, name) = [("GET", "read"), ("POST", "pay")][number % 2];
            let path = format!("/{name}/unframed/{PIECES}");
            let id = format!("{name}-{number}");
            std::thread::spawn(move || (id.clone(), send(&router, method, &path, &id)))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(400));
    if run.trouble {
        run.list(&servers[0], "draining");
        std::thread::sleep(NOTICE);
        run.kill("i-0");
    }
    let whole: String = (1..=PIECES).map(piece).collect();
    let mut code = HELD;
    for call in calls {
        let Ok((id, response)) = call.join() else {
            return COULD_NOT_RUN;
        };
        let pieces = response.body.lines().count();
        run.record(&format!(
            "client got for {id}: status {}, stamp {:?}, {pieces} of {PIECES} pieces, {:?}, after {} ms",
            response.status,
            response.header("jujubelink-server-stamp"),
            response.end,
            response.took.as_millis()
        ));
        let is_success = response.status == 200 && response.end == End::Complete;
        if is_success && response.body != whole {
            run.record(&format!("MIXED: {id} is a success whose body is not the server's whole body"));
            code = BROKEN;
        }
        if !run.trouble && !is_success {
            run.record("without the disruption each response is complete");
            code = COULD_NOT_RUN;
        }
    }
    let log = fs::read_to_string(run.temporary.join("runs.log")).unwrap_or_default();
    for line in log.lines() {
        run.record(&format!("servers' log: {line}"));
    }
    code
}

/// Sends a prompt of two shared parts and one of its own, and returns whether it was answered.
fn send_prompt(run: &mut Run, router: &Router, tenant: &str, id: &str) -> bool {
    let key = if tenant == "t1" { KEY } else { SECOND_KEY };
    let head = format!(
        "POST /ask/x HTTP/1.1\r\nHost: {HOST}\r\nJujubelink-Attempt-Id: {id}\r\n\
         Jujubelink-Model: {MODEL}\r\nJujubelink-Token-Count: 1460,80\r\n\
         Jujubelink-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{id}:250\r\n\
         Jujubelink-Deadline-Ms: 4000\r\nAuthorization: Bearer {key}\r\nContent-Length: 2\r\n"
    );
    let response = ask(router.front, &head, "{}", Duration::from_secs(5));
    run.record(&format!(
        "client of {tenant} sent {id}, got status {}, {:?}, after {} ms",
        response.status,
        response.end,
        response.took.as_millis()
    ));
    response.status == 200 && response.end == End::Complete
}

/// A tenant becomes `dedicated` by a new configuration.
fn dedicated_later(run: &mut Run) -> i32 {
    /// `config_ms`, after which the configuration is in force on all machines, and more.
    const IN_FORCE: Duration = Duration::from_secs(4);
    run.configure(1, false);
    run.store.put("versions", MODEL, &format!("{{\"model\":\"{MODEL}\",\"version\":1}}"));
    if run.start_server("llm", "i-engine").is_err() {
        return COULD_NOT_RUN;
    }
    let Ok(router) = run.start_router("edge-a-1") else {
        return COULD_NOT_RUN;
    };
    if !run.wait_until_ready(&router) {
        return COULD_NOT_RUN;
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut answered = send_prompt(run, &router, "t1", "a1");
    run.configure(2, run.trouble);
    std::thread::sleep(IN_FORCE);
    answered &= send_prompt(run, &router, "t1", "a2");
    answered &= send_prompt(run, &router, "t2", "b1");
    let log = fs::read_to_string(run.temporary.join("runs.log")).unwrap_or_default();
    for line in log.lines() {
        run.record(&format!("server's log: {line}"));
    }
    if !answered {
        return COULD_NOT_RUN;
    }
    let foreign = |line: &&str| line.contains("tenant t2") && line.contains("made by t1");
    match (log.lines().find(foreign), run.trouble) {
        (Some(_), true) => {
            run.record("WALL: b1 of t2 uses KV cache that a request of t1 made, and t1 is dedicated");
            BROKEN
        }
        _ => HELD,
    }
}

/// An order as a server saw it.
struct Order {
    at_ms: u64,
    holder: String,
    fence: u64,
}

fn orders(run: &Run) -> Vec<Order> {
    let log = fs::read_to_string(run.temporary.join("runs.log")).unwrap_or_default();
    let mut orders: Vec<Order> = log
        .lines()
        .filter_map(|line| {
            let words: Vec<&str> = line.split(' ').collect();
            (words.get(1) == Some(&"order")).then_some(())?;
            Some(Order {
                at_ms: words.get(2)?.parse().ok()?,
                holder: (*words.get(3)?).to_owned(),
                fence: words.get(4)?.parse().ok()?,
            })
        })
        .collect();
    orders.sort_by_key(|order| order.at_ms);
    orders
}

/// The settings files are changed to a longer `lease_ms`, which SIGHUP tells, and the holder of the orders is
/// killed while weights are named.
fn lease_raised(run: &mut Run) -> i32 {
    const LEASE_BEFORE: &str = "holder_pause_ms = 3000";
    const LEASE_AFTER_MS: u64 = 8000;
    const NAMES: [&str; 2] = ["edge-a-1", "edge-b-1"];
    run.configure(1, false);
    let mut version = 1;
    let mut name_weights = |run: &mut Run| {
        let weights = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        run.store.put("versions", MODEL, &weights);
        run.record(&format!("the store names version {version} of the weights"));
        version += 1;
    };
    name_weights(run);
    for id in ["i-1", "i-2", "i-3"] {
        if run.start_server("llm", id).is_err() {
            return COULD_NOT_RUN;
        }
    }
    let mut routers = Vec::new();
    for name in NAMES {
        let Ok(router) = run.start_router(name) else {
            return COULD_NOT_RUN;
        };
        if !run.wait_until_ready(&router) {
            return COULD_NOT_RUN;
        }
        routers.push(router);
    }
    std::thread::sleep(Duration::from_secs(2));
    let mut lease_ms = 3000;
    if run.trouble {
        for (router, name) in routers.iter().zip(NAMES) {
            let Ok(settings) = fs::read_to_string(&router.settings) else {
                return COULD_NOT_RUN;
            };
            let changed = settings.replace(LEASE_BEFORE, &format!("holder_pause_ms = {LEASE_AFTER_MS}"));
            if changed == settings || fs::write(&router.settings, changed).is_err() {
                return COULD_NOT_RUN;
            }
            signal(run.pid(name), "HUP");
            run.record(&format!("settings of {name}: lease_ms is {LEASE_AFTER_MS}, SIGHUP sent"));
        }
        lease_ms = LEASE_AFTER_MS;
        // More than a machine needs to be in touch again, and for the settings to be read without a signal.
        std::thread::sleep(Duration::from_secs(4));
    }
    name_weights(run);
    let until = Instant::now() + Duration::from_secs(15);
    while orders(run).is_empty() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    let Some(holder) = orders(run).first().map(|order| order.holder.clone()) else {
        run.record("no order came");
        return COULD_NOT_RUN;
    };
    if run.trouble {
        run.kill(&holder);
    }
    for _ in 0..10 {
        name_weights(run);
        std::thread::sleep(Duration::from_secs(2));
    }
    let orders = orders(run);
    let first_ms = orders[0].at_ms;
    for order in &orders {
        run.record(&format!(
            "order {} ms after the first, holder {}, fencing token {}",
            order.at_ms - first_ms,
            order.holder,
            order.fence
        ));
    }
    let mut code = HELD;
    for pair in orders.windows(2) {
        let gap_ms = pair[1].at_ms - pair[0].at_ms;
        if pair[0].holder != pair[1].holder && gap_ms < lease_ms {
            run.record(&format!(
                "ONE: {} and {} take turns within {gap_ms} ms, and lease_ms is {lease_ms}",
                pair[0].holder, pair[1].holder
            ));
            code = BROKEN;
        }
    }
    code
}

/// One of four servers crashes, and is back after a second, again and again within responses that end with their
/// connection.
fn crash(run: &mut Run) -> i32 {
    const SERVERS: usize = 4;
    const ROUNDS: usize = 20;
    const CLIENTS: usize = 120;
    const PIECES: u64 = 20;
    /// Time from the crash until the server is back.
    const DOWN: Duration = Duration::from_secs(1);
    run.configure(1, false);
    let id = |server: usize| format!("i-{server}");
    for server in 0..SERVERS {
        if run.start_server("app", &id(server)).is_err() {
            return COULD_NOT_RUN;
        }
    }
    let Ok(router) = run.start_router("edge-a-1") else {
        return COULD_NOT_RUN;
    };
    if !run.wait_until_ready(&router) {
        return COULD_NOT_RUN;
    }
    std::thread::sleep(Duration::from_millis(500));
    let whole: String = (1..=PIECES).map(piece).collect();
    let (mut complete, mut cut, mut mixed) = (0, 0, 0);
    for round in 0..ROUNDS {
        let calls: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let router = router.clone();
                let (method, name) = [("GET", "read"), ("POST", "pay")][client % 2];
                let id = format!("{name}-{round}-{client}");
                let path = format!("/{name}/unframed/{PIECES}");
                std::thread::spawn(move || (id.clone(), send(&router, method, &path, &id)))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(500));
        let crashed = id(round % SERVERS);
        if run.trouble {
            run.kill(&crashed);
            run.forget(&crashed);
            std::thread::sleep(DOWN);
            if run.start_server("app", &crashed).is_err() {
                return COULD_NOT_RUN;
            }
        }
        for call in calls {
            let Ok((id, response)) = call.join() else {
                return COULD_NOT_RUN;
            };
            let is_success = response.status == 200 && response.end == End::Complete;
            match (is_success, response.body == whole) {
                (true, true) => complete += 1,
                (true, false) => {
                    mixed += 1;
                    run.record(&format!(
                        "MIXED: {id} got status 200, stamp {:?}, {} of {PIECES} pieces and the end of a \
                         complete response, after {} ms",
                        response.header("jujubelink-server-stamp"),
                        response.body.lines().count(),
                        response.took.as_millis()
                    ));
                }
                (false, _) => cut += 1,
            }
        }
    }
    run.record(&format!(
        "{complete} responses complete, {cut} seen to be cut or failed, {mixed} cut that look complete"
    ));
    match (mixed > 0, run.trouble, cut > 0) {
        (true, ..) => BROKEN,
        (false, false, true) => COULD_NOT_RUN,
        _ => HELD,
    }
}

/// The store is silent for one of three machines while a server leaves as planned, whose last responses end with
/// their connections.
fn unseen_departure(run: &mut Run) -> i32 {
    const ROUNDS: usize = 5;
    const CLIENTS: usize = 8;
    /// The responses end when the server has drained.
    const PIECES: u64 = 54;
    const SILENCE: Duration = Duration::from_secs(9);
    const LOST_AT_MOST: u32 = 3;
    run.configure(1, false);
    let is_silent = Arc::new(AtomicBool::new(false));
    let own_store = run.store.start(&is_silent);
    let others_store = std::mem::replace(&mut run.store_address, own_store);
    if run.start_server("app", "i-stays").is_err() {
        return COULD_NOT_RUN;
    }
    let Ok(router) = run.start_router("edge-a-1") else {
        return COULD_NOT_RUN;
    };
    run.store_address = others_store;
    for name in ["edge-b-1", "edge-c-1"] {
        let Ok(other) = run.start_router(name) else {
            return COULD_NOT_RUN;
        };
        if !run.wait_until_ready(&other) {
            return COULD_NOT_RUN;
        }
    }
    if !run.wait_until_ready(&router) {
        return COULD_NOT_RUN;
    }
    let whole: String = (1..=PIECES).map(piece).collect();
    let mut lost = 0;
    for round in 0..ROUNDS {
        let id = format!("i-leaves-{round}");
        let Ok(server) = run.start_server("app", &id) else {
            return COULD_NOT_RUN;
        };
        std::thread::sleep(Duration::from_millis(1500));
        let calls: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let router = router.clone();
                let (method, name) = [("GET", "open"), ("POST", "charge")][client % 2];
                let id = format!("{name}-{round}-{client}");
                let path = format!("/{name}/unframed/{PIECES}");
                std::thread::spawn(move || send_on_kept_connection(&router, method, &path, &id))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(400));
        if run.trouble {
            is_silent.store(true, Ordering::SeqCst);
            run.record("the store is silent for edge-a-1");
        }
        let silent_at = Instant::now();
        std::thread::sleep(Duration::from_millis(100));
        run.list(&server, "draining");
        run.send_line(&id);
        for call in calls {
            let Ok(Some((id, response))) = call.join() else {
                return COULD_NOT_RUN;
            };
            let is_complete = response.end == End::Complete && response.body == whole;
            if !is_complete {
                lost += 1;
                run.record(&format!(
                    "{id}: status {}, {} of {PIECES} pieces, {:?}, after {} ms",
                    response.status,
                    response.body.lines().count(),
                    response.end,
                    response.took.as_millis()
                ));
            }
        }
        run.wait(&id);
        run.record(&format!("{id} has left"));
        run.store.remove("servers", &id);
        while run.trouble && silent_at.elapsed() < SILENCE {
            std::thread::sleep(Duration::from_millis(100));
        }
        is_silent.store(false, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(if run.trouble { 4000 } else { 500 }));
    }
    run.record(&format!("{lost} of {} requests on kept connections have no whole answer", ROUNDS * CLIENTS));
    match lost > LOST_AT_MOST {
        true => BROKEN,
        false => HELD,
    }
}

/// Sends a short request and then the request itself on one connection.
fn send_on_kept_connection(router: &Router, method: &str, path: &str, id: &str) -> Option<(String, Response)> {
    let mut stream = connect(router.front, Duration::from_secs(10)).ok()?;
    let mut response = Response::default();
    for (method, path, id) in [("GET", "/open/wait/5", format!("first-{id}")), (method, path, id.to_owned())] {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nJujubelink-Attempt-Id: {id}\r\n\
             Jujubelink-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n"
        );
        let started = Instant::now();
        response = Response::default();
        let sent = stream.get_mut().write_all(head.as_bytes());
        if sent.and_then(|()| read_response(&mut stream, &mut response)).is_err() {
            response.end = End::BrokenOff;
        } else {
            response.end = End::Complete;
        }
        response.took = started.elapsed();
    }
    Some((id.to_owned(), response))
}

/// Weights are named all the time while the holders of the orders are killed, stopped, frozen and kept from the store.
fn changing_holders(run: &mut Run, seed: u64) -> i32 {
    const NAMES: [&str; 3] = ["edge-a-1", "edge-b-1", "edge-c-1"];
    const LEASE_MS: u64 = 3000;
    const THAW_MS: u64 = 300;
    let mut random = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    let mut next = move || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random
    };
    run.configure(1, false);
    run.store.put("versions", MODEL, &format!("{{\"model\":\"{MODEL}\",\"version\":1}}"));
    for id in ["i-1", "i-2", "i-3", "i-4"] {
        if run.start_server("llm", id).is_err() {
            return COULD_NOT_RUN;
        }
    }
    let mut routers = Vec::new();
    let others_store = run.store_address;
    for name in NAMES {
        let is_silent = Arc::new(AtomicBool::new(false));
        run.store_address = run.store.start(&is_silent);
        let Ok(router) = run.start_router(name) else {
            return COULD_NOT_RUN;
        };
        if !run.wait_until_ready(&router) {
            return COULD_NOT_RUN;
        }
        routers.push((router, is_silent));
    }
    run.store_address = others_store;
    let store = run.store.clone();
    std::thread::spawn(move || {
        for version in 2.. {
            store.put("versions", MODEL, &format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}"));
            std::thread::sleep(Duration::from_millis(1500));
        }
    });
    let mut thawed: Vec<(String, u64)> = Vec::new();
    let now_ms = || {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        since_epoch.map_or(0, |time| time.as_millis() as u64)
    };
    let until = Instant::now() + Duration::from_secs(85);
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(500 + next() % 4000));
        let Some(holder) = orders(run).last().map(|order| order.holder.clone()) else {
            continue;
        };
        let Some(index) = NAMES.iter().position(|name| *name == holder) else {
            return COULD_NOT_RUN;
        };
        let (router, is_silent) = routers[index].clone();
        match next() % 5 {
            0 => {
                run.kill(&holder);
                run.forget(&holder);
                std::thread::sleep(Duration::from_millis(300 + next() % 3000));
                if run.restart_router(&holder, &router).is_err() {
                    return COULD_NOT_RUN;
                }
            }
            1 => {
                run.record(&format!("SIGTERM to {holder}"));
                signal(run.pid(&holder), "TERM");
                run.wait(&holder);
                if run.restart_router(&holder, &router).is_err() {
                    return COULD_NOT_RUN;
                }
            }
            2 => {
                run.record(&format!("{holder} frozen"));
                signal(run.pid(&holder), "STOP");
                std::thread::sleep(Duration::from_millis(500 + next() % 8000));
                thawed.push((holder.clone(), now_ms()));
                signal(run.pid(&holder), "CONT");
            }
            _ => {
                run.record(&format!("the store is silent for {holder}"));
                is_silent.store(true, Ordering::SeqCst);
                std::thread::sleep(Duration::from_millis(500 + next() % 8000));
                is_silent.store(false, Ordering::SeqCst);
            }
        }
    }
    let orders = orders(run);
    let is_excused = |order: &Order| {
        thawed.iter().any(|(name, at)| *name == order.holder && order.at_ms >= *at && order.at_ms - at <= THAW_MS)
    };
    let counted: Vec<&Order> = orders.iter().filter(|order| !is_excused(order)).collect();
    let mut code = HELD;
    let mut holders = 1;
    for pair in counted.windows(2) {
        let gap_ms = pair[1].at_ms - pair[0].at_ms;
        let is_other = pair[0].holder != pair[1].holder;
        holders += u32::from(is_other);
        if is_other && gap_ms < LEASE_MS || pair[1].fence < pair[0].fence || is_other && pair[1].fence == pair[0].fence {
            run.record(&format!(
                "ONE: {} with {} and {} with {} after {gap_ms} ms",
                pair[0].holder, pair[0].fence, pair[1].holder, pair[1].fence
            ));
            code = BROKEN;
        }
    }
    run.record(&format!("{} orders, {holders} times of a holder", orders.len()));
    code
}

/// Removes the sections of a template, which depend on values that the deployment lacks.
fn without_sections(template: &str) -> String {
    let mut is_inside = false;
    let lines = template.lines().filter(|line| {
        let is_marker = line.starts_with("{{#") || line.starts_with("{{/");
        is_inside = line.starts_with("{{#") || (is_inside && !is_marker);
        !is_marker && !is_inside
    });
    lines.map(|line| format!("{line}\n")).collect()
}
