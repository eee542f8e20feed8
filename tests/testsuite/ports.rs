//! Ports for processes that tests start.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use jujubelink_standins::ports::{free_address, spawn};

const ADDRESSES: usize = 2_000;

/// Guards against an address that is in use because a process started meanwhile holds the socket of its check.
#[test]
fn free_addresses_stay_free_while_processes_start() {
    let is_done = AtomicBool::new(false);
    let in_use = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    spawn(&mut Command::new("true")).unwrap().wait().unwrap();
                }
            });
        }
        let is_in_use = |_: &usize| TcpListener::bind(free_address()).is_err();
        let in_use = (0..ADDRESSES).filter(is_in_use).count();
        is_done.store(true, Ordering::Relaxed);
        in_use
    });
    assert_eq!(in_use, 0, "of {ADDRESSES} addresses");
}
