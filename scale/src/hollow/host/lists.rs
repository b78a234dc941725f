//! What copies hear from control, and how late.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Instant;

use stilelead::directory::{Change, Origin};
use stilelead::discovery::{self, Update, WatchError, WatchEvents, WatchNumber};
use stilelead::permit::Permit;
use stilelead_decision::Event;
use stilelead_decision::interface::DiscoveryUpdate;
use tokio::task::spawn_local;

use super::Host;
use crate::hollow::copy::HollowCopy;

/// The watch of one copy reports here.
struct CopyWatch {
    host: Weak<RefCell<Host>>,
    copy: usize,
    sockets: Rc<Cell<usize>>,
}

impl WatchEvents for CopyWatch {
    fn updated(&self, watch: WatchNumber, update: Update) {
        if let Some(host) = self.host.upgrade() {
            host.borrow_mut().list_told(self.copy, watch, &update);
        }
    }

    fn ended(&self, watch: WatchNumber, reason: &WatchError) {
        if let Some(host) = self.host.upgrade() {
            host.borrow_mut().watch_broke(self.copy, watch, reason);
        }
    }

    fn reserve_descriptor(&self) -> Permit {
        Permit::acquire(&self.sockets)
    }
}

impl Host {
    /// A new copy takes in the list from its configuration and starts to decide.
    pub(super) fn begin_deciding(&mut self, copy: usize) {
        if let Some(known) = self.copies[copy].known.take() {
            let change = self.take_list(copy, &known, Origin::Configuration);
            self.decide(copy, Event::Discovery(change));
            let state = &mut self.copies[copy];
            state.version = known.index;
            // As in the balancer: a list that names nobody to serve is asked for whole.
            state.subscription.resume_from(if state.directory.can_serve() { known.index } else { 0 });
        }
        self.decide(copy, Event::Started);
        self.run_steps();
    }

    /// A new process takes the place of a copy.
    pub(super) fn replace_copy(&mut self, copy: usize, new: HollowCopy) {
        let old = std::mem::replace(&mut self.copies[copy], new);
        self.progress.now_ready(old.ready, false);
        self.progress.now_watching(old.watching, false);
        self.begin_deciding(copy);
    }

    /// Opens a watch in place of the one that stands.
    pub(super) fn subscribe(&mut self, copy: usize) {
        let host = Weak::clone(&self.itself);
        let events = CopyWatch { host, copy, sockets: Rc::clone(&self.copies[copy].sockets) };
        self.copies[copy]
            .subscription
            .renew(|request| spawn_local(discovery::watch(events, request)).abort_handle());
    }

    fn list_told(&mut self, copy: usize, watch: WatchNumber, update: &Update) {
        let told = Instant::now();
        self.catch_up();
        self.copies[copy].subscription.record_update(watch, update.index);
        let list = self.take_list(copy, update, Origin::Watch);
        self.decide(copy, Event::Discovery(list));
        let in_force = Instant::now();
        self.measure(copy, update.index, told, in_force);
        self.set_watching(copy, true);
        self.run_steps();
    }

    /// Takes a list in hand and closes the idle connections that must go.
    fn take_list(&mut self, copy: usize, update: &Update, origin: Origin) -> DiscoveryUpdate {
        let state = &mut self.copies[copy];
        let Change { list, restarted } = state.take_list(update, origin, &self.positions);
        let directory = &state.directory;
        let stays = |upstream| directory.ready_address(upstream).is_some() && !restarted.contains(&upstream);
        let closed = state.idle.drain_others(stays);
        let ready = state.directory.can_serve();
        let before = std::mem::replace(&mut state.ready, ready);
        self.progress.now_ready(before, ready);
        self.close(closed);
        list
    }

    /// Notes how late the versions up to `version` were told and came into force. Only versions count that were
    /// made after the load had begun and that the copy had not been told of, by a patch or within a whole list;
    /// copies on silent machines do not count.
    fn measure(&mut self, copy: usize, version: u64, told: Instant, in_force: Instant) {
        let state = &mut self.copies[copy];
        let before = state.version;
        state.version = before.max(version);
        let silent = self.nodes[self.node_of(copy)].silent;
        let Some(starts) = self.load_starts.filter(|_| !silent && version > before) else { return };
        let load_starts = self.zero + starts;
        let service = self.plan.topology.copies[copy].target;
        let made = (before + 1..=version).filter_map(|version| self.control.published_at(service, version));
        let mut measured = self.record.measured();
        for made_at in made.filter(|&made_at| made_at >= load_starts) {
            measured.list_delivery_us.add(told.saturating_duration_since(made_at));
            measured.list_in_force_us.add(in_force.saturating_duration_since(made_at));
        }
    }

    fn set_watching(&mut self, copy: usize, watching: bool) {
        let before = std::mem::replace(&mut self.copies[copy].watching, watching);
        self.progress.now_watching(before, watching);
    }

    fn watch_broke(&mut self, copy: usize, watch: WatchNumber, reason: &WatchError) {
        self.catch_up();
        if !self.copies[copy].subscription.record_end(watch) {
            return;
        }
        self.set_watching(copy, false);
        tracing::debug!(copy = self.name(copy), %reason, "the watch on control broke");
        self.decide(copy, Event::Discovery(DiscoveryUpdate::Failed));
        self.run_steps();
    }
}
