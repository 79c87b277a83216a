//! Ownership and routing of flows of opaque datagrams.
//!
//! Balancers send a flow's first datagram to its anchor, the first candidate by hashing. An anchor
//! that does not know the flow queries the next candidates before it treats the flow as new, so
//! that balancers with different views reach the same owner. The owner is authoritative; it
//! registers the flow with the first candidates of its view, and again when these change.

use std::net;

use crate::agent;
use crate::balancer;
use crate::flow_table;
use crate::ids;
use crate::load;
use crate::message;
use crate::placement;
use crate::routing;

impl agent::AgentEngine {
    /// Handles a packet that carries a datagram of a flow.
    pub(crate) fn handle_flow(
        &mut self,
        packet: message::ForwardPacket,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let flow = packet.flow();
        if self.flows.owns(&flow) {
            return self.deliver_to_backend(packet, now, actions);
        }
        match packet.step.clone() {
            message::ForwardStep::FlowAdopt => self.adopt_flow(packet, now, actions),
            message::ForwardStep::FlowMissing => self.handle_lookup_miss(packet, now, actions),
            message::ForwardStep::FlowLookup { anchor, reply_to, rest } => {
                let origin = LookupOrigin { anchor, reply_to };
                self.answer_lookup(packet, origin, rest, now, actions);
            }
            _ => self.find_owner(packet, now, actions),
        }
    }

    /// Handles another agent's notice about the owner of a flow.
    pub(crate) fn handle_owner_notice(
        &mut self,
        from: ids::InstanceId,
        flow: placement::FlowKey,
        notice: message::OwnerNotice,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let owner = match notice {
            message::OwnerNotice::Closed => return self.flows.forget_owner(&flow, from),
            message::OwnerNotice::Owned(owner) => owner,
            // The other anchor's lookup has precedence; it will send the owner.
            message::OwnerNotice::Yield => {
                return self.forward_held(flow, from, message::ForwardStep::FlowFirst, actions);
            }
        };
        match () {
            _ if self.flows.owns(&flow) => {}
            _ if owner == self.config.instance => self.adopt_pending(flow, now, actions),
            _ => {
                self.flows.learn_owner(flow, owner);
                self.forward_held(flow, owner, message::ForwardStep::FlowOwned, actions);
            }
        }
    }

    /// Adopts a flow that other agents attribute to this one, if it is being looked up here.
    ///
    /// The packet that assigns the flow is delayed or lost. Ending the lookup here keeps it from
    /// timing out and placing the flow a second time.
    fn adopt_pending(
        &mut self,
        flow: placement::FlowKey,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let Some(pending) = self.flows.end_lookup(&flow) else { return };
        self.adopt_flow(pending.first, now, actions);
        for packet in pending.held {
            self.handle_flow(packet, now, actions);
        }
    }

    /// Sends a datagram of the backend server to the caller.
    pub(crate) fn reply_to_caller(
        &mut self,
        flow: placement::FlowKey,
        payload: Vec<u8>,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let Some(owned) = self.flows.owned_mut(&flow) else { return };
        owned.last_activity = now;
        let (address, via) = (owned.address, owned.via);
        let Some(to) = self.answer_address(via) else {
            return actions.push(agent::AgentAction::Drop(balancer::DropReason::NoAgent));
        };
        let head = self.head();
        let reply = message::ReplyPacket {
            head,
            service: flow.service,
            address,
            caller: flow.caller,
            payload,
        };
        let packet = message::PeerPacket::Reply(reply);
        actions.push(agent::AgentAction::Send { to, packet });
    }

    /// Retries lookups that timed out; places the flow after the last attempt.
    pub(crate) fn expire_lookups(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        for flow in self.flows.overdue(now) {
            if let Some(first) = self.flows.retry_lookup(&flow, now) {
                self.query_candidates(first, now, actions);
                continue;
            }
            let Some(pending) = self.flows.end_lookup(&flow) else { continue };
            let mut first = pending.first;
            first.step = message::ForwardStep::FlowFirst;
            self.place_flow(first, now, actions);
            for packet in pending.held {
                self.handle_flow(packet, now, actions);
            }
        }
    }

    /// Closes flows that have been idle for longer than the service allows.
    pub(crate) fn close_idle_flows(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let idle_ms = u64::from(self.rules().flow_idle_s) * 1_000;
        for flow in self.flows.idle(idle_ms, now) {
            let Some(owned) = self.flows.close(&flow) else { continue };
            actions.push(agent::AgentAction::CloseFlow { flow });
            for anchor in owned.anchors {
                self.send_owner_notice(anchor, flow, message::OwnerNotice::Closed, actions);
            }
        }
    }

    /// Registers each owned flow with its current anchors.
    ///
    /// The anchors change when agents join or die. Without a registration at the new ones, an open
    /// flow would not be found once its balancers are replaced, and would be placed a second time.
    /// New agents are queried only after a settling time, by when the owner has registered there.
    pub(crate) fn register_flows(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let flows: Vec<_> = self.flows.all_owned().map(|(flow, _)| *flow).collect();
        for flow in flows {
            self.register_flow(&flow, now, actions);
        }
    }

    fn register_flow(
        &mut self,
        flow: &placement::FlowKey,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let mut anchors = self.routes.anchors(flow, &self.view, now);
        anchors.remove(&self.config.instance);
        let Some(owned) = self.flows.owned_mut(flow) else { return };
        let before = std::mem::replace(&mut owned.anchors, anchors.clone());
        let notice = message::OwnerNotice::Owned(self.config.instance);
        for anchor in anchors.difference(&before) {
            self.send_owner_notice(*anchor, *flow, notice, actions);
        }
    }

    fn deliver_to_backend(
        &mut self,
        packet: message::ForwardPacket,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let flow = packet.flow();
        let Some(owned) = self.flows.owned_mut(&flow) else { return };
        owned.last_activity = now;
        owned.via = packet.via;
        let notice = message::OwnerNotice::Owned(self.config.instance);
        match &packet.step {
            message::ForwardStep::FlowOwned => {}
            message::ForwardStep::FlowLookup { reply_to, .. } => {
                self.send_owner_notice_to(*reply_to, flow, notice, actions);
                self.send_owner_notice(packet.via, flow, notice, actions);
            }
            _ => self.send_owner_notice(packet.via, flow, notice, actions),
        }
        actions.push(agent::AgentAction::FlowDatagram { flow, payload: packet.payload });
    }

    fn find_owner(
        &mut self,
        packet: message::ForwardPacket,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let flow = packet.flow();
        let known = self.flows.known_owner(&flow).filter(|owner| self.is_reachable(*owner));
        match known {
            Some(owner) => self.forward_to(packet, owner, message::ForwardStep::FlowOwned, actions),
            None if self.flows.is_pending(&flow) => {
                if !self.flows.hold(&packet) {
                    actions.push(agent::AgentAction::Drop(balancer::DropReason::LookupFull));
                }
            }
            None => self.begin_lookup(packet, now, actions),
        }
    }

    fn begin_lookup(
        &mut self,
        packet: message::ForwardPacket,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        self.flows.start_lookup(&packet, now);
        self.query_candidates(packet, now, actions);
    }

    /// Sends a datagram along the other candidates to find the flow's owner.
    fn query_candidates(
        &mut self,
        packet: message::ForwardPacket,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let mut others = self.lookup_candidates(&packet.flow(), now);
        if others.is_empty() {
            return self.handle_lookup_miss(packet, now, actions);
        }
        // The chain of queries ends at a candidate that has died unnoticed. Each attempt starts
        // with a different one, so that in some attempt the others come before it.
        let attempt = self.flows.lookup_attempts(&packet.flow()) as usize;
        let length = others.len();
        others.rotate_left(attempt % length);
        let Some(own) = self.view.get(self.config.instance) else { return };
        let (anchor, reply_to) = (own.instance, own.packet_address);
        let first = others.remove(0);
        let step = message::ForwardStep::FlowLookup { anchor, reply_to, rest: others };
        self.forward_to(packet, first, step, actions);
    }

    fn answer_lookup(
        &mut self,
        packet: message::ForwardPacket,
        origin: LookupOrigin,
        mut rest: Vec<ids::InstanceId>,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let flow = packet.flow();
        let known = self.flows.known_owner(&flow).filter(|owner| self.is_reachable(*owner));
        if let Some(owner) = known {
            let notice = message::OwnerNotice::Owned(owner);
            self.send_owner_notice_to(origin.reply_to, flow, notice, actions);
            return self.forward_to(packet, owner, message::ForwardStep::FlowOwned, actions);
        }
        // Two anchors with different views look up the same flow at once. If both continued, the
        // flow would be placed twice. Of two that query each other exactly one yields, since both
        // compare the same ranks. An anchor that this agent does not query always has to yield.
        if self.flows.is_pending(&flow) && self.has_precedence_over(origin.anchor, &flow, now) {
            self.send_owner_notice_to(origin.reply_to, flow, message::OwnerNotice::Yield, actions);
            if !self.flows.hold(&packet) {
                actions.push(agent::AgentAction::Drop(balancer::DropReason::LookupFull));
            }
            return;
        }
        let LookupOrigin { anchor, reply_to } = origin;
        match rest.is_empty() {
            true => {
                let step = message::ForwardStep::FlowMissing;
                self.forward_to_address(packet, anchor, reply_to, step, actions);
            }
            false => {
                let next = rest.remove(0);
                let step = message::ForwardStep::FlowLookup { anchor, reply_to, rest };
                self.forward_to(packet, next, step, actions);
            }
        }
    }

    /// The agents that this one queries about a flow.
    fn lookup_candidates(
        &self,
        flow: &placement::FlowKey,
        now: ids::UnixMillis,
    ) -> Vec<ids::InstanceId> {
        let mut others = self.routes.settled(flow, &self.view, now);
        others.retain(|host| *host != self.config.instance);
        others.truncate(routing::LOOKUP_FANOUT);
        others
    }

    /// Whether this agent's lookup of a flow takes precedence over the one of `other`.
    fn has_precedence_over(
        &self,
        other: ids::InstanceId,
        flow: &placement::FlowKey,
        now: ids::UnixMillis,
    ) -> bool {
        let asked = self.lookup_candidates(flow, now);
        let rank = |host: ids::InstanceId| (ids::mix_words(host.0, flow.stable_hash()), host);
        !asked.contains(&other) || rank(self.config.instance) > rank(other)
    }

    fn handle_lookup_miss(
        &mut self,
        packet: message::ForwardPacket,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let flow = packet.flow();
        match self.flows.end_lookup(&flow) {
            Some(pending) => {
                self.place_flow(packet, now, actions);
                for held in pending.held {
                    self.handle_flow(held, now, actions);
                }
            }
            // The lookup has already ended for another reason.
            None => self.find_owner(packet, now, actions),
        }
    }

    /// Assigns a new flow to the least loaded of the first candidates.
    fn place_flow(
        &mut self,
        packet: message::ForwardPacket,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let flow = packet.flow();
        match self.choose_owner(&flow, now) {
            None => actions.push(agent::AgentAction::Drop(balancer::DropReason::FlowsFull)),
            Some(owner) if owner == self.config.instance => {
                self.open_flow(packet, now, actions);
            }
            Some(owner) => {
                self.load_tracker.note_sent(owner, load::LoadKind::Flows, now);
                self.flows.learn_owner(flow, owner);
                self.forward_to(packet, owner, message::ForwardStep::FlowAdopt, actions);
            }
        }
    }

    /// Becomes the owner of a flow, or places it elsewhere if this agent is full or draining.
    ///
    /// The packet may be duplicated; the flow is placed only once, or it would have two owners.
    fn adopt_flow(
        &mut self,
        packet: message::ForwardPacket,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        match self.accepts_flows() {
            true => self.open_flow(packet, now, actions),
            false if self.flows.known_owner(&packet.flow()).is_some() => {
                self.find_owner(packet, now, actions);
            }
            false => self.place_flow(packet, now, actions),
        }
    }

    fn open_flow(
        &mut self,
        packet: message::ForwardPacket,
        now: ids::UnixMillis,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let flow = packet.flow();
        let owned = flow_table::OwnedFlow {
            address: packet.address,
            via: packet.via,
            last_activity: now,
            anchors: Default::default(),
        };
        self.flows.open(flow, owned);
        self.register_flow(&flow, now, actions);
        self.deliver_to_backend(packet, now, actions);
        // A datagram that was delivered before this one may have started a lookup of the flow.
        // End it, or it would time out and place the flow a second time.
        let concurrent = self.flows.end_lookup(&flow).map(|pending| pending.held);
        for packet in concurrent.into_iter().flatten() {
            self.deliver_to_backend(packet, now, actions);
        }
    }

    fn choose_owner(
        &mut self,
        flow: &placement::FlowKey,
        now: ids::UnixMillis,
    ) -> Option<ids::InstanceId> {
        let spec = self.spec()?.clone();
        let own_load = self.load();
        self.load_tracker.record_load(self.config.instance, own_load, now);
        let candidates: Vec<_> = self
            .routes
            .settled(flow, &self.view, now)
            .into_iter()
            .filter(|host| self.has_flow_room(*host, spec.host_connections))
            .take(routing::LOOKUP_FANOUT)
            .filter_map(|host| self.view.get(host))
            .map(|record| load::WorkCandidate {
                host: record.instance,
                started: record.started,
                is_near: true,
            })
            .collect();
        load::choose(&candidates, &self.load_tracker, load::LoadKind::Flows, &spec, now)
    }

    fn forward_held(
        &mut self,
        flow: placement::FlowKey,
        target: ids::InstanceId,
        step: message::ForwardStep,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let Some(pending) = self.flows.end_lookup(&flow) else { return };
        for packet in pending.held {
            self.forward_to(packet, target, step.clone(), actions);
        }
    }

    fn forward_to(
        &mut self,
        packet: message::ForwardPacket,
        target: ids::InstanceId,
        step: message::ForwardStep,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        match self.view.get(target).map(|record| record.packet_address) {
            Some(to) => self.forward_to_address(packet, target, to, step, actions),
            None => actions.push(agent::AgentAction::Drop(balancer::DropReason::NoAgent)),
        }
    }

    fn forward_to_address(
        &mut self,
        mut packet: message::ForwardPacket,
        target: ids::InstanceId,
        to: net::SocketAddr,
        step: message::ForwardStep,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        packet.head = self.head();
        packet.hops += 1;
        packet.target = target;
        packet.step = step;
        let packet = message::PeerPacket::Forward(packet);
        actions.push(agent::AgentAction::Send { to, packet });
    }

    fn send_owner_notice_to(
        &mut self,
        to: net::SocketAddr,
        flow: placement::FlowKey,
        notice: message::OwnerNotice,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let packet = message::PeerPacket::Owner { head: self.head(), flow, notice };
        actions.push(agent::AgentAction::Send { to, packet });
    }

    fn send_owner_notice(
        &mut self,
        target: ids::InstanceId,
        flow: placement::FlowKey,
        notice: message::OwnerNotice,
        actions: &mut Vec<agent::AgentAction>,
    ) {
        let head = self.head();
        self.send_to(target, message::PeerPacket::Owner { head, flow, notice }, actions);
    }
}

/// The agent that started a lookup, and the address that it expects the result at.
struct LookupOrigin {
    anchor: ids::InstanceId,
    reply_to: net::SocketAddr,
}

impl agent::AgentEngine {
    /// The service address of an owned flow.
    pub fn flow_address(&self, flow: &placement::FlowKey) -> Option<net::SocketAddr> {
        self.flows.owned(flow).map(|owned| owned.address)
    }

    /// All flows that this agent owns.
    pub fn owned_flows(&self) -> Vec<placement::FlowKey> {
        self.flows.all_owned().map(|(flow, _)| *flow).collect()
    }

    fn accepts_flows(&self) -> bool {
        let room = self
            .spec()
            .is_some_and(|spec| self.flows.owned_count() < spec.host_connections as usize);
        room && !self.draining
    }

    fn has_flow_room(&self, host: ids::InstanceId, connections: u32) -> bool {
        if host == self.config.instance {
            return self.accepts_flows();
        }
        let has_room = self.load_tracker.report(host).is_none_or(|load| load.flows < connections);
        has_room && self.view.get(host).is_some_and(|record| record.accepts_new_work())
    }
}
