//! A fleet of real processes on this machine: a platform, a fabric, balancers, agents.

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
    /// Its name.
    pub name: String,
    /// Where callers send requests.
    pub requests: net::SocketAddr,
    /// Where callers send datagrams.
    pub datagrams: net::SocketAddr,
    /// Its hosts' slots.
    pub slots: u32,
    /// Its rules, as in a manifest.
    pub rules: serde_json::Value,
}

/// A host: an agent and the backend server beside it.
#[derive(Debug)]
pub struct FleetHost {
    /// The agent.
    pub agent: process::ChildProcess,
    /// The agent's control address.
    pub control: net::SocketAddr,
    /// The backend server.
    pub backend: process::ChildProcess,
    /// Where the backend server takes requests and is told how to behave.
    pub backend_control: net::SocketAddr,
    settings: path::PathBuf,
}

/// A balancer.
#[derive(Debug)]
pub struct FleetBalancer {
    /// The process.
    pub process: process::ChildProcess,
    /// Its control address.
    pub control: net::SocketAddr,
}

/// A fleet of real processes.
#[derive(Debug)]
pub struct ProcessFleet {
    /// The services.
    pub services: Vec<FleetService>,
    /// The hosts by name.
    pub hosts: collections::BTreeMap<String, FleetHost>,
    /// The balancers by name.
    pub balancers: collections::BTreeMap<String, FleetBalancer>,
    /// The platform's process.
    pub platform: process::ChildProcess,
    /// The platform's address.
    pub platform_address: net::SocketAddr,
    fabric_control: net::SocketAddr,
    _fabric: process::ChildProcess,
    folder: path::PathBuf,
    scratch: process::ScratchFolder,
    lost_percent: u32,
    doubled_percent: u32,
}

impl ProcessFleet {
    /// Starts the platform and the fabric, with addresses for the named services.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub fn start(names: &[&str], seed: u64) -> eyre::Result<ProcessFleet> {
        let folder = process::program_folder()?;
        let stand_in = folder.join("rosemaryusher-standins");
        let platform = process::ChildProcess::start("platform", &stand_in, &words(&["platform"]))?;
        let count = (2 * names.len()).to_string();
        let arguments = words(&["fabric", "--addresses", &count, "--seed", &seed.to_string()]);
        let fabric = process::ChildProcess::start("fabric", &stand_in, &arguments)?;
        let told = fabric.addresses()?;
        let addresses: Vec<net::SocketAddr> = serde_json::from_value(told["addresses"].clone())?;
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
            platform_address: control_of(&platform.addresses()?)?,
            platform,
            fabric_control: control_of(&told)?,
            _fabric: fabric,
            folder,
            scratch: process::ScratchFolder::new()?,
            lost_percent: 0,
            doubled_percent: 0,
        })
    }

    /// A fleet that serves: so many balancers, so many hosts of each service, `name-0` and on.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or the fleet does not settle.
    pub fn serving(
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
                let centre = ["a", "b", "c"][number % 3];
                fleet.start_host(&format!("{name}-{number}"), name, centre)?;
            }
        }
        let (code, text) = fleet.apply("setup", &fleet.manifest(), &[])?;
        eyre::ensure!(code == Some(0), "apply ended with {code:?}: {text}");
        fleet.settle()?;
        fleet.wait_settled();
        fleet.spray()?;
        Ok(fleet)
    }

    /// The manifest of the fleet's services.
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

    /// Applies a manifest as an operator does; returns the exit code and what was printed.
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
        let file = self.scratch.write(&format!("manifest-{author}.json"), manifest)?;
        let platform = self.platform_address.to_string();
        let mut arguments = vec!["apply", "--platform", &platform, "--author", author];
        arguments.extend(more);
        let file = file.to_string_lossy().into_owned();
        arguments.push(&file);
        self.command(&arguments)
    }

    /// Runs an operator's command to its end.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be run.
    pub fn command(&self, arguments: &[&str]) -> eyre::Result<(Option<i32>, String)> {
        let output = std::process::Command::new(self.folder.join("rosemaryusher"))
            .args(arguments)
            .output()
            .wrap_err("cannot run rosemaryusher")?;
        let text = [output.stdout, output.stderr].concat();
        Ok((output.status.code(), String::from_utf8_lossy(&text).into_owned()))
    }

    /// Starts a balancer; it gets datagrams once [`ProcessFleet::spray`] is called.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub fn start_balancer(&mut self, name: &str, peers: &[net::SocketAddr]) -> eyre::Result<()> {
        let settings = serde_json::json!({
            "node": self.node_settings(name, "a", peers),
            "entry": { "translated": { "ip": "127.0.0.1" } },
            "drain": { "quiet_ms": 200, "limit_s": 5 },
        });
        let file = self.scratch.write(&format!("{name}.json"), &settings)?;
        let arguments = words(&["run", "--settings", &file.to_string_lossy()]);
        let program = self.folder.join("rosemaryusher");
        let process = process::ChildProcess::start(name, &program, &arguments)?;
        let control = process.control_address()?;
        self.balancers.insert(name.to_owned(), FleetBalancer { process, control });
        Ok(())
    }

    /// Starts a backend server of a service and the agent beside it.
    ///
    /// # Errors
    ///
    /// Fails if one of them cannot be started.
    pub fn start_host(&mut self, name: &str, service: &str, centre: &str) -> eyre::Result<()> {
        let stand_in = self.folder.join("rosemaryusher-standins");
        let arguments = words(&["backend", "--service", service, "--host", name]);
        let backend = process::ChildProcess::start(name, &stand_in, &arguments)?;
        let told = backend.addresses()?;
        let settings = serde_json::json!({
            "node": self.node_settings(name, centre, &[]),
            "service": service,
            "backend": {
                "requests": told["control"],
                "datagrams": told["datagrams"],
                "health_path": "/health",
            },
            "drain": { "linger_ms": 500 },
        });
        let settings = self.scratch.write(&format!("{name}.json"), &settings)?;
        let (agent, control) = self.start_agent(name, &settings)?;
        let backend_control = control_of(&told)?;
        let host = FleetHost { agent, control, backend, backend_control, settings };
        self.hosts.insert(name.to_owned(), host);
        Ok(())
    }

    /// Starts the agent of a host anew, beside the same backend server.
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

    /// Has the fabric spray over all balancers that are there and take datagrams.
    ///
    /// # Errors
    ///
    /// Fails if a balancer or the fabric does not answer.
    pub fn spray(&self) -> eyre::Result<()> {
        let names: Vec<_> = self.balancers.keys().map(String::as_str).collect();
        self.spray_over(&names)
    }

    /// Has the fabric spray over the named balancers.
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
        let (lost_percent, doubled_percent) = (self.lost_percent, self.doubled_percent);
        let targets = fabric::FabricTargets { targets, lost_percent, doubled_percent };
        pages::put(self.fabric_control, "/targets", &targets)
    }

    /// Has the fabric lose and double some datagrams from the next [`ProcessFleet::spray`] on.
    pub fn disturb(&mut self, lost_percent: u32, doubled_percent: u32) {
        self.lost_percent = lost_percent;
        self.doubled_percent = doubled_percent;
    }

    /// Has the platform fail.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub fn fail_platform(&self, faults: &platform::PlatformFaults) -> eyre::Result<()> {
        pages::put(self.platform_address, "/faults", faults)
    }

    /// Takes the copy of the platform's store that a later restore brings back.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub fn copy_store(&self) -> eyre::Result<()> {
        pages::put(self.platform_address, "/copy", &())
    }

    /// Has the platform's store come back from the copy: what was written since is gone, and its
    /// versions are given out again.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub fn restore_store(&self) -> eyre::Result<()> {
        pages::put(self.platform_address, "/restore", &())
    }

    /// Has a fresh caller send a request to a service that must not run twice.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be had.
    pub fn ask(&self, service: &str, seed: u64) -> eyre::Result<caller::CallerOutcome> {
        let address = self.service(service).requests;
        smol::block_on(async {
            let mut client = caller::CallerClient::connect(address, seed).await?;
            Ok(client.post("/statements", &format!("statement-{seed}")).await)
        })
    }

    /// Has a host's backend server behave otherwise.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub fn behave(&self, host: &str, behaviour: &backend::BackendBehaviour) -> eyre::Result<()> {
        let host = self.hosts.get(host).ok_or_eyre("no such host")?;
        pages::put(host.backend_control, "/behaviour", behaviour)
    }

    /// Waits until every process knows every other and all have the same configuration.
    ///
    /// # Errors
    ///
    /// Fails if that does not come about.
    pub fn settle(&self) -> eyre::Result<()> {
        let agents = self.hosts.values().map(|host| host.control);
        let balancers = self.balancers.values().map(|balancer| balancer.control);
        let controls: Vec<_> = agents.chain(balancers).collect();
        process::wait_for("the fleet to settle", || {
            let states: Option<Vec<_>> =
                controls.iter().map(|c| pages::get(*c, "/state").ok()).collect();
            let states = states?;
            let first = &states[0]["generation"];
            let agree = states.iter().all(|state| {
                let alive = pages::reachable(state).len();
                state["generation"] == *first && *first != 0 && alive == controls.len()
            });
            agree.then_some(())
        })
    }

    /// Waits until agents have been there for long enough to be given flows and tickets.
    pub fn wait_settled(&self) {
        let settle = rosemaryusher_core::routing::SETTLE_MS;
        std::thread::sleep(time::Duration::from_millis(settle));
    }

    /// How often each posted id has run, over all hosts.
    ///
    /// # Errors
    ///
    /// Fails if a backend server does not answer.
    pub fn runs(&self) -> eyre::Result<collections::BTreeMap<String, u64>> {
        let mut runs = collections::BTreeMap::new();
        for host in self.hosts.values() {
            let page = pages::get(host.backend_control, "/runs")?;
            let counts: collections::BTreeMap<String, u64> =
                serde_json::from_value(page["runs"].clone())?;
            for (id, count) in counts {
                *runs.entry(id).or_default() += count;
            }
        }
        Ok(runs)
    }

    /// A service by its name.
    ///
    /// # Panics
    ///
    /// If there is none.
    pub fn service(&self, name: &str) -> &FleetService {
        let found = self.services.iter().find(|service| service.name == name);
        found.unwrap_or_else(|| panic!("no service {name}"))
    }

    fn start_agent(
        &self,
        name: &str,
        settings: &path::Path,
    ) -> eyre::Result<(process::ChildProcess, net::SocketAddr)> {
        let program = self.folder.join("rosemaryusher-agent");
        let arguments = words(&["--settings", &settings.to_string_lossy()]);
        let agent = process::ChildProcess::start(name, &program, &arguments)?;
        let control = agent.control_address()?;
        Ok((agent, control))
    }

    fn node_settings(
        &self,
        name: &str,
        centre: &str,
        peers: &[net::SocketAddr],
    ) -> serde_json::Value {
        serde_json::json!({
            "name": name,
            "data_centre": centre,
            "platform": self.platform_address,
            "peers": peers,
            "control": { "probe_period_ms": 200, "suspect_ms": 1500, "watch_ms": 5000 },
        })
    }

    /// Where a balancer takes datagrams, once it does for every service.
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

fn control_of(told: &serde_json::Value) -> eyre::Result<net::SocketAddr> {
    Ok(serde_json::from_value(told["control"].clone())?)
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}
