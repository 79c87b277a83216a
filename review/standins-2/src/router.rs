//! The platform's routers of one zone: readiness checks, rotation and the choice of a balancer.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// How often each balancer is asked whether it is ready.
const CHECK: Duration = Duration::from_millis(500);
/// How many misses take a balancer out of rotation.
const MAX_MISSES: u32 = 2;

/// One balancer, as the routers know it.
#[derive(Clone)]
pub struct Edge {
    /// Where packets are forwarded to.
    pub network: SocketAddrV4,
    /// Where it answers whether it is ready.
    pub ready: SocketAddrV4,
    /// When in each interval it is asked, in seconds.
    pub phase: f64,
}

/// The routers of a zone.
#[derive(Clone)]
pub struct Router {
    edges: Vec<Edge>,
    in_rotation: Arc<Mutex<Vec<bool>>>,
}

impl Router {
    /// Starts the checks.
    pub fn start(edges: Vec<Edge>, record: &Record) -> Router {
        let in_rotation = Arc::new(Mutex::new(vec![true; edges.len()]));
        for (number, edge) in edges.iter().cloned().enumerate() {
            let (in_rotation, record) = (in_rotation.clone(), record.clone());
            thread::spawn(move || check(number, &edge, &in_rotation, &record));
        }
        Router { edges, in_rotation }
    }

    /// Returns the balancer that a packet is forwarded to: by a steady hash over those in rotation,
    /// or over all of the zone if fewer than half are.
    pub fn edge_for(&self, caller: SocketAddrV4, entry: SocketAddrV4) -> SocketAddrV4 {
        let in_rotation = self.in_rotation.lock().expect("the rotation").clone();
        let count = in_rotation.iter().filter(|is_in| **is_in).count();
        let uses_all = 2 * count < self.edges.len();
        let used = self.edges.iter().zip(&in_rotation).filter(|(_, is_in)| uses_all || **is_in);
        let used = used.map(|(edge, _)| edge.network);
        let word = |a: SocketAddrV4| u64::from(a.ip().to_bits()) << 16 | u64::from(a.port());
        let rank = |edge: &SocketAddrV4| mix(mix(word(caller), word(entry)), word(*edge));
        used.max_by_key(rank).expect("a zone has balancers")
    }
}

fn check(number: usize, edge: &Edge, in_rotation: &Mutex<Vec<bool>>, record: &Record) {
    let mut misses = 0;
    loop {
        let now = record.now();
        let beat = CHECK.as_secs_f64();
        record.wait_until(((now - edge.phase) / beat).floor() * beat + beat + edge.phase);
        let answer = http::call(edge.ready, "GET", "/ready", "", Duration::from_millis(300));
        let is_ready = answer.is_some_and(|(status, _)| status == 200);
        misses = if is_ready { 0 } else { misses + 1 };
        let mut rotation = in_rotation.lock().expect("the rotation");
        let before = rotation[number];
        rotation[number] = is_ready || (before && misses < MAX_MISSES);
        if rotation[number] != before {
            let state = if before { "out of rotation" } else { "in rotation" };
            record.add(format!("routers: {} is {state}", edge.network.ip()));
        }
    }
}

fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
