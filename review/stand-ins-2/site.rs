//! A small deployment: some nodos, their discovery, and how a balancer before them is set up.

use std::sync::Arc;
use std::time::Duration;

use crate::balancer::Setup;
use crate::discovery::Discovery;
use crate::nodo::Nodo;
use crate::record::Record;

/// Nodos of the deployment: 7 to 9 today.
const NODOS: usize = 8;
/// What the rules on sockets add to every time limit.
pub const SLACK: Duration = Duration::from_millis(50);
/// `rules.drainGraceS` in the settings.
pub const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// How long after its time an answer only earns nothing; later, or never, its request is lost.
pub const LATE_GRACE: Duration = Duration::from_millis(500);

pub struct Site {
    pub nodos: Vec<Arc<Nodo>>,
    pub discovery: Arc<Discovery>,
    pub setup: Setup,
}

impl Site {
    /// Starts nodos that serve each request in `service_time`, and their discovery.
    pub fn start(service_time: Duration, discovery_mode: &'static str, record: &Arc<Record>) -> Self {
        let nodos: Vec<_> =
            (0..NODOS).map(|number| Nodo::start(&format!("s-{number}"), service_time, record)).collect();
        let entries: Vec<(&str, String)> =
            nodos.iter().map(|nodo| (nodo.name.as_str(), nodo.entry("ready"))).collect();
        let discovery = Discovery::start(&entries, record);
        let setup = Setup {
            discovery_mode,
            discovery: discovery.address,
            known: discovery.list(),
            memory_mb: 48,
            sockets: 384,
        };
        Self { nodos, discovery, setup }
    }
}
