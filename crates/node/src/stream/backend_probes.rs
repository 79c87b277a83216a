//! Connection probes of the backend server's address.
//!
//! The backend server is on the same machine as its agent, so a refused connection shows that it
//! has ended. A connection attempt that times out shows nothing.

use std::io;
use std::net;
use std::rc;
use std::time;

use smol::channel;
use smol::future::FutureExt as _;

use crate::stream::context;
use crate::stream::packets;

/// Timeout of a connection attempt, long enough for a busy machine.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Delay between two attempts, both of which must be refused: a single refusal may come from a
/// backend server that is starting.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Probes the backend server on each request.
pub(crate) async fn run(
    context: rc::Rc<context::ControlContext>,
    backend_probes: channel::Receiver<()>,
) {
    while backend_probes.recv().await.is_ok() {
        probe(&context).await;
    }
}

/// Probes the backend server once, and tells the packet thread if its port is closed.
pub(crate) async fn probe(context: &context::ControlContext) {
    let Some(address) = context.streams().backend_address else { return };
    if !is_refused(address).await {
        return;
    }
    smol::Timer::after(RETRY_DELAY).await;
    if is_refused(address).await {
        context.send_input(packets::StreamInput::HostPortClosed).await;
    }
}

async fn is_refused(address: net::SocketAddrV4) -> bool {
    let connected = async {
        let connection = smol::net::TcpStream::connect(address).await;
        connection.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
    };
    let timed_out = async {
        smol::Timer::after(CONNECT_TIMEOUT).await;
        false
    };
    connected.or(timed_out).await
}
