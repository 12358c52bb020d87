//! [`Relays`]: TCP relays between two processes, which can be cut or slowed.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener as StdListener},
    sync::{Arc, mpsc},
    thread::{self, JoinHandle},
    time::Duration,
};

use caraway_types::Millis;
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    runtime::{Builder, Handle},
    sync::{Notify, watch},
};

/// Bytes that a relay holds in each direction of a connection.
const BUFFER: usize = 16 << 10;

/// A thread that runs relays; stops when dropped.
#[derive(Debug)]
pub struct Relays {
    handle: Handle,
    stop: Arc<Notify>,
    thread: Option<JoinHandle<()>>,
}

/// One relay in front of one address.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    state: watch::Sender<State>,
}

/// What a relay does to its connections, nothing by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaults {
    /// What passes.
    pub mode: RelayMode,
    /// Time that each piece of data is held.
    pub delay: Millis,
    /// Silences the connections that are open now, for good; new ones work.
    pub silence: bool,
}

/// What a relay lets pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// Everything.
    #[default]
    Pass,
    /// Nothing: connections stay open, and what was sent arrives once the cut heals.
    Cut,
    /// Only what the caller sends.
    OnlyRequests,
    /// Only what the target sends.
    OnlyAnswers,
    /// Nothing: open connections are closed, and so are new ones.
    Closed,
}

/// What the connections of a relay follow.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    faults: RelayFaults,
    /// Serial number of the next connection.
    next: u64,
    /// Connections below this serial number are silent.
    silent_below: u64,
}

/// Where the data of one direction goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl Relays {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the error of starting the thread or its runtime.
    pub fn start() -> io::Result<Self> {
        let stop = Arc::new(Notify::new());
        let stopped = Arc::clone(&stop);
        let (ready, started) = mpsc::channel();
        let main = move || match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => {
                drop(ready.send(Ok(runtime.handle().clone())));
                runtime.block_on(stopped.notified());
            }
            Err(error) => drop(ready.send(Err(error))),
        };
        let thread = thread::Builder::new().name("relays".into()).spawn(main)?;
        let handle = started.recv().map_err(io::Error::other)??;
        Ok(Self {
            handle,
            stop,
            thread: Some(thread),
        })
    }

    /// Adds a relay to `target` on `port` of the loopback, zero for any.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the port.
    pub fn add(&self, target: SocketAddr, port: u16) -> io::Result<Relay> {
        let listener = StdListener::bind((Ipv4Addr::LOCALHOST, port))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (state, _) = watch::channel(State::default());
        let follow = state.clone();
        self.handle.spawn(async move {
            if let Ok(listener) = TcpListener::from_std(listener) {
                accept(listener, target, follow).await;
            }
        });
        Ok(Relay { addr, state })
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.stop.notify_one();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

impl Relay {
    /// Returns the address to use in place of the target's.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: RelayFaults) {
        self.state.send_modify(|state| {
            state.faults = faults;
            if faults.silence {
                state.silent_below = state.next;
            }
        });
    }
}

impl State {
    fn passes(&self, direction: Direction, serial: u64) -> bool {
        let open = match self.faults.mode {
            RelayMode::Pass => true,
            RelayMode::Cut | RelayMode::Closed => false,
            RelayMode::OnlyRequests => direction == Direction::Request,
            RelayMode::OnlyAnswers => direction == Direction::Answer,
        };
        open && serial >= self.silent_below
    }
}

/// Accepts connections for as long as the thread runs.
async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Sender<State>) {
    while let Ok((caller, _)) = listener.accept().await {
        let mut serial = 0;
        state.send_modify(|s| {
            serial = s.next;
            s.next += 1;
        });
        tokio::spawn(connect(caller, target, state.subscribe(), serial));
    }
}

/// Relays one connection until either end closes it or the relay does.
async fn connect(
    caller: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<State>,
    serial: u64,
) {
    let pipes = (state.clone(), state.clone());
    let relay = async move {
        let mut first = pipes.0.clone();
        let passes = |s: &State| s.passes(Direction::Request, serial);
        first.wait_for(passes).await.map_err(io::Error::other)?;
        let target = TcpStream::connect(target).await?;
        caller.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let (caller_in, caller_out) = caller.into_split();
        let (target_in, target_out) = target.into_split();
        tokio::try_join!(
            copy(caller_in, target_out, pipes.0, Direction::Request, serial),
            copy(target_in, caller_out, pipes.1, Direction::Answer, serial),
        )
    };
    tokio::select! {
        result = relay => drop(result),
        closed = state.wait_for(|s| s.faults.mode == RelayMode::Closed) => drop(closed),
    }
}

/// Copies one direction of a connection.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    direction: Direction,
    serial: u64,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER];
    loop {
        let count = from.read(&mut buffer).await?;
        hold(&state).await;
        let passes = |s: &State| s.passes(direction, serial);
        state.wait_for(passes).await.map_err(io::Error::other)?;
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Waits for the delay in force.
async fn hold(state: &watch::Receiver<State>) {
    let delay = state.borrow().faults.delay.get();
    if delay > Duration::ZERO {
        tokio::time::sleep(delay).await;
    }
}
