//! `status` and `dump`: commands that only read.

use std::net;
use std::process;

use eyre::WrapErr as _;
use rosemaryusher_core::ids;
use rosemaryusher_core::manifest;
use rosemaryusher_core::membership;
use rosemaryusher_node::http;
use rosemaryusher_node::release;

use crate::commands::fleet;

#[derive(Debug, gumdrop::Options)]
pub(crate) struct StatusOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the platform's object API", meta = "IP:PORT")]
    platform: Option<net::SocketAddr>,
    #[options(help = "print JSON")]
    json: bool,
}

#[derive(Debug, gumdrop::Options)]
pub(crate) struct DumpOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the whole state as JSON")]
    json: bool,
    #[options(free, required, help = "control address of the process")]
    address: Option<net::SocketAddr>,
}

#[derive(serde::Serialize)]
struct StatusPage {
    generation: ids::ConfigGeneration,
    services: Vec<manifest::ServiceSpec>,
    processes: Vec<ProcessLine>,
}

#[derive(serde::Serialize)]
struct ProcessLine {
    name: String,
    role: String,
    data_centre: String,
    phase: membership::MemberPhase,
    liveness: membership::LivenessState,
    generation: Option<ids::ConfigGeneration>,
    control_address: net::SocketAddr,
}

/// Prints the configuration in force and the processes.
///
/// # Errors
///
/// Fails if the platform cannot be read.
pub(crate) fn status(options: &StatusOptions) -> eyre::Result<process::ExitCode> {
    let platform = options.platform.ok_or_else(|| eyre::eyre!("--platform IP:PORT is required"))?;
    let store = fleet::store(platform);
    let page = smol::block_on(async {
        let (generation, manifest) = release::read_manifest(&store).await?;
        let mut processes = Vec::new();
        for record in fleet::fetch_members(&store).await {
            processes.push(process_line(record, &manifest).await);
        }
        processes.sort_by(|a, b| a.name.cmp(&b.name));
        eyre::Ok(StatusPage { generation, services: manifest.services, processes })
    })?;
    match options.json {
        true => println!("{}", serde_json::to_string_pretty(&page)?),
        false => print_status(&page),
    }
    Ok(process::ExitCode::SUCCESS)
}

/// Prints the state of one process.
///
/// # Errors
///
/// Fails if the process does not answer.
pub(crate) fn dump(options: &DumpOptions) -> eyre::Result<process::ExitCode> {
    let address = options.address.ok_or_else(|| eyre::eyre!("the control address is required"))?;
    let answer = smol::block_on(http::call(fleet::get_call(address, "/state")))
        .wrap_err_with(|| format!("cannot read the state of {address}"))?;
    let state: serde_json::Value = serde_json::from_slice(&answer.body)?;
    match options.json {
        true => println!("{}", serde_json::to_string_pretty(&state)?),
        false => print_state(&state)?,
    }
    Ok(process::ExitCode::SUCCESS)
}

async fn process_line(
    record: membership::MemberRecord,
    manifest: &manifest::ServiceManifest,
) -> ProcessLine {
    let generation = match record.is_reachable() {
        true => fleet::fetch_generation(record.control_address).await,
        false => None,
    };
    ProcessLine {
        role: role_name(record.role, manifest),
        name: record.name,
        data_centre: record.data_centre,
        phase: record.phase,
        liveness: record.liveness.state,
        generation,
        control_address: record.control_address,
    }
}

fn role_name(role: membership::MemberRole, manifest: &manifest::ServiceManifest) -> String {
    match role {
        membership::MemberRole::Balancer => "balancer".to_owned(),
        membership::MemberRole::Agent(service) => {
            let spec = manifest.services.iter().find(|spec| spec.id() == service);
            format!("agent of {}", spec.map_or("a service not in force", |spec| &spec.name))
        }
    }
}

fn print_status(page: &StatusPage) {
    println!("generation {} in force, {} services", page.generation.0, page.services.len());
    println!("{:<24} {:<28} {:<14} {:<20} GENERATION", "NAME", "ROLE", "DATA CENTRE", "STATE");
    for line in &page.processes {
        let state = format!("{:?}, {:?}", line.liveness, phase_name(line.phase));
        let generation =
            line.generation.map_or("-".to_owned(), |generation| generation.0.to_string());
        let (name, role, centre) = (&line.name, &line.role, &line.data_centre);
        println!("{name:<24} {role:<28} {centre:<14} {:<20} {generation}", state.replace('"', ""));
    }
}

fn phase_name(phase: membership::MemberPhase) -> &'static str {
    match phase {
        membership::MemberPhase::Serving => "serving",
        membership::MemberPhase::Draining => "draining",
        membership::MemberPhase::Left { .. } => "left",
    }
}

fn print_state(state: &serde_json::Value) -> eyre::Result<()> {
    println!("{} at generation {}", state["own"]["name"], state["generation"]);
    println!("members: {}", state["members"].as_array().map_or(0, Vec::len));
    println!("{}", serde_json::to_string_pretty(&state["decisions"])?);
    Ok(())
}
