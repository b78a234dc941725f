//! Every decision of the balancer. Its settings, events and actions are in `interface.rs`.
//!
//! The parts, in the order in which a request meets them:
//! 1. [`Suppressor`] counts a tenant's calls and admits with a smoothly falling probability;
//! 2. [`LearnedLimit`] is the rate that the suppressor holds a tenant to;
//! 3. [`Subset`] is the copy's part of the tier, from which the less busy of two is picked;
//! 4. [`Upstream`] is what the copy knows of an upstream: health, warmth, own calls in flight;
//! 5. [`Ledger`] holds the requests with their attempts and the budgets for further ones;
//! 6. [`Discovery`] keeps the list coming; `list_trust` says how far it is relied on meanwhile.
//!
//! [`Balancer`] joins them: ONE gate, [`Balancer::send`], lets attempts out, and ONE path,
//! [`Balancer::finish`], ends requests unserved.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use oorandom::Rand64;
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::interface::{
    Action, AttemptEnded, AttemptNumber, Capabilities, ClassId, DedupScope, DiscoveryMode, DiscoveryUpdate,
    Event, Idempotency, MachineTypeId, Member, Outcome, Phase, Request, RequestId, Rules, Settings,
    SettingsError, TenantId, Timestamp, UpstreamId,
};
use crate::list_trust::ListTrust;
use crate::report::{Report, UnservedReason};

// --- Constants. Values that differ between sites are in the settings. ---

/// Length of a bucket of the sliding window, in seconds. A suppression probability is cached for as long, so
/// that each one is computed from whole buckets.
const BUCKET_S: f64 = 0.1;
/// Number of buckets in the window. Three seconds smooth random variation at a few calls a second, and a burst
/// is soon forgotten.
const WINDOW_BUCKETS: usize = 30;
/// Length of the window, in seconds.
const WINDOW_S: f64 = BUCKET_S * WINDOW_BUCKETS as f64;
/// Number of calls that the window shared by all tenants should hold at its fair share, so that random
/// variation does not decide its outcome; the buckets of that window are lengthened to reach it ...
const MIN_SHARED_WINDOW_CALLS: f64 = 30.0;
/// ... up to this many times [`BUCKET_S`].
const MAX_SHARED_BUCKET_FACTOR: f64 = 4.0;
/// Number of buckets in the last 1000 ms.
const LAST_SECOND_BUCKETS: u64 = 10;
/// Hard limit as a multiple of the soft limit. It is wide because a lower one would also deny a tenant that
/// sends several times its share everything.
const HARD_LIMIT_FACTOR: f64 = 32.0;
/// The most that all tenants of a replica together may send beyond their fair shares while there is no
/// congestion, as a fraction of the fair shares ...
const MAX_EXCESS_FRACTION: f64 = 0.4;
/// ... and the fair share in calls per second at which half of that is allowed: the fewer calls a replica sees,
/// the later it notices congestion.
const HALF_EXCESS_CALLS_PER_S: f64 = 12.0;
/// Value of requests over quota from which the excess is worth serving, so that limits have no ceiling.
const UNCAPPED_MIN_OVER_QUOTA_VALUE: f64 = 0.5;
/// Margin above a fair share for random variation, in standard deviations, so that a tenant with few calls is
/// not mistaken for one with too many.
const FAIR_SHARE_STD_DEVS: f64 = 1.0;
/// Calls per second that a call served in time adds to a limit: about 5% per second at the limit.
const RATE_INCREASE_CALLS_PER_S: f64 = 0.05;
/// The same while the limit is below what is within the quotas: about 15% per second, which recovers from a
/// quarter of the rate in ten seconds.
const RATE_RECOVERY_CALLS_PER_S: f64 = 0.15;
/// Factor by which a decrease multiplies a limit.
const DECREASE_FACTOR: f64 = 0.85;
/// Time between two decreases, in seconds; drawn at random so that replicas do not decrease at the same moment.
const DECREASE_INTERVAL_S: Range<f64> = 0.25..0.5;
/// Factor by which a decrease multiplies a limit in overload: overloaded servers stop serving within seconds.
const OVERLOAD_DECREASE_FACTOR: f64 = 0.7;
/// Congestion that counts as overload, at which the floor of a limit has come down ...
const OVERLOAD_CONGESTION: f64 = 0.7;
/// ... to this fraction of the fair share, which an overloaded tier can still serve.
const OVERLOAD_FLOOR_FRACTION: f64 = 0.25;
/// Floor of a limit without a quota, as a fraction of the mean accepted rate. It is high because a call denied
/// below the first tier makes the whole request above it fail.
const UNQUOTED_FLOOR_FRACTION: f64 = 0.7;
/// Weight of one periodic update in the mean accepted rate.
const MEAN_RATE_EWMA_WEIGHT: f64 = 0.02;
/// Minimum fraction of a tier's capacity that is assumed to be available: if more of it is ejected, the whole
/// tier has a problem and no servers have been lost.
const MIN_CAPACITY_FRACTION: f64 = 0.5;
/// Fraction by which the remaining upstreams of a tier may exceed their part of the load while there is no
/// congestion, because quotas do not tell the capacity. This does harm where the quotas are all that the tier
/// can serve, until the congestion shows.
const SPARE_CAPACITY_FRACTION: f64 = 0.5;
/// How much longer calls of the local zone must take than calls of other zones before any calls leave it, as a
/// fraction of their latency targets: more than the noise of some twenty calls ...
const LOCAL_LATENCY_TOLERANCE: f64 = 0.03;
/// ... plus this much for each unit of the cost of crossing zones.
const LOCAL_LATENCY_TOLERANCE_PER_COST: f64 = 0.5;
/// What a periodic update adds to the fraction of calls that stays in the local zone ...
const LOCAL_SHARE_INCREASE: f64 = 0.004;
/// ... or takes off it if the local zone is slower.
const LOCAL_SHARE_DECREASE: f64 = 0.03;
/// Random factor of each of these steps.
const LOCAL_SHARE_STEP_JITTER: Range<f64> = 0.5..1.5;
/// Average number of replicas that have a given upstream in their subset.
const REPLICAS_PER_UPSTREAM: f64 = 4.0;
/// Minimum size of a subset: in a smaller one, two draws too often give the same upstream.
const MIN_SUBSET_SIZE: usize = 8;
/// Stride between the positions of consecutive replicas on the ring of upstreams, as a fraction of the number of
/// replicas.
const INVERSE_GOLDEN_RATIO: f64 = 0.618;
/// Weight of one outcome in an upstream's failure rate; the second failure in a row stands out.
const FAILURE_EWMA_WEIGHT: f64 = 0.2;
/// Weight of one outcome in the tier's failure rate, and of one latency in its slowness.
const TIER_EWMA_WEIGHT: f64 = 0.02;
/// An upstream is ejected if its failure rate is above this ...
const EJECTION_MIN_FAILURE_RATE: f64 = 0.3;
/// ... plus this multiple of the tier's failure rate.
const EJECTION_TIER_FAILURE_FACTOR: f64 = 2.0;
/// Number of failed connects in a row, with no response between them, from which an upstream counts as
/// unreachable. An upstream that answers on other connections is reachable, however many connects fail.
const UNREACHABLE_CONNECT_FAILURES: u32 = 2;
/// Maximum fraction of a zone group that is ejected at a time: the rest must carry the load.
const MAX_EJECTED_FRACTION: f64 = 0.34;
/// Duration of the first ejection, in seconds; doubled each time that the upstream fails again on its return ...
const INITIAL_EJECTION_S: f64 = 1.5;
/// ... up to this.
const MAX_EJECTION_S: f64 = 12.0;
/// Random factor of the duration of an ejection.
const EJECTION_JITTER: Range<f64> = 0.75..1.25;
/// Fraction of its normal selection probability with which an upstream returns from ejection; doubled by each
/// good answer.
const INITIAL_RETURN_PROBABILITY: f64 = 0.1;
/// An upstream with attempts in flight is stalled if it has not responded for this many typical latencies ...
const STALL_LATENCY_FACTOR: f64 = 3.0;
/// ... and for at least this many seconds.
const MIN_STALL_S: f64 = 0.25;
/// Minimum weight of one latency in an upstream's slowness; the first ones weigh more.
const SLOWNESS_EWMA_WEIGHT: f64 = 0.15;
/// Maximum slowness of one call: its latency as a multiple of the typical latency.
const MAX_SLOWNESS_SAMPLE: f64 = 8.0;
/// Weight of one latency in the slowness of its machine type, which is known before that of single upstreams.
const MACHINE_TYPE_SLOWNESS_EWMA_WEIGHT: f64 = 0.1;
/// Maximum slowness of one call as counted for a machine type: upstreams that have restarted after a crash or
/// overload of their whole type must still be sent calls.
const MAX_MACHINE_TYPE_SLOWNESS_SAMPLE: f64 = 2.0;
/// Minimum of the factor by which slowness lowers the selection probability: an upstream needs calls for its
/// recovery to be noticed.
const MIN_SLOWNESS_WEIGHT: f64 = 0.05;
/// Weight of one call in the relative latency of a zone group.
const ZONE_LATENCY_EWMA_WEIGHT: f64 = 0.05;
/// Weight of one periodic update in the send rate of warm upstreams.
const WARM_RATE_EWMA_WEIGHT: f64 = 0.2;
/// Seconds of its send rate that an upstream in slow start may save up as tokens, in addition to one.
const SLOW_START_BURST_S: f64 = 0.5;
/// Tokens that a request adds to the budget for retries of attempts that may have been executed ...
const RETRY_TOKENS_PER_REQUEST: f64 = 0.1;
/// ... and the maximum of that budget.
const MAX_RETRY_TOKENS: f64 = 10.0;
/// Tokens that a request adds to the budget for retries of attempts that were certainly not executed ...
const REROUTE_TOKENS_PER_REQUEST: f64 = 0.5;
/// ... and the maximum of that budget.
const MAX_REROUTE_TOKENS: f64 = 20.0;
/// Time over which congestion is averaged, in seconds: overloaded servers stop serving within two.
const CONGESTION_WINDOW_S: f64 = 2.0;
/// Maximum weight of one call in that average.
const MAX_CONGESTION_SAMPLE_WEIGHT: f64 = 0.15;
/// Congestion from which limits are decreased.
const CONGESTION_THRESHOLD: f64 = 0.2;
/// Time over which the typical latency of a class is averaged, in seconds; long, so that latencies under
/// congestion do not become the typical ones ...
const TYPICAL_LATENCY_WINDOW_S: f64 = 20.0;
/// ... and the maximum weight of one call in it.
const MAX_TYPICAL_LATENCY_STEP: f64 = 0.02;
/// Under congestion, that weight is divided by this.
const CONGESTED_LEARNING_DIVISOR: f64 = 10.0;
/// Latencies below this are counted as this, in seconds, so that their logarithm is finite.
const MIN_LATENCY_S: f64 = 1e-4;
/// Congestion sample of a call that failed or was late, and the maximum for other calls. Their sample is the
/// natural logarithm of their latency over the typical one, roughly the number of doublings, so that a few heavy
/// calls count little and a general delay counts much.
const MAX_CONGESTION_SAMPLE: f64 = 2.0;
/// Minimum congestion sample, of a call faster than typical.
const MIN_CONGESTION_SAMPLE: f64 = -1.0;
/// Failure rate of the tier from which an error counts as congestion further down and not as one bad upstream.
/// Served calls must be slowed down as well: faults also make calls fail, and fewer calls do not repair them.
const CONGESTION_TIER_FAILURE_RATE: f64 = 0.1;
/// Time that an attempt must have left to be worth sending, in seconds.
const MIN_ATTEMPT_TIMEOUT_S: f64 = 0.001;
/// Time between periodic updates, in seconds.
const PERIODIC_UPDATE_INTERVAL_S: f64 = 0.2;
/// Maximum number of pairs that are drawn until an upstream is no busier than the average of the subset.
const MAX_PAIRS: usize = 4;
/// Cost of a handshake when upstreams are compared, in attempts in flight. It counts only where handshakes have
/// a cost; a replica with few calls then uses few upstreams of its subset, over connections that stay open.
const HANDSHAKE_COST: f64 = 1.0;
/// Maximum number of draws for each candidate of a pair.
const MAX_DRAWS: usize = 6;
/// Minimum time before a failed subscription is opened again, in seconds; doubled with each failure.
const MIN_RESUBSCRIBE_BACKOFF_S: f64 = 0.5;
/// Random factor of that time where replicas must poll discovery.
const RESUBSCRIBE_JITTER: Range<f64> = 0.5..1.0;
/// Longest wait for a subscription, as a fraction of the interval within which a replica must ask discovery.
const SUBSCRIBE_WAIT_FRACTION: f64 = 0.4;
/// Interval that this fraction is taken of where lists are pushed and no interval is set, in seconds.
const DEFAULT_POLL_INTERVAL_S: f64 = 10.0;

// --- 1. Suppressor ---

#[derive(Debug, Clone, Copy, Default)]
struct CallCounts {
    total: u32,
    accepted: u32,
}

/// The suppressed strategy of the source page for one key.
#[derive(Debug, Default)]
struct Suppressor {
    bucket_s: f64,
    buckets: [CallCounts; WINDOW_BUCKETS],
    current_bucket: u64,
    /// The bucket of the first call.
    first_bucket: Option<u64>,
    window_counts: CallCounts,
    /// The part of a call that the room under the soft limit must pass, and the bucket of the next cast.
    admission_threshold: f64,
    threshold_redraw_bucket: u64,
    suppression_probability: f64,
    probability_bucket: Option<u64>,
}

impl Suppressor {
    fn new(bucket_s: f64) -> Self {
        Self { bucket_s, ..Self::default() }
    }

    fn advance(&mut self, now: f64) {
        let now_bucket = (now / self.bucket_s) as u64;
        let steps = now_bucket.saturating_sub(self.current_bucket).min(WINDOW_BUCKETS as u64);
        for step in 1..=steps {
            let bucket = &mut self.buckets[((self.current_bucket + step) % WINDOW_BUCKETS as u64) as usize];
            self.window_counts.total -= bucket.total;
            self.window_counts.accepted -= bucket.accepted;
            *bucket = CallCounts::default();
        }
        self.current_bucket = self.current_bucket.max(now_bucket);
    }

    fn accepted_rate(&mut self, now: f64) -> f64 {
        self.advance(now);
        f64::from(self.window_counts.accepted) / self.observed_window_s()
    }

    /// Seconds that the window has seen. A fresh copy's empty window would let seconds of overload through
    /// whole before it fills, and all copies of a fresh fleet together.
    fn observed_window_s(&self) -> f64 {
        let first_bucket = self.first_bucket.unwrap_or(self.current_bucket);
        let buckets = (self.current_bucket + 1).saturating_sub(first_bucket).min(WINDOW_BUCKETS as u64);
        (buckets as f64 * self.bucket_s).max(1.0)
    }

    /// Whether a call fits under the soft limit; of a part of a call, that part of them. A limit of less than
    /// a call a window let a whole one through each, several times the limits over many copies. The die is
    /// cast once a window and admission: cast for each call, denied ones that come again would wear it down.
    fn fits_soft_limit(&mut self, now: f64, limit: f64, rng: &mut Rand64) -> bool {
        self.advance(now);
        self.first_bucket.get_or_insert(self.current_bucket);
        if self.current_bucket >= self.threshold_redraw_bucket {
            (self.admission_threshold, self.threshold_redraw_bucket) =
                (rng.rand_float(), self.current_bucket + WINDOW_BUCKETS as u64);
        }
        self.observed_window_s() * limit - f64::from(self.window_counts.accepted) > self.admission_threshold
    }

    /// Decides on a call, which is to be counted next.
    fn admit(&mut self, now: f64, limit: &LearnedLimit, rng: &mut Rand64) -> bool {
        let fits_soft_limit = self.fits_soft_limit(now, limit.rate, rng);
        let hard_limit = limit.rate.max(limit.full_rate) * HARD_LIMIT_FACTOR;
        let under_hard_limit = f64::from(self.window_counts.total) < self.observed_window_s() * hard_limit;
        under_hard_limit && (fits_soft_limit || rng.rand_float() >= self.suppression_probability(limit.rate))
    }

    fn record(&mut self, admitted: bool) {
        let bucket = &mut self.buckets[(self.current_bucket % WINDOW_BUCKETS as u64) as usize];
        bucket.total += 1;
        self.window_counts.total += 1;
        if admitted {
            bucket.accepted += 1;
            self.window_counts.accepted += 1;
            self.threshold_redraw_bucket = 0;
        }
    }

    fn last_second_count(&self, value: fn(&CallCounts) -> u32) -> f64 {
        let indices = (0..LAST_SECOND_BUCKETS)
            .map(|age| self.current_bucket.saturating_sub(age) % WINDOW_BUCKETS as u64);
        f64::from(indices.map(|index| value(&self.buckets[index as usize])).sum::<u32>())
    }

    /// By the rate of calls: the larger of that of the window and that of the last 1000 ms.
    fn suppression_probability(&mut self, limit: f64) -> f64 {
        if self.probability_bucket.replace(self.current_bucket) != Some(self.current_bucket) {
            let call_rate = f64::from(self.window_counts.total) / self.observed_window_s();
            let call_rate = call_rate.max(self.last_second_count(|bucket| bucket.total));
            self.suppression_probability = (1.0 - limit / call_rate).max(0.0);
        }
        self.suppression_probability
    }
}

// --- 2. Learned limit ---

/// A rate limit learned from what becomes of the calls.
#[derive(Debug, Clone, Copy, Default)]
struct LearnedLimit {
    rate: f64,
    /// What the copy may need of a quota; 0 where there is none.
    full_rate: f64,
    /// The fair share of a quota, bare and with its chance, where there is one.
    fair_share: f64,
    floor_rate: Option<f64>,
    ceiling: f64,
    /// The rate of late, in which a floor without a quota is reckoned.
    mean_accepted_rate: f64,
}

impl LearnedLimit {
    /// Quotas count requests of the first tier; below it calls are more, and no part of a quota can be told.
    fn new(settings: &Settings, quota: Option<f64>) -> Self {
        let Some(quota) = quota.filter(|&quota| settings.tier == 0 && quota > 0.0) else {
            return Self { rate: f64::MAX, fair_share: f64::MAX, ceiling: f64::MAX, ..Self::default() };
        };
        let fair_share = quota / f64::from(settings.replica_count);
        let with_margin = |share: f64| share + FAIR_SHARE_STD_DEVS * (share / WINDOW_S).sqrt();
        let rate = with_margin(fair_share * load_imbalance_factor(settings.replica_count));
        let ceiling = if settings.over_quota_value < UNCAPPED_MIN_OVER_QUOTA_VALUE { rate } else { f64::MAX };
        Self {
            rate,
            full_rate: rate,
            fair_share,
            floor_rate: Some(with_margin(fair_share)),
            ceiling,
            mean_accepted_rate: 0.0,
        }
    }

    /// The limits of the tenants and, last, that of all together: at first what the copy may need of them all, in
    /// congestion less.
    fn all_limits(settings: &Settings) -> Vec<Self> {
        let quotas = settings.tenants.iter().map(|tenant| tenant.quota);
        let mut limits: Vec<_> = quotas.clone().map(|quota| Self::new(settings, quota)).collect();
        let mut shared = Self::new(settings, quotas.sum());
        if shared.floor_rate.is_some()
            && limits.len() > 1
            && settings.over_quota_value < UNCAPPED_MIN_OVER_QUOTA_VALUE
        {
            let fair_share = shared.fair_share;
            let rate = fair_share * load_imbalance_factor(settings.replica_count);
            let ceiling = rate.max(
                fair_share
                    * (1.0 + MAX_EXCESS_FRACTION * fair_share / (fair_share + HALF_EXCESS_CALLS_PER_S)),
            );
            shared = Self { rate, full_rate: rate, floor_rate: Some(fair_share), ceiling, ..shared };
        }
        limits.push(shared);
        limits
    }

    /// This limit in place of another, of whose full rate it had learned to let through a part.
    fn with_learned_rate_of(self, old: &Self) -> Self {
        let rate = match (self.floor_rate, old.floor_rate) {
            (Some(_), Some(_)) => (self.full_rate * (old.rate / old.full_rate).max(0.0)).min(self.ceiling),
            (None, None) => old.rate,
            _ => self.rate,
        };
        Self { rate, mean_accepted_rate: old.mean_accepted_rate, ..self }
    }

    fn increase(&mut self) {
        // Up to what is within the quotas the calls denied are the ones that count: come back from a jam faster.
        let increase =
            if self.rate < self.full_rate { RATE_RECOVERY_CALLS_PER_S } else { RATE_INCREASE_CALLS_PER_S };
        self.rate = (self.rate + increase).min(self.ceiling);
    }

    fn decrease(&mut self, congestion: f64, accepted_rate: f64) {
        // A lone refusal or slow call happens on the quietest day; a cut for each one denies calls without
        // need, which below the first tier fails the whole request above.
        let threshold = if self.floor_rate.is_some() { CONGESTION_THRESHOLD } else { OVERLOAD_CONGESTION };
        if congestion < threshold {
            return;
        }
        // A fair share is kept through common trouble. The more calls meet congestion, the less it is what the
        // servers can do; once they have choked only much less lets them recover.
        let severity =
            ((congestion - CONGESTION_THRESHOLD) / (OVERLOAD_CONGESTION - CONGESTION_THRESHOLD)).min(1.0);
        let floor_fraction = 1.0 - (1.0 - OVERLOAD_FLOOR_FRACTION) * severity;
        let floor =
            self.floor_rate.map_or((self.mean_accepted_rate * UNQUOTED_FLOOR_FRACTION).max(1.0), |rate| {
                rate * floor_fraction
            });
        let factor = DECREASE_FACTOR + (OVERLOAD_DECREASE_FACTOR - DECREASE_FACTOR) * severity;
        self.rate = (self.rate.min(accepted_rate.max(floor)) * factor).max(floor).min(self.rate);
    }
}

/// Fair shares that a copy may need: of shares drawn at random the largest is about so many (the logarithm of their
/// number), and a copy held to one part denies calls that are within the quotas. Few copies are taken for even.
fn load_imbalance_factor(replica_count: u32) -> f64 {
    f64::from(replica_count).ln().max(1.0)
}

fn uniform(rng: &mut Rand64, range: Range<f64>) -> f64 {
    range.start + (range.end - range.start) * rng.rand_float()
}

// --- 3. Subset and pick ---

/// The copy's part of the tier.
#[derive(Debug, Default)]
struct Subset {
    /// Members of the own zone, and of the others.
    local: ZoneGroup,
    remote: ZoneGroup,
    /// The part of the ready upstreams that stands in the own zone.
    local_upstream_fraction: f64,
    /// The part of the calls that stays there; `None` before the first list.
    local_share: Option<f64>,
    /// Upstreams ready in the first list, and the part of their capacity that is still had.
    initial_ready_count: Option<usize>,
    capacity_fraction: f64,
    /// Own calls in flight, to members or not.
    in_flight: u32,
}

#[derive(Debug, Default)]
struct ZoneGroup {
    members: Arc<[usize]>,
    /// Calls a second to a warm member, for the cold ones to go by.
    warm_send_rate: f64,
    /// Calls to warm members since the last sweep.
    warm_sends: u32,
    /// Time that calls take, failed ones at what they took, in parts of their aims.
    relative_latency: f64,
}

impl Subset {
    /// A site prices each crossing of zones, yet one zone may have more calls than its upstreams can carry,
    /// and no copy is told: from an even spread on, more stays at home for as long as home is no slower than
    /// elsewhere.
    fn update_local_share(&mut self, cross_zone_cost: f64, rng: &mut Rand64) {
        let Some(local_share) = &mut self.local_share else { return };
        let local_is_slower = self.local.relative_latency
            > self.remote.relative_latency
                + LOCAL_LATENCY_TOLERANCE
                + cross_zone_cost * LOCAL_LATENCY_TOLERANCE_PER_COST;
        let step = if local_is_slower { -LOCAL_SHARE_DECREASE } else { LOCAL_SHARE_INCREASE };
        *local_share = (*local_share + step * uniform(rng, LOCAL_SHARE_STEP_JITTER))
            .clamp(self.local_upstream_fraction, 1.0);
    }

    fn size(&self) -> usize {
        self.local.members.len() + self.remote.members.len()
    }
}

/// The part of some upstreams that a copy sends to where so many copies share them: an arc of a ring. The starts of
/// the copies are evenly spaced; a stride spreads neighbours in number, which may share a zone, over the ring.
fn ring_subset(settings: &Settings, sharing_replicas: f64, slots: &[usize]) -> Arc<[usize]> {
    let (count, replicas) = (slots.len(), u64::from(settings.replica_count));
    let size = (count as f64 * REPLICAS_PER_UPSTREAM / sharing_replicas.max(1.0)).ceil() as usize;
    let mut stride = (replicas as f64 * INVERSE_GOLDEN_RATIO).round().max(1.0) as u64;
    while gcd(stride, replicas) != 1 {
        stride += 1;
    }
    let position = u64::from(settings.replica_index) * stride % replicas;
    let start = (position * count as u64 / replicas) as usize;
    let from_start = slots.iter().cycle().skip(start);
    from_start.take(size.clamp(MIN_SUBSET_SIZE.min(count), count)).copied().collect()
}

fn gcd(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { gcd(b, a % b) }
}

// --- 4. Upstream health ---

/// What the copy knows of an upstream.
#[derive(Debug)]
struct Upstream {
    member: Member,
    listed: bool,
    is_local: bool,
    in_flight: u32,
    /// Connections thought to be open, and when one was last used.
    connections: u32,
    last_used: f64,
    /// Latest answer, or the send that ended an idle time.
    last_response: f64,
    failure_rate: f64,
    /// Failed connects since anything was last heard of it.
    consecutive_connect_failures: u32,
    /// Latency over the usual of its classes, and the latencies learned from.
    slowness: f64,
    latency_samples: f64,
    ejected_until: f64,
    next_ejection_s: f64,
    /// Chance of being taken when drawn, after its return.
    return_probability: f64,
    /// When the latest request that it has accepted was sent.
    last_accepted_send: Option<f64>,
    /// Sends that a cold upstream may still get, and when that was reckoned.
    slow_start_tokens: f64,
    tokens_updated_at: f64,
}

impl Upstream {
    fn new(member: Member, now: f64, rng: &mut Rand64) -> Self {
        Self {
            member,
            listed: true,
            is_local: false,
            in_flight: 0,
            connections: 0,
            last_used: now,
            last_response: now,
            failure_rate: 0.0,
            consecutive_connect_failures: 0,
            slowness: 1.0,
            latency_samples: 0.0,
            ejected_until: 0.0,
            next_ejection_s: INITIAL_EJECTION_S,
            return_probability: 1.0,
            last_accepted_send: None,
            slow_start_tokens: rng.rand_float(),
            tokens_updated_at: now,
        }
    }

    /// A new process knows nothing of what the old one did.
    fn reset_after_restart(&mut self, now: f64, rng: &mut Rand64) {
        let (in_flight, is_local) = (self.in_flight, self.is_local);
        *self = Self { in_flight, is_local, ..Self::new(self.member, now, rng) };
    }

    fn is_usable(&self) -> bool {
        self.listed && self.member.phase == Phase::Ready
    }

    /// The part of its capacity that it surely has: it rises at least evenly from the cold share.
    fn slow_start_fraction(&self, now: f64, settings: &Settings) -> f64 {
        let Some(started) = self.member.started_at else { return 1.0 };
        let age = (now - started.as_secs_f64()).max(0.0);
        let Rules { slow_start_min_fraction: min_fraction, slow_start_duration: duration, .. } =
            settings.rules;
        (min_fraction + (1.0 - min_fraction) * age / duration.as_secs_f64().max(1e-6)).min(1.0)
    }

    /// Whether it is neither ejected nor stalled, where calls usually take so long.
    fn is_healthy(&self, now: f64, typical_latency_s: f64) -> bool {
        let stalled = self.in_flight > 0
            && now - self.last_response > (typical_latency_s * STALL_LATENCY_FACTOR).max(MIN_STALL_S);
        self.ejected_until <= now && !stalled
    }

    /// Whether an open connection has room for another attempt.
    fn has_stream_capacity(&self, now: f64, capabilities: &Capabilities) -> bool {
        let max_streams = self.connections.saturating_mul(capabilities.max_concurrent_streams);
        self.in_flight < max_streams
            && (self.in_flight > 0 || now - self.last_used < capabilities.keepalive_timeout.as_secs_f64())
    }

    /// What another attempt would meet: own calls in flight, and a handshake where no connection has room.
    fn selection_cost(&self, now: f64, settings: &Settings) -> f64 {
        let needs_handshake =
            settings.costs.handshake > 0.0 && !self.has_stream_capacity(now, &settings.capabilities);
        f64::from(self.in_flight) + if needs_handshake { HANDSHAKE_COST } else { 0.0 }
    }
}

// --- 5. Request ledger ---

#[derive(Debug)]
struct Attempt {
    slot: usize,
    member: Member,
    sent_at: f64,
    /// Seconds that it was given.
    timeout_s: f64,
    outcome: Option<Outcome>,
    cancelled: bool,
}

#[derive(Debug)]
struct PendingRequest {
    class: ClassId,
    /// That of its class when it arrived, or the strictest.
    idempotency: Idempotency,
    tenant: usize,
    /// The time until which an answer is worth waiting for.
    answer_deadline: f64,
    attempts: Vec<Attempt>,
    in_flight: u32,
    ended: bool,
    response_started: bool,
}

impl PendingRequest {
    /// The first attempt not proved never to have run: it binds those that follow.
    fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran()))
    }

    /// Calls off the attempts still out, but for the one to keep.
    fn cancel_attempts(&mut self, id: RequestId, except: Option<AttemptNumber>, actions: &mut Vec<Action>) {
        for (number, attempt) in (0..).map(AttemptNumber).zip(&mut self.attempts) {
            if Some(number) != except && attempt.outcome.is_none() && !attempt.cancelled {
                attempt.cancelled = true;
                actions.push(Action::CancelAttempt { request: id, attempt: number });
            }
        }
    }
}

/// The requests held, and the budgets for further attempts.
#[derive(Debug, Default)]
struct PendingRequests {
    by_id: FxHashMap<RequestId, PendingRequest>,
    retry_tokens: f64,
    reroute_tokens: f64,
}

/// The middle latency of a class in good times.
#[derive(Debug, Clone, Copy, Default)]
struct TypicalLatency {
    /// Its natural logarithm.
    ln_seconds: f64,
    samples: f64,
}

impl TypicalLatency {
    fn record(&mut self, duration_s: f64, step: f64, congested: bool) {
        self.samples += 1.0;
        let deviation = duration_s.ln() - self.ln_seconds;
        let step =
            if congested { step / CONGESTED_LEARNING_DIVISOR } else { step }.min(MAX_TYPICAL_LATENCY_STEP);
        // The first is taken whole, others as congestion counts them: in quiet times congestion then rests at none.
        let (min_deviation, max_deviation) = if self.samples > 1.0 {
            (MIN_CONGESTION_SAMPLE, MAX_CONGESTION_SAMPLE)
        } else {
            (f64::MIN, f64::MAX)
        };
        self.ln_seconds += step.max(1.0 / self.samples) * deviation.clamp(min_deviation, max_deviation);
    }

    fn seconds(self) -> f64 {
        if self.samples > 0.0 { self.ln_seconds.exp() } else { 0.0 }
    }
}

// --- 6. Discovery ---

/// Keeps the subscription open.
#[derive(Debug, Default)]
struct DiscoverySubscription {
    subscribed: bool,
    retry_at: f64,
    backoff_s: f64,
}

// --- The balancer ---

/// One copy's decisions.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: Rand64,
    suppressors: Vec<Suppressor>,
    limits: Vec<LearnedLimit>,
    subset: Subset,
    upstreams: Slab<Upstream>,
    slot_by_id: BTreeMap<UpstreamId, usize>,
    ready_slots: Vec<usize>,
    /// Share of the calls that met congestion lately, the same of those served, and the time of the next drop for it.
    congestion: f64,
    served_congestion: f64,
    next_decrease_at: f64,
    tier_failure_rate: f64,
    tier_slowness: f64,
    /// Slowness of the kinds of machine measured, and of those of no known kind: what is expected of an upstream
    /// not yet measured.
    machine_type_slowness: FxHashMap<Option<MachineTypeId>, f64>,
    typical_latencies: Vec<TypicalLatency>,
    requests: PendingRequests,
    subscription: DiscoverySubscription,
    list_trust: ListTrust,
    max_weight: f64,
}

impl Balancer {
    /// A copy that knows nothing yet but its settings.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let limits = LearnedLimit::all_limits(&settings);
        let mut suppressors: Vec<_> = limits.iter().map(|_| Suppressor::new(BUCKET_S)).collect();
        let shared_index = limits.len() - 1;
        suppressors[shared_index].bucket_s *= (MIN_SHARED_WINDOW_CALLS
            / (limits[shared_index].fair_share * WINDOW_S))
            .clamp(1.0, MAX_SHARED_BUCKET_FACTOR);
        Ok(Self {
            rng: Rand64::new(u128::from(seed)),
            suppressors,
            limits,
            subset: Subset { capacity_fraction: 1.0, ..Subset::default() },
            upstreams: Slab::new(),
            slot_by_id: BTreeMap::new(),
            ready_slots: Vec::new(),
            congestion: 0.0,
            served_congestion: 0.0,
            next_decrease_at: 0.0,
            tier_failure_rate: 0.0,
            tier_slowness: 1.0,
            machine_type_slowness: FxHashMap::default(),
            typical_latencies: vec![TypicalLatency::default(); settings.classes.len()],
            requests: PendingRequests {
                retry_tokens: MAX_RETRY_TOKENS / 2.0,
                reroute_tokens: MAX_REROUTE_TOKENS / 2.0,
                ..PendingRequests::default()
            },
            subscription: DiscoverySubscription::default(),
            list_trust: ListTrust::new(0.0, settings.discovery, &settings.rules),
            max_weight: 1.0,
            settings,
        })
    }

    /// Takes in an event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let now = now.as_secs_f64();
        match event {
            Event::Started => {
                actions.push(Action::SetTimer(Duration::from_secs_f64(PERIODIC_UPDATE_INTERVAL_S)));
                self.list_trust = ListTrust::new(now, self.settings.discovery, &self.settings.rules);
                self.subscribe(now, actions);
            }
            Event::DiscoveryMoved => {
                self.list_trust.discovery_moved(now);
                self.resubscribe(now, actions);
            }
            Event::SettingsChanged(settings) => self.apply_settings(now, *settings, actions),
            Event::Discovery(update) => {
                if matches!(update, DiscoveryUpdate::Full(_) | DiscoveryUpdate::Incremental(_)) {
                    self.subscription =
                        DiscoverySubscription { subscribed: true, ..DiscoverySubscription::default() };
                    self.list_trust.subscription_confirmed();
                }
                self.apply_discovery_update(now, update, actions);
            }
            Event::FormerDiscovery(update) => self.apply_discovery_update(now, update, actions),
            Event::Request(request) => self.receive_request(now, request, actions),
            Event::ResponseStarted { request, attempt } => {
                let Some(pending) = self.requests.by_id.get_mut(&request) else { return };
                pending.response_started = true;
                if self.settings.capabilities.cancellation {
                    pending.cancel_attempts(request, Some(attempt), actions);
                }
            }
            Event::AttemptEnded(ended) => self.attempt_ended(now, ended, actions),
            Event::RequestAbandoned(request) => self.close_request(request, actions),
            Event::TimerFired => self.periodic_update(now, actions),
            Event::ProbeEnded { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// Puts new settings in force. What was learned stays, and so do the requests held; settings that cannot succeed
    /// those in force are passed over.
    fn apply_settings(&mut self, now: f64, settings: Settings, actions: &mut Vec<Action>) {
        if settings.validate_replacement_of(&self.settings).is_err() {
            return;
        }
        for pending in self.requests.by_id.values_mut() {
            // A request that began under one rule and goes on under another is repeated under neither.
            let class_index = pending.class.0;
            if settings.classes[class_index].idempotency != self.settings.classes[class_index].idempotency {
                pending.idempotency = Idempotency::NonIdempotent;
            }
        }
        // New tenants stand behind the others and before the limit of all.
        let limits = LearnedLimit::all_limits(&settings);
        let shared_index = self.limits.len() - 1;
        let added = &limits[shared_index..settings.tenants.len()];
        self.suppressors.splice(shared_index..shared_index, added.iter().map(|_| Suppressor::new(BUCKET_S)));
        self.limits.splice(shared_index..shared_index, added.iter().copied());
        for (old, new) in self.limits.iter_mut().zip(limits) {
            *old = new.with_learned_rate_of(old);
        }
        self.typical_latencies.resize(settings.classes.len(), TypicalLatency::default());
        if settings.zone != self.settings.zone {
            // What was learned of the own zone and of the others tells nothing of the new ones.
            let Subset { initial_ready_count, capacity_fraction, in_flight, .. } = self.subset;
            self.subset = Subset { initial_ready_count, capacity_fraction, in_flight, ..Subset::default() };
        }
        let poll_interval_changed = settings.rules.max_poll_interval != self.settings.rules.max_poll_interval;
        let resubscribe = settings.discovery != self.settings.discovery
            || (poll_interval_changed && !self.subscription.subscribed);
        self.list_trust = if settings.discovery == self.settings.discovery {
            self.list_trust.with_rules(&settings.rules)
        } else {
            ListTrust::new(now, settings.discovery, &settings.rules)
        };
        self.settings = settings;
        self.rebuild_subset(actions);
        if resubscribe {
            self.resubscribe(now, actions);
        }
    }

    // --- Discovery ---

    fn resubscribe(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.subscription = DiscoverySubscription::default();
        self.subscribe(now, actions);
    }

    fn subscribe(&mut self, now: f64, actions: &mut Vec<Action>) {
        if self.settings.discovery == DiscoveryMode::Subscribe {
            actions.push(Action::SubscribeToDiscovery);
            self.subscription.retry_at = now + self.subscribe_wait_s();
        }
    }

    fn subscribe_wait_s(&self) -> f64 {
        self.settings
            .rules
            .max_poll_interval
            .map_or(DEFAULT_POLL_INTERVAL_S, |interval| interval.as_secs_f64())
            * SUBSCRIBE_WAIT_FRACTION
    }

    fn apply_discovery_update(&mut self, now: f64, update: DiscoveryUpdate, actions: &mut Vec<Action>) {
        if matches!(update, DiscoveryUpdate::Full(_) | DiscoveryUpdate::Stale(_)) {
            self.upstreams.iter_mut().for_each(|(_, upstream)| upstream.listed = false);
        }
        match update {
            DiscoveryUpdate::Failed | DiscoveryUpdate::TimedOut(_) | DiscoveryUpdate::Unreachable => {
                match update {
                    DiscoveryUpdate::TimedOut(silence) => {
                        self.list_trust.subscription_timed_out(now, silence, &self.settings.rules);
                    }
                    DiscoveryUpdate::Unreachable => self.list_trust.discovery_unreachable(now),
                    _ => self.list_trust.subscription_lost(now, &self.settings.rules),
                }
                // Copies whose calls fail together must not come back together; what is pushed counts meanwhile, so
                // that a watch which stood is opened anew at once, and one that failed before at the next sweep.
                let resubscribe_now =
                    self.subscription.subscribed && self.settings.rules.max_poll_interval.is_none();
                let max_backoff_s = self.subscribe_wait_s().max(MIN_RESUBSCRIBE_BACKOFF_S);
                let backoff_s =
                    (self.subscription.backoff_s * 2.0).clamp(MIN_RESUBSCRIBE_BACKOFF_S, max_backoff_s);
                let jitter = self
                    .settings
                    .rules
                    .max_poll_interval
                    .map_or(0.0, |_| uniform(&mut self.rng, RESUBSCRIBE_JITTER));
                self.subscription = DiscoverySubscription {
                    subscribed: false,
                    retry_at: now + backoff_s * jitter,
                    backoff_s,
                };
                if resubscribe_now {
                    self.subscribe(now, actions);
                }
            }
            DiscoveryUpdate::Full(members)
            | DiscoveryUpdate::Stale(members)
            | DiscoveryUpdate::Incremental(members) => {
                for member in members {
                    self.apply_member(now, member);
                }
                self.rebuild_subset(actions);
            }
        }
    }

    fn apply_member(&mut self, now: f64, member: Member) {
        if let Some(&slot) = self.slot_by_id.get(&member.id) {
            let upstream = &mut self.upstreams[slot];
            let restarted = upstream.member.started_at != member.started_at;
            upstream.member = member;
            upstream.listed = member.phase != Phase::Gone;
            if restarted {
                upstream.reset_after_restart(now, &mut self.rng);
            }
        } else if member.phase != Phase::Gone {
            let slot = self.upstreams.insert(Upstream::new(member, now, &mut self.rng));
            self.slot_by_id.insert(member.id, slot);
        }
    }

    /// Lays out the subset anew, by a list or new settings.
    fn rebuild_subset(&mut self, actions: &mut Vec<Action>) {
        self.ready_slots.clear();
        self.max_weight = 1e-9;
        self.slot_by_id.retain(|&id, &mut slot| {
            let upstream = &mut self.upstreams[slot];
            if upstream.is_usable() {
                upstream.is_local = upstream.member.zone == Some(self.settings.zone);
                self.max_weight = self.max_weight.max(upstream.member.weight);
                self.ready_slots.push(slot);
            } else if upstream.in_flight > 0 {
                actions.push(Action::AbortPendingConnects { upstream: id });
            } else if !upstream.listed {
                self.upstreams.remove(slot);
                return false;
            }
            true
        });
        let ready_count = Some(self.ready_slots.len()).filter(|&count| count > 0);
        self.subset.initial_ready_count = self.subset.initial_ready_count.or(ready_count);
        let (local, remote): (Vec<_>, Vec<_>) =
            self.ready_slots.iter().partition(|&&slot| self.upstreams[slot].is_local);
        self.subset.local_upstream_fraction = local.len() as f64 / self.ready_slots.len().max(1) as f64;
        // Below the first tier the clients stand where the tier above was spread to.
        self.subset.local_share.get_or_insert(if self.settings.tier == 0 {
            self.subset.local_upstream_fraction
        } else {
            1.0
        });
        let replicas = f64::from(self.settings.replica_count);
        self.subset.local.members =
            ring_subset(&self.settings, replicas / self.settings.zone_count as f64, &local);
        self.subset.remote.members = ring_subset(&self.settings, replicas, &remote);
    }

    // --- A request's way ---

    fn receive_request(&mut self, now: f64, request: Request, actions: &mut Vec<Action>) {
        // An id in use or a class that the settings do not have is the embedding program's mistake.
        if self.requests.by_id.contains_key(&request.id) {
            return;
        }
        let Some(class) = self.settings.classes.get(request.class.0) else {
            return actions.push(Action::Refuse { request: request.id, retry_after: None });
        };
        let tenant = request.tenant.map_or(0, |TenantId(tenant)| tenant);
        let tenant = tenant.min(self.settings.tenants.len().saturating_sub(1));
        let (target_time, deadline) =
            (now + class.latency_target.as_secs_f64(), now + request.time_left.as_secs_f64());
        // Where no deadline is passed on, a server's slot would be held for a client long gone.
        let deadline_unknown = self.settings.tier > 0 && !self.settings.propagates_deadline;
        let pending = PendingRequest {
            class: request.class,
            idempotency: class.idempotency,
            tenant,
            answer_deadline: if class.late_value > 0.0 && !deadline_unknown {
                deadline
            } else {
                deadline.min(target_time)
            },
            attempts: Vec::new(),
            in_flight: 0,
            ended: false,
            response_started: false,
        };
        self.requests.by_id.insert(request.id, pending);
        if !self.admit(now, tenant) {
            return self.end_unserved(request.id, UnservedReason::Suppressed, actions);
        }
        // Only admitted calls earn further attempts: a storm of denied ones must not pay for them.
        self.requests.retry_tokens =
            (self.requests.retry_tokens + RETRY_TOKENS_PER_REQUEST).min(MAX_RETRY_TOKENS);
        self.requests.reroute_tokens =
            (self.requests.reroute_tokens + REROUTE_TOKENS_PER_REQUEST).min(MAX_REROUTE_TOKENS);
        if !self.pick_and_send(now, request.id, actions) {
            self.end_unserved(request.id, UnservedReason::NoUpstream, actions);
        }
    }

    /// A tenant over its fair share must also find room in what all tenants of this copy may send: the chance
    /// allowed to each of many small limits, over all copies, would add up to more than the tier.
    fn admit(&mut self, now: f64, tenant: usize) -> bool {
        let Self { suppressors, limits, rng, subset: Subset { capacity_fraction, .. }, .. } = self;
        let shared_index = limits.len() - 1;
        // Each tenant's part of what they may send together is its own.
        let shared_rate = limits[shared_index].rate * *capacity_fraction;
        let scale = (shared_rate / limits[shared_index].fair_share).min(1.0);
        let within_fair_share =
            suppressors[tenant].fits_soft_limit(now, limits[tenant].fair_share * scale, rng);
        let mut admitted = suppressors[tenant].admit(now, &limits[tenant], rng);
        if admitted && shared_index != tenant {
            // After a drop the window still holds what the old limit let in: by it alone all would wait for seconds.
            let shared_room = suppressors[shared_index].fits_soft_limit(now, shared_rate, rng)
                || suppressors[shared_index].last_second_count(|bucket| bucket.accepted) < shared_rate;
            admitted = within_fair_share || shared_room;
            suppressors[shared_index].record(admitted);
        }
        suppressors[tenant].record(admitted);
        admitted
    }

    fn pick_and_send(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        self.pick_upstream(now, id).is_some_and(|slot| self.send(now, id, slot, actions))
    }

    /// Picks an upstream for a request: where it may go at all if it may have run, else by its zone.
    fn pick_upstream(&mut self, now: f64, id: RequestId) -> Option<usize> {
        let pending = self.requests.by_id.get(&id)?;
        let (idempotency, first_possibly_executed) = (pending.idempotency, pending.first_possibly_executed());
        if first_possibly_executed.is_none()
            || !matches!(
                idempotency,
                Idempotency::Deduplicated { scope: DedupScope::Zone | DedupScope::Cell, .. }
            )
        {
            return self.pick_by_zone(now, id);
        }
        let allowed = |&&slot: &&usize| {
            may_send_again(now, idempotency, first_possibly_executed, &self.upstreams[slot].member)
        };
        let members: Vec<usize> = self.ready_slots.iter().filter(allowed).copied().collect();
        self.pick_less_busy(now, id, &members)
    }

    /// Two draws from the own zone's members or, for what the own zone's suppressor declines, from the others;
    /// then whatever is left.
    fn pick_by_zone(&mut self, now: f64, id: RequestId) -> Option<usize> {
        let local = Arc::clone(&self.subset.local.members);
        let remote = Arc::clone(&self.subset.remote.members);
        let pick_local = remote.is_empty()
            || (!local.is_empty() && self.rng.rand_float() < self.subset.local_share.unwrap_or(1.0));
        let (preferred, other) = if pick_local { (&local, &remote) } else { (&remote, &local) };
        self.pick_less_busy(now, id, preferred)
            .or_else(|| self.pick_less_busy(now, id, other))
            .or_else(|| self.pick_any_allowed(now, id, preferred))
            .or_else(|| self.pick_any_allowed(now, id, other))
    }

    /// The less busy of two random members, by own calls in flight. Where both are busier than the members
    /// are on average, two others are drawn, a few times: many copies that each see few calls would otherwise
    /// pile on a server by chance until it chokes.
    fn pick_less_busy(&mut self, now: f64, id: RequestId, slots: &[usize]) -> Option<usize> {
        let mut best: Option<usize> = None;
        let average = f64::from(self.subset.in_flight) / self.subset.size().max(1) as f64;
        for _ in 0..MAX_PAIRS {
            let pair = [self.draw_candidate(now, id, slots), self.draw_candidate(now, id, slots)];
            let cost = |slot: &usize| self.upstreams[*slot].selection_cost(now, &self.settings);
            let drawn = best.into_iter().chain(pair.into_iter().flatten());
            best = drawn.min_by(|one, other| cost(one).total_cmp(&cost(other)));
            if best.is_none_or(|best| cost(&best) <= average) {
                break;
            }
        }
        best
    }

    fn draw_candidate(&mut self, now: f64, id: RequestId, slots: &[usize]) -> Option<usize> {
        let typical_latency_s = self.typical_latencies[self.requests.by_id.get(&id)?.class.0].seconds();
        if slots.is_empty() {
            return None;
        }
        for _ in 0..MAX_DRAWS {
            let slot = slots[self.rng.rand_range(0..slots.len() as u64) as usize];
            let upstream = &self.upstreams[slot];
            if !upstream.is_healthy(now, typical_latency_s)
                || !self.list_trust.allows_send(now, upstream.last_accepted_send)
                || self.requests.already_tried(id, upstream.member.id)
            {
                continue;
            }
            let probability = upstream.member.weight / self.max_weight
                * upstream.slow_start_fraction(now, &self.settings)
                * upstream.return_probability
                * (self.tier_slowness / self.slowness(upstream)).powi(2).clamp(MIN_SLOWNESS_WEIGHT, 1.0);
            if self.rng.rand_float() < probability && self.slow_start_allows(now, slot) {
                return Some(slot);
            }
        }
        None
    }

    /// Latency over the usual: its own or, before the first, that of its kind.
    fn slowness(&self, upstream: &Upstream) -> f64 {
        let machine_type_slowness =
            || self.machine_type_slowness.get(&upstream.member.machine_type).copied().unwrap_or(1.0);
        if upstream.latency_samples > 0.0 { upstream.slowness } else { machine_type_slowness() }
    }

    /// A member that may be sent to at all, the least busy, when draws found none.
    fn pick_any_allowed(&mut self, now: f64, id: RequestId, slots: &[usize]) -> Option<usize> {
        let is_allowed = |&slot: &usize| {
            let upstream = &self.upstreams[slot];
            self.list_trust.allows_send(now, upstream.last_accepted_send)
                && !self.requests.already_tried(id, upstream.member.id)
        };
        let mut remaining: Vec<usize> = slots.iter().copied().filter(is_allowed).collect();
        remaining.sort_by_key(|&slot| self.upstreams[slot].in_flight);
        remaining.into_iter().find(|&slot| self.slow_start_allows(now, slot))
    }

    /// Whether a cold upstream's budget holds another send. A copy gives it, of what a warm peer gets from
    /// the same copy, the part that it surely can do; summed over the copies that stays within its capacity,
    /// whoever else sends.
    fn slow_start_allows(&mut self, now: f64, slot: usize) -> bool {
        let upstream = &mut self.upstreams[slot];
        let slow_start_fraction = upstream.slow_start_fraction(now, &self.settings);
        if slow_start_fraction >= 1.0 {
            return true;
        }
        let group = if upstream.is_local { &self.subset.local } else { &self.subset.remote };
        let rate = slow_start_fraction * group.warm_send_rate;
        let max_tokens = 1.0 + rate * SLOW_START_BURST_S;
        upstream.slow_start_tokens =
            (upstream.slow_start_tokens + rate * (now - upstream.tokens_updated_at)).min(max_tokens);
        upstream.tokens_updated_at = now;
        upstream.slow_start_tokens >= 1.0
    }

    /// The ONE gate that every attempt passes; it keeps the rules on effects, drains and cold upstreams.
    fn send(&mut self, now: f64, id: RequestId, slot: usize, actions: &mut Vec<Action>) -> bool {
        if !self.slow_start_allows(now, slot) {
            return false;
        }
        let Some(pending) = self.requests.by_id.get_mut(&id) else { return false };
        let upstream = &mut self.upstreams[slot];
        // A time-out at the deadline, off by a rounding, must not send the request once more.
        let timeout = pending.answer_deadline - now;
        if pending.ended
            || pending.response_started
            || timeout < MIN_ATTEMPT_TIMEOUT_S
            || !upstream.is_usable()
            || !self.list_trust.allows_send(now, upstream.last_accepted_send)
            || pending.attempts.len() >= self.settings.capabilities.max_attempts as usize
            || (pending.in_flight > 0 && !self.settings.capabilities.hedging)
            || !may_send_again(now, pending.idempotency, pending.first_possibly_executed(), &upstream.member)
        {
            return false;
        }
        // A repeat whose connection comes up after the window would run again.
        let start_within = match (pending.idempotency, pending.first_possibly_executed()) {
            (Idempotency::Deduplicated { window, .. }, Some(first_possibly_executed)) => {
                first_possibly_executed.sent_at + window.as_secs_f64() - now
            }
            _ => timeout,
        };
        // Nor may its upstream have begun to drain meanwhile, unheard of.
        let trusted_for = self
            .list_trust
            .sends_allowed_until(upstream.last_accepted_send)
            .map_or(start_within, |until| until - now);
        let start_within = start_within.min(trusted_for);
        self.list_trust.record_use(now);
        if upstream.in_flight == 0 {
            upstream.last_response = now;
        }
        if !upstream.has_stream_capacity(now, &self.settings.capabilities) {
            let open_connections = if upstream.in_flight > 0 { upstream.connections } else { 0 };
            upstream.connections = open_connections + 1;
        }
        upstream.last_used = now;
        upstream.in_flight += 1;
        self.subset.in_flight += 1;
        let group = if upstream.is_local { &mut self.subset.local } else { &mut self.subset.remote };
        if upstream.slow_start_fraction(now, &self.settings) < 1.0 {
            upstream.slow_start_tokens -= 1.0;
        } else {
            group.warm_sends += 1;
        }
        let member = upstream.member;
        pending.attempts.push(Attempt {
            slot,
            member,
            sent_at: now,
            timeout_s: timeout,
            outcome: None,
            cancelled: false,
        });
        pending.in_flight += 1;
        let timeout = Some(Duration::from_secs_f64(timeout));
        let start_within = Duration::from_secs_f64(start_within.max(0.0));
        actions.push(Action::Send { request: id, upstream: member.id, timeout, start_within });
        true
    }

    /// The ONE path that ends a request unserved: refused where that is true, failed otherwise.
    fn end_unserved(&mut self, id: RequestId, reason: UnservedReason, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.by_id.get(&id).filter(|pending| !pending.ended) else { return };
        let safe_to_retry = pending.first_possibly_executed().is_none()
            || matches!(
                pending.idempotency,
                Idempotency::Idempotent | Idempotency::Deduplicated { scope: DedupScope::All, .. }
            );
        // Told to stay away past its time, a client never comes back; tries within an aim feed the congestion.
        let latency_target = self.settings.classes[pending.class.0].latency_target;
        let retry_after = self.settings.capabilities.max_retry_after.map(|max| max.min(latency_target));
        let refusal = Action::Refuse { request: id, retry_after };
        actions.push(Action::Report(Report::RequestUnserved { request: id, reason }));
        actions.push(if safe_to_retry { refusal } else { Action::Fail { request: id } });
        self.close_request(id, actions);
    }

    /// Marks a request as ended and calls off what is still out for it.
    fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.by_id.get_mut(&id) else { return };
        pending.ended = true;
        if self.settings.capabilities.cancellation && !pending.response_started {
            pending.cancel_attempts(id, None, actions);
        }
        if pending.in_flight == 0 {
            self.requests.by_id.remove(&id);
        }
    }

    fn attempt_ended(&mut self, now: f64, ended: AttemptEnded, actions: &mut Vec<Action>) {
        let AttemptEnded { request: id, attempt: number, outcome, request_ended, .. } = ended;
        let duration_s = ended.duration.as_secs_f64();
        let Some(pending) = self.requests.by_id.get_mut(&id) else { return };
        let attempt = pending.attempts.get_mut(number.0 as usize).filter(|attempt| attempt.outcome.is_none());
        let Some(attempt) = attempt else { return };
        let slot = attempt.slot;
        attempt.outcome = Some(outcome);
        pending.in_flight -= 1;
        self.subset.in_flight = self.subset.in_flight.saturating_sub(1);
        let (class, tenant, timeout_s) = (pending.class, pending.tenant, attempt.timeout_s);
        if matches!(outcome, Outcome::Good | Outcome::Error) {
            let upstream = &mut self.upstreams[slot];
            upstream.last_accepted_send = Some(
                upstream.last_accepted_send.map_or(attempt.sent_at, |accepted| accepted.max(attempt.sent_at)),
            );
        }
        // By its own time: what was lost before it, on connections or elsewhere, tells nothing of congestion here.
        let late = duration_s > self.settings.classes[class.0].latency_target.as_secs_f64();
        let (request_ended, none_in_flight) = (pending.ended || request_ended, pending.in_flight == 0);
        // Given less time than such calls take, it tells of its short deadline: counted like others, the calls of
        // one tenant with short deadlines would pass for congestion and have all tenants denied.
        let short_deadline = matches!(outcome, Outcome::Error | Outcome::TimedOut)
            && timeout_s < self.typical_latencies[class.0].seconds();
        self.record_outcome(now, slot, class, &ended, short_deadline, actions);
        let upstream = &self.upstreams[slot];
        if upstream.ejected_until > now && upstream.in_flight > 0 {
            actions.push(Action::AbortPendingConnects { upstream: upstream.member.id });
        }
        if request_ended {
            self.close_request(id, actions);
        }
        let retried = !request_ended && none_in_flight && self.retry(now, id, outcome, actions);
        if none_in_flight && !retried {
            self.end_unserved(id, UnservedReason::AttemptFailed(outcome), actions);
        }
        // A call that was rejected and went elsewhere has met no congestion yet: behind a broken link or one
        // full server the tenant's limit would drop although its calls are served. Refusals by two servers in
        // a row are congestion.
        let repeated_refusal = outcome == Outcome::Refused && number.0 > 0;
        if !short_deadline && (repeated_refusal || !(retried && outcome.never_ran())) {
            self.update_congestion(now, class, tenant, outcome, duration_s, late);
        }
    }

    fn retry(&mut self, now: f64, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.requests.by_id.get(&id) else { return false };
        let worth_retrying = outcome != Outcome::NotSent && now < pending.answer_deadline;
        let sent = worth_retrying
            && *self.requests.retry_budget(outcome) >= 1.0
            && self.pick_and_send(now, id, actions);
        if sent {
            *self.requests.retry_budget(outcome) -= 1.0;
        }
        sent
    }

    /// What an outcome tells of its upstream and of the zones; nothing if it was `short_deadline`.
    fn record_outcome(
        &mut self,
        now: f64,
        slot: usize,
        class: ClassId,
        ended: &AttemptEnded,
        short_deadline: bool,
        actions: &mut Vec<Action>,
    ) {
        let (outcome, duration_s) = (ended.outcome, ended.duration.as_secs_f64());
        let typical_latency_s = self.typical_latencies[class.0].seconds();
        let upstream = &mut self.upstreams[slot];
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.last_used = now;
        // A connection goes with what broke it and, where it carries one attempt, with an answer given up.
        let given_up = matches!(outcome, Outcome::TimedOut | Outcome::Withdrawn);
        if matches!(outcome, Outcome::ConnectFailed | Outcome::Reset)
            || (given_up && self.settings.capabilities.max_concurrent_streams == 1)
        {
            upstream.connections = upstream.connections.saturating_sub(1);
        }
        let latency_target_s = self.settings.classes[class.0].latency_target.as_secs_f64();
        if short_deadline || matches!(outcome, Outcome::NotSent | Outcome::Withdrawn) {
            return;
        }
        // Who rejects calls has none in flight: uncounted, it would draw ever more of them.
        let failed = outcome != Outcome::Good;
        match outcome {
            Outcome::ConnectFailed => upstream.consecutive_connect_failures += 1,
            Outcome::TimedOut => {}
            _ => (upstream.last_response, upstream.consecutive_connect_failures) = (now, 0),
        }
        let unreachable = upstream.consecutive_connect_failures >= UNREACHABLE_CONNECT_FAILURES;
        upstream.failure_rate += FAILURE_EWMA_WEIGHT * (f64::from(u8::from(failed)) - upstream.failure_rate);
        // A failed connect is that upstream's own, as is a refusal: behind a broken link, counting it for the tier
        // would make many lost upstreams look like congestion below, and none would be ejected.
        if !matches!(outcome, Outcome::ConnectFailed | Outcome::Refused) {
            self.tier_failure_rate +=
                TIER_EWMA_WEIGHT * (f64::from(u8::from(failed)) - self.tier_failure_rate);
        }
        if typical_latency_s > 0.0 && matches!(outcome, Outcome::Good | Outcome::TimedOut) {
            let relative_latency = (duration_s / typical_latency_s).min(MAX_SLOWNESS_SAMPLE);
            let type_slowness = self.machine_type_slowness.entry(upstream.member.machine_type).or_insert(1.0);
            if upstream.latency_samples == 0.0 {
                upstream.slowness = *type_slowness;
            }
            upstream.latency_samples += 1.0;
            upstream.slowness += SLOWNESS_EWMA_WEIGHT.max(1.0 / (upstream.latency_samples + 1.0))
                * (relative_latency - upstream.slowness);
            if outcome == Outcome::Good {
                *type_slowness += MACHINE_TYPE_SLOWNESS_EWMA_WEIGHT
                    * (relative_latency.min(MAX_MACHINE_TYPE_SLOWNESS_SAMPLE) - *type_slowness);
            }
            self.tier_slowness += TIER_EWMA_WEIGHT * (relative_latency - self.tier_slowness);
        }
        if outcome == Outcome::Good {
            upstream.return_probability = (upstream.return_probability * 2.0).min(1.0);
            if upstream.return_probability >= 1.0 {
                upstream.next_ejection_s = INITIAL_EJECTION_S;
            }
        }
        let counts_as_late = !matches!(outcome, Outcome::Good | Outcome::Error);
        let group = if upstream.is_local { &mut self.subset.local } else { &mut self.subset.remote };
        let relative_latency =
            if counts_as_late { duration_s.max(latency_target_s) } else { duration_s } / latency_target_s;
        group.relative_latency += ZONE_LATENCY_EWMA_WEIGHT * (relative_latency - group.relative_latency);
        if failed {
            let ejected = self.eject_if_failing(now, slot, unreachable);
            let upstream = self.upstreams[slot].member.id;
            actions.extend(ejected.map(|duration| Action::Report(Report::Ejected { upstream, duration })));
        }
    }

    /// What the end of a call tells of the congestion that it met, and so of the limits.
    fn update_congestion(
        &mut self,
        now: f64,
        class: ClassId,
        tenant: usize,
        outcome: Outcome,
        duration_s: f64,
        late: bool,
    ) {
        let signals_congestion = match outcome {
            Outcome::Refused | Outcome::TimedOut | Outcome::ConnectFailed => true,
            Outcome::Error => {
                self.tier_failure_rate > CONGESTION_TIER_FAILURE_RATE
                    && self.served_congestion > CONGESTION_THRESHOLD
            }
            Outcome::Good => late,
            _ => return,
        };
        let sample = if signals_congestion {
            MAX_CONGESTION_SAMPLE
        } else if outcome == Outcome::Good && self.settings.tier == 0 {
            // Shed early at the first tier only: a call denied below is work lost above.
            (duration_s.max(MIN_LATENCY_S).ln() - self.typical_latencies[class.0].ln_seconds)
                .clamp(MIN_CONGESTION_SAMPLE, MAX_CONGESTION_SAMPLE)
        } else {
            0.0
        };
        // The tenants meet the same tier: a small one's own calls are too few to tell of a jam in time.
        let shared_index = self.settings.tenants.len();
        let rate = self.suppressors[shared_index].accepted_rate(now);
        let weight = (1.0 / (rate * CONGESTION_WINDOW_S)).min(MAX_CONGESTION_SAMPLE_WEIGHT);
        self.congestion += weight * (sample - self.congestion);
        let congested = self.congestion > CONGESTION_THRESHOLD;
        if outcome == Outcome::Good {
            self.served_congestion += weight * (sample - self.served_congestion);
            self.typical_latencies[class.0].record(
                duration_s.max(MIN_LATENCY_S),
                1.0 / (rate * TYPICAL_LATENCY_WINDOW_S),
                congested,
            );
        }
        if congested && now >= self.next_decrease_at {
            self.next_decrease_at = now + uniform(&mut self.rng, DECREASE_INTERVAL_S);
            for (limit, suppressor) in self.limits.iter_mut().zip(&mut self.suppressors) {
                limit.decrease(self.congestion, suppressor.accepted_rate(now));
            }
        } else if !congested && !signals_congestion && outcome == Outcome::Good {
            // A drop is for all; a tenant denied whole has no calls of its own left to come back with.
            for (index, limit) in self.limits.iter_mut().enumerate() {
                let fully_suppressed =
                    limit.rate < limit.fair_share && self.suppressors[index].accepted_rate(now) == 0.0;
                if index == tenant || index == shared_index || fully_suppressed {
                    limit.increase();
                }
            }
        }
    }

    /// Ejects an upstream where it fails and the tier does not; one out of reach in any case.
    fn eject_if_failing(&mut self, now: f64, slot: usize, unreachable: bool) -> Option<Duration> {
        let upstream = &self.upstreams[slot];
        let tier_margin =
            if unreachable { 0.0 } else { EJECTION_TIER_FAILURE_FACTOR * self.tier_failure_rate };
        if upstream.failure_rate < EJECTION_MIN_FAILURE_RATE + tier_margin || upstream.ejected_until > now {
            return None;
        }
        let group = if upstream.is_local { &self.subset.local } else { &self.subset.remote };
        let ejected = group.members.iter().filter(|&&slot| self.upstreams[slot].ejected_until > now).count();
        if !unreachable && (ejected + 1) as f64 > (group.members.len() as f64 * MAX_EJECTED_FRACTION).max(1.0)
        {
            return None;
        }
        let upstream = &mut self.upstreams[slot];
        let duration_s = upstream.next_ejection_s * uniform(&mut self.rng, EJECTION_JITTER);
        upstream.ejected_until = now + duration_s;
        upstream.next_ejection_s = (upstream.next_ejection_s * 2.0).min(MAX_EJECTION_S);
        upstream.return_probability = INITIAL_RETURN_PROBABILITY;
        Some(Duration::from_secs_f64(duration_s))
    }

    // --- Sweep ---

    /// Ends what still waits for a connection to upstreams that the list no longer vouches for.
    fn check_list_trust(&mut self, now: f64, actions: &mut Vec<Action>) {
        if let Some(level) = self.list_trust.level_changed(now) {
            actions.push(Action::Report(Report::ListTrustChanged(level)));
        }
        let untrusted_in_flight = |upstream: &&Upstream| {
            upstream.in_flight > 0
                && !self.list_trust.allows_send(now, upstream.last_accepted_send)
                && upstream.is_usable()
        };
        for (_, upstream) in self.upstreams.iter().filter(|(_, upstream)| untrusted_in_flight(upstream)) {
            actions.push(Action::AbortPendingConnects { upstream: upstream.member.id });
        }
    }

    fn periodic_update(&mut self, now: f64, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(Duration::from_secs_f64(PERIODIC_UPDATE_INTERVAL_S)));
        if !self.subscription.subscribed && now >= self.subscription.retry_at {
            self.subscribe(now, actions);
        }
        self.check_list_trust(now, actions);
        for (suppressor, limit) in self.suppressors.iter_mut().zip(&mut self.limits) {
            limit.mean_accepted_rate +=
                MEAN_RATE_EWMA_WEIGHT * (suppressor.accepted_rate(now) - limit.mean_accepted_rate);
        }
        // Quotas are parts of a whole tier: while some is gone, cold or ejected, the rest would choke.
        let capacity = |&slot: &usize| {
            let upstream = &self.upstreams[slot];
            if upstream.ejected_until > now { 0.0 } else { upstream.slow_start_fraction(now, &self.settings) }
        };
        let Subset { local, remote, initial_ready_count, .. } = &self.subset;
        let members = local.members.iter().chain(&*remote.members);
        let subset_capacity = members.map(capacity).sum::<f64>() / self.subset.size().max(1) as f64;
        let ready_fraction = self.ready_slots.len() as f64 / initial_ready_count.unwrap_or(1) as f64;
        let headroom = 2.0 * (1.0 - self.congestion / CONGESTION_THRESHOLD).clamp(0.0, 0.5);
        self.subset.capacity_fraction =
            (subset_capacity * ready_fraction * (1.0 + SPARE_CAPACITY_FRACTION * headroom))
                .clamp(MIN_CAPACITY_FRACTION, 1.0);
        self.subset.update_local_share(self.settings.costs.cross_zone, &mut self.rng);
        for group in [&mut self.subset.local, &mut self.subset.remote] {
            let is_warm =
                |&&slot: &&usize| self.upstreams[slot].slow_start_fraction(now, &self.settings) >= 1.0;
            let warm_count = group.members.iter().filter(is_warm).count();
            let rate = f64::from(group.warm_sends) / PERIODIC_UPDATE_INTERVAL_S / warm_count.max(1) as f64;
            group.warm_send_rate += WARM_RATE_EWMA_WEIGHT * (rate - group.warm_send_rate);
            group.warm_sends = 0;
        }
    }
}

impl PendingRequests {
    fn already_tried(&self, id: RequestId, upstream: UpstreamId) -> bool {
        self.by_id
            .get(&id)
            .is_some_and(|pending| pending.attempts.iter().any(|attempt| attempt.member.id == upstream))
    }

    fn retry_budget(&mut self, outcome: Outcome) -> &mut f64 {
        if outcome.never_ran() { &mut self.reroute_tokens } else { &mut self.retry_tokens }
    }
}

/// Whether the rules on effects let a request out again to `member`.
fn may_send_again(
    now: f64,
    idempotency: Idempotency,
    first_possibly_executed: Option<&Attempt>,
    member: &Member,
) -> bool {
    let Some(first) = first_possibly_executed else { return true };
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Deduplicated { scope, window } => {
            now - first.sent_at <= window.as_secs_f64()
                && match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => first.member.zone.is_some() && member.zone == first.member.zone,
                    DedupScope::Cell => member.cell == first.member.cell,
                }
        }
    }
}
