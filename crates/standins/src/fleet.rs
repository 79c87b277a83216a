//! A fleet of local processes: platform, fabric, balancers, agents and backend servers.

use std::collections;
use std::net;
use std::path;
use std::time;

use eyre::OptionExt as _;
use eyre::WrapErr as _;

use crate::backend;
use crate::caller;
use crate::fabric;
use crate::pages;
use crate::platform;
use crate::process;

/// A service of the fleet.
#[derive(Clone, Debug)]
pub struct FleetService {
    /// Service name.
    pub name: String,
    /// Service address for requests.
    pub requests: net::SocketAddr,
    /// Service address for datagrams.
    pub datagrams: net::SocketAddr,
    /// Slots of each host.
    pub slots: u32,
    /// Rules, as in a manifest.
    pub rules: serde_json::Value,
}

/// A host: an agent and the backend server beside it.
#[derive(Debug)]
pub struct FleetHost {
    /// Process of the agent.
    pub agent: process::ChildProcess,
    /// Control address of the agent.
    pub control: net::SocketAddr,
    /// Process of the backend server.
    pub backend: process::ChildProcess,
    /// Address of the backend server for requests and for its own pages.
    pub backend_control: net::SocketAddr,
    settings: path::PathBuf,
}

/// A balancer.
#[derive(Debug)]
pub struct FleetBalancer {
    /// Process of the balancer.
    pub process: process::ChildProcess,
    /// Control address.
    pub control: net::SocketAddr,
}

/// A running fleet; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct ProcessFleet {
    /// Services.
    pub services: Vec<FleetService>,
    /// Hosts by name.
    pub hosts: collections::BTreeMap<String, FleetHost>,
    /// Balancers by name.
    pub balancers: collections::BTreeMap<String, FleetBalancer>,
    /// Process of the platform.
    pub platform: process::ChildProcess,
    /// Address of the platform.
    pub platform_address: net::SocketAddr,
    fabric_control: net::SocketAddr,
    _fabric: process::ChildProcess,
    program_dir: path::PathBuf,
    settings_dir: process::TempDir,
    lost_percent: u32,
    duplicated_percent: u32,
}

impl ProcessFleet {
    /// Starts the platform, and the fabric with addresses for the named services.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub fn start(names: &[&str], seed: u64) -> eyre::Result<ProcessFleet> {
        let program_dir = process::program_dir()?;
        let stand_in = program_dir.join("rosemaryusher-standins");
        let platform =
            process::ChildProcess::start("platform", &stand_in, &owned_args(&["platform"]))?;
        let count = (2 * names.len()).to_string();
        let arguments = owned_args(&["fabric", "--addresses", &count, "--seed", &seed.to_string()]);
        let fabric = process::ChildProcess::start("fabric", &stand_in, &arguments)?;
        let printed = fabric.addresses()?;
        let addresses: Vec<net::SocketAddr> = serde_json::from_value(printed["addresses"].clone())?;
        let services = names
            .iter()
            .zip(addresses.chunks(2))
            .map(|(name, pair)| FleetService {
                name: (*name).to_owned(),
                requests: pair[0],
                datagrams: pair[1],
                slots: 4,
                rules: serde_json::json!({}),
            })
            .collect();
        Ok(ProcessFleet {
            services,
            hosts: collections::BTreeMap::new(),
            balancers: collections::BTreeMap::new(),
            platform_address: control_address(&platform.addresses()?)?,
            platform,
            fabric_control: control_address(&printed)?,
            _fabric: fabric,
            program_dir,
            settings_dir: process::TempDir::new()?,
            lost_percent: 0,
            duplicated_percent: 0,
        })
    }

    /// Starts balancers and `hosts` hosts of each service, applies the manifest and waits until the
    /// fleet serves.
    ///
    /// Balancers are named `balancer-0` and so on, hosts by their service, `service-0` and so on.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or the fleet does not converge.
    pub fn start_serving(
        names: &[&str],
        balancers: usize,
        hosts: usize,
        seed: u64,
    ) -> eyre::Result<ProcessFleet> {
        let mut fleet = ProcessFleet::start(names, seed)?;
        for number in 0..balancers {
            fleet.start_balancer(&format!("balancer-{number}"), &[])?;
        }
        for name in names {
            for number in 0..hosts {
                let data_centre = ["a", "b", "c"][number % 3];
                fleet.start_host(&format!("{name}-{number}"), name, data_centre)?;
            }
        }
        let (code, text) = fleet.apply("setup", &fleet.manifest(), &[])?;
        eyre::ensure!(code == Some(0), "apply ended with {code:?}: {text}");
        fleet.wait_converged()?;
        fleet.sleep_settle_time();
        fleet.spray()?;
        Ok(fleet)
    }

    /// The manifest of the fleet.
    pub fn manifest(&self) -> serde_json::Value {
        let service = |service: &FleetService| {
            serde_json::json!({
                "name": service.name,
                "requests": service.requests,
                "datagrams": service.datagrams,
                "host_slots": service.slots,
                "host_connections": 2000,
                "rules": service.rules,
            })
        };
        let services: Vec<_> = self.services.iter().map(service).collect();
        serde_json::json!({ "data_centres": ["a", "b", "c"], "services": services })
    }

    /// Runs `rosemaryusher apply` with further arguments; returns the exit code and the output.
    ///
    /// # Errors
    ///
    /// Fails if the command cannot be run.
    pub fn apply(
        &self,
        author: &str,
        manifest: &serde_json::Value,
        more: &[&str],
    ) -> eyre::Result<(Option<i32>, String)> {
        let file = self.settings_dir.write(&format!("manifest-{author}.json"), manifest)?;
        let platform = self.platform_address.to_string();
        let mut arguments = vec!["apply", "--platform", &platform, "--author", author];
        arguments.extend(more);
        let file = file.to_string_lossy().into_owned();
        arguments.push(&file);
        self.command(&arguments)
    }

    /// Runs `rosemaryusher`; returns the exit code and the output.
    ///
    /// # Errors
    ///
    /// Fails if the command cannot be run.
    pub fn command(&self, arguments: &[&str]) -> eyre::Result<(Option<i32>, String)> {
        let output = std::process::Command::new(self.program_dir.join("rosemaryusher"))
            .args(arguments)
            .output()
            .wrap_err("cannot run rosemaryusher")?;
        let text = [output.stdout, output.stderr].concat();
        Ok((output.status.code(), String::from_utf8_lossy(&text).into_owned()))
    }

    /// Starts a balancer; the fabric sends to it from the next [`ProcessFleet::spray`] on.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn start_balancer(&mut self, name: &str, peers: &[net::SocketAddr]) -> eyre::Result<()> {
        let settings = serde_json::json!({
            "node": self.node_settings(name, "a", peers),
            "entry": { "translated": { "ip": "127.0.0.1" } },
            "drain": { "quiet_ms": 200, "limit_s": 5 },
        });
        let file = self.settings_dir.write(&format!("{name}.json"), &settings)?;
        let arguments = owned_args(&["run", "--settings", &file.to_string_lossy()]);
        let program = self.program_dir.join("rosemaryusher");
        let process = process::ChildProcess::start(name, &program, &arguments)?;
        let control = process.control_address()?;
        self.balancers.insert(name.to_owned(), FleetBalancer { process, control });
        Ok(())
    }

    /// Starts a backend server of a service and its agent.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub fn start_host(&mut self, name: &str, service: &str, data_centre: &str) -> eyre::Result<()> {
        let stand_in = self.program_dir.join("rosemaryusher-standins");
        let arguments = owned_args(&["backend", "--service", service, "--host", name]);
        let backend = process::ChildProcess::start(name, &stand_in, &arguments)?;
        let printed = backend.addresses()?;
        let settings = serde_json::json!({
            "node": self.node_settings(name, data_centre, &[]),
            "service": service,
            "backend": {
                "requests": printed["control"],
                "datagrams": printed["datagrams"],
                "health_path": "/health",
            },
            "drain": { "linger_ms": 500 },
        });
        let settings = self.settings_dir.write(&format!("{name}.json"), &settings)?;
        let (agent, control) = self.start_agent(name, &settings)?;
        let backend_control = control_address(&printed)?;
        let host = FleetHost { agent, control, backend, backend_control, settings };
        self.hosts.insert(name.to_owned(), host);
        Ok(())
    }

    /// Restarts the agent of a host; its backend server keeps running.
    ///
    /// # Errors
    ///
    /// Fails if there is no such host or the agent cannot be started.
    pub fn restart_agent(&mut self, name: &str) -> eyre::Result<()> {
        let mut host = self.hosts.remove(name).ok_or_eyre("no such host")?;
        let (agent, control) = self.start_agent(name, &host.settings)?;
        host.agent = agent;
        host.control = control;
        self.hosts.insert(name.to_owned(), host);
        Ok(())
    }

    /// Makes the fabric spread datagrams over all balancers of the fleet.
    ///
    /// # Errors
    ///
    /// Fails if a balancer or the fabric does not answer.
    pub fn spray(&self) -> eyre::Result<()> {
        let names: Vec<_> = self.balancers.keys().map(String::as_str).collect();
        self.spray_over(&names)
    }

    /// Makes the fabric spread datagrams over the named balancers.
    ///
    /// # Errors
    ///
    /// Fails if a balancer or the fabric does not answer.
    pub fn spray_over(&self, names: &[&str]) -> eyre::Result<()> {
        let mut targets: collections::BTreeMap<net::SocketAddr, Vec<net::SocketAddr>> =
            collections::BTreeMap::new();
        for name in names {
            let balancer = self.balancers.get(*name).ok_or_eyre("no such balancer")?;
            for (address, bound) in self.entries_of(balancer)? {
                targets.entry(address).or_default().push(bound);
            }
        }
        let (lost_percent, duplicated_percent) = (self.lost_percent, self.duplicated_percent);
        let targets = fabric::FabricTargets { targets, lost_percent, duplicated_percent };
        pages::put(self.fabric_control, "/targets", &targets)
    }

    /// Makes the fabric drop and duplicate callers' datagrams from the next
    /// [`ProcessFleet::spray`] on.
    pub fn set_packet_faults(&mut self, lost_percent: u32, duplicated_percent: u32) {
        self.lost_percent = lost_percent;
        self.duplicated_percent = duplicated_percent;
    }

    /// Sets the faults of the platform.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer with 204.
    pub fn set_platform_faults(&self, faults: &platform::PlatformFaults) -> eyre::Result<()> {
        pages::put(self.platform_address, "/faults", faults)
    }

    /// Takes a snapshot of the platform's store, replacing an earlier one.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer with 204.
    pub fn snapshot_store(&self) -> eyre::Result<()> {
        pages::put(self.platform_address, "/copy", &())
    }

    /// Restores the platform's store from the snapshot: later writes are lost and their versions
    /// are assigned again.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer with 204.
    pub fn restore_snapshot(&self) -> eyre::Result<()> {
        pages::put(self.platform_address, "/restore", &())
    }

    /// Sends one POST request from a new caller.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened.
    pub fn post_once(&self, service: &str, seed: u64) -> eyre::Result<caller::CallerOutcome> {
        let address = self.service(service).requests;
        smol::block_on(async {
            let mut client = caller::CallerClient::connect(address, seed).await?;
            Ok(client.post("/statements", &format!("statement-{seed}")).await)
        })
    }

    /// Sets the delays and failures of a backend server.
    ///
    /// # Errors
    ///
    /// Fails if there is no such host or the stand-in does not answer with 204.
    pub fn set_backend_behaviour(
        &self,
        host: &str,
        behaviour: &backend::BackendBehaviour,
    ) -> eyre::Result<()> {
        let host = self.hosts.get(host).ok_or_eyre("no such host")?;
        pages::put(host.backend_control, "/behaviour", behaviour)
    }

    /// Waits until every process sees every other and all have the same configuration.
    ///
    /// # Errors
    ///
    /// Fails on timeout.
    pub fn wait_converged(&self) -> eyre::Result<()> {
        let agents = self.hosts.values().map(|host| host.control);
        let balancers = self.balancers.values().map(|balancer| balancer.control);
        let controls: Vec<_> = agents.chain(balancers).collect();
        process::wait_for("the fleet to converge", || {
            let states: Option<Vec<_>> =
                controls.iter().map(|c| pages::get(*c, "/state").ok()).collect();
            let states = states?;
            let first = &states[0]["generation"];
            let is_converged = states.iter().all(|state| {
                let reachable = pages::reachable_members(state).len();
                state["generation"] == *first && *first != 0 && reachable == controls.len()
            });
            is_converged.then_some(())
        })
    }

    /// Sleeps until agents that have joined are given flows and tickets.
    pub fn sleep_settle_time(&self) {
        let settle_ms = rosemaryusher_core::routing::SETTLE_MS;
        std::thread::sleep(time::Duration::from_millis(settle_ms));
    }

    /// Runs of each POST id, over all hosts.
    ///
    /// # Errors
    ///
    /// Fails if a backend server does not answer.
    pub fn run_counts(&self) -> eyre::Result<collections::BTreeMap<String, u64>> {
        let mut run_counts = collections::BTreeMap::new();
        for host in self.hosts.values() {
            let page = pages::get(host.backend_control, "/runs")?;
            let counts: collections::BTreeMap<String, u64> =
                serde_json::from_value(page["runs"].clone())?;
            for (id, count) in counts {
                *run_counts.entry(id).or_default() += count;
            }
        }
        Ok(run_counts)
    }

    /// Returns a service by name.
    ///
    /// # Panics
    ///
    /// Panics if there is no such service.
    pub fn service(&self, name: &str) -> &FleetService {
        let found = self.services.iter().find(|service| service.name == name);
        found.unwrap_or_else(|| panic!("no service {name}"))
    }

    fn start_agent(
        &self,
        name: &str,
        settings: &path::Path,
    ) -> eyre::Result<(process::ChildProcess, net::SocketAddr)> {
        let program = self.program_dir.join("rosemaryusher-agent");
        let arguments = owned_args(&["--settings", &settings.to_string_lossy()]);
        let agent = process::ChildProcess::start(name, &program, &arguments)?;
        let control = agent.control_address()?;
        Ok((agent, control))
    }

    fn node_settings(
        &self,
        name: &str,
        data_centre: &str,
        peers: &[net::SocketAddr],
    ) -> serde_json::Value {
        serde_json::json!({
            "name": name,
            "data_centre": data_centre,
            "platform": self.platform_address,
            "peers": peers,
            "control": { "probe_period_ms": 200, "suspect_ms": 1500, "watch_ms": 5000 },
        })
    }

    /// A balancer's entries by service address, once it has one for every address.
    fn entries_of(
        &self,
        balancer: &FleetBalancer,
    ) -> eyre::Result<collections::BTreeMap<net::SocketAddr, net::SocketAddr>> {
        process::wait_for("a balancer's entries", || {
            let state = pages::get(balancer.control, "/state").ok()?;
            let entries = state["decisions"]["entries"].clone();
            let entries: collections::BTreeMap<net::SocketAddr, net::SocketAddr> =
                serde_json::from_value(entries).ok()?;
            (entries.len() == 2 * self.services.len()).then_some(entries)
        })
    }
}

fn control_address(printed: &serde_json::Value) -> eyre::Result<net::SocketAddr> {
    Ok(serde_json::from_value(printed["control"].clone())?)
}

fn owned_args(args: &[&str]) -> Vec<String> {
    args.iter().map(|arg| (*arg).to_owned()).collect()
}
