//! Placement of new streams: which agent an opening segment goes to, and which openings are refused.

use std::net;

use crate::ids;
use crate::stream;
use crate::stream::agent_table::placement;
use crate::stream::balancer;
use crate::stream::buffered_openings;
use crate::stream::host;
use crate::stream::log_event;
use crate::stream::message;
use crate::stream::owners;
use crate::stream::segment;

impl balancer::StreamBalancer {
    /// Handles an opening: a copy of one that an agent holds or queues goes to that agent again.
    pub(super) fn on_opening(
        &mut self,
        key: segment::StreamKey,
        service: ids::ServiceId,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let copies = segment.head.acknowledged;
        let target = match self.owners.touch(key) {
            Some(owner) if !owner.is_over(now) => owner.on_repeated_opening(copies),
            _ => owners::RepeatTarget::Untried,
        };
        match target {
            _ if self.buffered_openings.contains(key) => {}
            // Queued at a second agent too, it could take a slot at both.
            owners::RepeatTarget::Waiting(agent) if self.table.is_fresh(agent, now) => {
                let kind = message::CarryKind::OpenQueued;
                self.send_carry(agent, kind, service, segment.bytes, actions);
            }
            // The answer to an earlier copy may have been lost.
            owners::RepeatTarget::Holder(agent) | owners::RepeatTarget::Last(agent)
                if self.table.is_fresh(agent, now) =>
            {
                let kind = message::CarryKind::Open;
                self.send_carry(agent, kind, service, segment.bytes, actions);
            }
            _ => self.place(key, service, segment.bytes, now, actions),
        }
    }

    /// Sends an opening to the best agent that it has not been sent to.
    ///
    /// Without an agent that has a free slot, the opening is sent to queue at one, up to the number of
    /// queued tries that the policy allows.
    pub(super) fn place(
        &mut self,
        key: segment::StreamKey,
        service: ids::ServiceId,
        bytes: &[u8],
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let is_tracked = self.owners.touch(key).is_some_and(|owner| !owner.is_over(now));
        if !is_tracked {
            self.owners.insert(key, owners::StreamOwner::new(now));
        }
        if self.awaits_evacuations(now) {
            return self.buffer_opening(key, bytes, now, actions);
        }
        let state = self.state.clone();
        let regions = state.regions_at(net::SocketAddr::V4(key.entry));
        let needs = placement::OpeningRequirements { service, regions };
        let Some(owner) = self.owners.touch(key) else { return };
        // An agent may be in both lists: tried for a free slot, then to queue.
        let queued_only = owner.queued.iter().filter(|agent| !owner.tried.contains(agent));
        let tried = owner.tried.len() + queued_only.count();
        let free = self.table.choose(needs, &owner.tried, now, &mut self.random);
        let (kind, choice) = match free {
            Some(choice) if choice.has_room => (message::CarryKind::Open, choice),
            _ if owner.queued.len() >= self.config.policy.placement.queued_tries as usize => {
                return self.reset(key, 0, log_event::ResetReason::AllRefused, actions);
            }
            _ => match self.table.choose(needs, &owner.queued, now, &mut self.random) {
                Some(choice) => (message::CarryKind::OpenQueued, choice),
                None if owner.queued.is_empty() => match self.table.shared_exclusion(needs, now) {
                    // Waiting would not help: no agent that serves may take it.
                    Some(placement::PlacementExclusion::Evacuated) => {
                        return self.reset(key, 0, log_event::ResetReason::Evacuated, actions);
                    }
                    Some(placement::PlacementExclusion::OtherRegion) => {
                        return self.reset(key, 0, log_event::ResetReason::OtherRegion, actions);
                    }
                    None => return self.buffer_opening(key, bytes, now, actions),
                },
                None => return self.reset(key, 0, log_event::ResetReason::AllRefused, actions),
            },
        };
        if kind == message::CarryKind::OpenQueued {
            owner.queued.push(choice.address);
        }
        owner.tried.retain(|agent| *agent != choice.address);
        owner.tried.push(choice.address);
        self.table.record_opening(choice.address);
        actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::Placed {
            stream: key,
            agent: choice.address,
            tried,
            busy: choice.busy,
            report_age_ms: choice.report_age_ms,
            generation: self.state.generation().0,
        }));
        self.send_carry(choice.address, kind, service, bytes, actions);
    }

    /// Buffers an opening until an agent is known, or gives it up once it has waited too long.
    pub(super) fn buffer_opening(
        &mut self,
        key: segment::StreamKey,
        bytes: &[u8],
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let opened = self.owners.touch(key).map_or(now, |owner| owner.opened);
        let opening = buffered_openings::BufferedOpening { key, bytes: bytes.to_vec() };
        let park_ms = self.config.policy.recovery.park_ms.into();
        if self.buffered_openings.push(opening, opened, park_ms, now) {
            return;
        }
        let is_informed = !self.awaits_evacuations(now);
        let reaches_agents = self.table.reachable().next().is_some();
        match is_informed && reaches_agents {
            true => self.reset(key, 0, log_event::ResetReason::NoAgent, actions),
            // This balancer may be partitioned or just started, so it doesn't know that no agent is up.
            // The caller's next copy may reach a balancer that knows one.
            false => self.owners.remove(key),
        }
    }

    /// Tries to place every buffered opening again, at any agent.
    pub(super) fn place_buffered_openings(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        for opening in self.buffered_openings.take_all() {
            let Some(service) = self.service_at(opening.key) else {
                self.reset(opening.key, 0, log_event::ResetReason::NoService, actions);
                continue;
            };
            if let Some(owner) = self.owners.touch(opening.key) {
                owner.tried.clear();
                owner.queued.clear();
            }
            self.place(opening.key, service, &opening.bytes, now, actions);
        }
    }

    /// Handles a segment that an agent returned: tries another agent.
    pub(super) fn on_returned(
        &mut self,
        from: net::SocketAddrV4,
        returned: &message::ReturnMessage,
        head: &segment::SegmentHeader,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let key = head.key_from_caller();
        actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::returned(
            key,
            from,
            returned.reason,
        )));
        self.table.apply_load(from, returned.load, now);
        match returned.reason {
            message::ReturnReason::NotServing => {
                self.table.record_refusal(from, host::HostPhase::Draining);
            }
            message::ReturnReason::Silent | message::ReturnReason::Evacuated => {
                self.table.record_refusal(from, host::HostPhase::Unknown);
            }
            _ => {}
        }
        self.fetch_newer_config(from, returned.generation, actions);
        let service = self.service_at(key);
        match service {
            Some(service) if head.is_opening() => {
                let is_held = self.owners.touch(key).is_some_and(|o| !o.holders.is_empty());
                if !is_held {
                    self.place(key, service, &returned.segment, now, actions);
                }
            }
            None if head.is_opening() => {
                self.reset(key, 0, log_event::ResetReason::NoService, actions);
            }
            _ => {
                let segment = segment::StreamSegment { head: *head, bytes: &returned.segment };
                self.forward_to_next_holder(key, from, &segment, now, actions);
            }
        }
    }
}
