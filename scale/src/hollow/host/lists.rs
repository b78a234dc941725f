//! Endpoint lists that balancers receive from the control plane, and the delay with which they do.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Instant;

use stilelead::directory::{AppliedUpdate, UpdateSource};
use stilelead::discovery::{self, Update, WatchError, WatchEvents, WatchId};
use stilelead::permit::Permit;
use stilelead_decision::Event;
use stilelead_decision::interface::DiscoveryUpdate;
use tokio::task::spawn_local;

use super::HollowHost;
use crate::hollow::balancer::HollowBalancer;

/// Receives the events of one balancer's watch.
struct BalancerWatch {
    host: Weak<RefCell<HollowHost>>,
    balancer: usize,
    watch_descriptors: Rc<Cell<usize>>,
}

impl WatchEvents for BalancerWatch {
    fn updated(&self, watch: WatchId, update: Update) {
        if let Some(host) = self.host.upgrade() {
            host.borrow_mut().list_received(self.balancer, watch, &update);
        }
    }

    fn ended(&self, watch: WatchId, reason: &WatchError) {
        if let Some(host) = self.host.upgrade() {
            host.borrow_mut().watch_ended(self.balancer, watch, reason);
        }
    }

    fn max_message_bytes(&self) -> usize {
        usize::MAX
    }

    fn reserve_descriptor(&self) -> Permit {
        Permit::acquire(&self.watch_descriptors)
    }
}

impl HollowHost {
    /// Applies the list from a new balancer's configuration and starts its decisions.
    pub(super) fn start_decisions(&mut self, balancer: usize) {
        if let Some(initial_list) = self.balancers[balancer].initial_list.take() {
            let change = self.apply_list(balancer, &initial_list, UpdateSource::Configuration);
            self.decide(balancer, Event::Discovery(change));
            let state = &mut self.balancers[balancer];
            state.list_version = initial_list.index;
            // As in the real balancer: if no upstream in the list takes requests, the watch asks for the
            // whole list.
            state.subscription.resume_from(if state.directory.can_serve() { initial_list.index } else { 0 });
        }
        self.decide(balancer, Event::Started);
        self.process_steps();
    }

    /// Replaces a balancer by a newly started one.
    pub(super) fn replace_balancer(&mut self, balancer: usize, new: HollowBalancer) {
        let old = std::mem::replace(&mut self.balancers[balancer], new);
        self.progress.ready_changed(old.ready, false);
        self.progress.watching_changed(old.watching, false);
        self.start_decisions(balancer);
    }

    /// Opens a watch in place of the current one.
    pub(super) fn subscribe(&mut self, balancer: usize) {
        let host = Weak::clone(&self.weak_self);
        let events = BalancerWatch {
            host,
            balancer,
            watch_descriptors: Rc::clone(&self.balancers[balancer].watch_descriptors),
        };
        self.balancers[balancer]
            .subscription
            .renew(|request| spawn_local(discovery::watch(events, request)).abort_handle());
    }

    fn list_received(&mut self, balancer: usize, watch: WatchId, update: &Update) {
        let received_at = Instant::now();
        self.catch_up();
        self.balancers[balancer].subscription.record_update(watch, update.index);
        let list = self.apply_list(balancer, update, UpdateSource::Watch);
        self.decide(balancer, Event::Discovery(list));
        let in_force_at = Instant::now();
        self.record_list_delays(balancer, update.index, received_at, in_force_at);
        self.set_watching(balancer, true);
        self.process_steps();
    }

    /// Applies an update of the list and closes idle connections to upstreams that were restarted or no
    /// longer take requests.
    fn apply_list(&mut self, balancer: usize, update: &Update, origin: UpdateSource) -> DiscoveryUpdate {
        let state = &mut self.balancers[balancer];
        let AppliedUpdate { list, restarted } = state.apply_list(update, origin, &self.node_indices);
        let directory = &state.directory;
        let keep = |upstream| directory.ready_address(upstream).is_some() && !restarted.contains(&upstream);
        let removed = state.idle_connections.drain_except(keep);
        let ready = state.directory.can_serve();
        let was_ready = std::mem::replace(&mut state.ready, ready);
        self.progress.ready_changed(was_ready, ready);
        self.close_connections(removed);
        list
    }

    /// Records the delays until the list versions up to `version` were received and in force. Only versions
    /// count that were published after the start of the load and that the balancer had not received yet, in a
    /// patch or a whole list. Balancers on silent machines do not count.
    fn record_list_delays(
        &mut self,
        balancer: usize,
        version: u64,
        received_at: Instant,
        in_force_at: Instant,
    ) {
        let state = &mut self.balancers[balancer];
        let previous_version = state.list_version;
        state.list_version = previous_version.max(version);
        let silent = self.nodes[self.node_of(balancer)].silent;
        let Some(load_start) = self.load_start.filter(|_| !silent && version > previous_version) else {
            return;
        };
        let load_start_instant = self.epoch + load_start;
        let service = self.plan.topology.balancers[balancer].target;
        let published_times = (previous_version + 1..=version)
            .filter_map(|version| self.control.published_at(service, version));
        let mut measured = self.record.measured();
        for published_at in published_times.filter(|&published_at| published_at >= load_start_instant) {
            measured.list_delivery_us.add(received_at.saturating_duration_since(published_at));
            measured.list_in_force_us.add(in_force_at.saturating_duration_since(published_at));
        }
    }

    fn set_watching(&mut self, balancer: usize, watching: bool) {
        let was_watching = std::mem::replace(&mut self.balancers[balancer].watching, watching);
        self.progress.watching_changed(was_watching, watching);
    }

    fn watch_ended(&mut self, balancer: usize, watch: WatchId, reason: &WatchError) {
        self.catch_up();
        if !self.balancers[balancer].subscription.record_end(watch) {
            return;
        }
        self.set_watching(balancer, false);
        tracing::debug!(copy = self.balancer_name(balancer), %reason, "the discovery watch ended");
        self.decide(balancer, Event::Discovery(DiscoveryUpdate::Failed));
        self.process_steps();
    }
}
