//! Logs as lines of JSON on standard output.
//!
//! Lines go through a bounded ring to a thread of their own: whoever logs never waits for a reader
//! of the logs that is slow or stuck, and lines that find the ring full are counted.

use std::io;
use std::io::Write as _;
use std::sync;
use std::time;

use serde::Serialize;
use smol::channel;

use crate::meters;
use crate::settings;
use crate::threads;

/// How many lines may wait to be written: some 200 KB.
const WAITING_LINES: usize = 1_024;

/// How long the end of a process waits for the last lines, in milliseconds.
const FLUSH_MS: u64 = 200;

static LINES: sync::OnceLock<LineWriter> = sync::OnceLock::new();

/// Where lines go, and who writes them.
struct LineWriter {
    process: String,
    lines: channel::Sender<String>,
}

#[derive(Serialize)]
struct LogLine<'a, T: Serialize> {
    time_ms: u128,
    level: &'a str,
    process: &'a str,
    #[serde(flatten)]
    content: &'a T,
}

#[derive(Serialize)]
struct LogMessage<'a> {
    target: &'a str,
    message: String,
}

/// Writes each record as one line of JSON.
struct JsonLogger {
    level: simplelog::LevelFilter,
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
        let content = LogMessage { target: record.target(), message: record.args().to_string() };
        write_line(record.level().as_str(), &content);
    }

    fn flush(&self) {
        flush();
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
    let (lines, ends) = channel::bounded(WAITING_LINES);
    let writer = LineWriter { process: process.to_owned(), lines };
    LINES.set(writer).map_err(|_| eyre::eyre!("logging started twice"))?;
    threads::spawn("log", move || write_all(&ends))?;
    simplelog::CombinedLogger::init(vec![Box::new(JsonLogger { level })])?;
    Ok(())
}

/// Logs a decision: `content` has a field `event` and the inputs that decided it.
pub fn event<T: Serialize>(content: &T) {
    write_line("INFO", content);
}

/// Waits a moment for the lines that are still to be written.
///
/// Called before a process ends, so that its last lines say why; a reader that is stuck must not
/// hold the end up.
pub fn flush() {
    let Some(writer) = LINES.get() else { return };
    let deadline = time::Instant::now() + time::Duration::from_millis(FLUSH_MS);
    while !writer.lines.is_empty() && time::Instant::now() < deadline {
        std::thread::sleep(time::Duration::from_millis(1));
    }
}

fn write_line<T: Serialize>(level: &str, content: &T) {
    let Some(writer) = LINES.get() else { return };
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let time_ms = elapsed.map_or(0, |elapsed| elapsed.as_millis());
    let line = LogLine { time_ms, level, process: &writer.process, content };
    let Ok(mut text) = serde_json::to_string(&line) else { return };
    text.push('\n');
    if writer.lines.try_send(text).is_err() {
        meters::count_drop("log_line");
    }
}

fn write_all(lines: &channel::Receiver<String>) {
    let mut output = io::stdout();
    while let Ok(mut text) = lines.recv_blocking() {
        while let Ok(more) = lines.try_recv() {
            text.push_str(&more);
        }
        // A log that cannot be written must not stop the process that writes it.
        drop(output.write_all(text.as_bytes()).and_then(|()| output.flush()));
    }
}
