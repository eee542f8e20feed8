//! Non-blocking sockets on the event loop.
//!
//! compio's polling driver creates, binds, shuts down and closes sockets on a thread pool. The types
//! of this module make these system calls themselves and use the driver only to wait for readiness,
//! so that the process has a single thread.

mod datagram;
mod listener;
mod stream;
mod traffic;

pub use datagram::{Datagram, MAX_DATAGRAMS_PER_WAIT};
pub use listener::{Listener, MAX_STALL};
pub use stream::{KeepaliveSettings, MAX_BYTES_PER_WAIT, Stream};
pub use traffic::{Traffic, traffic};
