//! Metrics endpoint: counters, gauges and histograms, served as text over HTTP.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::future::Future;
use std::io;
use std::sync::{Arc, Mutex};

use anyhow::{Context as _, Result};
use cadence::MetricSink;
use hdrhistogram::Histogram;
use http::{Request, Response};
use hyper::body::Incoming;

use crate::ops::kernel::{Context, Plugin, PluginEntry};
use crate::util::http::{Body, Handler, full, serve_listener};
use crate::util::net::Listener;

/// Maximum number of metrics; further ones are not recorded.
const MAX_METRICS: usize = 2_048;

/// Largest value of a histogram, in milliseconds; longer durations are recorded as this value.
const MAX_TIME_MS: u64 = 600_000;

/// Precision of a histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Quantiles served for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];

/// Current value of a metric.
#[derive(Debug)]
enum Metric {
    Counter(u64),
    Gauge(u64),
    Durations {
        histogram: Histogram<u32>,
        sum_ms: u64,
    },
}

/// Metrics since the start of the process. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct ServedMetrics {
    metrics: Arc<Mutex<BTreeMap<String, Metric>>>,
}

impl ServedMetrics {
    /// Returns all metrics as text: one line for each counter, gauge, quantile, sum and count.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let Ok(metrics) = self.metrics.lock() else {
            return text;
        };
        for (name, value) in metrics.iter() {
            // Writing to a string does not fail.
            let _ = match value {
                Metric::Counter(value) | Metric::Gauge(value) => writeln!(text, "{name} {value}"),
                Metric::Durations { histogram, sum_ms } => {
                    for quantile in QUANTILES {
                        let value = histogram.value_at_quantile(quantile);
                        let _ = writeln!(text, "{name}{{quantile=\"{quantile}\"}} {value}");
                    }
                    let _ = writeln!(text, "{name}_sum {sum_ms}");
                    writeln!(text, "{name}_count {}", histogram.len())
                }
            };
        }
        text
    }

    /// Records a metric in the statsd format `name:value|kind`. Returns `None` if it is invalid or
    /// exceeds the number of metrics.
    fn record(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        let value: u64 = value.parse().ok()?;
        let name = name.replace(['.', '-'], "_");
        let mut metrics = self.metrics.lock().ok()?;
        if metrics.len() >= MAX_METRICS && !metrics.contains_key(&name) {
            return None;
        }
        match kind {
            "c" => match metrics.entry(name).or_insert(Metric::Counter(0)) {
                Metric::Counter(total) => *total += value,
                _ => return None,
            },
            "g" => drop(metrics.insert(name, Metric::Gauge(value))),
            "ms" => {
                let histogram =
                    Histogram::new_with_bounds(1, MAX_TIME_MS, SIGNIFICANT_DIGITS).ok()?;
                let new = Metric::Durations {
                    histogram,
                    sum_ms: 0,
                };
                match metrics.entry(name).or_insert(new) {
                    Metric::Durations { histogram, sum_ms } => {
                        histogram.saturating_record(value);
                        *sum_ms += value;
                    }
                    _ => return None,
                }
            }
            _ => return None,
        }
        Some(())
    }
}

impl MetricSink for ServedMetrics {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        match self.record(metric) {
            Some(()) => Ok(metric.len()),
            None => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

inventory::submit! { PluginEntry::new(|| Box::new(ServedMetricsPlugin)) }

struct ServedMetricsPlugin;

impl Plugin for ServedMetricsPlugin {
    fn name(&self) -> &'static str {
        "served-metrics"
    }

    fn start(&self, context: &Context) -> Result<()> {
        let (Some(address), Some(served)) = (
            context.settings().metrics.listen_address,
            context.metrics().served(),
        ) else {
            return Ok(());
        };
        let listener = Listener::bind(address)
            .with_context(|| format!("bind the metrics endpoint to {address}"))?;
        let log = context.log().clone();
        let server = serve_listener(listener, MetricsHandler(served), move |error| {
            slog::warn!(log, "cannot accept a connection to the metrics endpoint"; "error" => %error);
        });
        compio::runtime::spawn(server).detach();
        Ok(())
    }
}

/// Responds to every request with all metrics.
#[derive(Clone)]
struct MetricsHandler(ServedMetrics);

impl Handler for MetricsHandler {
    fn handle(self, _request: Request<Incoming>) -> impl Future<Output = Response<Body>> + 'static {
        std::future::ready(Response::new(full(self.0.render())))
    }
}
