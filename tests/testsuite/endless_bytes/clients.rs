//! Clients and peers that send heads, bodies or frames without end, or nothing at all.

use std::net::SocketAddr;
use std::time::Duration;

use super::floods::{chunk, random_bytes};
use super::site::{BASE_GROWTH_BYTES, CONCURRENT, Site};
use crate::support::{FloodClient, WAIT_TIMEOUT, eventually, run};

/// Start of every HTTP/2 connection, with an empty SETTINGS frame.
const HTTP2_START: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// Memory that the instance may hold for a connection: the head (64 KiB), the body of a request
/// (4 MiB) or the windows of HTTP/2 (1 MiB), and the read buffer of the connection (64 KiB). Buffers
/// that grow by doubling may need twice as much.
const CONNECTION_BYTES: u64 = 2 * (64 + 4 * 1024 + 64) * 1024;

/// Returns an HTTP/2 frame.
fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let header = [length[1], length[2], length[3], kind, flags];
    [&header[..], &stream.to_be_bytes(), payload].concat()
}

/// Returns an HTTP/2 connection that has begun, and then the given frames.
fn http2(frames: &[u8]) -> Vec<u8> {
    [HTTP2_START, frames].concat()
}

/// Name, start and repeated bytes of requests without end.
fn request_floods() -> Vec<(&'static str, Vec<u8>, Vec<u8>)> {
    let head = |path: &str, rest: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: f\r\n\
             jujubelink-deadline-ms: 1000\r\n{rest}"
        )
        .into_bytes()
    };
    let chunked = |rest: &str| {
        head(
            "/read/x",
            &format!("transfer-encoding: chunked\r\n\r\n{rest}"),
        )
    };
    let body = chunk(&"b".repeat(16 * 1024)).into_bytes();
    // `:method: GET`, `:scheme: http`, `:path: /` and a header.
    let block = b"\x82\x86\x84\x40\x01x\x01y";
    let priority = [0, 0, 0, 3, 1];
    vec![
        ("request line", b"GET /".to_vec(), b"a".to_vec()),
        ("empty lines", vec![], b"\r\n".to_vec()),
        ("header line", head("/read/x", "x: "), b"a".to_vec()),
        ("header lines", head("/read/x", ""), b"x: y\r\n".to_vec()),
        ("random bytes", vec![], random_bytes()),
        ("chunks", chunked(""), body.clone()),
        ("chunks of one byte", chunked(""), chunk("b").into_bytes()),
        ("chunk extension", chunked("1;"), b"a".to_vec()),
        ("chunk size of zeros", chunked(""), b"0".to_vec()),
        ("trailer line", chunked("0\r\nx: "), b"a".to_vec()),
        ("trailer lines", chunked("0\r\n"), b"x: y\r\n".to_vec()),
        (
            "body of a refused request",
            head("/none/x", "transfer-encoding: chunked\r\n\r\n"),
            body,
        ),
        (
            "body with a length",
            head("/read/x", "content-length: 1000000000000\r\n\r\n"),
            b"b".to_vec(),
        ),
        ("settings", http2(&[]), frame(4, 0, 0, &[])),
        ("pings", http2(&[]), frame(6, 0, 0, &[0; 8])),
        ("priorities", http2(&[]), frame(2, 0, 1, &priority)),
        ("window updates", http2(&[]), frame(8, 0, 0, &[0, 0, 0, 1])),
        ("unknown frames", http2(&[]), frame(99, 0, 0, &[0; 1024])),
        (
            "continuations",
            http2(&frame(1, 0, 1, block)),
            frame(9, 0, 1, b"\x40\x01x\x01y"),
        ),
        (
            "empty continuations",
            http2(&frame(1, 0, 1, block)),
            frame(9, 0, 1, &[]),
        ),
        (
            "empty data",
            http2(&frame(1, 4, 1, block)),
            frame(0, 0, 1, &[]),
        ),
    ]
}

/// Floods a listener, and checks that others are served and how much memory the instance needs.
async fn check_listener(site: &Site, listener: &str, address: SocketAddr) {
    for (name, start, unit) in request_floods() {
        let name = format!("{name} to the {listener} listener");
        let resident = site.memory_bytes("VmRSS");
        let clients: Vec<_> = (0..CONCURRENT)
            .map(|_| FloodClient::start(address, &start, &unit))
            .collect();
        let sent_bytes = || clients.iter().map(FloodClient::sent_bytes).sum::<u64>();
        eventually(&format!("bytes are sent for \"{name}\""), || async {
            (sent_bytes() > 0).then_some(())
        })
        .await;
        for _ in 0..3 {
            site.check_others_served(&name).await;
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        let limit = CONCURRENT as u64 * CONNECTION_BYTES + BASE_GROWTH_BYTES;
        site.check_memory(resident, limit, &name, sent_bytes());
    }
}

/// Guards against requests and frames without end that fill the memory or keep other clients waiting.
#[test]
fn endless_requests_of_clients() {
    run(async {
        let site = Site::start().await;
        check_listener(&site, "client", site.instance.client_address).await;
    });
}

/// As above, for the listener for other instances.
#[test]
fn endless_requests_of_peers() {
    run(async {
        let site = Site::start().await;
        check_listener(&site, "peer", site.instance.peer_address).await;
    });
}

/// As above, for the listener for readiness checks.
#[test]
fn endless_requests_to_the_readiness_listener() {
    run(async {
        let site = Site::start().await;
        check_listener(&site, "readiness", site.ready_address).await;
    });
}

/// Guards against bodies that are each within their limit but fill the memory together, because their
/// clients send all but the end.
#[test]
fn incomplete_bodies_of_many_clients() {
    const CLIENTS: usize = 96;
    const BODY_BYTES: usize = 4 * 1024 * 1024;
    // Bodies of all clients, each of which may be in a buffer of twice its size.
    const BODIES_BYTES: u64 = 2 * 128 * 1024 * 1024;
    const CLIENT_BYTES: u64 = 2 * (64 + 64 + 64) * 1024;
    run(async {
        let site = Site::start().await;
        let resident = site.memory_bytes("VmRSS");
        let head = format!(
            "POST /read/x HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: f\r\n\
             jujubelink-deadline-ms: 10000\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
        );
        let mut start = head.into_bytes();
        start.resize(start.len() + BODY_BYTES - 1, b'b');
        let address = site.instance.client_address;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| FloodClient::start(address, &start, &[]))
            .collect();
        let sent_bytes = || clients.iter().map(FloodClient::sent_bytes).sum::<u64>();
        let expected_bytes = 48 * start.len() as u64;
        eventually("half of the bodies are sent", || async {
            (sent_bytes() >= expected_bytes).then_some(())
        })
        .await;
        compio::time::sleep(Duration::from_secs(2)).await;
        site.check_others_served("incomplete bodies").await;
        let limit = BODIES_BYTES + CLIENTS as u64 * CLIENT_BYTES + BASE_GROWTH_BYTES;
        site.check_memory(resident, limit, "incomplete bodies", sent_bytes());
    });
}

/// Guards against connections that never carry a request and stay open for good, until the process has no
/// descriptors left and accepts nobody.
#[test]
fn connections_without_a_request_are_closed() {
    run(async {
        let site = Site::start().await;
        let listeners = [
            ("client", site.instance.client_address),
            ("peer", site.instance.peer_address),
            ("readiness", site.ready_address),
        ];
        let starts: [&[u8]; 4] = [b"", b"PRI * HT", HTTP2_START, b"GET /x HT"];
        let mut clients = Vec::new();
        for (listener, address) in listeners {
            for start in starts {
                let client = FloodClient::start(address, start, &[]);
                clients.push((listener, start, client));
            }
        }
        let connections = clients.len();
        let (sender, receiver) = std::sync::mpsc::channel();
        for (listener, start, client) in clients {
            let sender = sender.clone();
            std::thread::spawn(move || {
                let result = client.read_to_end(2 * WAIT_TIMEOUT);
                let start = String::from_utf8_lossy(start);
                let _ = sender.send((format!("{listener} listener after {start:?}"), result));
            });
        }
        drop(sender);
        // The event loop has to go on for the stand-ins.
        let mut results = Vec::new();
        while results.len() < connections {
            match receiver.try_recv() {
                Ok(result) => results.push(result),
                Err(_) => compio::time::sleep(Duration::from_millis(100)).await,
            }
        }
        let open: Vec<_> = results
            .iter()
            .filter(|(_, result)| result.is_err())
            .map(|(name, _)| name)
            .collect();
        assert!(open.is_empty(), "still open: {open:?}");
    });
}
