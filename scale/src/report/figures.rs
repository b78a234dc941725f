//! Statistics in a report: percentiles, means and maxima. The unit is in the name of the report field that holds them.

use serde::Serialize;

use crate::record::DurationHistogram;

/// Microseconds in a second.
const US_PER_S: f64 = 1e6;

/// Percentiles of latencies in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// 50th percentile of the latencies, in microseconds.
    pub p50: u64,
    /// 99th percentile of the latencies, in microseconds.
    pub p99: u64,
    /// 99.9th percentile of the latencies, in microseconds.
    pub p999: u64,
    /// Number of calls measured.
    pub count: u64,
}

impl Latency {
    /// Percentiles of a histogram; `None` if it is empty.
    #[must_use]
    pub fn of(latencies: &DurationHistogram) -> Option<Self> {
        let (p50, p99) = (latencies.percentile(50.0)?, latencies.percentile(99.0)?);
        Some(Self { p50, p99, p999: latencies.percentile(99.9)?, count: latencies.count() })
    }
}

/// Latency that a balancer adds, in microseconds: each percentile of calls through it minus the same percentile of
/// calls sent directly to a node. It can be negative where the difference is within the noise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct AddedLatency {
    /// 50th percentile through the balancer minus that of direct calls, in microseconds.
    pub p50: i64,
    /// 99th percentile through the balancer minus that of direct calls, in microseconds.
    pub p99: i64,
    /// 99.9th percentile through the balancer minus that of direct calls, in microseconds.
    pub p999: i64,
}

impl AddedLatency {
    /// Difference of the percentiles; `None` if either kind of call was not made.
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

/// Seconds from a change until it takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Delay {
    /// 50th percentile of the delays, in seconds.
    pub p50: f64,
    /// 99th percentile of the delays, in seconds.
    pub p99: f64,
    /// Longest delay, in seconds.
    pub max: f64,
    /// Number of delays measured.
    pub count: u64,
}

impl Delay {
    /// Percentiles of a histogram; `None` if it is empty.
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

/// Mean and maximum of several values.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct MeanMax {
    /// Arithmetic mean.
    pub mean: f64,
    /// Largest value.
    pub max: f64,
}

impl MeanMax {
    /// Mean and maximum of these values; `None` if there are none.
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
