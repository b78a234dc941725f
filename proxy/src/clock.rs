//! The clock of the decisions beside the machine's.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stilelead_decision::interface::Timestamp;
use tokio::time::Instant;

/// How far the module's clock runs ahead of the program's start: upstreams that started before it have a
/// time on that clock too. One that started earlier still has been warm for long.
const CLOCK_LEAD: Duration = Duration::from_secs(3600);

/// Reads the module's clock and translates times to it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    zero: Instant,
    /// Unix time in milliseconds at the zero of the module's clock.
    zero_ms: u64,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { zero: Instant::now(), zero_ms: unix.saturating_sub(CLOCK_LEAD).as_millis() as u64 }
    }

    /// The time on it now.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.at(Instant::now())
    }

    /// The time on it at an instant; that of its start for earlier ones.
    #[must_use]
    pub fn at(&self, instant: Instant) -> Timestamp {
        CLOCK_LEAD + instant.saturating_duration_since(self.zero)
    }

    /// The time on it of a Unix time in milliseconds; `None` of one long ago.
    #[must_use]
    pub fn of_unix(&self, unix_ms: u64) -> Option<Timestamp> {
        unix_ms.checked_sub(self.zero_ms).filter(|&since| since > 0).map(Duration::from_millis)
    }
}
