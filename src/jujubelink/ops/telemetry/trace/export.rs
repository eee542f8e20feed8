//! Periodic export of spans over OTLP/HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Result, ensure};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::{Request, header};

use super::{Tracer, to_otlp_json};
use crate::ops::kernel::{Context, DrainPhase, Plugin, PluginEntry};
use crate::util::http::{Client, RequestOptions, collect_limited, full};

/// Interval between exports.
const EXPORT_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of spans per export; further ones wait for the next export.
const MAX_BATCH_SPANS: usize = 1024;

/// Timeout of an export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response that is read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

inventory::submit! { PluginEntry::new(|| Box::new(SpanExport)) }

struct SpanExport;

impl Plugin for SpanExport {
    fn name(&self) -> &'static str {
        "span_export"
    }

    fn start(&self, context: &Context) -> Result<()> {
        if let Some(exporter) = Exporter::new(context) {
            compio::runtime::spawn(async move { exporter.run().await }).detach();
        }
        Ok(())
    }

    fn drain(&self, context: &Context, phase: DrainPhase) -> LocalBoxFuture<'static, ()> {
        let exporter = Exporter::new(context).filter(|_| phase == DrainPhase::Close);
        async move {
            if let Some(exporter) = exporter {
                exporter.export().await;
            }
        }
        .boxed_local()
    }
}

struct Exporter {
    context: Context,
    collector: SocketAddr,
    http: Client,
}

impl Exporter {
    fn new(context: &Context) -> Option<Self> {
        let collector = context.settings().tracing.collector_address?;
        Some(Self {
            context: context.clone(),
            collector,
            http: Client::new(),
        })
    }

    async fn run(&self) {
        let mut ticks = self.context.timers().interval(EXPORT_PERIOD);
        loop {
            ticks.tick().await;
            self.export().await;
        }
    }

    /// Exports one batch. If that fails, the spans of the batch are dropped and counted.
    async fn export(&self) {
        let tracer: &Tracer = self.context.tracer();
        let spans = tracer.take_finished(MAX_BATCH_SPANS);
        let dropped = tracer.dropped();
        self.context.metrics().gauge("spans.dropped", dropped);
        if spans.is_empty() {
            return;
        }
        let instance = self.context.settings().instance.peer_address.to_string();
        let body = to_otlp_json(&instance, &spans).to_string();
        let sent = self
            .context
            .timers()
            .timeout(EXPORT_TIMEOUT, self.send(body))
            .await;
        let result =
            sent.unwrap_or_else(|| Err(anyhow::anyhow!("the collector did not respond in time")));
        match result {
            Ok(()) => self
                .context
                .metrics()
                .count("spans.exported", spans.len() as u64),
            Err(error) => {
                tracer.add_dropped(spans.len() as u64);
                self.http.close_address(self.collector);
                slog::warn!(self.context.log(), "cannot export spans";
                    "error" => format!("{error:#}"), "spans" => spans.len());
            }
        }
    }

    async fn send(&self, body: String) -> Result<()> {
        let request = Request::post("/v1/traces")
            .header(header::HOST, self.collector.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(full(body))?;
        let response = self
            .http
            .send(self.collector, request, RequestOptions::default())
            .await?;
        let status = response.status();
        let _ = collect_limited(response.into_body(), MAX_RESPONSE_BYTES).await;
        ensure!(
            status.is_success(),
            "the collector responded with status {status}"
        );
        Ok(())
    }
}
