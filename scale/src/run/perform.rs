//! Carries out the planned actions on the running fleet.

use std::sync::Arc;
use std::time::Instant;

use tokio::task::JoinSet;
use tracing::info;

use super::RunError;
use super::fleet::Fleet;
use super::settings::SettingsRollout;
use crate::plan::Action;
use crate::record::Record;
use crate::scenario::Scenario;
use crate::topology::{BalancerId, NodeId, Topology};

/// Carries out actions. Slow ones run in the background while the next ones are carried out.
pub struct ActionExecutor<'a> {
    fleet: &'a Fleet,
    settings: SettingsRollout<'a>,
    background_tasks: JoinSet<Result<(), RunError>>,
}

impl<'a> ActionExecutor<'a> {
    /// Executor for a fleet; new settings that are not in force at `deadline` count as missed.
    pub fn new(
        fleet: &'a Fleet,
        scenario: &'a Scenario,
        topology: &'a Topology,
        record: &'a Arc<Record>,
        deadline: Instant,
    ) -> Self {
        Self {
            fleet,
            settings: SettingsRollout::new(scenario, topology, record, deadline),
            background_tasks: JoinSet::new(),
        }
    }

    /// Carries out an action.
    pub fn execute(&mut self, action: Action) {
        let fleet = self.fleet;
        if !matches!(action, Action::Weight(..) | Action::Padding(..)) {
            info!(?action, "step");
        }
        match action {
            Action::Publish(node, status) => fleet.lists.set_status(node, status),
            Action::Weight(node, weight) => fleet.lists.set_weight(node, weight),
            Action::Padding(service, place, weight) => fleet.lists.set_padding(service, place, weight),
            Action::Silence(node, silent) => self.silence(node, silent),
            Action::Stop(node) => self.stop(node),
            Action::Restart(node) => self.restart(node),
            Action::CutRegion(region) => {
                fleet.control.cut_region(region);
                self.cut_hollow(true);
            }
            Action::RejoinRegion(region) => {
                fleet.control.rejoin_region(region);
                self.cut_hollow(false);
            }
            Action::StopReplica(replica) => fleet.control.stop_replica(replica),
            Action::StartReplica(replica) => self.start_replica(replica),
            Action::BreakWatches => fleet.control.break_watches(),
            Action::KillBalancer(balancer) => self.kill_balancer(balancer),
            Action::NewSettings => self.settings.start(fleet, &mut self.background_tasks),
        }
    }

    /// Waits for the background tasks.
    pub async fn finish(mut self) -> Result<(), RunError> {
        while let Some(result) = self.background_tasks.join_next().await {
            result??;
        }
        Ok(())
    }

    fn silence(&self, node: NodeId, silent: bool) {
        if self.fleet.is_real(node) {
            self.fleet.nodes.set_silent(node, silent);
        } else if let Some(hollow) = &self.fleet.hollow {
            hollow.set_silent(node, silent);
        }
    }

    /// Stops a node. A modelled node is silenced instead, which has the same effect because it was drained before.
    fn stop(&self, node: NodeId) {
        if self.fleet.is_real(node) {
            self.fleet.nodes.stop(node);
        } else {
            self.silence(node, true);
        }
    }

    fn restart(&mut self, node: NodeId) {
        if self.fleet.is_real(node) {
            let nodes = self.fleet.nodes.clone();
            self.background_tasks.spawn(async move {
                nodes.restart(node).await;
                Ok(())
            });
        } else if let Some(hollow) = &self.fleet.hollow {
            hollow.restart(node);
            hollow.set_silent(node, false);
        }
    }

    fn cut_hollow(&self, cut: bool) {
        if let Some(hollow) = &self.fleet.hollow {
            hollow.set_regions_cut(cut);
        }
    }

    fn start_replica(&mut self, replica: u32) {
        let control = self.fleet.control.clone();
        self.background_tasks.spawn(async move {
            control.start_replica(replica).await;
            Ok(())
        });
    }

    fn kill_balancer(&mut self, id: BalancerId) {
        let balancer = self.fleet.balancers.iter().find(|balancer| balancer.id == id);
        let Some(process) = balancer.map(|balancer| balancer.process.clone()) else { return };
        self.background_tasks.spawn(async move { Ok(process.lock().await.kill_and_restart().await?) });
    }
}
