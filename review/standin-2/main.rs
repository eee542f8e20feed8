//! Stand-ins and cases of the second review. `standin case NAME RECORD` runs a case; it exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod own;
mod server;
mod site;
mod store;

use std::io::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Time of day in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Writes a line of the record.
pub fn log(who: &str, text: &str) {
    let ms = unix_ms();
    let line = format!(
        "{:>7}.{:03} {who}: {text}\n",
        ms / 1_000 % 1_000_000,
        ms % 1_000
    );
    let _ = std::io::stdout().write_all(line.as_bytes());
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let address = |text: &str| text.parse().expect("an address");
    match args[..] {
        ["store", at] => store::serve(address(at)),
        ["server", kind, id, at, store, slots] => server::serve(server::Options {
            id: id.to_owned(),
            service: match kind {
                "engine" => "llm".to_owned(),
                _ => "app".to_owned(),
            },
            address: address(at),
            store: address(store),
            zone: "recife-a".to_owned(),
            is_engine: kind == "engine",
            slots: slots.parse().expect("a number"),
        }),
        ["case", name, record] => std::process::exit(cases::run(name, Path::new(record))),
        _ => {
            eprintln!("usage: standin case NAME RECORD");
            std::process::exit(2);
        }
    }
}
