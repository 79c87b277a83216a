//! Stand-in for the network fabric: sends each datagram to a random balancer.
//!
//! Each caller is relayed through a socket of its own, so that all balancers see the same address
//! for it, as with a fabric that does not rewrite addresses.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use rosemaryusher_node::http;
use serde::Deserialize;
use serde::Serialize;

/// Targets of each service address, and packet faults.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FabricTargets {
    /// Balancers' entries, by service address.
    pub targets: collections::BTreeMap<net::SocketAddr, Vec<net::SocketAddr>>,
    /// Percentage of callers' datagrams that are dropped.
    pub lost_percent: u32,
    /// Percentage of callers' datagrams that are duplicated, each copy to a random balancer.
    #[serde(rename = "doubled_percent")]
    pub duplicated_percent: u32,
}

struct FabricState {
    targets: FabricTargets,
    /// Sockets towards the balancers, by service address and caller.
    caller_sockets: collections::HashMap<(net::SocketAddr, net::SocketAddr), smol::net::UdpSocket>,
    rng: rngs::StdRng,
}

type SharedState = rc::Rc<cell::RefCell<FabricState>>;

/// Prints `count` service addresses as JSON, then serves them until the process ends.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub fn run(count: usize, seed: u64) -> eyre::Result<()> {
    let executor = rc::Rc::new(smol::LocalExecutor::new());
    smol::block_on(executor.run(async {
        let listener = http::listen(([127, 0, 0, 1], 0).into()).await?;
        let state = rc::Rc::new(cell::RefCell::new(FabricState {
            targets: FabricTargets::default(),
            caller_sockets: collections::HashMap::new(),
            rng: rngs::StdRng::seed_from_u64(seed),
        }));
        let mut addresses = Vec::new();
        for _ in 0..count {
            let socket = smol::net::UdpSocket::bind("127.0.0.1:0").await?;
            addresses.push(socket.local_addr()?);
            let relay = ServiceRelay { socket, state: state.clone(), executor: executor.clone() };
            executor.spawn(relay.run()).detach();
        }
        let control = listener.local_addr()?;
        println!("{}", serde_json::json!({ "control": control, "addresses": addresses }));
        let handler = move |request| handle(state.clone(), request);
        http::serve(listener, executor.clone(), rc::Rc::new(handler)).await
    }))
}

async fn handle(state: SharedState, request: http::ServerRequest) -> http::ServerResponse {
    match serde_json::from_slice(&request.body) {
        Ok(targets) if request.path == "/targets" => {
            state.borrow_mut().targets = targets;
            http::ServerResponse::new(204, "")
        }
        Ok(_) => http::ServerResponse::new(404, "no such page"),
        Err(error) => http::ServerResponse::new(400, error.to_string()),
    }
}

struct ServiceRelay {
    socket: smol::net::UdpSocket,
    state: SharedState,
    executor: rc::Rc<smol::LocalExecutor<'static>>,
}

impl ServiceRelay {
    async fn run(self) -> eyre::Result<()> {
        let address = self.socket.local_addr()?;
        let mut buffer = vec![0; usize::from(u16::MAX)];
        loop {
            let Ok((length, caller)) = self.socket.recv_from(&mut buffer).await else { continue };
            let relay_socket = self.caller_socket(address, caller).await?;
            for target in self.pick_targets(address) {
                let _ = relay_socket.send_to(&buffer[..length], target).await;
            }
        }
    }

    /// Picks the balancers that a datagram is sent to: none, one, or two if it is duplicated.
    fn pick_targets(&self, address: net::SocketAddr) -> Vec<net::SocketAddr> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(targets) = state.targets.targets.get(&address) else { return Vec::new() };
        let draw = state.rng.random_range(0..100);
        let copies = match () {
            _ if targets.is_empty() || draw < state.targets.lost_percent => 0,
            _ if draw < state.targets.lost_percent + state.targets.duplicated_percent => 2,
            _ => 1,
        };
        (0..copies).map(|_| targets[state.rng.random_range(0..targets.len())]).collect()
    }

    async fn caller_socket(
        &self,
        address: net::SocketAddr,
        caller: net::SocketAddr,
    ) -> eyre::Result<smol::net::UdpSocket> {
        let existing = self.state.borrow().caller_sockets.get(&(address, caller)).cloned();
        if let Some(relay_socket) = existing {
            return Ok(relay_socket);
        }
        let relay_socket = smol::net::UdpSocket::bind("127.0.0.1:0").await?;
        self.state.borrow_mut().caller_sockets.insert((address, caller), relay_socket.clone());
        let answers = relay_answers(relay_socket.clone(), self.socket.clone(), caller);
        self.executor.spawn(answers).detach();
        Ok(relay_socket)
    }
}

async fn relay_answers(
    relay_socket: smol::net::UdpSocket,
    service: smol::net::UdpSocket,
    caller: net::SocketAddr,
) {
    let mut buffer = vec![0; usize::from(u16::MAX)];
    loop {
        let Ok((length, _)) = relay_socket.recv_from(&mut buffer).await else { continue };
        let _ = service.send_to(&buffer[..length], caller).await;
    }
}
