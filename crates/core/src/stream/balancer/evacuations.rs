//! The list of evacuated data centres at a balancer, and the wait for it after a start.

use crate::ids;
use crate::store_epoch;
use crate::stream;
use crate::stream::balancer;
use crate::stream::evacuation;
use crate::stream::log_event;

/// How long a balancer waits after its start for the list of evacuated data centres before it
/// places openings, in milliseconds.
///
/// Long enough for several failed calls to the platform. After that it places openings without the
/// list: evacuations are rare, and refusing all callers while the platform is down would cost more.
/// The platform, like another balancer, answers within about 10 ms.
const EVACUATION_LIST_WAIT_MS: u64 = 1_000;

impl balancer::StreamBalancer {
    /// Merges a list of evacuated data centres from the platform or another balancer.
    ///
    /// A change is reported at once, so that agents can reject openings from balancers that have not
    /// received it yet.
    pub(super) fn merge_evacuations(
        &mut self,
        state: &evacuation::EvacuationState,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if self.evacuations.apply(state, now) == evacuation::EvacuationOutcome::Changed {
            self.apply_evacuations(now, actions);
        }
    }

    /// Drops evacuations kept over a restore of the store that the store has not listed again in time.
    pub(super) fn expire_evacuations(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if self.evacuations.expire(now) {
            self.apply_evacuations(now, actions);
        }
    }

    fn apply_evacuations(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        self.table.set_evacuations(&self.evacuations);
        actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::evacuated(
            &self.evacuations,
        )));
        self.report_to_all(now, actions);
    }

    /// Advances the epoch of the platform's store, and logs that the store was restored.
    pub(super) fn advance_store_epoch(
        &mut self,
        to: store_epoch::StoreEpoch,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        self.member_list.on_store_epoch(to, now);
        if let Some(from) = self.store_epoch.advance(to) {
            actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::StoreRestored {
                from,
                to,
            }));
        }
    }

    /// Logs once that openings are placed without the list of evacuated data centres.
    pub(super) fn note_unknown_evacuations(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let is_unknown = self.config.has_evacuations && !self.evacuations.is_known();
        if is_unknown && !self.awaits_evacuations(now) && !self.has_noted_unknown_evacuations {
            self.has_noted_unknown_evacuations = true;
            let waited_ms = now.since(self.started);
            actions.push(stream::StreamAction::Log(
                log_event::StreamLogEvent::EvacuationsUnknown { waited_ms },
            ));
        }
    }
}

impl balancer::StreamBalancer {
    /// Returns the evacuated data centres that this balancer knows of.
    pub fn evacuations(&self) -> &evacuation::KnownEvacuations {
        &self.evacuations
    }

    /// Returns the latest known epoch of the platform's store.
    pub fn store_epoch(&self) -> store_epoch::StoreEpoch {
        self.store_epoch
    }

    /// Returns whether openings wait for the list of evacuated data centres.
    pub(super) fn awaits_evacuations(&self, now: ids::UnixMillis) -> bool {
        let is_unknown = self.config.has_evacuations && !self.evacuations.is_known();
        is_unknown && now.since(self.started) < EVACUATION_LIST_WAIT_MS
    }
}
