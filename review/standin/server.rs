//! A server as a process of its own: `standin server PORT ID LOG`.
//!
//! It runs each request that names it, or names nobody, and writes a line to LOG when a run begins and when it
//! ends. The path selects the response:
//!
//! - `.../unframed/PIECES`: a body without a length, a piece each 50 ms, which ends with its connection,
//! - `.../wait/MS`: a body with a length after so long,
//! - any other: a body with a length at once.

use std::fs::{File, OpenOptions};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{read_request, respond, serve, Request};

/// Time between the pieces of a body without a length.
pub const PIECE_GAP: Duration = Duration::from_millis(50);

/// Piece of a body without a length.
pub fn piece(number: u64) -> String {
    format!("piece {number}\n")
}

struct Server {
    id: String,
    born: u64,
    log: Mutex<File>,
}

pub fn main(arguments: &[String]) -> i32 {
    let [port, id, log] = arguments else {
        return 2;
    };
    let Ok(listener) = TcpListener::bind(format!("127.0.0.1:{port}")) else {
        return 2;
    };
    let log = OpenOptions::new().create(true).append(true).open(log).expect("the log");
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("the time");
    let born = since_epoch.as_millis() as u64;
    let server = Arc::new(Server { id: id.clone(), born, log: Mutex::new(log) });
    // The parent reads when the server listens.
    println!("{born}");
    serve(listener, move |stream| server.serve_connection(stream));
    loop {
        std::thread::park();
    }
}

impl Server {
    fn record(&self, what: &str, request: &str) {
        let mut log = self.log.lock().expect("the lock");
        let _ = writeln!(log, "{} {what} {request}", self.id);
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reading = BufReader::new(reading);
        while let Some(request) = read_request(&mut reading) {
            if !self.respond(&mut stream, &request) {
                return;
            }
        }
    }

    /// Returns whether the connection is kept.
    fn respond(&self, stream: &mut TcpStream, request: &Request) -> bool {
        if request.path == "/api/report" {
            let body = format!(
                "{{\"phase\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\"waiting\":0,\
                 \"running\":0,\"kv_used\":0,\"kv_total\":0,\"handles\":0,\"born\":{}}}",
                self.born
            );
            return respond(stream, "200 OK", "content-type: application/json\r\n", &body).is_ok();
        }
        let id = request.header("jujubelink-attempt-id").unwrap_or_default();
        let head = format!("Jujubelink-Attempt-Id: {id}\r\n");
        if request.header("jujubelink-expect-instance").is_some_and(|name| name != self.id) {
            let head = format!("{head}Jujubelink-Instance-Id: {}\r\n", self.id);
            return respond(stream, "421 Misdirected Request", &head, "").is_ok();
        }
        self.record("runs", id);
        let head = format!("{head}Jujubelink-Server-Stamp: {}.{id}\r\n", self.id);
        let mut words = request.path.split('/').rev();
        let (last, kind) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let number: u64 = last.parse().unwrap_or(0);
        let is_sent = match kind {
            "unframed" => {
                let head = format!("HTTP/1.1 200 OK\r\n{head}Connection: close\r\n\r\n");
                let mut sent = stream.write_all(head.as_bytes());
                for number in 1..=number {
                    sent = sent.and_then(|()| stream.write_all(piece(number).as_bytes()));
                    std::thread::sleep(PIECE_GAP);
                }
                self.record(if sent.is_ok() { "ends" } else { "broke off" }, id);
                return false;
            }
            "wait" => {
                std::thread::sleep(Duration::from_millis(number));
                respond(stream, "200 OK", &head, "done").is_ok()
            }
            _ => respond(stream, "200 OK", &head, "done").is_ok(),
        };
        self.record(if is_sent { "ends" } else { "broke off" }, id);
        is_sent
    }
}
