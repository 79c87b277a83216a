//! Cooldown of entry addresses before another service may use them.

use std::collections;
use std::net;

use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::manifest;
use serde::Deserialize;
use serde::Serialize;

/// An address reserved for the service that last used it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressCooldown {
    /// The address.
    pub address: net::SocketAddr,
    /// The service that last used it.
    pub service: String,
    /// When any service may use the address.
    pub until: ids::UnixMillis,
}

pub(super) fn cooldown_faults(
    wanted: &manifest::ServiceManifest,
    current: &manifest::ServiceManifest,
    cooldowns: &[AddressCooldown],
    now: ids::UnixMillis,
) -> Vec<manifest::ManifestFault> {
    let in_use = current
        .services
        .iter()
        .flat_map(|spec| spec.addresses().map(|address| (address, spec.name.as_str())));
    let reserved = cooldowns.iter().filter(|cooldown| cooldown.until > now);
    let reserved = reserved.map(|cooldown| (cooldown.address, cooldown.service.as_str()));
    let owners: collections::HashMap<_, _> = reserved.chain(in_use).collect();
    let mut faults = Vec::new();
    for (index, spec) in wanted.services.iter().enumerate() {
        for address in spec.addresses() {
            let Some(other) = owners.get(&address).filter(|other| **other != spec.name) else {
                continue;
            };
            let cooldown_s = config::ADDRESS_REUSE_DELAY_MS / 1_000;
            faults.push(manifest::ManifestFault {
                path: format!("services[{index}]"),
                problem: format!("{address} is used by {other:?}, or was until recently"),
                remedy: format!(
                    "use another address, or remove it from {other:?}, wait {cooldown_s} s and apply \
                     again, so that no caller of {other:?} reaches {:?}",
                    spec.name
                ),
            });
        }
    }
    faults
}

pub(super) fn next_cooldowns(
    wanted: &manifest::ServiceManifest,
    current: &manifest::ServiceManifest,
    cooldowns: &[AddressCooldown],
    now: ids::UnixMillis,
) -> Vec<AddressCooldown> {
    let kept: collections::HashSet<_> =
        wanted.services.iter().flat_map(manifest::ServiceSpec::addresses).collect();
    let until = now.plus(config::ADDRESS_REUSE_DELAY_MS);
    let running = cooldowns.iter().filter(|cooldown| cooldown.until > now);
    let mut next: Vec<_> = running.cloned().collect();
    for spec in &current.services {
        let removed = spec.addresses().filter(|address| !kept.contains(address));
        next.extend(removed.map(|address| {
            let service = spec.name.clone();
            AddressCooldown { address, service, until }
        }));
    }
    next
}
