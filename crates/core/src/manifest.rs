//! The manifest written by operators: services, data centres and load-balancing rules.
//!
//! [`ServiceManifest::check`] reports all faults at once, each with its path and a remedy.

use std::collections;
use std::fmt;
use std::net;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// The manifest that `rosemaryusher apply` puts in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceManifest {
    /// The names of the data centres that processes may use in their settings.
    pub data_centres: Vec<String>,
    /// The services.
    pub services: Vec<ServiceSpec>,
}

/// A service.
///
/// Fields must not be skipped in serialisation: messages encode them by position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name, unique in the manifest.
    pub name: String,
    /// The address for CoAP requests.
    #[serde(default)]
    pub requests: Option<net::SocketAddr>,
    /// The address for opaque datagrams.
    #[serde(default)]
    pub datagrams: Option<net::SocketAddr>,
    /// The addresses for streams.
    #[serde(default)]
    pub streams: Vec<StreamEntry>,
    /// The maximum number of concurrent requests of one host.
    pub host_slots: u32,
    /// The maximum number of open flows of one host.
    pub host_connections: u32,
    /// The load-balancing rules.
    #[serde(default)]
    pub rules: ServiceRules,
}

/// An address for streams; a manifest gives the address alone or an object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StreamEntry {
    /// The address.
    pub address: net::SocketAddr,
    /// The service-level terms of its streams.
    pub terms: StreamTerms,
    /// The regions whose hosts may take its streams; empty for all.
    pub regions: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EntryObject {
    address: net::SocketAddr,
    #[serde(default)]
    terms: StreamTerms,
    #[serde(default)]
    regions: Vec<String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum EntrySyntax {
    Address(net::SocketAddr),
    Whole(EntryObject),
}

impl<'de> Deserialize<'de> for StreamEntry {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<StreamEntry, D::Error> {
        // Binary messages encode an entry as the list of its fields and an address not as text.
        let written = match deserializer.is_human_readable() {
            true => EntrySyntax::deserialize(deserializer)?,
            false => EntrySyntax::Whole(EntryObject::deserialize(deserializer)?),
        };
        Ok(match written {
            EntrySyntax::Address(address) => {
                StreamEntry { address, terms: StreamTerms::default(), regions: Vec::new() }
            }
            EntrySyntax::Whole(EntryObject { address, terms, regions }) => {
                StreamEntry { address, terms, regions }
            }
        })
    }
}

/// The service-level terms of a stream address, which decide the order of queued streams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct StreamTerms {
    /// The target latency, in milliseconds.
    pub aim_ms: u32,
    /// The time after which callers give up, in milliseconds.
    pub deadline_ms: u32,
    /// The priority; 0 is the highest.
    pub priority: u32,
}

impl Default for StreamTerms {
    fn default() -> StreamTerms {
        StreamTerms { aim_ms: 500, deadline_ms: 5_000, priority: 1 }
    }
}

/// The load-balancing rules of a service; every field has a default.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceRules {
    /// Whether placement prefers the hashed host or the least loaded one.
    pub prefer: ChoicePreference,
    /// The default deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// The number of requests queued for each slot.
    pub queue_per_slot: u32,
    /// The duration of slow start, during which the share of a new host rises, in seconds.
    pub slow_start_s: u32,
    /// The number of streams that a host takes in 1,000 s during slow start; 0 for no limit.
    pub slow_start_per_1000_s: u32,
    /// The retry budget, as a percentage of recent successes.
    pub retry_percent: u32,
    /// The idle timeout of flows, in seconds.
    pub flow_idle_s: u32,
    /// The maximum size of a request or answer body, in bytes.
    pub body_limit: u32,
    /// The expected maximum number of hosts; determines the number of hash buckets.
    #[serde(rename = "largest_hosts")]
    pub max_hosts: u32,
}

impl Default for ServiceRules {
    fn default() -> ServiceRules {
        ServiceRules {
            prefer: ChoicePreference::Balance,
            deadline_ms: 5_000,
            queue_per_slot: 4,
            slow_start_s: 10,
            slow_start_per_1000_s: 0,
            retry_percent: 20,
            flow_idle_s: 3_600,
            body_limit: 4 << 20,
            max_hosts: 64,
        }
    }
}

/// The placement preference of a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoicePreference {
    /// New work stays on the hashed host unless another one is much less loaded.
    Stability,
    /// New work goes to the least loaded of the hosts compared.
    #[default]
    Balance,
}

impl ServiceSpec {
    /// The id of the service.
    pub fn id(&self) -> ids::ServiceId {
        ids::ServiceId::of_name(&self.name)
    }

    /// Whether an address takes streams of the service.
    pub fn takes_streams_at(&self, address: net::SocketAddr) -> bool {
        self.streams.iter().any(|entry| entry.address == address)
    }

    /// All addresses of the service.
    pub fn addresses(&self) -> impl Iterator<Item = net::SocketAddr> {
        let streams = self.streams.iter().map(|entry| entry.address);
        self.requests.into_iter().chain(self.datagrams).chain(streams)
    }
}

/// A fault in a manifest.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ManifestFault {
    /// The path of the field, such as `services[2].host_slots`.
    pub path: String,
    /// The problem.
    pub problem: String,
    /// The suggested remedy.
    #[serde(rename = "mend")]
    pub remedy: String,
}

impl fmt::Display for ManifestFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.problem, self.remedy)
    }
}

impl ServiceManifest {
    /// Validates the manifest and returns all faults.
    pub fn check(&self) -> Vec<ManifestFault> {
        let mut checker = ManifestChecker::default();
        checker.check_data_centres(&self.data_centres);
        for (index, spec) in self.services.iter().enumerate() {
            checker.check_service(index, spec);
        }
        checker.faults
    }
}

#[derive(Default)]
struct ManifestChecker<'a> {
    faults: Vec<ManifestFault>,
    centres: collections::HashSet<&'a str>,
    names: collections::HashMap<ids::ServiceId, &'a str>,
    addresses: collections::HashMap<net::SocketAddr, &'a str>,
}

impl<'a> ManifestChecker<'a> {
    fn add(&mut self, path: String, problem: impl Into<String>, remedy: &str) {
        self.faults.push(ManifestFault {
            path,
            problem: problem.into(),
            remedy: remedy.to_owned(),
        });
    }

    fn check_data_centres(&mut self, centres: &'a [String]) {
        if centres.is_empty() {
            self.add("data_centres".into(), "is empty", "name at least one data centre");
        }
        for (index, centre) in centres.iter().enumerate() {
            let path = format!("data_centres[{index}]");
            match centre.as_str() {
                "" => self.add(path, "is empty", "set a name"),
                name if !self.centres.insert(name) => {
                    self.add(path, format!("{name:?} is listed twice"), "remove one of the two")
                }
                _ => {}
            }
        }
    }

    fn check_service(&mut self, index: usize, spec: &'a ServiceSpec) {
        let at = |field: &str| format!("services[{index}].{field}");
        self.check_name(at("name"), spec);
        self.check_addresses(index, spec);
        let rules = &spec.rules;
        let ranges = [
            ("host_slots", spec.host_slots, 1, 4_096),
            ("host_connections", spec.host_connections, 1, 1_000_000),
            ("rules.queue_per_slot", rules.queue_per_slot, 0, 1_024),
            ("rules.slow_start_s", rules.slow_start_s, 0, 3_600),
            ("rules.slow_start_per_1000_s", rules.slow_start_per_1000_s, 0, 1_000_000_000),
            ("rules.retry_percent", rules.retry_percent, 0, 100),
            ("rules.flow_idle_s", rules.flow_idle_s, 1, 604_800),
            ("rules.body_limit", rules.body_limit, 1_024, 64 << 20),
            ("rules.largest_hosts", rules.max_hosts, 1, 16_384),
        ];
        for (field, value, min, max) in ranges {
            self.check_range(at(field), u64::from(value), min, max);
        }
        self.check_range(at("rules.deadline_ms"), rules.deadline_ms, 10, 120_000);
        for (nth, entry) in spec.streams.iter().enumerate() {
            self.check_terms(&at(&format!("streams[{nth}].terms")), entry.terms);
            if entry.regions.iter().any(String::is_empty) {
                let path = at(&format!("streams[{nth}].regions"));
                self.add(path, "has an empty name", "name each region, or list none to allow all");
            }
        }
    }

    fn check_terms(&mut self, path: &str, terms: StreamTerms) {
        self.check_range(format!("{path}.deadline_ms"), terms.deadline_ms.into(), 10, 120_000);
        let max = u64::from(terms.deadline_ms.max(10));
        self.check_range(format!("{path}.aim_ms"), terms.aim_ms.into(), 1, max);
        self.check_range(format!("{path}.priority"), terms.priority.into(), 0, 100);
    }

    fn check_name(&mut self, path: String, spec: &'a ServiceSpec) {
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let name = spec.name.as_str();
        if name.is_empty() || !name.chars().all(is_allowed) {
            let remedy = "use lower-case letters, digits and hyphens, at least one";
            self.add(path.clone(), format!("{name:?} is not a valid service name"), remedy);
        }
        match self.names.insert(spec.id(), name) {
            None => {}
            Some(other) if other == name => {
                self.add(path, format!("{name:?} is used twice"), "rename or remove one of the two")
            }
            Some(other) => {
                let problem = format!("{name:?} has the same id as {other:?}");
                self.add(path, problem, "rename one of the two")
            }
        }
    }

    fn check_addresses(&mut self, index: usize, spec: &'a ServiceSpec) {
        if spec.addresses().next().is_none() {
            let path = format!("services[{index}]");
            self.add(path, "has no address", "set `requests`, `datagrams` or `streams`");
        }
        let single = [("requests", spec.requests), ("datagrams", spec.datagrams)];
        let single = single
            .into_iter()
            .filter_map(|(field, address)| Some((format!("services[{index}].{field}"), address?)));
        let streams = spec
            .streams
            .iter()
            .enumerate()
            .map(|(nth, entry)| (format!("services[{index}].streams[{nth}]"), entry.address));
        for (path, address) in single.chain(streams) {
            if address.port() == 0 {
                self.add(path.clone(), "has port 0", "set the port that callers send to");
            }
            if let Some(other) = self.addresses.insert(address, &spec.name) {
                let problem = format!("{address} is already used by {other:?}");
                self.add(path, problem, "use a separate address for each service and kind");
            }
        }
    }

    fn check_range(&mut self, path: String, value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            let remedy = format!("use a number from {min} to {max}");
            self.add(path, format!("is {value}"), &remedy);
        }
    }
}
