//! The current run of the backend server, and whether it accepts new streams.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::stream::report;

/// How many report periods without a report make a backend server silent; a single report may be
/// lost or late on a busy machine.
const SILENT_PERIODS: u64 = 3;

/// The phase of a backend server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum HostPhase {
    /// It has not reported, or not for a while.
    #[default]
    Unknown,
    /// It accepts new streams.
    Serving,
    /// It is shutting down and finishes its open streams.
    Draining,
    /// It has stopped.
    Gone,
}

/// The outcome of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// Nothing changed; the backend server is alive.
    Unchanged,
    /// The backend server's phase or capacity has changed.
    Changed,
    /// The backend server had been considered gone, and is alive.
    Returned,
    /// A new run has replaced an earlier one, which is dead.
    Replaced {
        /// When the earlier run was last known to be alive; the new one started after that.
        alive_at: ids::UnixMillis,
    },
    /// A different run is up; its start time and its streams are unknown.
    Adopted,
    /// The report is from an earlier run, out of order or from another process, and was ignored.
    Stale,
}

/// The outcome of a report from a backend server of another service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OtherServiceOutcome {
    /// It is late or from an unrelated process, and was ignored.
    Ignored,
    /// It started after the known run, which may be over; no report of the known run has arrived
    /// since.
    Doubted {
        /// Whether this is the first such report.
        is_first: bool,
    },
    /// It has reported for several periods in which the known run has not, which is over.
    Displaced,
}

/// The outcome of a backend server's sign-off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaveOutcome {
    /// The known run is over.
    Ended,
    /// It has the id of the known run but no start time, so it may be from an earlier run.
    Unconfirmed,
    /// It is not from the known run.
    Ignored,
}

/// The state of the backend server beside an agent.
#[derive(Clone, Debug, Default)]
pub struct HostState {
    known: Option<KnownRun>,
    /// Nothing listened on the backend server's port, or a backend server of another service uses
    /// it, and no report has arrived since.
    is_presumed_over: bool,
    /// A sign-off arrived that may be from an earlier run, and no report has arrived since.
    is_leave_unconfirmed: bool,
    /// Runs that are over, whose delayed reports are ignored.
    ended: Vec<report::HostRun>,
    competing: Option<CompetingRun>,
    /// A run of another service that reports, while the known run has not reported since.
    other_service: Option<CompetingRun>,
    /// A run of another service started after the known run, which has not reported since.
    is_displaced: bool,
}

#[derive(Clone, Debug)]
struct KnownRun {
    report: report::HostReport,
    phase: HostPhase,
    first_report: ids::UnixMillis,
    last_report: ids::UnixMillis,
    /// When the report before the last one arrived.
    previous_report: ids::UnixMillis,
}

/// A run that reports while the known run is silent.
#[derive(Clone, Debug)]
struct CompetingRun {
    run: report::HostRun,
    sequence: u64,
    /// Since when it has reported while the known run has not.
    since: ids::UnixMillis,
}

/// How many ended runs are remembered; far more than can still have a report in flight.
const MAX_ENDED_RUNS: usize = 64;

impl HostState {
    /// Processes a report.
    pub fn on_report(
        &mut self,
        report: &report::HostReport,
        period_ms: u64,
        now: ids::UnixMillis,
    ) -> ReportOutcome {
        let order = self.known.as_ref().map(|known| report.run.compare(&known.report.run));
        let predates_other_service = self.predates_other_service(&report.run);
        // Otherwise the report is delayed, unless the machine's clock was set back between the two
        // starts.
        let keeps_reporting = (predates_other_service || order == Some(report::RunOrder::Earlier))
            && keeps_reporting(&mut self.competing, report, period_ms, now);
        match order {
            _ if self.ended.contains(&report.run) => ReportOutcome::Stale,
            _ if predates_other_service && !keeps_reporting => ReportOutcome::Stale,
            None => {
                self.adopt_run(report, now);
                ReportOutcome::Changed
            }
            Some(report::RunOrder::Same) => self.on_known_run_report(report, now),
            Some(report::RunOrder::Later) => self.replace(report, period_ms, now),
            Some(report::RunOrder::Unordered) => {
                self.adopt_run(report, now);
                ReportOutcome::Adopted
            }
            Some(report::RunOrder::Earlier) if keeps_reporting => {
                self.adopt_run(report, now);
                ReportOutcome::Adopted
            }
            Some(report::RunOrder::Earlier | report::RunOrder::Foreign) => ReportOutcome::Stale,
        }
    }

    /// Processes a report from a backend server of another service.
    ///
    /// An address is reused while the agent still runs with the settings of its former use. A
    /// delayed report of an earlier user of the address must not end the known run.
    pub fn on_other_service_report(
        &mut self,
        report: &report::HostReport,
        period_ms: u64,
        now: ids::UnixMillis,
    ) -> OtherServiceOutcome {
        let order = self.known.as_ref().map(|known| report.run.compare(&known.report.run));
        let is_later = match order {
            _ if self.ended.contains(&report.run) => return OtherServiceOutcome::Ignored,
            Some(report::RunOrder::Same | report::RunOrder::Foreign) => {
                return OtherServiceOutcome::Ignored;
            }
            Some(report::RunOrder::Earlier) => false,
            Some(report::RunOrder::Later | report::RunOrder::Unordered) | None => true,
        };
        let keeps_reporting = keeps_reporting(&mut self.other_service, report, period_ms, now);
        let was_displaced = self.is_displaced;
        self.is_displaced |= is_later || keeps_reporting;
        match keeps_reporting && self.presume_over() {
            true => OtherServiceOutcome::Displaced,
            false if self.is_displaced => OtherServiceOutcome::Doubted { is_first: !was_displaced },
            false => OtherServiceOutcome::Ignored,
        }
    }

    /// Processes the sign-off of a run.
    ///
    /// A sign-off without the start time of the known run may be a delayed one from an earlier run
    /// under the same id; only a probe of the port shows whether the known run is over.
    pub fn leave(&mut self, run: &report::HostRun) -> LeaveOutcome {
        match &mut self.known {
            Some(known) if known.report.run == *run => {
                known.phase = HostPhase::Gone;
                self.record_ended(run.clone());
                LeaveOutcome::Ended
            }
            Some(known) if run.born.is_none() && known.report.run.id == run.id => {
                self.is_leave_unconfirmed = true;
                LeaveOutcome::Unconfirmed
            }
            _ => {
                self.record_ended(run.clone());
                LeaveOutcome::Ignored
            }
        }
    }

    /// Records that nothing listens on the backend server's port; returns whether its phase changed.
    ///
    /// A later report shows that the run is alive after all.
    pub fn on_port_closed(&mut self) -> bool {
        self.presume_over()
    }

    /// Records that the known run is over without a sign-off; returns whether its phase changed.
    fn presume_over(&mut self) -> bool {
        let is_change = !self.is_presumed_over && self.known.as_ref().is_none_or(KnownRun::is_up);
        self.is_presumed_over |= is_change;
        is_change
    }

    fn on_known_run_report(
        &mut self,
        report: &report::HostReport,
        now: ids::UnixMillis,
    ) -> ReportOutcome {
        let Some(known) = &mut self.known else { return ReportOutcome::Stale };
        let outcome = known.on_report(report, now);
        if outcome == ReportOutcome::Stale {
            return outcome;
        }
        self.competing = None;
        self.other_service = None;
        let was_unconfirmed = std::mem::take(&mut self.is_leave_unconfirmed);
        let was_displaced = std::mem::take(&mut self.is_displaced);
        match std::mem::take(&mut self.is_presumed_over) {
            true => ReportOutcome::Returned,
            false if was_unconfirmed || was_displaced => ReportOutcome::Changed,
            false => outcome,
        }
    }

    /// Replaces the known run with a later one.
    fn replace(
        &mut self,
        report: &report::HostReport,
        period_ms: u64,
        now: ids::UnixMillis,
    ) -> ReportOutcome {
        let was_up = self.known.as_ref().filter(|known| known.was_up(period_ms));
        let alive_at = was_up.map(|known| known.previous_report);
        self.adopt_run(report, now);
        match alive_at {
            Some(alive_at) => ReportOutcome::Replaced { alive_at },
            None => ReportOutcome::Adopted,
        }
    }

    fn adopt_run(&mut self, report: &report::HostReport, now: ids::UnixMillis) {
        self.is_presumed_over = false;
        self.is_leave_unconfirmed = false;
        self.is_displaced = false;
        self.competing = None;
        self.other_service = None;
        let earlier = self.known.replace(KnownRun::first(report, now));
        if let Some(earlier) = earlier {
            self.record_ended(earlier.report.run);
        }
    }

    fn record_ended(&mut self, run: report::HostRun) {
        if self.ended.len() >= MAX_ENDED_RUNS {
            self.ended.remove(0);
        }
        self.ended.push(run);
    }
}

impl KnownRun {
    fn first(report: &report::HostReport, now: ids::UnixMillis) -> KnownRun {
        KnownRun {
            report: report.clone(),
            phase: reported_phase(report),
            first_report: now,
            last_report: now,
            previous_report: now,
        }
    }

    fn is_up(&self) -> bool {
        self.phase != HostPhase::Gone
    }

    /// Whether it has missed several reports.
    fn is_silent(&self, period_ms: u64, now: ids::UnixMillis) -> bool {
        now.since(self.last_report) > SILENT_PERIODS * period_ms
    }

    /// Whether it has reported over some time, and not only in one burst of delayed reports.
    fn was_up(&self, period_ms: u64) -> bool {
        self.last_report.since(self.first_report) >= period_ms / 2
    }

    fn on_report(&mut self, report: &report::HostReport, now: ids::UnixMillis) -> ReportOutcome {
        // A run never changes its service, so the report is from another process.
        if report.sequence <= self.report.sequence || report.service != self.report.service {
            return ReportOutcome::Stale;
        }
        self.previous_report = self.last_report;
        self.last_report = now;
        let phase = reported_phase(report);
        let is_change = phase > self.phase || report.slots != self.report.slots;
        // A run never returns to an earlier phase; a delayed report must not move it back.
        self.phase = self.phase.max(phase);
        self.report = report.clone();
        match is_change {
            true => ReportOutcome::Changed,
            false => ReportOutcome::Unchanged,
        }
    }
}

/// Whether a run has kept reporting for several periods in which the known run has been silent.
///
/// Delayed reports of a dead run arrive in one burst rather than over several periods.
fn keeps_reporting(
    competing: &mut Option<CompetingRun>,
    report: &report::HostReport,
    period_ms: u64,
    now: ids::UnixMillis,
) -> bool {
    match competing {
        Some(competing) if competing.run == report.run => {
            let rises = report.sequence > competing.sequence;
            competing.sequence = competing.sequence.max(report.sequence);
            rises && now.since(competing.since) > SILENT_PERIODS * period_ms
        }
        competing => {
            let run = report.run.clone();
            *competing = Some(CompetingRun { run, sequence: report.sequence, since: now });
            false
        }
    }
}

fn reported_phase(report: &report::HostReport) -> HostPhase {
    match report.is_draining {
        true => HostPhase::Draining,
        false => HostPhase::Serving,
    }
}

impl HostState {
    /// The phase of the backend server.
    ///
    /// [`HostPhase::Unknown`] if a serving one is silent: it hangs, or its machine is down.
    pub fn phase(&self, period_ms: u64, now: ids::UnixMillis) -> HostPhase {
        match &self.known {
            _ if self.is_presumed_over => HostPhase::Gone,
            None => HostPhase::Unknown,
            Some(known)
                if known.phase == HostPhase::Serving
                    && (self.is_leave_unconfirmed || self.is_displaced) =>
            {
                HostPhase::Unknown
            }
            Some(known) if known.phase == HostPhase::Serving && known.is_silent(period_ms, now) => {
                HostPhase::Unknown
            }
            Some(known) => known.phase,
        }
    }

    /// Whether the backend server's port must be probed: it is silent, or its sign-off is unconfirmed.
    pub fn needs_probe(&self, period_ms: u64, now: ids::UnixMillis) -> bool {
        let is_silent = self.known.as_ref().is_none_or(|known| known.is_silent(period_ms, now));
        let is_gone = self.phase(period_ms, now) == HostPhase::Gone;
        !is_gone && (is_silent || self.is_leave_unconfirmed)
    }

    /// Whether a run is known and not over.
    pub fn is_running(&self) -> bool {
        !self.is_presumed_over && self.known.as_ref().is_some_and(KnownRun::is_up)
    }

    /// Whether a run started before the run of another service that has displaced the known one.
    fn predates_other_service(&self, run: &report::HostRun) -> bool {
        let displacing = self.other_service.as_ref().filter(|_| self.is_displaced);
        displacing.is_some_and(|other| run.compare(&other.run) == report::RunOrder::Earlier)
    }

    /// Whether a backend server of another service may use the address of the known run.
    pub fn is_displaced(&self) -> bool {
        self.is_displaced
    }

    /// The known run.
    pub fn run(&self) -> Option<&report::HostRun> {
        self.known.as_ref().map(|known| &known.report.run)
    }

    /// The service that the backend server reports.
    pub fn service(&self) -> Option<&str> {
        self.known.as_ref().map(|known| known.report.service.as_str())
    }

    /// How many requests the backend server runs concurrently; 1 before its first report.
    pub fn slots(&self) -> u32 {
        self.known.as_ref().map_or(1, |known| known.report.slots.max(1))
    }
}
