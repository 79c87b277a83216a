//! Real processes, started and ended by examples and tests.

use std::collections;
use std::io;
use std::io::BufRead as _;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::thread;
use std::time;

use eyre::WrapErr as _;

/// How long a condition may take to come true before it counts as failed.
///
/// Conditions come true within a second or two; the rest is for machines that are busy.
pub const PATIENCE: time::Duration = time::Duration::from_secs(60);

/// A running process and what it prints.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: process::Child,
    lines: sync::Arc<sync::Mutex<Vec<String>>>,
    paused: bool,
}

impl ChildProcess {
    /// Starts a program.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
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
            collect(output, &lines);
        }
        if let Some(output) = child.stderr.take() {
            collect(output, &lines);
        }
        Ok(ChildProcess { name: name.to_owned(), child, lines, paused: false })
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to shut down.
    pub fn terminate(&self) {
        self.signal(rustix::process::Signal::TERM);
    }

    /// Tells the process to read its settings again.
    pub fn hang_up(&self) {
        self.signal(rustix::process::Signal::HUP);
    }

    /// Freezes the process.
    pub fn pause(&mut self) {
        self.signal(rustix::process::Signal::STOP);
        self.paused = true;
    }

    /// Lets a frozen process go on.
    pub fn resume(&mut self) {
        self.signal(rustix::process::Signal::CONT);
        self.paused = false;
    }

    /// Whether the process has ended, and if so whether it ended well.
    pub fn has_ended(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// Waits until the process has ended; says whether it ended well.
    ///
    /// # Errors
    ///
    /// Fails if it does not end.
    pub fn wait(&mut self) -> eyre::Result<bool> {
        let name = self.name.clone();
        wait_for(&name, || self.has_ended())
    }

    fn signal(&self, signal: rustix::process::Signal) {
        if let Some(pid) = rustix::process::Pid::from_raw(self.child.id() as i32) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }
}

impl ChildProcess {
    /// All that the process has printed.
    pub fn output(&self) -> Vec<String> {
        self.lines.lock().map(|lines| lines.clone()).unwrap_or_default()
    }

    /// The process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a line that `find` finds something in.
    ///
    /// # Errors
    ///
    /// Fails if no such line comes; shows what did.
    pub fn wait_for_line<T>(&self, find: impl Fn(&str) -> Option<T>) -> eyre::Result<T> {
        let found = wait_for(&self.name, || self.output().iter().find_map(|line| find(line)));
        found.wrap_err_with(|| format!("{} printed:\n{}", self.name, self.output().join("\n")))
    }

    /// Waits for the line of JSON with which a stand-in names its addresses.
    ///
    /// # Errors
    ///
    /// Fails if it does not come.
    pub fn addresses(&self) -> eyre::Result<serde_json::Value> {
        self.wait_for_line(|line| {
            let value: serde_json::Value = serde_json::from_str(line).ok()?;
            value.get("control").is_some().then_some(value)
        })
    }

    /// Waits for the log line with which a daemon names its control address.
    ///
    /// # Errors
    ///
    /// Fails if it does not come.
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

/// Waits until `find` finds something.
///
/// # Errors
///
/// Fails if it does not within [`PATIENCE`].
pub fn wait_for<T>(what: &str, mut find: impl FnMut() -> Option<T>) -> eyre::Result<T> {
    let deadline = time::Instant::now() + PATIENCE;
    while time::Instant::now() < deadline {
        if let Some(found) = find() {
            return Ok(found);
        }
        thread::sleep(time::Duration::from_millis(10));
    }
    Err(eyre::eyre!("waited in vain: {what}"))
}

/// The folder that the build puts its programs into.
///
/// # Errors
///
/// Fails if this program is not in a build's folder.
pub fn program_folder() -> eyre::Result<path::PathBuf> {
    let own = std::env::current_exe()?;
    let is_build = |folder: &&path::Path| folder.join("rosemaryusher-agent").exists();
    let found = own.ancestors().skip(1).find(is_build);
    let hint = "rosemaryusher-agent is not built; run `cargo build --workspace`";
    found.map(path::Path::to_owned).ok_or_else(|| eyre::eyre!(hint))
}

/// A folder of this process's own for settings files, removed when it is dropped.
#[derive(Debug)]
pub struct ScratchFolder {
    path: path::PathBuf,
}

impl ScratchFolder {
    /// Makes the folder.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be made.
    pub fn new() -> eyre::Result<ScratchFolder> {
        use sync::atomic;
        static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
        let number = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("rosemaryusher-{}-{number}", process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(ScratchFolder { path })
    }

    /// Writes a file into the folder.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be written.
    pub fn write(&self, name: &str, value: &serde_json::Value) -> eyre::Result<path::PathBuf> {
        let file = self.path.join(name);
        std::fs::write(&file, serde_json::to_string_pretty(value)?)?;
        Ok(file)
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// Names for what is in a fleet, in the order that it was started.
pub type NamedProcesses = collections::BTreeMap<String, ChildProcess>;

fn collect(output: impl io::Read + Send + 'static, lines: &sync::Arc<sync::Mutex<Vec<String>>>) {
    let lines = lines.clone();
    thread::spawn(move || {
        for line in io::BufReader::new(output).lines().map_while(Result::ok) {
            let Ok(mut held) = lines.lock() else { return };
            held.push(line);
        }
    });
}
