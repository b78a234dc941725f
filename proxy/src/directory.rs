//! The list in hand: which upstreams there are, where they listen and whether they take work.

use std::net::SocketAddr;

use rustc_hash::{FxHashMap, FxHashSet};
use stilelead_decision::interface::{DiscoveryUpdate, MachineTypeId, Member, Phase, UpstreamId, ZoneId};
use stilelead_simulator::setup::Names;

use crate::clock::Clock;
use crate::discovery::{Endpoint, Update};

/// Where an update of the list comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The configuration, which may be old.
    Configuration,
    /// A watch.
    Watch,
    /// A watch that another one is to take the place of.
    FormerWatch,
}

/// What an update of the list comes to.
#[derive(Debug)]
pub struct Change {
    /// The word for the decisions.
    pub list: DiscoveryUpdate,
    /// Upstreams whose process is a new one; the old one took its connections along.
    pub restarted: Vec<UpstreamId>,
}

#[derive(Debug)]
struct Listed {
    address: SocketAddr,
    since_ms: u64,
    ready: bool,
}

/// The upstreams as last told.
#[derive(Debug)]
pub struct Directory {
    clock: Clock,
    /// The numbers of the upstreams listed. Names are ever new, so those of others are forgotten.
    ids: FxHashMap<Box<str>, UpstreamId>,
    listed: FxHashMap<UpstreamId, Listed>,
}

impl Directory {
    /// An empty list; times of starts are told on `clock`.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self { clock, ids: FxHashMap::default(), listed: FxHashMap::default() }
    }

    /// Whether it names an upstream that requests can go to.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        self.listed.values().any(|listed| listed.ready)
    }

    /// The number of an upstream that is listed.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<UpstreamId> {
        self.ids.get(name).copied()
    }

    /// The name of an upstream that is listed, found by search: for the log.
    #[must_use]
    pub fn name(&self, upstream: UpstreamId) -> Option<&str> {
        self.ids.iter().find(|&(_, &id)| id == upstream).map(|(name, _)| &**name)
    }

    /// How many of the upstreams listed take requests, and how many do not.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let ready = self.listed.values().filter(|listed| listed.ready).count();
        (ready, self.listed.len() - ready)
    }

    /// Whether an upstream is listed, ready or not.
    #[must_use]
    pub fn lists(&self, upstream: UpstreamId) -> bool {
        self.listed.contains_key(&upstream)
    }

    /// Where new work for an upstream goes; `None` if discovery's last word allows none.
    #[must_use]
    pub fn ready_address(&self, upstream: UpstreamId) -> Option<SocketAddr> {
        self.listed.get(&upstream).filter(|listed| listed.ready).map(|listed| listed.address)
    }

    /// Takes in an update; `names` are those of the settings in force. Entries that make no sense are passed over.
    pub fn take(&mut self, update: &Update, origin: Origin, names: &Names) -> Change {
        let mut seen = FxHashSet::default();
        let mut members = Vec::with_capacity(update.endpoints.len());
        let mut restarted = Vec::new();
        for endpoint in &update.endpoints {
            match self.member(endpoint, names, &mut restarted) {
                Some(member) => {
                    seen.insert(member.id);
                    members.push(member);
                }
                None => tracing::warn!(?endpoint, "passed over a malformed entry of the list"),
            }
        }
        let list = match origin {
            Origin::Configuration => DiscoveryUpdate::Stale(members),
            Origin::Watch | Origin::FormerWatch if update.snapshot => DiscoveryUpdate::Full(members),
            Origin::Watch | Origin::FormerWatch => DiscoveryUpdate::Incremental(members),
        };
        if !matches!(list, DiscoveryUpdate::Incremental(_)) {
            self.listed.retain(|id, _| seen.contains(id));
        }
        let listed = &self.listed;
        self.ids.retain(|_, id| listed.contains_key(id));
        Change { list, restarted }
    }

    fn member(
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
        let id = self.id(&endpoint.name);
        if phase == Phase::Gone {
            self.listed.remove(&id);
        } else {
            // A drain holds, whatever has become of the address.
            let known = self.listed.get(&id).filter(|_| phase == Phase::Draining).map(|known| known.address);
            let address = endpoint.address.parse().ok().or(known)?;
            let listed = Listed { address, since_ms: endpoint.since_ms, ready: phase == Phase::Ready };
            let before = self.listed.insert(id, listed);
            if before.is_some_and(|before| before.since_ms != endpoint.since_ms) {
                restarted.push(id);
            }
        }
        let weight = endpoint.weight;
        Some(Member {
            id,
            zone: names.zones.get(&endpoint.zone).copied().map(ZoneId),
            machine_type: names.kinds.get(&endpoint.kind).copied().map(MachineTypeId),
            cell: endpoint.group,
            phase,
            weight: if weight.is_finite() && weight >= 0.0 { weight } else { 1.0 },
            started_at: self.clock.of_unix(endpoint.since_ms),
        })
    }

    /// The number of an upstream: from its name alone, so that all balancers sort them alike and a name that
    /// comes back finds its number. Should two names meet, the later one takes the next free number.
    fn id(&mut self, name: &str) -> UpstreamId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let fnv = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(16_777_619);
        let mut number = name.as_bytes().iter().fold(2_166_136_261, fnv);
        while self.listed.contains_key(&UpstreamId(number)) {
            number = number.wrapping_add(1);
        }
        self.ids.insert(name.into(), UpstreamId(number));
        UpstreamId(number)
    }
}

#[cfg(test)]
mod tests;
