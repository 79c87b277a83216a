//! Request handling: running, queueing, replaying, refusing and forwarding.

use std::sync;

use rand::Rng as _;
use rand::RngExt as _;

use crate::admission;
use crate::agent;
use crate::agent::answers;
use crate::agent::handover;
use crate::balancer;
use crate::ids;
use crate::ledger;
use crate::message;
use crate::ticket;
use crate::uploads;

/// Consecutive failures after which an agent reports its backend server as failing.
pub const FAILURE_THRESHOLD: u32 = 5;

/// Delay after the last failure until a failing backend server is tried again, in milliseconds.
pub(crate) const HALF_OPEN_DELAY_MS: u64 = 5_000;

/// The most agents that an idempotent request is tried at.
const MAX_ATTEMPTS: usize = 3;

/// A running or queued request.
#[derive(Clone, Debug)]
pub(crate) struct ActiveExecution {
    request: message::CallerRequest,
    packet: message::ForwardPacket,
    recorded: Option<RecordedKey>,
    targets: Vec<answers::AnswerTarget>,
    deadline: ids::UnixMillis,
    started: Option<ids::UnixMillis>,
}

#[derive(Clone, Copy, Debug)]
struct RecordedKey {
    key: ledger::RequestKey,
    issued_s: u32,
}

/// Whether a request is the recorded one, or a block of it.
pub(crate) fn is_same_request(
    entry: &ledger::LedgerEntry,
    request: &message::CallerRequest,
) -> bool {
    match (request.upload, request.wanted) {
        (_, Some(wanted)) if wanted.number > 0 => true,
        (Some(block), _) if block.more => true,
        (Some(block), _) if block.number > 0 => entry.last_block == Some(request.digest()),
        _ => entry.digest == request.digest(),
    }
}

impl agent::AgentEngine {
    /// Handles a packet that carries a request.
    pub(crate) fn handle_request(
        &mut self,
        packet: message::ForwardPacket,
        request: Option<message::CallerRequest>,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let Some(request) = request else {
            return actions.push(agent::AgentAction::Drop(balancer::DropReason::Unanswerable));
        };
        let opened = request.ticket.as_deref().map(|sealed| self.state.keys().open(sealed));
        let ticket = opened
            .and_then(Result::ok)
            .filter(|ticket| ticket.service == self.config.service && ticket.expires() > now);
        let arrival = RequestArrival { packet, request, ticket };
        let is_idempotent = arrival.request.method.is_idempotent();
        match (arrival.packet.on_behalf_of, ticket) {
            (Some(home), Some(ticket)) if home == ticket.home && !is_idempotent => {
                self.serve_for_predecessor(arrival, ticket, now, actions);
            }
            _ if is_idempotent && arrival.request.upload.is_none() => {
                self.serve_idempotent(arrival, now, actions);
            }
            (_, Some(ticket)) if ticket.home == self.config.instance => {
                self.serve_at_home(arrival, ticket, now, actions);
            }
            // The run that held the earlier blocks has left; nothing of the upload has run.
            _ if is_idempotent => {
                self.refuse(&arrival.target(), message::RefusalKind::NeedTicket, actions);
            }
            _ => self.refuse(&arrival.target(), message::RefusalKind::OutcomeUnknown, actions),
        }
    }

    /// Processes the result of an execution and starts the next queued request.
    pub(crate) fn end_execution(
        &mut self,
        execution: admission::ExecutionId,
        outcome: agent::ExecutionOutcome,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        // An execution that timed out has already been answered and cancelled.
        let Some(active) = self.executions.remove(&execution) else { return };
        self.update_health(&outcome, now);
        let ran_ms = active.started.map_or(0, |started| now.since(started));
        match outcome {
            agent::ExecutionOutcome::Answered(answer) => {
                self.budget.earn(self.rules().retry_percent);
                self.complete_run(active, sync::Arc::new(answer), now, actions);
            }
            agent::ExecutionOutcome::Shed { after_s } => {
                let after_s = after_s.unwrap_or_else(|| self.retry_delay_s());
                self.fail_run(active, message::RefusalKind::RetryAfter { after_s }, now, actions);
            }
            agent::ExecutionOutcome::ConnectFailed => {
                let after_s = self.retry_delay_s();
                self.fail_run(active, message::RefusalKind::RetryAfter { after_s }, now, actions);
            }
            agent::ExecutionOutcome::Broken => {
                self.fail_run(active, message::RefusalKind::OutcomeUnknown, now, actions);
            }
        }
        self.release_slot(ran_ms, now, actions);
    }

    /// Cancels runs past their deadline and answers their callers.
    pub(crate) fn time_out_runs(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let is_late =
            |active: &&ActiveExecution| active.started.is_some() && active.deadline <= now;
        let expired: Vec<_> = self
            .executions
            .iter()
            .filter(|(_, a)| is_late(a))
            .map(|(execution, _)| *execution)
            .collect();
        for execution in expired {
            actions.push(agent::AgentAction::CancelExecution { execution });
            self.end_execution(execution, agent::ExecutionOutcome::Broken, now, actions);
        }
    }

    /// Refuses queued requests past their deadline, and lets a failing backend server be retried.
    pub(crate) fn refuse_expired(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let expired = self.gate.drop_expired(now);
        self.refuse_unstarted(expired, now, actions);
        let is_over = self.last_failure.is_some_and(|last| now.since(last) >= HALF_OPEN_DELAY_MS);
        if is_over && self.consecutive_failures >= FAILURE_THRESHOLD {
            self.consecutive_failures = FAILURE_THRESHOLD - 1;
        }
    }

    /// Refuses all queued requests, after this process was paused.
    ///
    /// Peers may have declared this process dead and told its callers that the outcome is unknown.
    /// The queued requests must not run without a waiting caller.
    pub(crate) fn refuse_queued(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let waiting = self.gate.clear_waiting();
        self.refuse_unstarted(waiting, now, actions);
    }

    fn refuse_unstarted(
        &mut self,
        executions: Vec<admission::ExecutionId>,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        for execution in executions {
            let Some(active) = self.executions.remove(&execution) else { continue };
            let kind = message::RefusalKind::RetryAfter { after_s: self.retry_delay_s() };
            self.refuse_run(&active, kind, now, actions);
        }
    }

    /// Answers on behalf of a departed run from its imported record.
    fn serve_for_predecessor(
        &mut self,
        arrival: RequestArrival,
        ticket: ticket::RequestTicket,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let key = arrival.key(&ticket);
        let target = arrival.target();
        match self.imported_state(ticket.home, key, &arrival.request) {
            Some(handover::ImportedState::Done(answer)) => {
                self.answer(&target, &answer, now, actions);
            }
            Some(handover::ImportedState::NotRun) => {
                self.refuse(&target, message::RefusalKind::NeedTicket, actions);
            }
            Some(handover::ImportedState::Reused) => {
                self.refuse(&target, message::RefusalKind::TagReused, actions);
            }
            Some(handover::ImportedState::Unknown) | None => {
                self.refuse(&target, message::RefusalKind::OutcomeUnknown, actions);
            }
        }
    }

    fn serve_idempotent(
        &mut self,
        arrival: RequestArrival,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let target = arrival.target();
        if let Some(answer) = self.fetch_body(&target, now) {
            return self.answer(&target, &answer, now, actions);
        }
        if !self.draining {
            return self.admit(arrival, None, now, actions);
        }
        if !self.forward_request(&arrival.packet, false, now, actions) {
            let kind = message::RefusalKind::RetryAfter { after_s: self.retry_delay_s() };
            self.refuse(&target, kind, actions);
        }
    }

    /// Serves a request whose ticket names this run.
    fn serve_at_home(
        &mut self,
        arrival: RequestArrival,
        ticket: ticket::RequestTicket,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let key = arrival.key(&ticket);
        if let Some(entry) = self.ledger.get(key) {
            let entry = entry.clone();
            return self.replay_outcome(arrival, key, &entry, now, actions);
        }
        let target = arrival.target();
        if let Some(answer) = self.fetch_body(&target, now) {
            return self.answer(&target, &answer, now, actions);
        }
        let is_started = self.uploads.contains(key);
        let wants_later_block = target.wanted.is_some_and(|block| block.number > 0);
        match () {
            // The answer is no longer stored. Running the request to produce it again would
            // repeat a non-idempotent action.
            _ if wants_later_block => {
                self.refuse(&target, message::RefusalKind::UploadIncomplete, actions);
            }
            _ if self.ledger.is_below_floor(ticket.issued_s) => {
                let kind = message::RefusalKind::RetryAfter { after_s: self.retry_delay_s() };
                self.refuse(&target, kind, actions);
            }
            _ if self.draining && !is_started => {
                let digest = arrival.request.digest();
                self.ledger.refuse(key, digest, ticket.issued_s, now);
                self.refuse(&target, message::RefusalKind::NeedTicket, actions);
            }
            _ if arrival.request.upload.is_some() => {
                self.accept_block(arrival, key, ticket, now, actions);
            }
            _ => self.run_once(arrival, key, ticket, None, now, actions),
        }
    }

    /// Answers a repeated request with the recorded outcome.
    fn replay_outcome(
        &mut self,
        arrival: RequestArrival,
        key: ledger::RequestKey,
        entry: &ledger::LedgerEntry,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let target = arrival.target();
        // A caller that reuses a request id must not get the answer to another request.
        if !is_same_request(entry, &arrival.request) {
            return self.refuse(&target, message::RefusalKind::TagReused, actions);
        }
        if let Some(block) = arrival.request.upload.filter(|block| block.more) {
            return self.acknowledge_block(&target, block, actions);
        }
        match &entry.state {
            ledger::RequestState::Done(answer) => self.answer(&target, answer, now, actions),
            ledger::RequestState::Refused => {
                let kind = message::RefusalKind::RetryAfter { after_s: self.retry_delay_s() };
                self.refuse(&target, kind, actions);
            }
            ledger::RequestState::Unknown => {
                self.refuse(&target, message::RefusalKind::OutcomeUnknown, actions);
            }
            ledger::RequestState::Running => self.join_run(key, target),
        }
    }

    /// Adds a repeated request to the targets of the execution in progress.
    fn join_run(&mut self, key: ledger::RequestKey, target: answers::AnswerTarget) {
        let same = |active: &&mut ActiveExecution| {
            active.recorded.is_some_and(|recorded| recorded.key == key)
        };
        let Some(active) = self.executions.values_mut().find(same) else { return };
        // A retransmission of the same exchange replaces the earlier target.
        active
            .targets
            .retain(|held| (held.caller, &held.exchange) != (target.caller, &target.exchange));
        active.targets.push(target);
        if active.targets.len() > MAX_JOINED_TARGETS {
            active.targets.remove(0);
        }
    }

    fn accept_block(
        &mut self,
        mut arrival: RequestArrival,
        key: ledger::RequestKey,
        ticket: ticket::RequestTicket,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let Some(block) = arrival.request.upload else { return };
        let limit = self.rules().body_limit;
        let last_block = arrival.request.digest();
        let payload = &arrival.request.payload;
        let outcome = self.uploads.accept(key, block, payload, limit as usize, now);
        let target = arrival.target();
        match outcome {
            uploads::UploadOutcome::Partial => self.acknowledge_block(&target, block, actions),
            uploads::UploadOutcome::Complete(body) => {
                arrival.request.payload = body;
                let last_block = (block.number > 0).then_some(last_block);
                match arrival.request.method.is_idempotent() {
                    true => self.admit(arrival, None, now, actions),
                    false => self.run_once(arrival, key, ticket, last_block, now, actions),
                }
            }
            uploads::UploadOutcome::Incomplete => {
                self.refuse(&target, message::RefusalKind::UploadIncomplete, actions);
            }
            uploads::UploadOutcome::TooLarge => {
                self.refuse(&target, message::RefusalKind::TooLarge { limit }, actions);
            }
            uploads::UploadOutcome::Full => {
                let kind = message::RefusalKind::RetryAfter { after_s: self.retry_delay_s() };
                self.refuse(&target, kind, actions);
            }
        }
    }

    fn run_once(
        &mut self,
        arrival: RequestArrival,
        key: ledger::RequestKey,
        ticket: ticket::RequestTicket,
        last_block: Option<u128>,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let digest = arrival.request.digest();
        let state = ledger::RequestState::Running;
        let entry = ledger::LedgerEntry { digest, last_block, state };
        if !self.ledger.begin(key, entry, ticket.issued_s, now) {
            self.ledger.refuse(key, digest, ticket.issued_s, now);
            let kind = message::RefusalKind::RetryAfter { after_s: self.retry_delay_s() };
            return self.refuse(&arrival.target(), kind, actions);
        }
        let recorded = RecordedKey { key, issued_s: ticket.issued_s };
        self.admit(arrival, Some(recorded), now, actions);
    }

    fn admit(
        &mut self,
        arrival: RequestArrival,
        recorded: Option<RecordedKey>,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let target = arrival.target();
        let deadline = arrival.packet.expires;
        let execution = admission::ExecutionId(self.next_execution);
        self.next_execution += 1;
        let spread = self.rng.next_u64();
        let mut active = ActiveExecution {
            request: arrival.request,
            packet: arrival.packet,
            recorded,
            targets: vec![target],
            deadline,
            started: None,
        };
        match self.gate.offer(execution, deadline, spread, now) {
            admission::AdmissionDecision::Start => {
                active.started = Some(now);
                let request = active.request.clone();
                self.executions.insert(execution, active);
                actions.push(agent::AgentAction::StartExecution { execution, request, deadline });
            }
            admission::AdmissionDecision::Wait => drop(self.executions.insert(execution, active)),
            admission::AdmissionDecision::Refuse { after_s } => {
                let kind = message::RefusalKind::RetryAfter { after_s };
                self.fail_run(active, kind, now, actions);
            }
        }
    }

    fn release_slot(
        &mut self,
        ran_ms: u64,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let release = self.gate.finish(ran_ms, now);
        self.refuse_unstarted(release.expired, now, actions);
        let Some(execution) = release.start else { return };
        let Some(active) = self.executions.get_mut(&execution) else { return };
        active.started = Some(now);
        let (request, deadline) = (active.request.clone(), active.deadline);
        actions.push(agent::AgentAction::StartExecution { execution, request, deadline });
    }

    fn complete_run(
        &mut self,
        active: ActiveExecution,
        answer: sync::Arc<message::BackendAnswer>,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        if let Some(recorded) = active.recorded {
            self.ledger.settle(recorded.key, ledger::RequestState::Done(answer.clone()));
        }
        for target in &active.targets {
            self.answer(target, &answer, now, actions);
        }
    }

    /// Handles a failed execution: forwards the request if it may be retried, else refuses it.
    fn fail_run(
        &mut self,
        active: ActiveExecution,
        kind: message::RefusalKind,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let may_repeat = active.recorded.is_none() && active.request.upload.is_none();
        if may_repeat && self.forward_request(&active.packet, true, now, actions) {
            return;
        }
        self.refuse_run(&active, kind, now, actions);
    }

    fn refuse_run(
        &mut self,
        active: &ActiveExecution,
        kind: message::RefusalKind,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        match active.recorded {
            Some(recorded) if kind == message::RefusalKind::OutcomeUnknown => {
                self.ledger.settle(recorded.key, ledger::RequestState::Unknown);
            }
            Some(recorded) => {
                let digest = active.request.digest();
                self.ledger.refuse(recorded.key, digest, recorded.issued_s, now);
            }
            None => {}
        }
        for target in &active.targets {
            self.refuse(target, kind, actions);
        }
    }

    /// Forwards an idempotent request to another agent; returns false if that is not possible.
    fn forward_request(
        &mut self,
        packet: &message::ForwardPacket,
        from_budget: bool,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) -> bool {
        let message::ForwardStep::Request { tried } = &packet.step else { return false };
        let mut tried = tried.clone();
        tried.push(self.config.instance);
        if tried.len() >= MAX_ATTEMPTS || packet.expires <= now {
            return false;
        }
        let Some(spec) = self.state.service(self.config.service) else { return false };
        let rng = &mut self.rng;
        let draw = |len| rng.random_range(0..len);
        let chosen = self.routes.choose_worker(spec, &self.load_tracker, &tried, now, draw);
        let Some(other) = chosen else { return false };
        if from_budget && !self.budget.spend() {
            return false;
        }
        let mut packet = packet.clone();
        packet.head = self.head();
        packet.target = other;
        packet.on_behalf_of = None;
        packet.hops += 1;
        packet.step = message::ForwardStep::Request { tried };
        self.send_to(other, message::PeerPacket::Forward(packet), actions);
        true
    }

    fn update_health(&mut self, outcome: &agent::ExecutionOutcome, now: ids::UnixMillis) {
        match outcome {
            agent::ExecutionOutcome::Answered(_) => self.consecutive_failures = 0,
            agent::ExecutionOutcome::Shed { .. } => {}
            agent::ExecutionOutcome::ConnectFailed | agent::ExecutionOutcome::Broken => {
                self.consecutive_failures += 1;
                self.last_failure = Some(now);
            }
        }
    }

    fn retry_delay_s(&mut self) -> u32 {
        let spread = self.rng.next_u64();
        self.gate.retry_delay_s(spread)
    }
}

/// The most repetitions of a running request that are answered together with it.
const MAX_JOINED_TARGETS: usize = 8;

struct RequestArrival {
    packet: message::ForwardPacket,
    request: message::CallerRequest,
    ticket: Option<ticket::RequestTicket>,
}

impl RequestArrival {
    fn target(&self) -> answers::AnswerTarget {
        answers::AnswerTarget::new(&self.packet, &self.request, self.ticket)
    }

    fn key(&self, ticket: &ticket::RequestTicket) -> ledger::RequestKey {
        ledger::RequestKey { session: ticket.session, tag: self.request.tag }
    }
}
