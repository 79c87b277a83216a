//! The thread that owns the engine: feeds it events and executes its actions.

use std::net;

use rosemaryusher_core::balancer;
use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::message;
use rosemaryusher_node::clock;
use rosemaryusher_node::control;
use rosemaryusher_node::meters;
use rosemaryusher_node::rings;
use rosemaryusher_wire::coap;
use rosemaryusher_wire::packet;
use smol::channel;

use crate::entries;

/// An input of the engine thread.
#[derive(Debug)]
pub(crate) enum BalancerInput {
    /// A caller's datagram.
    Caller {
        /// The destination, a service address.
        address: net::SocketAddr,
        /// The source.
        caller: net::SocketAddr,
        datagram: Vec<u8>,
    },
    /// A packet of a peer.
    Peer(message::PeerPacket),
    /// An output of the control thread.
    Control(control::ControlOutput),
}

/// An outgoing packet or datagram.
#[derive(Debug)]
pub(crate) enum BalancerOutput {
    /// A packet to a peer.
    Peer { to: net::SocketAddr, packet: message::PeerPacket },
    /// A datagram to a caller.
    Caller {
        /// The source, a service address.
        address: net::SocketAddr,
        /// The destination.
        caller: net::SocketAddr,
        payload: Vec<u8>,
    },
}

/// Runs the engine until its input channel closes.
pub(crate) fn run(
    mut engine: balancer::BalancerEngine,
    clock: clock::ProcessClock,
    entries: entries::EntrySockets,
    inputs: channel::Receiver<BalancerInput>,
    outputs: channel::Sender<BalancerOutput>,
) {
    let mut actions = Vec::new();
    while let Ok(input) = inputs.recv_blocking() {
        let now = clock.now();
        let caller_datagram = match input {
            BalancerInput::Caller { address, caller, datagram } => {
                let caller_datagram = CallerDatagram { address, caller, datagram };
                caller_datagram.handle(&mut engine, now, &mut actions);
                Some(caller_datagram)
            }
            BalancerInput::Peer(packet) => {
                let event = balancer::BalancerEvent::Peer(packet);
                engine.handle(now, event, &mut actions);
                None
            }
            BalancerInput::Control(output) => {
                handle_control_output(&mut engine, &entries, now, output, &mut actions);
                None
            }
        };
        for action in actions.drain(..) {
            execute(&outputs, caller_datagram.as_ref(), action);
        }
    }
}

struct CallerDatagram {
    address: net::SocketAddr,
    caller: net::SocketAddr,
    datagram: Vec<u8>,
}

impl CallerDatagram {
    fn handle(
        &self,
        engine: &mut balancer::BalancerEngine,
        now: ids::UnixMillis,
        actions: &mut Vec<balancer::BalancerAction>,
    ) {
        let entry = engine.config_state().entry_at(self.address);
        let is_request_entry = entry.is_some_and(|entry| entry.kind == config::EntryKind::Requests);
        let parsed = match is_request_entry {
            true => coap::RequestDatagram::parse(&self.datagram),
            false => Err(balancer::MalformedRequest::Unanswerable),
        };
        let request = parsed.as_ref().map(coap::RequestDatagram::head).map_err(|error| *error);
        let event = balancer::BalancerEvent::Caller {
            address: self.address,
            caller: self.caller,
            datagram: &self.datagram,
            request,
        };
        engine.handle(now, event, actions);
    }

    fn encode_refusal(
        &self,
        kind: message::RefusalKind,
        ticket: Option<&[u8]>,
    ) -> Option<BalancerOutput> {
        let exchange = coap::parse_exchange_id(&self.datagram)?;
        let payload = coap::encode_refusal(&exchange, kind, ticket)?;
        let (address, caller) = (self.address, self.caller);
        Some(BalancerOutput::Caller { address, caller, payload })
    }
}

fn handle_control_output(
    engine: &mut balancer::BalancerEngine,
    entries: &entries::EntrySockets,
    now: ids::UnixMillis,
    output: control::ControlOutput,
    actions: &mut Vec<balancer::BalancerAction>,
) {
    match output {
        control::ControlOutput::View(view) => {
            engine.handle(now, balancer::BalancerEvent::View(view), actions);
        }
        control::ControlOutput::Config(state) => {
            engine.handle(now, balancer::BalancerEvent::Config(state), actions);
        }
        control::ControlOutput::Dump(reply) => {
            let _ = reply.try_send(dump(engine, entries));
        }
        // Balancers keep no request records; dropping `done` rejects the handover.
        control::ControlOutput::Adopt { .. } => {}
    }
}

fn dump(engine: &balancer::BalancerEngine, entries: &entries::EntrySockets) -> serde_json::Value {
    let services = engine.config_state().services().map(|spec| {
        let workers = engine.workers(spec.id()).iter().map(|worker| {
            serde_json::json!({
                "instance": worker.host.to_string(),
                "near": worker.is_near,
                "load": engine.load_of(worker.host),
            })
        });
        serde_json::json!({ "name": spec.name, "workers": workers.collect::<Vec<_>>() })
    });
    serde_json::json!({
        "entries": entries.bound_addresses(),
        "cached_flows": engine.cached_flows(),
        "services": services.collect::<Vec<_>>(),
    })
}

fn execute(
    outputs: &channel::Sender<BalancerOutput>,
    caller_datagram: Option<&CallerDatagram>,
    action: balancer::BalancerAction,
) {
    let output = match action {
        balancer::BalancerAction::Send { to, packet } => Some(BalancerOutput::Peer { to, packet }),
        balancer::BalancerAction::Deliver { address, caller, payload } => {
            metrics::counter!("rosemaryusher_delivered_total").increment(1);
            Some(BalancerOutput::Caller { address, caller, payload })
        }
        balancer::BalancerAction::RefuseArrival { kind, ticket } => {
            count_refusal(kind);
            caller_datagram.and_then(|datagram| datagram.encode_refusal(kind, ticket.as_deref()))
        }
        balancer::BalancerAction::Refuse { address, caller, exchange, kind, ticket } => {
            count_refusal(kind);
            coap::encode_refusal(&exchange, kind, ticket.as_deref())
                .map(|payload| BalancerOutput::Caller { address, caller, payload })
        }
        balancer::BalancerAction::Drop(reason) => {
            meters::count_drop(reason.label());
            None
        }
    };
    if let Some(output) = output {
        drop(rings::try_push(outputs, output, "output_ring_full"));
    }
}

fn count_refusal(kind: message::RefusalKind) {
    let label = match kind {
        message::RefusalKind::NeedTicket => "need_ticket",
        message::RefusalKind::RetryAfter { .. } => "come_back",
        message::RefusalKind::OutcomeUnknown => "outcome_unknown",
        message::RefusalKind::TagReused => "tag_reused",
        message::RefusalKind::BadTicket => "bad_ticket",
        message::RefusalKind::UploadIncomplete => "upload_incomplete",
        message::RefusalKind::TooLarge { .. } => "too_large",
        message::RefusalKind::Malformed => "malformed",
    };
    metrics::counter!("rosemaryusher_refused_total", "kind" => label).increment(1);
}

/// Receives packets of peers until the engine's input channel closes.
pub(crate) async fn receive_peer_packets(
    socket: smol::net::UdpSocket,
    inputs: channel::Sender<BalancerInput>,
) {
    let mut buffer = vec![0; packet::MAX_PACKET_BYTES];
    while !inputs.is_closed() {
        // Errors such as ICMP port unreachable concern one datagram only.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        match packet::decode(&buffer[..length]) {
            Ok(packet) => {
                drop(rings::try_push(&inputs, BalancerInput::Peer(packet), "ring_full"));
            }
            Err(_) => meters::count_drop("damaged_packet"),
        }
    }
}

/// Sends packets and datagrams until their channel closes.
pub(crate) async fn send(
    socket: smol::net::UdpSocket,
    entries: entries::EntrySockets,
    outputs: channel::Receiver<BalancerOutput>,
) {
    while let Ok(output) = outputs.recv().await {
        let is_sent = match output {
            BalancerOutput::Peer { to, packet } => match packet::encode(&packet) {
                Ok(bytes) => socket.send_to(&bytes, to).await.is_ok(),
                Err(_) => false,
            },
            BalancerOutput::Caller { address, caller, payload } => match entries.socket(address) {
                Some(socket) => socket.send_to(&payload, caller).await.is_ok(),
                None => false,
            },
        };
        if !is_sent {
            meters::count_drop("send_failed");
        }
    }
}
