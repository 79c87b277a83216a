//! CoAP encoding of answers and refusals.

use coap_lite::option_value;
use rosemaryusher_core::message;

use crate::coap;

/// Max-Age of a refusal with an unknown outcome, in seconds.
///
/// Short, because the refusal carries a ticket for another home and nothing has to recover first.
const UNKNOWN_OUTCOME_RETRY_S: u32 = 1;

/// Encodes an agent's answer.
///
/// Returns `None` if the message cannot be encoded, which does not happen for blocks of at most
/// 1024 bytes.
pub fn encode_answer(
    exchange: &message::ExchangeId,
    answer: &message::AgentAnswer,
    ticket: Option<&[u8]>,
) -> Option<Vec<u8>> {
    let mut packet = response_packet(exchange);
    match answer {
        message::AgentAnswer::Body { status, payload, block, body_tag } => {
            packet.header.code = coap_lite::MessageClass::Response(response_code(*status));
            packet.payload = payload.clone();
            if let Some(block) = block {
                coap::add_block_option(&mut packet, coap_lite::CoapOption::Block2, block);
                packet.add_option(coap_lite::CoapOption::ETag, body_tag.to_be_bytes().to_vec());
            }
        }
        message::AgentAnswer::Continue { block } => {
            let code = coap_lite::ResponseType::Continue;
            packet.header.code = coap_lite::MessageClass::Response(code);
            coap::add_block_option(&mut packet, coap_lite::CoapOption::Block1, block);
        }
    }
    encode_packet(packet, ticket)
}

/// Encodes a refusal.
///
/// Returns `None` if the message cannot be encoded.
pub fn encode_refusal(
    exchange: &message::ExchangeId,
    kind: message::RefusalKind,
    ticket: Option<&[u8]>,
) -> Option<Vec<u8>> {
    let mut packet = response_packet(exchange);
    let (code, text) = refusal_response(kind);
    packet.header.code = coap_lite::MessageClass::Response(code);
    packet.payload = text.as_bytes().to_vec();
    let max_age_s = match kind {
        message::RefusalKind::RetryAfter { after_s } => Some(after_s),
        message::RefusalKind::OutcomeUnknown => Some(UNKNOWN_OUTCOME_RETRY_S),
        _ => None,
    };
    if let Some(max_age_s) = max_age_s {
        let value = option_value::OptionValueU32(max_age_s);
        packet.add_option_as(coap_lite::CoapOption::MaxAge, value);
    }
    if let message::RefusalKind::TooLarge { limit } = kind {
        let value = option_value::OptionValueU32(limit);
        packet.add_option_as(coap_lite::CoapOption::Size1, value);
    }
    encode_packet(packet, ticket)
}

fn refusal_response(kind: message::RefusalKind) -> (coap_lite::ResponseType, &'static str) {
    match kind {
        message::RefusalKind::NeedTicket => {
            (coap_lite::ResponseType::Unauthorized, "not run; repeat with the Echo option given")
        }
        message::RefusalKind::RetryAfter { .. } => {
            (coap_lite::ResponseType::ServiceUnavailable, "not run; come back after Max-Age")
        }
        message::RefusalKind::OutcomeUnknown => {
            (coap_lite::ResponseType::GatewayTimeout, "may have run; nothing will run it now")
        }
        message::RefusalKind::TagReused => {
            (coap_lite::ResponseType::Conflict, "not run; Request-Tag was used for another request")
        }
        message::RefusalKind::BadTicket => {
            (coap_lite::ResponseType::BadOption, "not run; the Echo option is not this service's")
        }
        message::RefusalKind::UploadIncomplete => (
            coap_lite::ResponseType::RequestEntityIncomplete,
            "not run; blocks are missing, send them again",
        ),
        message::RefusalKind::TooLarge { .. } => {
            (coap_lite::ResponseType::RequestEntityTooLarge, "not run; the body is too large")
        }
        message::RefusalKind::Malformed => {
            (coap_lite::ResponseType::BadRequest, "not run; malformed request")
        }
    }
}

fn response_packet(exchange: &message::ExchangeId) -> coap_lite::Packet {
    let mut packet = coap_lite::Packet::new();
    packet.header.set_version(1);
    packet.header.set_type(match exchange.confirmable {
        true => coap_lite::MessageType::Acknowledgement,
        false => coap_lite::MessageType::NonConfirmable,
    });
    packet.header.message_id = exchange.message_id;
    packet.set_token(exchange.token.clone());
    packet
}

fn encode_packet(mut packet: coap_lite::Packet, ticket: Option<&[u8]>) -> Option<Vec<u8>> {
    if let Some(ticket) = ticket {
        packet.add_option(coap::ECHO_OPTION, ticket.to_vec());
    }
    packet.to_bytes_unlimited().ok()
}

/// Maps an HTTP status to a CoAP response code.
fn response_code(status: u16) -> coap_lite::ResponseType {
    match status {
        201 => coap_lite::ResponseType::Created,
        204 => coap_lite::ResponseType::Changed,
        200..=299 => coap_lite::ResponseType::Content,
        403 => coap_lite::ResponseType::Forbidden,
        404 | 410 => coap_lite::ResponseType::NotFound,
        405 => coap_lite::ResponseType::MethodNotAllowed,
        406 => coap_lite::ResponseType::NotAcceptable,
        409 => coap_lite::ResponseType::Conflict,
        412 => coap_lite::ResponseType::PreconditionFailed,
        413 => coap_lite::ResponseType::RequestEntityTooLarge,
        415 => coap_lite::ResponseType::UnsupportedContentFormat,
        422 => coap_lite::ResponseType::UnprocessableEntity,
        400..=499 => coap_lite::ResponseType::BadRequest,
        501 => coap_lite::ResponseType::NotImplemented,
        _ => coap_lite::ResponseType::InternalServerError,
    }
}
