//! Rate-limited log lines, and metrics of the engine's events.

use std::net;

use rosemaryusher_core::ids;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::log_event;
use serde::Serialize;

use crate::logs;
use crate::meters;

/// Maximum rate of lines about single streams, in lines per second.
///
/// Bounds the CPU time of logging on a balancer with a small share of a core and many new streams.
const MAX_LINES_PER_S: u64 = 30;

/// Maximum burst of such lines, so that the start of an incident is logged completely.
const MAX_LINE_BURST: u64 = 300;

/// Interval between notices of how many lines were suppressed, in milliseconds.
const SUPPRESSED_NOTICE_MS: u64 = 1_000;

/// A datagram that could not be decoded.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename = "malformed")]
pub(crate) struct MalformedDatagram {
    /// The sender.
    pub(crate) from: net::SocketAddr,
    /// The length in bytes.
    pub(crate) length: usize,
    /// Why it could not be decoded.
    pub(crate) problem: String,
}

/// Writes events as log lines, with a token bucket for those about single streams, and counts them
/// in metrics.
#[derive(Debug)]
pub(crate) struct EventLog {
    credit_ms: u64,
    refilled: ids::UnixMillis,
    suppressed_lines: u64,
    last_notice: ids::UnixMillis,
}

impl EventLog {
    /// Creates a log with a full token bucket.
    pub(crate) fn new(now: ids::UnixMillis) -> EventLog {
        let credit_ms = MAX_LINE_BURST * 1_000 / MAX_LINES_PER_S;
        EventLog { credit_ms, refilled: now, suppressed_lines: 0, last_notice: now }
    }

    /// Counts an event and writes its line, or counts the line as suppressed.
    pub(crate) fn write(&mut self, log_event: &log_event::StreamLogEvent, now: ids::UnixMillis) {
        count_event(log_event);
        if !log_event.is_state_change() && !self.take_line_credit(now) {
            self.suppressed_lines += 1;
            return;
        }
        if self.suppressed_lines > 0 && now.since(self.last_notice) >= SUPPRESSED_NOTICE_MS {
            self.last_notice = now;
            let suppressed_lines = std::mem::take(&mut self.suppressed_lines);
            logs::event(&serde_json::json!({ "event": "left_out", "lines": suppressed_lines }));
        }
        logs::event(log_event);
    }

    /// Writes a line about a malformed datagram, or counts the line as suppressed.
    pub(crate) fn write_malformed(&mut self, datagram: MalformedDatagram, now: ids::UnixMillis) {
        match self.take_line_credit(now) {
            true => logs::event(&datagram),
            false => self.suppressed_lines += 1,
        }
    }

    fn take_line_credit(&mut self, now: ids::UnixMillis) -> bool {
        let max_credit_ms = MAX_LINE_BURST * 1_000 / MAX_LINES_PER_S;
        self.credit_ms = (self.credit_ms + now.since(self.refilled)).min(max_credit_ms);
        self.refilled = now;
        let cost = 1_000 / MAX_LINES_PER_S;
        let has_credit = self.credit_ms >= cost;
        if has_credit {
            self.credit_ms -= cost;
        }
        has_credit
    }
}

/// Records a duration in its histogram.
pub(crate) fn record_timing(timing: stream::StreamTiming) {
    match timing {
        stream::StreamTiming::Opened(millis) => {
            metrics::histogram!(meters::STREAM_OPEN).record(seconds(millis));
        }
        stream::StreamTiming::Answered(millis) => {
            metrics::histogram!(meters::STREAM_ANSWER).record(seconds(millis));
        }
        stream::StreamTiming::Waited(millis) => {
            metrics::histogram!(meters::STREAM_WAIT).record(seconds(millis));
        }
    }
}

fn seconds(millis: u64) -> f64 {
    millis as f64 / 1_000.0
}

fn count_event(log_event: &log_event::StreamLogEvent) {
    match log_event {
        log_event::StreamLogEvent::Placed { .. } => {
            metrics::counter!("rosemaryusher_streams_placed_total").increment(1);
        }
        log_event::StreamLogEvent::Returned { reason, .. } => {
            metrics::counter!("rosemaryusher_streams_returned_total", "reason" => *reason)
                .increment(1);
        }
        log_event::StreamLogEvent::Reset { reason, .. } => {
            metrics::counter!("rosemaryusher_streams_reset_total", "reason" => reason.label())
                .increment(1);
        }
        log_event::StreamLogEvent::Searched { .. } => {
            metrics::counter!("rosemaryusher_streams_searched_total").increment(1);
        }
        log_event::StreamLogEvent::NotFound { .. } => {
            metrics::counter!("rosemaryusher_streams_not_found_total").increment(1);
        }
        log_event::StreamLogEvent::Accepted { .. } => {
            metrics::counter!("rosemaryusher_streams_accepted_total").increment(1);
        }
        log_event::StreamLogEvent::Unanswered { .. } => {
            metrics::counter!("rosemaryusher_streams_unanswered_total").increment(1);
        }
        log_event::StreamLogEvent::ConfigInForce { generation } => {
            metrics::gauge!("rosemaryusher_config_generation").set(generation.0 as f64);
        }
        log_event::StreamLogEvent::StoreRestored { to, .. } => {
            metrics::gauge!("rosemaryusher_store_epoch").set(to.0 as f64);
        }
        log_event::StreamLogEvent::EvacuationsChanged { data_centres, .. } => {
            metrics::gauge!("rosemaryusher_evacuated_data_centres").set(data_centres.len() as f64);
        }
        _ => {}
    }
}
