//! One process of the balancer program: start, readiness, new configuration, kill and restart.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::error::ProcessError;
use super::{health, log, program};

/// A process accepts connections so long after its start at the latest.
const LISTENS_WITHIN: Duration = Duration::from_secs(10);
/// Wait between two looks at a process that is starting.
const LOOK: Duration = Duration::from_millis(10);
/// Tries at a port that something else holds just now.
const PORT_TRIES: u32 = 20;
/// Wait before a restart tries its own port again.
const PORT_PAUSE: Duration = Duration::from_millis(50);

/// A process of the balancer program. It is killed and reaped when dropped.
#[derive(Debug)]
pub struct BalancerProcess {
    launch: Launch,
    child: Mutex<Child>,
}

/// What a process is started from; the same at each restart.
#[derive(Debug)]
struct Launch {
    name: String,
    program: PathBuf,
    configuration: PathBuf,
    log: PathBuf,
    listen: SocketAddr,
}

impl BalancerProcess {
    /// Starts a process that listens at `listen` and returns once it accepts connections there.
    ///
    /// Its configuration and its log (`stderr.log`) lie in the folder `name` of `directory`.
    ///
    /// # Errors
    /// The files cannot be written, the program cannot be run, the port is taken, or the process ends at once.
    pub async fn start(
        program: &Path,
        directory: &Path,
        name: &str,
        configuration: &str,
        listen: SocketAddr,
    ) -> Result<Self, ProcessError> {
        let folder = directory.join(name);
        let launch = Launch {
            name: name.to_owned(),
            program: program.to_owned(),
            configuration: folder.join("config.json"),
            log: folder.join("stderr.log"),
            listen,
        };
        fs::create_dir_all(&folder).map_err(|cause| launch.file_error(&folder, cause))?;
        launch.write(configuration)?;
        let child = launch.spawn()?;
        let process = Self { launch, child: Mutex::new(child) };
        process.listens().await?;
        Ok(process)
    }

    /// Starts a process at a free port, another one if something takes it first. `configuration` is told the
    /// address.
    ///
    /// # Errors
    /// As in [`Self::start`]; [`ProcessError::PortTaken`] only after many tries.
    pub async fn start_anywhere(
        program: &Path,
        directory: &Path,
        name: &str,
        configuration: impl Fn(SocketAddr) -> String,
    ) -> Result<Self, ProcessError> {
        let mut tries = PORT_TRIES;
        loop {
            let listen = program::free_address()
                .map_err(|cause| ProcessError::NoPort { name: name.to_owned(), cause })?;
            let started = Self::start(program, directory, name, &configuration(listen), listen).await;
            tries -= 1;
            match started {
                Err(ProcessError::PortTaken { .. }) if tries > 0 => {}
                started => return started,
            }
        }
    }

    /// Waits until `/_health` answers 200.
    ///
    /// # Errors
    /// The process ends, or is not ready `within` this time.
    pub async fn ready(&self, within: Duration) -> Result<(), ProcessError> {
        let start = Instant::now();
        while !health::is_ready(self.launch.listen).await {
            self.still_runs()?;
            if start.elapsed() >= within {
                return Err(self.late("ready", within));
            }
            sleep(LOOK).await;
        }
        self.still_runs()
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.launch.listen
    }

    /// The id of the process; another one after a restart.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child().id()
    }

    /// Its copy's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.launch.name
    }

    /// Replaces the configuration file as a whole and sends SIGHUP.
    ///
    /// # Errors
    /// The file cannot be written, or the process has ended.
    pub fn replace_configuration(&self, text: &str) -> Result<(), ProcessError> {
        self.launch.write(text)?;
        // Held while it is signalled: until it is reaped its id belongs to no other process.
        let mut child = self.child();
        self.launch.check(&mut child)?;
        let process = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let process = process.ok_or_else(|| self.launch.control_error(io::ErrorKind::NotFound.into()))?;
        kill_process(process, Signal::HUP).map_err(|cause| self.launch.control_error(cause.into()))
    }

    /// How it ended, if it has.
    pub fn exited(&mut self) -> Option<ExitStatus> {
        self.child().try_wait().ok().flatten()
    }

    /// The last lines of its log.
    #[must_use]
    pub fn last_lines(&self) -> String {
        log::last_lines(&self.launch.log)
    }

    /// Kills the process and reaps it; does nothing to one that has ended.
    pub async fn end(&mut self) {
        let _ = self.child().kill();
        while matches!(self.child().try_wait(), Ok(None)) {
            sleep(LOOK).await;
        }
    }

    /// Kills the process and starts it again on the same port, with the configuration as it is in its file.
    ///
    /// # Errors
    /// As in [`Self::start`].
    pub async fn kill_and_restart(&mut self) -> Result<(), ProcessError> {
        self.end().await;
        let mut tries = PORT_TRIES;
        loop {
            *self.child() = self.launch.spawn()?;
            let listens = self.listens().await;
            tries -= 1;
            match listens {
                Err(ProcessError::PortTaken { .. }) if tries > 0 => sleep(PORT_PAUSE).await,
                listens => return listens,
            }
        }
    }

    /// Waits until it accepts connections.
    async fn listens(&self) -> Result<(), ProcessError> {
        let start = Instant::now();
        while TcpStream::connect(self.launch.listen).await.is_err() {
            self.still_runs()?;
            if start.elapsed() >= LISTENS_WITHIN {
                return Err(self.late("listening", LISTENS_WITHIN));
            }
            sleep(LOOK).await;
        }
        // Another process may have taken the port just before, and this one ends for it.
        self.still_runs()
    }

    fn still_runs(&self) -> Result<(), ProcessError> {
        self.launch.check(&mut self.child())
    }

    fn child(&self) -> MutexGuard<'_, Child> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn late(&self, state: &'static str, within: Duration) -> ProcessError {
        ProcessError::Late { name: self.launch.name.clone(), state, within, log: self.last_lines() }
    }
}

impl Drop for BalancerProcess {
    fn drop(&mut self) {
        let mut child = self.child();
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Launch {
    /// Replaces the configuration file at once, so that nobody reads half of it.
    fn write(&self, text: &str) -> Result<(), ProcessError> {
        let next = self.configuration.with_extension("next");
        let written = fs::write(&next, text).and_then(|()| fs::rename(&next, &self.configuration));
        written.map_err(|cause| self.file_error(&self.configuration, cause))
    }

    fn spawn(&self) -> Result<Child, ProcessError> {
        if self.taken() {
            return Err(self.port_taken());
        }
        Command::new(&self.program)
            .env_clear()
            .env("PROXY_CONFIG", &self.configuration)
            .env("PROXY_LISTEN", self.listen.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(self.open_log()?)
            .spawn()
            .map_err(|cause| self.spawn_error(cause))
    }

    /// Whether something else listens at its address.
    fn taken(&self) -> bool {
        TcpListener::bind(self.listen).is_err_and(|error| error.kind() == io::ErrorKind::AddrInUse)
    }

    fn open_log(&self) -> Result<File, ProcessError> {
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        log.map_err(|cause| self.file_error(&self.log, cause))
    }

    /// An error if the process has ended.
    fn check(&self, child: &mut Child) -> Result<(), ProcessError> {
        match child.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(_)) if self.taken() => Err(self.port_taken()),
            Ok(Some(status)) => {
                Err(ProcessError::Exited { name: self.name.clone(), status, log: log::last_lines(&self.log) })
            }
            Err(cause) => Err(self.control_error(cause)),
        }
    }

    fn spawn_error(&self, cause: io::Error) -> ProcessError {
        if cause.kind() == io::ErrorKind::NotFound {
            return ProcessError::NoProgram { path: self.program.clone() };
        }
        ProcessError::Spawn { name: self.name.clone(), program: self.program.clone(), cause }
    }

    fn port_taken(&self) -> ProcessError {
        ProcessError::PortTaken {
            name: self.name.clone(),
            address: self.listen,
            log: log::last_lines(&self.log),
        }
    }

    fn file_error(&self, path: &Path, cause: io::Error) -> ProcessError {
        ProcessError::File { name: self.name.clone(), path: path.to_owned(), cause }
    }

    fn control_error(&self, cause: io::Error) -> ProcessError {
        ProcessError::Control { name: self.name.clone(), cause }
    }
}

#[cfg(test)]
mod tests;
