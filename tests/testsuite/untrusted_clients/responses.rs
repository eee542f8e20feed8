//! Crowds that read their responses slowly or not at all.

use super::crowd::{Crowd, Reading, Script};
use super::machine::check_crowd;
use crate::endless_bytes::floods::{chunk, chunked, success};
use crate::endless_bytes::site::Site;
use crate::support::Flood;

/// Number of clients that send requests one after the other.
const PIPELINING_CLIENTS: usize = 300;

/// Number of clients that read a long response slowly.
const SLOW_READERS: usize = 200;

/// Number of clients whose requests have no body, so that only their responses hold memory. They are more than the
/// machine has connections for.
const CLIENTS_WITHOUT_BODY: usize = 2_000;

/// Number of clients whose request is complete and holds memory as long as its response does.
const CLIENTS_WITH_REQUEST: usize = 900;

/// Number of clients with a body of the largest size.
const CLIENTS_WITH_LARGE_BODY: usize = 300;

/// Bytes of a response that is short enough to be read completely before it is forwarded.
const BUFFERED_RESPONSE_BYTES: usize = 250_000;

/// Number of such responses that each client asks for.
const REQUESTS_WITH_A_LENGTH: usize = 100;

/// Bytes of a head that is below the usual limit.
const HEAD_BYTES: usize = 15_000;

/// Bytes of a body that is small enough to use all of the memory for bodies.
const SMALL_BODY_BYTES: usize = 48_000;

/// Bytes of the largest body.
const LARGE_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Returns a request with the lines `headers` in its head.
fn request(headers: &str, body: &str) -> String {
    format!(
        "POST /read/x HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: crowd\r\n\
         jujubelink-deadline-ms: 20000\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Makes the target of the crowd send responses without end.
fn start_endless_responses(site: &Site) {
    let flood = Flood::new("chunks", &chunked(), chunk(&"b".repeat(16 * 1024)));
    site.proxy_of("/read/x").set_flood(Some(flood));
}

/// Checks clients that send `request` and read the endless response to it as stated.
fn check_readers(name: &str, clients: usize, request: String, reading: Reading) {
    check_crowd(name, |site| {
        start_endless_responses(site);
        let script = Script::new(request).with_reading(reading);
        Crowd::start(site.instance.client_address, clients, script)
    });
}

/// Guards against responses that are held for clients that never read them.
#[test]
fn pipelined_requests_whose_responses_are_not_read() {
    check_crowd("pipelined requests", |site| {
        let script = Script::new("")
            .with_units(request("", &"b".repeat(64 * 1024)), 1_000)
            .with_pieces(64 * 1024);
        Crowd::start(site.instance.client_address, PIPELINING_CLIENTS, script)
    });
}

/// Guards against a long stream that is held for clients that read one byte a second.
#[test]
fn slow_readers_of_a_long_stream() {
    check_readers("slow readers", SLOW_READERS, request("", ""), Reading::Slow);
}

/// Guards against requests that are bounded by the number of connections only, and whose connections are never
/// given up for those of other callers.
#[test]
fn requests_without_a_body_whose_responses_are_not_read() {
    let request = request("", "");
    let name = "requests without a body";
    check_readers(name, CLIENTS_WITHOUT_BODY, request, Reading::Nothing);
}

/// Guards against responses that are read completely before they are forwarded, and that nobody reads.
#[test]
fn responses_with_a_length_that_are_not_read() {
    check_crowd("responses with a length", |site| {
        let head = success(&format!("content-length: {BUFFERED_RESPONSE_BYTES}\r\n"));
        let flood = Flood::new("a long body", &head, "b");
        site.proxy_of("/read/x").set_flood(Some(flood));
        let address = site.instance.client_address;
        // The first responses fill what the kernel takes for the client.
        let script = Script::new("").with_units(request("", ""), REQUESTS_WITH_A_LENGTH);
        Crowd::start(address, CLIENTS_WITH_REQUEST, script)
    });
}

/// Guards against heads that are not counted any more once they have arrived.
#[test]
fn slow_readers_with_large_heads() {
    let request = request(&format!("x-large: {}\r\n", "x".repeat(HEAD_BYTES)), "");
    let name = "slow readers with large heads";
    check_readers(name, CLIENTS_WITH_REQUEST, request, Reading::Slow);
}

/// Guards against bodies that are held with what their slow clients have not read of the responses.
#[test]
fn slow_readers_with_small_bodies() {
    let request = request("", &"b".repeat(SMALL_BODY_BYTES));
    let name = "slow readers with small bodies";
    check_readers(name, CLIENTS_WITH_REQUEST, request, Reading::Slow);
}

/// Guards against bytes that targets and clients have sent, and that wait in the sockets of the process.
#[test]
fn slow_readers_with_large_bodies() {
    let request = request("", &"b".repeat(LARGE_BODY_BYTES));
    let name = "slow readers with large bodies";
    check_readers(name, CLIENTS_WITH_LARGE_BODY, request, Reading::Slow);
}
