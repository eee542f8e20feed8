//! Bytes without end.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

use crate::support::{Flood, ID};

/// Seed of the random bytes.
const SEED: u64 = 20_261_204;
/// Returns 64 KiB of random bytes.
pub(super) fn random_bytes() -> Vec<u8> {
    println!("random bytes with seed {SEED}");
    let mut bytes = vec![0; 64 * 1024];
    ChaCha8Rng::seed_from_u64(SEED).fill_bytes(&mut bytes);
    bytes
}

/// Returns the start of a successful response to the flooded request, up to the given headers.
pub(crate) fn success(headers: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\njujubelink-attempt-id: {ID}\r\njujubelink-server-stamp: s\r\n{headers}\r\n"
    )
}

pub(crate) fn chunked() -> String {
    success("transfer-encoding: chunked\r\n")
}

/// Returns a chunk with the given data.
pub(crate) fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}
/// Floods in the place of a response head.
pub(super) fn head_floods() -> Vec<Flood> {
    vec![
        Flood::new("header line", "HTTP/1.1 200 OK\r\nx: ", "a"),
        Flood::new("header lines", "HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        Flood::new("status line", "HTTP/1.1 200 ", "O"),
        Flood::new("empty lines", "", "\r\n"),
        Flood::new("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        Flood::new(
            "interim responses with headers",
            "",
            "HTTP/1.1 103 Early Hints\r\nlink: </a>; rel=preload\r\n\r\n",
        ),
        Flood::new("random bytes", "", random_bytes()),
    ]
}

/// Floods within or after a body that belong to no answer.
pub(super) fn framing_floods() -> Vec<Flood> {
    vec![
        Flood::new("chunk extension", &format!("{}1;", chunked()), "a"),
        Flood::new("chunk size of zeros", &chunked(), "0"),
        Flood::new("spaces after a chunk size", &format!("{}1", chunked()), " "),
        Flood::new("trailer line", &format!("{}0\r\nx: ", chunked()), "a"),
        Flood::new("trailer lines", &format!("{}0\r\n", chunked()), "x: y\r\n"),
        Flood::new("random bytes as chunks", &chunked(), random_bytes()),
    ]
}
/// Floods in responses to calls that the instance makes by itself.
pub(super) fn call_floods() -> Vec<Flood> {
    let mut floods = head_floods();
    floods.extend(framing_floods());
    let body = chunk(&" ".repeat(16 * 1024));
    floods.push(Flood::new("chunks", &chunked(), &body));
    floods.push(Flood::new("body without a length", &success(""), "["));
    floods
}
