//! The member list of one service, with its version and recent changes.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use serde::Serialize;
use stilelead::discovery::{Endpoint, Update};

/// The status of a removed entry; it appears only among changes.
pub(super) const STATUS_GONE: &str = "gone";

/// A list with its version and the history of its latest versions.
#[derive(Debug, Clone)]
pub struct Catalog {
    version: u64,
    entries: BTreeMap<String, Arc<Endpoint>>,
    history: VecDeque<Version>,
    /// Maximum number of versions in the history.
    max_versions: usize,
    /// The latest serialized lines, kept because most watchers ask for the same ones.
    full_list: Option<Line>,
    changes: Option<Changes>,
}

/// One version of the list: the entries that changed in it.
#[derive(Debug, Clone)]
struct Version {
    published_at: Instant,
    changed: Vec<Arc<Endpoint>>,
}

/// One line of a watch: a list update as it is written to a balancer.
#[derive(Debug, Clone)]
pub struct Line {
    /// The version that a watcher has after this line.
    pub version: u64,
    /// The line as JSON, without the line feed.
    pub text: Bytes,
}

/// A cached watch line with all changes since a version.
#[derive(Debug, Clone)]
struct Changes {
    since: u64,
    line: Line,
}

/// [`Update`] with borrowed entries, so that a list is written as JSON without being copied.
#[derive(Serialize)]
struct SerializedUpdate<'a> {
    index: u64,
    snapshot: bool,
    endpoints: Vec<&'a Endpoint>,
}

impl Catalog {
    /// An empty list at version 0, with a history of at most `history` versions.
    #[must_use]
    pub fn new(history: u32) -> Self {
        Self {
            version: 0,
            entries: BTreeMap::new(),
            history: VecDeque::new(),
            max_versions: history as usize,
            full_list: None,
            changes: None,
        }
    }

    /// The latest version of the list.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the whole list and returns its version, which is a new one if anything differs.
    pub fn set_list(&mut self, endpoints: Vec<Endpoint>, now: Instant) -> u64 {
        let wanted: BTreeMap<&str, &Endpoint> =
            endpoints.iter().map(|endpoint| (endpoint.name.as_str(), endpoint)).collect();
        let removed = self.entries.values().filter(|entry| !wanted.contains_key(entry.name.as_str()));
        let mut changed: Vec<Endpoint> = removed.map(|entry| as_removed(entry)).collect();
        changed.extend(wanted.into_values().cloned());
        self.publish(changed, now)
    }

    /// Adds or updates one entry, or removes it if its status is `gone`; returns the list's version.
    pub fn update_entry(&mut self, endpoint: Endpoint, now: Instant) -> u64 {
        self.publish(vec![endpoint], now)
    }

    /// The whole list with its version.
    #[must_use]
    pub fn list(&self) -> Update {
        let endpoints = self.entries.values().map(|entry| Endpoint::clone(entry)).collect();
        Update { index: self.version, snapshot: true, endpoints }
    }

    /// When a version was published; `None` if the history does not hold it.
    #[must_use]
    pub fn published_at(&self, version: u64) -> Option<Instant> {
        Some(self.history.get(self.history_index(version)?)?.published_at)
    }

    /// The watch line with the whole list.
    pub fn full_list_line(&mut self) -> Line {
        let version = self.version;
        match &self.full_list {
            Some(line) if line.version == version => line.clone(),
            _ => {
                let entries = self.entries.values().map(Arc::as_ref).collect();
                self.full_list.insert(make_line(version, true, entries)).clone()
            }
        }
    }

    /// The line with the changes after a version. It holds the whole list instead if `since` is 0, which
    /// stands for no known version, or if the history does not reach back to it.
    pub fn changes_line(&mut self, since: u64) -> Line {
        if let Some(changes) = &self.changes
            && (changes.since, changes.line.version) == (since, self.version)
        {
            return changes.line.clone();
        }
        let Some(changed) = self.entries_changed_after(since) else { return self.full_list_line() };
        let line = make_line(self.version, false, changed.values().copied().collect());
        self.changes = Some(Changes { since, line: line.clone() });
        line
    }

    /// The latest state of each entry that changed after a version, by name.
    fn entries_changed_after(&self, since: u64) -> Option<BTreeMap<&str, &Endpoint>> {
        if since == self.version && since > 0 {
            return Some(BTreeMap::new());
        }
        let first_index = if since > 0 { self.history_index(since + 1)? } else { return None };
        let versions = self.history.range(first_index..);
        let changed = versions.flat_map(|version| &version.changed);
        Some(changed.map(|entry| (entry.name.as_str(), entry.as_ref())).collect())
    }

    /// The index of a version in the history; `None` if the history does not hold it.
    fn history_index(&self, version: u64) -> Option<usize> {
        let versions_back = usize::try_from(self.version.checked_sub(version)?).ok()?;
        self.history.len().checked_sub(versions_back + 1)
    }

    /// Publishes the entries that differ from the list as a new version.
    fn publish(&mut self, endpoints: Vec<Endpoint>, now: Instant) -> u64 {
        let mut changed = Vec::new();
        for endpoint in endpoints {
            changed.extend(self.apply(endpoint));
        }
        if changed.is_empty() {
            return self.version;
        }
        self.version += 1;
        self.history.push_back(Version { published_at: now, changed });
        if self.history.len() > self.max_versions {
            self.history.pop_front();
        }
        self.version
    }

    /// Applies one entry to the list; `None` if nothing changed.
    fn apply(&mut self, endpoint: Endpoint) -> Option<Arc<Endpoint>> {
        if endpoint.status == STATUS_GONE {
            self.entries.remove(&endpoint.name)?;
            return Some(Arc::new(endpoint));
        }
        if self.entries.get(&endpoint.name).is_some_and(|entry| is_same_entry(entry, &endpoint)) {
            return None;
        }
        let entry = Arc::new(endpoint);
        self.entries.insert(entry.name.clone(), entry.clone());
        Some(entry)
    }
}

fn make_line(version: u64, snapshot: bool, endpoints: Vec<&Endpoint>) -> Line {
    let update = SerializedUpdate { index: version, snapshot, endpoints };
    let text = serde_json::to_vec(&update).expect("fields of text and numbers can be written as JSON");
    Line { version, text: text.into() }
}

fn as_removed(entry: &Endpoint) -> Endpoint {
    Endpoint { status: STATUS_GONE.to_owned(), ..entry.clone() }
}

fn is_same_entry(one: &Endpoint, other: &Endpoint) -> bool {
    one.name == other.name
        && one.address == other.address
        && one.zone == other.zone
        && one.kind == other.kind
        && one.group == other.group
        && one.status == other.status
        && one.weight == other.weight
        && one.since_ms == other.since_ms
}
