//! Metrics that are asked for: counters, gauges and histograms as text.

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

/// Names that are kept; further ones are not counted.
const MAX_NAMES: usize = 2_048;

/// Largest time that a histogram tells apart, in milliseconds.
const MAX_TIME_MS: u64 = 600_000;

/// Significant digits of a histogram.
const DIGITS: u8 = 2;

/// Quantiles that are told of each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];

#[derive(Debug)]
enum Held {
    Counter(u64),
    Gauge(u64),
    Times {
        histogram: Histogram<u32>,
        sum_ms: u64,
    },
}

/// Metrics since the start of the process. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct ServedMetrics {
    held: Arc<Mutex<BTreeMap<String, Held>>>,
}

impl ServedMetrics {
    /// All metrics as text: one line for each counter, gauge and quantile.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let Ok(held) = self.held.lock() else {
            return text;
        };
        for (name, value) in held.iter() {
            // Writing to a string does not fail.
            let _ = match value {
                Held::Counter(value) | Held::Gauge(value) => writeln!(text, "{name} {value}"),
                Held::Times { histogram, sum_ms } => {
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

    /// Takes a metric in the statsd format, `name:value|kind`.
    fn take(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        let value: u64 = value.parse().ok()?;
        let name = name.replace(['.', '-'], "_");
        let mut held = self.held.lock().ok()?;
        if held.len() >= MAX_NAMES && !held.contains_key(&name) {
            return None;
        }
        match kind {
            "c" => match held.entry(name).or_insert(Held::Counter(0)) {
                Held::Counter(total) => *total += value,
                _ => return None,
            },
            "g" => drop(held.insert(name, Held::Gauge(value))),
            "ms" => {
                let histogram = Histogram::new_with_bounds(1, MAX_TIME_MS, DIGITS).ok()?;
                let new = Held::Times {
                    histogram,
                    sum_ms: 0,
                };
                match held.entry(name).or_insert(new) {
                    Held::Times { histogram, sum_ms } => {
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
        match self.take(metric) {
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
            .with_context(|| format!("listen for questions about metrics on {address}"))?;
        let log = context.log().clone();
        let answers = serve_listener(listener, MetricsHandler(served), move |error| {
            slog::warn!(log, "cannot accept a question about metrics"; "error" => %error);
        });
        compio::runtime::spawn(answers).detach();
        Ok(())
    }
}

#[derive(Clone)]
struct MetricsHandler(ServedMetrics);

impl Handler for MetricsHandler {
    fn handle(self, _request: Request<Incoming>) -> impl Future<Output = Response<Body>> + 'static {
        std::future::ready(Response::new(full(self.0.render())))
    }
}
