//! Detects requests that ran twice although they must run at most once.

#[cfg(test)]
mod tests;

use std::mem;

use rustc_hash::FxHashSet;

/// Ids per generation. Two generations are kept, which covers at least the last few minutes at any rate that
/// one machine can carry.
const IDS_PER_GENERATION: usize = 1 << 18;

/// Ids of recently run requests of the class `order`, which must run at most once, over all nodes.
#[derive(Debug, Default)]
pub(super) struct OrderHistory {
    recent_ids: FxHashSet<Box<str>>,
    older_ids: FxHashSet<Box<str>>,
}

impl OrderHistory {
    /// Records that a request runs; returns whether it has run before.
    pub(super) fn record_run(&mut self, id: &str) -> bool {
        if self.older_ids.contains(id) || !self.recent_ids.insert(id.into()) {
            return true;
        }
        if self.recent_ids.len() >= IDS_PER_GENERATION {
            self.older_ids = mem::take(&mut self.recent_ids);
        }
        false
    }
}
