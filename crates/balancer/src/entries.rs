//! UDP sockets for callers' datagrams, one per service address.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use rosemaryusher_core::config;
use rosemaryusher_core::message;
use rosemaryusher_node::meters;
use rosemaryusher_wire::coap;
use smol::channel;

use crate::engine_loop;
use crate::settings;

/// Max-Age of the refusal that callers get while the engine's input channel is full, in seconds.
const OVERLOAD_RETRY_AFTER_S: u32 = 1;

/// The open sockets; clones share them.
#[derive(Clone)]
pub(crate) struct EntrySockets {
    mode: settings::EntryMode,
    sockets: sync::Arc<sync::RwLock<collections::HashMap<net::SocketAddr, EntrySocket>>>,
    received_count: sync::Arc<atomic::AtomicU64>,
}

struct EntrySocket {
    socket: smol::net::UdpSocket,
    _receive_task: smol::Task<()>,
}

impl EntrySockets {
    pub(crate) fn new(mode: settings::EntryMode) -> EntrySockets {
        EntrySockets { mode, sockets: sync::Arc::default(), received_count: sync::Arc::default() }
    }

    /// Opens sockets for new addresses and closes those of removed addresses.
    pub(crate) async fn update(
        &self,
        state: &config::ConfigState,
        inputs: &channel::Sender<engine_loop::BalancerInput>,
        executor: &sync::Arc<smol::Executor<'static>>,
    ) {
        let is_datagram_entry =
            |entry: &config::ServiceEntry| entry.kind != config::EntryKind::Streams;
        let wanted: collections::HashMap<_, _> =
            state.entries().filter(|(_, entry)| is_datagram_entry(entry)).collect();
        if let Ok(mut sockets) = self.sockets.write() {
            sockets.retain(|address, _| wanted.contains_key(address));
        }
        for (address, entry) in wanted {
            if self.socket(address).is_some() {
                continue;
            }
            let socket = match smol::net::UdpSocket::bind(self.local_address(address)).await {
                Ok(socket) => socket,
                Err(error) => {
                    log::error!("cannot bind a socket for service address {address}: {error}");
                    continue;
                }
            };
            let receiver = EntryReceiver {
                address,
                kind: entry.kind,
                socket: socket.clone(),
                inputs: inputs.clone(),
                received_count: self.received_count.clone(),
            };
            let entry_socket =
                EntrySocket { socket, _receive_task: executor.spawn(receiver.receive()) };
            if let Ok(mut sockets) = self.sockets.write() {
                sockets.insert(address, entry_socket);
            }
        }
    }
}

impl EntrySockets {
    /// The socket of a service address.
    pub(crate) fn socket(&self, address: net::SocketAddr) -> Option<smol::net::UdpSocket> {
        Some(self.sockets.read().ok()?.get(&address)?.socket.clone())
    }

    /// The local address of the socket of each service address.
    pub(crate) fn bound_addresses(
        &self,
    ) -> collections::BTreeMap<net::SocketAddr, net::SocketAddr> {
        let Ok(sockets) = self.sockets.read() else { return collections::BTreeMap::new() };
        let local = |entry: &EntrySocket| entry.socket.local_addr().ok();
        sockets.iter().filter_map(|(address, entry)| Some((*address, local(entry)?))).collect()
    }

    /// The number of datagrams received so far.
    pub(crate) fn received_count(&self) -> u64 {
        self.received_count.load(atomic::Ordering::Relaxed)
    }

    fn local_address(&self, address: net::SocketAddr) -> net::SocketAddr {
        match self.mode {
            settings::EntryMode::Direct => address,
            settings::EntryMode::Translated { ip } => net::SocketAddr::new(ip, 0),
        }
    }
}

struct EntryReceiver {
    address: net::SocketAddr,
    kind: config::EntryKind,
    socket: smol::net::UdpSocket,
    inputs: channel::Sender<engine_loop::BalancerInput>,
    received_count: sync::Arc<atomic::AtomicU64>,
}

impl EntryReceiver {
    async fn receive(self) {
        let mut buffer = vec![0; usize::from(u16::MAX)];
        while !self.inputs.is_closed() {
            // Errors such as ICMP port unreachable concern one datagram only.
            let Ok((length, caller)) = self.socket.recv_from(&mut buffer).await else { continue };
            self.received_count.fetch_add(1, atomic::Ordering::Relaxed);
            let input = engine_loop::BalancerInput::Caller {
                address: self.address,
                caller,
                datagram: buffer[..length].to_vec(),
            };
            if self.inputs.try_send(input).is_err() {
                self.refuse(&buffer[..length], caller).await;
            }
        }
    }

    /// Refuses a request that does not fit the engine's input channel.
    async fn refuse(&self, datagram: &[u8], caller: net::SocketAddr) {
        meters::count_drop("ring_full");
        if self.kind != config::EntryKind::Requests {
            return;
        }
        let Ok(request) = coap::RequestDatagram::parse(datagram) else { return };
        let kind = message::RefusalKind::RetryAfter { after_s: OVERLOAD_RETRY_AFTER_S };
        if let Some(refusal) = coap::encode_refusal(&request.exchange(), kind, None) {
            let _ = self.socket.send_to(&refusal, caller).await;
        }
    }
}
