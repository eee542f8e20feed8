//! Allocates free loopback ports for processes that a test or benchmark starts, and starts processes.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};

/// First port to try. All ports lie below the ephemeral range: the system could assign an ephemeral
/// port to an outgoing connection between the check here and the start of the process.
const FIRST_PORT: u16 = 10_240;
const PORT_COUNT: u16 = 20_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Held while a port is checked and while a process starts. Until it executes its program, a new process
/// holds copies of all sockets of this one, and a copy of the socket of a check keeps the port in use.
static CHECK_OR_START: Mutex<()> = Mutex::new(());

/// Returns a loopback address whose port is free for both TCP and UDP. Successive calls in one
/// process return different ports.
///
/// # Panics
///
/// Panics if no port is free.
pub fn free_address() -> SocketAddr {
    // Concurrent processes start their search at different ports.
    let offset = std::process::id().wrapping_mul(613) % u32::from(PORT_COUNT);
    for _ in 0..PORT_COUNT {
        let step = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + ((offset + step) % u32::from(PORT_COUNT)) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let _guard = CHECK_OR_START
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free loopback port");
}

/// Starts a process while no port is checked.
///
/// # Errors
///
/// Fails if the process cannot be started.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _guard = CHECK_OR_START
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}
