//! Starts the threads of a daemon, each with a runtime of its own.

use std::{
    io,
    thread::{Builder, JoinHandle},
};

/// Runs `work` to its end on a thread with an `ntex` system, for duties that make or take calls.
pub(crate) fn spawn_system<F>(
    name: &str,
    work: impl FnOnce() -> F + Send + 'static,
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
            .block_on(async move { work().await });
    })
}

/// Runs `work` to its end on a thread with a timer but no I/O.
///
/// # Errors
///
/// Returns an error when the thread or its runtime can't be made.
pub(crate) fn spawn_timer<F>(
    name: &str,
    work: impl FnOnce() -> F + Send + 'static,
) -> io::Result<JoinHandle<()>>
where
    F: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    let thread = Builder::new().name(name.to_owned());
    thread.spawn(move || runtime.block_on(async move { work().await }))
}
