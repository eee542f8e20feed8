//! Crowds that use HTTP/2.

use super::crowd::{Crowd, Script};
use super::machine::{check_crowd, check_own_deployment};
use crate::endless_bytes::floods::{chunk, chunked};
use crate::support::Flood;
use crate::support::http2::{
    CONTINUATION, DATA, END_HEADERS, END_STREAM, HEADERS, http2_frame, http2_head, http2_start,
};

/// Number of connections. Their streams together are more than the machine has memory for.
const CONNECTIONS: usize = 300;

/// Number of streams of each connection.
const STREAMS: u32 = 32;

/// Number of connections that send a part of a head, or nothing after their first request.
const SINGLE_CONNECTIONS: usize = 900;

/// Bytes of a frame's payload.
const FRAME_BYTES: usize = 16 * 1024;

/// Returns the header block of a request on the platform.
fn request_head(path: &str) -> Vec<u8> {
    let headers = [
        ("jujubelink-attempt-id", "crowd"),
        ("jujubelink-deadline-ms", "20000"),
    ];
    http2_head("shop.example", path, &headers)
}

/// Returns the start of a connection with requests whose bodies are `body_bytes` long. They do not end unless they
/// are empty.
fn requests(path: &str, body_bytes: usize) -> Vec<u8> {
    let mut bytes = http2_start();
    for number in 0..STREAMS {
        let stream = 2 * number + 1;
        let flags = if body_bytes == 0 { END_STREAM } else { 0 };
        let head = request_head(path);
        bytes.extend(http2_frame(HEADERS, END_HEADERS | flags, stream, &head));
    }
    for number in 0..STREAMS {
        for start in (0..body_bytes).step_by(FRAME_BYTES) {
            let length = FRAME_BYTES.min(body_bytes - start);
            bytes.extend(http2_frame(DATA, 0, 2 * number + 1, &vec![b'b'; length]));
        }
    }
    bytes
}

fn start(site_address: std::net::SocketAddr, connections: usize, bytes: Vec<u8>) -> Crowd {
    Crowd::start(site_address, connections, Script::new(bytes))
}

/// Guards against responses on many streams that nobody reads.
#[test]
fn streams_whose_responses_are_not_read() {
    check_crowd("unread streams", |site| {
        let flood = Flood::new("chunks", &chunked(), chunk(&"b".repeat(FRAME_BYTES)));
        site.proxy_of("/read/x").set_flood(Some(flood));
        let address = site.instance.client_address;
        start(address, CONNECTIONS, requests("/read/x", 0))
    });
}

/// Guards against windows whose sum over all connections and streams exceeds the memory.
#[test]
fn streams_whose_bodies_do_not_end() {
    // What the first window of a connection has room for.
    let body_bytes = 65_000 / STREAMS as usize;
    check_crowd("streams with unfinished bodies", |site| {
        let address = site.instance.client_address;
        start(address, CONNECTIONS, requests("/read/x", body_bytes))
    });
}

/// Guards against header blocks that are held for frames which continue them.
#[test]
fn header_blocks_that_do_not_end() {
    let mut bytes = http2_start();
    let mut head = request_head("/read/x");
    // A literal name and a value of 60,000 bytes, most of which follow in further frames.
    head.extend(b"\x00\x06x-long\x7f\xe1\xd3\x03");
    head.extend(vec![b'x'; 12 * 1024]);
    bytes.extend(http2_frame(HEADERS, 0, 1, &head));
    for _ in 0..2 {
        bytes.extend(http2_frame(CONTINUATION, 0, 1, &vec![b'x'; FRAME_BYTES]));
    }
    check_crowd("unfinished header blocks", |site| {
        start(site.instance.client_address, SINGLE_CONNECTIONS, bytes)
    });
}

/// Guards against large heads on many streams, whose requests are admitted or refused at the same time.
#[test]
fn streams_with_large_heads() {
    let mut head = request_head("/read/x");
    // A literal name and a value of 15,000 bytes.
    head.extend(b"\x00\x06x-long\x7f\x99\x74");
    head.extend(vec![b'x'; 15_000]);
    let mut bytes = http2_start();
    for number in 0..STREAMS {
        let flags = END_HEADERS | END_STREAM;
        bytes.extend(http2_frame(HEADERS, flags, 2 * number + 1, &head));
    }
    check_crowd("streams with large heads", |site| {
        let flood = Flood::new("chunks", &chunked(), chunk(&"b".repeat(FRAME_BYTES)));
        site.proxy_of("/read/x").set_flood(Some(flood));
        start(site.instance.client_address, CONNECTIONS, bytes)
    });
}

/// Guards against connections that are kept for clients that send nothing more.
#[test]
fn connections_that_are_idle_after_a_request() {
    let mut bytes = http2_start();
    let head = request_head("/read/x");
    bytes.extend(http2_frame(HEADERS, END_HEADERS | END_STREAM, 1, &head));
    check_crowd("idle connections", |site| {
        start(site.instance.client_address, SINGLE_CONNECTIONS, bytes)
    });
}

/// Guards against windows that are bounded on the platform only.
#[test]
fn streams_of_model_requests_whose_bodies_do_not_end() {
    let key = format!("Bearer {}", crate::support::KEY);
    let head = http2_head(
        "shop.example",
        "/v1/chat/completions",
        &[
            ("authorization", &key),
            ("content-type", "application/json"),
        ],
    );
    let mut bytes = http2_start();
    for number in 0..STREAMS {
        let stream = 2 * number + 1;
        bytes.extend(http2_frame(HEADERS, END_HEADERS, stream, &head));
        bytes.extend(http2_frame(DATA, 0, stream, &[b' '; 2_000]));
    }
    check_own_deployment("streams of model requests", |address| {
        start(address, CONNECTIONS, bytes)
    });
}
