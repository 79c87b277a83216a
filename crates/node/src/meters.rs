//! Metrics, in the text form of Prometheus.

use metrics_exporter_prometheus as exporter;

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
    let recorder = exporter::PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|_| eyre::eyre!("metrics started twice"))?;
    Ok(MetricsPage { handle })
}

impl MetricsPage {
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
