//! Crowds that read their responses slowly or not at all.

use super::crowd::{Crowd, Reading, Script};
use super::machine::check_crowd;
use crate::endless_bytes::floods::{chunk, chunked};
use crate::support::Flood;

/// Number of clients that send requests one after the other.
const PIPELINING_CLIENTS: usize = 300;

/// Number of clients that read a long response slowly.
const SLOW_READERS: usize = 200;

/// Guards against responses that are held for clients that never read them.
#[test]
fn pipelined_requests_whose_responses_are_not_read() {
    check_crowd("pipelined requests", |site| {
        let body = "b".repeat(64 * 1024);
        let request = format!(
            "POST /read/x HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: crowd\r\n\
             jujubelink-deadline-ms: 20000\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let script = Script::new("")
            .with_units(request, 1_000)
            .with_pieces(64 * 1024);
        Crowd::start(site.instance.client_address, PIPELINING_CLIENTS, script)
    });
}

/// Guards against a long stream that is held for clients that read one byte a second.
#[test]
fn slow_readers_of_a_long_stream() {
    check_crowd("slow readers", |site| {
        let flood = Flood::new("chunks", &chunked(), chunk(&"b".repeat(16 * 1024)));
        site.proxy_of("/read/x").set_flood(Some(flood));
        let request = "POST /read/x HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: crowd\r\n\
                       jujubelink-deadline-ms: 20000\r\ncontent-length: 0\r\n\r\n";
        let script = Script::new(request).with_reading(Reading::Slow);
        Crowd::start(site.instance.client_address, SLOW_READERS, script)
    });
}
