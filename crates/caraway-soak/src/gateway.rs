//! [`Gateway`]: a gateway process, which is signalled only by the process id of the child that was
//! started.

use std::{
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
};

use anyhow::{Context, Result};
use caraway_platform_standin::{Addresses, free_addrs, limit_resources, settings};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::process::{Child, Command};

/// Paths that all gateways of a run share.
#[derive(Clone, Debug)]
pub(crate) struct GatewayFiles {
    /// Executables of the gateway; there are two if two builds run side by side.
    pub(crate) programs: Vec<PathBuf>,
    /// Directory of the settings files and logs.
    pub(crate) directory: PathBuf,
}

/// One gateway instance, whose process may be running.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) name: String,
    pub(crate) front_addr: SocketAddr,
    files: GatewayFiles,
    /// Index of the executable of the next process.
    build: usize,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings of an instance that reaches the store at `store`, and starts it with one of the
    /// executables, counted over and over.
    ///
    /// An instance with `is_limited` gets limited resources; it hands over its zone to an instance
    /// without this limit.
    pub(crate) fn start(
        files: &GatewayFiles,
        name: &str,
        zone: &str,
        zones: &[&str],
        store: SocketAddr,
        is_limited: bool,
        build: usize,
    ) -> Result<Self> {
        let [front, ready, peers] = free_addrs().context("no free ports")?;
        let addresses = Addresses {
            front,
            ready,
            peers,
            store,
        };
        let mut text = settings(name, zone, zones, &addresses);
        if is_limited {
            limit_resources(&mut text);
        }
        let mut gateway = Self {
            name: name.to_owned(),
            front_addr: front,
            files: files.clone(),
            build,
            child: None,
        };
        std::fs::write(gateway.path("json"), text.to_string())
            .context("can't write the settings")?;
        gateway.ensure_running()?;
        Ok(gateway)
    }

    /// Starts the process unless it is running.
    pub(crate) fn ensure_running(&mut self) -> Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.path("log"))
            .context("can't write the log")?;
        let program = &self.files.programs[self.build % self.files.programs.len()];
        let child = Command::new(program)
            .arg("--settings")
            .arg(self.path("json"))
            .stdout(log)
            .stderr(Stdio::inherit())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("can't start {}", program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Sets that the next process is one of the other build.
    pub(crate) fn change_build(&mut self) {
        self.build += 1;
    }

    /// Returns the number of sessions that it has lost because it did not understand a frame.
    pub(crate) fn count_invalid_frames(&self) -> usize {
        // An instance that has logged nothing has lost none.
        let log = std::fs::read_to_string(self.path("log")).unwrap_or_default();
        let is_invalid = |l: &&str| l.contains("invalid frame");
        log.lines().filter(is_invalid).count()
    }

    /// Sends a signal to the process if it is running.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let id = self.child.as_ref().and_then(Child::id);
        let id = id.and_then(|id| i32::try_from(id).ok());
        if let Some(id) = id {
            // An error means that the process has just exited.
            kill(Pid::from_raw(id), signal).ok();
        }
    }

    /// Returns whether the process is running.
    pub(crate) fn is_running(&mut self) -> bool {
        let running = |c: &mut Child| matches!(c.try_wait(), Ok(None));
        self.child.as_mut().is_some_and(running)
    }

    /// Returns the path of the gateway's file with this extension.
    fn path(&self, extension: &str) -> PathBuf {
        Path::new(&self.files.directory).join(format!("{}.{extension}", self.name))
    }
}
