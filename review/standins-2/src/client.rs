//! A client that keeps one flow open for many requests, or opens one flow.

use std::net;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::host::fresh_number;
use crate::packet;
use crate::packet::Packet;
use crate::record::Record;
use crate::router::Router;

/// When a client sends copies of its opening, in milliseconds.
const COPIES_MS: [u64; 2] = [200, 600];
/// When it gives the opening up.
const GIVE_UP: Duration = Duration::from_millis(1_400);
/// Its deadline for a request.
const DEADLINE: Duration = Duration::from_millis(1_200);
/// A reset counts on an open flow within this distance of the client's last acknowledgement.
const RESET_RANGE: u32 = 76_800;

/// How a flow fared.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowEnd {
    /// It never opened.
    NotOpened,
    /// It was reset while it was open; by the system, unless `by_host`.
    Reset { by_host: bool },
    /// A request had no answer before its deadline.
    Unanswered,
    /// Every request was answered.
    Whole,
}

/// The outcome of one client's flow.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub caller: SocketAddrV4,
    /// The stamp of the host that answered last.
    pub stamp: String,
    pub answered: u32,
    pub end: FlowEnd,
}

pub type Outcomes = Arc<Mutex<Vec<Outcome>>>;

/// How a client's packets reach a balancer.
#[derive(Clone)]
pub enum Ingress {
    /// All go to one balancer.
    Fixed(SocketAddrV4),
    /// The routers of its zone choose.
    Routed(Router),
}

/// A client: its address, the way of its packets, and the address that it calls.
#[derive(Clone)]
pub struct Client {
    pub caller: SocketAddrV4,
    pub entry: SocketAddrV4,
    pub ingress: Ingress,
    /// The port at which it receives.
    pub port: u16,
    pub requests: u32,
    pub pause: Duration,
}

impl Client {
    /// Runs the client on a thread of its own; its socket receives at the port of the machines.
    pub fn start(self, record: &Record, outcomes: &Outcomes) -> thread::JoinHandle<()> {
        let (record, outcomes) = (record.clone(), outcomes.clone());
        thread::spawn(move || {
            let outcome = self.run(&record);
            record.add(format!("client {} ends: {:?}", self.caller, outcome.end));
            outcomes.lock().expect("outcomes").push(outcome);
        })
    }

    pub fn run(&self, record: &Record) -> Outcome {
        let socket = bind(SocketAddrV4::new(*self.caller.ip(), self.port));
        socket.set_read_timeout(Some(Duration::from_millis(5))).expect("a socket");
        let mut flow = ClientFlow { client: self, record, socket, seq: fresh_number(), ack: 0 };
        let mut answered = 0;
        let mut stamp = String::new();
        let mut end = FlowEnd::Whole;
        match flow.open() {
            Some(()) => {
                for number in 1..=self.requests {
                    match flow.request(number) {
                        Ok(by) => {
                            stamp = by;
                            answered += 1;
                        }
                        Err(problem) => {
                            end = problem;
                            break;
                        }
                    }
                    if let Err(problem) = flow.idle(self.pause) {
                        end = problem;
                        break;
                    }
                }
            }
            None => end = FlowEnd::NotOpened,
        }
        if end == FlowEnd::Whole {
            flow.close();
        }
        Outcome { caller: self.caller, stamp, answered, end }
    }
}

/// Binds a socket. A process that is just being started may hold the last one for a moment.
fn bind(address: SocketAddrV4) -> net::UdpSocket {
    for _ in 0..100 {
        match net::UdpSocket::bind(address) {
            Ok(socket) => return socket,
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
    net::UdpSocket::bind(address).expect("a socket")
}

/// Opens one flow after the other, each from a port of its own.
pub fn keep_calling(client: &Client, is_over: &AtomicBool, record: &Record, outcomes: &Outcomes) {
    let (ip, first) = (*client.caller.ip(), client.caller.port());
    // Clients don't begin at the same moment.
    thread::sleep(Duration::from_millis(u64::from(ip.octets()[3]) * 37 % 900));
    for port in first.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let caller = SocketAddrV4::new(ip, port);
        let outcome = Client { caller, ..client.clone() }.run(record);
        outcomes.lock().expect("outcomes").push(outcome);
    }
}

struct ClientFlow<'a> {
    client: &'a Client,
    record: &'a Record,
    socket: net::UdpSocket,
    seq: u32,
    ack: u32,
}

impl ClientFlow<'_> {
    fn send(&self, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        let packet = Packet::new(self.client.caller, self.client.entry, flags, seq, ack);
        let bytes = packet.with_data(data).encode();
        let edge = match &self.client.ingress {
            Ingress::Fixed(edge) => *edge,
            Ingress::Routed(router) => router.edge_for(self.client.caller, self.client.entry),
        };
        let _ = self.socket.send_to(&bytes, edge);
    }

    fn receive(&self) -> Option<Packet> {
        let mut buffer = [0; 2_048];
        let (length, _) = self.socket.recv_from(&mut buffer).ok()?;
        let packet = Packet::decode(&buffer[..length]);
        if packet.is_none() {
            self.record.add(format!("FORGED packet at client {}", self.client.caller));
        }
        packet.filter(|p| p.to == self.client.caller && p.from == self.client.entry)
    }

    fn open(&mut self) -> Option<()> {
        let begun = Instant::now();
        self.record.add(format!("client {} opens {}", self.client.caller, self.client.entry));
        self.send(packet::SYN, self.seq, 0, &[]);
        let mut copies = 0;
        while begun.elapsed() < GIVE_UP {
            if copies < COPIES_MS.len()
                && begun.elapsed() >= Duration::from_millis(COPIES_MS[copies])
            {
                copies += 1;
                self.send(packet::SYN, self.seq, copies as u32, &[]);
            }
            match self.receive() {
                Some(p) if p.has(packet::RST) => {
                    self.record.add(format!("client {} is refused", self.client.caller));
                    return None;
                }
                Some(p) if p.has(packet::SYN) && p.has(packet::ACK) => {
                    self.seq = self.seq.wrapping_add(1);
                    self.ack = p.seq.wrapping_add(1);
                    self.send(packet::ACK, self.seq, self.ack, &[]);
                    return Some(());
                }
                _ => {}
            }
        }
        None
    }

    /// Sends a request, and again until it is answered; returns the host's stamp.
    fn request(&mut self, number: u32) -> Result<String, FlowEnd> {
        let id = format!("{}-{number}", self.client.caller);
        let text = format!("POST / HTTP/1.1\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n");
        self.record.add(format!("client {} sends {id}", self.client.caller));
        let begun = Instant::now();
        let (mut sent, mut wait) = (begun, Duration::from_millis(200));
        self.send(packet::ACK, self.seq, self.ack, text.as_bytes());
        while begun.elapsed() < DEADLINE {
            if sent.elapsed() >= wait {
                sent = Instant::now();
                wait = (wait * 2).min(Duration::from_millis(1_600));
                self.send(packet::ACK, self.seq, self.ack, text.as_bytes());
            }
            let Some(packet) = self.receive() else { continue };
            self.check_reset(&packet)?;
            if !packet.data.is_empty() && packet.seq == self.ack {
                self.seq = self.seq.wrapping_add(text.len() as u32);
                self.ack = self.ack.wrapping_add(packet.data.len() as u32);
                self.send(packet::ACK, self.seq, self.ack, &[]);
                let answer = String::from_utf8_lossy(&packet.data).into_owned();
                if !answer.ends_with(&id) {
                    self.record.add(format!("FOREIGN answer at client {}", self.client.caller));
                }
                let stamp = answer.lines().find_map(|line| line.strip_prefix("Server-Stamp: "));
                return Ok(stamp.unwrap_or_default().to_owned());
            }
        }
        self.record.add(format!("client {} has no answer to {id}", self.client.caller));
        Err(FlowEnd::Unanswered)
    }

    /// Keeps the flow open without a request.
    fn idle(&mut self, pause: Duration) -> Result<(), FlowEnd> {
        let end = Instant::now() + pause;
        while Instant::now() < end {
            let Some(packet) = self.receive() else { continue };
            self.check_reset(&packet)?;
            if !packet.data.is_empty() {
                self.send(packet::ACK, self.seq, self.ack, &[]);
            }
        }
        Ok(())
    }

    /// Closes the flow, and waits a moment for the host to close it as well.
    fn close(&self) {
        for _ in 0..3 {
            self.send(packet::FIN | packet::ACK, self.seq, self.ack, &[]);
            let end = Instant::now() + Duration::from_millis(200);
            while Instant::now() < end {
                let packet = self.receive();
                if packet.is_some_and(|p| p.has(packet::FIN) || p.has(packet::RST)) {
                    let (seq, ack) = (self.seq.wrapping_add(1), self.ack.wrapping_add(1));
                    return self.send(packet::ACK, seq, ack, &[]);
                }
            }
        }
    }

    fn check_reset(&self, packet: &Packet) -> Result<(), FlowEnd> {
        let distance = packet.seq.wrapping_sub(self.ack).min(self.ack.wrapping_sub(packet.seq));
        if !packet.has(packet::RST) || distance > RESET_RANGE {
            return Ok(());
        }
        let by_host = !packet.is_unsummed;
        self.record.add(format!("client {} is RESET, by its host: {by_host}", self.client.caller));
        Err(FlowEnd::Reset { by_host })
    }
}
