//! The lists of all services, as each region knows them.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::watch;

use super::catalog::Catalog;
use crate::topology::{RegionId, ServiceId};

/// The lists, and what regions that are cut off still take for them.
#[derive(Debug)]
pub(super) struct Views {
    lists: Mutex<Lists>,
    /// One for each service: something that its watchers may see has changed.
    news: Vec<watch::Sender<()>>,
}

#[derive(Debug)]
struct Lists {
    current: Vec<Catalog>,
    /// The lists as they were when the region was cut off.
    cut_off: BTreeMap<RegionId, Vec<Catalog>>,
}

impl Views {
    /// Empty lists of so many services.
    pub(super) fn new(services: usize, history: u32) -> Self {
        let lists = Lists { current: vec![Catalog::new(history); services], cut_off: BTreeMap::new() };
        Self { lists: Mutex::new(lists), news: (0..services).map(|_| watch::Sender::new(())).collect() }
    }

    /// Changes the list of a service and returns its version.
    pub(super) fn change(
        &self,
        service: ServiceId,
        change: impl FnOnce(&mut Catalog, Instant) -> u64,
    ) -> u64 {
        let version = change(&mut self.lists().current[service.0], Instant::now());
        self.news[service.0].send_replace(());
        version
    }

    /// Looks at the list of a service as it is.
    pub(super) fn look<T>(&self, service: ServiceId, look: impl FnOnce(&Catalog) -> T) -> T {
        look(&self.lists().current[service.0])
    }

    /// Looks at the list of a service as a replica in this region knows it.
    pub(super) fn known<T>(
        &self,
        region: RegionId,
        service: ServiceId,
        look: impl FnOnce(&mut Catalog) -> T,
    ) -> T {
        let mut lists = self.lists();
        let Lists { current, cut_off } = &mut *lists;
        look(&mut cut_off.get_mut(&region).unwrap_or(current)[service.0])
    }

    /// Tells whenever a watcher of this service may have something new to see.
    pub(super) fn news(&self, service: ServiceId) -> watch::Receiver<()> {
        self.news[service.0].subscribe()
    }

    /// A region learns no changes from now on.
    pub(super) fn cut(&self, region: RegionId) {
        let mut lists = self.lists();
        let known = lists.current.clone();
        lists.cut_off.entry(region).or_insert(known);
    }

    /// A region learns what it has missed.
    pub(super) fn rejoin(&self, region: RegionId) {
        if self.lists().cut_off.remove(&region).is_some() {
            for news in &self.news {
                news.send_replace(());
            }
        }
    }

    fn lists(&self) -> MutexGuard<'_, Lists> {
        self.lists.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
