//! The settings of a balancer.

use std::net;
use std::path;

use rosemaryusher_node::settings;
use serde::Deserialize;

/// The settings of a balancer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct BalancerSettings {
    /// Settings common to all processes.
    pub(crate) node: settings::NodeSettings,
    /// The addresses at which callers' datagrams arrive.
    #[serde(default)]
    pub(crate) entry: EntryMode,
    /// The size of the cache of flow owners, in flows.
    #[serde(default = "default_cached_flows")]
    pub(crate) cached_flows: usize,
    /// Draining on shutdown.
    #[serde(default)]
    pub(crate) drain: DrainSettings,
}

/// The addresses at which callers' datagrams arrive.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum EntryMode {
    /// The service addresses themselves, which are local to this machine.
    #[default]
    Direct,
    /// Ports of one local address, one per service address; the fabric translates.
    Translated { ip: net::IpAddr },
}

/// Draining on shutdown.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct DrainSettings {
    /// The balancer leaves after this many milliseconds without a datagram of a caller.
    pub(crate) quiet_ms: u64,
    /// The longest drain, in seconds.
    pub(crate) limit_s: u64,
}

impl Default for DrainSettings {
    fn default() -> DrainSettings {
        DrainSettings { quiet_ms: 1_000, limit_s: 15 }
    }
}

fn default_cached_flows() -> usize {
    400_000
}

/// Parses and checks the text of the settings file.
///
/// # Errors
///
/// Lists all invalid settings.
pub(crate) fn parse(file: &path::Path, text: &str) -> eyre::Result<BalancerSettings> {
    let settings: BalancerSettings = settings::parse_file(file, text)?;
    let mut faults: Vec<_> =
        settings.node.check().into_iter().map(|fault| format!("node.{fault}")).collect();
    if !(1_000..=50_000_000).contains(&settings.cached_flows) {
        faults.push("cached_flows: is out of range; use 1000 to 50000000".to_owned());
    }
    if settings.drain.limit_s == 0 {
        faults.push("drain.limit_s: must be at least 1".to_owned());
    }
    settings::fail_on_faults(&faults)?;
    Ok(settings)
}
