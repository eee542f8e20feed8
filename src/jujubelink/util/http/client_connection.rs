//! How the connection of a client ended.

use std::io;
use std::sync::{Arc, Mutex};

use derive_more::Display;

/// How a connection ended, as seen by the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ConnectionLoss {
    /// The client sends nothing more. With half-closed connections it may still read.
    #[display("the client closed its connection")]
    Closed,
    /// The client, or a machine on the way, reset the connection.
    #[display("the client reset its connection")]
    Reset,
    /// Reading failed in another way.
    #[display("the connection failed on read")]
    Read,
    /// Writing failed.
    #[display("the connection failed on write")]
    Write,
    /// The server ended the connection itself.
    #[display("the instance closed the connection")]
    Server,
}

/// The connection that a request came from, in the extensions of the request.
#[derive(Debug, Clone, Default)]
pub struct ClientConnection {
    /// Shared under a lock because extensions have to be `Send`.
    loss: Arc<Mutex<Option<ConnectionLoss>>>,
}

impl ClientConnection {
    /// Returns how the connection ended, or `None` while it is open.
    pub fn loss(&self) -> Option<ConnectionLoss> {
        self.loss.lock().ok().and_then(|loss| *loss)
    }

    /// Records the end that was observed first.
    pub(super) fn record(&self, observed: ConnectionLoss) {
        if let Ok(mut loss) = self.loss.lock() {
            loss.get_or_insert(observed);
        }
    }

    pub(super) fn record_read_error(&self, error: &io::Error) {
        self.record(match error.kind() {
            io::ErrorKind::ConnectionReset => ConnectionLoss::Reset,
            _ => ConnectionLoss::Read,
        });
    }
}
