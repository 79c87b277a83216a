//! `apply` and `rotate-key`: commands that change the configuration.

use std::net;
use std::path;
use std::process;
use std::time;

use rosemaryusher_core::ids;
use rosemaryusher_core::manifest;
use rosemaryusher_core::membership;
use rosemaryusher_node::clock;
use rosemaryusher_node::platform;
use rosemaryusher_node::release;
use rosemaryusher_node::settings;

use crate::commands;
use crate::commands::check;
use crate::commands::fleet;

#[derive(Debug, gumdrop::Options)]
pub(crate) struct ApplyOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the platform's object API", meta = "IP:PORT")]
    platform: Option<net::SocketAddr>,
    #[options(
        required,
        help = "name of the operator, shown to others on a conflict",
        meta = "NAME"
    )]
    author: String,
    #[options(help = "apply only if this generation is in force", meta = "N")]
    expect: Option<u64>,
    #[options(
        help = "seconds to wait until all balancers have it in force",
        default = "30",
        meta = "S"
    )]
    wait: u64,
    #[options(free, required, help = "JSON file with the manifest")]
    manifest: path::PathBuf,
}

#[derive(Debug, gumdrop::Options)]
pub(crate) struct RotateOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the platform's object API", meta = "IP:PORT")]
    platform: Option<net::SocketAddr>,
    #[options(
        required,
        help = "name of the operator, shown to others on a conflict",
        meta = "NAME"
    )]
    author: String,
    #[options(
        help = "seconds to wait until all balancers have it in force",
        default = "30",
        meta = "S"
    )]
    wait: u64,
}

/// Applies a manifest.
///
/// # Errors
///
/// Fails if the manifest cannot be read or the platform cannot be reached.
pub(crate) fn apply(options: &ApplyOptions) -> eyre::Result<process::ExitCode> {
    let manifest: manifest::ServiceManifest = settings::read(&options.manifest)?;
    let faults = manifest.check();
    if !faults.is_empty() {
        check::print_faults(&faults);
        return Ok(process::ExitCode::from(commands::EXIT_USAGE));
    }
    let draft = release::ReleaseDraft {
        author: options.author.clone(),
        expected: options.expect.map(ids::ConfigGeneration),
        change: release::ReleaseChange::Manifest(manifest),
    };
    submit(options.platform, &draft, options.wait)
}

/// Adds a new ticket key.
///
/// # Errors
///
/// Fails if the platform cannot be reached.
pub(crate) fn rotate_key(options: &RotateOptions) -> eyre::Result<process::ExitCode> {
    let draft = release::ReleaseDraft {
        author: options.author.clone(),
        expected: None,
        change: release::ReleaseChange::NewKey,
    };
    submit(options.platform, &draft, options.wait)
}

fn submit(
    platform: Option<net::SocketAddr>,
    draft: &release::ReleaseDraft,
    wait_s: u64,
) -> eyre::Result<process::ExitCode> {
    let platform = platform.ok_or_else(|| eyre::eyre!("--platform IP:PORT is required"))?;
    let store = fleet::store(platform);
    let now = clock::ProcessClock::start().now();
    smol::block_on(async {
        match release::submit(&store, draft, now).await? {
            release::ReleaseOutcome::Accepted(generation) => {
                println!("accepted as generation {}", generation.0);
                wait_in_force(&store, generation, wait_s).await
            }
            release::ReleaseOutcome::Unchanged(generation) => {
                println!("no change: generation {} has the same configuration", generation.0);
                wait_in_force(&store, generation, wait_s).await
            }
            release::ReleaseOutcome::Faulty(faults) => {
                check::print_faults(&faults);
                Ok(process::ExitCode::from(commands::EXIT_USAGE))
            }
            release::ReleaseOutcome::Conflict { generation, author, differences } => {
                println!("rejected: generation {} by {author:?} came first", generation.0);
                println!("it differs from this manifest in:");
                differences.iter().for_each(|difference| println!("  {difference}"));
                println!("nothing was applied; review the differences, then apply again");
                Ok(process::ExitCode::from(commands::EXIT_CONFLICT))
            }
        }
    })
}

/// Waits until a generation is in force on every balancer, and prints those without it at the end.
async fn wait_in_force(
    store: &platform::HttpStore,
    generation: ids::ConfigGeneration,
    wait_s: u64,
) -> eyre::Result<process::ExitCode> {
    let deadline = time::Instant::now() + time::Duration::from_secs(wait_s);
    let mut printed = None;
    loop {
        let (count, outdated) = outdated_balancers(store, generation).await;
        let progress = (count - outdated.len(), count);
        if printed != Some(progress) {
            println!("in force on {} of {} balancers", progress.0, progress.1);
            printed = Some(progress);
        }
        match () {
            _ if outdated.is_empty() => return Ok(process::ExitCode::SUCCESS),
            _ if time::Instant::now() >= deadline => {
                println!("accepted, but behind after {wait_s} s: {}", outdated.join(", "));
                println!("they will update once they can reach the platform or a peer");
                return Ok(process::ExitCode::from(commands::EXIT_NOT_IN_FORCE));
            }
            _ => smol::Timer::after(time::Duration::from_millis(100)).await,
        };
    }
}

async fn outdated_balancers(
    store: &platform::HttpStore,
    generation: ids::ConfigGeneration,
) -> (usize, Vec<String>) {
    let members = fleet::fetch_members(store).await;
    let balancers: Vec<_> = members
        .iter()
        .filter(|record| record.role == membership::MemberRole::Balancer && record.is_reachable())
        .collect();
    let mut outdated = Vec::new();
    for balancer in &balancers {
        let in_force = fleet::fetch_generation(balancer.control_address).await;
        if in_force.is_none_or(|in_force| in_force < generation) {
            outdated.push(balancer.name.clone());
        }
    }
    (balancers.len(), outdated)
}
