//! HTTP client of the platform's object API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::core::ids::ObjectVersion;
use crate::util::http::{CallError, Client, ClientError, empty, full};

/// Timeout of a request to the platform.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response body: one page of objects of up to 1 MB each.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Failure of a request to the platform. Whether a write took effect is unknown unless
/// [`PlatformError::has_no_effect`] returns true.
#[derive(Debug, Display, Error)]
pub enum PlatformError {
    /// No response within the timeout.
    #[display("platform did not answer within {} ms", REQUEST_TIMEOUT.as_millis())]
    Timeout,
    /// The connection failed.
    #[display("platform cannot be reached")]
    Connection {
        /// Cause.
        source: ClientError,
    },
    /// The platform refused the request because of its rate limit or an outage; a write had no
    /// effect.
    #[display("platform refused with status {status}")]
    Refused {
        /// Status code.
        status: u16,
    },
    /// The response cannot be parsed.
    #[display("platform gave an unusable answer: {reason}")]
    InvalidResponse {
        /// Cause.
        reason: String,
    },
}

impl PlatformError {
    /// Whether a failed write certainly had no effect.
    pub fn has_no_effect(&self) -> bool {
        matches!(
            self,
            Self::Connection {
                source: ClientError::Connect { .. } | ClientError::Withheld { .. }
            } | Self::Refused { .. }
        )
    }
}

/// An object with its version.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoredObject {
    /// Key.
    pub key: String,
    /// Version; increases with each write.
    pub version: ObjectVersion,
    /// Value; null in a list if it cannot be decoded.
    pub value: serde_json::Value,
}

impl StoredObject {
    /// Deserializes the value.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        T::deserialize(&self.value).map_err(|error| PlatformError::InvalidResponse {
            reason: format!("object {}: {error}", self.key),
        })
    }
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Done {
        /// New version.
        version: ObjectVersion,
    },
    /// The object has a different version; nothing was written.
    Conflict {
        /// Current version; 0 if the object is absent.
        version: ObjectVersion,
    },
}

#[derive(Deserialize)]
struct VersionResponse {
    version: ObjectVersion,
}

#[derive(Deserialize)]
struct ListResponse<'a> {
    #[serde(borrow)]
    objects: Vec<&'a RawValue>,
}

/// The fields of an object without which it cannot be named.
#[derive(Deserialize)]
struct ObjectHead {
    key: String,
    version: ObjectVersion,
}

/// Decodes a list. An object whose value cannot be decoded stays in it, so that it counts as part of
/// its page. One whose key or version cannot be decoded is left out.
fn decode_list(body: &[u8]) -> Result<Vec<StoredObject>, PlatformError> {
    let text = String::from_utf8_lossy(body);
    let list: ListResponse<'_> =
        serde_json::from_str(&text).map_err(|error| invalid_response(error.to_string()))?;
    let decode = |raw: &RawValue| {
        serde_json::from_str(raw.get()).or_else(|_| {
            let head: ObjectHead = serde_json::from_str(raw.get())?;
            Ok::<_, serde_json::Error>(StoredObject {
                key: head.key,
                version: head.version,
                value: serde_json::Value::Null,
            })
        })
    };
    let objects = list.objects.into_iter();
    Ok(objects.filter_map(|raw| decode(raw).ok()).collect())
}

#[derive(Serialize)]
struct WriteBody<'a, T> {
    value: &'a T,
}

/// Client of the object API. Clones share their connections.
#[derive(Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    http: Client,
}

impl PlatformClient {
    /// Creates a client for the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            http: Client::new(),
        }
    }

    /// Reads an object; `Ok(None)` if it is absent.
    pub async fn read(&self, key: &str) -> Result<Option<StoredObject>, PlatformError> {
        let request = get(format!("/v1/objects/{key}"));
        let (status, body) = self.send(request, REQUEST_TIMEOUT).await?;
        match status {
            StatusCode::OK => parse(&body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(refused(status)),
        }
    }

    /// Writes an object if its version is `if_version`; 0 requires that it is absent.
    ///
    /// After an error for which [`PlatformError::has_no_effect`] returns false, the write may have
    /// taken effect; the caller must read the object back and compare its nonce.
    pub async fn write<T: Serialize>(
        &self,
        key: &str,
        if_version: ObjectVersion,
        value: &T,
    ) -> Result<WriteOutcome, PlatformError> {
        let body = serde_json::to_vec(&WriteBody { value }).map_err(|error| {
            PlatformError::InvalidResponse {
                reason: format!("encode object {key}: {error}"),
            }
        })?;
        let request = Request::builder()
            .method(Method::PUT)
            .uri(format!("/v1/objects/{key}?if_version={if_version}"))
            .header("content-type", "application/json")
            .body(full(body))
            .expect("a valid request");
        self.send_conditional(request).await
    }

    /// Deletes an object if its version is `if_version`.
    pub async fn delete(
        &self,
        key: &str,
        if_version: ObjectVersion,
    ) -> Result<WriteOutcome, PlatformError> {
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(format!("/v1/objects/{key}?if_version={if_version}"))
            .body(empty())
            .expect("a valid request");
        self.send_conditional(request).await
    }

    /// Lists objects whose keys start with `prefix` and sort after `after`.
    pub async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<StoredObject>, PlatformError> {
        let request = get(format!(
            "/v1/objects?prefix={prefix}&after={after}&limit={limit}"
        ));
        let (status, body) = self.send(request, REQUEST_TIMEOUT).await?;
        match status {
            StatusCode::OK => decode_list(&body),
            _ => Err(refused(status)),
        }
    }

    /// Waits up to `limit` for an object to have a version above `after_version`. Returns `None` if
    /// it did not change.
    pub async fn watch(
        &self,
        key: &str,
        after_version: ObjectVersion,
        limit: Duration,
    ) -> Result<Option<StoredObject>, PlatformError> {
        let timeout_ms = limit.as_millis();
        let request = get(format!(
            "/v1/watch?key={key}&after_version={after_version}&timeout_ms={timeout_ms}"
        ));
        let (status, body) = self.send(request, limit + REQUEST_TIMEOUT).await?;
        match status {
            StatusCode::OK => parse(&body).map(Some),
            StatusCode::NOT_MODIFIED => Ok(None),
            _ => Err(refused(status)),
        }
    }

    /// Reads the platform's list of instances as JSON.
    pub async fn instances(&self) -> Result<serde_json::Value, PlatformError> {
        let (status, body) = self
            .send(get("/v1/instances".to_owned()), REQUEST_TIMEOUT)
            .await?;
        match status {
            StatusCode::OK => parse(&body),
            _ => Err(refused(status)),
        }
    }

    async fn send_conditional(
        &self,
        request: Request<crate::util::http::Body>,
    ) -> Result<WriteOutcome, PlatformError> {
        let (status, body) = self.send(request, REQUEST_TIMEOUT).await?;
        match status {
            StatusCode::OK => Ok(WriteOutcome::Done {
                version: parse::<VersionResponse>(&body)?.version,
            }),
            StatusCode::CONFLICT => Ok(WriteOutcome::Conflict {
                version: parse::<VersionResponse>(&body)?.version,
            }),
            _ => Err(refused(status)),
        }
    }

    async fn send(
        &self,
        mut request: Request<crate::util::http::Body>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let host = self.address.to_string();
        let host = host.parse().expect("an address is a valid header value");
        request.headers_mut().insert(http::header::HOST, host);
        let call = self
            .http
            .call(self.address, request, limit, MAX_RESPONSE_BYTES);
        call.await.map_err(|error| match error {
            CallError::Failed(source) => PlatformError::Connection { source },
            CallError::Body(error) => invalid_response(error.to_string()),
            CallError::TooLarge => invalid_response("answer is too large".to_owned()),
            CallError::TimedOut => {
                // Pooled connections may be dead; the next request opens a new one.
                self.http.close_address(self.address);
                PlatformError::Timeout
            }
        })
    }
}

fn get(uri: String) -> Request<crate::util::http::Body> {
    Request::builder()
        .uri(uri)
        .body(empty())
        .expect("a valid request")
}

fn refused(status: StatusCode) -> PlatformError {
    PlatformError::Refused {
        status: status.as_u16(),
    }
}

fn invalid_response(reason: String) -> PlatformError {
    PlatformError::InvalidResponse { reason }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| invalid_response(error.to_string()))
}
