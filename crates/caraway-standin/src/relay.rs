//! [`Relays`]: TCP relays between two processes, which simulate network faults.

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

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

/// A thread that runs relays; dropping it stops them.
#[derive(Debug)]
pub struct Relays {
    handle: Handle,
    stop: Arc<Notify>,
    thread: Option<JoinHandle<()>>,
}

/// One relay, which listens on an address of its own and forwards to its target.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    state: watch::Sender<RelayState>,
}

/// Faults to inject into the connections of a relay; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaults {
    /// Which direction of the traffic is forwarded.
    pub mode: RelayMode,
    /// Delay before each chunk of data is forwarded.
    pub delay: Millis,
    /// Stops forwarding on all connections that are open now, permanently but without closing them;
    /// new connections work.
    pub silence: bool,
}

/// Which direction of the traffic a relay forwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// Both directions.
    #[default]
    Pass,
    /// Neither: connections stay open, and buffered data is forwarded after the mode changes back.
    Cut,
    /// Only from the caller to the target.
    OnlyRequests,
    /// Only from the target to the caller.
    OnlyAnswers,
    /// Neither: open and new connections are closed.
    Closed,
}

/// State of a relay, which its connections watch.
#[derive(Clone, Copy, Debug, Default)]
struct RelayState {
    faults: RelayFaults,
    /// Serial number of the next connection.
    next_serial: u64,
    /// Connections with a smaller serial number forward nothing.
    silent_below: u64,
}

/// Direction of traffic: from the caller (`Request`) or from the target (`Answer`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl Relays {
    /// Starts the thread, without relays.
    ///
    /// # Errors
    ///
    /// Returns the error of starting the thread or its runtime.
    pub fn start() -> io::Result<Self> {
        let stop = Arc::new(Notify::new());
        let stop_signal = Arc::clone(&stop);
        let (startup_sender, startup) = mpsc::channel();
        let thread_main = move || match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => {
                drop(startup_sender.send(Ok(runtime.handle().clone())));
                runtime.block_on(stop_signal.notified());
            }
            Err(error) => drop(startup_sender.send(Err(error))),
        };
        let thread = thread::Builder::new()
            .name("relays".into())
            .spawn(thread_main)?;
        let handle = startup.recv().map_err(io::Error::other)??;
        Ok(Self {
            handle,
            stop,
            thread: Some(thread),
        })
    }

    /// Starts a relay to `target` that listens on `port` of the loopback address; port zero lets
    /// the operating system choose.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the port.
    pub fn add(&self, target: SocketAddr, port: u16) -> io::Result<Relay> {
        let listener = StdListener::bind((Ipv4Addr::LOCALHOST, port))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (state, _) = watch::channel(RelayState::default());
        let shared = state.clone();
        self.handle.spawn(async move {
            if let Ok(listener) = TcpListener::from_std(listener) {
                accept_connections(listener, target, shared).await;
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
    /// Returns the address on which the relay listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: RelayFaults) {
        self.state.send_modify(|state| {
            state.faults = faults;
            if faults.silence {
                state.silent_below = state.next_serial;
            }
        });
    }
}

impl RelayState {
    /// Returns whether data may pass on the connection with this serial number.
    fn allows(&self, direction: Direction, serial: u64) -> bool {
        let passes = match self.faults.mode {
            RelayMode::Pass => true,
            RelayMode::Cut | RelayMode::Closed => false,
            RelayMode::OnlyRequests => direction == Direction::Request,
            RelayMode::OnlyAnswers => direction == Direction::Answer,
        };
        passes && serial >= self.silent_below
    }
}

/// Accepts connections until the thread stops.
async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Sender<RelayState>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        let mut serial = 0;
        state.send_modify(|s| {
            serial = s.next_serial;
            s.next_serial += 1;
        });
        tokio::spawn(relay_connection(caller, target, state.subscribe(), serial));
    }
}

/// Relays one connection until both directions have ended, one fails, or the mode becomes `Closed`.
async fn relay_connection(
    caller: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<RelayState>,
    serial: u64,
) {
    let states = (state.clone(), state.clone());
    let relay = async move {
        let mut requests = states.0.clone();
        let allowed = |s: &RelayState| s.allows(Direction::Request, serial);
        requests.wait_for(allowed).await.map_err(io::Error::other)?;
        let target = TcpStream::connect(target).await?;
        caller.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let (caller_in, caller_out) = caller.into_split();
        let (target_in, target_out) = target.into_split();
        tokio::try_join!(
            copy_direction(caller_in, target_out, states.0, Direction::Request, serial),
            copy_direction(target_in, caller_out, states.1, Direction::Answer, serial),
        )
    };
    tokio::select! {
        result = relay => drop(result),
        closed = state.wait_for(|s| s.faults.mode == RelayMode::Closed) => drop(closed),
    }
}

/// Forwards one direction of a connection, with the active faults, until its end.
async fn copy_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<RelayState>,
    direction: Direction,
    serial: u64,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        apply_delay(&state).await;
        let allowed = |s: &RelayState| s.allows(direction, serial);
        state.wait_for(allowed).await.map_err(io::Error::other)?;
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Waits for the delay of the active faults.
async fn apply_delay(state: &watch::Receiver<RelayState>) {
    let delay = state.borrow().faults.delay.get();
    if delay > Duration::ZERO {
        tokio::time::sleep(delay).await;
    }
}
