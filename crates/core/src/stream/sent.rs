//! Detection of retransmissions by a caller.

use crate::ids;
use crate::stream::segment;

/// The age from which on a repeated segment counts as a retransmission, in milliseconds; callers
/// retransmit after 200 ms, and the network may duplicate a segment before.
const RETRANSMISSION_MS: u64 = 150;

/// The last segment with new data that a caller sent on a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LastSentSegment {
    sequence: u32,
    acknowledged: u32,
    first_sent: ids::UnixMillis,
}

impl LastSentSegment {
    /// Records a segment in `last`; returns whether it retransmits data that is still unacknowledged.
    pub fn update(
        last: &mut Option<LastSentSegment>,
        head: &segment::SegmentHeader,
        now: ids::UnixMillis,
    ) -> bool {
        let segment::SegmentHeader { sequence, acknowledged, .. } = *head;
        match last {
            _ if head.length == 0 => false,
            Some(sent) if (sent.sequence, sent.acknowledged) == (sequence, acknowledged) => {
                now.since(sent.first_sent) >= RETRANSMISSION_MS
            }
            last => {
                *last = Some(LastSentSegment { sequence, acknowledged, first_sent: now });
                false
            }
        }
    }
}
