//! Targets and stores that send bytes without end, in a head or a body, until the instance closes the
//! connection. The instance is the real binary on the path of the platform's requests.
//!
//! Each flood has to end with a closed connection, within the memory that the configured limits allow.
//! Clients get a truthful answer, and requests to other services are served meanwhile.

mod calls;
mod clients;
pub(crate) mod floods;
pub(crate) mod site;
mod slow_clients;
mod sockets;
mod targets;
