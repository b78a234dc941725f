//! The state of the control plane that open connections watch: which replicas run and which regions are cut
//! off.

use std::collections::BTreeSet;

use tokio::sync::watch;

use crate::topology::RegionId;

/// The shared state of all control connections.
#[derive(Debug, Clone)]
pub(super) struct ControlState {
    /// By replica: whether it runs, and how often it was stopped.
    pub(super) replicas: Vec<ReplicaState>,
    /// Regions that are cut off from all others.
    pub(super) cut_off: BTreeSet<RegionId>,
    /// How often all watches have been reset.
    pub(super) watch_resets: u64,
}

/// The state of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReplicaState {
    pub(super) runs: bool,
    /// Number of stops so far. Connections from before a stop are reset even if the replica runs again before
    /// they notice.
    pub(super) stops: u64,
}

/// The regions of a balancer and of the replica that it talks to.
#[derive(Debug, Clone, Copy)]
pub(super) struct Link {
    pub(super) replica: usize,
    pub(super) replica_region: RegionId,
    pub(super) balancer_region: RegionId,
}

impl ControlState {
    pub(super) fn new(replicas: usize) -> Self {
        let state = ReplicaState { runs: true, stops: 0 };
        Self { replicas: vec![state; replicas], cut_off: BTreeSet::new(), watch_resets: 0 }
    }

    /// Whether the balancer and its replica can reach each other.
    pub(super) fn is_connected(&self, link: Link) -> bool {
        link.balancer_region == link.replica_region
            || ![link.balancer_region, link.replica_region].iter().any(|region| self.cut_off.contains(region))
    }
}

/// Waits until the condition holds. Never returns once the control plane is dropped.
pub(super) async fn wait_until(
    states: &mut watch::Receiver<ControlState>,
    condition: impl FnMut(&ControlState) -> bool,
) {
    if states.wait_for(condition).await.is_err() {
        std::future::pending::<()>().await;
    }
}
