//! The balancer process: reads its configuration, serves until SIGTERM or SIGINT, then drains. SIGHUP makes
//! it reload the configuration.

use std::process::ExitCode;

use stilelead::config::{Config, ConfigError};
use stilelead::{logging, server};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};

fn main() -> ExitCode {
    if let Err(error) = logging::start() {
        eprintln!("stilelead: {error}");
        return ExitCode::FAILURE;
    }
    let config = match Config::from_environment() {
        Ok(config) => config,
        Err(error) => {
            eprintln!("stilelead: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = Builder::new_current_thread().enable_all().build().and_then(|runtime| {
        LocalSet::new().block_on(&runtime, async {
            // Signal handlers are installed before the address is bound: signals may arrive from then on.
            let mut terminate = signal(SignalKind::terminate())?;
            let mut interrupt = signal(SignalKind::interrupt())?;
            let hangup = signal(SignalKind::hangup())?;
            let (reload_sender, reloads) = unbounded_channel();
            spawn_local(reload_on_hangup(hangup, reload_sender));
            let stop = async move {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
            };
            server::serve(config, reloads, stop).await
        })
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stilelead: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the configuration again at each SIGHUP and sends it on, or the reason why it cannot be used.
async fn reload_on_hangup(mut hangup: Signal, reload_sender: UnboundedSender<Result<Config, ConfigError>>) {
    while hangup.recv().await.is_some() {
        if reload_sender.send(Config::reread()).is_err() {
            return;
        }
    }
}
