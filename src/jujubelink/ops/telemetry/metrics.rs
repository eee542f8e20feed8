//! Metrics: sent in the statsd format, or served when they are asked for.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use super::ServedMetrics;
use anyhow::{Context, Result};
use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink};

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "jujubelink";

/// Sends or keeps metrics; clones share the socket.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    served: Option<ServedMetrics>,
}

impl Metrics {
    /// Metrics that are not sent anywhere.
    pub fn disabled() -> Self {
        let client = StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink);
        Self {
            client: Arc::new(client),
            served: None,
        }
    }

    /// Metrics that are kept until they are asked for.
    pub fn in_memory() -> Self {
        let served = ServedMetrics::default();
        Self {
            client: Arc::new(StatsdClient::from_sink(METRIC_PREFIX, served.clone())),
            served: Some(served),
        }
    }

    /// The metrics that are kept.
    pub fn served(&self) -> Option<ServedMetrics> {
        self.served.clone()
    }

    /// Metrics sent as datagrams to a statsd address.
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

    /// Adds to a counter.
    pub fn count(&self, name: &str, by: u64) {
        // A lost datagram is not worth an error.
        let _ = self.client.count(name, by);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a time.
    pub fn time(&self, name: &str, value: Duration) {
        let _ = self.client.time(name, value);
    }
}
