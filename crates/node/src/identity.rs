//! A process's own member record and changes of its phase.

use std::net;

use rosemaryusher_core::ids;
use rosemaryusher_core::membership;
use smol::channel;

use crate::clock;
use crate::control;
use crate::settings;

/// The member record of a starting process.
pub fn own_record(
    settings: &settings::NodeSettings,
    instance: ids::InstanceId,
    role: membership::MemberRole,
    packet_address: net::SocketAddr,
    clock: &clock::ProcessClock,
) -> membership::MemberRecord {
    membership::MemberRecord {
        instance,
        name: settings.name.clone(),
        started: clock.started(),
        role,
        data_centre: settings.data_centre.clone(),
        packet_address,
        control_address: settings.control_address,
        phase: membership::MemberPhase::Serving,
        liveness: membership::MemberLiveness {
            version: 0,
            state: membership::LivenessState::Alive,
        },
    }
}

/// Changes this process's phase; a few peers know of it when this returns.
///
/// # Errors
///
/// Fails if the control thread has ended.
pub async fn set_phase(
    commands: &channel::Sender<control::ControlCommand>,
    phase: membership::MemberPhase,
) -> eyre::Result<()> {
    let (done, informed) = channel::bounded(1);
    commands.send(control::ControlCommand::SetPhase(phase, done)).await?;
    Ok(informed.recv().await?)
}
