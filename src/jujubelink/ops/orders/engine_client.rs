//! Reports of engines and orders to them.

use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use http::{Request, StatusCode};
use serde_json::json;

use crate::core::config::Target;
use crate::core::ids::Epoch;
use crate::core::orders::{EngineStatus, ORDER_TIMEOUT, OrderKind, OrderPlan};
use crate::util::http::{Body, Client, RequestOptions, collect_limited, empty, full};

/// Time for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// How an engine took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// It carries the order out.
    Accepted,
    /// It has seen a larger fencing number.
    StaleFence,
}

/// Client of the engines' control interface.
#[derive(Clone, Default)]
pub struct EngineControlClient {
    http: Client,
}

impl EngineControlClient {
    /// A client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// The engine's report.
    pub async fn report(&self, target: &Target) -> Result<EngineStatus> {
        let request = request(target, Request::get("/v1/load")).body(empty())?;
        let options = RequestOptions::default();
        let (status, body) = self.send(target, request, REPORT_TIMEOUT, options).await?;
        if status != StatusCode::OK {
            bail!("the engine answered with status {status}");
        }
        serde_json::from_slice(&body).context("the engine's report")
    }

    /// Sends an order under a fencing number. The connection is new and ends with the call, so that
    /// no part of the order arrives after [`ORDER_TIMEOUT`].
    pub async fn order(
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
            status => bail!("the engine answered with status {status}"),
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
                .context("the engine's answer is too large")?;
            Ok((status, body))
        };
        match compio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => {
                self.http.close_address(target.address);
                bail!("no answer within {} ms", limit.as_millis())
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
