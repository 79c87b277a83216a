//! Process infrastructure shared by the balancer and the agent.
//!
//! Settings, logs, metrics, HTTP, the platform's object API, and the control thread that maintains
//! membership and configuration. Decisions are made in `rosemaryusher-core`.
//!
//! # Example
//!
//! Settings are validated before anything starts, and errors name the field:
//!
//! ```
//! use rosemaryusher_node::settings;
//!
//! let text = r#"{ "name": "b1", "data_centre": "scl-a", "logs": {"level": "loud"} }"#;
//! let error = settings::parse::<settings::NodeSettings>(text).unwrap_err();
//! assert!(error.to_string().contains("logs.level"));
//! ```

pub mod clock;
pub mod control;
pub mod difference;
pub mod epoch;
pub mod external_input;
pub mod http;
pub mod identity;
pub mod logs;
pub mod meters;
pub mod panics;
pub mod platform;
pub mod release;
pub mod rings;
pub mod settings;
pub mod signals;
pub mod stream;
pub mod threads;
