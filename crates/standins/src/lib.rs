//! Stand-ins for the platform, the fabric, backend servers and callers, and a fleet of processes
//! made of them, for the demo, the benches and tests.
//!
//! They implement the published interfaces and make none of the decisions under test.

pub mod backend;
pub mod bench;
pub mod caller;
pub mod demo;
pub mod fabric;
pub mod fleet;
pub mod ideal_schedule;
pub mod load;
pub mod pages;
pub mod platform;
pub mod process;
