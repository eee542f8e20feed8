//! Control calls to a model engine: orders and status reports.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, Request, StatusCode};
use serde::Deserialize;
use serde_json::json;

use super::names::{EXPECT_TARGET, ORDER_PATH, REPORT_PATH};
use crate::core::ids::{Epoch, Incarnation, ModelId, TargetId};
use crate::core::rollout::OrderResult;
use crate::util::http::{Body, Client, ClientError, RequestOptions, collect_limited, empty, full};

/// Timeout of the response to an order or a status poll. Engines respond to both without delay.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

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
    })
}

/// What is known about a target from a new connection to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetStatus {
    /// Nothing accepts connections at the address.
    Refused,
    /// Something responded.
    Responded {
        /// Incarnation of the target that responded, if it states one.
        incarnation: Option<Incarnation>,
    },
    /// There was no response in time, or the connection failed in another way.
    Unknown,
}

/// Asks on a new connection whether a target lives.
pub async fn read_status(client: &Client, address: SocketAddr) -> TargetStatus {
    let request = Request::builder()
        .uri(REPORT_PATH)
        .header("host", address.to_string())
        .body(empty());
    let Ok(request) = request else {
        return TargetStatus::Unknown;
    };
    let options = RequestOptions::default().with_new_connection();
    let exchange = async {
        let response = client.send(address, request, options).await?;
        Ok(collect_limited(response.into_body(), MAX_RESPONSE_BYTES).await)
    };
    match compio::time::timeout(RESPONSE_TIMEOUT, exchange).await {
        Ok(Ok(body)) => {
            let body = body.ok().flatten().unwrap_or_default();
            let report: Option<Report> = serde_json::from_slice(&body).ok();
            TargetStatus::Responded {
                incarnation: report.map(|report| report.born).filter(|born| *born > 0),
            }
        }
        Ok(Err(error)) if ClientError::is_connection_refused(&error) => TargetStatus::Refused,
        _ => TargetStatus::Unknown,
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
