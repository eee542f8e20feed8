//! Client of the administration API.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use http::Method;
use serde_json::Value;

use super::{CommandError, ExitStatus};

/// Environment variable with the administration key.
const KEY_VARIABLE: &str = "JUJUBELINK_ADMIN_KEY";

/// Timeout of a request. A change makes several platform calls of up to 2 s each.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of attempts at a change whose response is lost. Retries are safe because they use
/// the same idempotency key.
const MAX_ATTEMPTS: u32 = 3;

/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Address and key for the administration API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionOptions {
    /// Administration address of an instance.
    pub address: SocketAddr,
    /// File with the key; if absent, the key is read from the environment.
    pub key_file: Option<PathBuf>,
}

/// Client for the administration API of one instance.
pub struct AdminClient {
    address: SocketAddr,
    key: String,
    http: cyper::Client,
}

impl AdminClient {
    /// Creates a client with the key from the key file or the environment.
    pub fn new(options: &ConnectionOptions) -> Result<Self, CommandError> {
        let key = match &options.key_file {
            Some(path) => std::fs::read_to_string(path)
                .with_context(|| format!("read the key file {}", path.display()))?,
            None => std::env::var(KEY_VARIABLE).map_err(|_| {
                let message = format!("set {KEY_VARIABLE} or pass --key-file");
                CommandError::new(ExitStatus::Unauthorized, message)
            })?,
        };
        let key = key.trim().to_owned();
        if key.is_empty() || !key.bytes().all(|byte| matches!(byte, b' '..=b'~')) {
            let message = "the administration key must be one line of ASCII characters";
            return Err(CommandError::new(ExitStatus::Unauthorized, message));
        }
        let http = cyper::Client::builder().no_proxy().build();
        Ok(Self {
            address: options.address,
            key,
            http: http.map_err(|error| CommandError::from(anyhow::Error::from(error)))?,
        })
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Result<Value, CommandError> {
        self.send(Method::GET, path, None, None).await
    }

    /// Sends a POST request that changes nothing.
    pub async fn query(&self, path: &str, body: &Value) -> Result<Value, CommandError> {
        self.send(Method::POST, path, Some(body), None).await
    }

    /// Sends a request that changes state. If no response arrives, the request is retried with the
    /// same idempotency key.
    pub async fn change(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, CommandError> {
        let key = format!("{:032x}", rand::random::<u128>());
        let mut unconfirmed = None;
        let mut attempts = 1;
        loop {
            let error = match self.send(method.clone(), path, body, Some(&key)).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let is_retryable = match error.status {
                ExitStatus::Incomplete => {
                    unconfirmed = Some(error.clone());
                    true
                }
                ExitStatus::Unreachable => true,
                _ => false,
            };
            if !is_retryable {
                return Err(error);
            }
            if attempts == MAX_ATTEMPTS {
                // An earlier attempt may have taken effect even if the last one certainly did not.
                return Err(unconfirmed.unwrap_or(error));
            }
            attempts += 1;
            compio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        idempotency_key: Option<&str>,
    ) -> Result<Value, CommandError> {
        let is_change = idempotency_key.is_some();
        let url = format!("http://{}{path}", self.address);
        let exchange = async {
            let mut request = self
                .http
                .request(method, url.as_str())?
                .bearer_auth(&self.key)?;
            if let Some(key) = idempotency_key {
                request = request.header("idempotency-key", key)?;
            }
            if let Some(body) = body {
                request = request
                    .header("content-type", "application/json")?
                    .body(body.to_string());
            }
            let response = request.send().await?;
            let status = response.status();
            Ok::<_, cyper::Error>((status.as_u16(), response.bytes().await?))
        };
        let (status, body) = compio::time::timeout(RESPONSE_TIMEOUT, exchange)
            .await
            .map_err(|_| self.no_response(is_change, "no answer in time"))?
            .map_err(|error| {
                let may_have_arrived = is_change && !is_connection_refused(&error);
                self.no_response(may_have_arrived, &error.to_string())
            })?;
        let body: Value = serde_json::from_slice(&body)
            .map_err(|error| self.no_response(is_change, &format!("unusable answer: {error}")))?;
        match status {
            200..300 => Ok(body),
            _ => Err(error_from_response(status, &body)),
        }
    }

    /// Error for a request without a usable response.
    fn no_response(&self, may_have_arrived: bool, reason: &str) -> CommandError {
        let address = self.address;
        if may_have_arrived {
            let message = format!("instance {address}: {reason}; the change may have been made");
            return CommandError::new(ExitStatus::Incomplete, message);
        }
        let message = format!("instance {address} cannot be reached: {reason}");
        CommandError::new(ExitStatus::Unreachable, message)
    }
}

/// Whether the connection was refused, so that the request was certainly not sent.
fn is_connection_refused(error: &cyper::Error) -> bool {
    let mut source: Option<&dyn std::error::Error> = Some(error);
    while let Some(error) = source {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        source = error.source();
    }
    false
}

/// Converts an error response, with its findings, to an error.
fn error_from_response(status: u16, body: &Value) -> CommandError {
    let error = &body["error"];
    let mut message = error["message"].as_str().unwrap_or("refused").to_owned();
    for finding in error["findings"].as_array().into_iter().flatten() {
        let text = |field: &str| finding[field].as_str().unwrap_or_default();
        let line = format!(
            "\n{}: {}: {}",
            text("severity"),
            text("path"),
            text("message")
        );
        message.push_str(&line);
    }
    let exit_status = match status {
        401 | 403 => ExitStatus::Unauthorized,
        409 => ExitStatus::Conflict,
        422 => ExitStatus::Findings,
        503 => ExitStatus::Unreachable,
        504 => ExitStatus::Incomplete,
        _ => ExitStatus::Failure,
    };
    CommandError::new(exit_status, message)
}

/// Percent-encodes a name as one path segment.
pub(super) fn encode_segment(name: &str) -> String {
    name.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}
