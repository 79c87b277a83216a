//! A host of the application: its packets, its health port and its heartbeats.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::packet;
use crate::packet::Packet;
use crate::record::Record;

/// The work of a request.
const WORK: Duration = Duration::from_millis(39);
/// The time after which an unacknowledged answer is sent again.
const RESEND: Duration = Duration::from_millis(200);
const MAX_RESENDS: u32 = 8;
/// The interval between heartbeats.
const BEAT: Duration = Duration::from_millis(770);

/// Where a host runs, and as what.
#[derive(Clone)]
pub struct HostPlace {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
}

/// One incarnation of a host, until it is ended.
pub struct Host {
    place: HostPlace,
    is_over: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    /// Whether a heartbeat that says so has been acknowledged.
    is_drain_acked: Arc<AtomicBool>,
}

struct Flow {
    own_first: u32,
    own_next: u32,
    their_next: u32,
    is_open: bool,
    /// The request at work, and when its work ends.
    due: Option<(Instant, String)>,
    /// The last answer, when it was sent, and how often.
    answer: Option<(Packet, Instant, u32)>,
}

impl Host {
    /// Starts an incarnation.
    pub fn start(place: HostPlace, record: &Record) -> Host {
        let host = Host {
            place: place.clone(),
            is_over: Arc::default(),
            is_draining: Arc::default(),
            is_drain_acked: Arc::default(),
        };
        record.add(format!("host {} starts at {} for {}", place.id, place.app, place.service));
        let listener = net::TcpListener::bind(place.app).expect("the health port");
        listener.set_nonblocking(true).expect("a listener");
        let socket = net::UdpSocket::bind(place.app).expect("the app port");
        socket.set_read_timeout(Some(Duration::from_millis(5))).expect("a socket");
        let is_over = host.is_over.clone();
        let is_draining = host.is_draining.clone();
        thread::spawn(move || answer_health(&listener, &is_over, &is_draining));
        let (is_over, flow_record) = (host.is_over.clone(), record.clone());
        let flow_place = place.clone();
        thread::spawn(move || {
            let mut server = FlowServer {
                place: flow_place,
                record: flow_record,
                flows: HashMap::new(),
                ended: HashSet::new(),
            };
            while !is_over.load(Ordering::SeqCst) {
                server.step(&socket);
            }
        });
        let (is_over, record) = (host.is_over.clone(), record.clone());
        let (is_draining, is_acked) = (host.is_draining.clone(), host.is_drain_acked.clone());
        thread::spawn(move || {
            for seq in 1.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let draining = is_draining.load(Ordering::SeqCst);
                let (path, body) = beat(&place, draining, seq);
                let answer =
                    http::call(place.control, "POST", &path, &body, Duration::from_secs(1));
                let status = answer.map_or(0, |(status, _)| status);
                let state = if draining { "draining" } else { "ready" };
                record.add(format!("beat {} seq {seq} {state} -> {status}", place.id));
                if draining && status == 200 {
                    is_acked.store(true, Ordering::SeqCst);
                }
                let next = Instant::now() + BEAT;
                while Instant::now() < next && is_draining.load(Ordering::SeqCst) == draining {
                    thread::sleep(Duration::from_millis(5));
                }
            }
        });
        host
    }

    pub fn id(&self) -> &str {
        &self.place.id
    }

    /// Says that it is draining.
    pub fn drain(&self, record: &Record) {
        record.add(format!("host {} drains", self.place.id));
        self.is_draining.store(true, Ordering::SeqCst);
    }

    pub fn is_drain_acked(&self) -> bool {
        self.is_drain_acked.load(Ordering::SeqCst)
    }

    /// Says that it ends, and ends.
    pub fn leave(&self, record: &Record) {
        let path = format!("/backend/{}/leave", self.place.id);
        let answer = http::call(self.place.control, "POST", &path, "", Duration::from_secs(1));
        record.add(format!("host {} leaves: {answer:?}", self.place.id));
        self.is_over.store(true, Ordering::SeqCst);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
    }
}

/// Returns the path and body of a heartbeat, named as `deploy/wire.toml` says.
fn beat(place: &HostPlace, draining: bool, seq: u64) -> (String, String) {
    let state = if draining { "draining" } else { "ready" };
    let HostPlace { id, service, zone, app, .. } = place;
    let body = format!(
        "{{\"service\":\"{service}\",\"address\":\"{app}\",\"data_centre\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":4,\"state\":\"{state}\",\"slow_start_ms\":0,\
         \"sequence\":{seq}}}"
    );
    (format!("/backend/{id}/report"), body)
}

fn answer_health(listener: &net::TcpListener, is_over: &AtomicBool, is_draining: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((mut stream, _)) => {
                let status = if is_draining.load(Ordering::SeqCst) { 503 } else { 200 };
                thread::spawn(move || {
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                    let Ok(copy) = stream.try_clone() else { return };
                    let read = http::read_request(&mut std::io::BufReader::new(copy));
                    if let Ok(Some(_)) = read {
                        let _ = http::write_answer(&mut stream, status, "");
                    }
                });
            }
            Err(_) => thread::sleep(Duration::from_millis(3)),
        }
    }
}

struct FlowServer {
    place: HostPlace,
    record: Record,
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
    /// Flows that both ends have closed.
    ended: HashSet<(SocketAddrV4, SocketAddrV4)>,
}

impl FlowServer {
    fn step(&mut self, socket: &net::UdpSocket) {
        let mut buffer = [0; 2_048];
        if let Ok((length, _)) = socket.recv_from(&mut buffer) {
            match Packet::decode(&buffer[..length]) {
                Some(packet) => self.take(&packet, &buffer[..length], socket),
                None => self.record.add(format!("FORGED packet at {}", self.place.id)),
            }
        }
        self.send_due(socket);
    }

    fn send(&self, socket: &net::UdpSocket, packet: &Packet) {
        let _ = socket.send_to(&packet.encode(), self.place.outbound);
    }

    fn take(&mut self, packet: &Packet, bytes: &[u8], socket: &net::UdpSocket) {
        let key = (packet.from, packet.to);
        let id = self.place.id.clone();
        if packet.has(packet::SYN) && !packet.has(packet::ACK) {
            let first = fresh_number();
            let is_new = !self.flows.contains_key(&key);
            let flow = self.flows.entry(key).or_insert(Flow {
                own_first: first,
                own_next: first.wrapping_add(1),
                their_next: packet.seq.wrapping_add(1),
                is_open: false,
                due: None,
                answer: None,
            });
            let flags = packet::SYN | packet::ACK;
            let reply = Packet::new(packet.to, packet.from, flags, flow.own_first, flow.their_next);
            self.send(socket, &reply);
            if is_new {
                self.record.add(format!("host {id} takes the opening of {}", packet.from));
            }
            return;
        }
        if self.ended.contains(&key) {
            let flags = match (packet.has(packet::FIN), packet.data.is_empty()) {
                (true, _) => packet::ACK,
                (false, false) => packet::RST,
                (false, true) => return,
            };
            let end = packet.seq.wrapping_add(1);
            self.send(socket, &Packet::new(packet.to, packet.from, flags, packet.ack, end));
            return;
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            let mut back = bytes.to_vec();
            back[16] |= packet::RETURNED;
            back[17] = 0;
            let _ = socket.send_to(&back, self.place.outbound);
            self.record.add(format!("host {id} gives back a packet of {}", packet.from));
            return;
        };
        if packet.has(packet::RST) {
            self.flows.remove(&key);
            return;
        }
        if !flow.is_open {
            if packet.ack != flow.own_first.wrapping_add(1) {
                return;
            }
            flow.is_open = true;
            self.record.add(format!("host {id} has {} open", packet.from));
        }
        if flow.answer.as_ref().is_some_and(|(answer, ..)| {
            packet.ack == answer.seq.wrapping_add(answer.data.len() as u32)
        }) {
            flow.answer = None;
        }
        if packet.has(packet::FIN) {
            let (next, end) = (flow.own_next, packet.seq.wrapping_add(1));
            let flags = packet::FIN | packet::ACK;
            self.flows.remove(&key);
            self.ended.insert(key);
            self.send(socket, &Packet::new(packet.to, packet.from, flags, next, end));
            return;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == flow.their_next {
            flow.their_next = flow.their_next.wrapping_add(packet.data.len() as u32);
            let request = String::from_utf8_lossy(&packet.data).into_owned();
            let id_line = request.lines().find(|line| line.starts_with("Request-Id"));
            let request_id = id_line.unwrap_or_default().to_owned();
            self.record.add(format!("host {id} runs {request_id}"));
            flow.due = Some((Instant::now() + WORK, request_id));
        } else {
            let (next, theirs) = (flow.own_next, flow.their_next);
            let reply = Packet::new(packet.to, packet.from, packet::ACK, next, theirs);
            self.send(socket, &reply);
        }
    }

    fn send_due(&mut self, socket: &net::UdpSocket) {
        let now = Instant::now();
        let mut out = Vec::new();
        for ((caller, entry), flow) in &mut self.flows {
            if let Some((_, request_id)) = flow.due.take_if(|(at, _)| *at <= now) {
                let body = format!("done {request_id}");
                let stamp = &self.place.id;
                let text = format!(
                    "HTTP/1.1 200 OK\r\nServer-Stamp: {stamp}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                let answer =
                    Packet::new(*entry, *caller, packet::ACK, flow.own_next, flow.their_next);
                let answer = answer.with_data(text.as_bytes());
                flow.own_next = flow.own_next.wrapping_add(text.len() as u32);
                out.push(answer.clone());
                flow.answer = Some((answer, now, 0));
            }
            if let Some((answer, sent, count)) = &mut flow.answer
                && now.duration_since(*sent) >= RESEND * 2_u32.pow((*count).min(3))
                && *count < MAX_RESENDS
            {
                *sent = now;
                *count += 1;
                out.push(answer.clone());
            }
        }
        for packet in out {
            self.send(socket, &packet);
        }
    }
}

/// Returns an initial sequence number.
pub fn fresh_number() -> u32 {
    use std::hash::BuildHasher as _;
    std::collections::hash_map::RandomState::new().hash_one(7) as u32
}
