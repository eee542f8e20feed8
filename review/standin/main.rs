//! Stand-ins for the review: a platform with its store, servers, and clients. Standard library only.
//!
//! `standin case1 FOLDER` and so on play a case: they start the program with the command of the deploy
//! file, stand-ins as threads or as processes of their own, and clients, and write `record.txt` into FOLDER.
//! `standin server ...` is a server process.

mod cases;
mod http;
mod json;
mod platform;
mod server;
mod stress;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = match arguments.first().map(String::as_str) {
        Some("server") => server::main(&arguments[1..]),
        Some(case) => cases::main(case, &arguments[1..]),
        None => 2,
    };
    std::process::exit(code);
}
