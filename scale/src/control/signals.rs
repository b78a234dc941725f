//! The state of the control plane that open connections follow: replicas that run and regions that are cut off.

use std::collections::BTreeSet;

use tokio::sync::watch;

use crate::topology::RegionId;

/// What goes on, for all connections.
#[derive(Debug, Clone)]
pub(super) struct Signals {
    /// By replica: whether it runs, and how often it was stopped.
    pub(super) replicas: Vec<ReplicaState>,
    /// Regions that the others cannot reach.
    pub(super) cut_off: BTreeSet<RegionId>,
    /// How often all watches were broken.
    pub(super) breaks: u64,
}

/// A replica as its connections see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReplicaState {
    pub(super) runs: bool,
    /// Connections from before a stop are reset, also when the replica runs again before they notice.
    pub(super) stops: u64,
}

/// Where a copy and the replica that it asks stand.
#[derive(Debug, Clone, Copy)]
pub(super) struct Link {
    pub(super) replica: usize,
    pub(super) replica_region: RegionId,
    pub(super) copy_region: RegionId,
}

impl Signals {
    pub(super) fn new(replicas: usize) -> Self {
        let state = ReplicaState { runs: true, stops: 0 };
        Self { replicas: vec![state; replicas], cut_off: BTreeSet::new(), breaks: 0 }
    }

    /// Whether bytes pass between a copy and its replica.
    pub(super) fn joined(&self, link: Link) -> bool {
        link.copy_region == link.replica_region
            || ![link.copy_region, link.replica_region].iter().any(|region| self.cut_off.contains(region))
    }
}

/// Waits until the state is as wanted. Never ends once the control plane is gone.
pub(super) async fn until(signals: &mut watch::Receiver<Signals>, wanted: impl FnMut(&Signals) -> bool) {
    if signals.wait_for(wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}
