//! Figures of which a report is made: percentiles, means and highest values, with their units in the names of the
//! fields that hold them.

use serde::Serialize;

use crate::record::DurationHistogram;

/// Microseconds in a second.
const US_PER_S: f64 = 1e6;

/// The middle and the tail of times in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// Half of the calls took no longer.
    pub p50: u64,
    /// 99 in 100 took no longer.
    pub p99: u64,
    /// 999 in 1,000 took no longer.
    pub p999: u64,
    /// Calls behind the figures.
    pub count: u64,
}

impl Latency {
    /// Of all times added; `None` of nothing.
    #[must_use]
    pub fn of(latencies: &DurationHistogram) -> Option<Self> {
        let (p50, p99) = (latencies.percentile(50.0)?, latencies.percentile(99.0)?);
        Some(Self { p50, p99, p999: latencies.percentile(99.9)?, count: latencies.count() })
    }
}

/// What a balancer adds, in microseconds: each percentile of calls through it less the same percentile of calls
/// sent straight. It may come out under 0 where the two are within their noise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct AddedLatency {
    /// At the middle.
    pub p50: i64,
    /// At 99 in 100.
    pub p99: i64,
    /// At 999 in 1,000.
    pub p999: i64,
}

impl AddedLatency {
    /// The difference; `None` where either was not played.
    #[must_use]
    pub fn of(through: Option<Latency>, direct: Option<Latency>) -> Option<Self> {
        let (through, direct) = (through?, direct?);
        let difference = |through: u64, direct: u64| through.cast_signed() - direct.cast_signed();
        Some(Self {
            p50: difference(through.p50, direct.p50),
            p99: difference(through.p99, direct.p99),
            p999: difference(through.p999, direct.p999),
        })
    }
}

/// Seconds from a change to what it brings about.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Delay {
    /// Half took no longer.
    pub p50: f64,
    /// 99 in 100 took no longer.
    pub p99: f64,
    /// The longest.
    pub max: f64,
    /// How many were measured.
    pub count: u64,
}

impl Delay {
    /// Of all times added; `None` of nothing.
    #[must_use]
    pub fn of(durations: &DurationHistogram) -> Option<Self> {
        let seconds = |percent| durations.percentile(percent).map(|us| us as f64 / US_PER_S);
        Some(Self {
            p50: seconds(50.0)?,
            p99: seconds(99.0)?,
            max: seconds(100.0)?,
            count: durations.count(),
        })
    }
}

/// The mean and the highest of several values.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct MeanMax {
    /// The mean.
    pub mean: f64,
    /// The highest.
    pub max: f64,
}

impl MeanMax {
    /// Of these values; `None` of nothing.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Option<Self> {
        let (mut sum, mut count, mut max) = (0.0, 0.0, f64::NEG_INFINITY);
        for value in values {
            sum += value;
            count += 1.0;
            max = value.max(max);
        }
        (count > 0.0).then(|| Self { mean: sum / count, max })
    }
}
