//! Metrics, in the text format of Prometheus.
//!
//! The recorder must not read a clock that calibrates itself on first use: that can block a starting
//! process for up to 200 ms.

use metrics_prometheus as recorder;

/// The time from an opening to the backend server's response.
pub const STREAM_OPEN: &str = "rosemaryusher_stream_open_seconds";

/// The time from the last data of a request to the first data of its response.
pub const STREAM_ANSWER: &str = "rosemaryusher_stream_answer_seconds";

/// The time that an opening waits for a slot.
pub const STREAM_WAIT: &str = "rosemaryusher_stream_wait_seconds";

/// The upper bounds of latency buckets in seconds; callers aim at 0.15 to 0.8 s.
const LATENCY_BUCKETS: [f64; 11] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];

/// The metrics of this process.
#[derive(Clone)]
pub struct MetricsRegistry {
    registry: prometheus::Registry,
}

/// Installs the recorder of this process's metrics.
///
/// # Errors
///
/// Fails if a recorder is already installed, or if a histogram is invalid.
pub fn start() -> eyre::Result<MetricsRegistry> {
    let recorder = recorder::Recorder::builder()
        .try_with_metric(latency(STREAM_OPEN, "from an opening to its answer")?)?
        .try_with_metric(latency(STREAM_ANSWER, "from a request's last data to its answer")?)?
        .try_with_metric(latency(
            STREAM_WAIT,
            "of an opening for a slot, until it was handed over",
        )?)?
        .try_build_and_install()
        .map_err(|_| eyre::eyre!("a metrics recorder is already installed"))?;
    Ok(MetricsRegistry { registry: recorder.registry().clone() })
}

fn latency(name: &str, help: &str) -> prometheus::Result<prometheus::Histogram> {
    let options = prometheus::HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    prometheus::Histogram::with_opts(options)
}

impl MetricsRegistry {
    /// Renders the metrics as text.
    pub fn render(&self) -> String {
        let text = prometheus::TextEncoder::new().encode_to_string(&self.registry.gather());
        text.unwrap_or_else(|error| {
            log::error!("cannot render the metrics: {error}");
            String::new()
        })
    }
}

/// Counts a dropped packet or log line.
pub fn count_drop(reason: &'static str) {
    metrics::counter!("rosemaryusher_dropped_total", "reason" => reason).increment(1);
}
