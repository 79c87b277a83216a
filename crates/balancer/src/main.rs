//! `rosemaryusher`: the balancer and the commands for operators.

mod commands;
mod daemon;
mod engine_loop;
mod entries;
mod settings;

use std::path;
use std::process;

use gumdrop::Options as _;
use rosemaryusher_node::settings as node_settings;
use rosemaryusher_node::signals;
#[cfg(feature = "machines")]
use rosemaryusher_node::stream::daemon as stream_daemon;

#[derive(Debug, gumdrop::Options)]
struct MainOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(command)]
    command: Option<MainCommand>,
}

#[derive(Debug, gumdrop::Options)]
enum MainCommand {
    #[options(help = "run a balancer")]
    Run(RunOptions),
    #[options(help = "check a manifest offline")]
    Check(commands::CheckOptions),
    #[options(help = "apply a manifest to all balancers")]
    Apply(commands::ApplyOptions),
    #[options(help = "show the configuration in force and the processes")]
    Status(commands::StatusOptions),
    #[options(help = "show the state of one process")]
    Dump(commands::DumpOptions),
    #[options(help = "add a new key for sealing tickets")]
    RotateKey(commands::RotateOptions),
}

#[derive(Debug, gumdrop::Options)]
struct RunOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "check the settings and exit", short = "k")]
    check: bool,
    #[options(help = "JSON file with the settings", required, meta = "FILE")]
    settings: path::PathBuf,
}

const ABOUT: &str = "\
rosemaryusher is a layer-4 load balancer. Any balancer may receive any datagram of a caller; an
agent beside each backend server decides what runs there.

  rosemaryusher check manifest.json
  rosemaryusher apply --platform 10.0.0.5:7000 --author ana manifest.json
  rosemaryusher status --platform 10.0.0.5:7000
  rosemaryusher run --settings balancer.json

Exit codes: 0 success; 1 failure; 2 usage error or invalid manifest; 3 conflict with the write of
another operator; 4 accepted, but not in force on all balancers before the timeout.

Options:";

fn main() -> eyre::Result<process::ExitCode> {
    let options = MainOptions::parse_args_default_or_exit();
    if options.version {
        println!("rosemaryusher {}", env!("CARGO_PKG_VERSION"));
        return Ok(process::ExitCode::SUCCESS);
    }
    match options.command {
        Some(MainCommand::Run(options)) => run(&options),
        Some(MainCommand::Check(options)) => commands::check(&options),
        Some(MainCommand::Apply(options)) => commands::apply(&options),
        Some(MainCommand::Status(options)) => commands::status(&options),
        Some(MainCommand::Dump(options)) => commands::dump(&options),
        Some(MainCommand::RotateKey(options)) => commands::rotate_key(&options),
        None => {
            let listing = MainOptions::command_list().unwrap_or_default();
            println!("{ABOUT}\n{}\n\nCommands:\n{listing}", MainOptions::usage());
            Ok(process::ExitCode::from(u8::from(!options.help) * commands::EXIT_USAGE))
        }
    }
}

fn run(options: &RunOptions) -> eyre::Result<process::ExitCode> {
    if options.check {
        let text = node_settings::read_text(&options.settings)?;
        settings::parse(&options.settings, &text)?;
        return Ok(process::ExitCode::SUCCESS);
    }
    let signals = signals::DaemonSignals::install()?;
    let text = node_settings::read_text(&options.settings)?;
    let settings = settings::parse(&options.settings, &text)?;
    match settings.node.streams.is_some() {
        true => run_streams(settings, options.settings.clone(), text, signals)?,
        false => daemon::run(settings, signals)?,
    }
    Ok(process::ExitCode::SUCCESS)
}

#[cfg(feature = "machines")]
fn run_streams(
    settings: settings::BalancerSettings,
    settings_file: path::PathBuf,
    settings_text: String,
    signals: signals::DaemonSignals,
) -> eyre::Result<()> {
    stream_daemon::run(stream_daemon::DaemonOptions {
        settings: settings.node,
        settings_file,
        settings_text,
        service: None,
        adapter: rosemaryusher_platform::adapter(),
        signals,
    })
}

#[cfg(not(feature = "machines"))]
fn run_streams(
    _: settings::BalancerSettings,
    _: path::PathBuf,
    _: String,
    _: signals::DaemonSignals,
) -> eyre::Result<()> {
    eyre::bail!("node.streams: needs a build with the feature `machines`")
}
