//! Signals that end a run before its time.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// Tells whoever asks that the program shall end.
#[derive(Debug, Clone)]
pub struct Interrupt(watch::Receiver<Option<&'static str>>);

impl Interrupt {
    /// Takes SIGINT and SIGTERM from now on. Needs a runtime.
    ///
    /// # Errors
    /// The signals cannot be taken.
    pub fn on_signals() -> io::Result<Self> {
        let interrupt = signal(SignalKind::interrupt())?;
        let terminate = signal(SignalKind::terminate())?;
        let (sender, receiver) = watch::channel(None);
        tokio::spawn(pass_on(interrupt, terminate, sender));
        Ok(Self(receiver))
    }

    /// Waits for a signal and tells its name; at once if it has come already.
    pub async fn interrupted(&self) -> &'static str {
        let mut receiver = self.0.clone();
        let come = receiver.wait_for(Option::is_some).await.ok().and_then(|name| *name);
        match come {
            Some(name) => name,
            None => std::future::pending().await,
        }
    }
}

async fn pass_on(mut interrupt: Signal, mut terminate: Signal, sender: watch::Sender<Option<&'static str>>) {
    let name = tokio::select! {
        _ = interrupt.recv() => "SIGINT",
        _ = terminate.recv() => "SIGTERM",
    };
    sender.send_replace(Some(name));
    sender.closed().await;
}
