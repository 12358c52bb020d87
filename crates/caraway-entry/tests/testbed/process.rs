//! [`EntryProcess`]: an entry instance as a separate process that can be killed, paused and
//! drained.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

use serde_json::Value;

/// Number of started processes; makes the names of their files unique.
static STARTS: AtomicU32 = AtomicU32::new(0);

/// An entry instance in a process of its own; killed on drop.
#[derive(Debug)]
pub(crate) struct EntryProcess {
    pub(crate) addr: SocketAddr,
    child: Child,
}

impl EntryProcess {
    /// Starts the daemon with its settings and log file in the target directory, and waits until it
    /// listens.
    pub(crate) fn start(settings: &Value) -> Self {
        let number = STARTS.fetch_add(1, Ordering::Relaxed);
        let name = format!("{}-{number}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = dir.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("the settings are written");
        let log = File::create(dir.join(format!("{name}.log"))).expect("the log file opens");
        let mut child = Command::new(env!("CARGO_BIN_EXE_caraway-entry"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        let out = child.stdout.take().expect("its output is piped");
        let mut line = String::new();
        BufReader::new(out)
            .read_line(&mut line)
            .expect("the daemon prints its address");
        let addr = line.trim().trim_start_matches("listening ");
        let addr = addr.parse().expect("an address");
        Self { addr, child }
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses the process with SIGSTOP.
    pub(crate) fn freeze(&self) {
        self.signal("STOP");
    }

    /// Resumes a paused process with SIGCONT.
    pub(crate) fn thaw(&self) {
        self.signal("CONT");
    }

    /// Starts a graceful stop with SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Waits for the end of the process; returns whether it exited successfully.
    pub(crate) fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(status.is_ok_and(|s| s.success()), "the signal is sent");
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
