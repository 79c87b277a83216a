//! Signals that arrive while a process starts.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use rosemaryusher_standins::process;

/// Starts a program that waits for its settings, sends it a signal, and releases the settings.
fn start_signalled(
    program: &str,
    command: Option<&str>,
    settings: &serde_json::Value,
    signal: impl Fn(&process::ChildProcess),
) -> process::ChildProcess {
    let folder = process::TempDir::new().unwrap();
    let pending = folder.pend("settings.json", settings).unwrap();
    let file = process::program_dir().unwrap().join(program);
    let arguments = command.map(str::to_owned).into_iter();
    let path = pending.path().display().to_string();
    let arguments: Vec<_> = arguments.chain(["--settings".to_owned(), path]).collect();
    let mut child = process::ChildProcess::start(program, &file, &arguments).unwrap();
    let reader = pending.wait_for_reader().unwrap();
    signal(&child);
    // Fails if the signal has ended the process.
    let released = reader.release();
    assert!(released.is_ok(), "{program}: {released:?}; exited: {:?}", child.wait());
    child
}

fn agent_settings() -> serde_json::Value {
    serde_json::json!({
        "node": { "name": "a", "data_centre": "a", "peers": ["127.0.0.1:9"] },
        "service": "wallet",
        "backend": { "requests": "127.0.0.1:9" },
    })
}

fn balancer_settings() -> serde_json::Value {
    serde_json::json!({
        "node": { "name": "b", "data_centre": "a", "peers": ["127.0.0.1:9"] },
    })
}

/// SIGHUP must not end a process: callers would lose it for the time of a restart. It has no other
/// effect, as these settings are read only at the start.
#[test]
fn reload_ignored() {
    let hang_up = |child: &process::ChildProcess| child.hang_up();
    for mut child in [
        start_signalled("rosemaryusher-agent", None, &agent_settings(), hang_up),
        start_signalled("rosemaryusher", Some("run"), &balancer_settings(), hang_up),
    ] {
        child.control_address().unwrap();
        child.hang_up();
        child.wait_for_line(|line| line.contains("SIGHUP has no effect").then_some(())).unwrap();
        assert_eq!(child.exit_success(), None);
    }
}

/// SIGTERM before the settings are read must lead to a graceful shutdown, not end the process at
/// once.
#[test]
fn shutdown_kept() {
    let terminate = |child: &process::ChildProcess| child.terminate();
    for mut child in [
        start_signalled("rosemaryusher-agent", None, &agent_settings(), terminate),
        start_signalled("rosemaryusher", Some("run"), &balancer_settings(), terminate),
    ] {
        assert!(child.wait().unwrap(), "{:?}", child.output());
        assert!(child.output().iter().any(|line| line.contains("draining")));
    }
}
