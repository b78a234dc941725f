//! The balancer under review: a process that is started with the command of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use std::io::Write;

use crate::http::Connection;
use crate::Run;

/// A running balancer; it is killed when this is dropped.
pub struct Balancer {
    pub process: Child,
    pub address: SocketAddr,
    /// Names the process for the script that ends what a broken-off run leaves.
    process_file: PathBuf,
}

/// What differs from case to case in a configuration.
pub struct Deployment {
    pub memory_mb: u64,
    pub sockets: u64,
}

/// The tenants with their shares of the requests.
pub const TENANTS: [(&str, f64); 7] = [
    ("playa-norte-eze", 0.35),
    ("playa-aep-costanera", 0.23),
    ("playa-cba-pajas", 0.12),
    ("playa-mdz-plumerillo", 0.11),
    ("playa-ros-fisherton", 0.08),
    ("playa-brc-lago", 0.06),
    ("playa-sla-valle", 0.05),
];

/// The settings of a front balancer, in the form and with the figures of the simulator's page.
fn settings() -> String {
    let quotas: Vec<String> = TENANTS
        .iter()
        .map(|(name, share)| {
            format!("{{\"name\":\"{name}\",\"portion\":{share},\"quotaPerS\":{:.1}}}", share * 209.0)
        })
        .collect();
    format!(
        r#"{{"balancers":1,
        "caps":{{"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeoutS":0.15,"keepaliveS":30.0,
          "maxRetryAfterS":2.0,"mayProbe":true,"mayTell":false,"mostHeld":20000,"multiplex":1,"retryAfter":true,
          "secondCopies":true,"tryLimit":4}},
        "clients":{{"marksRetry":false}},"discovery":"subscribe","family":"chain",
        "familyInfo":{{"passesDeadline":true}},
        "goal":{{"whole":0.4,"worstClass":0.2,"worstTenant":0.25,"worstWindow":0.15}},
        "kinds":["frente-rapido","frente-medio","frente-lento"],
        "lanes":[{{"dedupScope":"all","effect":"idempotent","hardLimitS":1.0,"lateWorth":0.3,"name":"consulta",
            "onTimeS":0.4,"stream":false,"windowS":5.0,"worth":1.0}},
          {{"dedupScope":"all","effect":"at_most_once","hardLimitS":6.0,"lateWorth":0.5,"name":"reserva",
            "onTimeS":2.5,"stream":false,"windowS":5.0,"worth":3.0}}],
        "loadInfo":{{"fields":["waiting","avg_ms"],"via":"inline"}},"me":0,"overShareWorth":0.1,
        "prices":{{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.051,"lateFail":0.055,"moves":0.0,
          "origin":0.0,"peer":0.0,"probe":0.01,"waste":0.045}},
        "projects":[{}],"resolutionS":0.002,
        "rules":{{"answerSlackS":0.008,"askWithinS":10.0,"coldS":8.9,"coldShare":0.31,"drainGraceS":0.3,
          "fallMultiple":4.0,"overloadForS":2.0}},
        "tier":0,"tiers":["frente","reservas"],"weights":"off","worthBy":"request","zone":"sala-ezeiza",
        "zones":["sala-ezeiza"]}}"#,
        quotas.join(",")
    )
}

/// The entry of a nodo in discovery's list.
pub fn entry(name: &str, address: SocketAddr, group: usize) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"sala-ezeiza\",\"type\":\"frente-medio\",\
         \"group\":{group},\"status\":\"ready\",\"weight\":1.0,\"since_ms\":0}}"
    )
}

/// The command that the deploy file gives for one balancer.
fn run_command() -> Result<String, String> {
    let text = fs::read_to_string("deploy/balancer.toml").map_err(|error| format!("deploy file: {error}"))?;
    let line = text.lines().find(|line| line.starts_with("run ")).ok_or("no `run` in the deploy file")?;
    line.split('"').nth(1).map(str::to_owned).ok_or_else(|| "`run` is no text".to_owned())
}

impl Balancer {
    /// Starts a balancer and waits until it is ready.
    pub fn start(
        deployment: &Deployment,
        discovery: SocketAddr,
        known: &str,
        run: &Run,
    ) -> Result<Self, String> {
        let Run { record, folder, seed, .. } = run;
        let fail = |error: std::io::Error| error.to_string();
        let address = TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr()).map_err(fail)?;
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{known},\"settings\":{}}}",
            deployment.memory_mb,
            deployment.sockets,
            settings()
        );
        let config_path = folder.join("config.json");
        fs::write(&config_path, config).map_err(fail)?;
        let log = fs::File::create(folder.join("log.txt")).map_err(fail)?;
        let command = run_command()?;
        let process = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", discovery.to_string())
            .env("PROXY_CONFIG", &config_path)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(fail)?;
        let mut balancer = Self { process, address, process_file: folder.join("process") };
        fs::write(&balancer.process_file, balancer.process.id().to_string()).map_err(fail)?;
        record.line(&format!("balancer started: {command}, listens on {address}"));
        let until = Instant::now() + Duration::from_secs(10);
        while !balancer.is_ready() {
            if Instant::now() > until || balancer.has_ended() {
                return Err("the balancer was not ready within 10 s".to_owned());
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.line("balancer ready");
        Ok(balancer)
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.address) else { return false };
        let mut connection = Connection::new(stream);
        connection.stream.write_all(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n").is_ok()
            && connection
                .read(Some(Instant::now() + Duration::from_secs(1)))
                .is_ok_and(|answer| answer.status() == 200)
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.try_wait().map_or(true, |status| status.is_some())
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.process_file);
    }
}
