//! Responses without a length whose connection ends, and responses with a head that is no answer.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures_util::future::join_all;

use super::{Deployment, KEY, RunningInstance, send_with_host};
use crate::support::{Reply, ScriptedTarget, TestResponse, eventually, run};

/// Time between the pieces of a body.
const PIECE_GAP: Duration = Duration::from_millis(20);

/// Length of the body of [`RunningInstance::send_request`].
const REQUEST_BODY_BYTES: usize = 4;

/// `drain_ms` of the tests.
const DRAIN_TIME: Duration = Duration::from_millis(1_000);

/// What a target does with new connections once its responses have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probed {
    /// It answers 404, as a service without reports does.
    Answers,
    /// It resets them, as the kernel does while a process ends.
    Resets,
    /// It answers that another target has the address.
    Misdirects,
    /// Its listener is closed.
    Refuses,
}

/// A target that answers each request with a body without a length, which goes on until the responses end.
struct EndlessTarget {
    address: SocketAddr,
    is_ended: Arc<AtomicBool>,
    is_stopped: Arc<AtomicBool>,
}

impl EndlessTarget {
    fn start(probed: Probed, further_header: &'static str) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let [is_ended, is_stopped] = [(); 2].map(|()| Arc::new(AtomicBool::new(false)));
        let (ended, stopped) = (Arc::clone(&is_ended), Arc::clone(&is_stopped));
        std::thread::spawn(move || {
            let mut responses = Vec::new();
            while !ended.load(Ordering::Relaxed) {
                if let Ok((mut connection, _)) = listener.accept() {
                    connection.set_nonblocking(false).unwrap();
                    if let Some(id) = read_attempt_id(&mut connection) {
                        let head = format!(
                            "HTTP/1.1 200 OK\r\njujubelink-attempt-id: {id}\r\n\
                             jujubelink-server-stamp: s\r\n{further_header}\r\n"
                        );
                        // Closing a connection with unread bytes would reset it.
                        connection.read_exact(&mut [0; REQUEST_BODY_BYTES]).unwrap();
                        let _ = connection.write_all(head.as_bytes());
                        responses.push(connection);
                    }
                }
                for response in &mut responses {
                    let _ = response.write_all(b"piece\n");
                }
                std::thread::sleep(PIECE_GAP);
            }
            let listener = (probed != Probed::Refuses).then_some(listener);
            // A process that another test starts holds a copy of the listener until it executes its program.
            while listener.is_none() && TcpStream::connect(address).is_ok() {
                std::thread::sleep(Duration::from_millis(1));
            }
            drop(responses);
            let Some(listener) = listener else { return };
            while !stopped.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(1));
                let Ok((mut connection, _)) = listener.accept() else {
                    continue;
                };
                connection.set_nonblocking(false).unwrap();
                if probed == Probed::Resets {
                    reset(&connection);
                    continue;
                }
                read_attempt_id(&mut connection);
                let status = match probed {
                    Probed::Misdirects => {
                        "421 Misdirected Request\r\njujubelink-instance-id: other"
                    }
                    _ => "404 Not Found",
                };
                let response = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
                let _ = connection.write_all(response.as_bytes());
            }
        });
        Self {
            address,
            is_ended,
            is_stopped,
        }
    }

    /// Ends the responses after a time.
    async fn end_after(&self, time: Duration) {
        compio::time::sleep(time).await;
        self.is_ended.store(true, Ordering::Relaxed);
    }
}

impl Drop for EndlessTarget {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// Has the connection be reset when it is closed.
fn reset(connection: &TcpStream) {
    let socket = socket2::SockRef::from(connection);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

/// Reads the head of a request. Returns its attempt id, if there is one.
fn read_attempt_id(connection: &mut TcpStream) -> Option<String> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        connection.read_exact(&mut byte).ok()?;
        request.push(byte[0]);
    }
    let request = String::from_utf8_lossy(&request).into_owned();
    let mut lines = request.lines();
    let id = lines.find_map(|line| line.strip_prefix("jujubelink-attempt-id: "));
    id.map(str::to_owned)
}

/// Starts a deployment whose only target of the plain service is `address`.
async fn start_with_target(address: SocketAddr, settings: &str) -> (Deployment, RunningInstance) {
    let deployment = Deployment::new();
    for other in ["s1", "s2"] {
        deployment.store.remove("servers", other);
    }
    deployment.put_target_at("s9", address, "ready", 1, 1);
    let instance = deployment.start("n1", settings).await;
    instance.wait_ready().await;
    (deployment, instance)
}

/// Sends a request until the target gets it.
async fn send_to_target(instance: &RunningInstance) -> TestResponse {
    eventually("the target gets the request", || async {
        let response = instance.send_request("r", "POST", "/pay/x").await;
        (response.status != 503).then_some(response)
    })
    .await
}

/// Guards against a response that is cut by the end of its target and looks complete, because the probe of the
/// target was accepted and reset while the process ended, or reached another target.
#[test]
fn a_response_without_length_is_complete_only_if_its_target_is_proved_to_live() {
    run(async {
        let rows = [
            (Probed::Answers, "", 200),
            (Probed::Resets, "", 0),
            (Probed::Misdirects, "", 0),
            (Probed::Refuses, "", 0),
            // The body is coded, but not in chunks.
            (Probed::Refuses, "transfer-encoding: gzip\r\n", 0),
        ];
        join_all(rows.map(|(probed, header, expected)| async move {
            let target = EndlessTarget::start(probed, header);
            let (_deployment, instance) = start_with_target(target.address, "").await;
            let sent = send_to_target(&instance);
            let ended = target.end_after(Duration::from_millis(500));
            let (response, ()) = futures_util::join!(sent, ended);
            assert_eq!(response.status, expected, "{probed:?} {header}");
            assert!(response.body.contains("piece"), "{probed:?} {header}");
        }))
        .await;
    });
}

/// Guards against a response that looks complete because its target was taken away after a departure, at any
/// time, and against a whole one that is cut although its target still answers.
#[test]
fn a_response_of_a_leaving_target_is_complete_only_if_its_target_is_proved_to_live() {
    run(async {
        let times = [
            DRAIN_TIME / 2,
            DRAIN_TIME + Duration::from_millis(300),
            DRAIN_TIME * 2,
        ];
        let probed = [
            (Probed::Refuses, 0),
            (Probed::Resets, 0),
            (Probed::Answers, 200),
        ];
        let rows = ["draining", "removed"]
            .into_iter()
            .flat_map(|news| times.map(|time| (news, time)))
            .flat_map(|(news, time)| probed.map(|(probed, status)| (news, time, probed, status)));
        join_all(rows.map(|(news, time, probed, expected)| async move {
            let target = EndlessTarget::start(probed, "");
            let settings = format!("drain_ms = {}", DRAIN_TIME.as_millis());
            let (deployment, instance) = start_with_target(target.address, &settings).await;
            let sent = send_to_target(&instance);
            let ended = async {
                compio::time::sleep(Duration::from_millis(300)).await;
                match news {
                    "removed" => deployment.store.remove("servers", "s9"),
                    _ => deployment.put_target_at("s9", target.address, news, 1, 1),
                }
                target.end_after(time).await;
            };
            let (response, ()) = futures_util::join!(sent, ended);
            assert_eq!(response.status, expected, "{news} {time:?} {probed:?}");
            assert!(
                response.body.contains("piece"),
                "{news} {time:?} {probed:?}"
            );
        }))
        .await;
    });
}

/// What a target that has closed the connection of its response is registered as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Registered {
    /// The incarnation that sent the response.
    Same,
    /// A later one, before the client reads the end.
    Later,
    /// A later one, after the client has read to the end.
    LaterAndLate,
}

/// Starts a target that answers the request `slow` with a body without a length, which it closes once nothing
/// reads it any more. It answers questions with 404, as a target does that has no reports.
fn start_closing_target() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for connection in listener.incoming() {
            let mut connection = connection.unwrap();
            let id = read_attempt_id(&mut connection);
            let head = |id| {
                format!(
                    "HTTP/1.1 200 OK\r\njujubelink-attempt-id: {id}\r\n\
                     jujubelink-server-stamp: s\r\n"
                )
            };
            let response = match id.as_deref() {
                Some("slow") => head("slow") + "\r\n",
                Some(id) => head(id) + "content-length: 0\r\n\r\n",
                None => "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".to_owned(),
            };
            let _ = connection.write_all(response.as_bytes());
            if id.as_deref() == Some("slow") {
                let timeout = Some(Duration::from_millis(300));
                connection.set_write_timeout(timeout).unwrap();
                while connection.write_all(&[b'x'; 16 * 1024]).is_ok() {}
            }
        }
    });
    address
}

/// Sends a request, and reads the response only from a while after its head on. Returns whether the response
/// ends as a complete one.
fn read_slowly(address: SocketAddr) -> bool {
    let mut client = TcpStream::connect(address).unwrap();
    let request = format!(
        "GET /read/x HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: slow\r\n\
         jujubelink-deadline-ms: 4000\r\nauthorization: Bearer {KEY}\r\n\r\n"
    );
    client.write_all(request.as_bytes()).unwrap();
    let mut start = [0; 64];
    client.read_exact(&mut start).unwrap();
    assert!(start.starts_with(b"HTTP/1.1 200"));
    std::thread::sleep(Duration::from_millis(1_500));
    client
        .set_read_timeout(Some(Duration::from_secs(3)))
        .unwrap();
    let mut tail = Vec::new();
    let mut part = [0; 64 * 1024];
    while let Ok(length @ 1..) = client.read(&mut part) {
        tail.extend_from_slice(&part[..length]);
        if tail.ends_with(b"\r\n0\r\n\r\n") {
            return true;
        }
        tail.drain(..tail.len().saturating_sub(16));
    }
    false
}

/// Guards against a response that was cut by a crash and looks complete, because its target, which states no
/// incarnation, has started again before a slow client has read what had arrived.
#[test]
fn a_response_of_a_target_that_has_started_again_is_not_complete() {
    run(async {
        let rows = [
            Registered::Same,
            Registered::Later,
            Registered::LaterAndLate,
        ];
        join_all(rows.map(|registered| async move {
            let address = start_closing_target();
            let (deployment, instance) = start_with_target(address, "").await;
            instance.wait_status("the target is in service", 200).await;
            let client_address = instance.process.client_address;
            let (sender, received) = std::sync::mpsc::channel();
            std::thread::spawn(move || sender.send(read_slowly(client_address)));
            let registered_after = match registered {
                Registered::LaterAndLate => Duration::from_millis(1_700),
                _ => Duration::from_millis(1_000),
            };
            compio::time::sleep(registered_after).await;
            let incarnation = if registered == Registered::Same { 1 } else { 2 };
            deployment.put_target_at("s9", address, "ready", incarnation, 1);
            let is_complete =
                eventually("the response ends", || async { received.try_recv().ok() }).await;
            assert_eq!(
                is_complete,
                registered == Registered::Same,
                "{registered:?}"
            );
        }))
        .await;
    });
}

/// Guards against a response that was cut by a crash and looks complete, because its target, which states no
/// incarnation, has started again while the instance was suspended.
#[test]
fn a_response_whose_target_started_again_during_a_suspension_is_not_complete() {
    run(async {
        let rows = [(1, 200), (2, 0)];
        join_all(rows.map(|(incarnation, expected)| async move {
            let target = EndlessTarget::start(Probed::Answers, "");
            let (deployment, instance) = start_with_target(target.address, "").await;
            let sent = send_to_target(&instance);
            let restarted = async {
                compio::time::sleep(Duration::from_millis(400)).await;
                instance.process.pause();
                target.end_after(Duration::from_millis(100)).await;
                compio::time::sleep(Duration::from_millis(900)).await;
                instance.process.resume();
                // The news of the later incarnation arrives after the answer to the probe.
                compio::time::sleep(Duration::from_millis(200)).await;
                deployment.put_target_at("s9", target.address, "ready", incarnation, 1);
            };
            let (response, ()) = futures_util::join!(sent, restarted);
            assert_eq!(response.status, expected, "{incarnation}");
            assert!(response.body.contains("piece"), "{incarnation}");
        }))
        .await;
    });
}

/// Guards against a part of a response that looks complete because writing the request failed before the reset
/// of the connection was read. The target lives.
#[test]
fn a_response_that_is_reset_during_the_upload_is_not_complete() {
    run(async {
        const UPLOAD_BYTES: usize = 4_000_000;
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for connection in listener.incoming() {
                let mut connection = connection.unwrap();
                std::thread::spawn(move || {
                    let Some(id) = read_attempt_id(&mut connection) else {
                        let response = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
                        let _ = connection.write_all(response.as_bytes());
                        return;
                    };
                    let start = format!(
                        "HTTP/1.1 200 OK\r\njujubelink-attempt-id: {id}\r\n\
                         jujubelink-server-stamp: s\r\n\r\npart"
                    );
                    let _ = connection.write_all(start.as_bytes());
                    let pause: u64 = id.rsplit('-').next().unwrap().parse().unwrap();
                    std::thread::sleep(Duration::from_millis(pause));
                    reset(&connection);
                });
            }
        });
        let (_deployment, instance) = start_with_target(address, "").await;
        let upload = "u".repeat(UPLOAD_BYTES);
        for number in 0..24 {
            let id = format!("r-{number}-{}", [0, 5, 30, 100][number % 4]);
            let response = eventually("the target gets the request", || async {
                let request = http::Request::post("/pay/x")
                    .header("host", "shop.example")
                    .header("jujubelink-attempt-id", &id)
                    .header("jujubelink-deadline-ms", "3000")
                    .header("authorization", format!("Bearer {KEY}"));
                let sent = send_with_host(instance.process.client_address, request, &upload);
                let response = sent.await;
                (response.status != 503).then_some(response)
            })
            .await;
            assert!(
                matches!(response.status, 0 | 502),
                "{id}: {} {:?}",
                response.status,
                response.body
            );
        }
    });
}

/// Guards against a status line that is no answer and reaches the client.
#[test]
fn a_status_that_is_none_is_refused() {
    run(async {
        for status in ["000", "099", "1000", "abc", "", "-20", "101"] {
            let target = ScriptedTarget::start(move |request| {
                Reply::closed(format!(
                    "HTTP/1.1 {status} Odd\r\njujubelink-attempt-id: {}\r\n\
                     jujubelink-server-stamp: s\r\ncontent-length: 2\r\n\r\nok",
                    request.id
                ))
            });
            let (_deployment, instance) = start_with_target(target.address(), "").await;
            let response = send_to_target(&instance).await;
            assert_eq!(response.status, 502, "{status:?}: {}", response.body);
            assert_eq!(target.received().len(), 1, "{status:?}");
        }
    });
}

/// Guards against an interim response that reaches the client, and against a request that never ends because
/// no final response follows, also if other requests are served meanwhile.
#[test]
fn interim_responses_without_end_are_refused_at_the_deadline() {
    run(async {
        for pause in [Duration::from_millis(10), Duration::ZERO] {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
            let address = listener.local_addr().unwrap();
            std::thread::spawn(move || {
                let (mut connection, _) = listener.accept().unwrap();
                read_attempt_id(&mut connection);
                let interim = "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n";
                while connection.write_all(interim.as_bytes()).is_ok() {
                    std::thread::sleep(pause);
                }
            });
            let (_deployment, instance) = start_with_target(address, "").await;
            let started = Instant::now();
            let other = async {
                compio::time::sleep(Duration::from_millis(500)).await;
                instance.is_ready().await
            };
            let (response, is_ready) = futures_util::join!(send_to_target(&instance), other);
            assert!(is_ready, "{pause:?}");
            assert_eq!(response.status, 504, "{pause:?}: {}", response.body);
            assert!(started.elapsed() < Duration::from_secs(5), "{pause:?}");
        }
    });
}
