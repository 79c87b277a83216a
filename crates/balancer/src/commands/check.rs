//! `check`: validates a manifest offline.

use std::path;
use std::process;

use rosemaryusher_core::manifest;
use rosemaryusher_node::settings;

use crate::commands;

#[derive(Debug, gumdrop::Options)]
pub(crate) struct CheckOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print JSON")]
    json: bool,
    #[options(free, required, help = "JSON file with the manifest")]
    manifest: path::PathBuf,
}

/// Checks a manifest.
///
/// # Errors
///
/// Fails if the file cannot be read or parsed.
pub(crate) fn check(options: &CheckOptions) -> eyre::Result<process::ExitCode> {
    let manifest: manifest::ServiceManifest = settings::read(&options.manifest)?;
    let faults = manifest.check();
    match options.json {
        true => println!("{}", serde_json::to_string_pretty(&faults)?),
        false => print_faults(&faults),
    }
    Ok(exit_code(&faults))
}

/// Prints one fault per line.
pub(crate) fn print_faults(faults: &[manifest::ManifestFault]) {
    match faults {
        [] => println!("no faults"),
        faults => faults.iter().for_each(|fault| println!("{fault}")),
    }
}

fn exit_code(faults: &[manifest::ManifestFault]) -> process::ExitCode {
    process::ExitCode::from(if faults.is_empty() { 0 } else { commands::EXIT_USAGE })
}
