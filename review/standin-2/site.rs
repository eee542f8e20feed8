//! A small deployment on loopback addresses: the program's processes, started by the commands and the template of
//! the deploy file, and stand-ins beside them as processes of their own.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{Conn, Message, call};
use crate::{log, unix_ms};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A process that ends with the case.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    pub fn start(name: &str, mut command: Command, output: &Path) -> Self {
        use std::os::unix::process::CommandExt;
        let file = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(output)
            .expect("the folder of the case is writable");
        let errors = file.try_clone().expect("the file is open");
        command.stdin(Stdio::null()).stdout(file).stderr(errors);
        // The process is killed with the case, also if that is killed itself.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("cannot start {name}: {error}")));
        Self {
            name: name.to_owned(),
            child,
        }
    }

    pub fn signal(&self, signal: i32) {
        let name = match signal {
            SIGKILL => "SIGKILL",
            SIGTERM => "SIGTERM",
            SIGCONT => "SIGCONT",
            SIGSTOP => "SIGSTOP",
            _ => "a signal",
        };
        log("case", &format!("{name} to {}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// A field of the process's status, in bytes.
    pub fn memory(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(field));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        unsafe {
            kill(self.child.id() as i32, SIGCONT);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A deployment.
pub struct Site {
    pub folder: PathBuf,
    /// Second and third byte of all addresses.
    net: [u8; 2],
    pub store: SocketAddr,
    store_process: Process,
    pub memory_mb: u64,
}

pub const FRONT: u16 = 8606;
const READY: u16 = 8605;
const SERVER: u16 = 8286;
pub const KEY: &str = "wu3fexd9dnn2ctnfzs98";

impl Site {
    pub fn start(record: &Path) -> Self {
        let folder = std::env::temp_dir().join(format!("jujubelink-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the folder for temporary files is writable");
        let net = free_net();
        let store = SocketAddr::new(ip(net, 250), 8601);
        let mut command = Command::new(std::env::current_exe().expect("known"));
        command.args(["store", &store.to_string()]);
        let store_process = Process::start("the store", command, record);
        let site = Self {
            folder,
            net,
            store,
            store_process,
            memory_mb: 110,
        };
        wait("the store", || {
            call(store, "GET", "/api/objects/config", "").is_ok()
        });
        site
    }

    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        let body = format!("{{\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{spec}}}");
        let path = format!("/api/objects/{kind}/{name}");
        let put = call(self.store, "PUT", &path, &body);
        let written = match put {
            Ok((404, _)) => call(self.store, "POST", &format!("/api/objects/{kind}"), &body),
            other => other,
        };
        let is_written = matches!(written, Ok((200, _)));
        log("operator", &format!("{kind}/{name} written: {is_written}"));
        if !is_written {
            cannot_run("the store takes no writes");
        }
    }

    /// Names a version of the weights.
    pub fn announce(&self, version: u64) {
        let spec = format!("{{\"model\":\"m\",\"version\":{version}}}");
        self.write("versions", "m", &spec);
    }

    /// Starts a machine by the deploy file.
    pub fn machine(&self, number: u8) -> Process {
        let deploy = fs::read_to_string("deploy/system.toml").expect("started in the repository");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.unwrap_or_default().trim().trim_matches('"').to_owned();
        let settings = self.folder.join(format!("settings-{number}.toml"));
        fs::write(&settings, self.settings(number)).expect("writable");
        let settings = settings.to_string_lossy().into_owned();
        let run = run.replace("/etc/jujubelink/settings.toml", &settings);
        let mut words = run.split(' ');
        let mut command = Command::new(words.next().unwrap_or_default());
        command.args(words);
        let output = self.folder.join(format!("machine-{number}.log"));
        log(
            "case",
            &format!("starts edge-{number} at {}", self.machine_ip(number)),
        );
        Process::start(&format!("edge-{number}"), command, &output)
    }

    pub fn machine_ip(&self, number: u8) -> IpAddr {
        ip(self.net, number)
    }

    pub fn front(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.machine_ip(number), FRONT)
    }

    /// Fills in the template of the deploy file.
    fn settings(&self, number: u8) -> String {
        let template =
            fs::read_to_string("deploy/settings.toml").expect("started in the repository");
        let ip = self.machine_ip(number).to_string();
        let values = [
            ("ip", ip.clone()),
            ("internal_ports.0", "7600".to_owned()),
            ("internal_ports.1", "7615".to_owned()),
            ("zone", "recife-a".to_owned()),
            ("region", "nordeste".to_owned()),
            ("listen.front", format!("{ip}:{FRONT}")),
            ("listen.ready_addr", format!("{ip}:{READY}")),
            ("platform.address", self.store.to_string()),
            ("limits.memory_mb", self.memory_mb.to_string()),
            ("limits.max_fds", "4100".to_owned()),
            ("node_name", format!("edge-{number}")),
            ("heartbeat_ms", "1200".to_owned()),
            (
                "contracts|json",
                "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\"stream\",\
                 \"engine\",\"tenants\",\"quota\",\"platform\"]"
                    .to_owned(),
            ),
            ("bounds.strict_revoke", "true".to_owned()),
            ("bounds.revoke_ms", "5000".to_owned()),
            ("bounds.contact_ms", "3000".to_owned()),
            ("bounds.config_ms", "2000".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "54".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.quota_window_s", "8".to_owned()),
            ("bounds.quota_overage", "0.1".to_owned()),
            ("bounds.quota_slack", "110000".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.version_ms", "12000".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
        ];
        let mut filled = String::new();
        let mut rest = template.as_str();
        while let Some((before, after)) = rest.split_once("{{") {
            filled.push_str(before);
            let (name, after) = after.split_once("}}").expect("placeholders are closed");
            rest = after;
            if let Some(section) = name.strip_prefix('#') {
                // None of the optional values exists on this site.
                let end = format!("{{{{/{section}}}}}");
                rest = rest.split_once(&end).map_or("", |(_, after)| after);
                continue;
            }
            let value = values.iter().find(|(known, _)| *known == name);
            match value {
                Some((_, value)) => filled.push_str(value),
                None => {
                    cannot_run(&format!("the template has an unknown field {name}"));
                }
            }
        }
        filled + rest
    }

    /// Starts a server.
    pub fn server(&self, kind: &str, id: &str, number: u8, slots: u32, record: &Path) -> Process {
        let mut command = Command::new(std::env::current_exe().expect("known"));
        let address = self.server_address(number);
        command.args(["server", kind, id, &address.to_string()]);
        command.args([&self.store.to_string(), &slots.to_string()]);
        let process = Process::start(&format!("server {id}"), command, record);
        wait(id, || call(address, "GET", "/healthz", "").is_ok());
        process
    }

    pub fn server_address(&self, number: u8) -> SocketAddr {
        SocketAddr::new(ip(self.net, 100 + number), SERVER)
    }

    /// Waits until the machines are ready.
    pub fn wait_ready(&self, machines: &[u8]) {
        for number in machines {
            let ready = SocketAddr::new(self.machine_ip(*number), READY);
            wait(&format!("edge-{number}"), || {
                matches!(call(ready, "GET", "/api/ready", ""), Ok((200, _)))
            });
        }
    }

    /// Sends a request of a client and returns the connection.
    pub fn send(
        &self,
        machine: u8,
        method: &str,
        path: &str,
        id: &str,
        headers: &str,
    ) -> Option<Conn> {
        let mut conn = Conn::connect(self.front(machine)).ok()?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: clubs.example\r\nJujubelink-Attempt-Id: {id}\r\n\
             Authorization: Bearer {KEY}\r\n{headers}\r\n"
        );
        log("client", &format!("sends {id}: {method} {path}"));
        conn.send(request.as_bytes()).ok()?;
        Some(conn)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = self.store_process.child.kill();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Headers of a request to the model servers.
pub fn prompt(deadline_ms: u64) -> String {
    format!(
        "Jujubelink-Model: m\r\nJujubelink-Token-Count: 1460,80\r\n\
         Jujubelink-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n\
         Jujubelink-Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n"
    )
}

/// A response as its client sees it.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether it ended as its framing states.
    pub is_whole: bool,
}

pub fn read_answer(conn: &mut Conn) -> Option<Answer> {
    let head: Message = conn.head().ok().flatten()?;
    let (body, is_whole) = conn.body(&head, true).ok()?;
    // Without a length and chunks the end of the connection would be the end of the body.
    Some(Answer {
        status: head.status(),
        body,
        is_whole,
    })
}

/// Configuration of the small site: model servers and a plain service, one tenant.
pub fn configuration(version: u64, timeout_ms: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"clubs.example\",\"path_prefix\":\"/{prefix}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":500,\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":2,\"public\":false,{more}\
             \"gap_aim_ms\":250}}"
        )
    };
    let stream = |resumable: bool| format!("\"session_affinity\":true,\"resumable\":{resumable},");
    let routes = [
        route("r1", "unframed", "streaming", "llm", &stream(false)),
        route("r2", "resumable", "streaming", "llm", &stream(true)),
        route("r3", "measured", "streaming", "llm", &stream(true)),
        route("r4", "endless", "streaming", "llm", &stream(false)),
        route("r5", "large", "idempotent", "app", ""),
        route("r6", "read", "idempotent", "app", ""),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"llm\",\"health_check\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":106556,\"kv_token_bytes\":35136,\
         \"link_mbps\":1100000.0,\"max_concurrent\":12,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"app\",\"health_check\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\
         \"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"club\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"unit\":\"tokens\",\
         \"plain_tokens\":200,\"dedicated\":false,\"rate_per_s\":3000000,\"burst\":3000000}}]}}",
        routes.join(",")
    )
}

/// Waits until something holds; the case cannot run without.
pub fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds() {
        if Instant::now() > end {
            cannot_run(&format!("{what} is not ready after 20 s"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

pub fn ip(net: [u8; 2], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], last))
}

/// Chooses a part of the loopback network in which the ports are free.
pub fn free_net() -> [u8; 2] {
    let seed = unix_ms() ^ u64::from(std::process::id());
    for turn in 0..200 {
        let net = [
            64 + ((seed / 251 + turn) % 128) as u8,
            1 + (seed % 250) as u8,
        ];
        let ports = [8601, FRONT, READY, SERVER, 7600, 7615, 9464];
        let is_free = ports.iter().all(|port| {
            [1, 2, 101, 102, 250]
                .iter()
                .all(|last| TcpListener::bind((ip(net, *last), *port)).is_ok())
        });
        if is_free {
            return net;
        }
    }
    cannot_run("no free addresses")
}

/// Ends the case as one that could not run. Unwinding ends all processes.
pub fn cannot_run(reason: &str) -> ! {
    log("case", &format!("could not run: {reason}"));
    panic!("{reason}");
}
