//! Counts of messages between processes and of their bytes, by direction and kind.

use rosemaryusher_core::ids;
use rosemaryusher_core::stream::message;

/// Interval between additions of the counts to the metrics, in milliseconds: a metric lookup costs
/// as much as a message, so counts are accumulated.
const FLUSH_INTERVAL_MS: u64 = 1_000;

/// The direction of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MessageDirection {
    /// To another process.
    Sent,
    /// From another process.
    Received,
}

impl MessageDirection {
    const ALL: [MessageDirection; 2] = [MessageDirection::Sent, MessageDirection::Received];

    fn label(self) -> &'static str {
        match self {
            MessageDirection::Sent => "sent",
            MessageDirection::Received => "taken",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct MessageCount {
    messages: u64,
    bytes: u64,
}

/// Counts since the last addition to the metrics.
#[derive(Debug, Default)]
pub(crate) struct MessageCounters {
    counts: [[MessageCount; message::MessageKind::ALL.len()]; MessageDirection::ALL.len()],
    last_flush: ids::UnixMillis,
}

impl MessageCounters {
    pub(crate) fn record(
        &mut self,
        direction: MessageDirection,
        kind: message::MessageKind,
        bytes: usize,
    ) {
        let count = &mut self.counts[direction as usize][kind as usize];
        count.messages += 1;
        count.bytes += bytes as u64;
    }

    /// Adds the counts to the metrics if [`FLUSH_INTERVAL_MS`] has passed.
    pub(crate) fn flush_if_due(&mut self, now: ids::UnixMillis) {
        if now.since(self.last_flush) < FLUSH_INTERVAL_MS {
            return;
        }
        self.last_flush = now;
        for direction in MessageDirection::ALL {
            for kind in message::MessageKind::ALL {
                let count = std::mem::take(&mut self.counts[direction as usize][kind as usize]);
                if count.messages > 0 {
                    add_to_metrics(direction, kind, count);
                }
            }
        }
    }
}

fn add_to_metrics(direction: MessageDirection, kind: message::MessageKind, count: MessageCount) {
    let (direction, kind) = (direction.label(), kind.label());
    metrics::counter!("rosemaryusher_messages_total", "way" => direction, "kind" => kind)
        .increment(count.messages);
    metrics::counter!("rosemaryusher_message_bytes_total", "way" => direction, "kind" => kind)
        .increment(count.bytes);
}
