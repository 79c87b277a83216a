//! Events from the backend server: its reports, its segments, and the segments that it returns.

use std::net;

use crate::ids;
use crate::stream;
use crate::stream::agent;
use crate::stream::host;
use crate::stream::log_event;
use crate::stream::message;
use crate::stream::report;
use crate::stream::segment;

/// The sequence number of the first report of a run.
///
/// A backend server that counts otherwise is still served, but after a restart its agent cannot
/// deny streams until the longest stream must have ended.
const FIRST_SEQUENCE: u64 = 1;

/// The shortest time in which an agent restarts, in milliseconds. No earlier run of the agent can
/// have delivered anything to a backend server that started at most this long before the agent.
const MIN_RESTART_MS: u64 = 100;

impl agent::StreamAgent {
    pub(super) fn on_host_report(
        &mut self,
        report: &report::HostReport,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if !report.is_of(self.config.service) {
            return self.on_other_service_report(report, now, actions);
        }
        let is_first_heard = self.host.run().is_none();
        let outcome = self.host.on_report(report, self.config.host_report_ms, now);
        if outcome != host::ReportOutcome::Stale {
            self.slow_start.on_report(report.slow_ms, now);
        }
        let mut reset = 0;
        match outcome {
            host::ReportOutcome::Unchanged => return,
            host::ReportOutcome::Stale => return log_stale_report(report, actions),
            host::ReportOutcome::Changed
                if is_first_heard && self.is_first_report_of_run(report) =>
            {
                self.has_seen_all_openings = true;
                self.host_started = now;
            }
            // An earlier run of the agent may have delivered openings to it.
            host::ReportOutcome::Changed => {}
            host::ReportOutcome::Returned => self.has_seen_all_openings = false,
            // It may hold streams that this run of the agent has not seen: none may be reset or
            // denied.
            host::ReportOutcome::Adopted => {
                self.has_seen_all_openings = false;
                self.clear_suspicions();
            }
            host::ReportOutcome::Replaced { alive_at } => {
                reset = self.reset_streams_opened_until(alive_at, actions);
                self.has_seen_all_openings = true;
                self.host_started = now;
                self.clear_suspicions();
            }
        }
        actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::HostChanged {
            run: report.run.id.clone(),
            born: report.run.born,
            phase: self.phase(now),
            slots: report.slots,
            sequence: report.sequence,
            reset,
        }));
        self.report_to_all(now, actions);
    }

    /// Handles a report from a backend server of another service, which uses the address of this
    /// agent's one.
    ///
    /// Callers of this agent's service must not reach it, and the streams of a run that it has
    /// displaced are reset, so that their callers can retry before their deadline.
    fn on_other_service_report(
        &mut self,
        report: &report::HostReport,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let outcome = self.host.on_other_service_report(report, self.config.host_report_ms, now);
        let is_over = outcome == host::OtherServiceOutcome::Displaced;
        match outcome {
            host::OtherServiceOutcome::Ignored => return log_stale_report(report, actions),
            host::OtherServiceOutcome::Doubted { is_first: false } => return,
            host::OtherServiceOutcome::Doubted { is_first: true }
            | host::OtherServiceOutcome::Displaced => {}
        }
        actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::OtherService {
            run: report.run.id.clone(),
            born: report.run.born,
            service: report.service.clone(),
            is_over,
        }));
        match is_over {
            true => self.end_unannounced_run(now, actions),
            false => self.report_to_all(now, actions),
        }
    }

    /// Whether this is the first report of a run that started no earlier than this agent, so that
    /// no earlier run of the agent has delivered anything to it.
    ///
    /// After a power loss balancers search for every stream. An agent that cannot deny a stream
    /// gets its segments as probes, and passes each on to the backend server.
    fn is_first_report_of_run(&self, report: &report::HostReport) -> bool {
        let started_with_agent = |born: ids::UnixMillis| born.plus(MIN_RESTART_MS) >= self.started;
        report.sequence <= FIRST_SEQUENCE && report.run.born.is_none_or(started_with_agent)
    }

    /// Clears the failures recorded for an earlier run.
    fn clear_suspicions(&mut self) {
        self.unresponsive_until = ids::UnixMillis(0);
        self.failure_rate.reset();
    }

    pub(super) fn on_host_left(
        &mut self,
        run: &report::HostRun,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        match self.host.leave(run) {
            host::LeaveOutcome::Ignored => {}
            host::LeaveOutcome::Ended => self.end_host_run(now, actions),
            host::LeaveOutcome::Unconfirmed => {
                let run = run.id.clone();
                actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::LeaveDoubted {
                    run,
                }));
                self.report_to_all(now, actions);
            }
        }
    }

    /// Handles a refused connection to the backend server's address.
    ///
    /// A crashed backend server sends nothing. Without this, its callers would retransmit until
    /// their deadline, and searches for its streams would wait for this agent.
    pub(super) fn on_host_port_closed(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if self.host.on_port_closed() {
            self.end_unannounced_run(now, actions);
        }
    }

    /// Ends a run that is over without a sign-off.
    fn end_unannounced_run(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        // The next run of the backend server gets all its streams through this run of the agent.
        self.has_seen_all_openings = true;
        self.end_host_run(now, actions);
    }

    fn end_host_run(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        let reset = self.reset_streams_opened_until(now, actions);
        actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::HostChanged {
            run: self.host.run().map(|run| run.id.clone()).unwrap_or_default(),
            born: self.host.run().and_then(|run| run.born),
            phase: host::HostPhase::Gone,
            slots: self.host.slots(),
            sequence: 0,
            reset,
        }));
        self.report_to_all(now, actions);
    }

    /// Requests a connection probe of the backend server when its reports are missing or late, it
    /// has left an opening unanswered, or an unconfirmed leave notice names it.
    ///
    /// Also probes when none has ever reported: until the agent knows that no backend server runs,
    /// it cannot deny streams, and searches for the service's streams wait for it.
    pub(super) fn probe_doubtful_host(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let is_unresponsive = self.host.is_running() && now < self.unresponsive_until;
        let needs_probe = is_unresponsive || self.host.needs_probe(self.config.host_report_ms, now);
        let is_due =
            now.since(self.last_probe) >= u64::from(self.config.policy.recovery.host_probe_ms);
        if needs_probe && is_due {
            self.last_probe = now;
            actions.push(stream::StreamAction::ProbeHost);
        }
    }

    /// Resets the streams of a run that has ended, so that their callers can retry before their
    /// deadline.
    pub(super) fn reset_streams_opened_until(
        &mut self,
        limit: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) -> usize {
        let open = self.host_streams.remove_opened_until(limit);
        for (key, stream) in &open {
            actions.push(stream::StreamAction::Reset(*key, stream.caller_expects));
        }
        open.len()
    }

    /// Passes a segment that the backend server returned on to its balancer.
    pub(super) fn on_returned_segment(
        &mut self,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let key = segment.head.key_from_caller();
        let reason = match segment.head.is_opening() {
            true => message::ReturnReason::Shed,
            false => message::ReturnReason::NotHeld,
        };
        let balancer =
            net::SocketAddrV4::new(segment.head.metadata.origin, self.config.address.port());
        // It arrived as a probe of a search, and the balancer still has the segment.
        let is_only_probed =
            self.host_streams.remove(key).is_some_and(|stream| stream.is_only_probed);
        if is_only_probed && reason == message::ReturnReason::NotHeld {
            let message = message::StreamMessage::Absent { key, is_sure: true };
            return actions.push(stream::StreamAction::Send(balancer, message));
        }
        let message = self.return_message(reason, segment.bytes, now);
        actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::returned(
            key,
            self.config.address,
            reason,
        )));
        actions.push(stream::StreamAction::Send(balancer, message));
    }

    /// Forwards a segment from the backend server to its caller, past the balancer.
    pub(super) fn forward_to_caller(
        &mut self,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let key = segment.head.key_from_host();
        self.unresponsive_until = ids::UnixMillis(0);
        let news = self.host_streams.on_host_segment(key, &segment.head, now);
        if let Some(answered_ms) = news.answered_ms {
            self.answer_ms.add_sample(answered_ms as f64);
            self.failure_rate.record(false);
        }
        if news.is_failure {
            self.failure_rate.record(true);
        }
        let opened = news.opened_ms.map(stream::StreamTiming::Opened);
        let answered = news.answered_ms.map(stream::StreamTiming::Answered);
        actions.extend(opened.into_iter().chain(answered).map(stream::StreamAction::Measure));
        if news.confirms_stream {
            if segment.head.flags.opens {
                let busy = self.host_streams.busy();
                actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::Accepted {
                    stream: key,
                    busy,
                }));
            }
            if let Some(stream) = self.host_streams.get(key) {
                let message = message::StreamMessage::Held {
                    key,
                    first_sequence: stream.first_sequence,
                    load: self.load(now),
                };
                actions.push(stream::StreamAction::Send(stream.balancer, message));
            }
        }
        actions.push(stream::StreamAction::Answer(*key.caller.ip(), segment.bytes.to_vec()));
    }

    /// Returns openings that the backend server leaves unanswered, so that balancers place them
    /// elsewhere.
    ///
    /// The caller retransmits its opening only after 200 ms, and its balancer would send that one
    /// here again; two such delays exceed the latency that callers expect.
    pub(super) fn return_unanswered(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let policy = self.config.policy.recovery;
        let unanswered_ms = u64::from(policy.unanswered_ms);
        let limit = ids::UnixMillis(now.0.saturating_sub(unanswered_ms));
        while let Some((key, stream)) = self.host_streams.pop_unanswered(limit) {
            self.unresponsive_until = now.plus(policy.silence_ms.into());
            let waited_ms = unanswered_ms;
            actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::Unanswered {
                stream: key,
                waited_ms,
            }));
            let message = self.return_message(message::ReturnReason::Silent, &stream.opening, now);
            actions.push(stream::StreamAction::Send(stream.balancer, message));
        }
    }
}

fn log_stale_report(report: &report::HostReport, actions: &mut Vec<stream::StreamAction>) {
    actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::StaleReport {
        run: report.run.id.clone(),
        born: report.run.born,
        sequence: report.sequence,
    }));
}
