//! The modelled nodes behind hollow balancers.

use std::time::Duration;

use stilelead_decision::interface::LoadReport;
use stilelead_simulator::setup;

use super::connections::Connection;
use crate::node::model::NodeModel;
use crate::scenario;
use crate::topology::RegionId;

/// Multiplier of the node's number in its seed; odd, so that the nodes of a run have different seeds.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A modelled node: the model of its work, its connections and its faults.
#[derive(Debug)]
pub(super) struct ModelledNode {
    /// Model of the node's queue, processing times and outcomes.
    pub model: NodeModel,
    /// Region of the node; a cut between regions makes the node unreachable for balancers of other regions.
    pub region: RegionId,
    /// Whether the node's machine is cut off: it neither answers nor accepts connections.
    pub silent: bool,
    /// Whether the node's process has ended and has not been restarted.
    pub down: bool,
    /// Increases whenever the node's process ends or restarts; connections of earlier generations are closed.
    pub generation: u64,
    open_connections: u32,
    max_connections: u32,
}

impl ModelledNode {
    /// Creates a warm node, which works at full speed.
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

    /// Accepts a new connection; `None` if the node has reached its connection limit.
    pub fn accept_connection(&mut self, node: usize, now: Duration) -> Option<Connection> {
        if self.open_connections >= self.max_connections {
            return None;
        }
        self.open_connections += 1;
        self.model.add_connection(now);
        Some(Connection { node, generation: self.generation })
    }

    /// Handles a connection that the balancer has closed.
    pub fn connection_closed(&mut self, connection: Connection) {
        if connection.generation == self.generation {
            self.open_connections = self.open_connections.saturating_sub(1);
        }
    }

    /// Ends the node's process and its connections.
    pub fn stop(&mut self) {
        self.down = true;
        self.generation += 1;
        self.open_connections = 0;
    }

    /// Starts a new process of the node, which is cold (slow at first).
    pub fn restart(&mut self, now: Duration) {
        self.stop();
        self.down = false;
        self.silent = false;
        self.model.restart(now);
    }

    /// The node's load report with the fields that the settings use; `None` if they use none.
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
