//! CoAP (RFC 7252) encoding of callers' requests and their answers.
//!
//! | item | CoAP representation |
//! |---|---|
//! | ticket | Echo option (RFC 9175) |
//! | request id | Request-Tag option (RFC 9175), otherwise token and message id |
//! | bodies larger than one block | Block1 and Block2 (RFC 7959), ETag on each answer block |
//! | not run, ticket required | 4.01 with Echo |
//! | not run, retry later | 5.03 with Max-Age |
//! | may have run | 5.04 with Max-Age |

use coap_lite::option_value;
use rosemaryusher_core::balancer;
use rosemaryusher_core::message;
use xxhash_rust::xxh3;

pub use crate::coap_answer::encode_answer;
pub use crate::coap_answer::encode_refusal;
pub use crate::coap_client::AnswerDatagram;
pub use crate::coap_client::OutgoingRequest;

/// The Echo option (RFC 9175).
pub const ECHO_OPTION: coap_lite::CoapOption = coap_lite::CoapOption::Unknown(252);

/// The Request-Tag option (RFC 9175).
pub const REQUEST_TAG_OPTION: coap_lite::CoapOption = coap_lite::CoapOption::Unknown(292);

/// A parsed request datagram from a caller.
#[derive(Clone, Debug)]
pub struct RequestDatagram {
    packet: coap_lite::Packet,
    method: message::RequestMethod,
}

impl RequestDatagram {
    /// Parses a datagram.
    ///
    /// # Errors
    ///
    /// [`balancer::MalformedRequest::Answerable`] for a CoAP request with an unsupported code;
    /// [`balancer::MalformedRequest::Unanswerable`] for anything that must not be answered: bytes
    /// that are not CoAP version 1, empty messages, responses, acknowledgements and resets.
    pub fn parse(datagram: &[u8]) -> Result<RequestDatagram, balancer::MalformedRequest> {
        let packet = coap_lite::Packet::from_bytes(datagram)
            .map_err(|_| balancer::MalformedRequest::Unanswerable)?;
        let method = match packet.header.code {
            coap_lite::MessageClass::Request(method) => request_method(method),
            coap_lite::MessageClass::Reserved(_) => None,
            coap_lite::MessageClass::Empty | coap_lite::MessageClass::Response(_) => {
                return Err(balancer::MalformedRequest::Unanswerable);
            }
        };
        let is_unanswerable = packet.header.get_version() != 1
            || matches!(
                packet.header.get_type(),
                coap_lite::MessageType::Acknowledgement | coap_lite::MessageType::Reset
            );
        match method {
            _ if is_unanswerable => Err(balancer::MalformedRequest::Unanswerable),
            None => Err(balancer::MalformedRequest::Answerable),
            Some(method) => Ok(RequestDatagram { packet, method }),
        }
    }

    /// Returns the fields that a balancer uses for routing.
    pub fn head(&self) -> message::RequestHead<'_> {
        let upload = self.block(coap_lite::CoapOption::Block1);
        let wanted = self.block(coap_lite::CoapOption::Block2);
        message::RequestHead {
            method: self.method,
            ticket: self.packet.get_first_option(ECHO_OPTION).map(Vec::as_slice),
            is_blockwise: upload.is_some() || wanted.is_some_and(|block| block.number > 0),
        }
    }

    /// Returns the message id and token that the answer must echo.
    pub fn exchange(&self) -> message::ExchangeId {
        exchange_id(&self.packet)
    }

    /// Converts the datagram into the request that an agent processes.
    pub fn into_request(self) -> message::CallerRequest {
        let upload = self.block(coap_lite::CoapOption::Block1);
        let wanted = self.block(coap_lite::CoapOption::Block2);
        message::CallerRequest {
            method: self.method,
            path: self.path(),
            tag: self.tag(),
            exchange: self.exchange(),
            ticket: self.packet.get_first_option(ECHO_OPTION).cloned(),
            upload,
            wanted,
            payload: self.packet.payload,
        }
    }

    /// Returns the caller's id for the request.
    ///
    /// Without a Request-Tag, the id is a hash of token and message id: a retransmission repeats
    /// both, a new request neither. The blocks of an upload have different message ids, so for
    /// them only the token is hashed.
    fn tag(&self) -> u64 {
        let upload = self.block(coap_lite::CoapOption::Block1);
        match self.packet.get_first_option(REQUEST_TAG_OPTION) {
            Some(tag) => xxh3::xxh3_64_with_seed(tag, 1),
            None if upload.is_some() => xxh3::xxh3_64_with_seed(self.packet.get_token(), 2),
            None => {
                let seed = u64::from(self.packet.header.message_id) << 16;
                xxh3::xxh3_64_with_seed(self.packet.get_token(), seed)
            }
        }
    }

    fn path(&self) -> String {
        let text = |option| {
            let values = self.packet.get_option(option);
            values.into_iter().flatten().map(|part| String::from_utf8_lossy(part).into_owned())
        };
        let path: Vec<_> = text(coap_lite::CoapOption::UriPath).collect();
        let query: Vec<_> = text(coap_lite::CoapOption::UriQuery).collect();
        match query.is_empty() {
            true => format!("/{}", path.join("/")),
            false => format!("/{}?{}", path.join("/"), query.join("&")),
        }
    }

    fn block(&self, option: coap_lite::CoapOption) -> Option<message::BodyBlock> {
        block_option(&self.packet, option)
    }
}

/// Returns the message id and token of a CoAP datagram, even if it is not a valid request.
pub fn parse_exchange_id(datagram: &[u8]) -> Option<message::ExchangeId> {
    coap_lite::Packet::from_bytes(datagram).ok().map(|packet| exchange_id(&packet))
}

pub(crate) fn exchange_id(packet: &coap_lite::Packet) -> message::ExchangeId {
    message::ExchangeId {
        message_id: packet.header.message_id,
        token: packet.get_token().to_vec(),
        confirmable: packet.header.get_type() == coap_lite::MessageType::Confirmable,
    }
}

pub(crate) fn block_option(
    packet: &coap_lite::Packet,
    option: coap_lite::CoapOption,
) -> Option<message::BodyBlock> {
    let value = packet.get_first_option_as::<option_value::OptionValueU32>(option)?.ok()?.0;
    let exponent = value & 0x7;
    let block = message::BodyBlock {
        number: value >> 4,
        more: value & 0x8 != 0,
        size: 16 << exponent.min(6),
    };
    // An exponent of seven is reserved (RFC 7959, section 2.2).
    (exponent < 7).then_some(block)
}

pub(crate) fn add_block_option(
    packet: &mut coap_lite::Packet,
    option: coap_lite::CoapOption,
    block: &message::BodyBlock,
) {
    let exponent = block.size.trailing_zeros().saturating_sub(4);
    let value = block.number << 4 | u32::from(block.more) << 3 | exponent;
    packet.add_option_as(option, option_value::OptionValueU32(value));
}

fn request_method(method: coap_lite::RequestType) -> Option<message::RequestMethod> {
    match method {
        coap_lite::RequestType::Get => Some(message::RequestMethod::Get),
        coap_lite::RequestType::Post => Some(message::RequestMethod::Post),
        coap_lite::RequestType::Put => Some(message::RequestMethod::Put),
        coap_lite::RequestType::Delete => Some(message::RequestMethod::Delete),
        coap_lite::RequestType::Fetch => Some(message::RequestMethod::Fetch),
        coap_lite::RequestType::Patch => Some(message::RequestMethod::Patch),
        coap_lite::RequestType::IPatch => Some(message::RequestMethod::IPatch),
        coap_lite::RequestType::UnKnown => None,
    }
}
