//! Calls whose complete response is buffered.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{Request, StatusCode};

use super::body::{Body, BodyError, collect_limited};
use super::client::{Client, ClientError, RequestOptions};

/// Failure of a call.
#[derive(Debug)]
pub enum CallError {
    /// No response head was received.
    Failed(ClientError),
    /// Reading the response body failed.
    Body(BodyError),
    /// The response body is larger than the limit.
    TooLarge,
    /// The response was not complete within the timeout.
    TimedOut,
}

impl Client {
    /// Sends a request and reads the complete response, with a body of at most `limit_bytes`, within
    /// `timeout`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        timeout: Duration,
        limit_bytes: usize,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let call = self.call_with_head(address, request, timeout, limit_bytes);
        let (head, body) = call.await?;
        Ok((head.status, body))
    }

    /// [`Self::call`] that also returns the headers of the response.
    pub async fn call_with_head(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        timeout: Duration,
        limit_bytes: usize,
    ) -> Result<(Parts, Bytes), CallError> {
        let exchange = async {
            let response = self
                .send(address, request, RequestOptions::default())
                .await
                .map_err(CallError::Failed)?;
            let (head, body) = response.into_parts();
            let body = collect_limited(body, limit_bytes)
                .await
                .map_err(CallError::Body)?
                .ok_or(CallError::TooLarge)?;
            Ok((head, body))
        };
        compio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(CallError::TimedOut))
    }
}
