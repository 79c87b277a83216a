//! The threads that receive and send packets of peers.

use std::net;

use rosemaryusher_core::agent;
use rosemaryusher_core::message;
use rosemaryusher_node::meters;
use rosemaryusher_node::rings;
use rosemaryusher_wire::coap;
use rosemaryusher_wire::packet;
use smol::channel;

use crate::engine_loop;

/// Receives packets until the engine's input channel closes.
pub(crate) async fn receive(
    socket: smol::net::UdpSocket,
    inputs: channel::Sender<engine_loop::AgentInput>,
) {
    let mut buffer = vec![0; packet::MAX_PACKET_BYTES];
    while !inputs.is_closed() {
        // Errors such as ICMP port unreachable concern one datagram only.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        let Ok(packet) = packet::decode(&buffer[..length]) else {
            meters::count_drop("damaged_packet");
            continue;
        };
        let request = parse_request(&packet).map(Box::new);
        let event = agent::AgentEvent::Peer { packet: Box::new(packet), request };
        drop(rings::try_push(&inputs, engine_loop::AgentInput::Event(event), "ring_full"));
    }
}

/// Encodes and sends packets until their channel closes.
pub(crate) async fn send(socket: smol::net::UdpSocket, outputs: channel::Receiver<OutgoingPacket>) {
    while let Ok(output) = outputs.recv().await {
        let Some(bytes) = encode(output.packet) else {
            meters::count_drop("unencodable");
            continue;
        };
        if socket.send_to(&bytes, output.to).await.is_err() {
            meters::count_drop("send_failed");
        }
    }
}

#[derive(Debug)]
pub(crate) struct OutgoingPacket {
    pub(crate) to: net::SocketAddr,
    pub(crate) packet: PacketBody,
}

/// The contents of an outgoing packet.
#[derive(Debug)]
pub(crate) enum PacketBody {
    /// A packet that needs no further encoding of its payload.
    Peer(message::PeerPacket),
    /// A reply whose payload is still to be encoded from an answer.
    Answer {
        reply: message::ReplyPacket,
        exchange: message::ExchangeId,
        answer: message::AgentAnswer,
        ticket: Option<Vec<u8>>,
    },
}

fn encode(body: PacketBody) -> Option<Vec<u8>> {
    let packet = match body {
        PacketBody::Peer(packet) => packet,
        PacketBody::Answer { mut reply, exchange, answer, ticket } => {
            reply.payload = coap::encode_answer(&exchange, &answer, ticket.as_deref())?;
            message::PeerPacket::Reply(reply)
        }
    };
    packet::encode(&packet).ok()
}

fn parse_request(packet: &message::PeerPacket) -> Option<message::CallerRequest> {
    match packet {
        message::PeerPacket::Forward(forward)
            if matches!(forward.step, message::ForwardStep::Request { .. }) =>
        {
            let datagram = coap::RequestDatagram::parse(&forward.payload).ok()?;
            Some(datagram.into_request())
        }
        _ => None,
    }
}
