//! Crowds that send bodies.

use super::crowd::{Crowd, Script};
use super::machine::{check_crowd, start_on};
use crate::endless_bytes::floods::chunk;
use crate::endless_bytes::site::Site;
use crate::support::{FloodClient, WAIT_TIMEOUT, eventually, run};

/// Memory of the smallest machine.
const SMALLEST_MEMORY_MB: u64 = 88;

/// Largest body that the configuration allows.
pub(super) const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Number of clients. Their bodies together are more than ten times the memory of the machine.
const CLIENTS: usize = 200;

/// One client in this many finishes its body. The others stop just before the end and stay open.
const FINISHING: usize = 50;

/// How often a client whose connection was closed tries again.
const RECONNECTS: usize = 2;

/// Number of clients that send little and keep their requests open. They are more than the machine has room for.
const WAITING_CLIENTS: usize = 1_200;

/// Bytes of a head that is below the usual limit.
const HEAD_BYTES: usize = 15_000;

/// Size of the pieces of a body that is sent piece by piece.
const PIECE_BYTES: usize = 16 * 1024;

/// Returns the head of a request with a body.
fn head(framing: &str) -> String {
    format!(
        "POST /read/x HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: crowd\r\n\
         jujubelink-deadline-ms: 20000\r\n{framing}\r\n\r\n"
    )
}

pub(super) fn head_with_length(bytes: usize) -> String {
    head(&format!("content-length: {bytes}"))
}

pub(super) fn chunked_head() -> String {
    head("transfer-encoding: chunked")
}

fn check_bodies(name: &str, script: Script) {
    check_crowd(name, |site| {
        let script = script.with_reconnects(RECONNECTS);
        Crowd::start(site.instance.client_address, CLIENTS, script)
    });
}

/// Guards against bodies of legal size that fill the memory together.
#[test]
fn large_bodies_sent_whole() {
    let script = Script::new(head_with_length(MAX_BODY_BYTES))
        .with_units("b".repeat(MAX_BODY_BYTES), 1)
        .with_pieces(1024 * 1024);
    check_bodies("large bodies sent whole", script);
}

/// Guards against bodies that are held for clients that never send their end.
#[test]
fn large_bodies_sent_in_pieces_without_their_end() {
    let script = Script::new(head_with_length(MAX_BODY_BYTES))
        .with_units("b".repeat(MAX_BODY_BYTES - 1), 1)
        .with_end("b", FINISHING)
        .with_pieces(PIECE_BYTES);
    check_bodies("large bodies sent in pieces without their end", script);
}

/// Guards against chunked bodies, whose size is not known before their end.
#[test]
fn large_chunks_without_their_end() {
    let data = chunk(&"b".repeat(256 * 1024));
    let script = Script::new(chunked_head())
        .with_units(data, 15)
        .with_end("0\r\n\r\n", FINISHING)
        .with_pieces(64 * 1024);
    check_bodies("large chunks without their end", script);
}

/// Guards against requests that hold their connections and the memory beside their bodies until their deadline.
#[test]
fn bodies_that_stop_at_their_start() {
    let line = format!("x-large: {}\r\n", "x".repeat(HEAD_BYTES));
    let framing = format!("{line}content-length: {MAX_BODY_BYTES}");
    let script = Script::new(head(&framing)).with_units("b".repeat(1_000), 1);
    check_crowd("bodies that stop at their start", |site| {
        Crowd::start(site.instance.client_address, WAITING_CLIENTS, script)
    });
}

/// Guards against chunked bodies that are small enough to use all of the memory for requests.
#[test]
fn small_chunked_bodies_without_their_end() {
    let data = chunk(&"b".repeat(1_000));
    let script = Script::new(chunked_head()).with_units(data, 48);
    check_crowd("small chunked bodies without their end", |site| {
        Crowd::start(site.instance.client_address, WAITING_CLIENTS, script)
    });
}

/// Guards against memory that each chunk needs beside its data. With chunks of one byte, 1 MB of such a body
/// arrives as 174,000 pieces.
#[test]
fn small_chunks_without_their_end() {
    let data = chunk("b").repeat(1_000);
    let script = Script::new(chunked_head())
        .with_units(data, 300)
        .with_end("0\r\n\r\n", FINISHING)
        .with_pieces(PIECE_BYTES);
    check_bodies("small chunks without their end", script);
}

/// Guards against buffers of the size that a client announces.
#[test]
fn oversized_bodies_with_a_length() {
    let script = Script::new(head_with_length(1_000_000_000_000))
        .with_units("b".repeat(1024 * 1024), usize::MAX >> 24)
        .with_pieces(256 * 1024);
    check_bodies("oversized bodies with a length", script);
}

/// Guards against bodies that are read beyond their limit.
#[test]
fn endless_chunked_bodies() {
    let data = chunk(&"b".repeat(64 * 1024));
    let script = Script::new(chunked_head())
        .with_units(data, usize::MAX >> 24)
        .with_pieces(64 * 1024);
    check_bodies("endless chunked bodies", script);
}

/// Sends a request and returns the start of the bytes that arrive until the instance closes the connection.
/// The connection has its own thread, as the event loop of the test serves the systems around the instance.
async fn response_start(site: &Site, request: String) -> String {
    let address = site.instance.client_address;
    let reading = std::thread::spawn(move || {
        let client = FloodClient::start(address, request.as_bytes(), &[]);
        let response = client.read_to_end(WAIT_TIMEOUT).unwrap();
        String::from_utf8_lossy(&response[..response.len().min(300)]).into_owned()
    });
    eventually("the connection is closed", || async {
        reading.is_finished().then_some(())
    })
    .await;
    reading.join().unwrap()
}

/// Guards against bounds that a single request of the largest size meets on the smallest machine.
#[test]
fn the_largest_request_is_served_on_the_smallest_machine() {
    run(async {
        let (_lock, site) = start_on(SMALLEST_MEMORY_MB).await;
        let large_head = format!("x-large: {}\r\nconnection: close\r\n", "x".repeat(15_000));
        let body = "b".repeat(MAX_BODY_BYTES);
        let whole = head(&format!("{large_head}content-length: {MAX_BODY_BYTES}")) + &body;
        let chunks = chunk(&body[..64 * 1024]).repeat(MAX_BODY_BYTES / (64 * 1024));
        let chunked = head(&format!("{large_head}transfer-encoding: chunked")) + &chunks;
        for request in [whole, chunked + "0\r\n\r\n"] {
            let start = response_start(&site, request).await;
            assert!(start.starts_with("HTTP/1.1 200 "), "{start}");
        }
    });
}

/// Guards against a body over the limit that is refused only after it has been read.
#[test]
fn a_body_over_the_limit_is_refused_at_once() {
    run(async {
        let (_lock, site) = start_on(SMALLEST_MEMORY_MB).await;
        let announced = head(&format!(
            "connection: close\r\ncontent-length: {}",
            MAX_BODY_BYTES + 1
        ));
        let sent = head("connection: close\r\ntransfer-encoding: chunked")
            + &chunk(&"b".repeat(MAX_BODY_BYTES + 1));
        for request in [announced, sent] {
            let start = response_start(&site, request).await;
            assert!(start.starts_with("HTTP/1.1 413 "), "{start}");
        }
    });
}
