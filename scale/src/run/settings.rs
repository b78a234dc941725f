//! Gives new settings to every balancer and measures when the real ones decide by them.

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
use crate::topology::{BalancerId, BalancerKind, Topology};

/// Time between two calls that check whether new settings are in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit of a call that checks whether new settings are in force.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Start of the response to a call whose class is in force.
const OK_STATUS_LINE: &[u8] = b"HTTP/1.1 200";
/// Listen address in the settings of hollow balancers, which do not listen.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// Rolls out new settings to the fleet.
pub struct SettingsRollout<'a> {
    scenario: &'a Scenario,
    topology: &'a Topology,
    record: &'a Arc<Record>,
    deadline: Instant,
    /// Settings given to real balancers so far; makes the request ids of each one's checks unique.
    rollouts: u64,
}

impl<'a> SettingsRollout<'a> {
    /// Rollout of a scenario's settings; settings not in force at `deadline` count as missed.
    pub fn new(
        scenario: &'a Scenario,
        topology: &'a Topology,
        record: &'a Arc<Record>,
        deadline: Instant,
    ) -> Self {
        Self { scenario, topology, record, deadline, rollouts: 0 }
    }

    /// Gives the new settings to every balancer at once. If they add a class, each real balancer is called with that
    /// class until it serves it. Whether other changes are in force can't be observed from outside.
    pub fn start(&mut self, fleet: &Fleet, tasks: &mut JoinSet<Result<(), RunError>>) {
        for (number, balancer) in self.topology.balancers.iter().enumerate() {
            let text = self.configuration_text(fleet, BalancerId(number), UNUSED_ADDRESS);
            if balancer.kind == BalancerKind::Hollow
                && let Some(hollow) = &fleet.hollow
            {
                hollow.reload(BalancerId(number), text);
            }
        }
        for balancer in &fleet.balancers {
            let text = self.configuration_text(fleet, balancer.id, balancer.address);
            self.rollouts += 1;
            tasks.spawn(reload(balancer.clone(), text));
            if self.scenario.changes.settings_kind == SettingsChange::AddClass {
                tasks.spawn(wait_until_served(
                    balancer.address,
                    self.rollouts,
                    self.deadline,
                    self.record.clone(),
                ));
            }
        }
    }

    fn configuration_text(&self, fleet: &Fleet, id: BalancerId, listen: SocketAddr) -> String {
        let endpoints = fleet.control.list(self.topology.balancers[id.0].target);
        let change = Some(self.scenario.changes.settings_kind);
        configuration(self.scenario, self.topology, id, listen, fleet.control.address(id), &endpoints, change)
    }
}

async fn reload(balancer: Balancer, text: String) -> Result<(), RunError> {
    Ok(balancer.process.lock().await.replace_configuration(&text)?)
}

/// Calls a balancer with the new class until it is served, and records how long that took.
async fn wait_until_served(
    address: SocketAddr,
    rollout_id: u64,
    deadline: Instant,
    record: Arc<Record>,
) -> Result<(), RunError> {
    let start = Instant::now();
    let mut attempts = 0;
    while Instant::now() < deadline {
        attempts += 1;
        let id = rollout_id << 32 | attempts;
        if let Ok(Ok(true)) = timeout(REQUEST_TIMEOUT, new_class_is_served(address, id)).await {
            record.measured().settings_in_force_us.add(start.elapsed());
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    record.measured().balancers_without_new_settings += 1;
    Ok(())
}

async fn new_class_is_served(address: SocketAddr, id: u64) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!(
        "GET /{CLASS_EXTRA}?hops=1&hop=1 HTTP/1.1\r\nHost: {address}\r\nX-Request-Id: {id:016x}\r\n\
         X-Tenant: {}\r\nX-Deadline: {:.3}\r\nConnection: close\r\n\r\n",
        tenant_name(0),
        REQUEST_TIMEOUT.as_secs_f64(),
    );
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    Ok(response.starts_with(OK_STATUS_LINE))
}
