//! All decisions of the balancer. Its settings, events and actions are defined in `interface.rs`.
//!
//! The parts, in the order in which a request passes them:
//! 1. [`Suppressor`] counts a tenant's calls and rejects them with a probability that rises smoothly above a
//!    rate limit;
//! 2. [`LearnedLimit`] is the rate limit that a suppressor enforces;
//! 3. [`Subset`] is the part of the tier that this replica sends to, from which the less busy of two random
//!    upstreams is picked;
//! 4. [`Upstream`] is what this replica knows of an upstream: its health, slow start and attempts in flight;
//! 5. [`PendingRequests`] holds the requests with their attempts, and the retry budgets;
//! 6. [`DiscoverySubscription`] keeps the list of upstreams up to date; `list_trust` decides how far the list
//!    may be used without a subscription.
//!
//! [`Balancer`] joins them. Every attempt passes ONE function, [`Balancer::send`], and ONE function,
//! [`Balancer::end_unserved`], ends requests unserved.

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

// --- Constants (values that differ between sites are in the settings) ---

/// Length of a bucket of the sliding window in which a suppressor counts calls, in seconds. The suppression
/// probability is cached for one bucket, so that it is always computed from whole buckets.
const BUCKET_S: f64 = 0.1;
/// Number of buckets in the sliding window of a suppressor. A window of three seconds smooths random
/// variation at a few calls a second, and a burst is soon forgotten.
const WINDOW_BUCKETS: usize = 30;
/// Length of the sliding window of a suppressor, in seconds.
const WINDOW_S: f64 = BUCKET_S * WINDOW_BUCKETS as f64;
/// Number of calls that the sliding window of the suppressor shared by all tenants should hold at its fair
/// share, so that random variation does not decide its outcome. The buckets of that window are lengthened to
/// reach it, up to [`MAX_SHARED_BUCKET_FACTOR`].
const MIN_SHARED_WINDOW_CALLS: f64 = 30.0;
/// Maximum length of a bucket of the window shared by all tenants, as a multiple of [`BUCKET_S`]; see
/// [`MIN_SHARED_WINDOW_CALLS`].
const MAX_SHARED_BUCKET_FACTOR: f64 = 4.0;
/// Number of buckets of [`BUCKET_S`] that cover the last 1000 ms.
const LAST_SECOND_BUCKETS: u64 = 10;
/// A suppressor's hard limit as a multiple of its soft limit. Above the soft limit some calls are denied,
/// above the hard limit all. The factor is large because with a lower one, a tenant that sends several times
/// its share would lose its share as well.
const HARD_LIMIT_FACTOR: f64 = 32.0;
/// Maximum that all tenants of a replica together may send beyond their fair shares while there is no
/// congestion, as a fraction of the fair shares. The allowed excess approaches it as the fair share grows;
/// see [`HALF_EXCESS_CALLS_PER_S`].
const MAX_EXCESS_FRACTION: f64 = 0.4;
/// Fair share of a replica, in calls per second, at which half of [`MAX_EXCESS_FRACTION`] is allowed. Smaller
/// replicas are allowed less: the fewer calls a replica sees, the later it notices congestion.
const HALF_EXCESS_CALLS_PER_S: f64 = 12.0;
/// Minimum value of a request beyond its tenant's quota, as a fraction of its full value, at which the excess
/// is worth serving: from this value on, the learned rate limits have no ceiling.
const UNCAPPED_MIN_OVER_QUOTA_VALUE: f64 = 0.5;
/// Margin of a rate limit above the fair share for random variation, in standard deviations of the calls in
/// the window, so that a tenant with few calls is not mistaken for one with too many.
const FAIR_SHARE_STD_DEVS: f64 = 1.0;
/// Calls per second that each call served in time adds to a learned rate limit: about 5% per second when
/// calls arrive at the limit.
const RATE_INCREASE_CALLS_PER_S: f64 = 0.05;
/// Calls per second that each call served in time adds to a learned rate limit while the limit is below what
/// the quotas allow: about 15% per second, which recovers from a quarter of the rate in ten seconds.
const RATE_RECOVERY_CALLS_PER_S: f64 = 0.15;
/// Factor by which a decrease in light congestion multiplies a learned rate limit.
const DECREASE_FACTOR: f64 = 0.85;
/// Range of the time between two decreases of the learned rate limits, in seconds. The time is drawn at
/// random so that replicas do not decrease their limits at the same moment.
const DECREASE_INTERVAL_S: Range<f64> = 0.25..0.5;
/// Factor by which a decrease in overload multiplies a learned rate limit. It is lower than
/// [`DECREASE_FACTOR`] because overloaded servers stop serving within seconds.
const OVERLOAD_DECREASE_FACTOR: f64 = 0.7;
/// Congestion estimate that counts as overload, at which the floor of a rate limit has fallen to
/// [`OVERLOAD_FLOOR_FRACTION`].
const OVERLOAD_CONGESTION: f64 = 0.7;
/// Floor of a rate limit in overload, as a fraction of the fair share, which an overloaded tier can still
/// serve.
const OVERLOAD_FLOOR_FRACTION: f64 = 0.25;
/// Floor of a rate limit that has no quota, as a fraction of the mean accepted rate. It is high because a
/// call denied below the first tier makes the whole request above it fail.
const UNQUOTED_FLOOR_FRACTION: f64 = 0.7;
/// Weight of one periodic update in the moving average of the accepted call rate.
const MEAN_RATE_EWMA_WEIGHT: f64 = 0.02;
/// Minimum fraction of a tier's capacity that is assumed to be available when the shared limit is scaled. If
/// less seems to be left because more upstreams are ejected, the cause is assumed to be a problem of the
/// whole tier and not lost servers.
const MIN_CAPACITY_FRACTION: f64 = 0.5;
/// Fraction by which the remaining upstreams of a tier may exceed their part of the load while there is no
/// congestion, because quotas do not tell the capacity. Where the tier can serve no more than the quotas,
/// this does harm until the congestion shows.
const SPARE_CAPACITY_FRACTION: f64 = 0.5;
/// How much longer calls to the local zone must take than calls to other zones before more calls leave it, as
/// a fraction of their latency targets. It exceeds the noise of some twenty calls;
/// [`LOCAL_LATENCY_TOLERANCE_PER_COST`] is added.
const LOCAL_LATENCY_TOLERANCE: f64 = 0.03;
/// Addition to [`LOCAL_LATENCY_TOLERANCE`] for each unit of the cost of a call that crosses zones.
const LOCAL_LATENCY_TOLERANCE_PER_COST: f64 = 0.5;
/// What a periodic update adds to the fraction of calls that stays in the local zone, unless the local zone
/// is slower than the others.
const LOCAL_SHARE_INCREASE: f64 = 0.004;
/// What a periodic update subtracts from the fraction of calls that stays in the local zone while the local
/// zone is slower than the others.
const LOCAL_SHARE_DECREASE: f64 = 0.03;
/// Range of the random factor of each change of the fraction of calls that stays in the local zone.
const LOCAL_SHARE_STEP_JITTER: Range<f64> = 0.5..1.5;
/// Average number of balancer replicas that have a given upstream in their subset.
const REPLICAS_PER_UPSTREAM: f64 = 4.0;
/// Minimum number of upstreams in a replica's subset: in a smaller one, the two random draws too often give
/// the same upstream.
const MIN_SUBSET_SIZE: usize = 8;
/// Stride between the positions of consecutive replicas on the ring of upstreams, as a fraction of the number
/// of replicas; it spreads replicas with consecutive indices over the ring.
const INVERSE_GOLDEN_RATIO: f64 = 0.618;
/// Weight of one outcome in the moving average of an upstream's failures, so that the second failure in a
/// row stands out.
const FAILURE_EWMA_WEIGHT: f64 = 0.2;
/// Weight of one call in the moving averages over the whole tier: its failure rate and its slowness.
const TIER_EWMA_WEIGHT: f64 = 0.02;
/// Failure rate, 0 to 1, from which an upstream is ejected if the rest of the tier is healthy;
/// [`EJECTION_TIER_FAILURE_FACTOR`] times the tier's failure rate is added.
const EJECTION_MIN_FAILURE_RATE: f64 = 0.3;
/// Multiple of the tier's failure rate that is added to [`EJECTION_MIN_FAILURE_RATE`], so that an upstream is
/// ejected only if it fails more often than the tier does.
const EJECTION_TIER_FAILURE_FACTOR: f64 = 2.0;
/// Number of failed connects in a row, with no response between them, from which an upstream counts as
/// unreachable. An upstream that answers on other connections is reachable, however many of its new
/// connections open too late.
const UNREACHABLE_CONNECT_FAILURES: u32 = 2;
/// Maximum fraction of the upstreams of a zone group that is ejected at a time: the rest must carry the load.
const MAX_EJECTED_FRACTION: f64 = 0.34;
/// Duration of an upstream's first ejection, in seconds. It is doubled, up to [`MAX_EJECTION_S`], if the
/// upstream fails again on its return.
const INITIAL_EJECTION_S: f64 = 1.5;
/// Maximum duration of an ejection before its random factor, in seconds.
const MAX_EJECTION_S: f64 = 12.0;
/// Range of the random factor of the duration of an ejection.
const EJECTION_JITTER: Range<f64> = 0.75..1.25;
/// Fraction of its normal selection probability with which an upstream returns from ejection; doubled by each
/// good answer.
const INITIAL_RETURN_PROBABILITY: f64 = 0.1;
/// Number of typical latencies without any response after which an upstream with attempts in flight counts as
/// stalled, but not before [`MIN_STALL_S`].
const STALL_LATENCY_FACTOR: f64 = 3.0;
/// Minimum time without any response after which an upstream with attempts in flight counts as stalled, in
/// seconds.
const MIN_STALL_S: f64 = 0.25;
/// Minimum weight of one latency in the moving average of an upstream's slowness; the first ones weigh more.
const SLOWNESS_EWMA_WEIGHT: f64 = 0.15;
/// Maximum slowness that is counted for one call. Slowness is the latency as a multiple of the typical
/// latency of the class.
const MAX_SLOWNESS_SAMPLE: f64 = 8.0;
/// Weight of one latency in the moving average of the slowness of its machine type, which is known before
/// that of single upstreams.
const MACHINE_TYPE_SLOWNESS_EWMA_WEIGHT: f64 = 0.1;
/// Maximum slowness of one call as counted for a machine type: upstreams that have restarted after a crash or
/// overload of their whole type must still be sent calls.
const MAX_MACHINE_TYPE_SLOWNESS_SAMPLE: f64 = 2.0;
/// Minimum of the factor by which slowness lowers an upstream's selection probability: a slow upstream needs
/// some calls for its recovery to be noticed.
const MIN_SLOWNESS_FACTOR: f64 = 0.05;
/// Weight of one call in the moving average of the relative latency of a zone group.
const ZONE_LATENCY_EWMA_WEIGHT: f64 = 0.05;
/// Weight of one periodic update in the moving average of the send rate to upstreams that are not in slow
/// start.
const WARM_RATE_EWMA_WEIGHT: f64 = 0.2;
/// Maximum number of tokens that an upstream in slow start can save up for attempts, in seconds of its send
/// rate, in addition to one token.
const SLOW_START_BURST_S: f64 = 0.5;
/// Tokens that each admitted request adds to the budget for retries of attempts that may have been executed;
/// a retry takes one.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.1;
/// Maximum of the budget for retries of attempts that may have been executed, in tokens.
const MAX_RETRY_TOKENS: f64 = 10.0;
/// Tokens that each admitted request adds to the budget for retries of attempts that were certainly not
/// executed; a retry takes one.
const REROUTE_TOKENS_PER_REQUEST: f64 = 0.5;
/// Maximum of the budget for retries of attempts that were certainly not executed, in tokens.
const MAX_REROUTE_TOKENS: f64 = 20.0;
/// Time over which the congestion estimate averages calls, in seconds: overloaded servers stop serving within
/// two seconds.
const CONGESTION_WINDOW_S: f64 = 2.0;
/// Maximum weight of one call in the moving average of congestion.
const MAX_CONGESTION_SAMPLE_WEIGHT: f64 = 0.15;
/// Congestion estimate from which the learned rate limits are decreased.
const CONGESTION_THRESHOLD: f64 = 0.2;
/// Time over which the typical latency of a class is averaged, in seconds. It is long so that latencies under
/// congestion do not become the typical ones.
const TYPICAL_LATENCY_WINDOW_S: f64 = 20.0;
/// Maximum weight of one call in the moving average of the typical latency of a class.
const MAX_TYPICAL_LATENCY_SAMPLE_WEIGHT: f64 = 0.02;
/// Divisor of the weight of a call in the typical latency of its class while there is congestion.
const CONGESTED_LEARNING_DIVISOR: f64 = 10.0;
/// Minimum latency that is counted for a call, in seconds, so that its logarithm is finite; shorter ones are
/// raised to it.
const MIN_LATENCY_S: f64 = 1e-4;
/// Congestion sample of a call that failed or missed its latency target, and the maximum sample of other
/// calls. Other calls count with the natural logarithm of their latency over the typical one, roughly the
/// number of doublings, so that a few expensive calls count little and a general delay counts much.
const MAX_CONGESTION_SAMPLE: f64 = 2.0;
/// Minimum congestion sample, which calls that are much faster than typical have.
const MIN_CONGESTION_SAMPLE: f64 = -1.0;
/// Failure rate of the tier, 0 to 1, from which an error counts as congestion in the tiers below and not as
/// one bad upstream. The served calls must be slower as well: faults also make calls fail, and fewer calls do
/// not repair them.
const CONGESTION_TIER_FAILURE_RATE: f64 = 0.1;
/// Minimum time that must be left until the answer deadline for an attempt to be sent, in seconds.
const MIN_ATTEMPT_TIMEOUT_S: f64 = 0.001;
/// Time between the periodic updates of the balancer, in seconds.
const PERIODIC_UPDATE_INTERVAL_S: f64 = 0.2;
/// Maximum number of pairs of random upstreams that are drawn for an attempt until one of them is no busier
/// than the average of the subset.
const MAX_PAIRS: usize = 4;
/// Load that opening a connection counts for when upstreams are compared, in attempts in flight. It applies
/// only where the settings give handshakes a cost; a replica with few calls then uses few upstreams of its
/// subset, over connections that stay open.
const HANDSHAKE_COST: f64 = 1.0;
/// Maximum number of random draws to find one upstream of a pair; a drawn upstream may be rejected, for
/// example because it is ejected or in slow start.
const MAX_DRAWS: usize = 6;
/// Time before a subscription to discovery is opened again after its first failure, in seconds. Each further
/// failure doubles it.
const INITIAL_RESUBSCRIBE_BACKOFF_S: f64 = 0.5;
/// Range of the random factor of the time before a failed subscription to discovery is opened again, where
/// replicas must poll discovery. Elsewhere it is opened again at the next periodic update.
const RESUBSCRIBE_JITTER: Range<f64> = 0.5..1.0;
/// Maximum wait for a subscription to deliver a list, and before a failed one is opened again, as a fraction
/// of the interval within which a replica must ask discovery.
const SUBSCRIBE_WAIT_FRACTION: f64 = 0.4;
/// Interval within which a replica asks discovery where the rules set none, in seconds; it only limits the
/// waits of [`SUBSCRIBE_WAIT_FRACTION`].
const DEFAULT_POLL_INTERVAL_S: f64 = 10.0;

// --- 1. Suppressor ---

/// Numbers of calls that a suppressor has counted, in one bucket of its sliding window or in all of them.
#[derive(Debug, Clone, Copy, Default)]
struct CallCounts {
    /// Accepted and rejected calls.
    total: u32,
    /// Accepted calls.
    accepted: u32,
}

/// A probabilistic rate limiter over a sliding window, for one tenant or for all together. It follows the
/// published description of the 'suppressed' strategy (the source page), applied to one key.
#[derive(Debug, Default)]
struct Suppressor {
    /// The length of a bucket, in seconds.
    bucket_s: f64,
    /// The counts of the sliding window, as a ring buffer indexed by bucket number.
    buckets: [CallCounts; WINDOW_BUCKETS],
    /// The number of the latest bucket, counted from time 0.
    current_bucket: u64,
    /// The number of the bucket in which the first call arrived; `None` before it.
    first_bucket: Option<u64>,
    /// The counts of all buckets of the window together.
    window_counts: CallCounts,
    /// A random number from 0 to 1: a call fits under the soft limit if there is room for more than this
    /// fraction of a call.
    admission_threshold: f64,
    /// The number of the bucket from which `admission_threshold` is drawn again.
    threshold_redraw_bucket: u64,
    /// The cached probability with which a call above the soft limit is rejected.
    suppression_probability: f64,
    /// The number of the bucket for which `suppression_probability` was computed.
    probability_bucket: Option<u64>,
}

impl Suppressor {
    /// A suppressor that has counted no calls.
    fn new(bucket_s: f64) -> Self {
        Self { bucket_s, ..Self::default() }
    }

    /// Moves the sliding window to the present and clears the buckets that it enters.
    fn advance(&mut self, now_s: f64) {
        let now_bucket = (now_s / self.bucket_s) as u64;
        let entered_buckets = now_bucket.saturating_sub(self.current_bucket).min(WINDOW_BUCKETS as u64);
        for offset in 1..=entered_buckets {
            let bucket = &mut self.buckets[((self.current_bucket + offset) % WINDOW_BUCKETS as u64) as usize];
            self.window_counts.total -= bucket.total;
            self.window_counts.accepted -= bucket.accepted;
            *bucket = CallCounts::default();
        }
        self.current_bucket = self.current_bucket.max(now_bucket);
    }

    /// The rate of accepted calls over the window, in calls per second.
    fn accepted_rate(&mut self, now_s: f64) -> f64 {
        self.advance(now_s);
        f64::from(self.window_counts.accepted) / self.observed_window_s()
    }

    /// The part of the window that has passed since the first call, in seconds, but at least 1 s. Dividing by
    /// the whole window would let a replica that has just started accept seconds of overload before the
    /// window fills, and all replicas of a fleet that has just started would do so together.
    fn observed_window_s(&self) -> f64 {
        let first_bucket = self.first_bucket.unwrap_or(self.current_bucket);
        let buckets = (self.current_bucket + 1).saturating_sub(first_bucket).min(WINDOW_BUCKETS as u64);
        (buckets as f64 * self.bucket_s).max(1.0)
    }

    /// Whether a call fits under the soft limit. If there is room for only a fraction of a call, it fits with
    /// that probability: with limits of less than one call per window, letting a whole call through in each
    /// replica would add up to several times the limit over many replicas. The random threshold is drawn once
    /// per window and again after each accepted call; if it were drawn for each call, clients that retry
    /// denied calls would get through by repetition.
    fn fits_soft_limit(&mut self, now_s: f64, limit: f64, rng: &mut Rand64) -> bool {
        self.advance(now_s);
        self.first_bucket.get_or_insert(self.current_bucket);
        if self.current_bucket >= self.threshold_redraw_bucket {
            (self.admission_threshold, self.threshold_redraw_bucket) =
                (rng.rand_float(), self.current_bucket + WINDOW_BUCKETS as u64);
        }
        self.observed_window_s() * limit - f64::from(self.window_counts.accepted) > self.admission_threshold
    }

    /// Decides whether to accept a call. The caller then counts the call with [`Self::record_call`].
    fn admit(&mut self, now_s: f64, limit: &LearnedLimit, rng: &mut Rand64) -> bool {
        let fits_soft_limit = self.fits_soft_limit(now_s, limit.rate, rng);
        let hard_limit = limit.rate.max(limit.full_rate) * HARD_LIMIT_FACTOR;
        let under_hard_limit = f64::from(self.window_counts.total) < self.observed_window_s() * hard_limit;
        under_hard_limit && (fits_soft_limit || rng.rand_float() >= self.suppression_probability(limit.rate))
    }

    /// Counts a call. After an accepted call, the next call draws a new admission threshold.
    fn record_call(&mut self, admitted: bool) {
        let bucket = &mut self.buckets[(self.current_bucket % WINDOW_BUCKETS as u64) as usize];
        bucket.total += 1;
        self.window_counts.total += 1;
        if admitted {
            bucket.accepted += 1;
            self.window_counts.accepted += 1;
            self.threshold_redraw_bucket = 0;
        }
    }

    /// The sum of one of the counts over the last [`LAST_SECOND_BUCKETS`] buckets. They cover 1000 ms, or
    /// more for the window shared by all tenants if its buckets are longer.
    fn last_second_count(&self, value: fn(&CallCounts) -> u32) -> f64 {
        let indices = (0..LAST_SECOND_BUCKETS)
            .map(|age| self.current_bucket.saturating_sub(age) % WINDOW_BUCKETS as u64);
        f64::from(indices.map(|index| value(&self.buckets[index as usize])).sum::<u32>())
    }

    /// The probability with which a call above the soft limit is rejected. It is computed once per bucket
    /// from the rate of calls: the larger of the rate over the window and the rate over the last 1000 ms.
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

/// The rate limit of a suppressor, which rises while calls are served in time and falls under congestion. All
/// rates are in calls per second.
#[derive(Debug, Clone, Copy, Default)]
struct LearnedLimit {
    /// The soft limit at present.
    rate: f64,
    /// The largest rate that this replica may need of the quota, with a margin for random variation; 0 if
    /// there is no quota.
    full_rate: f64,
    /// The quota divided by the number of replicas; `f64::MAX` if there is no quota.
    fair_share: f64,
    /// The floor of `rate` in light congestion, which falls as congestion approaches overload: the fair
    /// share, for a single tenant with its margin for random variation. `None` if there is no quota.
    floor_rate: Option<f64>,
    /// The maximum of `rate`.
    ceiling: f64,
    /// The moving average of the rate of accepted calls; without a quota, the floor is a fraction of it.
    mean_accepted_rate: f64,
}

impl LearnedLimit {
    /// The initial limit for a quota. Quotas count requests of the first tier. Below it there are more calls
    /// than requests, and a replica's fraction of a quota is unknown, so the limit starts unlimited.
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

    /// The initial limits of the tenants and, as the last element, the limit shared by all. The shared limit
    /// starts at the largest rate that this replica may need for all tenants; congestion lowers it.
    fn all_limits(settings: &Settings) -> Vec<Self> {
        let quotas = settings.tenants.iter().map(|tenant| tenant.quota);
        let mut limits: Vec<_> = quotas.clone().map(|quota| Self::new(settings, quota)).collect();
        let mut shared_limit = Self::new(settings, quotas.sum());
        if shared_limit.floor_rate.is_some()
            && limits.len() > 1
            && settings.over_quota_value < UNCAPPED_MIN_OVER_QUOTA_VALUE
        {
            let fair_share = shared_limit.fair_share;
            let rate = fair_share * load_imbalance_factor(settings.replica_count);
            let ceiling = rate.max(
                fair_share
                    * (1.0 + MAX_EXCESS_FRACTION * fair_share / (fair_share + HALF_EXCESS_CALLS_PER_S)),
            );
            shared_limit =
                Self { rate, full_rate: rate, floor_rate: Some(fair_share), ceiling, ..shared_limit };
        }
        limits.push(shared_limit);
        limits
    }

    /// This limit with the state learned by `old`, which it replaces: the rate as a fraction of the full
    /// rate.
    fn with_learned_rate_of(self, old: &Self) -> Self {
        let rate = match (self.floor_rate, old.floor_rate) {
            (Some(_), Some(_)) => (self.full_rate * (old.rate / old.full_rate).max(0.0)).min(self.ceiling),
            (None, None) => old.rate,
            _ => self.rate,
        };
        Self { rate, mean_accepted_rate: old.mean_accepted_rate, ..self }
    }

    /// Raises the limit after a call served in time.
    fn increase(&mut self) {
        // Below the full rate, the calls that are denied are within the quotas, so the limit rises faster to
        // recover from overload.
        let increase =
            if self.rate < self.full_rate { RATE_RECOVERY_CALLS_PER_S } else { RATE_INCREASE_CALLS_PER_S };
        self.rate = (self.rate + increase).min(self.ceiling);
    }

    /// Lowers the limit if congestion is high enough, but not below its floor.
    fn decrease(&mut self, congestion: f64, accepted_rate: f64) {
        // Single refusals and slow calls happen without congestion. A decrease for each of them would deny
        // calls needlessly, and below the first tier a denied call makes the whole request above it fail.
        let threshold = if self.floor_rate.is_some() { CONGESTION_THRESHOLD } else { OVERLOAD_CONGESTION };
        if congestion < threshold {
            return;
        }
        // Moderate congestion leaves the floor close to the fair share. The more calls meet congestion, the
        // less of it the servers can serve; once they are overloaded, only a much lower rate lets them
        // recover.
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

/// How many times its fair share of a quota a replica may need. Of shares drawn at random, the largest is
/// about the logarithm of their number times the mean, and a replica limited to exactly its fair share would
/// deny calls that are within the quotas. A few replicas are assumed to be evenly loaded.
fn load_imbalance_factor(replica_count: u32) -> f64 {
    f64::from(replica_count).ln().max(1.0)
}

/// A uniformly distributed random number.
fn uniform_random(rng: &mut Rand64, range: Range<f64>) -> f64 {
    range.start + (range.end - range.start) * rng.rand_float()
}

// --- 3. Subset and selection ---

/// The upstreams of the tier that this replica sends to, and how its calls are divided between the zones.
#[derive(Debug, Default)]
struct Subset {
    /// The upstreams in this replica's zone.
    local: ZoneGroup,
    /// The upstreams in the other zones.
    remote: ZoneGroup,
    /// The fraction of the ready upstreams that is in the local zone.
    local_upstream_fraction: f64,
    /// The fraction of the calls that stays in the local zone; `None` before the first list.
    local_share: Option<f64>,
    /// Number of ready upstreams in the first list that had any.
    initial_ready_count: Option<usize>,
    /// The fraction of the capacity of the first list that is still available, which scales the limit shared
    /// by all tenants.
    capacity_fraction: f64,
    /// Number of this replica's attempts in flight, including those to upstreams outside the subset.
    in_flight: u32,
}

/// The upstreams of a subset that are in the local zone, or those that are in all other zones together.
#[derive(Debug, Default)]
struct ZoneGroup {
    /// The slots (indices in [`Balancer::upstreams`]) of the group's upstreams.
    member_slots: Arc<[usize]>,
    /// The moving average of the sends per second to each upstream that is warm, that is, not in slow start;
    /// those in slow start get a fraction of it.
    warm_send_rate: f64,
    /// Number of sends to warm upstreams since the last periodic update.
    warm_sends: u32,
    /// The moving average of the duration of attempts divided by their latency target. Attempts that failed
    /// count with their duration, and at least with the target unless they ended with an error response.
    relative_latency: f64,
}

impl Subset {
    /// Adjusts the share of calls that stays in the local zone. The site charges for each call that crosses
    /// zones, yet one zone may have more calls than its upstreams can serve, and no replica is told so.
    /// Starting from an even distribution, the share therefore grows for as long as the local zone is no
    /// slower than the others.
    fn update_local_share(&mut self, cross_zone_cost: f64, rng: &mut Rand64) {
        let Some(local_share) = &mut self.local_share else { return };
        let local_is_slower = self.local.relative_latency
            > self.remote.relative_latency
                + LOCAL_LATENCY_TOLERANCE
                + cross_zone_cost * LOCAL_LATENCY_TOLERANCE_PER_COST;
        let step = if local_is_slower { -LOCAL_SHARE_DECREASE } else { LOCAL_SHARE_INCREASE };
        *local_share = (*local_share + step * uniform_random(rng, LOCAL_SHARE_STEP_JITTER))
            .clamp(self.local_upstream_fraction, 1.0);
    }

    /// Number of upstreams in the subset, in all zones.
    fn size(&self) -> usize {
        self.local.member_slots.len() + self.remote.member_slots.len()
    }
}

/// The part of `slots` that this replica sends to if `sharing_replicas` replicas share them: a contiguous
/// segment of a ring. The segments of the replicas start at evenly spaced positions. A stride spreads
/// replicas with consecutive indices, which may be in the same zone, over the ring.
fn ring_subset(settings: &Settings, sharing_replicas: f64, slots: &[usize]) -> Arc<[usize]> {
    let (count, replicas) = (slots.len(), u64::from(settings.replica_count));
    let size = (count as f64 * REPLICAS_PER_UPSTREAM / sharing_replicas.max(1.0)).ceil() as usize;
    let mut stride = (replicas as f64 * INVERSE_GOLDEN_RATIO).round().max(1.0) as u64;
    while greatest_common_divisor(stride, replicas) != 1 {
        stride += 1;
    }
    let position = u64::from(settings.replica_index) * stride % replicas;
    let start = (position * count as u64 / replicas) as usize;
    let from_start = slots.iter().cycle().skip(start);
    from_start.take(size.clamp(MIN_SUBSET_SIZE.min(count), count)).copied().collect()
}

/// The greatest common divisor of two numbers. [`ring_subset`] needs it: a stride that is coprime to the
/// number of replicas gives each replica its own position.
fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { greatest_common_divisor(b, a % b) }
}

// --- 4. Upstream health ---

/// What this replica knows of an upstream.
#[derive(Debug)]
struct Upstream {
    /// The upstream's latest entry in the list.
    member: Member,
    /// Whether the list contains the upstream.
    listed: bool,
    /// Whether the upstream is in this replica's zone.
    is_local: bool,
    /// Number of this replica's attempts in flight to the upstream.
    in_flight: u32,
    /// Estimated number of this replica's open connections to the upstream.
    connections: u32,
    /// When a connection to the upstream was last used, in seconds.
    last_used_at_s: f64,
    /// When the upstream last responded, or when the first attempt after an idle time was sent, in seconds.
    last_response_at_s: f64,
    /// The moving average of the upstream's failures, 0 to 1.
    failure_rate: f64,
    /// Number of failed connects since the upstream's last response; time-outs neither add to nor reset it.
    consecutive_connect_failures: u32,
    /// The moving average of the upstream's latency as a multiple of the typical latency of the classes.
    slowness: f64,
    /// Number of latencies that `slowness` was computed from.
    latency_samples: f64,
    /// Until when outlier ejection excludes the upstream, in seconds; in the past if it is not ejected.
    ejected_until_s: f64,
    /// The duration of the upstream's next ejection, in seconds, before its random factor.
    next_ejection_s: f64,
    /// The factor on the upstream's selection probability after its return from ejection, up to 1.
    return_probability: f64,
    /// When the latest request that the upstream has accepted was sent, in seconds; `None` if there was none.
    last_accepted_send_s: Option<f64>,
    /// Number of attempts that the upstream may be sent while it is in slow start.
    slow_start_tokens: f64,
    /// When `slow_start_tokens` was last refilled, in seconds.
    tokens_updated_at_s: f64,
}

impl Upstream {
    /// An upstream that has just appeared in the list and of which nothing is known yet.
    fn new(member: Member, now_s: f64, rng: &mut Rand64) -> Self {
        Self {
            member,
            listed: true,
            is_local: false,
            in_flight: 0,
            connections: 0,
            last_used_at_s: now_s,
            last_response_at_s: now_s,
            failure_rate: 0.0,
            consecutive_connect_failures: 0,
            slowness: 1.0,
            latency_samples: 0.0,
            ejected_until_s: 0.0,
            next_ejection_s: INITIAL_EJECTION_S,
            return_probability: 1.0,
            last_accepted_send_s: None,
            slow_start_tokens: rng.rand_float(),
            tokens_updated_at_s: now_s,
        }
    }

    /// Discards what was learned of an upstream whose process has restarted.
    fn reset_after_restart(&mut self, now_s: f64, rng: &mut Rand64) {
        let (in_flight, is_local) = (self.in_flight, self.is_local);
        *self = Self { in_flight, is_local, ..Self::new(self.member, now_s, rng) };
    }

    /// Whether the list contains the upstream as ready.
    fn is_usable(&self) -> bool {
        self.listed && self.member.phase == Phase::Ready
    }

    /// The fraction of its capacity that the upstream is certain to have: in slow start it rises at least
    /// linearly from the minimum fraction; afterwards it is 1.
    fn slow_start_fraction(&self, now_s: f64, settings: &Settings) -> f64 {
        let Some(started) = self.member.started_at else { return 1.0 };
        let age_s = (now_s - started.as_secs_f64()).max(0.0);
        let Rules { slow_start_min_fraction: min_fraction, slow_start_duration: duration, .. } =
            settings.rules;
        (min_fraction + (1.0 - min_fraction) * age_s / duration.as_secs_f64().max(1e-6)).min(1.0)
    }

    /// Whether the upstream is neither ejected nor stalled, given the typical latency of the calls to send.
    fn is_healthy(&self, now_s: f64, typical_latency_s: f64) -> bool {
        let stalled = self.in_flight > 0
            && now_s - self.last_response_at_s > (typical_latency_s * STALL_LATENCY_FACTOR).max(MIN_STALL_S);
        self.ejected_until_s <= now_s && !stalled
    }

    /// Whether an open connection has a free stream for another attempt.
    fn has_stream_capacity(&self, now_s: f64, capabilities: &Capabilities) -> bool {
        let max_streams = self.connections.saturating_mul(capabilities.max_concurrent_streams);
        self.in_flight < max_streams
            && (self.in_flight > 0
                || now_s - self.last_used_at_s < capabilities.keepalive_timeout.as_secs_f64())
    }

    /// The load that another attempt at the upstream would meet: this replica's attempts in flight, and a
    /// handshake if no connection has a free stream.
    fn selection_cost(&self, now_s: f64, settings: &Settings) -> f64 {
        let needs_handshake =
            settings.costs.handshake > 0.0 && !self.has_stream_capacity(now_s, &settings.capabilities);
        f64::from(self.in_flight) + if needs_handshake { HANDSHAKE_COST } else { 0.0 }
    }
}

// --- 5. Pending requests ---

/// An attempt of a request: one send to one upstream.
#[derive(Debug)]
struct Attempt {
    /// The slot (index in [`Balancer::upstreams`]) of the attempt's upstream.
    slot: usize,
    /// The upstream's list entry when the attempt was sent.
    member: Member,
    /// When the attempt was sent, in seconds.
    sent_at_s: f64,
    /// The time that the attempt may take, in seconds.
    timeout_s: f64,
    /// How the attempt ended; `None` while it is in flight.
    outcome: Option<Outcome>,
    /// Whether the attempt's cancellation has been requested.
    cancelled: bool,
}

/// A request that has not ended or still has attempts in flight.
#[derive(Debug)]
struct PendingRequest {
    /// The request's class.
    class: ClassId,
    /// The idempotency of the class when the request arrived; non-idempotent if that has changed since.
    idempotency: Idempotency,
    /// The index of the request's tenant.
    tenant: usize,
    /// The time until which an answer still has a value, in seconds.
    answer_deadline_s: f64,
    /// All attempts of the request, in the order sent.
    attempts: Vec<Attempt>,
    /// Number of the request's attempts in flight.
    in_flight: u32,
    /// Whether the request has ended for the client.
    ended: bool,
    /// Whether a streamed response to the request has begun.
    response_started: bool,
}

impl PendingRequest {
    /// The first attempt that may have been executed; it restricts which attempts may follow.
    fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran()))
    }

    /// Cancels the request's attempts in flight except the given one.
    fn cancel_attempts(&mut self, id: RequestId, except: Option<AttemptNumber>, actions: &mut Vec<Action>) {
        for (number, attempt) in (0..).map(AttemptNumber).zip(&mut self.attempts) {
            if Some(number) != except && attempt.outcome.is_none() && !attempt.cancelled {
                attempt.cancelled = true;
                actions.push(Action::CancelAttempt { request: id, attempt: number });
            }
        }
    }
}

/// The requests that have not ended or still have attempts in flight, and the budgets for retries.
#[derive(Debug, Default)]
struct PendingRequests {
    /// The pending requests by id.
    pending_by_id: FxHashMap<RequestId, PendingRequest>,
    /// The budget for retries of attempts that may have been executed, in retries.
    retry_tokens: f64,
    /// The budget for retries of attempts that were certainly not executed, in retries.
    reroute_tokens: f64,
}

/// The typical latency of a class without congestion.
#[derive(Debug, Clone, Copy, Default)]
struct TypicalLatency {
    /// The moving average of the natural logarithm of the latency in seconds.
    ln_seconds: f64,
    /// Number of latencies that the average was computed from.
    samples: f64,
}

impl TypicalLatency {
    /// Adds the latency of a served call to the average. `weight` is limited, and reduced under congestion.
    fn record_latency(&mut self, duration_s: f64, weight: f64, congested: bool) {
        self.samples += 1.0;
        let deviation = duration_s.ln() - self.ln_seconds;
        let weight = if congested { weight / CONGESTED_LEARNING_DIVISOR } else { weight }
            .min(MAX_TYPICAL_LATENCY_SAMPLE_WEIGHT);
        // The first sample is taken as it is. Later ones are clamped like congestion samples, so that
        // congestion settles at zero in quiet times.
        let (min_deviation, max_deviation) = if self.samples > 1.0 {
            (MIN_CONGESTION_SAMPLE, MAX_CONGESTION_SAMPLE)
        } else {
            (f64::MIN, f64::MAX)
        };
        self.ln_seconds += weight.max(1.0 / self.samples) * deviation.clamp(min_deviation, max_deviation);
    }

    /// The typical latency in seconds; 0 if it is unknown.
    fn latency_s(self) -> f64 {
        if self.samples > 0.0 { self.ln_seconds.exp() } else { 0.0 }
    }
}

// --- 6. Discovery ---

/// The state of the subscription to discovery.
#[derive(Debug, Default)]
struct DiscoverySubscription {
    /// Whether the subscription has delivered a list since it was opened.
    subscribed: bool,
    /// When to open the subscription again unless it has delivered a list by then, in seconds.
    retry_at_s: f64,
    /// The present backoff after a failed subscription, in seconds before its random factor.
    backoff_s: f64,
}

// --- The balancer ---

/// The state machine that makes the decisions of one replica of the balancer.
#[derive(Debug)]
pub struct Balancer {
    /// The settings in force.
    settings: Settings,
    /// The source of all random draws.
    rng: Rand64,
    /// The suppressors of the tenants and, as the last element, the one shared by all tenants.
    suppressors: Vec<Suppressor>,
    /// The rate limits of the suppressors, in the order of `suppressors`.
    limits: Vec<LearnedLimit>,
    /// The upstreams that this replica sends to.
    subset: Subset,
    /// The known upstreams; a slot is an index in this slab.
    upstreams: Slab<Upstream>,
    /// The slot of each known upstream.
    slot_by_id: BTreeMap<UpstreamId, usize>,
    /// The slots of all usable upstreams of the tier.
    ready_slots: Vec<usize>,
    /// The moving average of the congestion samples of recent calls; see [`MAX_CONGESTION_SAMPLE`].
    congestion: f64,
    /// The moving average of the congestion samples of those recent calls that were served.
    served_congestion: f64,
    /// The earliest time at which congestion may decrease the limits again, in seconds.
    next_decrease_at_s: f64,
    /// The moving average of the failures of all upstreams, 0 to 1.
    tier_failure_rate: f64,
    /// The moving average of the slowness of all upstreams.
    tier_slowness: f64,
    /// The measured slowness of each machine type; `None` stands for upstreams of unknown type. An upstream
    /// that has not been measured yet is assumed to be as slow as its type.
    machine_type_slowness: FxHashMap<Option<MachineTypeId>, f64>,
    /// The typical latency of each class.
    typical_latencies: Vec<TypicalLatency>,
    /// The pending requests and the retry budgets.
    requests: PendingRequests,
    /// The state of the subscription to discovery.
    subscription: DiscoverySubscription,
    /// How far the list of upstreams may be used at present.
    list_trust: ListTrust,
    /// The largest weight of the ready upstreams; selection probabilities are relative to it.
    max_weight: f64,
}

impl Balancer {
    /// Creates the state machine of a replica that has no list of upstreams yet. Equal seeds give equal
    /// random draws.
    ///
    /// # Errors
    /// The settings are invalid.
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
            next_decrease_at_s: 0.0,
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

    /// Processes an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let now_s = now.as_secs_f64();
        match event {
            Event::Started => {
                actions.push(Action::SetTimer(Duration::from_secs_f64(PERIODIC_UPDATE_INTERVAL_S)));
                self.list_trust = ListTrust::new(now_s, self.settings.discovery, &self.settings.rules);
                self.subscribe(now_s, actions);
            }
            Event::DiscoveryMoved => {
                self.list_trust.discovery_moved(now_s);
                self.resubscribe(now_s, actions);
            }
            Event::SettingsChanged(settings) => self.apply_settings(now_s, *settings, actions),
            Event::Discovery(update) => {
                if matches!(update, DiscoveryUpdate::Full(_) | DiscoveryUpdate::Incremental(_)) {
                    self.subscription =
                        DiscoverySubscription { subscribed: true, ..DiscoverySubscription::default() };
                    self.list_trust.subscription_confirmed();
                }
                self.apply_discovery_update(now_s, update, actions);
            }
            Event::FormerDiscovery(update) => self.apply_discovery_update(now_s, update, actions),
            Event::Request(request) => self.receive_request(now_s, request, actions),
            Event::ResponseStarted { request, attempt } => {
                let Some(pending) = self.requests.pending_by_id.get_mut(&request) else { return };
                pending.response_started = true;
                if self.settings.capabilities.cancellation {
                    pending.cancel_attempts(request, Some(attempt), actions);
                }
            }
            Event::AttemptEnded(ended) => self.attempt_ended(now_s, ended, actions),
            Event::RequestAbandoned(request) => self.close_request(request, actions),
            Event::TimerFired => self.periodic_update(now_s, actions),
            Event::ProbeEnded { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// Replaces the settings. What was learned and the pending requests are kept; settings that are not a
    /// valid replacement are ignored.
    fn apply_settings(&mut self, now_s: f64, settings: Settings, actions: &mut Vec<Action>) {
        if settings.validate_replacement_of(&self.settings).is_err() {
            return;
        }
        for pending in self.requests.pending_by_id.values_mut() {
            // A pending request whose class changes its idempotency must not be executed twice under either
            // rule.
            let class_index = pending.class.0;
            if settings.classes[class_index].idempotency != self.settings.classes[class_index].idempotency {
                pending.idempotency = Idempotency::NonIdempotent;
            }
        }
        // New tenants come after the present ones and before the shared limit.
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
            // What was learned of the local zone and the others does not apply to the new ones.
            let Subset { initial_ready_count, capacity_fraction, in_flight, .. } = self.subset;
            self.subset = Subset { initial_ready_count, capacity_fraction, in_flight, ..Subset::default() };
        }
        let poll_interval_changed = settings.rules.max_poll_interval != self.settings.rules.max_poll_interval;
        let must_resubscribe = settings.discovery != self.settings.discovery
            || (poll_interval_changed && !self.subscription.subscribed);
        self.list_trust = if settings.discovery == self.settings.discovery {
            self.list_trust.with_rules(&settings.rules)
        } else {
            ListTrust::new(now_s, settings.discovery, &settings.rules)
        };
        self.settings = settings;
        self.rebuild_subset(actions);
        if must_resubscribe {
            self.resubscribe(now_s, actions);
        }
    }

    // --- Discovery ---

    /// Opens a new subscription to discovery at once, without a backoff.
    fn resubscribe(&mut self, now_s: f64, actions: &mut Vec<Action>) {
        self.subscription = DiscoverySubscription::default();
        self.subscribe(now_s, actions);
    }

    /// Opens a subscription to discovery if the site uses them.
    fn subscribe(&mut self, now_s: f64, actions: &mut Vec<Action>) {
        if self.settings.discovery == DiscoveryMode::Subscribe {
            actions.push(Action::SubscribeToDiscovery);
            self.subscription.retry_at_s = now_s + self.subscribe_wait_s();
        }
    }

    /// The longest time, in seconds, that a subscription may take to deliver a list before it is opened
    /// again.
    fn subscribe_wait_s(&self) -> f64 {
        self.settings
            .rules
            .max_poll_interval
            .map_or(DEFAULT_POLL_INTERVAL_S, |interval| interval.as_secs_f64())
            * SUBSCRIBE_WAIT_FRACTION
    }

    /// Updates the upstreams from a list, or the trust in the list and the backoff after a failure.
    fn apply_discovery_update(&mut self, now_s: f64, update: DiscoveryUpdate, actions: &mut Vec<Action>) {
        if matches!(update, DiscoveryUpdate::Full(_) | DiscoveryUpdate::Stale(_)) {
            self.upstreams.iter_mut().for_each(|(_, upstream)| upstream.listed = false);
        }
        match update {
            DiscoveryUpdate::Failed | DiscoveryUpdate::TimedOut(_) | DiscoveryUpdate::Unreachable => {
                match update {
                    DiscoveryUpdate::TimedOut(silence) => {
                        self.list_trust.subscription_timed_out(now_s, silence, &self.settings.rules);
                    }
                    DiscoveryUpdate::Unreachable => self.list_trust.discovery_unreachable(now_s),
                    _ => self.list_trust.subscription_lost(now_s, &self.settings.rules),
                }
                // Replicas whose calls fail together must not all retry at the same moment. Pushed lists
                // count as delivered even without a subscription, so a subscription that was up is reopened
                // at once, and one that had failed before is retried at the next periodic update.
                let resubscribe_now =
                    self.subscription.subscribed && self.settings.rules.max_poll_interval.is_none();
                let max_backoff_s = self.subscribe_wait_s().max(INITIAL_RESUBSCRIBE_BACKOFF_S);
                let backoff_s =
                    (self.subscription.backoff_s * 2.0).clamp(INITIAL_RESUBSCRIBE_BACKOFF_S, max_backoff_s);
                let jitter = self
                    .settings
                    .rules
                    .max_poll_interval
                    .map_or(0.0, |_| uniform_random(&mut self.rng, RESUBSCRIBE_JITTER));
                self.subscription = DiscoverySubscription {
                    subscribed: false,
                    retry_at_s: now_s + backoff_s * jitter,
                    backoff_s,
                };
                if resubscribe_now {
                    self.subscribe(now_s, actions);
                }
            }
            DiscoveryUpdate::Full(members)
            | DiscoveryUpdate::Stale(members)
            | DiscoveryUpdate::Incremental(members) => {
                for member in members {
                    self.apply_member(now_s, member);
                }
                self.rebuild_subset(actions);
            }
        }
    }

    /// Adds or updates the upstream of a list entry.
    fn apply_member(&mut self, now_s: f64, member: Member) {
        if let Some(&slot) = self.slot_by_id.get(&member.id) {
            let upstream = &mut self.upstreams[slot];
            let restarted = upstream.member.started_at != member.started_at;
            upstream.member = member;
            upstream.listed = member.phase != Phase::Gone;
            if restarted {
                upstream.reset_after_restart(now_s, &mut self.rng);
            }
        } else if member.phase != Phase::Gone {
            let slot = self.upstreams.insert(Upstream::new(member, now_s, &mut self.rng));
            self.slot_by_id.insert(member.id, slot);
        }
    }

    /// Recomputes the subset after a list or settings change.
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
        // Below the first tier, the callers are already distributed over the zones by the tier above.
        self.subset.local_share.get_or_insert(if self.settings.tier == 0 {
            self.subset.local_upstream_fraction
        } else {
            1.0
        });
        let replicas = f64::from(self.settings.replica_count);
        self.subset.local.member_slots =
            ring_subset(&self.settings, replicas / self.settings.zone_count as f64, &local);
        self.subset.remote.member_slots = ring_subset(&self.settings, replicas, &remote);
    }

    // --- Handling a request ---

    /// Admits a new request and sends its first attempt, or ends it unserved.
    fn receive_request(&mut self, now_s: f64, request: Request, actions: &mut Vec<Action>) {
        // An id in use or an unknown class is an error of the embedding program.
        if self.requests.pending_by_id.contains_key(&request.id) {
            return;
        }
        let Some(class) = self.settings.classes.get(request.class.0) else {
            return actions.push(Action::Refuse { request: request.id, retry_after: None });
        };
        let tenant = request.tenant.map_or(0, |TenantId(tenant)| tenant);
        let tenant = tenant.min(self.settings.tenants.len().saturating_sub(1));
        let (target_time_s, deadline_s) =
            (now_s + class.latency_target.as_secs_f64(), now_s + request.time_left.as_secs_f64());
        // If deadlines are not propagated, a server would go on working for a client that has long given up,
        // so attempts end at the latency target.
        let deadline_unknown = self.settings.tier > 0 && !self.settings.propagates_deadline;
        let pending = PendingRequest {
            class: request.class,
            idempotency: class.idempotency,
            tenant,
            answer_deadline_s: if class.late_value > 0.0 && !deadline_unknown {
                deadline_s
            } else {
                deadline_s.min(target_time_s)
            },
            attempts: Vec::new(),
            in_flight: 0,
            ended: false,
            response_started: false,
        };
        self.requests.pending_by_id.insert(request.id, pending);
        if !self.admit(now_s, tenant) {
            return self.end_unserved(request.id, UnservedReason::Suppressed, actions);
        }
        // Only admitted calls add to the retry budgets: a flood of denied calls must not pay for retries.
        self.requests.retry_tokens =
            (self.requests.retry_tokens + RETRY_TOKENS_PER_REQUEST).min(MAX_RETRY_TOKENS);
        self.requests.reroute_tokens =
            (self.requests.reroute_tokens + REROUTE_TOKENS_PER_REQUEST).min(MAX_REROUTE_TOKENS);
        if !self.pick_and_send(now_s, request.id, actions) {
            self.end_unserved(request.id, UnservedReason::NoUpstream, actions);
        }
    }

    /// Whether a call of this tenant is admitted. A tenant above its fair share must also fit under the limit
    /// that all tenants of this replica share: the margins for random variation of many small limits would
    /// add up, over all replicas, to more than the tier can serve.
    fn admit(&mut self, now_s: f64, tenant: usize) -> bool {
        let Self { suppressors, limits, rng, subset: Subset { capacity_fraction, .. }, .. } = self;
        let shared_index = limits.len() - 1;
        // A tenant within its own fraction of the shared limit does not depend on what the others send.
        let shared_rate = limits[shared_index].rate * *capacity_fraction;
        let scale = (shared_rate / limits[shared_index].fair_share).min(1.0);
        let within_fair_share =
            suppressors[tenant].fits_soft_limit(now_s, limits[tenant].fair_share * scale, rng);
        let mut admitted = suppressors[tenant].admit(now_s, &limits[tenant], rng);
        if admitted && shared_index != tenant {
            // After a decrease the window still holds the calls accepted under the old limit. If the window
            // alone decided, all calls would be denied for seconds.
            let shared_room = suppressors[shared_index].fits_soft_limit(now_s, shared_rate, rng)
                || suppressors[shared_index].last_second_count(|bucket| bucket.accepted) < shared_rate;
            admitted = within_fair_share || shared_room;
            suppressors[shared_index].record_call(admitted);
        }
        suppressors[tenant].record_call(admitted);
        admitted
    }

    /// Sends an attempt to a picked upstream; returns whether one was sent.
    fn pick_and_send(&mut self, now_s: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        self.pick_upstream(now_s, id).is_some_and(|slot| self.send(now_s, id, slot, actions))
    }

    /// Picks an upstream for a request. If the request may have been executed and is deduplicated only within
    /// a zone or cell, it picks one in that zone or cell; otherwise it prefers zones by their shares.
    fn pick_upstream(&mut self, now_s: f64, id: RequestId) -> Option<usize> {
        let pending = self.requests.pending_by_id.get(&id)?;
        let (idempotency, first_possibly_executed) = (pending.idempotency, pending.first_possibly_executed());
        if first_possibly_executed.is_none()
            || !matches!(
                idempotency,
                Idempotency::Deduplicated { scope: DedupScope::Zone | DedupScope::Cell, .. }
            )
        {
            return self.pick_by_zone(now_s, id);
        }
        let allowed = |&&slot: &&usize| {
            may_send_again(now_s, idempotency, first_possibly_executed, &self.upstreams[slot].member)
        };
        let allowed_slots: Vec<usize> = self.ready_slots.iter().filter(allowed).copied().collect();
        self.pick_less_busy(now_s, id, &allowed_slots)
    }

    /// Picks from the local zone or, with the probability that the local share leaves, from the other zones;
    /// then from the zones not chosen; then any upstream that may be sent to.
    fn pick_by_zone(&mut self, now_s: f64, id: RequestId) -> Option<usize> {
        let local = Arc::clone(&self.subset.local.member_slots);
        let remote = Arc::clone(&self.subset.remote.member_slots);
        let pick_local = remote.is_empty()
            || (!local.is_empty() && self.rng.rand_float() < self.subset.local_share.unwrap_or(1.0));
        let (preferred, other) = if pick_local { (&local, &remote) } else { (&remote, &local) };
        self.pick_less_busy(now_s, id, preferred)
            .or_else(|| self.pick_less_busy(now_s, id, other))
            .or_else(|| self.pick_any_allowed(now_s, id, preferred))
            .or_else(|| self.pick_any_allowed(now_s, id, other))
    }

    /// Power of two choices: the less busy of two random upstreams, by this replica's attempts in flight. If
    /// both are busier than the average of the subset, another two are drawn, up to [`MAX_PAIRS`] times: many
    /// replicas that each see few calls would otherwise overload a server by chance.
    fn pick_less_busy(&mut self, now_s: f64, id: RequestId, slots: &[usize]) -> Option<usize> {
        let mut least_busy: Option<usize> = None;
        let average_in_flight = f64::from(self.subset.in_flight) / self.subset.size().max(1) as f64;
        for _ in 0..MAX_PAIRS {
            let pair = [self.draw_candidate(now_s, id, slots), self.draw_candidate(now_s, id, slots)];
            let cost_of = |slot: &usize| self.upstreams[*slot].selection_cost(now_s, &self.settings);
            let candidates = least_busy.into_iter().chain(pair.into_iter().flatten());
            least_busy = candidates.min_by(|one, other| cost_of(one).total_cmp(&cost_of(other)));
            if least_busy.is_none_or(|slot| cost_of(&slot) <= average_in_flight) {
                break;
            }
        }
        least_busy
    }

    /// Draws up to [`MAX_DRAWS`] random slots until one is accepted, with a probability that depends on its
    /// upstream's weight, slow start, return from ejection and slowness.
    fn draw_candidate(&mut self, now_s: f64, id: RequestId, slots: &[usize]) -> Option<usize> {
        let typical_latency_s =
            self.typical_latencies[self.requests.pending_by_id.get(&id)?.class.0].latency_s();
        if slots.is_empty() {
            return None;
        }
        for _ in 0..MAX_DRAWS {
            let slot = slots[self.rng.rand_range(0..slots.len() as u64) as usize];
            let upstream = &self.upstreams[slot];
            if !upstream.is_healthy(now_s, typical_latency_s)
                || !self.list_trust.allows_send(now_s, upstream.last_accepted_send_s)
                || self.requests.already_tried(id, upstream.member.id)
            {
                continue;
            }
            let probability = upstream.member.weight / self.max_weight
                * upstream.slow_start_fraction(now_s, &self.settings)
                * upstream.return_probability
                * (self.tier_slowness / self.slowness(upstream)).powi(2).clamp(MIN_SLOWNESS_FACTOR, 1.0);
            if self.rng.rand_float() < probability && self.slow_start_allows(now_s, slot) {
                return Some(slot);
            }
        }
        None
    }

    /// An upstream's latency as a multiple of the typical one; that of its machine type until it has been
    /// measured.
    fn slowness(&self, upstream: &Upstream) -> f64 {
        let machine_type_slowness =
            || self.machine_type_slowness.get(&upstream.member.machine_type).copied().unwrap_or(1.0);
        if upstream.latency_samples > 0.0 { upstream.slowness } else { machine_type_slowness() }
    }

    /// The least busy upstream that may be sent to at all; used when the random draws have found none.
    fn pick_any_allowed(&mut self, now_s: f64, id: RequestId, slots: &[usize]) -> Option<usize> {
        let is_allowed = |&slot: &usize| {
            let upstream = &self.upstreams[slot];
            self.list_trust.allows_send(now_s, upstream.last_accepted_send_s)
                && !self.requests.already_tried(id, upstream.member.id)
        };
        let mut allowed_slots: Vec<usize> = slots.iter().copied().filter(is_allowed).collect();
        allowed_slots.sort_by_key(|&slot| self.upstreams[slot].in_flight);
        allowed_slots.into_iter().find(|&slot| self.slow_start_allows(now_s, slot))
    }

    /// Whether an upstream in slow start has a token for another attempt; others always do. Its tokens arrive
    /// at the rate at which this replica sends to an upstream not in slow start, times the fraction of its
    /// capacity that it is certain to have. The sum over all replicas stays within its capacity, whoever else
    /// sends to it.
    fn slow_start_allows(&mut self, now_s: f64, slot: usize) -> bool {
        let upstream = &mut self.upstreams[slot];
        let slow_start_fraction = upstream.slow_start_fraction(now_s, &self.settings);
        if slow_start_fraction >= 1.0 {
            return true;
        }
        let group = if upstream.is_local { &self.subset.local } else { &self.subset.remote };
        let rate = slow_start_fraction * group.warm_send_rate;
        let max_tokens = 1.0 + rate * SLOW_START_BURST_S;
        upstream.slow_start_tokens =
            (upstream.slow_start_tokens + rate * (now_s - upstream.tokens_updated_at_s)).min(max_tokens);
        upstream.tokens_updated_at_s = now_s;
        upstream.slow_start_tokens >= 1.0
    }

    /// Sends an attempt. Every attempt passes this ONE function, which enforces the rules on repeated
    /// execution, draining upstreams and slow start.
    fn send(&mut self, now_s: f64, id: RequestId, slot: usize, actions: &mut Vec<Action>) -> bool {
        if !self.slow_start_allows(now_s, slot) {
            return false;
        }
        let Some(pending) = self.requests.pending_by_id.get_mut(&id) else { return false };
        let upstream = &mut self.upstreams[slot];
        // An attempt that timed out at the deadline must not be sent again because of a rounding difference.
        let timeout_s = pending.answer_deadline_s - now_s;
        if pending.ended
            || pending.response_started
            || timeout_s < MIN_ATTEMPT_TIMEOUT_S
            || !upstream.is_usable()
            || !self.list_trust.allows_send(now_s, upstream.last_accepted_send_s)
            || pending.attempts.len() >= self.settings.capabilities.max_attempts as usize
            || (pending.in_flight > 0 && !self.settings.capabilities.hedging)
            || !may_send_again(
                now_s,
                pending.idempotency,
                pending.first_possibly_executed(),
                &upstream.member,
            )
        {
            return false;
        }
        // If the connection opens after the deduplication window, the request could be executed again.
        let start_within_s = match (pending.idempotency, pending.first_possibly_executed()) {
            (Idempotency::Deduplicated { window, .. }, Some(first_possibly_executed)) => {
                first_possibly_executed.sent_at_s + window.as_secs_f64() - now_s
            }
            _ => timeout_s,
        };
        // The connection must also not open after the list has ceased to be valid for this upstream, which
        // could have begun to drain without this replica's knowledge.
        let trusted_for_s = self
            .list_trust
            .sends_allowed_until_s(upstream.last_accepted_send_s)
            .map_or(start_within_s, |until_s| until_s - now_s);
        let start_within_s = start_within_s.min(trusted_for_s);
        self.list_trust.record_use(now_s);
        if upstream.in_flight == 0 {
            upstream.last_response_at_s = now_s;
        }
        if !upstream.has_stream_capacity(now_s, &self.settings.capabilities) {
            let open_connections = if upstream.in_flight > 0 { upstream.connections } else { 0 };
            upstream.connections = open_connections + 1;
        }
        upstream.last_used_at_s = now_s;
        upstream.in_flight += 1;
        self.subset.in_flight += 1;
        let group = if upstream.is_local { &mut self.subset.local } else { &mut self.subset.remote };
        if upstream.slow_start_fraction(now_s, &self.settings) < 1.0 {
            upstream.slow_start_tokens -= 1.0;
        } else {
            group.warm_sends += 1;
        }
        let member = upstream.member;
        pending.attempts.push(Attempt {
            slot,
            member,
            sent_at_s: now_s,
            timeout_s,
            outcome: None,
            cancelled: false,
        });
        pending.in_flight += 1;
        let timeout = Some(Duration::from_secs_f64(timeout_s));
        let start_within = Duration::from_secs_f64(start_within_s.max(0.0));
        actions.push(Action::Send { request: id, upstream: member.id, timeout, start_within });
        true
    }

    /// Ends a request unserved: refused if the client may safely retry, failed otherwise. This is the ONE
    /// function that does so.
    fn end_unserved(&mut self, id: RequestId, reason: UnservedReason, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.pending_by_id.get(&id).filter(|pending| !pending.ended) else {
            return;
        };
        let safe_to_retry = pending.first_possibly_executed().is_none()
            || matches!(
                pending.idempotency,
                Idempotency::Idempotent | Idempotency::Deduplicated { scope: DedupScope::All, .. }
            );
        // A client that is told to wait for longer than its request lasts never comes back, and retries
        // within the latency target would add to the congestion.
        let latency_target = self.settings.classes[pending.class.0].latency_target;
        let retry_after = self.settings.capabilities.max_retry_after.map(|max| max.min(latency_target));
        let refusal = Action::Refuse { request: id, retry_after };
        actions.push(Action::Report(Report::RequestEnded { request: id, reason }));
        actions.push(if safe_to_retry { refusal } else { Action::Fail { request: id } });
        self.close_request(id, actions);
    }

    /// Marks a request as ended and cancels its attempts in flight.
    fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.pending_by_id.get_mut(&id) else { return };
        pending.ended = true;
        if self.settings.capabilities.cancellation && !pending.response_started {
            pending.cancel_attempts(id, None, actions);
        }
        if pending.in_flight == 0 {
            self.requests.pending_by_id.remove(&id);
        }
    }

    /// Records the end of an attempt, then retries the request or ends it if nothing else is in flight.
    fn attempt_ended(&mut self, now_s: f64, ended: AttemptEnded, actions: &mut Vec<Action>) {
        let AttemptEnded { request: id, attempt: number, outcome, request_ended, .. } = ended;
        let duration_s = ended.duration.as_secs_f64();
        let Some(pending) = self.requests.pending_by_id.get_mut(&id) else { return };
        let attempt = pending.attempts.get_mut(number.0 as usize).filter(|attempt| attempt.outcome.is_none());
        let Some(attempt) = attempt else { return };
        let slot = attempt.slot;
        attempt.outcome = Some(outcome);
        pending.in_flight -= 1;
        self.subset.in_flight = self.subset.in_flight.saturating_sub(1);
        let (class, tenant, timeout_s) = (pending.class, pending.tenant, attempt.timeout_s);
        if matches!(outcome, Outcome::Good | Outcome::Error) {
            let upstream = &mut self.upstreams[slot];
            upstream.last_accepted_send_s = Some(
                upstream
                    .last_accepted_send_s
                    .map_or(attempt.sent_at_s, |accepted| accepted.max(attempt.sent_at_s)),
            );
        }
        // Only the attempt's own duration counts: time lost before it, on connections or on other upstreams,
        // is no sign of congestion at this upstream.
        let missed_latency_target = duration_s > self.settings.classes[class.0].latency_target.as_secs_f64();
        let (request_ended, none_in_flight) = (pending.ended || request_ended, pending.in_flight == 0);
        // An attempt with a timeout below the typical latency fails because of its short deadline. If such
        // failures counted, one tenant's calls with short deadlines would look like congestion and deny calls
        // of all tenants.
        let short_deadline = matches!(outcome, Outcome::Error | Outcome::TimedOut)
            && timeout_s < self.typical_latencies[class.0].latency_s();
        self.record_outcome(now_s, slot, class, &ended, short_deadline, actions);
        let upstream = &self.upstreams[slot];
        if upstream.ejected_until_s > now_s && upstream.in_flight > 0 {
            actions.push(Action::AbortPendingConnects { upstream: upstream.member.id });
        }
        if request_ended {
            self.close_request(id, actions);
        }
        let retried = !request_ended && none_in_flight && self.retry(now_s, id, outcome, actions);
        if none_in_flight && !retried {
            self.end_unserved(id, UnservedReason::AttemptFailed(outcome), actions);
        }
        // A call that was rejected and is retried elsewhere is not a sign of congestion yet: with a broken
        // link or one full server, the tenant's limit would be decreased although its calls are served.
        // Refusals by two servers in a row are congestion.
        let repeated_refusal = outcome == Outcome::Refused && number.0 > 0;
        if !short_deadline && (repeated_refusal || !(retried && outcome.never_ran())) {
            self.update_congestion(now_s, class, tenant, outcome, duration_s, missed_latency_target);
        }
    }

    /// Sends another attempt if the outcome and the budget allow it; returns whether one was sent.
    fn retry(&mut self, now_s: f64, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.requests.pending_by_id.get(&id) else { return false };
        let worth_retrying = outcome != Outcome::NotSent && now_s < pending.answer_deadline_s;
        let sent = worth_retrying
            && *self.requests.retry_budget(outcome) >= 1.0
            && self.pick_and_send(now_s, id, actions);
        if sent {
            *self.requests.retry_budget(outcome) -= 1.0;
        }
        sent
    }

    /// Updates the upstream's health and the latency of its zone group from the outcome of an attempt. If the
    /// attempt had a `short_deadline`, it updates only the numbers of attempts and connections.
    fn record_outcome(
        &mut self,
        now_s: f64,
        slot: usize,
        class: ClassId,
        ended: &AttemptEnded,
        short_deadline: bool,
        actions: &mut Vec<Action>,
    ) {
        let (outcome, duration_s) = (ended.outcome, ended.duration.as_secs_f64());
        let typical_latency_s = self.typical_latencies[class.0].latency_s();
        let upstream = &mut self.upstreams[slot];
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.last_used_at_s = now_s;
        // A connection is closed if it broke, or if it carries one attempt at a time and the wait for the
        // answer was given up.
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
        // An upstream that rejects calls has none in flight; if rejections did not count as failures, it
        // would be picked more and more often.
        let failed = outcome != Outcome::Good;
        match outcome {
            Outcome::ConnectFailed => upstream.consecutive_connect_failures += 1,
            Outcome::TimedOut => {}
            _ => (upstream.last_response_at_s, upstream.consecutive_connect_failures) = (now_s, 0),
        }
        let unreachable = upstream.consecutive_connect_failures >= UNREACHABLE_CONNECT_FAILURES;
        upstream.failure_rate += FAILURE_EWMA_WEIGHT * (f64::from(u8::from(failed)) - upstream.failure_rate);
        // A failed connect or a refusal concerns this upstream alone. If it counted for the tier, the many
        // upstreams behind a broken link would look like congestion in the tiers below, and none of them
        // would be ejected.
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
            let ejection = self.eject_if_failing(now_s, slot, unreachable);
            let upstream = self.upstreams[slot].member.id;
            actions.extend(
                ejection.map(|duration| Action::Report(Report::Ejected { upstream, span: duration })),
            );
        }
    }

    /// Updates the congestion estimate from the end of a call, and the limits from the congestion.
    fn update_congestion(
        &mut self,
        now_s: f64,
        class: ClassId,
        tenant: usize,
        outcome: Outcome,
        duration_s: f64,
        missed_latency_target: bool,
    ) {
        let signals_congestion = match outcome {
            Outcome::Refused | Outcome::TimedOut | Outcome::ConnectFailed => true,
            Outcome::Error => {
                self.tier_failure_rate > CONGESTION_TIER_FAILURE_RATE
                    && self.served_congestion > CONGESTION_THRESHOLD
            }
            Outcome::Good => missed_latency_target,
            _ => return,
        };
        let sample = if signals_congestion {
            MAX_CONGESTION_SAMPLE
        } else if outcome == Outcome::Good && self.settings.tier == 0 {
            // Only the first tier reacts to rising latency: a call denied below it wastes the work done
            // above.
            (duration_s.max(MIN_LATENCY_S).ln() - self.typical_latencies[class.0].ln_seconds)
                .clamp(MIN_CONGESTION_SAMPLE, MAX_CONGESTION_SAMPLE)
        } else {
            0.0
        };
        // All tenants share one estimate because they call the same tier, and a small tenant's own calls are
        // too few to detect overload in time.
        let shared_index = self.settings.tenants.len();
        let accepted_rate = self.suppressors[shared_index].accepted_rate(now_s);
        let sample_weight = (1.0 / (accepted_rate * CONGESTION_WINDOW_S)).min(MAX_CONGESTION_SAMPLE_WEIGHT);
        self.congestion += sample_weight * (sample - self.congestion);
        let congested = self.congestion > CONGESTION_THRESHOLD;
        if outcome == Outcome::Good {
            self.served_congestion += sample_weight * (sample - self.served_congestion);
            self.typical_latencies[class.0].record_latency(
                duration_s.max(MIN_LATENCY_S),
                1.0 / (accepted_rate * TYPICAL_LATENCY_WINDOW_S),
                congested,
            );
        }
        if congested && now_s >= self.next_decrease_at_s {
            self.next_decrease_at_s = now_s + uniform_random(&mut self.rng, DECREASE_INTERVAL_S);
            for (limit, suppressor) in self.limits.iter_mut().zip(&mut self.suppressors) {
                limit.decrease(self.congestion, suppressor.accepted_rate(now_s));
            }
        } else if !congested && !signals_congestion && outcome == Outcome::Good {
            // A decrease applies to all limits. A tenant whose calls are all denied has none that could raise
            // its limit again, so the calls of others raise it.
            for (index, limit) in self.limits.iter_mut().enumerate() {
                let fully_suppressed =
                    limit.rate < limit.fair_share && self.suppressors[index].accepted_rate(now_s) == 0.0;
                if index == tenant || index == shared_index || fully_suppressed {
                    limit.increase();
                }
            }
        }
    }

    /// Ejects an upstream that fails more often than the tier does; an unreachable one is ejected even if
    /// the whole tier fails or many others are ejected.
    fn eject_if_failing(&mut self, now_s: f64, slot: usize, unreachable: bool) -> Option<Duration> {
        let upstream = &self.upstreams[slot];
        let tier_margin =
            if unreachable { 0.0 } else { EJECTION_TIER_FAILURE_FACTOR * self.tier_failure_rate };
        if upstream.failure_rate < EJECTION_MIN_FAILURE_RATE + tier_margin || upstream.ejected_until_s > now_s
        {
            return None;
        }
        let group = if upstream.is_local { &self.subset.local } else { &self.subset.remote };
        let ejected_count =
            group.member_slots.iter().filter(|&&slot| self.upstreams[slot].ejected_until_s > now_s).count();
        if !unreachable
            && (ejected_count + 1) as f64 > (group.member_slots.len() as f64 * MAX_EJECTED_FRACTION).max(1.0)
        {
            return None;
        }
        let upstream = &mut self.upstreams[slot];
        let duration_s = upstream.next_ejection_s * uniform_random(&mut self.rng, EJECTION_JITTER);
        upstream.ejected_until_s = now_s + duration_s;
        upstream.next_ejection_s = (upstream.next_ejection_s * 2.0).min(MAX_EJECTION_S);
        upstream.return_probability = INITIAL_RETURN_PROBABILITY;
        Some(Duration::from_secs_f64(duration_s))
    }

    // --- Periodic update ---

    /// Reports a changed level of trust, and aborts pending connects to upstreams that the list no longer
    /// allows to send to.
    fn check_list_trust(&mut self, now_s: f64, actions: &mut Vec<Action>) {
        if let Some(level) = self.list_trust.level_changed(now_s) {
            actions.push(Action::Report(Report::ListTrust(level)));
        }
        let untrusted_in_flight = |upstream: &&Upstream| {
            upstream.in_flight > 0
                && !self.list_trust.allows_send(now_s, upstream.last_accepted_send_s)
                && upstream.is_usable()
        };
        for (_, upstream) in self.upstreams.iter().filter(|(_, upstream)| untrusted_in_flight(upstream)) {
            actions.push(Action::AbortPendingConnects { upstream: upstream.member.id });
        }
    }

    /// Sets the next timer, retries a failed subscription, and updates moving averages and the available
    /// capacity.
    fn periodic_update(&mut self, now_s: f64, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(Duration::from_secs_f64(PERIODIC_UPDATE_INTERVAL_S)));
        if !self.subscription.subscribed && now_s >= self.subscription.retry_at_s {
            self.subscribe(now_s, actions);
        }
        self.check_list_trust(now_s, actions);
        for (suppressor, limit) in self.suppressors.iter_mut().zip(&mut self.limits) {
            limit.mean_accepted_rate +=
                MEAN_RATE_EWMA_WEIGHT * (suppressor.accepted_rate(now_s) - limit.mean_accepted_rate);
        }
        // Quotas assume the whole tier. While some of its upstreams are gone, in slow start or ejected, the
        // full quotas would overload the others.
        let available_fraction = |&slot: &usize| {
            let upstream = &self.upstreams[slot];
            if upstream.ejected_until_s > now_s {
                0.0
            } else {
                upstream.slow_start_fraction(now_s, &self.settings)
            }
        };
        let Subset { local, remote, initial_ready_count, .. } = &self.subset;
        let member_slots = local.member_slots.iter().chain(&*remote.member_slots);
        let subset_capacity =
            member_slots.map(available_fraction).sum::<f64>() / self.subset.size().max(1) as f64;
        let ready_fraction = self.ready_slots.len() as f64 / initial_ready_count.unwrap_or(1) as f64;
        // 1 up to half of the congestion threshold, falling to 0 at the threshold.
        let headroom = 2.0 * (1.0 - self.congestion / CONGESTION_THRESHOLD).clamp(0.0, 0.5);
        self.subset.capacity_fraction =
            (subset_capacity * ready_fraction * (1.0 + SPARE_CAPACITY_FRACTION * headroom))
                .clamp(MIN_CAPACITY_FRACTION, 1.0);
        self.subset.update_local_share(self.settings.costs.cross_zone, &mut self.rng);
        for group in [&mut self.subset.local, &mut self.subset.remote] {
            let is_warm =
                |&&slot: &&usize| self.upstreams[slot].slow_start_fraction(now_s, &self.settings) >= 1.0;
            let warm_count = group.member_slots.iter().filter(is_warm).count();
            let rate = f64::from(group.warm_sends) / PERIODIC_UPDATE_INTERVAL_S / warm_count.max(1) as f64;
            group.warm_send_rate += WARM_RATE_EWMA_WEIGHT * (rate - group.warm_send_rate);
            group.warm_sends = 0;
        }
    }
}

impl PendingRequests {
    /// Whether the request has already had an attempt at this upstream.
    fn already_tried(&self, id: RequestId, upstream: UpstreamId) -> bool {
        self.pending_by_id
            .get(&id)
            .is_some_and(|pending| pending.attempts.iter().any(|attempt| attempt.member.id == upstream))
    }

    /// The budget that a retry after this outcome is taken from.
    fn retry_budget(&mut self, outcome: Outcome) -> &mut f64 {
        if outcome.never_ran() { &mut self.reroute_tokens } else { &mut self.retry_tokens }
    }
}

/// Whether the idempotency of a request allows it to be sent to `member` after the attempts so far.
fn may_send_again(
    now_s: f64,
    idempotency: Idempotency,
    first_possibly_executed: Option<&Attempt>,
    member: &Member,
) -> bool {
    let Some(first) = first_possibly_executed else { return true };
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Deduplicated { scope, window } => {
            now_s - first.sent_at_s <= window.as_secs_f64()
                && match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => first.member.zone.is_some() && member.zone == first.member.zone,
                    DedupScope::Cell => member.cell == first.member.cell,
                }
        }
    }
}
