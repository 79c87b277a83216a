//! Logs as lines of JSON on standard output.
//!
//! Lines go through a bounded queue to a thread of their own, so that a slow reader of the output
//! never blocks a thread that logs. Lines that do not fit are dropped and counted.

use std::io;
use std::io::Write as _;
use std::sync;
use std::time;

use serde::Serialize;
use smol::channel;

use crate::meters;
use crate::settings;
use crate::threads;

/// How many lines may be queued, about 200 KB.
const MAX_QUEUED_LINES: usize = 1_024;

/// How long a flush waits for queued lines.
const FLUSH_TIMEOUT_MS: u64 = 200;

static WRITER: sync::OnceLock<LineWriter> = sync::OnceLock::new();

/// The queue of lines, and the process name in each.
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
struct MessageFields<'a> {
    target: &'a str,
    message: String,
}

/// Writes each record as one line of JSON.
struct JsonLogger {
    level: simplelog::LevelFilter,
}

impl log::Log for JsonLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        // Libraries are logged at warnings and above only.
        let is_own = metadata.target().starts_with("rosemaryusher");
        metadata.level() <= self.level && (is_own || metadata.level() <= log::Level::Warn)
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let content = MessageFields { target: record.target(), message: record.args().to_string() };
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

/// Starts logging as the process `process`.
///
/// # Errors
///
/// Fails if logging is already started.
pub fn start(settings: &settings::LogSettings, process: &str) -> eyre::Result<()> {
    let level = settings.level.filter();
    let (lines, line_receiver) = channel::bounded(MAX_QUEUED_LINES);
    let writer = LineWriter { process: process.to_owned(), lines };
    WRITER.set(writer).map_err(|_| eyre::eyre!("logging is already started"))?;
    threads::spawn("log", move || write_all(&line_receiver))?;
    simplelog::CombinedLogger::init(vec![Box::new(JsonLogger { level })])?;
    Ok(())
}

/// Logs a structured event: `content` has a field `event` and the event's data.
pub fn event<T: Serialize>(content: &T) {
    write_line("INFO", content);
}

/// Waits for queued lines to be written, for a limited time.
///
/// To be called before the process exits, so that its last lines are not lost.
pub fn flush() {
    let Some(writer) = WRITER.get() else { return };
    let deadline = time::Instant::now() + time::Duration::from_millis(FLUSH_TIMEOUT_MS);
    while !writer.lines.is_empty() && time::Instant::now() < deadline {
        std::thread::sleep(time::Duration::from_millis(1));
    }
}

fn write_line<T: Serialize>(level: &str, content: &T) {
    let Some(writer) = WRITER.get() else { return };
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
        // A process goes on without logs if its output is closed.
        drop(output.write_all(text.as_bytes()).and_then(|()| output.flush()));
    }
}
