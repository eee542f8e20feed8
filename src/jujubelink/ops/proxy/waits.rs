//! What a request waits for, and who ended one that got neither a response nor a refusal.

use std::cell::Cell;
use std::rc::Rc;

use derive_more::Display;
use http::request::Parts;
use http::{Extensions, Version};

use crate::ops::kernel::Lifecycle;
use crate::util::http::{ClientConnection, ConnectionLoss};

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub(super) enum Awaited {
    /// Nothing yet: the request has just arrived.
    #[default]
    #[display("admission")]
    Admission,
    #[display("the body")]
    Body,
    #[display("the limit of the workspace")]
    Limit,
    #[display("the claim of the idempotency key")]
    Claim,
    /// The first placement.
    #[display("a place in the queue")]
    Place,
    /// A placement after a failed send.
    #[display("a place for a further send")]
    Resend,
    #[display("the connection to the target")]
    Connection,
    /// In place of the connection and the head, where they are not told apart.
    #[display("the connection to the target or the head of its response")]
    Target,
    #[display("the head of the response")]
    ResponseHead,
    /// A target that takes the request over from a silent one, or the silent one.
    #[display("a silent target or its replacement")]
    Takeover,
    #[display("the rest of the response")]
    ResponseBody,
    /// Room in the connection for further bytes.
    #[display("the client to read the response")]
    ClientRead,
}

/// What one request waits for at present. Clones share it.
#[derive(Debug, Clone, Default)]
pub(super) struct CurrentWait(Rc<Cell<Awaited>>);

impl CurrentWait {
    pub(super) fn set(&self, awaited: Awaited) {
        self.0.set(awaited);
    }

    pub(super) fn get(&self) -> Awaited {
        self.0.get()
    }

    /// Records that the connection to a target is open and the request is being sent there. Other waits stay:
    /// in a takeover a silent target is still awaited.
    pub(super) fn on_connected(&self) {
        if self.get() == Awaited::Connection {
            self.set(Awaited::ResponseHead);
        }
    }
}

/// Who ended a request that got neither a response nor a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum EndedBy {
    /// Its connection ended.
    #[display("{_0}")]
    Connection(ConnectionLoss),
    #[display("the client cancelled the request")]
    Cancellation,
    #[display("the client did not read the response until the deadline")]
    Expiry,
    #[display("the planned stop ended the process")]
    Stop,
    /// Its connection is open, but nobody polls the request any more.
    #[display("the instance dropped the request")]
    Instance,
}

/// The client's side of a request.
pub(super) struct ClientSide {
    connection: Option<ClientConnection>,
    version: Version,
}

impl ClientSide {
    pub(super) fn new(extensions: &Extensions, version: Version) -> Self {
        Self {
            connection: extensions.get().cloned(),
            version,
        }
    }

    pub(super) fn of(parts: &Parts) -> Self {
        Self::new(&parts.extensions, parts.version)
    }

    /// How the connection ended, if it has.
    pub(super) fn loss(&self) -> Option<ConnectionLoss> {
        self.connection.as_ref()?.loss()
    }

    /// Returns who ended a request that is dropped without a response.
    pub(super) fn ended_by(
        &self,
        awaited: Awaited,
        lifecycle: Lifecycle,
        is_overdue: bool,
    ) -> EndedBy {
        match self.loss() {
            Some(loss) => EndedBy::Connection(loss),
            None if awaited == Awaited::ClientRead && is_overdue => EndedBy::Expiry,
            None if lifecycle != Lifecycle::Running => EndedBy::Stop,
            None if self.version == Version::HTTP_2 => EndedBy::Cancellation,
            None => EndedBy::Instance,
        }
    }
}
