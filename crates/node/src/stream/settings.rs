//! The settings of streams.

use std::collections;
use std::net;

use rosemaryusher_core::ids;
use rosemaryusher_core::stream::policy;
use serde::Deserialize;

use crate::settings;

/// The settings of a process that takes part in streams.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StreamSettings {
    /// The address that this process listens at for other processes, if they reach it through
    /// address translation; defaults to `node.packet_address`.
    #[serde(default)]
    pub listen_address: Option<net::SocketAddrV4>,
    /// The address that receives segments: callers' at a balancer, the backend server's at an
    /// agent.
    pub segment_address: net::SocketAddrV4,
    /// The address to which the network sends datagrams for this machine. Callers receive at the
    /// same port.
    pub network_address: net::SocketAddrV4,
    /// The address at which the backend server receives segments; only at an agent.
    #[serde(default)]
    pub backend_address: Option<net::SocketAddrV4>,
    /// The address to which the backend server sends its reports; only at an agent.
    #[serde(default)]
    pub report_address: Option<net::SocketAddr>,
    /// The address that answers the network's readiness checks.
    pub ready_address: net::SocketAddr,
    /// Machines that may run balancers, in addition to those that the platform lists. Only the IP
    /// addresses are used: every process receives messages at the same port.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddrV4>,
    /// Whether the whole fleet starts for the first time: no stream is open anywhere, and all
    /// processes are announced at about the same time.
    #[serde(default)]
    pub first_start: bool,
    /// Interval between reports of a backend server, in milliseconds.
    pub report_period_ms: u64,
    /// Maximum lifetime of a stream, in seconds.
    pub stream_limit_s: u64,
    /// Maps the name of each data centre to the name of its region.
    #[serde(default)]
    pub data_centres: collections::BTreeMap<String, String>,
    /// Factor on the rate of new streams that a service allows to a backend server in slow start.
    #[serde(default = "one")]
    pub slow_start_overage: f64,
    /// Additional streams that a backend server in slow start may get in any second.
    #[serde(default)]
    pub slow_start_slack: f64,
    /// Whether operators may evacuate data centres; the platform's list of them is then polled.
    #[serde(default)]
    pub evacuations: bool,
    /// Time after which a process that shuts down is killed, in seconds.
    pub grace_s: u64,
    /// Parameters of the engine's decisions.
    #[serde(default)]
    pub policy: policy::StreamPolicy,
}

fn one() -> f64 {
    1.0
}

impl StreamSettings {
    /// The region of each data centre, both as hashes of their names.
    pub(crate) fn region_hashes(&self) -> collections::BTreeMap<u32, u32> {
        let named = self.data_centres.iter();
        named
            .map(|(centre, region)| (ids::hash_data_centre(centre), ids::hash_region(region)))
            .collect()
    }

    /// Takes the settings that a process keeps while it runs from its current ones, and appends the
    /// names of those that differ.
    pub(crate) fn keep_fixed(&mut self, current: &StreamSettings, kept: &mut Vec<&'static str>) {
        let next = self;
        macro_rules! keep {
            ($($field:ident),*) => {
                $(settings::keep(
                    &mut next.$field,
                    &current.$field,
                    concat!("node.streams.", stringify!($field)),
                    kept,
                );)*
            };
        }
        keep!(listen_address, segment_address, network_address, backend_address, report_address);
        keep!(ready_address, report_period_ms, stream_limit_s, policy);
        keep!(slow_start_overage, slow_start_slack, evacuations);
    }

    /// Returns a message for each setting that is out of range or inconsistent.
    pub fn check(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut require = |holds: bool, fault: &str| {
            if !holds {
                faults.push(fault.to_owned());
            }
        };
        require(self.segment_address.port() != 0, "segment_address: has port 0; give the port");
        require(self.network_address.port() != 0, "network_address: has port 0; give the port");
        require(
            (50..=60_000).contains(&self.report_period_ms),
            "report_period_ms: is out of range; use 50 to 60000",
        );
        require(self.stream_limit_s > 0, "stream_limit_s: is zero; give at least 1");
        require(self.grace_s >= 2, "grace_s: is too short; give at least 2");
        require(
            (0.01..=100.0).contains(&self.slow_start_overage),
            "slow_start_overage: is out of range; use 0.01 to 100",
        );
        require(
            (0.0..=1_000_000.0).contains(&self.slow_start_slack),
            "slow_start_slack: is out of range; use 0 to 1000000",
        );
        require(
            !self.evacuations || !self.data_centres.is_empty(),
            "data_centres: is empty; name those that may be evacuated, with their regions",
        );
        require(
            self.listen_address.is_none_or(|address| address.port() != 0),
            "listen_address: has port 0; give the port",
        );
        require(
            self.backend_address.is_some() == self.report_address.is_some(),
            "backend_address: goes with report_address; give both or neither",
        );
        faults.extend(self.policy.check());
        faults
    }
}
