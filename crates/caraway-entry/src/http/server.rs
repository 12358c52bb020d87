//! Starts the HTTP server and registers its paths.

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

use super::{admin, app_state::AppState, completions, peer, services};
use crate::{shared::Shared, threads};

/// Handle of a running HTTP server.
#[derive(Debug)]
pub(crate) struct Server {
    /// Signals the server to stop; `None` once it was used.
    stop: Mutex<Option<tokio::sync::oneshot::Sender<()>>>,
}

impl Server {
    /// Closes the listener and all connections; further calls have no effect.
    pub(crate) fn stop(&self) {
        let mut stop = self.stop.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(stop) = stop.take() {
            let _ = stop.send(());
        }
    }
}

/// Starts a thread that serves connections of `listener`, and waits until it is ready.
///
/// # Errors
///
/// Returns an error if the thread or the server can't be started.
pub(crate) fn start(
    shared: &Arc<Shared>,
    listener: TcpListener,
) -> Result<(Server, JoinHandle<()>)> {
    let (stop, stop_signal) = tokio::sync::oneshot::channel();
    let (ready, started) = mpsc::channel();
    let shared = Arc::clone(shared);
    let thread = threads::spawn_ntex("http", move || serve(shared, listener, stop_signal, ready))?;
    started
        .recv()
        .context("the http thread exited before the server was ready")?
        .context("can't start the http server")?;
    let stop = Mutex::new(Some(stop));
    Ok((Server { stop }, thread))
}

async fn serve(
    shared: Arc<Shared>,
    listener: TcpListener,
    stop_signal: tokio::sync::oneshot::Receiver<()>,
    ready: mpsc::Sender<io::Result<()>>,
) {
    let factory = async move || {
        let app = AppState::new(Arc::clone(&shared));
        App::new().state(app).configure(add_routes)
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
            let _ = stop_signal.await;
            server.stop(false).await;
        }
        Err(error) => {
            let _ = ready.send(Err(error));
        }
    }
}

fn add_routes(config: &mut ServiceConfig) {
    config
        .service(
            web::resource("/v1/completions").route(web::post().to(completions::text_completion)),
        )
        .service(
            web::resource("/v1/chat/completions")
                .route(web::post().to(completions::chat_completion)),
        )
        .service(web::resource("/peer/completions").route(web::post().to(peer::completions)))
        .service(web::resource("/peer/records").route(web::post().to(peer::records)))
        .service(web::resource("/peer/gossip").route(web::post().to(peer::gossip)))
        .service(web::resource("/services/{service}/{path}*").route(web::to(services::call)))
        .service(web::resource("/v1/outcomes/{key}").route(web::get().to(services::outcome)))
        .service(web::resource("/healthz").route(web::get().to(admin::healthz)))
        .service(web::resource("/readyz").route(web::get().to(admin::readyz)))
        .service(web::resource("/admin/burn").route(web::get().to(admin::burn)))
        .service(web::resource("/metrics").route(web::get().to(admin::metrics)))
        .service(web::resource("/admin/status").route(web::get().to(admin::status)));
}
