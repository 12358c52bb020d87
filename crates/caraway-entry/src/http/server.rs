//! Starts the HTTP server and lists its paths.

use std::{
    io,
    net::TcpListener,
    sync::{Arc, Mutex, PoisonError, mpsc},
    thread::JoinHandle,
};

use anyhow::{Context, Result};
use ntex::{
    time::Seconds,
    web::{self, App, HttpServer, ServiceConfig},
};

use super::{admin, completions, gate::Gate, peer, service_path};
use crate::{shared::Shared, threads};

/// The handle of a running server.
#[derive(Debug)]
pub(crate) struct Server {
    stop: Mutex<Option<tokio::sync::oneshot::Sender<()>>>,
}

impl Server {
    /// Closes the listener and every connection.
    pub(crate) fn stop(&self) {
        let mut stop = self.stop.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(stop) = stop.take() {
            let _ = stop.send(());
        }
    }
}

/// Serves `listener` on a thread of its own.
///
/// # Errors
///
/// Returns an error when the thread or the server can't be started.
pub(crate) fn start(
    shared: &Arc<Shared>,
    listener: TcpListener,
) -> Result<(Server, JoinHandle<()>)> {
    let (stop, stopped) = tokio::sync::oneshot::channel();
    let (ready, started) = mpsc::channel();
    let shared = Arc::clone(shared);
    let thread = threads::spawn_ntex("http", move || serve(shared, listener, stopped, ready))?;
    started
        .recv()
        .context("the http thread ended early")?
        .context("the http server can't start")?;
    let stop = Mutex::new(Some(stop));
    Ok((Server { stop }, thread))
}

async fn serve(
    shared: Arc<Shared>,
    listener: TcpListener,
    stopped: tokio::sync::oneshot::Receiver<()>,
    ready: mpsc::Sender<io::Result<()>>,
) {
    let factory = async move || {
        let gate = Gate::new(Arc::clone(&shared));
        App::new().state(gate).configure(paths)
    };
    let server = HttpServer::new(factory)
        .workers(1)
        .disable_signals()
        .shutdown_timeout(Seconds(1))
        .listen(listener);
    match server {
        Ok(server) => {
            let server = server.run();
            let _ = ready.send(Ok(()));
            let _ = stopped.await;
            server.stop(false).await;
        }
        Err(error) => {
            let _ = ready.send(Err(error));
        }
    }
}

fn paths(config: &mut ServiceConfig) {
    config
        .service(web::resource("/v1/completions").route(web::post().to(completions::text)))
        .service(web::resource("/v1/chat/completions").route(web::post().to(completions::chat)))
        .service(web::resource("/peer/completions").route(web::post().to(peer::completions)))
        .service(web::resource("/peer/records").route(web::post().to(peer::records)))
        .service(web::resource("/peer/gossip").route(web::post().to(peer::gossip)))
        .service(web::resource("/services/{service}/{path}*").route(web::to(service_path::call)))
        .service(web::resource("/v1/outcomes/{key}").route(web::get().to(service_path::outcome)))
        .service(web::resource("/healthz").route(web::get().to(admin::healthz)))
        .service(web::resource("/readyz").route(web::get().to(admin::readyz)))
        .service(web::resource("/admin/burn").route(web::get().to(admin::burn)))
        .service(web::resource("/metrics").route(web::get().to(admin::metrics)))
        .service(web::resource("/admin/status").route(web::get().to(admin::status)));
}
