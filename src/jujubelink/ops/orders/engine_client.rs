//! Client of the engines' control interface: reads the status and sends orders.

use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use http::{Request, StatusCode};
use serde_json::json;

use crate::core::config::Target;
use crate::core::ids::Epoch;
use crate::core::orders::{EngineStatus, ORDER_TIMEOUT, OrderKind, OrderPlan};
use crate::util::http::{Body, Client, RequestOptions, collect_limited, empty, full};

/// Timeout of reading an engine's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Response of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine executes the order.
    Accepted,
    /// The engine rejected the order because it has seen a higher fencing token.
    StaleFence,
}

/// Client of the engines' control interface.
#[derive(Clone, Default)]
pub struct EngineControlClient {
    http: Client,
}

impl EngineControlClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads the current status of an engine.
    pub async fn read_status(&self, target: &Target) -> Result<EngineStatus> {
        let request = request(target, Request::get("/v1/load")).body(empty())?;
        let options = RequestOptions::default();
        let (status, body) = self.send(target, request, STATUS_TIMEOUT, options).await?;
        if status != StatusCode::OK {
            bail!("engine responded with status {status}");
        }
        serde_json::from_slice(&body).context("invalid engine status")
    }

    /// Sends an order with `epoch` as the fencing token. Uses a new connection, which is closed at
    /// the end of the call, so that no part of the order arrives after [`ORDER_TIMEOUT`].
    pub async fn send_order(
        &self,
        target: &Target,
        plan: &OrderPlan,
        epoch: Epoch,
    ) -> Result<OrderResponse> {
        let kind = match plan.kind {
            OrderKind::Load => "load",
            OrderKind::Unload => "unload",
        };
        let body = json!({ "fence": epoch, "order_id": plan.order_id, "kind": kind,
            "model": plan.model, "weights_version": plan.weights_version });
        let request = request(target, Request::post("/v1/orders"))
            .header("content-type", "application/json")
            .header("connection", "close")
            .body(full(body.to_string()))?;
        let options = RequestOptions::default().with_new_connection();
        let (status, _) = self.send(target, request, ORDER_TIMEOUT, options).await?;
        match status {
            StatusCode::OK => Ok(OrderResponse::Accepted),
            StatusCode::CONFLICT => Ok(OrderResponse::StaleFence),
            status => bail!("engine responded with status {status}"),
        }
    }

    async fn send(
        &self,
        target: &Target,
        request: Request<Body>,
        limit: Duration,
        options: RequestOptions,
    ) -> Result<(StatusCode, bytes::Bytes)> {
        let exchange = async {
            let response = self.http.send(target.address, request, options).await?;
            let status = response.status();
            let body = collect_limited(response.into_body(), MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| anyhow::anyhow!(error))?
                .context("engine response is too large")?;
            Ok((status, body))
        };
        match compio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => {
                self.http.close_address(target.address);
                bail!("no response within {} ms", limit.as_millis())
            }
        }
    }
}

fn request(target: &Target, builder: http::request::Builder) -> http::request::Builder {
    let builder = builder.header("host", target.address.to_string());
    match &target.credential {
        Some(credential) => builder.header("authorization", format!("Bearer {credential}")),
        None => builder,
    }
}
