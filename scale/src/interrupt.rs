//! Signals that end a run early.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// Reports that SIGINT or SIGTERM was received and the program has to end.
#[derive(Debug, Clone)]
pub struct Interrupt(watch::Receiver<Option<&'static str>>);

impl Interrupt {
    /// Handles SIGINT and SIGTERM from now on. Must be called within a runtime.
    ///
    /// # Errors
    /// The signal handlers cannot be installed.
    pub fn on_signals() -> io::Result<Self> {
        let interrupt = signal(SignalKind::interrupt())?;
        let terminate = signal(SignalKind::terminate())?;
        let (sender, receiver) = watch::channel(None);
        tokio::spawn(forward_first_signal(interrupt, terminate, sender));
        Ok(Self(receiver))
    }

    /// Waits for a signal and returns its name; at once if one was already received.
    pub async fn interrupted(&self) -> &'static str {
        let mut receiver = self.0.clone();
        let received = receiver.wait_for(Option::is_some).await.ok().and_then(|name| *name);
        match received {
            Some(name) => name,
            None => std::future::pending().await,
        }
    }
}

async fn forward_first_signal(
    mut interrupt: Signal,
    mut terminate: Signal,
    sender: watch::Sender<Option<&'static str>>,
) {
    let name = tokio::select! {
        _ = interrupt.recv() => "SIGINT",
        _ = terminate.recv() => "SIGTERM",
    };
    sender.send_replace(Some(name));
    sender.closed().await;
}
