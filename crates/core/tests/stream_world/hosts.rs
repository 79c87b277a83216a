//! Simulated backend servers.

use std::collections;
use std::net;

use rosemaryusher_core::ids;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::report;
use rosemaryusher_core::stream::segment;

use super::HOST_REPORT_MS;
use super::StreamWorld;
use super::agent_address;
use super::delivery::Envelope;

/// A simulated backend server that accepts streams and answers requests.
#[derive(Debug, Default)]
pub(crate) struct FakeHost {
    pub(crate) run: u64,
    /// The id in its reports.
    pub(crate) id: String,
    /// When it started; reported if [`StreamWorld::reports_start_times`] is set.
    pub(crate) born: ids::UnixMillis,
    pub(crate) service: String,
    pub(crate) slots: u32,
    /// Open and half-open streams, with their initial sequence numbers.
    pub(crate) held: collections::BTreeMap<segment::StreamKey, u32>,
    /// Requests in progress, with the time at which each is answered.
    pub(crate) work: Vec<(ids::UnixMillis, segment::StreamKey)>,
    pub(crate) work_ms: u64,
    /// When each slot becomes free; a request without a free slot waits for the first one.
    slots_busy_until: Vec<ids::UnixMillis>,
    /// Delay before it returns a segment of a stream that it does not hold.
    pub(crate) return_delay_ms: u64,
    /// Resets the stream of every request.
    pub(crate) resets_requests: bool,
    /// Neither answers nor reports.
    pub(crate) is_hung: bool,
    pub(crate) is_draining: bool,
    /// End of its slow start, as in its reports.
    pub(crate) slow_until: ids::UnixMillis,
    /// Whether its agent has received a report of the drain.
    pub(crate) agent_knows_drain: bool,
    pub(crate) reports: u64,
    /// Number of segments received for streams that it does not hold.
    pub(crate) unheld_segments: u64,
    pub(crate) last_reported: ids::UnixMillis,
    /// Accepted openings.
    pub(crate) openings: Vec<segment::StreamKey>,
    /// Times of new streams accepted during the slow start.
    pub(crate) slow_openings: Vec<ids::UnixMillis>,
}

impl FakeHost {
    /// Occupies the slot that is free first and returns when the request is done.
    fn occupy_slot(&mut self, now: ids::UnixMillis) -> ids::UnixMillis {
        self.slots_busy_until.resize(self.slots as usize, now);
        let work_ms = self.work_ms;
        let first = self.slots_busy_until.iter_mut().min();
        let Some(until) = first else { return now.plus(work_ms) };
        *until = (*until).max(now).plus(work_ms);
        *until
    }
}

impl StreamWorld {
    pub(crate) fn start_host(&mut self, nth: u8, service: &str, slots: u32) {
        self.last_id += 1;
        let host = FakeHost {
            run: self.last_id,
            id: format!("run-{}", self.last_id),
            born: self.now,
            service: service.to_owned(),
            slots,
            work_ms: 40,
            ..FakeHost::default()
        };
        self.hosts.insert(agent_address(nth), host);
    }

    /// Crashes and restarts a backend server under the same id. Its streams are lost and its report
    /// sequence starts over.
    pub(crate) fn restart_host_same_id(&mut self, nth: u8) {
        let earlier = self.host(nth).id.clone();
        self.crash_host(nth);
        self.host(nth).id = earlier;
    }

    /// The report of the current run of a backend server.
    pub(crate) fn host_report(&mut self, nth: u8) -> report::HostReport {
        let reports_start_time = self.reports_start_times;
        let host = self.host(nth);
        report::HostReport {
            run: report::HostRun {
                id: host.id.clone(),
                born: reports_start_time.then_some(host.born),
            },
            sequence: host.reports,
            service: host.service.clone(),
            slots: host.slots,
            is_draining: host.is_draining,
            slow_ms: host.slow_until.since(self.now),
        }
    }

    pub(crate) fn deliver_report(&mut self, nth: u8, report: report::HostReport) {
        self.handle(agent_address(nth), stream::StreamEvent::HostReport(report));
    }

    /// Delivers a sign-off without a start time to an agent.
    pub(crate) fn deliver_leave(&mut self, nth: u8, id: &str) {
        let run = report::HostRun { id: id.to_owned(), born: None };
        self.handle(agent_address(nth), stream::StreamEvent::HostLeft(run));
    }

    /// Crashes a backend server and starts a new run; its streams are lost.
    pub(crate) fn crash_host(&mut self, nth: u8) {
        let host = self.host(nth);
        let (service, slots) = (host.service.clone(), host.slots);
        self.start_host(nth, &service, slots);
    }

    /// Stops a backend server, which signs off at its agent.
    pub(crate) fn leave_host(&mut self, nth: u8) {
        let id = self.host(nth).id.clone();
        self.hosts.remove(&agent_address(nth));
        self.deliver_leave(nth, &id);
    }

    /// Stops a backend server without a sign-off.
    pub(crate) fn kill_host(&mut self, nth: u8) {
        self.hosts.remove(&agent_address(nth));
    }

    pub(crate) fn drain_host(&mut self, nth: u8) {
        if let Some(host) = self.hosts.get_mut(&agent_address(nth)) {
            host.is_draining = true;
            host.last_reported = ids::UnixMillis(0);
        }
    }

    pub(crate) fn set_host_hung(&mut self, nth: u8, is_hung: bool) {
        if let Some(host) = self.hosts.get_mut(&agent_address(nth)) {
            host.is_hung = is_hung;
        }
    }

    pub(crate) fn host(&mut self, nth: u8) -> &mut FakeHost {
        self.hosts.get_mut(&agent_address(nth)).expect("backend server is running")
    }
}

impl StreamWorld {
    /// Checks a segment that a backend server receives, and processes it.
    pub(super) fn deliver_to_host(
        &mut self,
        agent: net::SocketAddrV4,
        metadata: segment::SegmentMetadata,
        bytes: &[u8],
    ) {
        let written = self.lookup_segment(bytes);
        let mut head = written.head;
        assert!(
            written.is_from_caller,
            "a backend server receives a segment that no caller sent: {head:?}"
        );
        head.metadata = metadata;
        let key = head.key_from_caller();
        if head.is_opening() {
            self.check_opening_config(agent, &written, metadata);
            self.check_evacuated(agent, metadata);
        }
        let Some(host) = self.hosts.get_mut(&agent).filter(|host| !host.is_hung) else { return };
        if head.is_opening() {
            let route = (key.entry, host.service.clone());
            assert!(self.allowed_routes.contains(&route), "{key} opens at {}", host.service);
            assert!(!host.agent_knows_drain, "{key} opens at a draining backend server");
            host.openings.push(key);
            if self.now < host.slow_until && !host.held.contains_key(&key) {
                host.slow_openings.push(self.now);
                super::oracle::check_slow_start(&host.slow_openings, self.slow_start_limit);
            }
            let run = host.run as u32;
            let fresh = run.wrapping_mul(0x9e37_79b9) ^ u32::from(key.caller.port());
            let first = *host.held.entry(key).or_insert(fresh);
            let flags = segment::SegmentFlags {
                opens: true,
                acknowledges: true,
                ..segment::SegmentFlags::default()
            };
            self.answer(agent, key, flags, first, 0);
            return;
        }
        let acknowledges_first =
            |first: &u32| head.acknowledged.wrapping_sub(first.wrapping_add(1)) < 1 << 20;
        if host.held.get(&key).is_some_and(|first| !acknowledges_first(first)) {
            return;
        }
        if !host.held.contains_key(&key) {
            host.unheld_segments += 1;
            head.flags.is_returned = true;
            let bytes = bytes.to_vec();
            let return_delay_ms = host.return_delay_ms;
            self.post(return_delay_ms, Envelope::FromHost { agent, head, bytes });
            return;
        }
        if head.length > 0 && host.resets_requests {
            host.held.remove(&key);
            let flags = segment::SegmentFlags { resets: true, ..Default::default() };
            self.answer(agent, key, flags, 1, 0);
            return;
        }
        if head.length > 0 {
            let due = host.occupy_slot(self.now);
            host.work.push((due, key));
        }
        if head.flags.ends {
            host.held.remove(&key);
            let flags = segment::SegmentFlags {
                acknowledges: true,
                ends: true,
                ..segment::SegmentFlags::default()
            };
            self.answer(agent, key, flags, 0, 0);
        }
    }

    pub(super) fn answer(
        &mut self,
        agent: net::SocketAddrV4,
        key: segment::StreamKey,
        flags: segment::SegmentFlags,
        sequence: u32,
        length: u16,
    ) {
        let head = segment::SegmentHeader {
            source: key.entry,
            destination: key.caller,
            flags,
            sequence,
            acknowledged: 8,
            length,
            metadata: segment::SegmentMetadata::default(),
        };
        let bytes = self.record_segment(head, false);
        self.post(0, Envelope::FromHost { agent, head, bytes });
    }

    pub(super) fn run_hosts(&mut self) {
        let now = self.now;
        let mut answers = Vec::new();
        let mut reports = Vec::new();
        for (agent, host) in &mut self.hosts {
            if host.is_hung {
                continue;
            }
            let held = &host.held;
            host.work.retain(|(due, key)| {
                if *due <= now && held.contains_key(key) {
                    answers.push((*agent, *key));
                }
                *due > now
            });
            if now.since(host.last_reported) >= HOST_REPORT_MS {
                host.last_reported = now;
                host.reports += 1;
                reports.push(*agent);
            }
        }
        for (agent, key) in answers {
            let flags = segment::SegmentFlags { acknowledges: true, ..Default::default() };
            self.answer(agent, key, flags, 1, 500);
        }
        for agent in reports {
            self.report_host(agent);
        }
    }

    /// Delivers a report of a backend server to its agent, unless that is stopped or paused.
    pub(crate) fn report_host(&mut self, agent: net::SocketAddrV4) {
        if !self.agents.contains_key(&agent) || self.frozen.contains(&agent) {
            return;
        }
        let Some(host) = self.hosts.get_mut(&agent) else { return };
        host.agent_knows_drain |= host.is_draining;
        let [.., nth] = agent.ip().octets();
        let report = self.host_report(nth);
        self.deliver_report(nth, report);
    }
}
