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

// --- Constants: unit and reason. Figures of a site come with the settings, never from here. ---

/// Seconds in a bucket of the sliding window: the cache time, so that a factor sees whole buckets.
const BUCKET_S: f64 = 0.1;
/// Buckets in the window. Three seconds smooth chance at a few calls a second and soon forget a burst.
const BUCKETS: usize = 30;
const WINDOW_S: f64 = BUCKET_S * BUCKETS as f64;
/// Calls that the window of all tenants should hold, so that chance does not decide it.
const CALLS: f64 = 30.0;
/// Buckets in the last 1000 ms.
const LAST_SECOND: u64 = 10;
/// Hard limit over soft limit. Wide: a tenant that sends several times its share would be denied that too.
const HARD_LIMIT_FACTOR: f64 = 32.0;
/// What all tenants of a copy may send beyond their fair shares while no congestion is met, in fair shares...
const EXCESS: f64 = 0.4;
/// ...half of it at about this many calls a second: the fewer a copy sees, the later it sees congestion come.
const NOTICE: f64 = 12.0;
/// Over-share worth from which the excess is worth serving, so that no ceiling holds.
const EXCESS_COUNTS: f64 = 0.5;
/// Standard deviations of chance allowed above a fair share, so that few calls are not taken for many.
const CHANCE: f64 = 1.0;
/// Calls a second gained by a finish in time: about 5% a second at the limit.
const RISE: f64 = 0.05;
/// The same below what is within the quotas: about 15% a second, back from a quarter in ten seconds.
const RISE_BELOW: f64 = 0.15;
/// What a drop leaves of the limit.
const DROP: f64 = 0.85;
/// Seconds between drops, at least and at most: drawn, so that copies do not cut together.
const DROP_EVERY_S: (f64, f64) = (0.25, 0.5);
/// What a drop leaves of the limit in a jam: servers choke within seconds.
const DROP_JAMMED: f64 = 0.7;
/// Congestion in a jam, at which the floor has given way...
const JAMMED: f64 = 0.7;
/// ...to this part of the fair share: what a choked tier can still serve.
const FLOOR_JAMMED: f64 = 0.25;
/// Floor of a limit without a quota, in usual rates. High: a call denied below the first tier is lost above.
const FLOOR_UNQUOTED: f64 = 0.7;
/// Least part of a tier that counts as had: more ejected is a trouble of the tier, no loss of servers.
const HAD_LEAST: f64 = 0.5;
/// What is left of a tier may carry so much beyond its part while no congestion is met: quotas tell nothing of
/// capacity. It does harm where they are all that the tier can do, until the congestion shows.
const SPARE: f64 = 0.5;
/// Aims by which calls of the own zone must take longer than elsewhere before any leave it: over the noise of
/// some twenty calls...
const WORSE: f64 = 0.03;
/// ...and for each point of price of a crossing.
const WORSE_PRICE: f64 = 0.5;
/// What a sweep adds to the part of the calls that stays in the own zone, or takes off it.
const STAY_STEPS: (f64, f64) = (0.004, 0.03);
/// Copies that cover each upstream, on average.
const COVER: f64 = 4.0;
/// Members of a subset, at least: two draws out of fewer meet too often.
const SUBSET_LEAST: usize = 8;
/// Weight of one outcome in an upstream's failure share: the second in a row stands out.
const FAIL_WEIGHT: f64 = 0.2;
/// Weight of one outcome in the tier's failure share, of one latency in its slowness.
const TIER_WEIGHT: f64 = 0.02;
/// An upstream whose failure share is over this and over the tier's by the multiple is ejected.
const FAIL_OVER: (f64, f64) = (0.3, 2.0);
/// Failed connects in a row, with nothing heard between, from which an upstream is out of reach: one that answers on
/// other connections is not, however many come up late.
const MISSED: u32 = 2;
/// Largest part of a group of upstreams ejected at a time: the rest must carry the load.
const EJECTED_MOST: f64 = 0.34;
/// Seconds ejected at first, and at most; doubled when a return fails.
const EJECTION_S: (f64, f64) = (1.5, 12.0);
/// Part of its usual chance with which an upstream returns; doubled by each good answer.
const RETURN_AT: f64 = 0.1;
/// An upstream that owes answers and has been silent for this many usual latencies is stalled...
const STALL_TIMES: f64 = 3.0;
/// ...and for this many seconds at least.
const STALL_S: f64 = 0.25;
/// Weight of one latency in an upstream's slowness.
const SLOW_WEIGHT: f64 = 0.15;
/// Weight of one latency in the slowness of its kind of machine, which is known before single upstreams are.
const KIND_SLOW_WEIGHT: f64 = 0.1;
/// Largest slowness of one call that a kind is charged with: a kind that crashed or choked must not keep its
/// restarted upstreams without calls.
const KIND_SLOW_MOST: f64 = 2.0;
/// Least chance of a slow upstream: it must be seen to recover.
const SLOW_CHANCE: f64 = 0.05;
/// Weight of one call in a group's delay.
const DELAY_WEIGHT: f64 = 0.05;
/// Further attempts per request that may repeat work, and the most saved up.
const REPEATS: (f64, f64) = (0.1, 10.0);
/// Further attempts per request after one proved not to have run, and the most saved up.
const REROUTES: (f64, f64) = (0.5, 20.0);
/// Seconds of calls in the share that met congestion: servers choke within two.
const CONGESTION_S: f64 = 2.0;
/// Weight of one call in that share, at most.
const CONGESTION_WEIGHT: f64 = 0.15;
/// Congestion from which a limit drops.
const CONGESTED: f64 = 0.2;
/// Seconds over which the typical latency of a class is learned: congestion must not become the custom...
const TYPICAL_S: f64 = 20.0;
/// ...and the weight of one call in it, at most.
const TYPICAL_STEP: f64 = 0.02;
/// Congestion of a call that failed or came late; of others it is how often the typical latency doubled, more
/// or less (a natural logarithm), so that a few heavy calls count little and a general delay much.
const CONGESTED_MOST: f64 = 2.0;
/// Tier failure share from which an error counts as congestion below and not as a bad upstream, where calls that are
/// served are slowed as well: faults fail calls too, and holding back calls mends none.
const CONGESTED_ERRORS: f64 = 0.1;
/// Seconds that an attempt must have left to be worth sending.
const LEAST_S: f64 = 0.001;
/// Seconds between sweeps.
const SWEEP_S: f64 = 0.2;
/// Pairs drawn at most, until one member is no busier than the average.
const PAIRS: usize = 4;
/// Own calls in flight that a handshake counts for in the pick, where handshakes have a price: a copy that
/// sees few calls then uses few of its members, over connections that stay fresh.
const HANDSHAKE: f64 = 1.0;
/// Draws for each of the two candidates.
const DRAWS: usize = 6;
/// Seconds before a failed subscription is tried again, at first.
const RESUBSCRIBE_S: f64 = 0.5;
/// Largest wait for a subscription, in parts of the time within which a copy must ask.
const ASK_PART: f64 = 0.4;

// --- 1. Suppressor ---

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    total: u32,
    accepted: u32,
}

/// The suppressed strategy of the source page for one key.
#[derive(Debug, Default)]
struct Suppressor {
    bucket_s: f64,
    buckets: [Bucket; BUCKETS],
    current: u64,
    /// The bucket of the first call.
    first: Option<u64>,
    sum: Bucket,
    /// The part of a call that the room under the soft limit must pass, and the bucket of the next cast.
    cast: f64,
    cast_at: u64,
    factor: f64,
    factor_bucket: Option<u64>,
}

impl Suppressor {
    fn new(bucket_s: f64) -> Self {
        Self { bucket_s, ..Self::default() }
    }

    fn roll(&mut self, now: f64) {
        let bucket = (now / self.bucket_s) as u64;
        let steps = bucket.saturating_sub(self.current).min(BUCKETS as u64);
        for step in 1..=steps {
            let slot = &mut self.buckets[((self.current + step) % BUCKETS as u64) as usize];
            self.sum.total -= slot.total;
            self.sum.accepted -= slot.accepted;
            *slot = Bucket::default();
        }
        self.current = self.current.max(bucket);
    }

    fn accepted_rate(&mut self, now: f64) -> f64 {
        self.roll(now);
        f64::from(self.sum.accepted) / self.span()
    }

    /// Seconds that the window has seen. A fresh copy's empty window would let seconds of overload through
    /// whole before it fills, and all copies of a fresh fleet together.
    fn span(&self) -> f64 {
        let first = self.first.unwrap_or(self.current);
        let buckets = (self.current + 1).saturating_sub(first).min(BUCKETS as u64);
        (buckets as f64 * self.bucket_s).max(1.0)
    }

    /// Whether a call fits under the soft limit; of a part of a call, that part of them. A limit of less than
    /// a call a window let a whole one through each, several times the limits over many copies. The die is
    /// cast once a window and admission: cast for each call, denied ones that come again would wear it down.
    fn fits(&mut self, now: f64, limit: f64, rng: &mut Rand64) -> bool {
        self.roll(now);
        self.first.get_or_insert(self.current);
        if self.current >= self.cast_at {
            (self.cast, self.cast_at) = (rng.rand_float(), self.current + BUCKETS as u64);
        }
        self.span() * limit - f64::from(self.sum.accepted) > self.cast
    }

    /// Decides on a call, which is to be counted next.
    fn admit(&mut self, now: f64, limit: &LearnedLimit, rng: &mut Rand64) -> bool {
        let fits = self.fits(now, limit.rate, rng);
        let hard_limit = limit.rate.max(limit.full) * HARD_LIMIT_FACTOR;
        let below = f64::from(self.sum.total) < self.span() * hard_limit;
        below && (fits || rng.rand_float() >= self.factor(limit.rate))
    }

    fn count(&mut self, admitted: bool) {
        let slot = &mut self.buckets[(self.current % BUCKETS as u64) as usize];
        slot.total += 1;
        self.sum.total += 1;
        if admitted {
            slot.accepted += 1;
            self.sum.accepted += 1;
            self.cast_at = 0;
        }
    }

    fn last_second(&self, count: fn(&Bucket) -> u32) -> f64 {
        let slots = (0..LAST_SECOND).map(|back| self.current.saturating_sub(back) % BUCKETS as u64);
        f64::from(slots.map(|slot| count(&self.buckets[slot as usize])).sum::<u32>())
    }

    /// By the rate of calls: the larger of that of the window and that of the last 1000 ms.
    fn factor(&mut self, limit: f64) -> f64 {
        if self.factor_bucket.replace(self.current) != Some(self.current) {
            let perceived = f64::from(self.sum.total) / self.span();
            let perceived = perceived.max(self.last_second(|bucket| bucket.total));
            self.factor = (1.0 - limit / perceived).max(0.0);
        }
        self.factor
    }
}

// --- 2. Learned limit ---

/// A rate limit learned from what becomes of the calls.
#[derive(Debug, Clone, Copy, Default)]
struct LearnedLimit {
    rate: f64,
    /// What the copy may need of a quota; 0 where there is none.
    full: f64,
    /// The fair share of a quota, bare and with its chance, where there is one.
    fair: f64,
    quota: Option<f64>,
    ceiling: f64,
    /// The rate of late, in which a floor without a quota is reckoned.
    usual: f64,
}

impl LearnedLimit {
    /// Quotas count requests of the first tier; below it calls are more, and no part of a quota can be told.
    fn new(settings: &Settings, quota: Option<f64>) -> Self {
        let Some(quota) = quota.filter(|&quota| settings.tier == 0 && quota > 0.0) else {
            return Self { rate: f64::MAX, fair: f64::MAX, ceiling: f64::MAX, ..Self::default() };
        };
        let fair = quota / f64::from(settings.replica_count);
        let with_chance = |part: f64| part + CHANCE * (part / WINDOW_S).sqrt();
        let rate = with_chance(fair * uneven(settings.replica_count));
        let ceiling = if settings.over_quota_value < EXCESS_COUNTS { rate } else { f64::MAX };
        Self { rate, full: rate, fair, quota: Some(with_chance(fair)), ceiling, usual: 0.0 }
    }

    /// The limits of the tenants and, last, that of all together: at first what the copy may need of them all, in
    /// congestion less.
    fn all(settings: &Settings) -> Vec<Self> {
        let quotas = settings.tenants.iter().map(|tenant| tenant.quota);
        let mut limits: Vec<_> = quotas.clone().map(|quota| Self::new(settings, quota)).collect();
        let mut shared = Self::new(settings, quotas.sum());
        if shared.quota.is_some() && limits.len() > 1 && settings.over_quota_value < EXCESS_COUNTS {
            let fair = shared.fair;
            let rate = fair * uneven(settings.replica_count);
            let ceiling = rate.max(fair * (1.0 + EXCESS * fair / (fair + NOTICE)));
            shared = Self { rate, full: rate, quota: Some(fair), ceiling, ..shared };
        }
        limits.push(shared);
        limits
    }

    /// This limit in place of another, of whose full rate it had learned to let through a part.
    fn succeed(self, old: &Self) -> Self {
        let rate = match (self.quota, old.quota) {
            (Some(_), Some(_)) => (self.full * (old.rate / old.full).max(0.0)).min(self.ceiling),
            (None, None) => old.rate,
            _ => self.rate,
        };
        Self { rate, usual: old.usual, ..self }
    }

    fn rise(&mut self) {
        // Up to what is within the quotas the calls denied are the ones that count: come back from a jam faster.
        let rise = if self.rate < self.full { RISE_BELOW } else { RISE };
        self.rate = (self.rate + rise).min(self.ceiling);
    }

    fn drop(&mut self, congestion: f64, accepted: f64) {
        // A lone refusal or slow call happens on the quietest day; a cut for each one denies calls without
        // need, which below the first tier fails the whole request above.
        let enough = if self.quota.is_some() { CONGESTED } else { JAMMED };
        if congestion < enough {
            return;
        }
        // A fair share is kept through common trouble. The more calls meet congestion, the less it is what the
        // servers can do; once they have choked only much less lets them recover.
        let jam = ((congestion - CONGESTED) / (JAMMED - CONGESTED)).min(1.0);
        let part = 1.0 - (1.0 - FLOOR_JAMMED) * jam;
        let floor = self.quota.map_or((self.usual * FLOOR_UNQUOTED).max(1.0), |quota| quota * part);
        let drop = DROP + (DROP_JAMMED - DROP) * jam;
        self.rate = (self.rate.min(accepted.max(floor)) * drop).max(floor).min(self.rate);
    }
}

/// Fair shares that a copy may need: of shares drawn at random the largest is about so many (the logarithm of their
/// number), and a copy held to one part denies calls that are within the quotas. Few copies are taken for even.
fn uneven(copies: u32) -> f64 {
    f64::from(copies).ln().max(1.0)
}

fn between(rng: &mut Rand64, (low, high): (f64, f64)) -> f64 {
    low + (high - low) * rng.rand_float()
}

// --- 3. Subset and pick ---

/// The copy's part of the tier.
#[derive(Debug, Default)]
struct Subset {
    /// Members of the own zone, and of the others.
    home: Group,
    away: Group,
    /// The part of the ready upstreams that stands in the own zone.
    even: f64,
    /// The part of the calls that stays there; `None` before the first list.
    stay: Option<f64>,
    /// Upstreams ready in the first list, and the part of their capacity that is still had.
    first: Option<usize>,
    had: f64,
    /// Own calls in flight, to members or not.
    in_flight: u32,
}

#[derive(Debug, Default)]
struct Group {
    members: Arc<[usize]>,
    /// Calls a second to a warm member, for the cold ones to go by.
    warm_rate: f64,
    /// Calls to warm members since the last sweep.
    warm_sends: u32,
    /// Time that calls take, failed ones at what they took, in parts of their aims.
    delay: f64,
}

impl Subset {
    /// A site prices each crossing of zones, yet one zone may have more calls than its upstreams can carry,
    /// and no copy is told: from an even spread on, more stays at home for as long as home is no slower than
    /// elsewhere.
    fn learn_stay(&mut self, price: f64, rng: &mut Rand64) {
        let Some(stay) = &mut self.stay else { return };
        let worse = self.home.delay > self.away.delay + WORSE + price * WORSE_PRICE;
        let step = if worse { -STAY_STEPS.1 } else { STAY_STEPS.0 };
        *stay = (*stay + step * between(rng, (0.5, 1.5))).clamp(self.even, 1.0);
    }

    fn size(&self) -> usize {
        self.home.members.len() + self.away.members.len()
    }
}

/// The part of some upstreams that a copy sends to where so many copies share them: an arc of a ring. The starts of
/// the copies are evenly spaced; a stride spreads neighbours in number, which may share a zone, over the ring.
fn arc(settings: &Settings, sharers: f64, slots: &[usize]) -> Arc<[usize]> {
    let (count, copies) = (slots.len(), u64::from(settings.replica_count));
    let size = (count as f64 * COVER / sharers.max(1.0)).ceil() as usize;
    let mut stride = (copies as f64 * 0.618).round().max(1.0) as u64;
    while gcd(stride, copies) != 1 {
        stride += 1;
    }
    let place = u64::from(settings.replica_index) * stride % copies;
    let start = (place * count as u64 / copies) as usize;
    let around = slots.iter().cycle().skip(start);
    around.take(size.clamp(SUBSET_LEAST.min(count), count)).copied().collect()
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
    home: bool,
    in_flight: u32,
    /// Connections thought to be open, and when one was last used.
    connections: u32,
    used: f64,
    /// Latest answer, or the send that ended an idle time.
    heard: f64,
    failures: f64,
    /// Failed connects since anything was last heard of it.
    missed: u32,
    /// Latency over the usual of its classes, and the latencies learned from.
    slowness: f64,
    measured: f64,
    ejected_until: f64,
    ejection_s: f64,
    /// Chance of being taken when drawn, after its return.
    returning: f64,
    /// When the latest request that it has accepted was sent.
    proved: Option<f64>,
    /// Sends that a cold upstream may still get, and when that was reckoned.
    tokens: f64,
    tokens_at: f64,
}

impl Upstream {
    fn new(member: Member, now: f64, rng: &mut Rand64) -> Self {
        Self {
            member,
            listed: true,
            home: false,
            in_flight: 0,
            connections: 0,
            used: now,
            heard: now,
            failures: 0.0,
            missed: 0,
            slowness: 1.0,
            measured: 0.0,
            ejected_until: 0.0,
            ejection_s: EJECTION_S.0,
            returning: 1.0,
            proved: None,
            tokens: rng.rand_float(),
            tokens_at: now,
        }
    }

    /// A new process knows nothing of what the old one did.
    fn restarted(&mut self, now: f64, rng: &mut Rand64) {
        let (in_flight, home) = (self.in_flight, self.home);
        *self = Self { in_flight, home, ..Self::new(self.member, now, rng) };
    }

    fn usable(&self) -> bool {
        self.listed && self.member.phase == Phase::Ready
    }

    /// The part of its capacity that it surely has: it rises at least evenly from the cold share.
    fn warmth(&self, now: f64, settings: &Settings) -> f64 {
        let Some(started) = self.member.started_at else { return 1.0 };
        let age = (now - started.as_secs_f64()).max(0.0);
        let Rules { slow_start_min_fraction: cold_share, slow_start_duration: cold_time, .. } =
            settings.rules;
        (cold_share + (1.0 - cold_share) * age / cold_time.as_secs_f64().max(1e-6)).min(1.0)
    }

    /// Whether it is neither ejected nor stalled, where calls usually take so long.
    fn healthy(&self, now: f64, usual: f64) -> bool {
        let stalled = self.in_flight > 0 && now - self.heard > (usual * STALL_TIMES).max(STALL_S);
        self.ejected_until <= now && !stalled
    }

    /// Whether an open connection has room for another attempt.
    fn has_room(&self, now: f64, allowed: &Capabilities) -> bool {
        let open = self.connections.saturating_mul(allowed.max_concurrent_streams);
        self.in_flight < open
            && (self.in_flight > 0 || now - self.used < allowed.keepalive_timeout.as_secs_f64())
    }

    /// What another attempt would meet: own calls in flight, and a handshake where no connection has room.
    fn cost(&self, now: f64, settings: &Settings) -> f64 {
        let handshake = settings.costs.handshake > 0.0 && !self.has_room(now, &settings.capabilities);
        f64::from(self.in_flight) + if handshake { HANDSHAKE } else { 0.0 }
    }
}

// --- 5. Request ledger ---

#[derive(Debug)]
struct Attempt {
    slot: usize,
    member: Member,
    sent: f64,
    /// Seconds that it was given.
    given: f64,
    ended: Option<Outcome>,
    withdrawn: bool,
}

#[derive(Debug)]
struct Entry {
    class: ClassId,
    /// That of its class when it arrived, or the strictest.
    effect: Idempotency,
    tenant: usize,
    /// The time until which an answer is worth waiting for.
    useful_until: f64,
    attempts: Vec<Attempt>,
    out: u32,
    closed: bool,
    streaming: bool,
}

impl Entry {
    /// The first attempt not proved never to have run: it binds those that follow.
    fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.ended.is_none_or(|outcome| !outcome.never_ran()))
    }

    /// Calls off the attempts still out, but for the one to keep.
    fn withdraw(&mut self, id: RequestId, keep: Option<AttemptNumber>, actions: &mut Vec<Action>) {
        for (number, attempt) in (0..).map(AttemptNumber).zip(&mut self.attempts) {
            if Some(number) != keep && attempt.ended.is_none() && !attempt.withdrawn {
                attempt.withdrawn = true;
                actions.push(Action::CancelAttempt { request: id, attempt: number });
            }
        }
    }
}

/// The requests held, and the budgets for further attempts.
#[derive(Debug, Default)]
struct Ledger {
    entries: FxHashMap<RequestId, Entry>,
    repeats: f64,
    reroutes: f64,
}

/// The middle latency of a class in good times.
#[derive(Debug, Clone, Copy, Default)]
struct Latency {
    /// Its natural logarithm.
    typical: f64,
    known: f64,
}

impl Latency {
    fn learn(&mut self, took: f64, step: f64, congested: bool) {
        self.known += 1.0;
        let over = took.ln() - self.typical;
        let step = if congested { step / 10.0 } else { step }.min(TYPICAL_STEP);
        // The first is taken whole, others as congestion counts them: in quiet times congestion then rests at none.
        let (least, most) = if self.known > 1.0 { (-1.0, CONGESTED_MOST) } else { (f64::MIN, f64::MAX) };
        self.typical += step.max(1.0 / self.known) * over.clamp(least, most);
    }

    fn seconds(self) -> f64 {
        if self.known > 0.0 { self.typical.exp() } else { 0.0 }
    }
}

// --- 6. Discovery ---

/// Keeps the subscription open.
#[derive(Debug, Default)]
struct Discovery {
    subscribed: bool,
    ask_at: f64,
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
    slots: BTreeMap<UpstreamId, usize>,
    ready: Vec<usize>,
    /// Share of the calls that met congestion lately, the same of those served, and the time of the next drop for it.
    congestion: f64,
    slowed: f64,
    drop_after: f64,
    tier_failures: f64,
    tier_slowness: f64,
    /// Slowness of the kinds of machine measured, and of those of no known kind: what is expected of an upstream
    /// not yet measured.
    kind_slowness: FxHashMap<Option<MachineTypeId>, f64>,
    latencies: Vec<Latency>,
    ledger: Ledger,
    discovery: Discovery,
    list_trust: ListTrust,
    largest_weight: f64,
}

impl Balancer {
    /// A copy that knows nothing yet but its settings.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let limits = LearnedLimit::all(&settings);
        let mut suppressors: Vec<_> = limits.iter().map(|_| Suppressor::new(BUCKET_S)).collect();
        let all = limits.len() - 1;
        suppressors[all].bucket_s *= (CALLS / (limits[all].fair * WINDOW_S)).clamp(1.0, 4.0);
        Ok(Self {
            rng: Rand64::new(u128::from(seed)),
            suppressors,
            limits,
            subset: Subset { had: 1.0, ..Subset::default() },
            upstreams: Slab::new(),
            slots: BTreeMap::new(),
            ready: Vec::new(),
            congestion: 0.0,
            slowed: 0.0,
            drop_after: 0.0,
            tier_failures: 0.0,
            tier_slowness: 1.0,
            kind_slowness: FxHashMap::default(),
            latencies: vec![Latency::default(); settings.classes.len()],
            ledger: Ledger { repeats: REPEATS.1 / 2.0, reroutes: REROUTES.1 / 2.0, ..Ledger::default() },
            discovery: Discovery::default(),
            list_trust: ListTrust::start(0.0, settings.discovery, &settings.rules),
            largest_weight: 1.0,
            settings,
        })
    }

    /// Takes in an event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let now = now.as_secs_f64();
        match event {
            Event::Started => {
                actions.push(Action::SetTimer(Duration::from_secs_f64(SWEEP_S)));
                self.list_trust = ListTrust::start(now, self.settings.discovery, &self.settings.rules);
                self.subscribe(now, actions);
            }
            Event::DiscoveryMoved => {
                self.list_trust.move_away(now);
                self.subscribe_anew(now, actions);
            }
            Event::SettingsChanged(settings) => self.reconfigure(now, *settings, actions),
            Event::Discovery(update) => {
                if matches!(update, DiscoveryUpdate::Full(_) | DiscoveryUpdate::Incremental(_)) {
                    self.discovery = Discovery { subscribed: true, ..Discovery::default() };
                    self.list_trust.confirm();
                }
                self.learn_list(now, update, actions);
            }
            Event::FormerDiscovery(update) => self.learn_list(now, update, actions),
            Event::Request(request) => self.take(now, request, actions),
            Event::ResponseStarted { request, attempt } => {
                let Some(entry) = self.ledger.entries.get_mut(&request) else { return };
                entry.streaming = true;
                if self.settings.capabilities.cancellation {
                    entry.withdraw(request, Some(attempt), actions);
                }
            }
            Event::AttemptEnded(ended) => self.attempt_ended(now, ended, actions),
            Event::RequestAbandoned(request) => self.close(request, actions),
            Event::TimerFired => self.sweep(now, actions),
            Event::ProbeEnded { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// Puts new settings in force. What was learned stays, and so do the requests held; settings that cannot succeed
    /// those in force are passed over.
    fn reconfigure(&mut self, now: f64, settings: Settings, actions: &mut Vec<Action>) {
        if settings.validate_replacement_of(&self.settings).is_err() {
            return;
        }
        for entry in self.ledger.entries.values_mut() {
            // A request that began under one rule and goes on under another is repeated under neither.
            let number = entry.class.0;
            if settings.classes[number].idempotency != self.settings.classes[number].idempotency {
                entry.effect = Idempotency::NonIdempotent;
            }
        }
        // New tenants stand behind the others and before the limit of all.
        let limits = LearnedLimit::all(&settings);
        let all = self.limits.len() - 1;
        let added = &limits[all..settings.tenants.len()];
        self.suppressors.splice(all..all, added.iter().map(|_| Suppressor::new(BUCKET_S)));
        self.limits.splice(all..all, added.iter().copied());
        for (old, new) in self.limits.iter_mut().zip(limits) {
            *old = new.succeed(old);
        }
        self.latencies.resize(settings.classes.len(), Latency::default());
        if settings.zone != self.settings.zone {
            // What was learned of the own zone and of the others tells nothing of the new ones.
            let Subset { first, had, in_flight, .. } = self.subset;
            self.subset = Subset { first, had, in_flight, ..Subset::default() };
        }
        let other_time = settings.rules.max_poll_interval != self.settings.rules.max_poll_interval;
        let asks_anew =
            settings.discovery != self.settings.discovery || (other_time && !self.discovery.subscribed);
        self.list_trust = if settings.discovery == self.settings.discovery {
            self.list_trust.with_rules(&settings.rules)
        } else {
            ListTrust::start(now, settings.discovery, &settings.rules)
        };
        self.settings = settings;
        self.rebuild(actions);
        if asks_anew {
            self.subscribe_anew(now, actions);
        }
    }

    // --- Discovery ---

    fn subscribe_anew(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.discovery = Discovery::default();
        self.subscribe(now, actions);
    }

    fn subscribe(&mut self, now: f64, actions: &mut Vec<Action>) {
        if self.settings.discovery == DiscoveryMode::Subscribe {
            actions.push(Action::SubscribeToDiscovery);
            self.discovery.ask_at = now + self.ask_within();
        }
    }

    fn ask_within(&self) -> f64 {
        self.settings.rules.max_poll_interval.map_or(10.0, |span| span.as_secs_f64()) * ASK_PART
    }

    fn learn_list(&mut self, now: f64, update: DiscoveryUpdate, actions: &mut Vec<Action>) {
        if matches!(update, DiscoveryUpdate::Full(_) | DiscoveryUpdate::Stale(_)) {
            self.upstreams.iter_mut().for_each(|(_, upstream)| upstream.listed = false);
        }
        match update {
            DiscoveryUpdate::Failed | DiscoveryUpdate::TimedOut(_) | DiscoveryUpdate::Unreachable => {
                match update {
                    DiscoveryUpdate::TimedOut(span) => {
                        self.list_trust.lose_silent(now, span, &self.settings.rules);
                    }
                    DiscoveryUpdate::Unreachable => self.list_trust.find_unreachable(now),
                    _ => self.list_trust.lose(now, &self.settings.rules),
                }
                // Copies whose calls fail together must not come back together; what is pushed counts meanwhile, so
                // that a watch which stood is opened anew at once, and one that failed before at the next sweep.
                let at_once = self.discovery.subscribed && self.settings.rules.max_poll_interval.is_none();
                let most = self.ask_within().max(RESUBSCRIBE_S);
                let backoff_s = (self.discovery.backoff_s * 2.0).clamp(RESUBSCRIBE_S, most);
                let part =
                    self.settings.rules.max_poll_interval.map_or(0.0, |_| between(&mut self.rng, (0.5, 1.0)));
                self.discovery = Discovery { subscribed: false, ask_at: now + backoff_s * part, backoff_s };
                if at_once {
                    self.subscribe(now, actions);
                }
            }
            DiscoveryUpdate::Full(members)
            | DiscoveryUpdate::Stale(members)
            | DiscoveryUpdate::Incremental(members) => {
                for member in members {
                    self.learn_member(now, member);
                }
                self.rebuild(actions);
            }
        }
    }

    fn learn_member(&mut self, now: f64, member: Member) {
        if let Some(&slot) = self.slots.get(&member.id) {
            let upstream = &mut self.upstreams[slot];
            let restarted = upstream.member.started_at != member.started_at;
            upstream.member = member;
            upstream.listed = member.phase != Phase::Gone;
            if restarted {
                upstream.restarted(now, &mut self.rng);
            }
        } else if member.phase != Phase::Gone {
            let slot = self.upstreams.insert(Upstream::new(member, now, &mut self.rng));
            self.slots.insert(member.id, slot);
        }
    }

    /// Lays out the subset anew, by a list or new settings.
    fn rebuild(&mut self, actions: &mut Vec<Action>) {
        self.ready.clear();
        self.largest_weight = 1e-9;
        self.slots.retain(|&id, &mut slot| {
            let upstream = &mut self.upstreams[slot];
            if upstream.usable() {
                upstream.home = upstream.member.zone == Some(self.settings.zone);
                self.largest_weight = self.largest_weight.max(upstream.member.weight);
                self.ready.push(slot);
            } else if upstream.in_flight > 0 {
                actions.push(Action::AbortPendingConnects { upstream: id });
            } else if !upstream.listed {
                self.upstreams.remove(slot);
                return false;
            }
            true
        });
        let ready = Some(self.ready.len()).filter(|&count| count > 0);
        self.subset.first = self.subset.first.or(ready);
        let (home, away): (Vec<_>, Vec<_>) = self.ready.iter().partition(|&&slot| self.upstreams[slot].home);
        self.subset.even = home.len() as f64 / self.ready.len().max(1) as f64;
        // Below the first tier the clients stand where the tier above was spread to.
        self.subset.stay.get_or_insert(if self.settings.tier == 0 { self.subset.even } else { 1.0 });
        let copies = f64::from(self.settings.replica_count);
        self.subset.home.members = arc(&self.settings, copies / self.settings.zone_count as f64, &home);
        self.subset.away.members = arc(&self.settings, copies, &away);
    }

    // --- A request's way ---

    fn take(&mut self, now: f64, request: Request, actions: &mut Vec<Action>) {
        // An id in use or a class that the settings do not have is the embedding program's mistake.
        if self.ledger.entries.contains_key(&request.id) {
            return;
        }
        let Some(class) = self.settings.classes.get(request.class.0) else {
            return actions.push(Action::Refuse { request: request.id, retry_after: None });
        };
        let tenant = request.tenant.map_or(0, |TenantId(tenant)| tenant);
        let tenant = tenant.min(self.settings.tenants.len().saturating_sub(1));
        let (aim, deadline) =
            (now + class.latency_target.as_secs_f64(), now + request.time_left.as_secs_f64());
        // Where no deadline is passed on, a server's slot would be held for a client long gone.
        let blind = self.settings.tier > 0 && !self.settings.propagates_deadline;
        let entry = Entry {
            class: request.class,
            effect: class.idempotency,
            tenant,
            useful_until: if class.late_value > 0.0 && !blind { deadline } else { deadline.min(aim) },
            attempts: Vec::new(),
            out: 0,
            closed: false,
            streaming: false,
        };
        self.ledger.entries.insert(request.id, entry);
        if !self.admit(now, tenant) {
            return self.finish(request.id, UnservedReason::Suppressed, actions);
        }
        // Only admitted calls earn further attempts: a storm of denied ones must not pay for them.
        self.ledger.repeats = (self.ledger.repeats + REPEATS.0).min(REPEATS.1);
        self.ledger.reroutes = (self.ledger.reroutes + REROUTES.0).min(REROUTES.1);
        if !self.send_somewhere(now, request.id, actions) {
            self.finish(request.id, UnservedReason::NoUpstream, actions);
        }
    }

    /// A tenant over its fair share must also find room in what all tenants of this copy may send: the chance
    /// allowed to each of many small limits, over all copies, would add up to more than the tier.
    fn admit(&mut self, now: f64, tenant: usize) -> bool {
        let Self { suppressors, limits, rng, subset: Subset { had, .. }, .. } = self;
        let all = limits.len() - 1;
        // Each tenant's part of what they may send together is its own.
        let rate = limits[all].rate * *had;
        let level = (rate / limits[all].fair).min(1.0);
        let own = suppressors[tenant].fits(now, limits[tenant].fair * level, rng);
        let mut admitted = suppressors[tenant].admit(now, &limits[tenant], rng);
        if admitted && all != tenant {
            // After a drop the window still holds what the old limit let in: by it alone all would wait for seconds.
            let room = suppressors[all].fits(now, rate, rng)
                || suppressors[all].last_second(|bucket| bucket.accepted) < rate;
            admitted = own || room;
            suppressors[all].count(admitted);
        }
        suppressors[tenant].count(admitted);
        admitted
    }

    fn send_somewhere(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        self.pick(now, id).is_some_and(|slot| self.send(now, id, slot, actions))
    }

    /// Picks an upstream for a request: where it may go at all if it may have run, else by its zone.
    fn pick(&mut self, now: f64, id: RequestId) -> Option<usize> {
        let entry = self.ledger.entries.get(&id)?;
        let (effect, first) = (entry.effect, entry.first_run());
        if first.is_none()
            || !matches!(effect, Idempotency::Deduplicated { scope: DedupScope::Zone | DedupScope::Cell, .. })
        {
            return self.pick_plain(now, id);
        }
        let allowed = |&&slot: &&usize| may_repeat(now, effect, first, &self.upstreams[slot].member);
        let members: Vec<usize> = self.ready.iter().filter(allowed).copied().collect();
        self.draw_two(now, id, &members)
    }

    /// Two draws from the own zone's members or, for what the own zone's suppressor declines, from the others;
    /// then whatever is left.
    fn pick_plain(&mut self, now: f64, id: RequestId) -> Option<usize> {
        let home = Arc::clone(&self.subset.home.members);
        let away = Arc::clone(&self.subset.away.members);
        let at_home =
            away.is_empty() || (!home.is_empty() && self.rng.rand_float() < self.subset.stay.unwrap_or(1.0));
        let (first, second) = if at_home { (&home, &away) } else { (&away, &home) };
        self.draw_two(now, id, first)
            .or_else(|| self.draw_two(now, id, second))
            .or_else(|| self.any_left(now, id, first))
            .or_else(|| self.any_left(now, id, second))
    }

    /// The less busy of two random members, by own calls in flight. Where both are busier than the members
    /// are on average, two others are drawn, a few times: many copies that each see few calls would otherwise
    /// pile on a server by chance until it chokes.
    fn draw_two(&mut self, now: f64, id: RequestId, from: &[usize]) -> Option<usize> {
        let mut best: Option<usize> = None;
        let average = f64::from(self.subset.in_flight) / self.subset.size().max(1) as f64;
        for _ in 0..PAIRS {
            let pair = [self.draw(now, id, from), self.draw(now, id, from)];
            let cost = |slot: &usize| self.upstreams[*slot].cost(now, &self.settings);
            let drawn = best.into_iter().chain(pair.into_iter().flatten());
            best = drawn.min_by(|one, other| cost(one).total_cmp(&cost(other)));
            if best.is_none_or(|best| cost(&best) <= average) {
                break;
            }
        }
        best
    }

    fn draw(&mut self, now: f64, id: RequestId, from: &[usize]) -> Option<usize> {
        let usual = self.latencies[self.ledger.entries.get(&id)?.class.0].seconds();
        if from.is_empty() {
            return None;
        }
        for _ in 0..DRAWS {
            let slot = from[self.rng.rand_range(0..from.len() as u64) as usize];
            let upstream = &self.upstreams[slot];
            if !upstream.healthy(now, usual)
                || !self.list_trust.holds(now, upstream.proved)
                || self.ledger.tried(id, upstream.member.id)
            {
                continue;
            }
            let chance = upstream.member.weight / self.largest_weight
                * upstream.warmth(now, &self.settings)
                * upstream.returning
                * (self.tier_slowness / self.slowness(upstream)).powi(2).clamp(SLOW_CHANCE, 1.0);
            if self.rng.rand_float() < chance && self.cold_allows(now, slot) {
                return Some(slot);
            }
        }
        None
    }

    /// Latency over the usual: its own or, before the first, that of its kind.
    fn slowness(&self, upstream: &Upstream) -> f64 {
        let kind = || self.kind_slowness.get(&upstream.member.machine_type).copied().unwrap_or(1.0);
        if upstream.measured > 0.0 { upstream.slowness } else { kind() }
    }

    /// A member that may be sent to at all, the least busy, when draws found none.
    fn any_left(&mut self, now: f64, id: RequestId, from: &[usize]) -> Option<usize> {
        let open = |&slot: &usize| {
            let upstream = &self.upstreams[slot];
            self.list_trust.holds(now, upstream.proved) && !self.ledger.tried(id, upstream.member.id)
        };
        let mut left: Vec<usize> = from.iter().copied().filter(open).collect();
        left.sort_by_key(|&slot| self.upstreams[slot].in_flight);
        left.into_iter().find(|&slot| self.cold_allows(now, slot))
    }

    /// Whether a cold upstream's budget holds another send. A copy gives it, of what a warm peer gets from
    /// the same copy, the part that it surely can do; summed over the copies that stays within its capacity,
    /// whoever else sends.
    fn cold_allows(&mut self, now: f64, slot: usize) -> bool {
        let upstream = &mut self.upstreams[slot];
        let warmth = upstream.warmth(now, &self.settings);
        if warmth >= 1.0 {
            return true;
        }
        let group = if upstream.home { &self.subset.home } else { &self.subset.away };
        let rate = warmth * group.warm_rate;
        let most = 1.0 + rate * 0.5;
        upstream.tokens = (upstream.tokens + rate * (now - upstream.tokens_at)).min(most);
        upstream.tokens_at = now;
        upstream.tokens >= 1.0
    }

    /// The ONE gate that every attempt passes; it keeps the rules on effects, drains and cold upstreams.
    fn send(&mut self, now: f64, id: RequestId, slot: usize, actions: &mut Vec<Action>) -> bool {
        if !self.cold_allows(now, slot) {
            return false;
        }
        let Some(entry) = self.ledger.entries.get_mut(&id) else { return false };
        let upstream = &mut self.upstreams[slot];
        // A time-out at the deadline, off by a rounding, must not send the request once more.
        let timeout = entry.useful_until - now;
        if entry.closed
            || entry.streaming
            || timeout < LEAST_S
            || !upstream.usable()
            || !self.list_trust.holds(now, upstream.proved)
            || entry.attempts.len() >= self.settings.capabilities.max_attempts as usize
            || (entry.out > 0 && !self.settings.capabilities.hedging)
            || !may_repeat(now, entry.effect, entry.first_run(), &upstream.member)
        {
            return false;
        }
        // A repeat whose connection comes up after the window would run again.
        let start_within = match (entry.effect, entry.first_run()) {
            (Idempotency::Deduplicated { window, .. }, Some(first)) => {
                first.sent + window.as_secs_f64() - now
            }
            _ => timeout,
        };
        // Nor may its upstream have begun to drain meanwhile, unheard of.
        let trusted = self.list_trust.holds_until(upstream.proved).map_or(start_within, |until| until - now);
        let start_within = start_within.min(trusted);
        self.list_trust.note_use(now);
        if upstream.in_flight == 0 {
            upstream.heard = now;
        }
        if !upstream.has_room(now, &self.settings.capabilities) {
            let open = if upstream.in_flight > 0 { upstream.connections } else { 0 };
            upstream.connections = open + 1;
        }
        upstream.used = now;
        upstream.in_flight += 1;
        self.subset.in_flight += 1;
        let group = if upstream.home { &mut self.subset.home } else { &mut self.subset.away };
        if upstream.warmth(now, &self.settings) < 1.0 {
            upstream.tokens -= 1.0;
        } else {
            group.warm_sends += 1;
        }
        let member = upstream.member;
        entry.attempts.push(Attempt {
            slot,
            member,
            sent: now,
            given: timeout,
            ended: None,
            withdrawn: false,
        });
        entry.out += 1;
        let timeout = Some(Duration::from_secs_f64(timeout));
        let start_within = Duration::from_secs_f64(start_within.max(0.0));
        actions.push(Action::Send { request: id, upstream: member.id, timeout, start_within });
        true
    }

    /// The ONE path that ends a request unserved: refused where that is true, failed otherwise.
    fn finish(&mut self, id: RequestId, reason: UnservedReason, actions: &mut Vec<Action>) {
        let Some(entry) = self.ledger.entries.get(&id).filter(|entry| !entry.closed) else { return };
        let harmless = entry.first_run().is_none()
            || matches!(
                entry.effect,
                Idempotency::Idempotent | Idempotency::Deduplicated { scope: DedupScope::All, .. }
            );
        // Told to stay away past its time, a client never comes back; tries within an aim feed the congestion.
        let aim = self.settings.classes[entry.class.0].latency_target;
        let retry_after = self.settings.capabilities.max_retry_after.map(|most| most.min(aim));
        let refusal = Action::Refuse { request: id, retry_after };
        actions.push(Action::Report(Report::RequestUnserved { request: id, reason }));
        actions.push(if harmless { refusal } else { Action::Fail { request: id } });
        self.close(id, actions);
    }

    /// Marks a request as ended and calls off what is still out for it.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(entry) = self.ledger.entries.get_mut(&id) else { return };
        entry.closed = true;
        if self.settings.capabilities.cancellation && !entry.streaming {
            entry.withdraw(id, None, actions);
        }
        if entry.out == 0 {
            self.ledger.entries.remove(&id);
        }
    }

    fn attempt_ended(&mut self, now: f64, ended: AttemptEnded, actions: &mut Vec<Action>) {
        let AttemptEnded { request: id, attempt: number, outcome, request_ended: finished, .. } = ended;
        let took = ended.duration.as_secs_f64();
        let Some(entry) = self.ledger.entries.get_mut(&id) else { return };
        let attempt = entry.attempts.get_mut(number.0 as usize).filter(|attempt| attempt.ended.is_none());
        let Some(attempt) = attempt else { return };
        let slot = attempt.slot;
        attempt.ended = Some(outcome);
        entry.out -= 1;
        self.subset.in_flight = self.subset.in_flight.saturating_sub(1);
        let (class, tenant, given) = (entry.class, entry.tenant, attempt.given);
        if matches!(outcome, Outcome::Good | Outcome::Error) {
            let upstream = &mut self.upstreams[slot];
            upstream.proved = Some(upstream.proved.map_or(attempt.sent, |proved| proved.max(attempt.sent)));
        }
        // By its own time: what was lost before it, on connections or elsewhere, tells nothing of congestion here.
        let late = took > self.settings.classes[class.0].latency_target.as_secs_f64();
        let (closed, idle) = (entry.closed || finished, entry.out == 0);
        // Given less time than such calls take, it tells of its short deadline: counted like others, the calls of
        // one tenant with short deadlines would pass for congestion and have all tenants denied.
        let short_deadline = matches!(outcome, Outcome::Error | Outcome::TimedOut)
            && given < self.latencies[class.0].seconds();
        self.learn_outcome(now, slot, class, &ended, short_deadline, actions);
        let upstream = &self.upstreams[slot];
        if upstream.ejected_until > now && upstream.in_flight > 0 {
            actions.push(Action::AbortPendingConnects { upstream: upstream.member.id });
        }
        if closed {
            self.close(id, actions);
        }
        let again = !closed && idle && self.try_again(now, id, outcome, actions);
        if idle && !again {
            self.finish(id, UnservedReason::AttemptFailed(outcome), actions);
        }
        // A call that was rejected and went elsewhere has met no congestion yet: behind a broken link or one
        // full server the tenant's limit would drop although its calls are served. Refusals by two servers in
        // a row are congestion.
        let refusals = outcome == Outcome::Refused && number.0 > 0;
        if !short_deadline && (refusals || !(again && outcome.never_ran())) {
            self.meet(now, class, tenant, outcome, took, late);
        }
    }

    fn try_again(&mut self, now: f64, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) -> bool {
        let Some(entry) = self.ledger.entries.get(&id) else { return false };
        let useful = outcome != Outcome::NotSent && now < entry.useful_until;
        let sent = useful && *self.ledger.budget(outcome) >= 1.0 && self.send_somewhere(now, id, actions);
        if sent {
            *self.ledger.budget(outcome) -= 1.0;
        }
        sent
    }

    /// What an outcome tells of its upstream and of the zones; nothing if it was `short_deadline`.
    fn learn_outcome(
        &mut self,
        now: f64,
        slot: usize,
        class: ClassId,
        ended: &AttemptEnded,
        short_deadline: bool,
        actions: &mut Vec<Action>,
    ) {
        let (outcome, took) = (ended.outcome, ended.duration.as_secs_f64());
        let usual = self.latencies[class.0].seconds();
        let upstream = &mut self.upstreams[slot];
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.used = now;
        // A connection goes with what broke it and, where it carries one attempt, with an answer given up.
        let given_up = matches!(outcome, Outcome::TimedOut | Outcome::Withdrawn);
        if matches!(outcome, Outcome::ConnectFailed | Outcome::Reset)
            || (given_up && self.settings.capabilities.max_concurrent_streams == 1)
        {
            upstream.connections = upstream.connections.saturating_sub(1);
        }
        let aim = self.settings.classes[class.0].latency_target.as_secs_f64();
        if short_deadline || matches!(outcome, Outcome::NotSent | Outcome::Withdrawn) {
            return;
        }
        // Who rejects calls has none in flight: uncounted, it would draw ever more of them.
        let failed = outcome != Outcome::Good;
        match outcome {
            Outcome::ConnectFailed => upstream.missed += 1,
            Outcome::TimedOut => {}
            _ => (upstream.heard, upstream.missed) = (now, 0),
        }
        let out_of_reach = upstream.missed >= MISSED;
        upstream.failures += FAIL_WEIGHT * (f64::from(u8::from(failed)) - upstream.failures);
        // A failed connect is that upstream's own, as is a refusal: behind a broken link, counting it for the tier
        // would make many lost upstreams look like congestion below, and none would be ejected.
        if !matches!(outcome, Outcome::ConnectFailed | Outcome::Refused) {
            self.tier_failures += TIER_WEIGHT * (f64::from(u8::from(failed)) - self.tier_failures);
        }
        if usual > 0.0 && matches!(outcome, Outcome::Good | Outcome::TimedOut) {
            let times = (took / usual).min(8.0);
            let kind = self.kind_slowness.entry(upstream.member.machine_type).or_insert(1.0);
            if upstream.measured == 0.0 {
                upstream.slowness = *kind;
            }
            upstream.measured += 1.0;
            upstream.slowness +=
                SLOW_WEIGHT.max(1.0 / (upstream.measured + 1.0)) * (times - upstream.slowness);
            if outcome == Outcome::Good {
                *kind += KIND_SLOW_WEIGHT * (times.min(KIND_SLOW_MOST) - *kind);
            }
            self.tier_slowness += TIER_WEIGHT * (times - self.tier_slowness);
        }
        if outcome == Outcome::Good {
            upstream.returning = (upstream.returning * 2.0).min(1.0);
            if upstream.returning >= 1.0 {
                upstream.ejection_s = EJECTION_S.0;
            }
        }
        let congested = !matches!(outcome, Outcome::Good | Outcome::Error);
        let group = if upstream.home { &mut self.subset.home } else { &mut self.subset.away };
        let delay = if congested { took.max(aim) } else { took } / aim;
        group.delay += DELAY_WEIGHT * (delay - group.delay);
        if failed {
            let ejected = self.eject(now, slot, out_of_reach);
            let upstream = self.upstreams[slot].member.id;
            actions.extend(ejected.map(|span| Action::Report(Report::Ejected { upstream, duration: span })));
        }
    }

    /// What the end of a call tells of the congestion that it met, and so of the limits.
    fn meet(&mut self, now: f64, class: ClassId, tenant: usize, outcome: Outcome, took: f64, late: bool) {
        let bad = match outcome {
            Outcome::Refused | Outcome::TimedOut | Outcome::ConnectFailed => true,
            Outcome::Error => self.tier_failures > CONGESTED_ERRORS && self.slowed > CONGESTED,
            Outcome::Good => late,
            _ => return,
        };
        let sample = if bad {
            CONGESTED_MOST
        } else if outcome == Outcome::Good && self.settings.tier == 0 {
            // Shed early at the first tier only: a call denied below is work lost above.
            (took.max(1e-4).ln() - self.latencies[class.0].typical).clamp(-1.0, CONGESTED_MOST)
        } else {
            0.0
        };
        // The tenants meet the same tier: a small one's own calls are too few to tell of a jam in time.
        let all = self.settings.tenants.len();
        let rate = self.suppressors[all].accepted_rate(now);
        let weight = (1.0 / (rate * CONGESTION_S)).min(CONGESTION_WEIGHT);
        self.congestion += weight * (sample - self.congestion);
        let congested = self.congestion > CONGESTED;
        if outcome == Outcome::Good {
            self.slowed += weight * (sample - self.slowed);
            self.latencies[class.0].learn(took.max(1e-4), 1.0 / (rate * TYPICAL_S), congested);
        }
        if congested && now >= self.drop_after {
            self.drop_after = now + between(&mut self.rng, DROP_EVERY_S);
            for (limit, suppressor) in self.limits.iter_mut().zip(&mut self.suppressors) {
                limit.drop(self.congestion, suppressor.accepted_rate(now));
            }
        } else if !congested && !bad && outcome == Outcome::Good {
            // A drop is for all; a tenant denied whole has no calls of its own left to come back with.
            for (number, limit) in self.limits.iter_mut().enumerate() {
                let locked = limit.rate < limit.fair && self.suppressors[number].accepted_rate(now) == 0.0;
                if number == tenant || number == all || locked {
                    limit.rise();
                }
            }
        }
    }

    /// Ejects an upstream where it fails and the tier does not; one out of reach in any case.
    fn eject(&mut self, now: f64, slot: usize, out_of_reach: bool) -> Option<Duration> {
        let upstream = &self.upstreams[slot];
        let tier = if out_of_reach { 0.0 } else { FAIL_OVER.1 * self.tier_failures };
        if upstream.failures < FAIL_OVER.0 + tier || upstream.ejected_until > now {
            return None;
        }
        let group = if upstream.home { &self.subset.home } else { &self.subset.away };
        let ejected = group.members.iter().filter(|&&slot| self.upstreams[slot].ejected_until > now).count();
        if !out_of_reach && (ejected + 1) as f64 > (group.members.len() as f64 * EJECTED_MOST).max(1.0) {
            return None;
        }
        let upstream = &mut self.upstreams[slot];
        let span = upstream.ejection_s * between(&mut self.rng, (0.75, 1.25));
        upstream.ejected_until = now + span;
        upstream.ejection_s = (upstream.ejection_s * 2.0).min(EJECTION_S.1);
        upstream.returning = RETURN_AT;
        Some(Duration::from_secs_f64(span))
    }

    // --- Sweep ---

    /// Ends what still waits for a connection to upstreams that the list no longer vouches for.
    fn watch_trust(&mut self, now: f64, actions: &mut Vec<Action>) {
        if let Some(level) = self.list_trust.level_changed(now) {
            actions.push(Action::Report(Report::ListTrustChanged(level)));
        }
        let waits = |upstream: &&Upstream| {
            upstream.in_flight > 0 && !self.list_trust.holds(now, upstream.proved) && upstream.usable()
        };
        for (_, upstream) in self.upstreams.iter().filter(|(_, upstream)| waits(upstream)) {
            actions.push(Action::AbortPendingConnects { upstream: upstream.member.id });
        }
    }

    fn sweep(&mut self, now: f64, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(Duration::from_secs_f64(SWEEP_S)));
        if !self.discovery.subscribed && now >= self.discovery.ask_at {
            self.subscribe(now, actions);
        }
        self.watch_trust(now, actions);
        for (suppressor, limit) in self.suppressors.iter_mut().zip(&mut self.limits) {
            limit.usual += 0.02 * (suppressor.accepted_rate(now) - limit.usual);
        }
        // Quotas are parts of a whole tier: while some is gone, cold or ejected, the rest would choke.
        let has = |&slot: &usize| {
            let upstream = &self.upstreams[slot];
            if upstream.ejected_until > now { 0.0 } else { upstream.warmth(now, &self.settings) }
        };
        let Subset { home, away, first, .. } = &self.subset;
        let members = home.members.iter().chain(&*away.members);
        let part = members.map(has).sum::<f64>() / self.subset.size().max(1) as f64;
        let ready = self.ready.len() as f64 / first.unwrap_or(1) as f64;
        let calm = 2.0 * (1.0 - self.congestion / CONGESTED).clamp(0.0, 0.5);
        self.subset.had = (part * ready * (1.0 + SPARE * calm)).clamp(HAD_LEAST, 1.0);
        self.subset.learn_stay(self.settings.costs.cross_zone, &mut self.rng);
        for group in [&mut self.subset.home, &mut self.subset.away] {
            let warm = |&&slot: &&usize| self.upstreams[slot].warmth(now, &self.settings) >= 1.0;
            let warm = group.members.iter().filter(warm).count();
            let rate = f64::from(group.warm_sends) / SWEEP_S / warm.max(1) as f64;
            group.warm_rate += 0.2 * (rate - group.warm_rate);
            group.warm_sends = 0;
        }
    }
}

impl Ledger {
    fn tried(&self, id: RequestId, upstream: UpstreamId) -> bool {
        self.entries
            .get(&id)
            .is_some_and(|entry| entry.attempts.iter().any(|tried| tried.member.id == upstream))
    }

    fn budget(&mut self, outcome: Outcome) -> &mut f64 {
        if outcome.never_ran() { &mut self.reroutes } else { &mut self.repeats }
    }
}

/// Whether the rules on effects let a request out again to `member`.
fn may_repeat(now: f64, effect: Idempotency, first_run: Option<&Attempt>, member: &Member) -> bool {
    let Some(first) = first_run else { return true };
    match effect {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Deduplicated { scope, window } => {
            now - first.sent <= window.as_secs_f64()
                && match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => first.member.zone.is_some() && member.zone == first.member.zone,
                    DedupScope::Cell => member.cell == first.member.cell,
                }
        }
    }
}
