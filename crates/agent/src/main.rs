//! `rosemaryusher-agent`: admits requests, flows and streams to one backend server.

mod backend;
mod daemon;
mod engine_loop;
mod packets;
mod settings;

use std::path;

use gumdrop::Options as _;
use rosemaryusher_node::settings as node_settings;
use rosemaryusher_node::signals;
#[cfg(feature = "machines")]
use rosemaryusher_node::stream::daemon as stream_daemon;

#[derive(Debug, gumdrop::Options)]
struct AgentOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "check the settings and exit", short = "k")]
    check: bool,
    #[options(help = "JSON file with the settings", meta = "FILE")]
    settings: Option<path::PathBuf>,
}

const ABOUT: &str = "\
rosemaryusher-agent runs beside one backend server. It takes callers' datagrams from
balancers, admits them to the backend server, and runs each non-idempotent request at most once.

  rosemaryusher-agent --settings agent.json

On SIGTERM it drains: it takes no new work, finishes open work and hands the record of requests
over to another agent of the service. Exit codes: 0 success, 1 failure, 2 usage error.

Options:";

fn main() -> eyre::Result<()> {
    let options = AgentOptions::parse_args_default_or_exit();
    if options.help_requested() {
        println!("{ABOUT}\n{}", AgentOptions::usage());
        return Ok(());
    }
    if options.version {
        println!("rosemaryusher-agent {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let settings_file =
        options.settings.ok_or_else(|| eyre::eyre!("--settings FILE is required"))?;
    if options.check {
        let text = node_settings::read_text(&settings_file)?;
        return settings::parse(&settings_file, &text).map(drop);
    }
    let signals = signals::DaemonSignals::install()?;
    let text = node_settings::read_text(&settings_file)?;
    let settings = settings::parse(&settings_file, &text)?;
    match settings.node.streams.is_some() {
        true => run_streams(settings, settings_file, text, signals),
        false => daemon::run(settings, signals),
    }
}

#[cfg(feature = "machines")]
fn run_streams(
    settings: settings::AgentSettings,
    settings_file: path::PathBuf,
    settings_text: String,
    signals: signals::DaemonSignals,
) -> eyre::Result<()> {
    stream_daemon::run(stream_daemon::DaemonOptions {
        settings: settings.node,
        settings_file,
        settings_text,
        service: Some(settings.service),
        adapter: rosemaryusher_platform::adapter(),
        signals,
    })
}

#[cfg(not(feature = "machines"))]
fn run_streams(
    _: settings::AgentSettings,
    _: path::PathBuf,
    _: String,
    _: signals::DaemonSignals,
) -> eyre::Result<()> {
    eyre::bail!("node.streams: needs a build with the feature `machines`")
}
