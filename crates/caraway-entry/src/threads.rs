//! Starts the threads of a daemon, each with its own async runtime.

use std::{
    io,
    thread::{Builder, JoinHandle},
};

/// Runs `task` to completion on a new thread with an `ntex` runtime, for tasks that do network I/O.
///
/// # Errors
///
/// Returns an error when the thread can't be started.
pub(crate) fn spawn_ntex<F>(
    name: &str,
    task: impl FnOnce() -> F + Send + 'static,
) -> io::Result<JoinHandle<()>>
where
    F: Future<Output = ()> + 'static,
{
    let name = name.to_owned();
    Builder::new().name(name.clone()).spawn(move || {
        ntex::rt::System::build()
            .name(name)
            .disable_signals()
            .build(ntex::rt::DefaultRuntime)
            .block_on(async move { task().await });
    })
}

/// Runs `task` to completion on a new thread with a `tokio` runtime that has timers but no I/O.
///
/// # Errors
///
/// Returns an error when the thread can't be started or its runtime can't be created.
pub(crate) fn spawn_tokio<F>(
    name: &str,
    task: impl FnOnce() -> F + Send + 'static,
) -> io::Result<JoinHandle<()>>
where
    F: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    let thread = Builder::new().name(name.to_owned());
    thread.spawn(move || runtime.block_on(async move { task().await }))
}
