//! Answers (whole or block by block), refusals, and tickets for the next request.

use std::net;
use std::sync;

use rand::Rng as _;

use crate::agent;
use crate::agent::bodies;
use crate::agent::requests;
use crate::balancer;
use crate::ids;
use crate::message;
use crate::ticket;

/// Block size if the caller does not request one, in bytes.
const DEFAULT_BLOCK_BYTES: u32 = 1_024;

/// A ticket is renewed once it is older than its lifetime divided by this.
const RENEWAL_DIVISOR: u64 = 4;

/// The recipient of an answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerTarget {
    pub(super) via: ids::InstanceId,
    pub(super) address: net::SocketAddr,
    pub(super) caller: net::SocketAddr,
    pub(super) exchange: message::ExchangeId,
    pub(super) wanted: Option<message::BodyBlock>,
    pub(super) ticket: Option<ticket::RequestTicket>,
    pub(super) on_behalf_of: Option<ids::InstanceId>,
    pub(super) path: String,
}

impl AnswerTarget {
    pub(super) fn new(
        packet: &message::ForwardPacket,
        request: &message::CallerRequest,
        ticket: Option<ticket::RequestTicket>,
    ) -> AnswerTarget {
        AnswerTarget {
            via: packet.via,
            address: packet.address,
            caller: packet.caller,
            exchange: request.exchange.clone(),
            wanted: request.wanted,
            ticket,
            on_behalf_of: packet.on_behalf_of,
            path: request.path.clone(),
        }
    }

    /// The key of a stored answer: the ticket's session if there is one, else the caller.
    fn body_key(&self, service: ids::ServiceId) -> bodies::BodyKey {
        let flow = crate::placement::FlowKey { service, caller: self.caller };
        let conversation = self.ticket.map_or_else(|| flow.stable_hash(), |ticket| ticket.session);
        bodies::BodyKey { conversation, path: self.path.clone() }
    }
}

impl agent::AgentEngine {
    pub(super) fn fetch_body(
        &mut self,
        target: &AnswerTarget,
        now: ids::UnixMillis,
    ) -> Option<sync::Arc<message::BackendAnswer>> {
        let block = target.wanted.filter(|block| block.number > 0)?;
        self.bodies.fetch(&target.body_key(self.config.service), block, now)
    }

    pub(super) fn answer(
        &mut self,
        target: &AnswerTarget,
        whole: &sync::Arc<message::BackendAnswer>,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let mut target = target.clone();
        let ticket = self.ticket_for_answer(&mut target, now);
        let wanted = target.wanted.unwrap_or(message::BodyBlock {
            number: 0,
            more: false,
            size: DEFAULT_BLOCK_BYTES,
        });
        let start = wanted.offset().min(whole.body.len());
        let end = (start + wanted.size as usize).min(whole.body.len());
        let is_blockwise = whole.body.len() > wanted.size as usize;
        if is_blockwise {
            self.store_body(&target, whole, wanted, now);
        }
        let block = message::BodyBlock { more: end < whole.body.len(), ..wanted };
        let answer = message::AgentAnswer::Body {
            status: whole.status,
            payload: whole.body[start..end].to_vec(),
            block: is_blockwise.then_some(block),
            body_tag: whole.body_tag(),
        };
        self.push_answer(&target, answer, ticket, actions);
    }

    /// Stores a large answer on its first block; marks progress on later blocks.
    ///
    /// A drain waits until the last block has been fetched. Answers replayed from the request
    /// record count as fetched only through this call.
    fn store_body(
        &mut self,
        target: &AnswerTarget,
        whole: &sync::Arc<message::BackendAnswer>,
        wanted: message::BodyBlock,
        now: ids::UnixMillis,
    ) {
        let key = target.body_key(self.config.service);
        match wanted.number {
            0 => self.bodies.insert(key, whole, now),
            _ => drop(self.bodies.fetch(&key, wanted, now)),
        }
    }

    pub(super) fn acknowledge_block(
        &mut self,
        target: &AnswerTarget,
        block: message::BodyBlock,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let answer = message::AgentAnswer::Continue { block };
        self.push_answer(target, answer, None, actions);
    }

    fn push_answer(
        &mut self,
        target: &AnswerTarget,
        answer: message::AgentAnswer,
        ticket: Option<Vec<u8>>,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let Some(to) = self.answer_address(target.via) else {
            return actions.push(agent::AgentAction::Drop(balancer::DropReason::NoAgent));
        };
        let reply = message::ReplyPacket {
            head: self.head(),
            service: self.config.service,
            address: target.address,
            caller: target.caller,
            payload: Vec::new(),
        };
        let exchange = target.exchange.clone();
        actions.push(agent::AgentAction::Answer { to, reply, exchange, answer, ticket });
    }

    pub(super) fn refuse(
        &mut self,
        target: &AnswerTarget,
        kind: message::RefusalKind,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let Some(to) = self.answer_address(target.via) else {
            return actions.push(agent::AgentAction::Drop(balancer::DropReason::NoAgent));
        };
        let refuse = message::RefusalPacket {
            head: self.head(),
            service: self.config.service,
            address: target.address,
            caller: target.caller,
            exchange: target.exchange.clone(),
            kind,
            on_behalf_of: target.on_behalf_of,
        };
        actions.push(agent::AgentAction::Send { to, packet: message::PeerPacket::Refuse(refuse) });
    }

    /// Issues or renews the caller's ticket, if it is due and this agent accepts work.
    ///
    /// A renewed ticket keeps its session, so that a request repeated under it still matches the
    /// record of the first attempt. Only the run that a ticket names may renew it, because that
    /// run has to retain the record for longer.
    fn ticket_for_answer(
        &mut self,
        target: &mut AnswerTarget,
        now: ids::UnixMillis,
    ) -> Option<Vec<u8>> {
        let is_busy = self.gate.waiting() >= self.gate.slots();
        if self.draining || is_busy || self.consecutive_failures >= requests::FAILURE_THRESHOLD {
            return None;
        }
        let issued_s = now.as_secs() as u32;
        let fresh = match target.ticket {
            None => ticket::RequestTicket {
                home: self.config.instance,
                service: self.config.service,
                issued_s,
                session: self.rng.next_u64(),
            },
            Some(held) if held.home != self.config.instance => return None,
            Some(held) => {
                let left_ms = held.expires().since(now);
                let is_recent = left_ms
                    > ticket::TICKET_LIFETIME_MS - ticket::TICKET_LIFETIME_MS / RENEWAL_DIVISOR;
                if is_recent || !self.ledger.may_extend(held.session, now) {
                    return None;
                }
                self.ledger.extend_session(held.session, issued_s, now);
                ticket::RequestTicket { issued_s, ..held }
            }
        };
        let sealed = self.state.keys().seal(&fresh, now)?;
        target.ticket = Some(fresh);
        Some(sealed)
    }
}
