//! Control calls to a model engine: orders and status reports.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, Request, StatusCode};
use serde::Deserialize;
use serde_json::json;

use super::decode_response_head;
use super::names::{EXPECT_TARGET, ORDER_PATH, REPORT_PATH};
use crate::core::ids::{Epoch, Incarnation, ModelId, TargetId};
use crate::core::rollout::OrderResult;
use crate::util::http::{Body, Client, RequestOptions, collect_limited, empty, full};

/// Timeout of the response to an order or a status poll. Engines respond to both without delay.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay before a target is asked again whether it lives.
const STATUS_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// An order to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder {
    /// Engine that receives the order.
    pub target: TargetId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Model.
    pub model: ModelId,
    /// Version to load.
    pub version: u64,
    /// Instance that holds the order lease and sends the order.
    pub holder: String,
    /// Fencing token of the lease.
    pub epoch: Epoch,
    /// Number of orders that the engine must have accepted before this one.
    pub accepted_orders: u64,
}

/// Status of an engine, as of a few hundred milliseconds ago.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Number of orders accepted in this incarnation.
    pub accepted_orders: u64,
    /// Loaded weights versions, by model.
    pub weights: Vec<(ModelId, u64)>,
    /// Incarnation of the engine; 0 if unknown.
    pub incarnation: Incarnation,
    /// Highest fencing token that the engine has seen; 0 if it states none.
    pub highest_epoch: Epoch,
}

#[derive(Deserialize)]
struct Report {
    #[serde(default)]
    busy: bool,
    /// Number of accepted orders. In a target's entry the same name counts the writes of the entry.
    #[serde(default)]
    sequence: u64,
    #[serde(default)]
    models: Vec<ReportModel>,
    /// Incarnation of the engine.
    #[serde(default)]
    born: u64,
    /// Highest fencing token seen, under the name that it has in orders. A value of another type is ignored.
    #[serde(default)]
    fence: serde_json::Value,
}

#[derive(Deserialize)]
struct ReportModel {
    name: String,
    version: u64,
}

/// Sends an order to load weights. With the mode `wait`, running requests finish on the weights on
/// which they started.
pub async fn send_weights_order(client: &Client, order: &WeightsOrder) -> OrderResult {
    // On the wire, `fence` is the fencing token and `expected_rev` the number of accepted orders.
    let body = json!({ "op": "version", "model": &*order.model, "version": order.version,
        "mode": "wait", "holder": order.holder, "fence": order.epoch,
        "expected_rev": order.accepted_orders });
    let request = Request::builder()
        .method(Method::POST)
        .uri(ORDER_PATH)
        .header("host", order.address.to_string())
        .header("content-type", "application/json")
        .header(EXPECT_TARGET, &*order.target)
        .body(full(body.to_string()));
    let Ok(request) = request else {
        return OrderResult::Failed;
    };
    match call(client, order.address, request).await {
        Some((StatusCode::ACCEPTED, _)) => OrderResult::Accepted,
        Some((StatusCode::OK, _)) => OrderResult::Holds,
        Some((StatusCode::CONFLICT, _)) => OrderResult::Busy,
        _ => OrderResult::Failed,
    }
}

/// Requests the status of an engine. Returns `None` if there is no valid response.
pub async fn read_report(client: &Client, address: SocketAddr) -> Option<EngineReport> {
    let request = Request::builder()
        .uri(REPORT_PATH)
        .header("host", address.to_string())
        .body(empty())
        .ok()?;
    let (status, body) = call(client, address, request).await?;
    if status != StatusCode::OK {
        return None;
    }
    let report: Report = serde_json::from_slice(&body).ok()?;
    let weights = report.models.into_iter();
    Some(EngineReport {
        is_busy: report.busy,
        accepted_orders: report.sequence,
        weights: weights
            .map(|model| (model.name.into(), model.version))
            .collect(),
        incarnation: report.born,
        highest_epoch: report.fence.as_u64().unwrap_or(0),
    })
}

/// What a question to a target showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetStatus {
    /// Nothing accepts connections at the address.
    Refused,
    /// Something responded.
    Responded {
        /// Incarnation of the target that responded, if it states one.
        incarnation: Option<Incarnation>,
    },
    /// Another target responded that it is not the expected one.
    OtherTarget,
    /// There was no response in time, or the connection failed in another way.
    Unknown,
}

/// Asks whether a target lives. A response on a pooled connection proves as much as one on a new connection.
/// A failure on either is no proof that the target has ended: while a process ends, connections are accepted
/// and reset. The question is repeated until [`RESPONSE_TIMEOUT`].
pub async fn read_status(client: &Client, address: SocketAddr, target: &TargetId) -> TargetStatus {
    let status = async {
        let mut options = RequestOptions::default();
        loop {
            match read_status_once(client, address, target, options).await {
                TargetStatus::Unknown => options = options.with_new_connection(),
                status => return status,
            }
            compio::time::sleep(STATUS_RETRY_DELAY).await;
        }
    };
    let status = compio::time::timeout(RESPONSE_TIMEOUT, status).await;
    status.unwrap_or(TargetStatus::Unknown)
}

/// Asks once whether a target lives.
async fn read_status_once(
    client: &Client,
    address: SocketAddr,
    target: &TargetId,
    options: RequestOptions,
) -> TargetStatus {
    let request = Request::builder()
        .uri(REPORT_PATH)
        .header("host", address.to_string())
        .header(EXPECT_TARGET, &**target)
        .body(empty());
    let Ok(request) = request else {
        return TargetStatus::Unknown;
    };
    let response = match client.send(address, request, options).await {
        Ok(response) => response,
        Err(error) if error.is_connection_refused() => return TargetStatus::Refused,
        Err(_) => return TargetStatus::Unknown,
    };
    let head = decode_response_head(response.status().as_u16(), response.headers());
    let is_expected = head.target.as_deref() == Some(&**target);
    if response.status() == StatusCode::MISDIRECTED_REQUEST && !is_expected {
        return TargetStatus::OtherTarget;
    }
    // A report that breaks off does not tell which incarnation began it.
    match collect_limited(response.into_body(), MAX_RESPONSE_BYTES).await {
        Ok(body) => {
            let report: Option<Report> = serde_json::from_slice(&body.unwrap_or_default()).ok();
            TargetStatus::Responded {
                incarnation: report.map(|report| report.born).filter(|born| *born > 0),
            }
        }
        Err(_) => TargetStatus::Unknown,
    }
}

/// Sends a control call. Returns `None` if there is no complete response in time.
async fn call(
    client: &Client,
    address: SocketAddr,
    request: Request<Body>,
) -> Option<(StatusCode, bytes::Bytes)> {
    let response = client.call(address, request, RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES);
    response.await.ok()
}
