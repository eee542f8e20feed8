//! Several crowds at the same time.

use super::bodies::{MAX_BODY_BYTES, chunked_head, head_with_length};
use super::crowd::{Crowd, Reading, Script};
use super::machine::check_crowds;
use crate::endless_bytes::floods::{chunk, chunked};
use crate::support::Flood;

/// Clients with a body of the largest size, nine in ten of which stop one byte short.
const LARGE_BODIES: usize = 150;

/// Clients that send chunks of one byte.
const SMALL_CHUNKS: usize = 150;

/// Clients that send a part of a head.
const HEADS: usize = 400;

/// Clients that read the stream of an engine slowly.
const SLOW_READERS: usize = 100;

/// Guards against bounds that each crowd keeps alone, and that together exceed the memory of the machine.
#[test]
fn crowds_of_several_kinds() {
    check_crowds("several kinds", |site| {
        let stream = Flood::new("events", &chunked(), chunk("data: piece\n\n"));
        let stream = stream.with_path_prefix("/tell/");
        site.proxy_of("/tell/x").set_flood(Some(stream));
        let large_body = Script::new(head_with_length(MAX_BODY_BYTES))
            .with_units("b".repeat(MAX_BODY_BYTES - 1), 1)
            .with_end("b", 10)
            .with_pieces(256 * 1024);
        let small_chunks = Script::new(chunked_head())
            .with_units(chunk("b").repeat(1_000), 300)
            .with_pieces(16 * 1024);
        let head = Script::new("GET / HTTP/1.1\r\nx-long: ").with_units("x".repeat(60_000), 1);
        let reader = Script::new(
            "POST /tell/x HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: crowd\r\n\
             jujubelink-deadline-ms: 20000\r\njujubelink-model: m\r\njujubelink-token-count: 1200,50\r\n\
             jujubelink-prompt-prefix: a1:800,b2:400\r\ncontent-length: 0\r\n\r\n",
        )
        .with_reading(Reading::Slow);
        let crowds = [
            (LARGE_BODIES, large_body),
            (SMALL_CHUNKS, small_chunks),
            (HEADS, head),
            (SLOW_READERS, reader),
        ];
        let start = |(count, script)| Crowd::start(site.instance.client_address, count, script);
        crowds.into_iter().map(start).collect()
    });
}
