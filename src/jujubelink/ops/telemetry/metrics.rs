//! Metrics: pushed in the statsd format, or kept in memory and served over HTTP.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use super::ServedMetrics;
use anyhow::{Context, Result};
use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink};

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "jujubelink";

/// Records metrics. Clones share the socket or the memory.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    served: Option<ServedMetrics>,
}

impl Metrics {
    /// Returns a recorder that discards all metrics.
    pub fn disabled() -> Self {
        let client = StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink);
        Self {
            client: Arc::new(client),
            served: None,
        }
    }

    /// Returns a recorder that keeps the metrics in memory, to be served over HTTP.
    pub fn in_memory() -> Self {
        let served = ServedMetrics::default();
        Self {
            client: Arc::new(StatsdClient::from_sink(METRIC_PREFIX, served.clone())),
            served: Some(served),
        }
    }

    /// Returns the metrics in memory; `None` if they are sent or discarded instead.
    pub fn served(&self) -> Option<ServedMetrics> {
        self.served.clone()
    }

    /// Returns a recorder that sends the metrics as datagrams to a statsd server.
    pub fn new(address: SocketAddr) -> Result<Self> {
        let socket = UdpSocket::bind("0.0.0.0:0").context("bind the metrics socket")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).context("open the metrics sink")?;
        let client = StatsdClient::from_sink(METRIC_PREFIX, sink);
        Ok(Self {
            client: Arc::new(client),
            served: None,
        })
    }

    /// Adds to a counter. Errors are ignored, here and below, because metrics may be lost.
    pub fn count(&self, name: &str, by: u64) {
        let _ = self.client.count(name, by);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, value: Duration) {
        let _ = self.client.time(name, value);
    }
}
