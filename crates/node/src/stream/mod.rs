//! Sockets, threads and platform calls of a process that takes part in streams.
//!
//! | module | provides |
//! |---|---|
//! | [`adapter`] | the traits that an adapter to a platform implements |
//! | `announce` | the announcement of this process on the platform, and the list of members |
//! | `backend_probes` | connection probes of the backend server's address |
//! | `backoff` | delays between calls to the platform |
//! | [`bodies`] | parsing of the reports and leave requests of a backend server |
//! | `context` | state shared by the tasks of the control thread |
//! | `control` | the control thread: platform, settings file and HTTP |
//! | [`daemon`] | start, reload and shutdown of a process |
//! | [`engine`] | the engine of a balancer or an agent |
//! | `event_log` | rate-limited log lines, and metrics of events |
//! | `follow` | long polls of the configuration and of the evacuated data centres |
//! | `machine_probes` | connection probes of agents that have not reported |
//! | `message_counters` | counts of messages and bytes by kind |
//! | `packets` | the packet thread: segments, messages and the engine |
//! | `routes` | HTTP requests of other processes, the backend server and operators |
//! | [`settings`] | the settings of streams |
//! | `status` | flags that the packet thread shares with the control thread |

pub mod adapter;
mod announce;
mod backend_probes;
mod backoff;
pub mod bodies;
mod context;
mod control;
pub mod daemon;
pub mod engine;
mod event_log;
mod follow;
mod machine_probes;
mod message_counters;
mod packets;
mod routes;
pub mod settings;
mod status;
