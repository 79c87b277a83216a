//! The end-to-end demo: callers under load while processes are killed, started and drained.

use crate::fleet;
use crate::load;
use crate::process;

const SERVICES: [&str; 2] = ["taller", "wallet-api"];

/// Parameters of the demo.
#[derive(Clone, Debug)]
pub struct DemoPlan {
    /// Number of callers of each service.
    pub callers: u64,
    /// Number of rounds of each caller.
    pub rounds: u64,
    /// Seed of the fabric and the callers.
    pub seed: u64,
}

/// Runs the demo and prints a table of outcomes; returns whether all promises held.
///
/// # Errors
///
/// Fails if a process cannot be started or does not answer.
pub fn run(plan: &DemoPlan) -> eyre::Result<bool> {
    println!("starting a platform, a fabric, 3 balancers, and 6 agents with backend servers");
    let mut fleet = fleet::ProcessFleet::start_serving(&SERVICES, 3, 3, plan.seed)?;
    println!("all processes have the configuration");
    println!("starting callers; while they run:");
    let callers = SERVICES.map(|service| start_callers(&fleet, service, plan));
    let callers: Vec<_> = callers.into_iter().collect::<eyre::Result<_>>()?;
    replace_processes(&mut fleet)?;

    let mut total = load::LoadSummary::default();
    for caller in &callers {
        total.add(wait_for_summary(caller)?);
    }
    let run_counts = fleet.run_counts()?;
    Ok(print_table(&total, &run_counts))
}

/// Kills one balancer and starts another, drains an agent, shuts down a balancer.
fn replace_processes(fleet: &mut fleet::ProcessFleet) -> eyre::Result<()> {
    println!("- balancer-0 is killed, the fabric stops sending to it, balancer-3 joins");
    if let Some(mut balancer) = fleet.balancers.remove("balancer-0") {
        balancer.process.kill();
    }
    fleet.spray()?;
    fleet.start_balancer("balancer-3", &[])?;
    fleet.wait_converged()?;
    fleet.spray()?;
    println!("- the agent of wallet-api-0 drains: it waits for its flows to end, then leaves");
    if let Some(host) = fleet.hosts.get("wallet-api-0") {
        host.agent.terminate();
    }
    println!("- balancer-1 shuts down gracefully");
    let names = ["balancer-2", "balancer-3"];
    fleet.spray_over(&names)?;
    if let Some(mut balancer) = fleet.balancers.remove("balancer-1") {
        balancer.process.terminate();
        eyre::ensure!(balancer.process.wait()?, "balancer-1 exited with failure");
    }
    Ok(())
}

fn start_callers(
    fleet: &fleet::ProcessFleet,
    service: &str,
    plan: &DemoPlan,
) -> eyre::Result<process::ChildProcess> {
    let target = fleet.service(service);
    let program = process::program_dir()?.join("rosemaryusher-standins");
    let arguments = [
        "callers".to_owned(),
        format!("--service={service}"),
        format!("--requests={}", target.requests),
        format!("--datagrams={}", target.datagrams),
        format!("--callers={}", plan.callers),
        format!("--rounds={}", plan.rounds),
        format!("--seed={}", plan.seed),
    ];
    process::ChildProcess::start(service, &program, &arguments)
}

fn wait_for_summary(caller: &process::ChildProcess) -> eyre::Result<load::LoadSummary> {
    caller.wait_for_line(|line| serde_json::from_str(line).ok())
}

fn print_table(
    total: &load::LoadSummary,
    run_counts: &std::collections::BTreeMap<String, u64>,
) -> bool {
    let run_twice = run_counts.values().filter(|count| **count > 1).count();
    let refused_but_run =
        total.ids_refused.iter().filter(|id| run_counts.contains_key(*id)).count();
    let answered_but_not_run =
        total.ids_answered.iter().filter(|id| !run_counts.contains_key(*id)).count();
    let rows = [
        ("requests sent", total.sent as usize),
        ("answered", total.answered as usize),
        ("refused, not run", total.refused as usize),
        ("outcome unknown", total.unknown as usize),
        ("timed out", total.timed_out as usize),
        ("flows open throughout", total.flows as usize),
        ("flows broken", total.broken_flows as usize),
        ("run twice", run_twice),
        ("refused, but run", refused_but_run),
        ("answered, but not run", answered_but_not_run),
        ("misdelivered", total.misdelivered as usize),
        ("bundles with wrong contents", total.incomplete as usize),
    ];
    println!();
    for (name, value) in rows {
        println!("{name:<24} {value:>8}");
    }
    let all_promises_held = rows[6..].iter().all(|(_, value)| *value == 0);
    println!("\n{}", if all_promises_held { "all promises held" } else { "A PROMISE WAS BROKEN" });
    all_promises_held
}
