//! Authentication between instances.

use std::net::SocketAddr;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Text under the token's HMAC; another use of the cluster key has another text.
const TOKEN_CONTEXT: &[u8] = b"jujubelink peer token v2";

/// Tokens that instances of one cluster present to each other.
///
/// A token is an HMAC of the called instance's address under the cluster key. One that another
/// instance or an instance of another cluster has seen is refused everywhere else. Whoever reads
/// the traffic to an instance can repeat its token there; TLS prevents that.
#[derive(Clone)]
pub struct PeerToken {
    mac: Hmac<Sha256>,
}

impl PeerToken {
    /// The tokens of a cluster key.
    pub fn new(cluster_key: &str) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(cluster_key.as_bytes())
            .expect("HMAC takes keys of any length");
        mac.update(TOKEN_CONTEXT);
        Self { mac }
    }

    /// Value of the `authorization` header of calls to `receiver`.
    pub fn authorization_header(&self, receiver: SocketAddr) -> http::HeaderValue {
        self.header(receiver)
            .parse()
            .expect("hexadecimal is a valid header value")
    }

    /// Whether an `authorization` header presented to `receiver` is right, in constant time.
    pub fn verify(&self, receiver: SocketAddr, presented: &[u8]) -> bool {
        self.header(receiver).as_bytes().ct_eq(presented).into()
    }

    fn header(&self, receiver: SocketAddr) -> String {
        let mut mac = self.mac.clone();
        mac.update(receiver.to_string().as_bytes());
        format!("Bearer {}", hex::encode(mac.finalize().into_bytes()))
    }
}
