//! Calls to a model engine besides requests.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, Request, StatusCode};
use serde::Deserialize;
use serde_json::json;

use super::names::{EXPECT_TARGET, ORDER_PATH, REPORT_PATH};
use crate::core::ids::{Epoch, Incarnation, ModelId, TargetId};
use crate::core::rollout::OrderResult;
use crate::util::http::{Body, Client, empty, full};

/// Time for the answer to an order or a question. Engines answer both at once.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest report.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// An order to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder {
    /// Engine.
    pub target: TargetId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Model.
    pub model: ModelId,
    /// Version to load.
    pub version: u64,
    /// Machine that gives the order.
    pub holder: String,
    /// Fencing number of the holder.
    pub epoch: Epoch,
    /// Orders that the engine must have accepted before.
    pub accepted_orders: u64,
}

/// What an engine reports, as of some hundred milliseconds ago.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Orders accepted in this run.
    pub accepted_orders: u64,
    /// Weights by model.
    pub weights: Vec<(ModelId, u64)>,
    /// Run of the engine; 0 if unknown.
    pub incarnation: Incarnation,
}

#[derive(Deserialize)]
struct Report {
    #[serde(default)]
    busy: bool,
    /// Orders accepted; in a target's entry the same name counts the writes of the entry.
    #[serde(default)]
    sequence: u64,
    #[serde(default)]
    models: Vec<ReportModel>,
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize)]
struct ReportModel {
    name: String,
    version: u64,
}

/// Gives an order. `wait` lets runs finish on the weights that they began with.
pub async fn send_weights_order(client: &Client, order: &WeightsOrder) -> OrderResult {
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

/// Asks an engine for its state; `None` without a usable answer.
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

async fn call(
    client: &Client,
    address: SocketAddr,
    request: Request<Body>,
) -> Option<(StatusCode, bytes::Bytes)> {
    let answer = client.call(address, request, ANSWER_TIMEOUT, MAX_REPORT_BYTES);
    answer.await.ok()
}
