//! One process of the balancer program: start, readiness, new configuration, kill and restart.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::error::ProcessError;
use super::port::ReservedPort;
use super::{health, log};

/// Maximum time from the start of a process until it accepts connections.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the state of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process of the balancer program. It is killed and reaped when dropped.
#[derive(Debug)]
pub struct BalancerProcess {
    launch: Launch,
    child: Mutex<Child>,
}

/// What is needed to start the balancer process; the same at each restart.
#[derive(Debug)]
struct Launch {
    name: String,
    program: PathBuf,
    configuration_file: PathBuf,
    log_file: PathBuf,
    /// Kept reserved while the process is down, so that it can restart on the same port.
    port: ReservedPort,
}

impl BalancerProcess {
    /// Starts a process that listens at `listen` and returns once it accepts connections there.
    ///
    /// Its configuration and its log (`stderr.log`) are in the subdirectory `name` of `directory`.
    ///
    /// # Errors
    /// The files cannot be written, the program cannot be run, the port is in use, or the process exits at
    /// once.
    pub async fn start(
        program: &Path,
        directory: &Path,
        name: &str,
        configuration: &str,
        listen: SocketAddr,
    ) -> Result<Self, ProcessError> {
        let port = ReservedPort::at(listen).map_err(|cause| port_error(name, listen, cause))?;
        Self::start_on(port, program, directory, name, configuration).await
    }

    /// Starts a process on any free port; `configuration` receives the address. Otherwise like
    /// [`Self::start`].
    ///
    /// # Errors
    /// As for [`Self::start`], or no port is free.
    pub async fn start_on_any_port(
        program: &Path,
        directory: &Path,
        name: &str,
        configuration: impl FnOnce(SocketAddr) -> String,
    ) -> Result<Self, ProcessError> {
        let port =
            ReservedPort::any().map_err(|cause| ProcessError::NoPort { name: name.to_owned(), cause })?;
        let configuration = configuration(port.address());
        Self::start_on(port, program, directory, name, &configuration).await
    }

    async fn start_on(
        port: ReservedPort,
        program: &Path,
        directory: &Path,
        name: &str,
        configuration: &str,
    ) -> Result<Self, ProcessError> {
        let directory = directory.join(name);
        let launch = Launch {
            name: name.to_owned(),
            program: program.to_owned(),
            configuration_file: directory.join("config.json"),
            log_file: directory.join("stderr.log"),
            port,
        };
        fs::create_dir_all(&directory).map_err(|cause| launch.file_error(&directory, cause))?;
        launch.write_configuration(configuration)?;
        let child = launch.spawn()?;
        let process = Self { launch, child: Mutex::new(child) };
        process.wait_until_listening().await?;
        Ok(process)
    }

    /// Waits until `/_health` answers 200.
    ///
    /// # Errors
    /// The process has exited, or it is not ready `within` this time.
    pub async fn wait_until_ready(&self, within: Duration) -> Result<(), ProcessError> {
        let start = Instant::now();
        while !health::is_ready(self.launch.port.address()).await {
            self.ensure_running()?;
            if start.elapsed() >= within {
                return Err(self.timeout_error("ready", within));
            }
            sleep(POLL_INTERVAL).await;
        }
        self.ensure_running()
    }

    /// Address at which the process listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.launch.port.address()
    }

    /// Id of the process; it changes at each restart.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child().id()
    }

    /// Name of the balancer.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.launch.name
    }

    /// Replaces the whole configuration file and sends SIGHUP.
    ///
    /// # Errors
    /// The file cannot be written, or the process has exited.
    pub fn replace_configuration(&self, text: &str) -> Result<(), ProcessError> {
        self.launch.write_configuration(text)?;
        // Locked during the signal, so that the process is not reaped meanwhile and its id is not reused.
        let mut child = self.child();
        self.launch.ensure_running(&mut child)?;
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| self.launch.process_control_error(io::ErrorKind::NotFound.into()))?;
        kill_process(pid, Signal::HUP).map_err(|cause| self.launch.process_control_error(cause.into()))
    }

    /// Exit status of the process; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child().try_wait().ok().flatten()
    }

    /// The last lines of the log of the process.
    #[must_use]
    pub fn last_lines(&self) -> String {
        log::last_lines(&self.launch.log_file)
    }

    /// Kills the process and reaps it; does nothing if it has already exited.
    pub async fn kill(&mut self) {
        let _ = self.child().kill();
        while matches!(self.child().try_wait(), Ok(None)) {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Kills the process and restarts it on the same port with the current configuration file.
    ///
    /// # Errors
    /// As for [`Self::start`].
    pub async fn kill_and_restart(&mut self) -> Result<(), ProcessError> {
        self.kill().await;
        *self.child() = self.launch.spawn()?;
        self.wait_until_listening().await
    }

    /// Waits until the process accepts connections.
    async fn wait_until_listening(&self) -> Result<(), ProcessError> {
        let start = Instant::now();
        while TcpStream::connect(self.launch.port.address()).await.is_err() {
            self.ensure_running()?;
            if start.elapsed() >= LISTEN_TIMEOUT {
                return Err(self.timeout_error("listening", LISTEN_TIMEOUT));
            }
            sleep(POLL_INTERVAL).await;
        }
        // The connection may have been accepted by another program that was given the same address; this
        // process exits in that case.
        self.ensure_running()
    }

    fn ensure_running(&self) -> Result<(), ProcessError> {
        self.launch.ensure_running(&mut self.child())
    }

    fn child(&self) -> MutexGuard<'_, Child> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn timeout_error(&self, state: &'static str, within: Duration) -> ProcessError {
        ProcessError::TimedOut { name: self.launch.name.clone(), state, within, log: self.last_lines() }
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
    /// Replaces the configuration file atomically, so that no reader sees a part of it.
    fn write_configuration(&self, text: &str) -> Result<(), ProcessError> {
        let temporary = self.configuration_file.with_extension("next");
        let written =
            fs::write(&temporary, text).and_then(|()| fs::rename(&temporary, &self.configuration_file));
        written.map_err(|cause| self.file_error(&self.configuration_file, cause))
    }

    fn spawn(&self) -> Result<Child, ProcessError> {
        Command::new(&self.program)
            .env_clear()
            .env("PROXY_CONFIG", &self.configuration_file)
            .env("PROXY_LISTEN", self.port.address().to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(self.open_log()?)
            .spawn()
            .map_err(|cause| self.spawn_error(cause))
    }

    fn open_log(&self) -> Result<File, ProcessError> {
        let log = OpenOptions::new().create(true).append(true).open(&self.log_file);
        log.map_err(|cause| self.file_error(&self.log_file, cause))
    }

    /// Returns an error if the process has exited.
    fn ensure_running(&self, child: &mut Child) -> Result<(), ProcessError> {
        match child.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => Err(ProcessError::Exited {
                name: self.name.clone(),
                status,
                log: log::last_lines(&self.log_file),
            }),
            Err(cause) => Err(self.process_control_error(cause)),
        }
    }

    fn spawn_error(&self, cause: io::Error) -> ProcessError {
        if cause.kind() == io::ErrorKind::NotFound {
            return ProcessError::NoProgram { path: self.program.clone() };
        }
        ProcessError::Spawn { name: self.name.clone(), program: self.program.clone(), cause }
    }

    fn file_error(&self, path: &Path, cause: io::Error) -> ProcessError {
        ProcessError::File { name: self.name.clone(), path: path.to_owned(), cause }
    }

    fn process_control_error(&self, cause: io::Error) -> ProcessError {
        ProcessError::ProcessControl { name: self.name.clone(), cause }
    }
}

fn port_error(name: &str, address: SocketAddr, cause: io::Error) -> ProcessError {
    let name = name.to_owned();
    match cause.kind() {
        io::ErrorKind::AddrInUse => ProcessError::PortTaken { name, address },
        _ => ProcessError::NoPort { name, cause },
    }
}

#[cfg(test)]
mod tests;
