//! Settings in JSON, validated before anything starts.

use std::fs;
use std::net;
use std::path;

use eyre::WrapErr as _;
use serde::Deserialize;
use serde::de;

use crate::stream::settings;

/// The settings common to all processes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The name of the process, unique among all processes and stable across restarts.
    pub name: String,
    /// The data centre of the process.
    pub data_centre: String,
    /// The listen address of control calls.
    #[serde(default = "any_local_port")]
    pub control_address: net::SocketAddr,
    /// The listen address of other processes' packets.
    #[serde(default = "any_local_port")]
    pub packet_address: net::SocketAddr,
    /// The address of the platform's object API.
    #[serde(default)]
    pub platform: Option<net::SocketAddr>,
    /// The API of the platform.
    #[serde(default)]
    pub platform_api: PlatformApi,
    /// Control addresses of processes to join, besides those announced on the platform.
    #[serde(default)]
    pub peers: Vec<net::SocketAddr>,
    /// Logging.
    #[serde(default)]
    pub logs: LogSettings,
    /// Timing of control work.
    #[serde(default)]
    pub control: ControlSettings,
    /// Streams; if set, the process handles segments instead of datagrams and requests.
    #[serde(default)]
    pub streams: Option<settings::StreamSettings>,
}

/// The API of the platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum PlatformApi {
    /// The object API described in docs/OPERATORS.md.
    #[default]
    Objects,
    /// The API that the adapter in `platform/` translates.
    Machines,
}

/// The settings of logging.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The lowest level that is logged.
    pub level: LogLevel,
}

/// The lowest level that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Errors that need an operator.
    Error,
    /// Also conditions that may need one.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also single decisions.
    Debug,
}

impl LogLevel {
    /// The corresponding filter of the logger.
    pub fn filter(self) -> simplelog::LevelFilter {
        match self {
            LogLevel::Error => simplelog::LevelFilter::Error,
            LogLevel::Warn => simplelog::LevelFilter::Warn,
            LogLevel::Info => simplelog::LevelFilter::Info,
            LogLevel::Debug => simplelog::LevelFilter::Debug,
        }
    }
}

/// Periods and timeouts of control work.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// The period of probes of other processes.
    pub probe_period_ms: u64,
    /// How long an unresponsive process stays suspect before it counts as dead.
    pub suspect_ms: u64,
    /// The timeout of calls to other processes and the platform.
    pub call_timeout_ms: u64,
    /// The longest time that a watch of the platform waits for a change.
    pub watch_ms: u64,
}

impl Default for ControlSettings {
    fn default() -> ControlSettings {
        ControlSettings {
            probe_period_ms: 1_000,
            suspect_ms: 4_000,
            call_timeout_ms: 800,
            watch_ms: 20_000,
        }
    }
}

impl NodeSettings {
    /// Takes the settings that a process keeps while it runs from its current ones; returns the
    /// names of those that differ.
    pub(crate) fn keep_fixed(&mut self, current: &NodeSettings) -> Vec<&'static str> {
        let mut kept = Vec::new();
        keep(&mut self.name, &current.name, "node.name", &mut kept);
        keep(&mut self.data_centre, &current.data_centre, "node.data_centre", &mut kept);
        keep(&mut self.packet_address, &current.packet_address, "node.packet_address", &mut kept);
        if let (Some(next), Some(current)) = (&mut self.streams, &current.streams) {
            next.keep_fixed(current, &mut kept);
        }
        kept
    }

    /// Lists every fault that the types do not rule out.
    pub fn check(&self) -> Vec<String> {
        let control = &self.control;
        let mut faults = Vec::new();
        let mut require = |holds: bool, fault: &str| {
            if !holds {
                faults.push(fault.to_owned());
            }
        };
        require(!self.name.is_empty(), "name: is empty; give each process a name of its own");
        require(!self.data_centre.is_empty(), "data_centre: is empty; name one of the manifest's");
        require(
            self.platform.is_some() || !self.peers.is_empty(),
            "platform: is missing and peers is empty; give at least one of the two",
        );
        require(
            (10..=60_000).contains(&control.probe_period_ms),
            "control.probe_period_ms: is out of range; use 10 to 60000",
        );
        require(
            control.suspect_ms >= control.probe_period_ms,
            "control.suspect_ms: is shorter than probe_period_ms; make it some times longer",
        );
        require(
            (10..=30_000).contains(&control.call_timeout_ms),
            "control.call_timeout_ms: is out of range; use 10 to 30000",
        );
        require(
            (100..=60_000).contains(&control.watch_ms),
            "control.watch_ms: is out of range; use 100 to 60000",
        );
        require(
            self.streams.is_some() == (self.platform_api == PlatformApi::Machines),
            "streams: go with platform_api \"machines\"; give both or neither",
        );
        let streams = self.streams.as_ref().map(settings::StreamSettings::check);
        faults.extend(streams.unwrap_or_default().iter().map(|fault| format!("streams.{fault}")));
        faults
    }
}

/// Parses settings.
///
/// # Errors
///
/// Names the field that is wrong, missing or unknown, and its line.
pub fn parse<T: de::DeserializeOwned>(text: &str) -> eyre::Result<T> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| eyre::eyre!("{}: {}", error.path().to_string(), error.inner()))?;
    deserializer.end().wrap_err("unexpected text after the settings")?;
    Ok(value)
}

/// Reads and parses a file of settings.
///
/// # Errors
///
/// Names the file, the field and its line.
pub fn read<T: de::DeserializeOwned>(file: &path::Path) -> eyre::Result<T> {
    parse_file(file, &read_text(file)?)
}

/// Reads the text of a file of settings.
///
/// # Errors
///
/// Names the file.
pub fn read_text(file: &path::Path) -> eyre::Result<String> {
    fs::read_to_string(file).wrap_err_with(|| format!("cannot read {file:?}"))
}

/// Parses the text of a file of settings.
///
/// # Errors
///
/// Names the file, the field and its line.
pub fn parse_file<T: de::DeserializeOwned>(file: &path::Path, text: &str) -> eyre::Result<T> {
    parse(text).wrap_err_with(|| format!("{file:?} is not valid"))
}

/// Fails if there are faults.
///
/// # Errors
///
/// Lists all the faults.
pub fn fail_on_faults(faults: &[String]) -> eyre::Result<()> {
    match faults {
        [] => Ok(()),
        faults => Err(eyre::eyre!("{} fault(s):\n  {}", faults.len(), faults.join("\n  "))),
    }
}

fn any_local_port() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

/// Takes the current value of a setting that cannot change while the process runs.
pub(crate) fn keep<T: Clone + PartialEq>(
    next: &mut T,
    current: &T,
    name: &'static str,
    kept: &mut Vec<&'static str>,
) {
    if next != current {
        next.clone_from(current);
        kept.push(name);
    }
}
