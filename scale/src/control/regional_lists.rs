//! The member lists of all services, as each region sees them.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::watch;

use super::catalog::Catalog;
use crate::topology::{RegionId, ServiceId};

/// The current lists, and the outdated lists that regions see while they are cut off.
#[derive(Debug)]
pub(super) struct RegionalLists {
    lists: Mutex<Lists>,
    /// By service: notified when a change may be visible to its watchers.
    changes: Vec<watch::Sender<()>>,
}

#[derive(Debug)]
struct Lists {
    current: Vec<Catalog>,
    /// By region: the lists at the time when it was cut off.
    cut_off: BTreeMap<RegionId, Vec<Catalog>>,
}

impl RegionalLists {
    /// Creates empty lists for `services` services.
    pub(super) fn new(services: usize, history: u32) -> Self {
        let lists = Lists { current: vec![Catalog::new(history); services], cut_off: BTreeMap::new() };
        Self { lists: Mutex::new(lists), changes: (0..services).map(|_| watch::Sender::new(())).collect() }
    }

    /// Updates the list of a service and returns its version.
    pub(super) fn update(
        &self,
        service: ServiceId,
        update: impl FnOnce(&mut Catalog, Instant) -> u64,
    ) -> u64 {
        let version = update(&mut self.lists().current[service.0], Instant::now());
        self.changes[service.0].send_replace(());
        version
    }

    /// Reads the current list of a service.
    pub(super) fn read<T>(&self, service: ServiceId, read: impl FnOnce(&Catalog) -> T) -> T {
        read(&self.lists().current[service.0])
    }

    /// Reads the list of a service as the replicas in a region see it.
    pub(super) fn read_in_region<T>(
        &self,
        region: RegionId,
        service: ServiceId,
        read: impl FnOnce(&mut Catalog) -> T,
    ) -> T {
        let mut lists = self.lists();
        let Lists { current, cut_off } = &mut *lists;
        read(&mut cut_off.get_mut(&region).unwrap_or(current)[service.0])
    }

    /// Subscribes to notifications that the list of a service may have changed for its watchers.
    pub(super) fn subscribe(&self, service: ServiceId) -> watch::Receiver<()> {
        self.changes[service.0].subscribe()
    }

    /// Stops list changes from reaching a region.
    pub(super) fn cut_off(&self, region: RegionId) {
        let mut lists = self.lists();
        let snapshot = lists.current.clone();
        lists.cut_off.entry(region).or_insert(snapshot);
    }

    /// Makes a region see the current lists again.
    pub(super) fn rejoin(&self, region: RegionId) {
        if self.lists().cut_off.remove(&region).is_some() {
            for changes in &self.changes {
                changes.send_replace(());
            }
        }
    }

    fn lists(&self) -> MutexGuard<'_, Lists> {
        self.lists.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
