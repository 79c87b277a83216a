//! Reports between an agent and the balancers.

use std::net;

use crate::ids;
use crate::store_epoch;
use crate::stream;
use crate::stream::agent;
use crate::stream::evacuation;
use crate::stream::log_event;
use crate::stream::message;

/// The greatest age of a backend server that reports include, in milliseconds: longer than
/// balancers take to start and receive a report after a shared power loss.
const MAX_REPORTED_AGE_MS: u64 = 5_000;

/// Introductions sent to a balancer that has not subscribed, as one may be lost. While no balancer
/// is reachable, they continue.
const MAX_INTRODUCTIONS: u32 = 2;

/// Interval between introductions to the same balancer, in milliseconds.
const INTRODUCTION_INTERVAL_MS: u64 = 1_000;

impl agent::StreamAgent {
    /// Adds balancers that are announced or named in the settings, and introduces this agent to
    /// them.
    pub(super) fn add_balancers(
        &mut self,
        balancers: &[net::SocketAddrV4],
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        for balancer in balancers {
            let unknown = agent::KnownBalancer::unreported(now);
            self.balancers.entry(*balancer).or_insert(unknown);
        }
        self.report_to_all(now, actions);
    }

    pub(super) fn on_balancer_report(
        &mut self,
        from: net::SocketAddrV4,
        report: &message::BalancerReport,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if report.wants_reports {
            self.add_subscriber(from, report, now, actions);
        } else {
            // It only asked whether this agent runs, and places streams at others.
            self.balancers.remove(&from);
            let report = self.build_report(now);
            actions.push(stream::StreamAction::Send(from, report));
        }
        if report.generation > self.state.generation() {
            actions.push(stream::StreamAction::FetchConfig(from));
        }
        self.update_store_epoch(report.store_epoch, actions);
        let was_evacuated = self.evacuations.covers(self.config.data_centre);
        let outcome = self.evacuations.apply(&report.evacuations, now);
        if outcome == evacuation::EvacuationOutcome::Changed {
            self.on_evacuations_changed(was_evacuated, now, actions);
        }
    }

    fn add_subscriber(
        &mut self,
        from: net::SocketAddrV4,
        report: &message::BalancerReport,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let unknown = agent::KnownBalancer::unreported(now);
        let known = self.balancers.entry(from).or_insert(unknown);
        known.is_subscriber = true;
        known.last_report = now;
        known.data_centre = Some(report.data_centre);
        // The network keeps routing callers to a leaving balancer for a while, during which it
        // needs reports.
        known.is_leaving = report.is_leaving;
        if !known.is_reachable {
            known.is_reachable = true;
            let changed =
                log_event::StreamLogEvent::BalancerChanged { balancer: from, is_reachable: true };
            actions.push(stream::StreamAction::Log(changed));
            let report = self.build_report(now);
            actions.push(stream::StreamAction::Send(from, report));
        }
    }

    /// Drops evacuations that a restored store has not listed again in time.
    pub(super) fn expire_evacuations(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let was_evacuated = self.evacuations.covers(self.config.data_centre);
        if self.evacuations.expire(now) {
            self.on_evacuations_changed(was_evacuated, now, actions);
        }
    }

    fn on_evacuations_changed(
        &mut self,
        was_evacuated: bool,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        // The backend server may have restarted during the evacuation, unnoticed by its last
        // report.
        if was_evacuated && !self.evacuations.covers(self.config.data_centre) {
            let rules = self.rules().into_owned();
            self.slow_start.assume_slow(&rules, now);
        }
        let log_event = log_event::StreamLogEvent::evacuated(&self.evacuations);
        actions.push(stream::StreamAction::Log(log_event));
    }

    /// Applies the epoch of the platform's store, as returned by the platform or reported by a
    /// balancer.
    pub(super) fn update_store_epoch(
        &mut self,
        to: store_epoch::StoreEpoch,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if let Some(from) = self.store_epoch.advance(to) {
            actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::StoreRestored {
                from,
                to,
            }));
        }
    }

    pub(super) fn sweep_balancers(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        self.balancers.retain(|_, known| now.since(known.last_report) <= known.retention_ms());
        for (balancer, known) in &mut self.balancers {
            if known.is_reachable && now.since(known.last_report) > agent::BALANCER_TIMEOUT_MS {
                known.is_reachable = false;
                let balancer = *balancer;
                let changed =
                    log_event::StreamLogEvent::BalancerChanged { balancer, is_reachable: false };
                actions.push(stream::StreamAction::Log(changed));
            }
        }
    }

    /// Reports to every subscriber immediately, for changes that must not wait for the next
    /// interval.
    pub(super) fn report_to_all(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        for known in self.balancers.values_mut() {
            known.last_sent = ids::UnixMillis(0);
        }
        self.send_due_reports(now, actions);
    }

    /// Sends the reports and introductions that are due. Balancers of the same data centre get
    /// reports more often than others.
    pub(super) fn send_due_reports(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        self.last_report_sent = now;
        self.report_sequence += 1;
        let report = self.build_report(now);
        let policy = self.config.policy.reports;
        let is_alone = !self.reaches_balancer();
        for (balancer, known) in &mut self.balancers {
            let is_far = known.data_centre.is_some_and(|centre| centre != self.config.data_centre);
            let period_ms = match known.is_subscriber {
                true if is_far => policy.far_ms.into(),
                true => policy.near_ms.into(),
                false if is_alone || known.introductions < MAX_INTRODUCTIONS => {
                    INTRODUCTION_INTERVAL_MS
                }
                false => continue,
            };
            if now.since(known.last_sent) >= period_ms {
                known.last_sent = now;
                known.introductions += u32::from(!known.is_subscriber);
                actions.push(stream::StreamAction::Send(*balancer, report.clone()));
            }
        }
    }

    /// The age of the backend server's run, in milliseconds, if it is young and known.
    ///
    /// An agent that starts after it has not seen the start, and derives the age from the remaining
    /// slow start.
    fn host_age_ms(&self, now: ids::UnixMillis) -> Option<u32> {
        let seen = now.since(self.host_started);
        let reported = self.slow_start.age_ms(&self.rules(), now);
        let age_ms = reported.map_or(seen, |reported| reported.min(seen));
        (age_ms < MAX_REPORTED_AGE_MS).then_some(age_ms as u32)
    }

    pub(super) fn build_report(&self, now: ids::UnixMillis) -> message::StreamMessage {
        message::StreamMessage::Agent(message::AgentReport {
            agent: self.config.instance,
            service: self.config.service,
            data_centre: self.config.data_centre,
            phase: self.phase(now),
            host_age_ms: self.host_age_ms(now),
            load: self.load(now),
            generation: self.state.generation(),
        })
    }
}
