//! Which requests that must not run twice have run.

#[cfg(test)]
mod tests;

use std::mem;

use rustc_hash::FxHashSet;

/// Ids that a generation holds. The ids of two generations are known, which is those of the last minutes at least
/// at any rate that one machine carries.
const GENERATION: usize = 1 << 18;

/// Ids of requests that have run lately, over all nodes.
#[derive(Debug, Default)]
pub(super) struct Orders {
    recent: FxHashSet<Box<str>>,
    older: FxHashSet<Box<str>>,
}

impl Orders {
    /// A request runs; returns whether it has run before.
    pub(super) fn run(&mut self, id: &str) -> bool {
        if self.older.contains(id) || !self.recent.insert(id.into()) {
            return true;
        }
        if self.recent.len() >= GENERATION {
            self.older = mem::take(&mut self.recent);
        }
        false
    }
}
