//! Counts and logs invalid input from other systems.
//!
//! Invalid items are skipped and the valid ones beside them are used. Each is counted by its source;
//! log lines are limited for each source, so that a faulty writer cannot fill the log.

use std::fmt;
use std::sync;
use std::time;

use crate::logs;

/// The shortest time between two log lines on the same source.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// The longest name or problem that is logged, since some parsers quote their whole input.
const MAX_TEXT_CHARS: usize = 200;

/// The source of an invalid item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InputSource {
    /// A backend server's report.
    Report,
    /// A backend server's notice that it has left.
    Leave,
    /// An object of the platform, in a list or a watch.
    Object,
    /// A process's announcement on the platform.
    Announcement,
    /// The platform's entry of an evacuated data centre.
    Evacuation,
    /// The operators' configuration, or an item of it.
    Configuration,
    /// A configuration fetched from another process.
    PeerConfig,
    /// The epoch in a response of the platform's store.
    StoreEpoch,
}

impl InputSource {
    /// The name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            InputSource::Report => "report",
            InputSource::Leave => "leave",
            InputSource::Object => "object",
            InputSource::Announcement => "announcement",
            InputSource::Evacuation => "evacuation",
            InputSource::Configuration => "configuration",
            InputSource::PeerConfig => "peer_config",
            InputSource::StoreEpoch => "store_epoch",
        }
    }
}

/// When each source was last logged.
static LAST_LOGGED: [sync::Mutex<Option<time::Instant>>; 8] = [const { sync::Mutex::new(None) }; 8];

/// Counts an invalid item, and logs it unless its source was logged a short time ago.
pub fn report_invalid(source: InputSource, name: &str, problem: impl fmt::Display) {
    let label = source.label();
    metrics::counter!("rosemaryusher_foreign_total", "place" => label).increment(1);
    if !is_log_due(source) {
        return;
    }
    let problem: String = problem.to_string().chars().take(MAX_TEXT_CHARS).collect();
    let name: String = name.chars().take(MAX_TEXT_CHARS).collect();
    logs::event(&serde_json::json!({
        "event": "foreign", "place": label, "name": name, "problem": problem,
    }));
}

fn is_log_due(source: InputSource) -> bool {
    let mut last_logged = match LAST_LOGGED[source as usize].lock() {
        Ok(last_logged) => last_logged,
        Err(poisoned) => poisoned.into_inner(),
    };
    let is_due = last_logged.is_none_or(|last_logged| last_logged.elapsed() >= LOG_INTERVAL);
    if is_due {
        *last_logged = Some(time::Instant::now());
    }
    is_due
}
