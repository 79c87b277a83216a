//! The project's processes, each with loopback addresses of its own, and its settings.

use std::collections::BTreeMap;
use std::fs;
use std::net;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::time::Duration;

use crate::host::HostPlace;
use crate::http;
use crate::record::Record;
use crate::store::Store;

/// The ports of every machine; machines differ in their addresses.
#[derive(Clone, Copy)]
pub struct Ports {
    pub messages: u16,
    pub network: u16,
    pub outbound: u16,
    pub ready: u16,
    pub control: u16,
    pub app: u16,
}

/// A running system.
pub struct System {
    pub store: Store,
    pub ports: Ports,
    pub record: Record,
    /// The machines that every process's settings name as seeds.
    pub seeds: Vec<u8>,
    /// Whether the whole system has started; processes that start later aren't its first ones.
    pub has_started: bool,
    net: u8,
    folder: PathBuf,
    children: BTreeMap<u8, process::Child>,
}

impl System {
    /// Starts the store, and no process yet.
    pub fn new(record: &Record) -> System {
        let own = process::id();
        let net = 1 + (own % 250) as u8;
        let folder = std::env::temp_dir().join(format!("review-scene-{own}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let held: Vec<_> =
            (0..6).map(|_| net::TcpListener::bind((ip(net, 1), 0)).expect("a port")).collect();
        let port = |nth: usize| held[nth].local_addr().expect("an address").port();
        let ports = Ports {
            messages: port(0),
            network: port(1),
            outbound: port(2),
            ready: port(3),
            control: port(4),
            app: port(5),
        };
        let store = Store::start(ip(net, 250));
        let record = record.clone();
        System {
            store,
            ports,
            record,
            seeds: vec![1, 2],
            has_started: false,
            net,
            folder,
            children: BTreeMap::new(),
        }
    }

    pub fn at(&self, machine: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(ip(self.net, machine), port)
    }

    /// Writes a version of the operator's configuration.
    pub fn configure(&self, version: u32, service: &str, other: &str, timeout_ms: u32) {
        let spec = include_str!("config.json")
            .replace("@version", &version.to_string())
            .replace("@host", &ip(self.net, 200).to_string())
            .replace("@service", service)
            .replace("@other", other)
            .replace("@timeout", &timeout_ms.to_string());
        self.store.put("config", "main", spec.trim());
        self.record
            .add(format!("the store acknowledges config version {version}: {}", spec.trim()));
    }

    /// Returns the address that clients call; the first route's port is 443, the second's 8443.
    pub fn entry(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(ip(self.net, 200), port)
    }

    pub fn host_place(&self, machine: u8, id: &str, service: &str) -> HostPlace {
        HostPlace {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone(machine).to_owned(),
            app: self.at(machine, self.ports.app),
            outbound: self.at(machine, self.ports.outbound),
            control: self.at(machine, self.ports.control),
        }
    }

    fn settings(&self, machine: u8, service: Option<&str>) -> String {
        let ports = self.ports;
        let segments = if service.is_some() { ports.outbound } else { ports.network };
        let own = |port| self.at(machine, port);
        let beside = match service {
            Some(_) => format!(
                "\"backend_address\":\"{}\",\"report_address\":\"{}\",\
                 \"policy\":{{\"admission\":{{\"waiting_aim_percent\":50}}}},",
                own(ports.app),
                own(ports.control)
            ),
            None => String::new(),
        };
        let seed = |machine: &u8| format!("\"{}\"", self.at(*machine, ports.control));
        let seeds: Vec<String> = self.seeds.iter().map(seed).collect();
        let tail = service.map(|name| format!(",\"service\":\"{name}\"")).unwrap_or_default();
        format!(
            "{{\"node\":{{\"name\":\"machine-{machine}\",\"data_centre\":\"{}\",\
             \"packet_address\":\"{}\",\"platform\":\"{}\",\"platform_api\":\"machines\",\
             \"streams\":{{\"segment_address\":\"{}\",\"network_address\":\"{}\",{beside}\
             \"ready_address\":\"{}\",\"seeds\":[{}],\"first_start\":{},\
             \"report_period_ms\":770,\"stream_limit_s\":60,\"grace_s\":6,\
             \"data_centres\":{{\"a\":\"r\",\"b\":\"r\"}},\"evacuations\":false}}}}{tail}}}",
            zone(machine),
            own(ports.messages),
            self.store.address,
            own(segments),
            own(ports.network),
            own(ports.ready),
            seeds.join(","),
            !self.has_started,
        )
    }

    /// Starts a balancer, by the command of the deploy file.
    pub fn start_edge(&mut self, machine: u8) {
        let file = self.write_settings(machine, None);
        self.spawn(machine, "rosemaryusher", &["run", "--settings", &file]);
    }

    /// Starts the agent beside a host, by the command of the deploy file.
    pub fn start_side(&mut self, machine: u8, service: &str) {
        let file = self.write_settings(machine, Some(service));
        self.spawn(machine, "rosemaryusher-agent", &["--settings", &file]);
    }

    fn write_settings(&self, machine: u8, service: Option<&str>) -> String {
        let file = self.folder.join(format!("{machine}.conf"));
        fs::write(&file, self.settings(machine, service)).expect("settings are written");
        file.display().to_string()
    }

    fn spawn(&mut self, machine: u8, program: &str, arguments: &[&str]) {
        let log = fs::File::options()
            .append(true)
            .create(true)
            .open(self.folder.join(format!("{machine}.log")))
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = process::Command::new(Path::new("target/release").join(program))
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        self.record.add(format!("machine {machine}: {program} starts"));
        self.children.insert(machine, child);
    }

    /// Sends SIGTERM to a process.
    pub fn terminate(&self, machine: u8) {
        let Some(child) = self.children.get(&machine) else { return };
        self.record.add(format!("machine {machine} gets SIGTERM"));
        let _ = process::Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
    }

    /// Returns whether a process has ended.
    pub fn has_ended(&mut self, machine: u8) -> bool {
        let child = self.children.get_mut(&machine);
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Waits until a balancer answers that it is ready; ends the scene with 2 if it doesn't.
    pub fn wait_ready(&self, machine: u8) {
        for _ in 0..200 {
            let address = self.at(machine, self.ports.ready);
            let answer = http::call(address, "GET", "/ready", "", Duration::from_millis(500));
            if answer.is_some_and(|(status, _)| status == 200) {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        self.record.add(format!("machine {machine} is not ready"));
        panic!("machine {machine} is not ready");
    }

    /// Adds the lines of a process's log that contain a word to the record.
    pub fn copy_log(&self, machine: u8, words: &[&str]) {
        let text = fs::read_to_string(self.folder.join(format!("{machine}.log")));
        for line in text.unwrap_or_default().lines() {
            if words.iter().any(|word| line.contains(word)) {
                self.record.add(format!("log of machine {machine}: {line}"));
            }
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn zone(machine: u8) -> &'static str {
    if machine % 2 == 0 { "b" } else { "a" }
}

fn ip(net: u8, machine: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 91, net, machine)
}
