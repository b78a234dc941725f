//! The ids that clients give their requests: which of them are in progress, and which may have run. A request that
//! must not be repeated may come again with the same id, when its client has lost its connection, and must not run
//! twice then.

use std::collections::VecDeque;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::time::Duration;

use rustc_hash::FxHashSet;
use siphasher::sip128::{Hasher128, SipHasher13};
use thiserror::Error;
use tokio::time::Instant;

/// How long an id is remembered after its request: many times as long as clients wait for their answers.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// How many ids of ended requests are remembered at most, the latest ones. Clients may send ever new ids.
const MAX_REMEMBERED: usize = 16_384;

/// Why a request with an id that was used before is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RepeatedId {
    /// A request with this id has no answer yet, or still has attempts in flight.
    #[error("a request with this id is open")]
    Open,
    /// An earlier request with this id may have run, and must not run again.
    #[error("a request with this id may have run")]
    MayHaveRun,
}

/// Stands for an id, which may be thousands of bytes long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct IdDigest(u128);

/// The ids of requests in progress, and of those that may have run.
#[derive(Debug)]
pub struct RequestIds {
    /// The key of the digests: nobody can choose ids with equal ones.
    key: (u64, u64),
    /// The ids of requests in progress.
    open: FxHashSet<IdDigest>,
    /// The ids of ended requests that may have run.
    executed: FxHashSet<IdDigest>,
    /// The same in the order of their end, with its time.
    executed_in_order: VecDeque<(IdDigest, Instant)>,
}

impl Default for RequestIds {
    fn default() -> Self {
        let random_number = || RandomState::new().hash_one(());
        Self {
            key: (random_number(), random_number()),
            open: FxHashSet::default(),
            executed: FxHashSet::default(),
            executed_in_order: VecDeque::new(),
        }
    }
}

impl RequestIds {
    /// Begins a request with this id.
    ///
    /// # Errors
    /// The id is in use, or a request with it may have run.
    pub fn open(&mut self, id: &[u8], now: Instant) -> Result<IdDigest, RepeatedId> {
        self.forget_oldest(now);
        let digest = self.digest(id);
        if self.executed.contains(&digest) {
            return Err(RepeatedId::MayHaveRun);
        }
        if self.open.insert(digest) { Ok(digest) } else { Err(RepeatedId::Open) }
    }

    /// Ends a request; `may_have_run` if it must not be repeated and may have run.
    pub fn close(&mut self, digest: IdDigest, may_have_run: bool, now: Instant) {
        self.open.remove(&digest);
        if may_have_run && self.executed.insert(digest) {
            self.executed_in_order.push_back((digest, now));
        }
        self.forget_oldest(now);
    }

    /// Forgets ids that have been remembered for long enough, or are too many.
    fn forget_oldest(&mut self, now: Instant) {
        while let Some(&(oldest, ended_at)) = self.executed_in_order.front() {
            let is_recent = now < ended_at + REMEMBERED_FOR;
            if is_recent && self.executed_in_order.len() <= MAX_REMEMBERED {
                return;
            }
            self.executed.remove(&oldest);
            self.executed_in_order.pop_front();
        }
    }

    /// The digest of an id.
    fn digest(&self, id: &[u8]) -> IdDigest {
        let mut hasher = SipHasher13::new_with_keys(self.key.0, self.key.1);
        hasher.write(id);
        IdDigest(hasher.finish128().as_u128())
    }
}

#[cfg(test)]
mod tests;
