//! Executor that runs hyper's tasks on the thread of the event loop.

use std::future::Future;

use hyper::rt::Executor;

/// Spawns futures on the current thread. Unlike `cyper_core::CompioExecutor` it does not require
/// `Send`.
#[derive(Debug, Default, Clone, Copy)]
pub struct LocalExecutor;

impl<F> Executor<F> for LocalExecutor
where
    F: Future + 'static,
{
    fn execute(&self, future: F) {
        compio::runtime::spawn(async move {
            future.await;
        })
        .detach();
    }
}
