//! The current list of upstreams: their names, ids, addresses and whether they accept new requests.

use std::net::SocketAddr;

use rustc_hash::{FxHashMap, FxHashSet};
use stilelead_decision::interface::{DiscoveryUpdate, MachineTypeId, Member, Phase, UpstreamId, ZoneId};
use stilelead_simulator::setup::Names;

use crate::clock::Clock;
use crate::discovery::{Endpoint, Update, shortened};

/// The source of an update of the list of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// The list in the configuration, which may be out of date.
    Configuration,
    /// The current watch on discovery.
    Watch,
    /// A watch that stays open only until its replacement has delivered an update.
    FormerWatch,
}

/// The result of applying an update to the list of upstreams.
#[derive(Debug)]
pub struct AppliedUpdate {
    /// The update in the form that the decisions receive.
    pub list: DiscoveryUpdate,
    /// Upstreams whose process was restarted: connections to the old process are dead.
    pub restarted: Vec<UpstreamId>,
}

/// The part of an upstream's latest list entry that the directory keeps.
#[derive(Debug)]
struct ListEntry {
    /// The upstream's address.
    address: SocketAddr,
    /// Unix time of the latest start in milliseconds, as discovery gives it.
    since_ms: u64,
    /// Whether the upstream accepts new requests; otherwise it is draining.
    ready: bool,
}

/// The upstreams of the latest list.
#[derive(Debug)]
pub struct Directory {
    /// Translates the start times of upstreams to the time of the decisions.
    clock: Clock,
    /// The ids of the listed upstreams by name. Replaced upstreams bring new names all the time, so the names
    /// of unlisted upstreams are dropped.
    ids: FxHashMap<Box<str>, UpstreamId>,
    /// The latest entry of each listed upstream.
    entries: FxHashMap<UpstreamId, ListEntry>,
    /// How many upstreams may be listed.
    max_entries: usize,
}

/// The longest name of an upstream, in bytes: names are kept for as long as they are listed.
const MAX_NAME_BYTES: usize = 255;

impl Directory {
    /// An empty list; start times of upstreams are translated by `clock`.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self { clock, ids: FxHashMap::default(), entries: FxHashMap::default(), max_entries: usize::MAX }
    }

    /// Limits how many upstreams may be listed; further ones are skipped from the next update on.
    pub fn set_max_entries(&mut self, max_entries: usize) {
        self.max_entries = max_entries;
    }

    /// Whether any listed upstream accepts requests.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        self.entries.values().any(|entry| entry.ready)
    }

    /// The id of a listed upstream by name.
    #[must_use]
    pub fn id_of(&self, name: &str) -> Option<UpstreamId> {
        self.ids.get(name).copied()
    }

    /// The name of a listed upstream. Searches all names, so it is meant for log lines only.
    #[must_use]
    pub fn name(&self, upstream: UpstreamId) -> Option<&str> {
        self.ids.iter().find(|&(_, &id)| id == upstream).map(|(name, _)| &**name)
    }

    /// The number of listed upstreams that accept requests, and of those that do not.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let ready = self.entries.values().filter(|entry| entry.ready).count();
        (ready, self.entries.len() - ready)
    }

    /// Whether an upstream is listed, ready or not.
    #[must_use]
    pub fn contains(&self, upstream: UpstreamId) -> bool {
        self.entries.contains_key(&upstream)
    }

    /// The address for new requests to an upstream; `None` unless the latest list has it as ready.
    #[must_use]
    pub fn ready_address(&self, upstream: UpstreamId) -> Option<SocketAddr> {
        self.entries.get(&upstream).filter(|entry| entry.ready).map(|entry| entry.address)
    }

    /// Applies an update; `names` are those of the settings in force. Malformed entries are skipped.
    pub fn apply(&mut self, update: &Update, source: UpdateSource, names: &Names) -> AppliedUpdate {
        let mut updated_ids = FxHashSet::default();
        let mut members = Vec::with_capacity(update.endpoints.len());
        let mut restarted = Vec::new();
        let replaces_list = update.snapshot || source == UpdateSource::Configuration;
        let mut skipped_count = 0;
        for endpoint in &update.endpoints {
            let listed_count = if replaces_list { updated_ids.len() } else { self.entries.len() };
            if listed_count >= self.max_entries && self.id_of(&endpoint.name).is_none() {
                skipped_count += 1;
                continue;
            }
            match self.apply_entry(endpoint, names, &mut restarted) {
                Some(member) => {
                    updated_ids.insert(member.id);
                    members.push(member);
                }
                None => {
                    let (name, status) = (shortened(&endpoint.name), shortened(&endpoint.status));
                    tracing::warn!(name, status, "skipped a malformed entry of the list");
                }
            }
        }
        if skipped_count > 0 {
            let max = self.max_entries;
            tracing::warn!(
                skipped = skipped_count,
                max,
                "the list has more upstreams than there is memory for"
            );
        }
        let list = match source {
            UpdateSource::Configuration => DiscoveryUpdate::Stale(members),
            UpdateSource::Watch | UpdateSource::FormerWatch if update.snapshot => {
                DiscoveryUpdate::Full(members)
            }
            UpdateSource::Watch | UpdateSource::FormerWatch => DiscoveryUpdate::Incremental(members),
        };
        if !matches!(list, DiscoveryUpdate::Incremental(_)) {
            self.entries.retain(|id, _| updated_ids.contains(id));
        }
        let entries = &self.entries;
        self.ids.retain(|_, id| entries.contains_key(id));
        AppliedUpdate { list, restarted }
    }

    /// Applies one entry of an update; `None` if it is malformed. A restarted upstream is added to
    /// `restarted`.
    fn apply_entry(
        &mut self,
        endpoint: &Endpoint,
        names: &Names,
        restarted: &mut Vec<UpstreamId>,
    ) -> Option<Member> {
        let phase = match endpoint.status.as_str() {
            "ready" => Phase::Ready,
            "draining" => Phase::Draining,
            "gone" => Phase::Gone,
            _ => return None,
        };
        if endpoint.name.len() > MAX_NAME_BYTES {
            return None;
        }
        let id = self.find_or_assign_id(&endpoint.name);
        if phase == Phase::Gone {
            self.entries.remove(&id);
        } else {
            // A drain applies even if its entry has no readable address: the previous address is kept.
            let previous_address =
                self.entries.get(&id).filter(|_| phase == Phase::Draining).map(|entry| entry.address);
            let address = endpoint.address.parse().ok().or(previous_address)?;
            let entry = ListEntry { address, since_ms: endpoint.since_ms, ready: phase == Phase::Ready };
            let previous = self.entries.insert(id, entry);
            if previous.is_some_and(|previous| previous.since_ms != endpoint.since_ms) {
                restarted.push(id);
            }
        }
        let weight = endpoint.weight;
        Some(Member {
            id,
            zone: names.zones.get(&endpoint.zone).copied().map(ZoneId),
            machine_type: names.machine_types.get(&endpoint.kind).copied().map(MachineTypeId),
            cell: endpoint.group,
            phase,
            weight: if weight.is_finite() && weight >= 0.0 { weight } else { 1.0 },
            started_at: self.clock.from_unix_ms(endpoint.since_ms),
        })
    }

    /// The id of an upstream: an FNV-1a hash of its name, so that all balancers order the upstreams alike and
    /// a name that is listed again gets the same id. If two names collide, the later one takes the next free
    /// id.
    fn find_or_assign_id(&mut self, name: &str) -> UpstreamId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let fnv_1a = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(16_777_619);
        let mut id = name.as_bytes().iter().fold(2_166_136_261, fnv_1a);
        while self.entries.contains_key(&UpstreamId(id)) {
            id = id.wrapping_add(1);
        }
        self.ids.insert(name.into(), UpstreamId(id));
        UpstreamId(id)
    }
}

#[cfg(test)]
mod tests;
