//! The address that a request came from.

use std::net::IpAddr;

use http::Extensions;

/// Address of the client, in the extensions of its requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClientAddress(pub(super) IpAddr);

impl ClientAddress {
    /// Returns the address, if it is known.
    pub(super) fn of(extensions: &Extensions) -> Option<IpAddr> {
        extensions.get::<Self>().map(|address| address.0)
    }
}
