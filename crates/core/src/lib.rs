//! The sans-I/O core of rosemaryusher: deterministic state machines without sockets, clocks or
//! threads.
//!
//! Each state machine takes the current time and an event and appends actions for its process to
//! execute, so the daemons, the fuzz tests and the benchmarks run the same code.
//!
//! | module | responsibility |
//! |---|---|
//! | [`balancer`] | routing of callers' datagrams, and early refusals |
//! | [`agent`] | admission, queueing, deduplication and forwarding for one backend server |
//! | [`membership`] | the processes and whether they are draining, suspect or dead |
//! | [`stream`] | routing of stream segments and placement of streams on backend servers |
//! | [`config`] | the generation of the configuration in force |
//! | [`store_epoch`] | the order of store revisions across restores |
//!
//! # Example
//!
//! A ticket sealed by one process can be opened by any other with the same keys:
//!
//! ```
//! use rosemaryusher_core::{ids, ticket};
//!
//! let mut ring = ticket::KeyRing::default();
//! ring.insert(ticket::SealingKey { id: 1, active_from: ids::UnixMillis(0), secret: [7; 32] });
//! let ticket = ticket::RequestTicket {
//!     home: ids::InstanceId(42),
//!     service: ids::ServiceId::of_name("wallet-api"),
//!     issued_s: 1_000,
//!     session: 9,
//! };
//! let now = ids::UnixMillis::from_secs(1_000);
//! let sealed = ring.seal(&ticket, now).expect("a key is active");
//! assert_eq!(ring.open(&sealed), Ok(ticket));
//! ```

pub mod admission;
pub mod agent;
pub mod balancer;
pub mod config;
pub mod flow_cache;
pub mod flow_table;
pub mod ids;
pub mod ledger;
pub mod load;
pub mod manifest;
pub mod membership;
pub mod message;
pub mod placement;
pub mod retry;
pub mod routing;
pub mod store_epoch;
pub mod stream;
pub mod ticket;
pub mod uploads;
