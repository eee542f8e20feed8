//! Crowds against an instance with a configuration of its own: model requests and plain services.

use super::crowd::{Crowd, Script};
use super::machine::check_own_deployment;
use crate::endless_bytes::floods::chunk;
use crate::support::{KEY, chat_body};

/// Largest body of a model request.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Largest body that is read before a plain request with an idempotency key is sent.
const MAX_KEYED_BODY_BYTES: usize = 1024 * 1024;

/// Number of clients whose bodies together are more than ten times the memory of the machine.
const CLIENTS: usize = 200;

/// Number of clients that announce a body and send little of it.
const ANNOUNCING_CLIENTS: usize = 40;

/// Number of clients whose requests hold memory as long as their responses do.
const WAITING_CLIENTS: usize = 900;

/// Bytes of a head that is below the limit.
const HEAD_BYTES: usize = 15_000;

/// Size of the pieces of a body.
const PIECE_BYTES: usize = 64 * 1024;

/// Returns the head of a request with the lines `headers` in it.
fn head(path: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\n{headers}\r\n"
    )
}

fn model_head(framing: &str) -> String {
    head("/v1/chat/completions", &format!("{framing}\r\n"))
}

fn check_clients(name: &str, clients: usize, script: Script) {
    check_own_deployment(name, |address| Crowd::start(address, clients, script));
}

/// Guards against memory that is reserved for bodies that are only announced, so that few clients shut all others out.
#[test]
fn bodies_that_are_announced_only() {
    let script = Script::new(model_head(&format!("content-length: {MAX_BODY_BYTES}")))
        .with_units(" ".repeat(1_000), 1);
    check_clients("announced bodies", ANNOUNCING_CLIENTS, script);
}

/// Guards against bodies of model requests that are held for clients that never send their end.
#[test]
fn large_bodies_without_their_end() {
    let script = Script::new(model_head(&format!("content-length: {MAX_BODY_BYTES}")))
        .with_units(" ".repeat(MAX_BODY_BYTES - 1), 1)
        .with_pieces(PIECE_BYTES);
    check_clients("large bodies of model requests", CLIENTS, script);
}

/// Guards against the same bodies in small chunks, whose size is not announced.
#[test]
fn small_chunks_without_their_end() {
    let script = Script::new(model_head("transfer-encoding: chunked"))
        .with_units(chunk(" ").repeat(1_000), 300)
        .with_pieces(PIECE_BYTES);
    check_clients("small chunks of model requests", CLIENTS, script);
}

/// Guards against bodies of plain requests that are read in advance and counted against no bound.
#[test]
fn keyed_bodies_without_their_end() {
    let headers = format!("idempotency-key: crowd\r\ncontent-length: {MAX_KEYED_BODY_BYTES}\r\n");
    let script = Script::new(head("/shop/order", &headers))
        .with_units("b".repeat(MAX_KEYED_BODY_BYTES - 1), 1)
        .with_pieces(PIECE_BYTES);
    check_clients("keyed bodies", CLIENTS, script);
}

/// Guards against heads and prompts that are held for responses which nobody reads.
#[test]
fn model_requests_whose_responses_are_not_read() {
    let body = chat_body(&"p".repeat(HEAD_BYTES), 10_000, true);
    let headers = format!(
        "x-large: {}\r\ncontent-length: {}\r\n",
        "x".repeat(HEAD_BYTES),
        body.len()
    );
    let script = Script::new(head("/v1/chat/completions", &headers) + &body);
    check_clients("unread model responses", WAITING_CLIENTS, script);
}
