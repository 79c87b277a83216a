//! Routing of requests to agents, by ticket or by load.

use rand::Rng as _;
use rand::RngExt as _;

use crate::balancer;
use crate::ids;
use crate::load;
use crate::membership;
use crate::message;
use crate::ticket;

/// The most successors that are followed from a ticket's home to the holder of its record.
const MAX_SUCCESSION_HOPS: usize = 8;

/// The destination of a request according to its ticket and method.
enum TicketRoute {
    Home { target: ids::InstanceId, on_behalf_of: Option<ids::InstanceId> },
    AnyAgent,
    NoTicket,
    HomeGone,
    Invalid,
}

impl balancer::BalancerEngine {
    pub(super) fn forward_request(
        &mut self,
        arrival: &balancer::CallerArrival<'_>,
        service: ids::ServiceId,
        head: &message::RequestHead<'_>,
    ) -> balancer::BalancerAction {
        let must_run_at_home = !head.method.is_idempotent();
        let route = match head.ticket {
            None if must_run_at_home || head.is_blockwise => TicketRoute::NoTicket,
            None => TicketRoute::AnyAgent,
            Some(_) if !must_run_at_home && !head.is_blockwise => TicketRoute::AnyAgent,
            Some(sealed) => self.route_by_ticket(sealed, service, arrival.now),
        };
        match route {
            TicketRoute::Home { target, on_behalf_of } => {
                self.forward_to(arrival, service, target, on_behalf_of)
            }
            // A block-wise GET may go to any agent: equal bodies have equal tags.
            TicketRoute::NoTicket if !must_run_at_home && !self.needs_one_home(head) => {
                self.forward_to_any(arrival, service)
            }
            TicketRoute::HomeGone if !must_run_at_home => self.forward_to_any(arrival, service),
            TicketRoute::AnyAgent => self.forward_to_any(arrival, service),
            TicketRoute::NoTicket => {
                self.refuse_arrival(service, message::RefusalKind::NeedTicket, arrival.now)
            }
            // The home is dead or unknown. It may have run the request, so no other agent may.
            TicketRoute::HomeGone => {
                self.refuse_arrival(service, message::RefusalKind::OutcomeUnknown, arrival.now)
            }
            TicketRoute::Invalid => {
                self.refuse_arrival(service, message::RefusalKind::BadTicket, arrival.now)
            }
        }
    }

    fn needs_one_home(&self, head: &message::RequestHead<'_>) -> bool {
        head.is_blockwise && !matches!(head.method, message::RequestMethod::Get)
    }

    fn route_by_ticket(
        &self,
        sealed: &[u8],
        service: ids::ServiceId,
        now: ids::UnixMillis,
    ) -> TicketRoute {
        match self.state.keys().open(sealed) {
            Err(ticket::TicketError::UnknownKey) => TicketRoute::HomeGone,
            Err(_) => TicketRoute::Invalid,
            Ok(ticket) if ticket.service != service => TicketRoute::Invalid,
            Ok(ticket) if ticket.expires() <= now => TicketRoute::HomeGone,
            Ok(ticket) => self.route_to_home(ticket.home),
        }
    }

    /// Finds the holder of a home's record: the home itself, or its last successor.
    fn route_to_home(&self, home: ids::InstanceId) -> TicketRoute {
        let mut target = home;
        for _ in 0..MAX_SUCCESSION_HOPS {
            let Some(record) = self.view.get(target) else { return TicketRoute::HomeGone };
            match record.phase {
                membership::MemberPhase::Left { successor: Some(next) } => target = next,
                _ if record.is_reachable() => {
                    let on_behalf_of = (target != home).then_some(home);
                    return TicketRoute::Home { target, on_behalf_of };
                }
                _ => return TicketRoute::HomeGone,
            }
        }
        TicketRoute::HomeGone
    }

    fn forward_to_any(
        &mut self,
        arrival: &balancer::CallerArrival<'_>,
        service: ids::ServiceId,
    ) -> balancer::BalancerAction {
        match self.choose_worker(service, arrival.now) {
            Some(target) => self.forward_to(arrival, service, target, None),
            None => {
                let kind = message::RefusalKind::RetryAfter { after_s: 1 + self.jitter(4) };
                balancer::BalancerAction::RefuseArrival { kind, ticket: None }
            }
        }
    }

    fn forward_to(
        &mut self,
        arrival: &balancer::CallerArrival<'_>,
        service: ids::ServiceId,
        target: ids::InstanceId,
        on_behalf_of: Option<ids::InstanceId>,
    ) -> balancer::BalancerAction {
        self.load_tracker.note_sent(target, load::LoadKind::Requests, arrival.now);
        let step = message::ForwardStep::Request { tried: Vec::new() };
        self.forward(arrival, service, Some(target), on_behalf_of, step)
    }

    pub(super) fn relay_refusal(
        &mut self,
        refuse: message::RefusalPacket,
        now: ids::UnixMillis,
    ) -> balancer::BalancerAction {
        // Exclude the refusing agent and the run on whose behalf it refuses, which may still be
        // in this balancer's view. Otherwise a request could circulate between balancers with
        // different views, and be refused each time with a ticket for the same departed home.
        let excluded: Vec<_> = refuse.on_behalf_of.into_iter().chain([refuse.head.from]).collect();
        let ticket = self.issue_ticket(refuse.service, &excluded, now);
        balancer::BalancerAction::Refuse {
            address: refuse.address,
            caller: refuse.caller,
            exchange: refuse.exchange,
            kind: refuse.kind,
            ticket,
        }
    }

    fn refuse_arrival(
        &mut self,
        service: ids::ServiceId,
        kind: message::RefusalKind,
        now: ids::UnixMillis,
    ) -> balancer::BalancerAction {
        let ticket = self.issue_ticket(service, &[], now);
        let kind = match kind {
            message::RefusalKind::NeedTicket if ticket.is_none() => {
                message::RefusalKind::RetryAfter { after_s: 1 + self.jitter(4) }
            }
            kind => kind,
        };
        balancer::BalancerAction::RefuseArrival { kind, ticket }
    }

    /// Issues a ticket of a new session, for a home outside `excluded` if there is one.
    fn issue_ticket(
        &mut self,
        service: ids::ServiceId,
        excluded: &[ids::InstanceId],
        now: ids::UnixMillis,
    ) -> Option<Vec<u8>> {
        let home = self
            .choose_worker_except(service, excluded, now)
            .or_else(|| self.choose_worker(service, now))?;
        let session = self.rng.next_u64();
        let issued_s = now.as_secs() as u32;
        let ticket = ticket::RequestTicket { home, service, issued_s, session };
        self.state.keys().seal(&ticket, now)
    }

    fn choose_worker(
        &mut self,
        service: ids::ServiceId,
        now: ids::UnixMillis,
    ) -> Option<ids::InstanceId> {
        self.choose_worker_except(service, &[], now)
    }

    fn choose_worker_except(
        &mut self,
        service: ids::ServiceId,
        excluded: &[ids::InstanceId],
        now: ids::UnixMillis,
    ) -> Option<ids::InstanceId> {
        let spec = self.state.service(service)?;
        let rng = &mut self.rng;
        let draw = |len| rng.random_range(0..len);
        self.routes.choose_worker(spec, &self.load_tracker, excluded, now, draw)
    }
}
