//! A balancer: the program of the deploy file as a process of its own.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::record::Record;

/// What differs between the configurations of the cases.
#[derive(Clone)]
pub struct Setup {
    /// `automatic` or `subscribe`.
    pub discovery_mode: &'static str,
    pub discovery: SocketAddr,
    /// The list as the balancer last had it, in discovery's form.
    pub known: String,
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Setup {
    fn config(&self, listen: SocketAddr) -> String {
        let Self { discovery_mode, discovery, known, memory_mb, sockets } = self;
        // Where lists are pushed, the settings have no time for asking.
        let ask_within = if *discovery_mode == "subscribe" { r#""askWithinS":10.0,"# } else { "" };
        format!(
            r#"{{"name":"b0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{known},
"settings":{{"balancers":1,"me":0,"tier":0,"tiers":["t"],"zone":"z","zones":["z"],"kinds":["k"],
"caps":{{"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeoutS":0.15,"keepaliveS":30.0,
"maxRetryAfterS":2.0,"mayProbe":true,"mayTell":false,"mostHeld":20000,"multiplex":1,"retryAfter":true,
"secondCopies":true,"tryLimit":4}},
"clients":{{"marksRetry":false}},"discovery":"{discovery_mode}","family":"chain",
"familyInfo":{{"passesDeadline":true}},
"goal":{{"whole":0.4,"worstClass":0.2,"worstTenant":0.25,"worstWindow":0.15}},
"lanes":[{{"dedupScope":"all","effect":"idempotent","hardLimitS":1.0,"lateWorth":0.3,"name":"consulta","onTimeS":0.4,"stream":false,"windowS":5.0,"worth":1.0}},
{{"dedupScope":"all","effect":"at_most_once","hardLimitS":6.0,"lateWorth":0.5,"name":"reserva","onTimeS":2.5,"stream":false,"windowS":5.0,"worth":3.0}}],
"loadInfo":{{"fields":["waiting","avg_ms"],"via":"inline"}},"overShareWorth":0.1,
"prices":{{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.051,"lateFail":0.055,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.045}},
"projects":[{{"name":"playa","portion":1.0,"quotaPerS":209.0}}],
"resolutionS":0.002,
"rules":{{"answerSlackS":0.008,{ask_within}"coldS":8.9,"coldShare":0.31,"drainGraceS":0.3,"fallMultiple":4.0,"overloadForS":2.0}},
"weights":"off","worthBy":"request"}}}}
"#
        )
    }
}

pub struct Balancer {
    pub address: SocketAddr,
    child: Child,
}

impl Balancer {
    /// Starts the balancer and waits until it is ready.
    pub fn start(setup: &Setup, record: &Arc<Record>) -> Self {
        let address = free_address();
        Self::start_at(address, setup, record)
    }

    /// Starts the balancer at this address and waits until it is ready.
    pub fn start_at(address: SocketAddr, setup: &Setup, record: &Arc<Record>) -> Self {
        let folder = PathBuf::from(std::env::var("CASE_TMP").unwrap_or_else(|_| crate::cannot_run("CASE_TMP")));
        let command = std::env::var("BALANCER_RUN").unwrap_or_else(|_| crate::cannot_run("BALANCER_RUN"));
        let config = folder.join("config.json");
        let log = fs::OpenOptions::new().create(true).append(true).open(folder.join("balancer.log"));
        let log = log.unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        fs::write(&config, setup.config(address)).unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("PROXY_NAME", "b0")
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", setup.discovery.to_string())
            .env("PROXY_CONFIG", &config)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        record.line(&format!("a balancer starts at {address}"));
        // The script ends what is named here, should this program not get to it.
        let _ = fs::write(folder.join("running"), format!("{}\n", child.id()));
        let mut balancer = Self { address, child };
        let begun_at = Instant::now();
        while !balancer.is_ready() {
            if begun_at.elapsed() > Duration::from_secs(10) || balancer.has_ended() {
                crate::cannot_run("the balancer does not get ready");
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        record.line("the balancer is ready");
        balancer
    }

    fn is_ready(&self) -> bool {
        let Ok(mut client) = Client::connect(self.address) else { return false };
        let asked = client.send(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
        asked.is_ok() && client.read_answer(Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::env::var("CASE_TMP").map(|folder| fs::remove_file(PathBuf::from(folder).join("running")));
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An address that nothing listens on.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
    listener.local_addr().unwrap()
}
