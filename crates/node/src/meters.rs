//! Metrics, in the text form of Prometheus.

use metrics_exporter_prometheus as exporter;

/// The upper bounds of latencies, in seconds: callers' aims are 0.15 to 0.8 s.
const LATENCY_BUCKETS: [f64; 11] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];

/// Renders the metrics of this process.
#[derive(Clone)]
pub struct MetricsPage {
    handle: exporter::PrometheusHandle,
}

/// Starts to collect the metrics of this process.
///
/// # Errors
///
/// Fails if that was done before.
pub fn start() -> eyre::Result<MetricsPage> {
    let recorder = exporter::PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS)
        .map_err(|error| eyre::eyre!("latency buckets: {error}"))?
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|_| eyre::eyre!("metrics started twice"))?;
    Ok(MetricsPage { handle })
}

impl MetricsPage {
    /// Files the latencies that have come in since the last time. Until then each takes memory, also
    /// where nobody reads the page.
    pub fn file_latencies(&self) {
        self.handle.run_upkeep();
    }

    /// The metrics as text.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}

/// Counts a packet that led to nothing.
pub fn count_drop(reason: &'static str) {
    metrics::counter!("rosemaryusher_dropped_total", "reason" => reason).increment(1);
}
