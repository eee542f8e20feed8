//! Crowds that send heads, or nothing.

use super::crowd::{Crowd, Script};
use super::machine::check_crowd;

/// Number of clients that send a part of a head.
const CLIENTS: usize = 900;

/// Bytes of each unfinished head. It is below the limit of a connection (64 KiB), so that it is kept.
const HEAD_BYTES: usize = 60_000;

/// Number of silent connections, more than the machine has descriptors for.
const SILENT_CLIENTS: usize = 2_600;

/// Guards against unfinished heads that fill the memory together, before any key is checked.
#[test]
fn unfinished_heads() {
    check_crowd("unfinished heads", |site| {
        let script = Script::new("GET / HTTP/1.1\r\nx-long: ")
            .with_units("x".repeat(HEAD_BYTES), 1)
            .with_pieces(8 * 1024);
        Crowd::start(site.instance.client_address, CLIENTS, script)
    });
}

/// Guards against memory that each read of a head needs beside its bytes.
#[test]
fn heads_in_single_bytes() {
    check_crowd("heads in single bytes", |site| {
        let script = Script::new("GET / HTTP/1.1\r\nx-long: ")
            .with_units("x".repeat(1_000), 1)
            .with_pieces(1);
        Crowd::start(site.instance.client_address, CLIENTS, script)
    });
}

/// Guards against connections without a request that use up descriptors and memory.
#[test]
fn silent_connections() {
    check_crowd("silent connections", |site| {
        let address = site.instance.client_address;
        Crowd::start(address, SILENT_CLIENTS, Script::new(""))
    });
}
