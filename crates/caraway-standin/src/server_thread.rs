//! [`ServerThread`]: one HTTP server in its own thread with its own ntex system.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{Arc, mpsc},
    thread::{self, JoinHandle},
};

use ntex::{
    rt::{DefaultRuntime, System},
    server::Server,
    time::Seconds,
    web::{App, HttpServer, ServiceConfig},
};
use tokio::sync::Notify;

/// A running server; dropping it stops the server.
#[derive(Debug)]
pub(crate) struct ServerThread {
    addr: SocketAddr,
    stop: Arc<Notify>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Starts a thread called `name` that serves `routes` with the shared `state` on `port` of the
    /// loopback address, and runs `task` beside the server until the server stops. Port zero lets
    /// the operating system choose.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the port, spawning the thread or starting the server.
    pub(crate) fn start<T, F>(
        name: &str,
        port: u16,
        state: Arc<T>,
        routes: fn(&mut ServiceConfig),
        task: impl FnOnce(Arc<T>) -> F + Send + 'static,
    ) -> io::Result<Self>
    where
        T: Send + Sync + 'static,
        F: Future<Output = ()> + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
        let addr = listener.local_addr()?;
        let stop = Arc::new(Notify::new());
        let stop_signal = Arc::clone(&stop);
        let (startup_sender, startup) = mpsc::channel();
        let thread_main = move || {
            let serve = async move {
                let shared = Arc::clone(&state);
                let server = match start_server(listener, shared, routes) {
                    Ok(server) => server,
                    Err(error) => return drop(startup_sender.send(Err(error))),
                };
                drop(startup_sender.send(Ok(())));
                tokio::select! {
                    () = stop_signal.notified() => {}
                    () = run_and_never_return(task(state)) => {}
                }
                server.stop(false).await;
            };
            System::build().build(DefaultRuntime).block_on(serve);
        };
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(thread_main)?;
        startup.recv().map_err(io::Error::other)??;
        Ok(Self {
            addr,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address of the server.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the server and waits for its thread to end.
    pub(crate) fn stop(&mut self) {
        self.stop.notify_one();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts an HTTP server with one worker on `listener`.
fn start_server<T: Send + Sync + 'static>(
    listener: TcpListener,
    state: Arc<T>,
    routes: fn(&mut ServiceConfig),
) -> io::Result<Server> {
    let app = async move || App::new().state(Arc::clone(&state)).configure(routes);
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .shutdown_timeout(Seconds(0))
        .listen(listener)?;
    Ok(server.run())
}

/// Runs `task` to its end and then waits forever, so that the end of a task does not stop the
/// server.
async fn run_and_never_return(task: impl Future<Output = ()>) {
    task.await;
    std::future::pending::<()>().await;
}
