//! The streams of one backend server, and its work in progress.
//!
//! Both are derived from segment headers: data sent to the backend server and not yet answered is a
//! request that runs or waits there. Since the count follows what the backend server accepts and
//! answers, it returns to zero after any overload.

use std::collections;
use std::collections::hash_map;
use std::net;

use crate::ids;
use crate::stream::moving_average;
use crate::stream::segment;

/// How long an accepted stream counts as work before its first request, in milliseconds, until the
/// first measurement.
const DEFAULT_REQUEST_WAIT_MS: f64 = 40.0;

/// The bounds of that time once there are measurements, in milliseconds. Meanwhile a slot is reserved
/// for a caller that may have given up.
const MIN_REQUEST_WAIT_MS: f64 = 20.0;
const MAX_REQUEST_WAIT_MS: f64 = 400.0;

/// The factor on the mean delay of first requests after which a first request is late.
const REQUEST_WAIT_FACTOR: f64 = 4.0;

/// How long an unanswered request counts as work, in milliseconds; longer than callers' deadlines.
const WORK_LIMIT_MS: u64 = 5_000;

/// How long an ended stream is kept for its last segments, in milliseconds.
const ENDED_MS: u64 = 3_000;

/// How long an unanswered opening is kept, in milliseconds; callers give up after 1.4 s.
pub const OPENING_MS: u64 = 2_000;

/// How far a caller may be ahead of what the agent has counted, in bytes: 16 full segments, which is what a
/// backend server may have in flight.
const MAX_IN_FLIGHT_BYTES: u32 = 16 * 1_200;

/// The phase of a stream, which determines whether it counts as work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkPhase {
    /// The opening was delivered and not yet answered.
    Opening,
    /// The stream is open, and its first request has not arrived.
    AwaitingRequest,
    /// A request runs or waits.
    Working,
    /// The last request has been answered.
    Idle,
    /// Both ends have closed the stream, or one has reset it.
    Ended,
}

impl WorkPhase {
    fn is_busy(self) -> bool {
        matches!(self, WorkPhase::Opening | WorkPhase::AwaitingRequest | WorkPhase::Working)
    }
}

/// One stream.
#[derive(Clone, Debug)]
pub struct HostStream {
    /// Its phase.
    pub phase: WorkPhase,
    /// The backend server's initial sequence number, if the agent saw it.
    pub first_sequence: Option<u32>,
    /// How many bytes the backend server has sent since the agent saw that number.
    sent_bytes: u32,
    /// The sequence number that the caller expects next, which a reset must carry to be accepted.
    pub caller_expects: u32,
    /// The balancer that its last segment came through.
    pub balancer: net::SocketAddrV4,
    /// The opening, until it is answered.
    pub opening: Vec<u8>,
    opened: ids::UnixMillis,
    /// Whether its opening passed through this run of the agent.
    pub is_opened_by_this_agent: bool,
    /// Whether it is known only from a balancer's search.
    pub is_only_probed: bool,
    /// Since when it has been in its phase.
    since: ids::UnixMillis,
    last_segment: ids::UnixMillis,
    /// Whether the backend server has sent a segment, which proves that it holds the stream.
    is_confirmed: bool,
    ended_by_caller: bool,
    ended_by_host: bool,
}

/// What a segment of the backend server shows about its stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HostSegmentOutcome {
    /// Whether it is the first segment, which proves that the backend server holds the stream.
    pub confirms_stream: bool,
    /// The time until the opening was answered, if this is the answer.
    pub opened_ms: Option<u64>,
    /// The time until the last request was answered, if this is the start of the answer.
    pub answered_ms: Option<u64>,
    /// Whether the backend server broke off a request without an answer.
    pub is_failure: bool,
}

/// The streams of one backend server.
#[derive(Debug, Default)]
pub struct HostStreams {
    /// The mean time from the acceptance of a stream to its first request.
    request_after_ms: moving_average::MovingAverage,
    streams: collections::HashMap<segment::StreamKey, HostStream, foldhash::fast::FixedState>,
    busy: u32,
    open: u32,
    unanswered: collections::VecDeque<(ids::UnixMillis, segment::StreamKey)>,
}

impl HostStream {
    /// Whether there is evidence here that the backend server holds it.
    fn is_known(&self) -> bool {
        self.is_opened_by_this_agent || self.is_confirmed
    }

    /// Whether a caller that expects `caller_expects` has accepted this backend server's answer.
    ///
    /// A caller cannot expect more than the backend server has sent. That is known only of a stream that
    /// this run of the agent has seen from its first opening on, as all since `seen_from`; otherwise any
    /// number that a stream can reach counts.
    pub fn matches(&self, caller_expects: u32, seen_from: ids::UnixMillis) -> bool {
        let Some(first) = self.first_sequence else { return true };
        let received = caller_expects.wrapping_sub(first.wrapping_add(1));
        let is_seen_whole = self.is_opened_by_this_agent && self.opened >= seen_from;
        match is_seen_whole {
            true => received <= self.sent_bytes + MAX_IN_FLIGHT_BYTES,
            false => segment::is_within_stream(first, caller_expects),
        }
    }
}

impl HostStreams {
    /// Records the delivery of an opening.
    pub fn open(
        &mut self,
        key: segment::StreamKey,
        balancer: net::SocketAddrV4,
        opening: &[u8],
        now: ids::UnixMillis,
    ) {
        match self.streams.get_mut(&key) {
            Some(stream) if stream.phase != WorkPhase::Ended => {
                stream.last_segment = now;
                stream.balancer = balancer;
            }
            _ => {
                self.remove(key);
                let stream = HostStream {
                    opening: opening.to_vec(),
                    is_opened_by_this_agent: true,
                    ..stream_at(balancer, now)
                };
                self.streams.insert(key, stream);
                self.busy += 1;
                self.open += 1;
                self.unanswered.push_back((now, key));
            }
        }
    }

    /// Records a caller's segment other than an opening.
    pub fn on_caller_segment(
        &mut self,
        key: segment::StreamKey,
        head: &segment::SegmentHeader,
        balancer: net::SocketAddrV4,
        now: ids::UnixMillis,
    ) {
        let stream = self
            .streams
            .entry(key)
            .or_insert_with(|| HostStream { phase: WorkPhase::Idle, ..stream_at(balancer, now) });
        stream.last_segment = now;
        stream.balancer = balancer;
        stream.is_only_probed = false;
        stream.caller_expects = head.acknowledged;
        stream.ended_by_caller |= head.flags.ends;
        let next = match stream.phase {
            _ if head.flags.resets => WorkPhase::Ended,
            WorkPhase::Ended => WorkPhase::Ended,
            _ if head.length > 0 => WorkPhase::Working,
            _ if stream.ended_by_caller && stream.ended_by_host => WorkPhase::Ended,
            phase => phase,
        };
        let is_first = (stream.phase, next) == (WorkPhase::AwaitingRequest, WorkPhase::Working);
        let elapsed_ms = now.since(stream.since) as f64;
        self.busy = change_phase(stream, next, self.busy, now);
        if is_first {
            self.request_after_ms.add_sample(elapsed_ms);
        }
    }

    /// Records a caller's segment of a stream that the backend server may not hold.
    ///
    /// Most of these are returned. They don't count as work, or searches for the streams of a dead run
    /// would make every host look full.
    pub fn on_probe_segment(
        &mut self,
        key: segment::StreamKey,
        head: &segment::SegmentHeader,
        balancer: net::SocketAddrV4,
        now: ids::UnixMillis,
    ) {
        match self.streams.entry(key) {
            hash_map::Entry::Occupied(held) if held.get().is_only_probed => {}
            hash_map::Entry::Occupied(_) => self.on_caller_segment(key, head, balancer, now),
            hash_map::Entry::Vacant(place) => {
                place.insert(HostStream {
                    phase: WorkPhase::Idle,
                    is_only_probed: true,
                    caller_expects: head.acknowledged,
                    ended_by_caller: head.flags.ends,
                    ..stream_at(balancer, now)
                });
            }
        }
    }

    /// Records a segment of the backend server.
    pub fn on_host_segment(
        &mut self,
        key: segment::StreamKey,
        head: &segment::SegmentHeader,
        now: ids::UnixMillis,
    ) -> HostSegmentOutcome {
        let Some(stream) = self.streams.get_mut(&key) else {
            // Opened under an earlier run of the agent; a reset needs no entry.
            if !head.flags.resets {
                let unknown_balancer = net::SocketAddrV4::new(net::Ipv4Addr::UNSPECIFIED, 0);
                let stream = HostStream {
                    phase: WorkPhase::Idle,
                    first_sequence: head.flags.opens.then_some(head.sequence),
                    is_confirmed: true,
                    ..stream_at(unknown_balancer, now)
                };
                self.streams.insert(key, stream);
            }
            return HostSegmentOutcome::default();
        };
        stream.last_segment = now;
        let confirms_stream = !stream.is_confirmed;
        stream.is_confirmed = true;
        stream.is_only_probed = false;
        stream.ended_by_host |= head.flags.ends;
        let next = match stream.phase {
            _ if head.flags.resets => WorkPhase::Ended,
            WorkPhase::Ended => WorkPhase::Ended,
            WorkPhase::Opening if head.flags.opens => WorkPhase::AwaitingRequest,
            _ if stream.ended_by_caller && stream.ended_by_host => WorkPhase::Ended,
            _ if head.length > 0 || head.flags.ends => WorkPhase::Idle,
            phase => phase,
        };
        let elapsed = now.since(stream.since);
        let is_opened = (stream.phase, next) == (WorkPhase::Opening, WorkPhase::AwaitingRequest);
        let is_answered = (stream.phase, next) == (WorkPhase::Working, WorkPhase::Idle);
        // After closing its side, the backend server may reset on requests that were already in flight.
        let is_failure = (stream.phase, next) == (WorkPhase::Working, WorkPhase::Ended)
            && head.flags.resets
            && !stream.ended_by_host;
        if is_opened {
            stream.first_sequence = Some(head.sequence);
            stream.opening = Vec::new();
        }
        let sent = stream.first_sequence.and_then(|first| segment::bytes_sent(first, head));
        stream.sent_bytes = stream.sent_bytes.max(sent.unwrap_or_default());
        self.busy = change_phase(stream, next, self.busy, now);
        HostSegmentOutcome {
            confirms_stream,
            opened_ms: is_opened.then_some(elapsed),
            answered_ms: is_answered.then_some(elapsed),
            is_failure,
        }
    }

    /// Removes a stream that the backend server does not hold.
    pub fn remove(&mut self, key: segment::StreamKey) -> Option<HostStream> {
        let stream = self.streams.remove(&key)?;
        self.busy -= u32::from(stream.phase.is_busy());
        Some(stream)
    }

    /// Removes streams that were opened until `limit`, and returns those that were open.
    ///
    /// Streams opened later may belong to a new run of the backend server. Streams known only from a
    /// search are not returned: they may be open at another backend server, and must not be reset.
    pub fn remove_opened_until(
        &mut self,
        limit: ids::UnixMillis,
    ) -> Vec<(segment::StreamKey, HostStream)> {
        let removed = self.streams.extract_if(|_, stream| stream.opened <= limit);
        let mut open = Vec::new();
        for (key, stream) in removed {
            self.busy -= u32::from(stream.phase.is_busy());
            let is_open = stream.phase != WorkPhase::Ended;
            if is_open && stream.is_known() {
                open.push((key, stream));
            }
        }
        open
    }

    /// Removes and returns an opening that was delivered before `limit` and has no answer.
    pub fn pop_unanswered(
        &mut self,
        limit: ids::UnixMillis,
    ) -> Option<(segment::StreamKey, HostStream)> {
        while let Some((since, key)) = self.unanswered.front().copied() {
            let is_open = self.streams.get(&key).is_some_and(|s| s.phase == WorkPhase::Opening);
            if is_open && since > limit {
                return None;
            }
            self.unanswered.pop_front();
            if is_open {
                return self.remove(key).map(|stream| (key, stream));
            }
        }
        None
    }

    /// Removes streams that have ended or been idle for `idle_ms`, and stops counting overdue work.
    pub fn sweep(&mut self, idle_ms: u64, now: ids::UnixMillis) {
        let mut busy = 0;
        let mut open = 0;
        let wait_ms = self.request_wait_ms();
        self.streams.retain(|_, stream| {
            let idle = now.since(stream.last_segment);
            let age = now.since(stream.since);
            match stream.phase {
                WorkPhase::AwaitingRequest if age > wait_ms => stream.phase = WorkPhase::Idle,
                WorkPhase::Working if age > WORK_LIMIT_MS => stream.phase = WorkPhase::Idle,
                _ => {}
            }
            let is_kept = match stream.phase {
                WorkPhase::Ended => idle <= ENDED_MS,
                WorkPhase::Opening => age <= OPENING_MS,
                _ => idle <= idle_ms,
            };
            busy += u32::from(is_kept && stream.phase.is_busy());
            open += u32::from(is_kept && stream.phase != WorkPhase::Ended);
            is_kept
        });
        self.busy = busy;
        self.open = open;
    }
}

impl HostStreams {
    /// The stream with this key, if known.
    pub fn get(&self, key: segment::StreamKey) -> Option<&HostStream> {
        self.streams.get(&key)
    }

    /// The entries of all streams that have not ended.
    pub fn entries(&self) -> impl Iterator<Item = net::SocketAddrV4> {
        let open = self.streams.iter().filter(|(_, stream)| stream.phase != WorkPhase::Ended);
        open.map(|(key, _)| key.entry)
    }

    /// Whether the backend server is known to hold a stream open.
    pub fn is_open(&self, key: segment::StreamKey) -> bool {
        self.streams
            .get(&key)
            .is_some_and(|stream| stream.is_confirmed && stream.phase != WorkPhase::Ended)
    }

    /// The mean time from the acceptance of a stream to its first request, in milliseconds.
    pub fn request_after_ms(&self) -> f64 {
        self.request_after_ms.get().unwrap_or_default()
    }

    /// How long an accepted stream counts as work before its first request.
    fn request_wait_ms(&self) -> u64 {
        let wait_ms = self.request_after_ms.get().map(|mean| REQUEST_WAIT_FACTOR * mean);
        let clamped = wait_ms.map(|wait| wait.clamp(MIN_REQUEST_WAIT_MS, MAX_REQUEST_WAIT_MS));
        clamped.unwrap_or(DEFAULT_REQUEST_WAIT_MS) as u64
    }

    /// How many requests run or wait, including openings and awaited first requests.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// How many streams were open at the last sweep, plus those opened since.
    pub fn open_streams(&self) -> u32 {
        self.open
    }
}

fn stream_at(balancer: net::SocketAddrV4, now: ids::UnixMillis) -> HostStream {
    HostStream {
        phase: WorkPhase::Opening,
        first_sequence: None,
        sent_bytes: 0,
        caller_expects: 0,
        balancer,
        opening: Vec::new(),
        opened: now,
        is_opened_by_this_agent: false,
        is_only_probed: false,
        since: now,
        last_segment: now,
        is_confirmed: false,
        ended_by_caller: false,
        ended_by_host: false,
    }
}

fn change_phase(stream: &mut HostStream, next: WorkPhase, busy: u32, now: ids::UnixMillis) -> u32 {
    let before = u32::from(stream.phase.is_busy());
    if stream.phase != next {
        stream.since = now;
    }
    stream.phase = next;
    busy + u32::from(next.is_busy()) - before
}
