//! The modelled nodes behind hollow copies.

use std::time::Duration;

use stilelead_decision::interface::LoadReport;
use stilelead_simulator::setup;

use super::connections::Connection;
use crate::node::model::NodeModel;
use crate::scenario;
use crate::topology::RegionId;

/// Odd, so that the nodes of one run have different seeds.
const SEED_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

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
    pub life: u64,
    open: u32,
    most: u32,
}

impl ModelledNode {
    /// A warm node.
    pub fn new(settings: &scenario::Node, region: RegionId, number: usize, seed: u64) -> Self {
        let seed = seed ^ (number as u64 + 1).wrapping_mul(SEED_SPREAD);
        let model = NodeModel::new(settings, seed);
        Self { model, region, silent: false, down: false, life: 0, open: 0, most: settings.connections }
    }

    /// Takes a new connection; `None` if it holds as many as it can.
    pub fn accept(&mut self, node: usize, now: Duration) -> Option<Connection> {
        if self.open >= self.most {
            return None;
        }
        self.open += 1;
        self.model.add_connection(now);
        Some(Connection { node, life: self.life })
    }

    /// A connection was closed from the other side.
    pub fn closed(&mut self, connection: Connection) {
        if connection.life == self.life {
            self.open = self.open.saturating_sub(1);
        }
    }

    /// Its process ends, and its connections with it.
    pub fn end(&mut self) {
        self.down = true;
        self.life += 1;
        self.open = 0;
    }

    /// A new process has started, cold.
    pub fn restart(&mut self, now: Duration) {
        self.end();
        self.down = false;
        self.silent = false;
        self.model.restart(now);
    }

    /// What its answers tell of its load, in the fields that the settings name.
    pub fn report(&self, now: Duration, fields: &[String]) -> Option<LoadReport> {
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
