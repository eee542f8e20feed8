//! Authentication of calls between instances.

use std::net::SocketAddr;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Domain separation: other uses of the cluster key have a different context.
const TOKEN_CONTEXT: &[u8] = b"jujubelink peer token v2";

/// Creates and verifies the bearer tokens that instances of a cluster present to each other.
///
/// A token is an HMAC of the called instance's address under the cluster key. A token captured by
/// one instance, or by an instance of another cluster, is rejected by every other instance. An
/// attacker who can read the traffic to an instance can replay its token there; TLS prevents this.
#[derive(Clone)]
pub struct PeerToken {
    mac: Hmac<Sha256>,
}

impl PeerToken {
    /// Creates tokens for a cluster key.
    pub fn new(cluster_key: &str) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(cluster_key.as_bytes())
            .expect("HMAC takes keys of any length");
        mac.update(TOKEN_CONTEXT);
        Self { mac }
    }

    /// Returns the value of the `authorization` header for calls to `receiver`.
    pub fn authorization_header(&self, receiver: SocketAddr) -> http::HeaderValue {
        self.header(receiver)
            .parse()
            .expect("hexadecimal is a valid header value")
    }

    /// Whether the value of an `authorization` header is valid for `receiver`. Runs in constant
    /// time.
    pub fn verify(&self, receiver: SocketAddr, presented: &[u8]) -> bool {
        self.header(receiver).as_bytes().ct_eq(presented).into()
    }

    fn header(&self, receiver: SocketAddr) -> String {
        let mut mac = self.mac.clone();
        mac.update(receiver.to_string().as_bytes());
        format!("Bearer {}", hex::encode(mac.finalize().into_bytes()))
    }
}
