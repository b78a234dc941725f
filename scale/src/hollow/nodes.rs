//! The modelled nodes behind hollow copies.

use std::time::Duration;

use stilelead_decision::interface::LoadReport;
use stilelead_simulator::setup;

use super::connections::Connection;
use crate::node::model::NodeModel;
use crate::scenario;
use crate::topology::RegionId;

/// Odd, so that the nodes of one run have different seeds.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A node with its connections.
#[derive(Debug)]
pub(super) struct ModelledNode {
    /// Its work.
    pub model: NodeModel,
    /// Its region.
    pub region: RegionId,
    /// Its machine says nothing.
    pub silent: bool,
    /// Its process has ended and was not started again.
    pub down: bool,
    /// Counts its processes.
    pub generation: u64,
    open_connections: u32,
    max_connections: u32,
}

impl ModelledNode {
    /// A warm node.
    pub fn new(settings: &scenario::Node, region: RegionId, number: usize, seed: u64) -> Self {
        let seed = seed ^ (number as u64 + 1).wrapping_mul(SEED_MULTIPLIER);
        let model = NodeModel::new(settings, seed);
        Self {
            model,
            region,
            silent: false,
            down: false,
            generation: 0,
            open_connections: 0,
            max_connections: settings.connections,
        }
    }

    /// Takes a new connection; `None` if it holds as many as it can.
    pub fn accept_connection(&mut self, node: usize, now: Duration) -> Option<Connection> {
        if self.open_connections >= self.max_connections {
            return None;
        }
        self.open_connections += 1;
        self.model.add_connection(now);
        Some(Connection { node, generation: self.generation })
    }

    /// A connection was closed from the other side.
    pub fn connection_closed(&mut self, connection: Connection) {
        if connection.generation == self.generation {
            self.open_connections = self.open_connections.saturating_sub(1);
        }
    }

    /// Its process ends, and its connections with it.
    pub fn stop(&mut self) {
        self.down = true;
        self.generation += 1;
        self.open_connections = 0;
    }

    /// A new process has started, cold.
    pub fn restart(&mut self, now: Duration) {
        self.stop();
        self.down = false;
        self.silent = false;
        self.model.restart(now);
    }

    /// What its answers tell of its load, in the fields that the settings name.
    pub fn load_report(&self, now: Duration, fields: &[String]) -> Option<LoadReport> {
        if fields.is_empty() {
            return None;
        }
        let load = self.model.load(now);
        let mut report = LoadReport::default();
        for field in fields {
            let value = match field.as_str() {
                "active" => f64::from(load.active),
                "waiting" => f64::from(load.waiting),
                "cpu" => load.utilization,
                "avg_ms" => load.latency.as_secs_f64() * 1000.0,
                _ => continue,
            };
            setup::set_load_field(&mut report, field, value);
        }
        Some(report)
    }
}
