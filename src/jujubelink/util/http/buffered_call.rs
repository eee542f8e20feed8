//! Short calls: one request and its whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};

use super::body::{Body, BodyError, collect_limited};
use super::client::{Client, ClientError, RequestOptions};

/// Why a call has no answer.
#[derive(Debug)]
pub enum CallError {
    /// No answer began.
    Failed(ClientError),
    /// The answer broke off.
    Body(BodyError),
    /// The answer is larger than the limit.
    TooLarge,
    /// The answer was not whole in time.
    TimedOut,
}

impl Client {
    /// Sends a request and reads the whole answer of at most `limit_bytes` within `limit`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limit: Duration,
        limit_bytes: usize,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let exchange = async {
            let response = self
                .send(address, request, RequestOptions::default())
                .await
                .map_err(CallError::Failed)?;
            let status = response.status();
            let body = collect_limited(response.into_body(), limit_bytes)
                .await
                .map_err(CallError::Body)?
                .ok_or(CallError::TooLarge)?;
            Ok((status, body))
        };
        compio::time::timeout(limit, exchange)
            .await
            .unwrap_or(Err(CallError::TimedOut))
    }
}
