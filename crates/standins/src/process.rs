//! Child processes of the demo, the benches and tests.

use std::collections;
use std::io;
use std::io::BufRead as _;
use std::io::Write as _;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::thread;
use std::time;

use eyre::WrapErr as _;

/// Time limit of [`wait_for`], long enough for a busy machine.
pub const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// A child process and its output, killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: process::Child,
    lines: sync::Arc<sync::Mutex<Vec<String>>>,
    paused: bool,
}

impl ChildProcess {
    /// Starts `program`; `name` identifies the process in error messages.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn start(name: &str, program: &path::Path, arguments: &[String]) -> eyre::Result<Self> {
        let mut child = process::Command::new(program)
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(process::Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("cannot start {program:?}"))?;
        let lines = sync::Arc::default();
        if let Some(output) = child.stdout.take() {
            collect_lines(output, &lines);
        }
        if let Some(output) = child.stderr.take() {
            collect_lines(output, &lines);
        }
        Ok(ChildProcess { name: name.to_owned(), child, lines, paused: false })
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, which asks for a graceful shutdown.
    pub fn terminate(&self) {
        self.send_signal(rustix::process::Signal::TERM);
    }

    /// Sends SIGHUP, which reloads the settings.
    pub fn hang_up(&self) {
        self.send_signal(rustix::process::Signal::HUP);
    }

    /// Suspends the process.
    pub fn pause(&mut self) {
        self.send_signal(rustix::process::Signal::STOP);
        self.paused = true;
    }

    /// Resumes a suspended process.
    pub fn resume(&mut self) {
        self.send_signal(rustix::process::Signal::CONT);
        self.paused = false;
    }

    /// Whether the process exited with success; `None` while it runs.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// Waits for the process to exit; returns whether it exited with success.
    ///
    /// # Errors
    ///
    /// Fails on timeout.
    pub fn wait(&mut self) -> eyre::Result<bool> {
        let name = self.name.clone();
        wait_for(&name, || self.exit_success())
    }

    fn send_signal(&self, signal: rustix::process::Signal) {
        if let Some(pid) = rustix::process::Pid::from_raw(self.child.id() as i32) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }
}

impl ChildProcess {
    /// Lines of standard output and standard error so far.
    pub fn output(&self) -> Vec<String> {
        self.lines.lock().map(|lines| lines.clone()).unwrap_or_default()
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process handles SIGHUP and SIGTERM; until it does, they end it.
    pub fn handles_signals(&self) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        let signals = [rustix::process::Signal::HUP, rustix::process::Signal::TERM];
        let mask = signals.iter().fold(0, |mask, signal| mask | 1 << (signal.as_raw() - 1));
        caught.is_some_and(|caught| caught & mask == mask)
    }

    /// Waits for an output line for which `parse` returns a value; returns that value.
    ///
    /// # Errors
    ///
    /// Fails on timeout; the error contains the output.
    pub fn wait_for_line<T>(&self, parse: impl Fn(&str) -> Option<T>) -> eyre::Result<T> {
        let found = wait_for(&self.name, || self.output().iter().find_map(|line| parse(line)));
        found.wrap_err_with(|| format!("{} printed:\n{}", self.name, self.output().join("\n")))
    }

    /// Waits for the line of JSON in which a stand-in prints its addresses.
    ///
    /// # Errors
    ///
    /// Fails on timeout.
    pub fn addresses(&self) -> eyre::Result<serde_json::Value> {
        self.wait_for_line(|line| {
            let value: serde_json::Value = serde_json::from_str(line).ok()?;
            value.get("control").is_some().then_some(value)
        })
    }

    /// Waits for the log line in which a daemon reports its control address.
    ///
    /// # Errors
    ///
    /// Fails on timeout.
    pub fn control_address(&self) -> eyre::Result<net::SocketAddr> {
        self.wait_for_line(|line| {
            let (_, rest) = line.split_once("listening control=")?;
            rest.split_whitespace().next()?.parse().ok()
        })
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        if self.paused {
            self.resume();
        }
        self.kill();
    }
}

/// Polls until `poll` returns a value; `what` names the condition in the error.
///
/// # Errors
///
/// Fails if there is no value within [`WAIT_TIMEOUT`].
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> eyre::Result<T> {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    while time::Instant::now() < deadline {
        if let Some(found) = poll() {
            return Ok(found);
        }
        thread::sleep(time::Duration::from_millis(10));
    }
    Err(eyre::eyre!("timed out waiting for {what}"))
}

/// Directory of the built programs.
///
/// # Errors
///
/// Fails if no ancestor directory of the current executable contains them.
pub fn program_dir() -> eyre::Result<path::PathBuf> {
    let own = std::env::current_exe()?;
    let is_build = |directory: &&path::Path| directory.join("rosemaryusher-agent").exists();
    let found = own.ancestors().skip(1).find(is_build);
    let hint = "rosemaryusher-agent is not built; run `cargo build --workspace`";
    found.map(path::Path::to_owned).ok_or_else(|| eyre::eyre!(hint))
}

/// A temporary directory for settings files, removed when dropped.
#[derive(Debug)]
pub struct TempDir {
    path: path::PathBuf,
}

impl TempDir {
    /// Creates the directory.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be created.
    pub fn new() -> eyre::Result<TempDir> {
        use sync::atomic;
        static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
        let number = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("rosemaryusher-{}-{number}", process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(TempDir { path })
    }

    /// Writes a JSON file into the directory; returns its path.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write(&self, name: &str, value: &serde_json::Value) -> eyre::Result<path::PathBuf> {
        let file = self.path.join(name);
        std::fs::write(&file, serde_json::to_string_pretty(value)?)?;
        Ok(file)
    }
}

/// A settings file whose contents a process waits for: a named pipe.
///
/// Holds a process at the read of its settings, so that a test can act at that moment.
#[derive(Debug)]
pub struct PendingSettings {
    path: path::PathBuf,
    settings: path::PathBuf,
    text: Vec<u8>,
}

impl TempDir {
    /// Creates a file that yields these settings once they are released.
    ///
    /// The file `NAME.next` then takes its place; it has the same contents unless a test writes
    /// others.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be created.
    pub fn pend(&self, name: &str, value: &serde_json::Value) -> eyre::Result<PendingSettings> {
        let settings = self.write(&format!("{name}.next"), value)?;
        let path = self.path.join(name);
        let mode = rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR;
        rustix::fs::mknodat(rustix::fs::CWD, &path, rustix::fs::FileType::Fifo, mode, 0)?;
        let text = std::fs::read(&settings)?;
        Ok(PendingSettings { path, settings, text })
    }
}

impl PendingSettings {
    /// The path to give to the process.
    pub fn path(&self) -> &path::Path {
        &self.path
    }

    /// Waits until a process reads the file.
    ///
    /// # Errors
    ///
    /// Fails on timeout.
    pub fn wait_for_reader(&self) -> eyre::Result<HeldReader<'_>> {
        let open = || {
            let flags = rustix::fs::OFlags::WRONLY | rustix::fs::OFlags::NONBLOCK;
            rustix::fs::open(&self.path, flags, rustix::fs::Mode::empty()).ok()
        };
        let pipe = wait_for("a process that reads its settings", open)?;
        Ok(HeldReader { pipe: pipe.into(), pending: self })
    }
}

/// A process that waits for its settings.
#[derive(Debug)]
pub struct HeldReader<'a> {
    pipe: std::fs::File,
    pending: &'a PendingSettings,
}

impl HeldReader<'_> {
    /// Gives the process its settings, and puts a plain file in the place of the pipe.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or written.
    pub fn release(mut self) -> eyre::Result<()> {
        std::fs::rename(&self.pending.settings, &self.pending.path)?;
        self.pipe.write_all(&self.pending.text)?;
        Ok(())
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// Processes by name.
pub type NamedProcesses = collections::BTreeMap<String, ChildProcess>;

fn collect_lines(
    output: impl io::Read + Send + 'static,
    lines: &sync::Arc<sync::Mutex<Vec<String>>>,
) {
    let lines = lines.clone();
    thread::spawn(move || {
        for line in io::BufReader::new(output).lines().map_while(Result::ok) {
            let Ok(mut collected) = lines.lock() else { return };
            collected.push(line);
        }
    });
}
