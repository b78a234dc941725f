//! The list of one service: its versions, and what changed lately.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use serde::Serialize;
use stilelead::discovery::{Endpoint, Update};

/// The status of an entry that has been removed; it appears among changes only.
pub(super) const GONE: &str = "gone";

/// A list with its version and the history of its latest versions.
#[derive(Debug, Clone)]
pub struct Catalog {
    version: u64,
    entries: BTreeMap<String, Arc<Endpoint>>,
    history: VecDeque<Version>,
    /// Versions that the history holds at most.
    history_most: usize,
    /// The latest texts that were made, as most watchers want the same.
    whole: Option<Line>,
    changes: Option<Changes>,
}

/// A version: what changed in it.
#[derive(Debug, Clone)]
struct Version {
    made_at: Instant,
    changed: Vec<Arc<Endpoint>>,
}

/// A line of a watch.
#[derive(Debug, Clone)]
pub struct Line {
    /// The version that a watcher has after it.
    pub version: u64,
    /// The line as JSON, with no line feed.
    pub text: Bytes,
}

/// What changed since a version.
#[derive(Debug, Clone)]
struct Changes {
    since: u64,
    line: Line,
}

/// [`Update`] with borrowed entries.
#[derive(Serialize)]
struct Written<'a> {
    index: u64,
    snapshot: bool,
    endpoints: Vec<&'a Endpoint>,
}

impl Catalog {
    /// An empty list at version 0 whose history holds `history` versions at most.
    #[must_use]
    pub fn new(history: u32) -> Self {
        Self {
            version: 0,
            entries: BTreeMap::new(),
            history: VecDeque::new(),
            history_most: history as usize,
            whole: None,
            changes: None,
        }
    }

    /// The latest version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Makes the list just this one and returns its version, which is new if anything differs.
    pub fn set_list(&mut self, endpoints: Vec<Endpoint>, now: Instant) -> u64 {
        let wanted: BTreeMap<&str, &Endpoint> =
            endpoints.iter().map(|endpoint| (endpoint.name.as_str(), endpoint)).collect();
        let left = self.entries.values().filter(|entry| !wanted.contains_key(entry.name.as_str()));
        let mut changed: Vec<Endpoint> = left.map(|entry| gone(entry)).collect();
        changed.extend(wanted.into_values().cloned());
        self.publish(changed, now)
    }

    /// Takes in one entry, or removes the one that is `gone`, and returns the list's version.
    pub fn change(&mut self, endpoint: Endpoint, now: Instant) -> u64 {
        self.publish(vec![endpoint], now)
    }

    /// The whole list.
    #[must_use]
    pub fn list(&self) -> Update {
        let endpoints = self.entries.values().map(|entry| Endpoint::clone(entry)).collect();
        Update { index: self.version, snapshot: true, endpoints }
    }

    /// When a version was made; `None` where the history does not hold it.
    #[must_use]
    pub fn made_at(&self, version: u64) -> Option<Instant> {
        Some(self.history.get(self.place(version)?)?.made_at)
    }

    /// The line with the whole list.
    pub fn whole(&mut self) -> Line {
        let version = self.version;
        match &self.whole {
            Some(line) if line.version == version => line.clone(),
            _ => {
                let entries = self.entries.values().map(Arc::as_ref).collect();
                self.whole.insert(line(version, true, entries)).clone()
            }
        }
    }

    /// The line with what changed after a version, or else with the whole list: from version 0, which stands for
    /// nothing known, and from one that the history does not reach back to.
    pub fn after(&mut self, since: u64) -> Line {
        if let Some(changes) = &self.changes
            && (changes.since, changes.line.version) == (since, self.version)
        {
            return changes.line.clone();
        }
        let Some(changed) = self.changed_after(since) else { return self.whole() };
        let line = line(self.version, false, changed.values().copied().collect());
        self.changes = Some(Changes { since, line: line.clone() });
        line
    }

    /// The latest state of each entry that changed after a version, by name.
    fn changed_after(&self, since: u64) -> Option<BTreeMap<&str, &Endpoint>> {
        if since == self.version && since > 0 {
            return Some(BTreeMap::new());
        }
        let first = if since > 0 { self.place(since + 1)? } else { return None };
        let versions = self.history.range(first..);
        let changed = versions.flat_map(|version| &version.changed);
        Some(changed.map(|entry| (entry.name.as_str(), entry.as_ref())).collect())
    }

    /// The place of a version in the history.
    fn place(&self, version: u64) -> Option<usize> {
        let back = usize::try_from(self.version.checked_sub(version)?).ok()?;
        self.history.len().checked_sub(back + 1)
    }

    /// Makes a version of those entries that differ from the list.
    fn publish(&mut self, endpoints: Vec<Endpoint>, now: Instant) -> u64 {
        let mut changed = Vec::new();
        for endpoint in endpoints {
            changed.extend(self.enter(endpoint));
        }
        if changed.is_empty() {
            return self.version;
        }
        self.version += 1;
        self.history.push_back(Version { made_at: now, changed });
        if self.history.len() > self.history_most {
            self.history.pop_front();
        }
        self.version
    }

    /// Enters or removes one entry; `None` if nothing differs.
    fn enter(&mut self, endpoint: Endpoint) -> Option<Arc<Endpoint>> {
        if endpoint.status == GONE {
            self.entries.remove(&endpoint.name)?;
            return Some(Arc::new(endpoint));
        }
        if self.entries.get(&endpoint.name).is_some_and(|entry| same(entry, &endpoint)) {
            return None;
        }
        let entry = Arc::new(endpoint);
        self.entries.insert(entry.name.clone(), entry.clone());
        Some(entry)
    }
}

fn line(version: u64, snapshot: bool, endpoints: Vec<&Endpoint>) -> Line {
    let written = Written { index: version, snapshot, endpoints };
    let text = serde_json::to_vec(&written).expect("fields of text and numbers can be written as JSON");
    Line { version, text: text.into() }
}

fn gone(entry: &Endpoint) -> Endpoint {
    Endpoint { status: GONE.to_owned(), ..entry.clone() }
}

fn same(one: &Endpoint, other: &Endpoint) -> bool {
    one.name == other.name
        && one.address == other.address
        && one.zone == other.zone
        && one.kind == other.kind
        && one.group == other.group
        && one.status == other.status
        && one.weight == other.weight
        && one.since_ms == other.since_ms
}
