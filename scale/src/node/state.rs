//! What has been done to a node, as its connections follow it.

use tokio::sync::watch;

/// The state of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NodeState {
    /// The process runs.
    pub(super) runs: bool,
    /// How often it was stopped: connections from before a stop are reset.
    pub(super) stops: u64,
    /// It hangs: it takes connections and requests and answers nothing.
    pub(super) silent: bool,
}

impl NodeState {
    /// A node that runs and answers.
    pub(super) const RUNNING: Self = Self { runs: true, stops: 0, silent: false };

    /// Whether a connection of that state's process is still one of this state's.
    pub(super) fn same_process(self, other: Self) -> bool {
        self.runs && other.runs && self.stops == other.stops
    }
}

/// Waits until the state is as wanted. Never ends once the node is gone.
pub(super) async fn until(
    states: &mut watch::Receiver<NodeState>,
    mut wanted: impl FnMut(NodeState) -> bool,
) {
    if states.wait_for(|state| wanted(*state)).await.is_err() {
        std::future::pending::<()>().await;
    }
}
