//! Failure detection and dissemination of membership updates, after SWIM.
//!
//! In each period a process probes one member directly, then indirectly through others. A member
//! that neither reaches is suspected, and declared dead unless it refutes by raising its version.
//! Updates are piggybacked on the exchanges, each a limited number of times, so the load per
//! process does not grow with the fleet.

use std::collections;

use rand::Rng as _;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::membership::record;
use crate::membership::view;

/// The most updates in one exchange.
const MAX_UPDATES_PER_EXCHANGE: usize = 24;

/// Number of members that are asked to probe one that did not answer.
const INDIRECT_PROBES: usize = 2;

/// Consecutive exchanges with differing digests after which a whole view is fetched.
const MISMATCHES_BEFORE_FETCH: u32 = 4;

/// Number of peers that receive an urgent update before the next period.
const PUSH_FANOUT: usize = 3;

/// The message of either side in an exchange between two processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExchangeMessage {
    /// The sender.
    pub from: record::MemberRecord,
    /// Records that have changed recently.
    #[serde(rename = "news")]
    pub updates: Vec<record::MemberRecord>,
    /// Digest of the sender's view.
    pub digest: u64,
    /// Generation of the sender's configuration.
    pub generation: ids::ConfigGeneration,
}

/// Timing of failure detection.
#[derive(Clone, Copy, Debug)]
pub struct ProbeTiming {
    /// Interval between probes, in milliseconds.
    pub period_ms: u64,
    /// Time that a suspect has to refute, in milliseconds.
    pub suspect_ms: u64,
    /// How long dead and departed members are retained, in milliseconds.
    pub retention_ms: u64,
}

impl Default for ProbeTiming {
    fn default() -> ProbeTiming {
        let retention_ms = 2 * crate::ticket::TICKET_LIFETIME_MS;
        ProbeTiming { period_ms: 1_000, suspect_ms: 4_000, retention_ms }
    }
}

/// An output of [`MemberProber`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProbeAction {
    /// Exchange messages with a member; pass on the answer or report the failure.
    Exchange {
        /// The member to call.
        peer: ids::InstanceId,
    },
    /// Ask `helper` to exchange messages with `target`, and report whether it succeeded.
    IndirectProbe {
        /// The member to call.
        helper: ids::InstanceId,
        /// The member that the helper calls.
        target: ids::InstanceId,
    },
    /// Fetch the whole view of a member whose digest differs for several exchanges.
    FetchView {
        /// The member to call.
        peer: ids::InstanceId,
    },
}

/// The membership protocol of one process. Performs no I/O; see [`ProbeAction`].
#[derive(Debug)]
pub struct MemberProber {
    own: record::MemberRecord,
    view: view::MemberView,
    timing: ProbeTiming,
    rng: rngs::StdRng,
    updates: collections::HashMap<ids::InstanceId, u32>,
    round: Vec<ids::InstanceId>,
    next_probe: ids::UnixMillis,
    suspects: collections::BTreeMap<ids::InstanceId, ids::UnixMillis>,
    pending_helpers: collections::HashMap<ids::InstanceId, u32>,
    digest_mismatches: u32,
    push_due: bool,
    changes: u64,
}

impl MemberProber {
    /// Creates the prober of the process that `own` describes.
    pub fn new(own: record::MemberRecord, timing: ProbeTiming, seed: u64) -> MemberProber {
        let mut prober = MemberProber {
            view: view::MemberView::default(),
            timing,
            rng: rngs::StdRng::seed_from_u64(seed),
            updates: collections::HashMap::new(),
            round: Vec::new(),
            next_probe: ids::UnixMillis(0),
            suspects: collections::BTreeMap::new(),
            pending_helpers: collections::HashMap::new(),
            digest_mismatches: 0,
            push_due: false,
            changes: 0,
            own: own.clone(),
        };
        prober.apply_record(&own, own.started);
        prober
    }

    /// Expires suspects and retained members, and starts the next probe when it is due.
    pub fn tick(&mut self, now: ids::UnixMillis) -> Vec<ProbeAction> {
        self.expire_suspects(now);
        self.view.remove_expired(now, self.timing.retention_ms);
        let mut actions = Vec::new();
        if std::mem::take(&mut self.push_due) {
            actions.extend(self.push_actions());
        }
        if now < self.next_probe {
            return actions;
        }
        self.next_probe = now.plus(self.timing.period_ms);
        if let Some(peer) = self.next_in_round() {
            actions.push(ProbeAction::Exchange { peer });
        }
        actions
    }

    /// Merges a peer's message, as the caller or the callee of an exchange.
    ///
    /// Returns an action if the views differ although updates have had time to spread.
    pub fn receive(&mut self, message: &ExchangeMessage, now: ids::UnixMillis) -> Vec<ProbeAction> {
        self.apply_record(&message.from, now);
        self.cancel_indirect_probes(&message.from);
        for record in &message.updates {
            self.apply_record(record, now);
        }
        if message.digest == self.view.digest() {
            self.digest_mismatches = 0;
            return Vec::new();
        }
        self.digest_mismatches += 1;
        // Digests also differ while updates spread; a view is fetched only if they keep differing.
        if self.digest_mismatches < MISMATCHES_BEFORE_FETCH {
            return Vec::new();
        }
        self.digest_mismatches = 0;
        vec![ProbeAction::FetchView { peer: message.from.instance }]
    }

    /// Merges a whole view.
    ///
    /// Its records are not disseminated as updates, since other members know them already and a
    /// new member's own record would be queued behind them.
    pub fn receive_view(&mut self, records: &[record::MemberRecord], now: ids::UnixMillis) {
        let (updates, push_due) = (self.updates.clone(), self.push_due);
        for record in records {
            self.apply_record(record, now);
        }
        let own = self.own.instance;
        self.updates.retain(|member, _| *member == own || updates.contains_key(member));
        self.push_due = push_due || self.updates.len() > updates.len();
    }

    /// Handles a failed exchange: starts indirect probes, or suspects `peer` if there is no helper.
    pub fn exchange_failed(
        &mut self,
        peer: ids::InstanceId,
        now: ids::UnixMillis,
    ) -> Vec<ProbeAction> {
        let helpers = self.choose_helpers(peer);
        if helpers.is_empty() {
            self.suspect(peer, now);
            return Vec::new();
        }
        self.pending_helpers.insert(peer, helpers.len() as u32);
        let ask = |helper| ProbeAction::IndirectProbe { helper, target: peer };
        helpers.into_iter().map(ask).collect()
    }

    /// Handles the result of an indirect probe; suspects `target` once all helpers have failed.
    pub fn indirect_probe_ended(
        &mut self,
        target: ids::InstanceId,
        reached: bool,
        now: ids::UnixMillis,
    ) {
        if reached {
            self.pending_helpers.remove(&target);
            return;
        }
        let Some(left) = self.pending_helpers.get_mut(&target) else { return };
        *left -= 1;
        if *left == 0 {
            self.pending_helpers.remove(&target);
            self.suspect(target, now);
        }
    }

    /// Advances the phase of this process; an earlier phase has no effect.
    pub fn set_phase(&mut self, phase: record::MemberPhase, now: ids::UnixMillis) {
        let mut own = self.own.clone();
        own.phase = own.phase.max(phase);
        self.apply_record(&own, now);
    }

    /// Builds the next message to a peer and counts one transmission of each update in it.
    pub fn build_message(&mut self, generation: ids::ConfigGeneration) -> ExchangeMessage {
        let limit = self.retransmit_limit();
        let mut least_sent: Vec<_> =
            self.updates.iter().map(|(member, sent)| (*sent, *member)).collect();
        least_sent.sort_unstable();
        least_sent.truncate(MAX_UPDATES_PER_EXCHANGE);
        let mut updates = Vec::with_capacity(least_sent.len());
        for (sent, member) in least_sent {
            match sent + 1 {
                sent if sent >= limit => drop(self.updates.remove(&member)),
                sent => drop(self.updates.insert(member, sent)),
            }
            updates.extend(self.view.get(member).cloned());
        }
        ExchangeMessage { from: self.own.clone(), updates, digest: self.view.digest(), generation }
    }

    /// Requests exchanges with a few peers on the next tick, ahead of the next period.
    pub fn request_push(&mut self) {
        self.push_due = true;
    }

    fn apply_record(&mut self, record: &record::MemberRecord, now: ids::UnixMillis) {
        if record.instance == self.own.instance {
            self.refute_claims(record, now);
            return;
        }
        let is_urgent = record.phase != record::MemberPhase::Serving
            || record.liveness.state == record::LivenessState::Dead;
        if self.view.merge(record, now) {
            self.changes += 1;
            self.updates.insert(record.instance, 0);
            self.push_due |= is_urgent;
            self.track_suspicion(record.instance, now);
        }
    }

    /// Merges another process's record of this one, and refutes a suspicion or death in it.
    ///
    /// A process that was paused or partitioned may be considered dead. Its peers would never
    /// route to it again without the refutation.
    fn refute_claims(&mut self, record: &record::MemberRecord, now: ids::UnixMillis) {
        self.own.phase = self.own.phase.max(record.phase);
        let refutable = record.liveness.state != record::LivenessState::Alive
            && record.liveness >= self.own.liveness
            && record.liveness.version < u32::MAX;
        if refutable {
            self.own.liveness.version = record.liveness.version + 1;
        }
        let own = self.own.clone();
        if self.view.merge(&own, now) {
            self.changes += 1;
            self.updates.insert(own.instance, 0);
            self.push_due = true;
        }
    }

    fn track_suspicion(&mut self, member: ids::InstanceId, now: ids::UnixMillis) {
        let state = self.view.get(member).map(|record| record.liveness.state);
        match state {
            Some(record::LivenessState::Suspect) => {
                self.suspects.entry(member).or_insert(now);
            }
            _ => drop(self.suspects.remove(&member)),
        }
    }

    fn cancel_indirect_probes(&mut self, from: &record::MemberRecord) {
        self.pending_helpers.remove(&from.instance);
    }

    fn suspect(&mut self, member: ids::InstanceId, now: ids::UnixMillis) {
        self.raise_liveness(member, record::LivenessState::Suspect, now);
    }

    fn expire_suspects(&mut self, now: ids::UnixMillis) {
        let wait = self.timing.suspect_ms;
        let expired: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, since)| now.since(**since) >= wait)
            .map(|(member, _)| *member)
            .collect();
        for member in expired {
            self.raise_liveness(member, record::LivenessState::Dead, now);
        }
    }

    fn raise_liveness(
        &mut self,
        member: ids::InstanceId,
        state: record::LivenessState,
        now: ids::UnixMillis,
    ) {
        let Some(record) = self.view.get(member) else { return };
        let mut record = record.clone();
        record.liveness.state = record.liveness.state.max(state);
        self.apply_record(&record, now);
    }

    fn push_actions(&mut self) -> Vec<ProbeAction> {
        let peers = self.choose_peers(PUSH_FANOUT, self.own.instance);
        peers.into_iter().map(|peer| ProbeAction::Exchange { peer }).collect()
    }

    fn choose_helpers(&mut self, target: ids::InstanceId) -> Vec<ids::InstanceId> {
        self.choose_peers(INDIRECT_PROBES, target)
    }

    fn choose_peers(&mut self, count: usize, except: ids::InstanceId) -> Vec<ids::InstanceId> {
        let alive = |record: &&record::MemberRecord| {
            record.liveness.state == record::LivenessState::Alive
                && record.instance != except
                && record.instance != self.own.instance
        };
        let mut peers: Vec<_> =
            self.view.reachable().filter(alive).map(|record| record.instance).collect();
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count && !peers.is_empty() {
            let index = self.rng.random_range(0..peers.len());
            chosen.push(peers.swap_remove(index));
        }
        chosen
    }

    /// The next member in shuffled order, so that each is probed within two rounds.
    ///
    /// Dead members are probed too: after a partition each side considers the other dead, and only
    /// a probe between them lets them merge again.
    fn next_in_round(&mut self) -> Option<ids::InstanceId> {
        loop {
            if self.round.is_empty() {
                self.refill_round();
            }
            let member = self.round.pop()?;
            if self.view.get(member).is_some() {
                return Some(member);
            }
        }
    }

    fn refill_round(&mut self) {
        let own = self.own.instance;
        let wanted = |record: &record::MemberRecord| {
            record.instance != own
                && record.liveness.version < u32::MAX
                && !matches!(record.phase, record::MemberPhase::Left { .. })
        };
        let members = self.view.iter().map(|member| &member.record);
        self.round = members.filter(|record| wanted(record)).map(|r| r.instance).collect();
        for index in (1..self.round.len()).rev() {
            let other = self.rng.random_range(0..=index);
            self.round.swap(index, other);
        }
    }

    /// The most transmissions of an update: a multiple of the logarithm of the fleet's size.
    fn retransmit_limit(&self) -> u32 {
        3 * (usize::BITS - self.view.len().leading_zeros()).max(1)
    }
}

impl MemberProber {
    /// The record of this process.
    pub fn own(&self) -> &record::MemberRecord {
        &self.own
    }

    /// The merged records of all members.
    pub fn view(&self) -> &view::MemberView {
        &self.view
    }

    /// The number of changes of the view so far.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// A random number, for jitter of the caller's timers.
    pub fn random_u64(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
