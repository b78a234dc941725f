//! New settings for every copy, and when the real ones decide by them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::RunError;
use super::fleet::{Balancer, Fleet};
use crate::process::configuration;
use crate::process::settings::{CLASS_EXTRA, tenant_name};
use crate::record::Record;
use crate::scenario::{Scenario, SettingsChange};
use crate::topology::{Carrier, CopyId, Topology};

/// Wait between two calls that ask whether new settings are in force.
const ASK_EVERY: Duration = Duration::from_millis(50);
/// Time that such a call has.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);
/// How the answer to a call starts whose class is in force.
const SERVED: &[u8] = b"HTTP/1.1 200";
/// Where hollow copies would listen; nothing does.
const NO_LISTENER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// Hands out new settings.
pub struct Settings<'a> {
    scenario: &'a Scenario,
    topology: &'a Topology,
    record: &'a Arc<Record>,
    until: Instant,
    /// Calls that asked so far; their ids differ by it.
    asked: u64,
}

impl<'a> Settings<'a> {
    /// Those of a scenario; what is not in force at `until` never was.
    pub fn new(
        scenario: &'a Scenario,
        topology: &'a Topology,
        record: &'a Arc<Record>,
        until: Instant,
    ) -> Self {
        Self { scenario, topology, record, until, asked: 0 }
    }

    /// Hands the new settings to every copy at once. A class more is asked for at the real ones until it is served;
    /// of other changes nothing can be told from outside.
    pub fn hand_out(&mut self, fleet: &Fleet, work: &mut JoinSet<Result<(), RunError>>) {
        for (number, copy) in self.topology.copies.iter().enumerate() {
            let text = self.text(fleet, CopyId(number), NO_LISTENER);
            if copy.carrier == Carrier::Hollow
                && let Some(hollow) = &fleet.hollow
            {
                hollow.reload(CopyId(number), text);
            }
        }
        for balancer in &fleet.balancers {
            let text = self.text(fleet, balancer.copy, balancer.address);
            self.asked += 1;
            work.spawn(reload(balancer.clone(), text));
            if self.scenario.changes.settings_kind == SettingsChange::AddClass {
                work.spawn(ask(balancer.address, self.asked, self.until, self.record.clone()));
            }
        }
    }

    fn text(&self, fleet: &Fleet, copy: CopyId, listen: SocketAddr) -> String {
        let known = fleet.control.list(self.topology.copies[copy.0].target);
        let change = Some(self.scenario.changes.settings_kind);
        configuration(self.scenario, self.topology, copy, listen, fleet.control.address(copy), &known, change)
    }
}

async fn reload(balancer: Balancer, text: String) -> Result<(), RunError> {
    Ok(balancer.process.lock().await.replace_configuration(&text)?)
}

/// Calls the new class until it is served, and notes how long that took.
async fn ask(address: SocketAddr, number: u64, until: Instant, record: Arc<Record>) -> Result<(), RunError> {
    let start = Instant::now();
    let mut tries = 0;
    while Instant::now() < until {
        tries += 1;
        let id = number << 32 | tries;
        if let Ok(Ok(true)) = timeout(ANSWER_WITHIN, is_served(address, id)).await {
            record.measured().settings_in_force_us.add(start.elapsed());
            return Ok(());
        }
        sleep(ASK_EVERY).await;
    }
    record.measured().settings_missed += 1;
    Ok(())
}

async fn is_served(address: SocketAddr, id: u64) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!(
        "GET /{CLASS_EXTRA}?hops=1&hop=1 HTTP/1.1\r\nHost: {address}\r\nX-Request-Id: {id:016x}\r\n\
         X-Tenant: {}\r\nX-Deadline: {:.3}\r\nConnection: close\r\n\r\n",
        tenant_name(0),
        ANSWER_WITHIN.as_secs_f64(),
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer.starts_with(SERVED))
}
