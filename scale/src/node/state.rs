//! The state of a node's simulated process, which its connections watch.

use tokio::sync::watch;

/// The state of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NodeState {
    /// Whether the process runs.
    pub(super) runs: bool,
    /// Number of stops so far; connections opened before a stop are reset.
    pub(super) stops: u64,
    /// The process hangs: it accepts connections and requests and answers nothing.
    pub(super) silent: bool,
}

impl NodeState {
    /// A running node that answers.
    pub(super) const RUNNING: Self = Self { runs: true, stops: 0, silent: false };

    /// Whether both states belong to the same run of the process.
    pub(super) fn is_same_process(self, other: Self) -> bool {
        self.runs && other.runs && self.stops == other.stops
    }
}

/// Waits until the condition holds. Never returns once the node is dropped.
pub(super) async fn wait_until(
    states: &mut watch::Receiver<NodeState>,
    mut condition: impl FnMut(NodeState) -> bool,
) {
    if states.wait_for(|state| condition(*state)).await.is_err() {
        std::future::pending::<()>().await;
    }
}
