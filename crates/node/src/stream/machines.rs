//! Whether the machines of agents that were never heard answer a connection.

use std::io;
use std::net;
use std::rc;
use std::time;

use smol::channel;
use smol::future::FutureExt as _;

use crate::stream::hub;
use crate::stream::packets;

/// How many machines may be looked at in one go; those beyond are asked for again at the next tick.
pub(crate) const LOOK_PLACES: usize = 32;

/// How long a machine may take to answer: it accepts or refuses within a round trip, some milliseconds
/// between data centres and some tens between regions.
const ANSWER: time::Duration = time::Duration::from_millis(100);

/// Looks at each machine that is asked for, all at the same time.
pub(crate) async fn watch(
    hub: rc::Rc<hub::StreamHub>,
    looks: channel::Receiver<net::SocketAddrV4>,
) {
    while let Ok(agent) = looks.recv().await {
        let look_hub = hub.clone();
        let look = async move {
            let is_there = is_there(agent).await;
            look_hub.tell(packets::StreamInput::MachineLooked { agent, is_there }).await;
        };
        hub.executor.spawn(look).detach();
    }
}

/// Whether a machine accepts or refuses a connection; either shows that it has power and is reached.
async fn is_there(agent: net::SocketAddrV4) -> bool {
    let answered = async {
        match smol::net::TcpStream::connect(agent).await {
            Ok(_) => true,
            Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        }
    };
    let silent = async {
        smol::Timer::after(ANSWER).await;
        false
    };
    answered.or(silent).await
}
