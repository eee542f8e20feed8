//! Log lines of requests whose client leaves before their answer.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;
use socket2::{Domain, Socket, Type};

use super::planned_stop::{Client, request};
use super::scripted_deployment::{
    SILENCE, broken_stream, deploy, silent_stream, stream, wait_until_prompts_complete,
};
use super::unreachable_targets::RefusingPort;
use super::{Deployment, KEY, RunningInstance};
use crate::support::{LogFile, ReceivedRequest, Reply, ScriptedTarget, Step, run};

/// Time after which clients leave that wait for nothing else.
const PATIENCE: Duration = Duration::from_millis(600);

const CLIENT_CLOSED: &str = "the client closed its connection";

const CLIENT_RESET: &str = "the client reset its connection";

struct Site {
    deployment: Deployment,
    targets: Vec<ScriptedTarget>,
    instance: RunningInstance,
    log: LogFile,
}

impl Site {
    /// Starts an instance with these engines, which answer according to `script`.
    async fn start(
        ids: &[&str],
        settings: &str,
        script: impl Fn(&ReceivedRequest, usize) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let (deployment, targets) = deploy(ids, script);
        let log = LogFile::new();
        let settings = format!("{settings}\n[log]\nlevel = \"info\"\n");
        let mode = jujubelink_standins::fleet::StoreMode::Up;
        let started = deployment.start_with_log("n1", &settings, mode, log.output());
        let instance = started.await;
        wait_until_prompts_complete(&instance).await;
        Self {
            deployment,
            targets,
            instance,
            log,
        }
    }

    /// Adds a plain service at this address.
    async fn list_service(&self, id: &str, address: SocketAddr) {
        self.deployment.put_target_at(id, address, "ready", 2, 1);
        let is_listed = |line: &Value| line["target"] == id;
        self.log.wait_for("target changed", is_listed).await;
    }

    fn address(&self) -> SocketAddr {
        self.instance.process.client_address
    }

    fn send(&self, id: &str, path: &str) -> Client {
        let client = Client::connect(self.address());
        client.write(&request(id, path, 4_000));
        client
    }

    /// Sends a request whose client leaves after this time.
    async fn abandon(&self, id: &str, path: &str, after: Duration) {
        let client = self.send(id, path);
        compio::time::sleep(after).await;
        drop(client);
    }

    /// Waits for the line of an abandoned request. Checks that it is the only line on its end, and that it
    /// names the close by the client, which is a reset if bytes are unread, and what was awaited.
    async fn assert_abandoned(&self, id: &str, awaited: &str) -> Value {
        let line = self.abandoned(id).await;
        let reason = match awaited {
            "the rest of the response" => CLIENT_RESET,
            _ => CLIENT_CLOSED,
        };
        assert_eq!(line["awaited"], awaited, "{line}");
        assert_eq!(line["reason"], reason, "{line}");
        assert_eq!(line["level"], "INFO");
        for message in [
            "request answered",
            "request refused",
            "response ended early",
        ] {
            let others = self.log.lines(message);
            assert!(
                others.iter().all(|other| other["request"] != id),
                "{others:?}"
            );
        }
        line
    }

    async fn abandoned(&self, id: &str) -> Value {
        let is_line = |line: &Value| line["request"] == id;
        self.log.wait_for("request abandoned", is_line).await
    }
}

fn mute(_: &ReceivedRequest, _: usize) -> Reply {
    Reply::kept("").with_delay(SILENCE)
}

/// Guards against a request that ends within its body without a line on it, or with one on a refusal that
/// has no receiver.
#[test]
fn a_client_that_leaves_within_its_body_is_logged() {
    run(async {
        let site = Site::start(&["e1"], "", mute).await;
        let client = Client::connect(site.address());
        let text = request("short", "/read/x", 4_000);
        client.write(&text[..text.len() - 2]);
        compio::time::sleep(PATIENCE).await;
        drop(client);
        site.assert_abandoned("short", "the body").await;
    });
}

/// Guards against lines of abandoned requests that do not tell a queue from a target that does not respond.
#[test]
fn clients_that_leave_the_queue_or_a_mute_target_are_told_apart() {
    run(async {
        let site = Site::start(&["e1"], "", mute).await;
        let ids: Vec<_> = (0..20).map(|number| format!("q{number}")).collect();
        let clients = ids.iter().map(|id| (id, site.send(id, "/tell/x")));
        let clients: Vec<_> = clients.collect();
        compio::time::sleep(PATIENCE).await;
        let received = site.targets[0].received();
        let (at_target, queued): (Vec<_>, Vec<_>) = clients
            .into_iter()
            .partition(|(id, _)| received.iter().any(|request| request.id == **id));
        assert!(!at_target.is_empty() && !queued.is_empty());
        // A place that becomes free is given to a queued request at once, whose line would then name the
        // connection to the target. So the clients with queued requests leave first.
        for (clients, awaited) in [
            (queued, "a place in the queue"),
            (at_target, "the head of the response"),
        ] {
            let ids: Vec<_> = clients.iter().map(|(id, _)| *id).collect();
            drop(clients);
            for id in ids {
                let line = site.assert_abandoned(id, awaited).await;
                assert_eq!(
                    line["sends"] == 0,
                    awaited == "a place in the queue",
                    "{line}"
                );
            }
        }
    });
}

/// A port that accepts no further connection, so that clients wait for it.
struct BusyPort {
    _listener: Socket,
    _accepted: Vec<Socket>,
    address: SocketAddr,
}

impl BusyPort {
    fn new() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        listener.bind(&any_port.into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let accepted = (0..4).map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&address.into());
            socket
        });
        Self {
            _accepted: accepted.collect(),
            _listener: listener,
            address,
        }
    }
}

/// Guards against a line that names a target as silent to which no connection was opened.
#[test]
fn a_client_that_leaves_before_the_target_is_connected_is_logged() {
    run(async {
        let site = Site::start(&["e1"], "", mute).await;
        let port = BusyPort::new();
        site.list_service("s1", port.address).await;
        site.abandon("connecting", "/read/x", Duration::from_millis(250))
            .await;
        let awaited = "the connection to the target";
        site.assert_abandoned("connecting", awaited).await;
    });
}

/// Guards against a line that does not say that another target was awaited beside a silent one.
#[test]
fn a_client_that_leaves_within_a_takeover_is_logged() {
    run(async {
        let site = Site::start(&["e1", "e2"], "", mute).await;
        site.abandon("both", "/ask/x", Duration::from_millis(2_600))
            .await;
        let awaited = "a silent target or its replacement";
        let line = site.assert_abandoned("both", awaited).await;
        assert_eq!(line["sends"], 2, "{line}");
    });
}

/// Guards against streams that end without a line if their client leaves in a gap.
#[test]
fn a_client_that_leaves_in_a_gap_of_a_stream_is_logged() {
    run(async {
        let site = Site::start(&["e1"], "", |request, _| silent_stream(request, 2)).await;
        site.abandon("gap", "/ask/x", PATIENCE).await;
        let line = site
            .assert_abandoned("gap", "the rest of the response")
            .await;
        assert_eq!(line["last_event"], 2, "{line}");
    });
}

/// Guards against a request that is sent again and again to targets that refuse connections, and whose client
/// leaves without a line.
#[test]
fn a_client_that_leaves_before_a_further_send_is_logged() {
    run(async {
        let site = Site::start(&["e1"], "", mute).await;
        // Further connections are opened after pauses, as only the first one to each target is free.
        let ports: Vec<_> = (0..30).map(|_| RefusingPort::new()).collect();
        for (number, port) in ports.iter().enumerate() {
            site.list_service(&format!("s{number}"), port.address).await;
        }
        site.abandon("refused", "/read/x", PATIENCE).await;
        let awaited = "a place for a further send";
        site.assert_abandoned("refused", awaited).await;
    });
}

/// Guards against a line that blames the target if the client does not read.
#[test]
fn a_client_that_leaves_unread_a_part_of_a_response_is_logged() {
    run(async {
        let script = |request: &ReceivedRequest, _| {
            let mut reply = stream(request, &[]);
            let piece = format!("data: {}\n\n", "x".repeat(60_000));
            let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
            let pieces = (0..400).map(|_| Step::Send(chunk.clone()));
            reply.steps.splice(1..1, pieces);
            reply
        };
        let site = Site::start(&["e1"], "", script).await;
        site.abandon("unread", "/ask/x", 2 * PATIENCE).await;
        let line = site.abandoned("unread").await;
        assert_eq!(line["awaited"], "the client to read the response", "{line}");
        let reason = line["reason"].as_str().unwrap();
        let reasons = [
            CLIENT_CLOSED,
            CLIENT_RESET,
            "the connection failed on write",
        ];
        assert!(reasons.contains(&reason), "{line}");
    });
}

/// Guards against a client that is said to have left although the end of a planned stop cut its response.
#[test]
fn a_response_that_the_stop_cuts_is_not_blamed_on_its_client() {
    run(async {
        let stop = "[stop]\nbalancer_notice_ms = 100\ndrain_limit_ms = 900\n";
        let site = Site::start(&["e1"], stop, |request, _| silent_stream(request, 2)).await;
        let _client = site.send("cut", "/ask/x");
        compio::time::sleep(PATIENCE).await;
        site.instance.process.terminate();
        let line = site.abandoned("cut").await;
        assert_eq!(
            line["reason"], "the planned stop ended the process",
            "{line}"
        );
        assert_eq!(line["awaited"], "the rest of the response", "{line}");
    });
}

/// Guards against waits that outlast the deadline of a request whose client still waits, and end with neither
/// an answer nor a refusal, or without a line on it.
#[test]
fn each_wait_ends_by_the_deadline_with_a_refusal_or_a_broken_response() {
    run(async {
        let script = |request: &ReceivedRequest, attempt| match &*request.id {
            "gap" => silent_stream(request, 2),
            "resumed" if attempt == 0 => broken_stream(request),
            _ => mute(request, attempt),
        };
        let site = Site::start(&["e1", "e2"], "", script).await;
        let port = BusyPort::new();
        for id in ["s1", "s2"] {
            site.list_service(id, port.address).await;
        }
        let mut clients = Vec::new();
        for (id, path) in [
            ("head", "/tell/x"),
            ("takeover", "/ask/x"),
            ("gap", "/ask/x"),
            ("resumed", "/ask/x"),
            ("connection", "/read/x"),
        ] {
            let client = Client::connect(site.address());
            client.write(&request(id, path, 2_000));
            clients.push((id.to_owned(), client));
        }
        let client = Client::connect(site.address());
        let text = request("body", "/read/x", 2_000);
        client.write(&text[..text.len() - 2]);
        clients.push(("body".to_owned(), client));
        for number in 0..30 {
            let id = format!("q{number}");
            let client = Client::connect(site.address());
            client.write(&request(&id, "/tell/x", 2_000));
            clients.push((id, client));
        }
        // Deadline, and a margin for a busy machine.
        compio::time::sleep(Duration::from_millis(2_000 + 1_500)).await;
        let ended: Vec<Value> = ["request refused", "response ended early"]
            .iter()
            .flat_map(|message| site.log.lines(message))
            .collect();
        for (id, client) in clients {
            let own = ended.iter().filter(|line| line["request"] == *id).count();
            assert_eq!(own, 1, "{id}: {ended:#?}");
            let received = client.read_available();
            let status = received.split(' ').nth(1).unwrap_or_default();
            let is_broken = ["gap", "resumed"].contains(&&*id);
            assert_eq!(status == "200", is_broken, "{id}: {received:?}");
            assert_ne!(status, "", "{id} has got nothing");
        }
        let abandoned = site.log.lines("request abandoned");
        assert!(abandoned.is_empty(), "{abandoned:?}");
    });
}

/// Guards against requests that are cut without a line if their client resets the connection.
#[test]
fn a_client_that_resets_its_connection_is_logged() {
    run(async {
        let site = Site::start(&["e1"], "", mute).await;
        let connection = TcpStream::connect(site.address()).unwrap();
        let text = request("reset", "/tell/x", 4_000);
        std::io::Write::write_all(&mut &connection, text.as_bytes()).unwrap();
        compio::time::sleep(PATIENCE).await;
        let no_linger = Some(Duration::ZERO);
        let socket = socket2::SockRef::from(&connection);
        socket.set_linger(no_linger).unwrap();
        drop(connection);
        let line = site.abandoned("reset").await;
        assert_eq!(line["reason"], CLIENT_RESET, "{line}");
        assert_eq!(line["awaited"], "the head of the response", "{line}");
        assert!(!line.to_string().contains(KEY));
    });
}
