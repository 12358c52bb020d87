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
pub(crate) struct Place {
    /// Executable of the gateway.
    pub(crate) program: PathBuf,
    /// Directory of the settings files and logs.
    pub(crate) folder: PathBuf,
}

/// One gateway instance, whose process may be running.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) name: String,
    pub(crate) front: SocketAddr,
    place: Place,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings of an instance that reaches the store at `store`, and starts it.
    ///
    /// An instance with `is_weak` gets limited resources; it hands over its zone to an instance
    /// without this limit.
    pub(crate) fn start(
        place: &Place,
        name: &str,
        zone: &str,
        zones: &[&str],
        store: SocketAddr,
        is_weak: bool,
    ) -> Result<Self> {
        let [front, ready, peers] = free_addrs().context("no free ports")?;
        let addresses = Addresses {
            front,
            ready,
            peers,
            store,
        };
        let mut text = settings(name, zone, zones, &addresses);
        if is_weak {
            limit_resources(&mut text);
        }
        let mut gateway = Self {
            name: name.to_owned(),
            front,
            place: place.clone(),
            child: None,
        };
        std::fs::write(gateway.file("json"), text.to_string())
            .context("can't write the settings")?;
        gateway.run()?;
        Ok(gateway)
    }

    /// Starts the process unless it is running.
    pub(crate) fn run(&mut self) -> Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.file("log"))
            .context("can't write the log")?;
        let child = Command::new(&self.place.program)
            .arg("--settings")
            .arg(self.file("json"))
            .stdout(log)
            .stderr(Stdio::inherit())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("can't start {}", self.place.program.display()))?;
        self.child = Some(child);
        Ok(())
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

    /// Returns the path of a file of the gateway with the extension `kind`.
    fn file(&self, kind: &str) -> PathBuf {
        Path::new(&self.place.folder).join(format!("{}.{kind}", self.name))
    }
}
