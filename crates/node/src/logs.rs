//! Logs as lines of JSON on standard error.

use std::io;
use std::io::Write as _;
use std::time;

use serde::Serialize;

use crate::settings;

#[derive(Serialize)]
struct LogLine<'a> {
    time_ms: u128,
    level: &'a str,
    process: &'a str,
    target: &'a str,
    message: String,
}

/// Writes each record as one line of JSON.
struct JsonLogger {
    level: simplelog::LevelFilter,
    process: String,
}

impl log::Log for JsonLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        // Libraries' own records are for their authors; warnings are for everyone.
        let is_ours = metadata.target().starts_with("rosemaryusher");
        metadata.level() <= self.level && (is_ours || metadata.level() <= log::Level::Warn)
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let line = LogLine {
            time_ms: elapsed.map_or(0, |elapsed| elapsed.as_millis()),
            level: record.level().as_str(),
            process: &self.process,
            target: record.target(),
            message: record.args().to_string(),
        };
        let Ok(mut text) = serde_json::to_string(&line) else { return };
        text.push('\n');
        // A log that cannot be written must not stop the process that writes it.
        drop(io::stderr().lock().write_all(text.as_bytes()));
    }

    fn flush(&self) {
        drop(io::stderr().lock().flush());
    }
}

impl simplelog::SharedLogger for JsonLogger {
    fn level(&self) -> simplelog::LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&simplelog::Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn log::Log> {
        self
    }
}

/// Starts logging for the process called `process`.
///
/// # Errors
///
/// Fails if logging has been started before.
pub fn start(settings: &settings::LogSettings, process: &str) -> eyre::Result<()> {
    let level = settings.level.filter();
    let logger = JsonLogger { level, process: process.to_owned() };
    simplelog::CombinedLogger::init(vec![Box::new(logger)])?;
    Ok(())
}
