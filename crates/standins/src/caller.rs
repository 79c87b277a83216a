//! Stand-in for a caller: a CoAP client, and a client of one flow of datagrams.

use std::net;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs;
use rosemaryusher_core::message;
use rosemaryusher_wire::coap;
use smol::future::FutureExt as _;

use crate::backend;

/// Size of the blocks of an upload, in bytes.
const BLOCK_SIZE: u32 = 1_024;

/// Time before the first retransmission of a request; doubles with each one.
const INITIAL_RETRANSMIT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Transmissions of one datagram, the first included.
const MAX_TRANSMISSIONS: u32 = 6;

/// Tickets that a client accepts for one request before it gives up.
const MAX_TICKETS: u32 = 8;

/// Outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// Answered with this code and complete body.
    Answered(String, Vec<u8>),
    /// Not run; may be sent again under a new tag.
    Refused {
        /// CoAP response code.
        code: String,
        /// Seconds to wait before a retry, if the answer names them.
        after_s: Option<u32>,
    },
    /// May have run.
    Unknown,
    /// No answer to any transmission.
    TimedOut,
}

/// A request and its Request-Tag, by which the service recognizes a resubmission.
#[derive(Clone, Debug)]
pub struct TaggedRequest {
    /// Method.
    pub method: message::RequestMethod,
    /// Path.
    pub path: String,
    /// Body, sent in blocks if it is larger than one.
    pub body: Vec<u8>,
    /// Same in each resubmission.
    pub tag: Vec<u8>,
}

/// A CoAP client of one service address.
#[derive(Debug)]
pub struct CallerClient {
    socket: smol::net::UdpSocket,
    ticket: Option<Vec<u8>>,
    message_id: u16,
    rng: rngs::StdRng,
}

impl CallerClient {
    /// Creates a client of the service at `address`; `seed` determines its ids, tokens and tags.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened.
    pub async fn connect(address: net::SocketAddr, seed: u64) -> eyre::Result<CallerClient> {
        let socket = smol::net::UdpSocket::bind("127.0.0.1:0").await?;
        socket.connect(address).await?;
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let message_id = rng.next_u32() as u16;
        Ok(CallerClient { socket, ticket: None, message_id, rng })
    }

    /// Sends a GET request under a fresh tag.
    pub async fn get(&mut self, path: &str) -> CallerOutcome {
        let tag = self.fresh_tag();
        let method = message::RequestMethod::Get;
        let request = TaggedRequest { method, path: path.to_owned(), body: Vec::new(), tag };
        self.submit(&request).await
    }

    /// Sends a POST request under a fresh tag.
    pub async fn post(&mut self, path: &str, body: &str) -> CallerOutcome {
        let tag = self.fresh_tag();
        let method = message::RequestMethod::Post;
        let body = body.as_bytes().to_vec();
        self.submit(&TaggedRequest { method, path: path.to_owned(), body, tag }).await
    }

    /// Submits a request; after 4.01, submits it again with the ticket from that answer.
    ///
    /// 4.01 means that the request was not run.
    pub async fn submit(&mut self, request: &TaggedRequest) -> CallerOutcome {
        for _ in 0..MAX_TICKETS {
            let ticket = self.ticket.clone();
            match self.submit_with_ticket(request, ticket).await {
                CallerOutcome::Refused { code, .. } if code == "4.01" => {}
                outcome => return outcome,
            }
        }
        CallerOutcome::Refused { code: "4.01".to_owned(), after_s: None }
    }

    /// Submits a request once with a given ticket, as a resubmission must.
    pub async fn submit_with_ticket(
        &mut self,
        request: &TaggedRequest,
        ticket: Option<Vec<u8>>,
    ) -> CallerOutcome {
        let mut draft = coap::OutgoingRequest::new(request.method, &request.path);
        draft.tag = Some(request.tag.clone());
        draft.ticket = ticket;
        let chunks: Vec<_> = request.body.chunks(BLOCK_SIZE as usize).collect();
        let count = chunks.len();
        for (number, chunk) in chunks.iter().enumerate() {
            let more = number + 1 < count;
            let block = message::BodyBlock { number: number as u32, more, size: BLOCK_SIZE };
            draft.upload = (count > 1).then_some(block);
            draft.payload = chunk.to_vec();
            if !more {
                break;
            }
            match self.exchange(&mut draft).await {
                Some(answer) if answer.code() == "2.31" => {}
                answer => return self.outcome_of(answer),
            }
        }
        match self.exchange(&mut draft).await {
            Some(answer) if answer.block().is_some_and(|block| block.more) => {
                self.fetch_remaining_blocks(draft, answer).await
            }
            answer => self.outcome_of(answer),
        }
    }

    /// Fetches the blocks of an answer after the first.
    async fn fetch_remaining_blocks(
        &mut self,
        mut draft: coap::OutgoingRequest,
        first: coap::AnswerDatagram,
    ) -> CallerOutcome {
        let (code, body_tag) = (first.code(), first.body_tag().map(<[u8]>::to_vec));
        let mut body = first.payload().to_vec();
        let mut last = first.block();
        draft.ticket = draft.ticket.or(self.ticket.clone());
        draft.payload = Vec::new();
        draft.upload = None;
        while let Some(block) = last.filter(|block| block.more) {
            draft.wanted = Some(message::BodyBlock { number: block.number + 1, ..block });
            let Some(answer) = self.exchange(&mut draft).await else {
                return CallerOutcome::TimedOut;
            };
            if answer.body_tag().map(<[u8]>::to_vec) != body_tag {
                return self.outcome_of(Some(answer));
            }
            body.extend_from_slice(answer.payload());
            last = answer.block();
        }
        CallerOutcome::Answered(code, body)
    }

    fn outcome_of(&mut self, answer: Option<coap::AnswerDatagram>) -> CallerOutcome {
        let Some(answer) = answer else { return CallerOutcome::TimedOut };
        match answer.code().as_str() {
            code if code.starts_with('2') => {
                CallerOutcome::Answered(code.to_owned(), answer.payload().to_vec())
            }
            "5.04" => CallerOutcome::Unknown,
            code => {
                CallerOutcome::Refused { code: code.to_owned(), after_s: answer.retry_after_s() }
            }
        }
    }

    /// Sends one datagram, with retransmissions; returns the answer and keeps its ticket.
    async fn exchange(
        &mut self,
        draft: &mut coap::OutgoingRequest,
    ) -> Option<coap::AnswerDatagram> {
        self.message_id = self.message_id.wrapping_add(1);
        draft.message_id = self.message_id;
        draft.token = self.rng.next_u64().to_be_bytes().to_vec();
        let datagram = draft.encode()?;
        let mut wait = INITIAL_RETRANSMIT_TIMEOUT;
        for _ in 0..MAX_TRANSMISSIONS {
            let _ = self.socket.send(&datagram).await;
            let timeout = async {
                smol::Timer::after(wait).await;
                None
            };
            if let Some(answer) = self.receive(&draft.token).or(timeout).await {
                if let Some(ticket) = answer.ticket() {
                    self.ticket = Some(ticket.to_vec());
                }
                return Some(answer);
            }
            wait *= 2;
        }
        None
    }

    async fn receive(&self, token: &[u8]) -> Option<coap::AnswerDatagram> {
        let mut buffer = vec![0; usize::from(u16::MAX)];
        loop {
            let Ok(length) = self.socket.recv(&mut buffer).await else {
                smol::Timer::after(time::Duration::from_millis(20)).await;
                continue;
            };
            match coap::AnswerDatagram::parse(&buffer[..length]) {
                Some(answer) if answer.exchange().token == token => return Some(answer),
                // Late answer to an earlier exchange.
                _ => {}
            }
        }
    }

    /// The ticket that the next request is sent with.
    pub fn ticket(&self) -> Option<Vec<u8>> {
        self.ticket.clone()
    }

    /// Sets the ticket that the next request is sent with.
    pub fn set_ticket(&mut self, ticket: Option<Vec<u8>>) {
        self.ticket = ticket;
    }

    /// A random tag for a new request.
    pub fn fresh_tag(&mut self) -> Vec<u8> {
        self.rng.next_u64().to_be_bytes().to_vec()
    }
}

/// A client of one flow of datagrams, from a socket of its own.
#[derive(Debug)]
pub struct CallerFlow {
    socket: smol::net::UdpSocket,
    host: Option<String>,
    last_count: u64,
    sent: u64,
}

/// Outcome of one datagram of a flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FlowOutcome {
    /// Answered by the same host as before, which still has the state of the flow.
    Continued(backend::FlowEcho),
    /// Answered by another host, or by one that lost the state of the flow.
    Broken(backend::FlowEcho),
    /// No answer to any transmission.
    TimedOut,
}

impl CallerFlow {
    /// Opens a flow to the service at `address`.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened.
    pub async fn open(address: net::SocketAddr) -> eyre::Result<CallerFlow> {
        let socket = smol::net::UdpSocket::bind("127.0.0.1:0").await?;
        socket.connect(address).await?;
        Ok(CallerFlow { socket, host: None, last_count: 0, sent: 0 })
    }

    /// Sends a datagram, with retransmissions, and classifies the answer.
    pub async fn ping(&mut self) -> FlowOutcome {
        self.sent += 1;
        let text = format!("ping {}", self.sent);
        for _ in 0..MAX_TRANSMISSIONS {
            let _ = self.socket.send(text.as_bytes()).await;
            let timeout = async {
                smol::Timer::after(INITIAL_RETRANSMIT_TIMEOUT * 2).await;
                None
            };
            if let Some(echo) = self.receive(&text).or(timeout).await {
                return self.classify(echo);
            }
        }
        FlowOutcome::TimedOut
    }

    /// The host that answered last.
    pub fn host(&self) -> Option<&str> {
        self.host.as_deref()
    }

    async fn receive(&self, text: &str) -> Option<backend::FlowEcho> {
        let mut buffer = vec![0; usize::from(u16::MAX)];
        loop {
            let Ok(length) = self.socket.recv(&mut buffer).await else {
                smol::Timer::after(time::Duration::from_millis(20)).await;
                continue;
            };
            match serde_json::from_slice::<backend::FlowEcho>(&buffer[..length]) {
                Ok(echo) if echo.text == text => return Some(echo),
                _ => {}
            }
        }
    }

    fn classify(&mut self, echo: backend::FlowEcho) -> FlowOutcome {
        let is_same_host = self.host.as_ref().is_none_or(|host| *host == echo.host);
        let is_count_higher = echo.count > self.last_count;
        self.host = Some(echo.host.clone());
        self.last_count = echo.count;
        match is_same_host && is_count_higher {
            true => FlowOutcome::Continued(echo),
            false => FlowOutcome::Broken(echo),
        }
    }
}
