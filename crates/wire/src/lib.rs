//! Datagram encodings: CoAP for callers, MessagePack between processes.
//!
//! # Example
//!
//! A balancer parses only the fields of a request that it uses for routing:
//!
//! ```
//! use rosemaryusher_core::message;
//! use rosemaryusher_wire::coap;
//!
//! let mut request = coap::OutgoingRequest::new(message::RequestMethod::Post, "/transfers");
//! request.token = vec![1, 2];
//! let datagram = request.encode().expect("small enough");
//! let parsed = coap::RequestDatagram::parse(&datagram).expect("a request");
//! let head = parsed.head();
//! assert_eq!(head.method, message::RequestMethod::Post);
//! assert_eq!(head.ticket, None);
//! ```

pub mod coap;
mod coap_answer;
mod coap_client;
pub mod packet;
