//! The packet thread: receives segments and messages, runs the engine and sends the results.
//!
//! A single thread does all three, since passing a segment between threads costs more than
//! processing it. Sockets are read until they are empty or a batch is full, and written without
//! blocking; datagrams that do not fit the kernel's send buffer are dropped and counted.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::store_epoch;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::evacuation;
use rosemaryusher_core::stream::message;
use rosemaryusher_core::stream::report;
use rosemaryusher_core::stream::segment;
use rosemaryusher_wire::packet;
use smol::channel;
use smol::future::FutureExt as _;

use crate::clock;
use crate::meters;
use crate::stream::adapter;
use crate::stream::engine;
use crate::stream::event_log;
use crate::stream::message_counters;
use crate::stream::status;

/// Interval between the engine's ticks, in milliseconds.
const TICK_MS: u64 = 20;

/// Maximum number of datagrams read from one socket in a row, so that neither socket starves.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// An input from the control thread.
#[derive(Debug)]
pub(crate) enum StreamInput {
    /// A newer configuration.
    Config(sync::Arc<config::ConfigState>),
    /// Addresses of possible balancers, from the settings.
    Seeds(Vec<net::SocketAddrV4>),
    /// The data centres that operators have evacuated.
    Evacuations(evacuation::EvacuationState),
    /// Every process that is announced on the platform.
    Members {
        /// The other processes.
        members: Vec<stream::AnnouncedMember>,
        /// The epoch of the store in which this process was announced before the list was read.
        epoch: store_epoch::StoreEpoch,
    },
    /// The store holds the announcement of this process, and held it all the time up to this epoch.
    Announced(store_epoch::StoreEpoch),
    /// The announcement of this process is about to be withdrawn.
    Withdrawn,
    /// Whether the last call to the platform succeeded.
    Platform(bool),
    /// The epoch of the platform's store, from its answers.
    StoreEpoch(store_epoch::StoreEpoch),
    /// A report of the backend server.
    HostReport(report::HostReport),
    /// A run of the backend server has left.
    HostLeft(report::HostRun),
    /// The result of a connection probe of an announced agent's machine.
    MachineProbed {
        /// The agent's message address.
        agent: net::SocketAddrV4,
        /// Whether the machine accepted or refused the connection.
        is_there: bool,
    },
    /// Nothing listens at the backend server's address.
    HostPortClosed,
    /// The process shuts down.
    Leave,
    /// A request for the engine's state.
    Dump(channel::Sender<serde_json::Value>),
}

/// The state of the thread.
pub(crate) struct PacketThread {
    pub(crate) engine: engine::StreamEngine,
    pub(crate) codec: Box<dyn adapter::SegmentCodec>,
    pub(crate) clock: clock::ProcessClock,
    /// Receives callers' segments at a balancer, the backend server's at an agent.
    pub(crate) segments: smol::Async<net::UdpSocket>,
    /// Receives other processes' messages.
    pub(crate) messages: smol::Async<net::UdpSocket>,
    pub(crate) backend_address: Option<net::SocketAddrV4>,
    pub(crate) caller_port: u16,
    pub(crate) inputs: channel::Receiver<StreamInput>,
    /// Requests to fetch the configuration from a peer.
    pub(crate) config_fetches: channel::Sender<net::SocketAddrV4>,
    /// Requests to probe the backend server.
    pub(crate) backend_probes: channel::Sender<()>,
    /// Requests to probe the machine of an agent.
    pub(crate) machine_probes: channel::Sender<net::SocketAddrV4>,
    pub(crate) status: sync::Arc<status::StreamStatus>,
    pub(crate) event_log: event_log::EventLog,
    pub(crate) message_counters: message_counters::MessageCounters,
}

enum WakeReason {
    Ready,
    Input(StreamInput),
    Closed,
}

impl PacketThread {
    /// Runs until the control thread has ended.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; message::MAX_MESSAGE_BYTES];
        let mut actions = Vec::new();
        let mut last_tick = ids::UnixMillis(0);
        loop {
            let now = self.clock.now();
            let mut is_drained = self.read_segments(&mut buffer, now, &mut actions);
            is_drained &= self.read_messages(&mut buffer, now, &mut actions);
            while let Ok(input) = self.inputs.try_recv() {
                self.handle_input(input, now, &mut actions);
            }
            if now.since(last_tick) >= TICK_MS {
                last_tick = now;
                self.engine.handle(now, stream::StreamEvent::Tick, &mut actions);
                self.execute(now, &mut actions);
                self.publish(now);
                self.message_counters.flush_if_due(now);
            }
            if is_drained {
                match self.wait().await {
                    WakeReason::Ready => {}
                    WakeReason::Input(input) => self.handle_input(input, now, &mut actions),
                    WakeReason::Closed => return,
                }
            }
        }
    }

    async fn wait(&self) -> WakeReason {
        let readable = async {
            // The next read returns and counts any error.
            drop(self.segments.readable().or(self.messages.readable()).await);
            WakeReason::Ready
        };
        let due = async {
            smol::Timer::after(time::Duration::from_millis(TICK_MS)).await;
            WakeReason::Ready
        };
        let input_received = async {
            match self.inputs.recv().await {
                Ok(input) => WakeReason::Input(input),
                Err(_) => WakeReason::Closed,
            }
        };
        readable.or(due).or(input_received).await
    }

    fn read_segments(
        &mut self,
        buffer: &mut [u8],
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) -> bool {
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let (length, from) = match self.segments.get_ref().recv_from(buffer) {
                Ok(received) => received,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
                // The error concerns one datagram; the next may be readable.
                Err(_) => {
                    meters::count_drop("receive_failed");
                    continue;
                }
            };
            self.status.arrivals.fetch_add(1, atomic::Ordering::Relaxed);
            let bytes = &buffer[..length];
            let Some(head) = self.codec.decode(bytes) else {
                meters::count_drop("malformed_segment");
                self.log_malformed(from, length, "not a segment", now);
                continue;
            };
            let segment = segment::StreamSegment { head, bytes };
            match head.flags.is_returned {
                // Segments that the backend server gave back are forwarded as the caller sent them.
                true => {
                    let mut unmarked = bytes.to_vec();
                    self.codec.unmark(&mut unmarked);
                    let segment = segment::StreamSegment { head, bytes: &unmarked };
                    self.engine.handle(now, stream::StreamEvent::Segment(segment), actions);
                }
                false => self.engine.handle(now, stream::StreamEvent::Segment(segment), actions),
            }
            self.execute(now, actions);
        }
        false
    }

    fn read_messages(
        &mut self,
        buffer: &mut [u8],
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) -> bool {
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let (length, from) = match self.messages.get_ref().recv_from(buffer) {
                Ok(received) => received,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
                Err(_) => {
                    meters::count_drop("receive_failed");
                    continue;
                }
            };
            let net::SocketAddr::V4(from) = from else { continue };
            let message = match packet::decode::<message::StreamMessage>(&buffer[..length]) {
                Ok(message) => message,
                Err(error) => {
                    meters::count_drop("damaged_packet");
                    self.log_malformed(from.into(), length, error, now);
                    continue;
                }
            };
            self.message_counters.record(
                message_counters::MessageDirection::Received,
                message.kind(),
                length,
            );
            let head = match &message {
                message::StreamMessage::Carry(carry) => self.codec.decode(&carry.segment),
                message::StreamMessage::Return(returned) => self.codec.decode(&returned.segment),
                _ => None,
            };
            let event = stream::StreamEvent::Message { from, message: &message, head };
            self.engine.handle(now, event, actions);
            self.execute(now, actions);
        }
        false
    }

    fn log_malformed(
        &mut self,
        from: net::SocketAddr,
        length: usize,
        problem: impl ToString,
        now: ids::UnixMillis,
    ) {
        let problem = problem.to_string();
        let datagram = event_log::MalformedDatagram { from, length, problem };
        self.event_log.write_malformed(datagram, now);
    }

    fn handle_input(
        &mut self,
        input: StreamInput,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let event = match input {
            StreamInput::Config(state) => stream::StreamEvent::Config(state),
            StreamInput::Seeds(seeds) => stream::StreamEvent::Seeds(seeds),
            StreamInput::Evacuations(state) => stream::StreamEvent::Evacuations(state),
            StreamInput::Members { members, epoch } => {
                stream::StreamEvent::Members { members, epoch }
            }
            StreamInput::Announced(epoch) => stream::StreamEvent::Announced(epoch),
            StreamInput::Withdrawn => stream::StreamEvent::Withdrawn,
            StreamInput::Platform(reaches) => stream::StreamEvent::Platform(reaches),
            StreamInput::StoreEpoch(epoch) => stream::StreamEvent::StoreEpoch(epoch),
            StreamInput::HostReport(report) => stream::StreamEvent::HostReport(report),
            StreamInput::HostLeft(run) => stream::StreamEvent::HostLeft(run),
            StreamInput::MachineProbed { agent, is_there } => {
                stream::StreamEvent::MachineProbed { agent, is_there }
            }
            StreamInput::HostPortClosed => stream::StreamEvent::HostPortClosed,
            StreamInput::Leave => stream::StreamEvent::Leave,
            StreamInput::Dump(reply) => {
                // Fails only if the request was cancelled.
                drop(reply.try_send(self.engine.dump(now)));
                return;
            }
        };
        self.engine.handle(now, event, actions);
        self.execute(now, actions);
        self.publish(now);
    }

    fn publish(&self, now: ids::UnixMillis) {
        status::set(&self.status.is_ready, self.engine.is_ready(now));
        status::set(&self.status.knows_evacuations, self.engine.evacuations().is_known());
        let store_epoch = self.engine.store_epoch().0;
        self.status.store_epoch.store(store_epoch, atomic::Ordering::Relaxed);
        status::set(&self.status.is_watcher, self.engine.is_watcher());
        status::set(&self.status.reaches_balancer, self.engine.reaches_balancer());
        status::set(&self.status.needs_member_list, self.engine.needs_member_list(now));
        status::set(&self.status.is_busy, self.engine.is_busy());
        status::set(&self.status.holds_streams, self.engine.holds_streams());
    }

    fn execute(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        for action in actions.drain(..) {
            match action {
                stream::StreamAction::Send(to, message) => match packet::encode(&message) {
                    Ok(bytes) => {
                        self.message_counters.record(
                            message_counters::MessageDirection::Sent,
                            message.kind(),
                            bytes.len(),
                        );
                        send(&self.messages, &bytes, to);
                    }
                    Err(error) => log::error!("cannot encode message: {error}"),
                },
                stream::StreamAction::Deliver(metadata, mut bytes) => {
                    self.codec.mark(&mut bytes, metadata);
                    match self.backend_address {
                        Some(backend_address) => send(&self.segments, &bytes, backend_address),
                        None => meters::count_drop("no_backend"),
                    }
                }
                stream::StreamAction::Answer(caller, bytes) => {
                    let to = net::SocketAddrV4::new(caller, self.caller_port);
                    send(&self.segments, &bytes, to);
                }
                stream::StreamAction::Reset(key, sequence) => {
                    let to = net::SocketAddrV4::new(*key.caller.ip(), self.caller_port);
                    send(&self.segments, &self.codec.reset(key, sequence), to);
                }
                // If the channel is full, a fetch is in progress.
                stream::StreamAction::FetchConfig(from) => drop(self.config_fetches.try_send(from)),
                // If the channel is full, a probe is in progress.
                stream::StreamAction::ProbeHost => drop(self.backend_probes.try_send(())),
                // If the channel is full, the engine requests the probe again.
                stream::StreamAction::ProbeMachine(to) => drop(self.machine_probes.try_send(to)),
                stream::StreamAction::Measure(timing) => event_log::record_timing(timing),
                stream::StreamAction::Log(event) => self.event_log.write(&event, now),
            }
        }
    }
}

fn send(socket: &smol::Async<net::UdpSocket>, bytes: &[u8], to: net::SocketAddrV4) {
    if socket.get_ref().send_to(bytes, to).is_err() {
        meters::count_drop("send_failed");
    }
}
