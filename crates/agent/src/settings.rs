//! The settings of an agent.

use std::net;
use std::path;

use rosemaryusher_node::settings;
use serde::Deserialize;

/// The settings of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AgentSettings {
    /// Settings common to all processes.
    pub(crate) node: settings::NodeSettings,
    /// The service of the backend server.
    pub(crate) service: String,
    /// The backend server; for streams, `node.streams` has its address.
    #[serde(default)]
    pub(crate) backend: BackendSettings,
    /// Draining on shutdown.
    #[serde(default)]
    pub(crate) drain: DrainSettings,
    /// The record of requests.
    #[serde(default)]
    pub(crate) record: RecordSettings,
}

/// The addresses of the backend server.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct BackendSettings {
    /// The HTTP address for requests.
    #[serde(default)]
    pub(crate) requests: Option<net::SocketAddr>,
    /// The UDP address for datagrams.
    #[serde(default)]
    pub(crate) datagrams: Option<net::SocketAddr>,
    /// The path of an HTTP health page; it can only lower the health that the agent reports.
    #[serde(default)]
    pub(crate) health_path: Option<String>,
}

/// Draining on shutdown.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct DrainSettings {
    /// Open work is abandoned after this many seconds; by default, never.
    pub(crate) limit_s: Option<u64>,
    /// How long late datagrams are still answered after the handover, in milliseconds.
    pub(crate) linger_ms: u64,
}

impl Default for DrainSettings {
    fn default() -> DrainSettings {
        DrainSettings { limit_s: None, linger_ms: 2_000 }
    }
}

/// The record of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RecordSettings {
    /// The most requests that are kept.
    pub(crate) entries: usize,
    /// The most bytes of answers that are kept.
    pub(crate) answer_bytes: usize,
}

impl Default for RecordSettings {
    fn default() -> RecordSettings {
        RecordSettings { entries: 100_000, answer_bytes: 64 << 20 }
    }
}

/// Parses and checks the text of the settings file.
///
/// # Errors
///
/// Lists all invalid settings.
pub(crate) fn parse(file: &path::Path, text: &str) -> eyre::Result<AgentSettings> {
    let settings: AgentSettings = settings::parse_file(file, text)?;
    let mut faults: Vec<_> =
        settings.node.check().into_iter().map(|fault| format!("node.{fault}")).collect();
    let mut require = |is_valid: bool, fault: &str| {
        if !is_valid {
            faults.push(fault.to_owned());
        }
    };
    let backend = &settings.backend;
    require(
        backend.requests.is_some()
            || backend.datagrams.is_some()
            || settings.node.streams.as_ref().is_some_and(|s| s.backend_address.is_some()),
        "backend: has no address; set `requests`, `datagrams` or both, or node.streams",
    );
    require(
        backend.health_path.as_ref().is_none_or(|health| health.starts_with('/')),
        "backend.health_path: must start with a slash",
    );
    require(
        !settings.service.is_empty(),
        "service: is empty; give the name of a service in the manifest",
    );
    require(settings.record.entries >= 100, "record.entries: must be at least 100");
    require(
        settings.record.answer_bytes >= 1 << 20,
        "record.answer_bytes: must be at least 1048576",
    );
    settings::fail_on_faults(&faults)?;
    Ok(settings)
}
