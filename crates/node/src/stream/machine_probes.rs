//! Connection probes of the machines of agents that have not reported.

use std::io;
use std::net;
use std::rc;
use std::time;

use smol::channel;
use smol::future::FutureExt as _;

use crate::stream::context;
use crate::stream::packets;

/// Maximum number of queued probes; the engine requests any further ones again at its next tick.
pub(crate) const MAX_PENDING_PROBES: usize = 32;

/// Timeout of a probe. A machine accepts or refuses within a round trip, which takes milliseconds
/// between data centres and tens of milliseconds between regions.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Probes each requested machine, concurrently.
pub(crate) async fn run(
    context: rc::Rc<context::ControlContext>,
    machine_probes: channel::Receiver<net::SocketAddrV4>,
) {
    while let Ok(agent) = machine_probes.recv().await {
        let probe_context = context.clone();
        let probe = async move {
            let is_there = is_reachable(agent).await;
            probe_context.send_input(packets::StreamInput::MachineProbed { agent, is_there }).await;
        };
        context.executor.spawn(probe).detach();
    }
}

/// Whether a machine accepts or refuses a connection; either shows that it is up and reachable.
async fn is_reachable(agent: net::SocketAddrV4) -> bool {
    let answered = async {
        match smol::net::TcpStream::connect(agent).await {
            Ok(_) => true,
            Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        }
    };
    let timed_out = async {
        smol::Timer::after(ANSWER_TIMEOUT).await;
        false
    };
    answered.or(timed_out).await
}
