//! Maps instants of the process and Unix times to the clock that the decisions use.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stilelead_decision::interface::Timestamp;
use tokio::time::Instant;

/// The time that the decision clock shows when the program starts. It is above zero, so that upstreams which
/// started before the program have a time on it as well. An upstream that started even earlier has long been
/// warm.
const CLOCK_LEAD: Duration = Duration::from_secs(3600);

/// The clock of the decisions: translates instants and Unix times to it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// When the clock was started.
    started_at: Instant,
    /// Unix time in milliseconds at which the decision clock reads zero.
    zero_unix_ms: u64,
}

impl Clock {
    /// Starts a clock that shows `CLOCK_LEAD` now.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), zero_unix_ms: unix.saturating_sub(CLOCK_LEAD).as_millis() as u64 }
    }

    /// The current time on the decision clock.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.at(Instant::now())
    }

    /// Translates an instant; one before the start of the clock gives the time of the start.
    #[must_use]
    pub fn at(&self, instant: Instant) -> Timestamp {
        CLOCK_LEAD + instant.saturating_duration_since(self.started_at)
    }

    /// Translates a Unix time in milliseconds; `None` if it lies at or before the clock's zero.
    #[must_use]
    pub fn from_unix_ms(&self, unix_ms: u64) -> Option<Timestamp> {
        unix_ms.checked_sub(self.zero_unix_ms).filter(|&since_zero| since_zero > 0).map(Duration::from_millis)
    }
}
