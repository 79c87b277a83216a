//! The client side of CoAP: encoding requests and parsing answers.

use coap_lite::option_value;
use rosemaryusher_core::message;

use crate::coap;

/// A request to be sent by a caller.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The method.
    pub method: message::RequestMethod,
    /// Path and query string.
    pub path: String,
    /// The CoAP token, at most eight bytes.
    pub token: Vec<u8>,
    /// The CoAP message id.
    pub message_id: u16,
    /// The Request-Tag, unchanged when the request is resubmitted.
    pub tag: Option<Vec<u8>>,
    /// The ticket from an earlier answer, sent in the Echo option.
    pub ticket: Option<Vec<u8>>,
    /// The block of the request body in `payload` (Block1).
    pub upload: Option<message::BodyBlock>,
    /// The requested block of the answer (Block2).
    pub wanted: Option<message::BodyBlock>,
    /// The body, or one block of it.
    pub payload: Vec<u8>,
}

impl OutgoingRequest {
    /// Creates a request without a body.
    pub fn new(method: message::RequestMethod, path: &str) -> OutgoingRequest {
        OutgoingRequest {
            method,
            path: path.to_owned(),
            token: Vec::new(),
            message_id: 0,
            tag: None,
            ticket: None,
            upload: None,
            wanted: None,
            payload: Vec::new(),
        }
    }

    /// Encodes the request as a confirmable message.
    ///
    /// Returns `None` if the message cannot be encoded.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut packet = coap_lite::Packet::new();
        packet.header.set_version(1);
        packet.header.set_type(coap_lite::MessageType::Confirmable);
        packet.header.message_id = self.message_id;
        packet.header.code = coap_lite::MessageClass::Request(request_type(self.method));
        packet.set_token(self.token.clone());
        let (path, query) = self.path.split_once('?').unwrap_or((&self.path, ""));
        for part in path.split('/').filter(|part| !part.is_empty()) {
            packet.add_option(coap_lite::CoapOption::UriPath, part.as_bytes().to_vec());
        }
        for part in query.split('&').filter(|part| !part.is_empty()) {
            packet.add_option(coap_lite::CoapOption::UriQuery, part.as_bytes().to_vec());
        }
        if let Some(block) = &self.upload {
            coap::add_block_option(&mut packet, coap_lite::CoapOption::Block1, block);
        }
        if let Some(block) = &self.wanted {
            coap::add_block_option(&mut packet, coap_lite::CoapOption::Block2, block);
        }
        if let Some(ticket) = &self.ticket {
            packet.add_option(coap::ECHO_OPTION, ticket.clone());
        }
        if let Some(tag) = &self.tag {
            packet.add_option(coap::REQUEST_TAG_OPTION, tag.clone());
        }
        packet.payload = self.payload.clone();
        packet.to_bytes_unlimited().ok()
    }
}

/// A parsed answer datagram.
#[derive(Clone, Debug)]
pub struct AnswerDatagram {
    packet: coap_lite::Packet,
}

impl AnswerDatagram {
    /// Parses a datagram; returns `None` if it is not a CoAP response.
    pub fn parse(datagram: &[u8]) -> Option<AnswerDatagram> {
        let packet = coap_lite::Packet::from_bytes(datagram).ok()?;
        let is_answer = matches!(packet.header.code, coap_lite::MessageClass::Response(_));
        is_answer.then_some(AnswerDatagram { packet })
    }

    /// Returns the response code as text, such as `2.05`.
    pub fn code(&self) -> String {
        self.packet.header.get_code()
    }

    /// Returns the message id and token of the request that this answers.
    pub fn exchange(&self) -> message::ExchangeId {
        coap::exchange_id(&self.packet)
    }

    /// Returns the ticket for the next request.
    pub fn ticket(&self) -> Option<&[u8]> {
        self.packet.get_first_option(coap::ECHO_OPTION).map(Vec::as_slice)
    }

    /// Returns the block of the answer in the payload (Block2).
    pub fn block(&self) -> Option<message::BodyBlock> {
        coap::block_option(&self.packet, coap_lite::CoapOption::Block2)
    }

    /// Returns the ETag, which is the same in all blocks of one body.
    pub fn body_tag(&self) -> Option<&[u8]> {
        self.packet.get_first_option(coap_lite::CoapOption::ETag).map(Vec::as_slice)
    }

    /// Returns Max-Age in seconds: how long to wait before retrying.
    pub fn retry_after_s(&self) -> Option<u32> {
        let option = coap_lite::CoapOption::MaxAge;
        Some(self.packet.get_first_option_as::<option_value::OptionValueU32>(option)?.ok()?.0)
    }

    /// Returns the body, or one block of it.
    pub fn payload(&self) -> &[u8] {
        &self.packet.payload
    }
}

fn request_type(method: message::RequestMethod) -> coap_lite::RequestType {
    match method {
        message::RequestMethod::Get => coap_lite::RequestType::Get,
        message::RequestMethod::Post => coap_lite::RequestType::Post,
        message::RequestMethod::Put => coap_lite::RequestType::Put,
        message::RequestMethod::Delete => coap_lite::RequestType::Delete,
        message::RequestMethod::Fetch => coap_lite::RequestType::Fetch,
        message::RequestMethod::Patch => coap_lite::RequestType::Patch,
        message::RequestMethod::IPatch => coap_lite::RequestType::IPatch,
    }
}
