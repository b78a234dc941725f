//! Property tests of the four rules over arbitrary valid sequences of events, checked by a small independent
//! oracle.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{START, millis};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stilelead_decision::interface::*;
use stilelead_decision::{Action, Balancer, Event, Settings};

/// A step of a random sequence of events.
#[derive(Debug, Clone)]
enum Step {
    /// Advances the clock by this many milliseconds.
    Advance(u64),
    /// Submits a request.
    Submit { class: usize, time_left_ms: u64 },
    /// Ends one of the attempts in flight; `index` wraps around.
    EndAttempt { index: usize, outcome: Outcome },
    /// A client disconnects; `index` wraps around.
    Abandon { index: usize },
    /// Discovery reports one upstream in a phase, possibly with a new start time.
    UpdateMember { upstream: u32, phase: Phase, restarted: bool },
    /// Discovery replaces the list with the first `member_count` upstreams.
    ReplaceList { member_count: u32, stale: bool },
    /// A call to discovery fails or the subscription ends.
    DiscoveryFailed,
    /// Replaces the settings.
    ChangeSettings(ChangeSettings),
}

/// A random change of the settings.
#[derive(Debug, Clone)]
struct ChangeSettings {
    /// The class whose idempotency and late value change.
    class: usize,
    /// The new idempotency of the class.
    idempotency: Idempotency,
    /// The new late value of the class.
    late_value: f64,
    max_attempts: u32,
    replica_count: u32,
    replica_index: u32,
    zone: usize,
    /// The new quota of the last tenant; `None` for an unknown quota.
    quota: Option<u32>,
    hedging: bool,
    cancellation: bool,
    max_poll_interval_ms: u64,
    /// Whether a class and a tenant are added.
    append_entries: bool,
}

/// Generates the idempotency of a class.
fn idempotency() -> impl Strategy<Value = Idempotency> {
    let scope = prop_oneof![Just(DedupScope::All), Just(DedupScope::Zone), Just(DedupScope::Cell)];
    prop_oneof![
        1 => Just(Idempotency::Idempotent),
        1 => Just(Idempotency::NonIdempotent),
        2 => (scope, 50u64..1500)
            .prop_map(|(scope, window_ms)| Idempotency::Deduplicated { scope, window: millis(window_ms) }),
    ]
}

/// Generates a change of the settings.
fn change_settings() -> impl Strategy<Value = ChangeSettings> {
    let capabilities = (1u32..5, any::<bool>(), any::<bool>(), 1_000u64..20_000);
    let replica = (1u32..9, 0u32..9, 0usize..2);
    let values = (prop_oneof![Just(0.0), Just(0.5)], prop_oneof![Just(None), (0u32..500).prop_map(Some)]);
    (0usize..5, idempotency(), capabilities, replica, values, any::<bool>()).prop_map(
        |(class, idempotency, capabilities, replica, values, append_entries)| {
            let (max_attempts, hedging, cancellation, max_poll_interval_ms) = capabilities;
            let (replica_count, replica_index, zone) = replica;
            let (late_value, quota) = values;
            ChangeSettings {
                class,
                idempotency,
                late_value,
                max_attempts,
                replica_count,
                replica_index,
                zone,
                quota,
                hedging,
                cancellation,
                max_poll_interval_ms,
                append_entries,
            }
        },
    )
}

/// Generates the outcome of an attempt. Time-outs are absent because the simulation delivers them itself.
fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        4 => Just(Outcome::Good),
        2 => Just(Outcome::Error),
        2 => Just(Outcome::Refused),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::NotSent),
    ]
}

/// Generates a step; the numbers before the arrows are relative frequencies.
fn step() -> impl Strategy<Value = Step> {
    let phase = prop_oneof![3 => Just(Phase::Ready), 1 => Just(Phase::Draining), 1 => Just(Phase::Gone)];
    prop_oneof![
        4 => (1u64..400).prop_map(Step::Advance),
        8 => (0usize..5, 1u64..3000).prop_map(|(class, time_left_ms)| Step::Submit { class, time_left_ms }),
        8 => (any::<usize>(), outcome()).prop_map(|(index, outcome)| Step::EndAttempt { index, outcome }),
        1 => any::<usize>().prop_map(|index| Step::Abandon { index }),
        2 => (0u32..8, phase, any::<bool>())
            .prop_map(|(upstream, phase, restarted)| Step::UpdateMember { upstream, phase, restarted }),
        1 => (0u32..9, any::<bool>())
            .prop_map(|(member_count, stale)| Step::ReplaceList { member_count, stale }),
        1 => Just(Step::DiscoveryFailed),
        1 => change_settings().prop_map(Step::ChangeSettings),
    ]
}

/// Settings of two zones with one class for each kind of idempotency.
fn settings(hedging: bool, subscribe: bool) -> Settings {
    let class = |idempotency, late_value| Class { late_value, ..common::class(idempotency) };
    let deduplicated = |scope| Idempotency::Deduplicated { scope, window: millis(800) };
    let mut settings = Settings::single_zone(vec![
        class(Idempotency::Idempotent, 0.0),
        class(Idempotency::NonIdempotent, 0.5),
        class(deduplicated(DedupScope::All), 0.5),
        class(deduplicated(DedupScope::Zone), 0.0),
        class(deduplicated(DedupScope::Cell), 0.5),
    ]);
    settings.zone_count = 2;
    settings.capabilities.hedging = hedging;
    settings.capabilities.max_attempts = 4;
    if subscribe {
        settings.discovery = DiscoveryMode::Subscribe;
        settings.rules.max_poll_interval = Some(millis(10_000));
    }
    settings
}

/// A ready upstream; zones alternate, and three consecutive ids share a cell.
fn member(id: u32) -> Member {
    Member { zone: Some(ZoneId(id as usize % 2)), cell: id / 3, ..common::member(id) }
}

/// What the oracle records of an attempt.
struct Attempt {
    upstream: UpstreamId,
    sent_at: Duration,
    /// When the attempt times out unless it has ended.
    timeout_at: Duration,
    /// How the attempt ended; `None` while it is in flight.
    outcome: Option<Outcome>,
}

/// What the oracle records of a request.
struct RequestState {
    class: usize,
    /// All values that the idempotency of its class has had since the request was submitted.
    idempotencies: Vec<Idempotency>,
    deadline: Duration,
    attempts: Vec<Attempt>,
    /// Number of times that the balancer has refused or failed the request.
    final_answers: u32,
    /// Whether the request has ended with a response or because the client disconnected.
    ended: bool,
}

/// Simulates the environment of a balancer and checks each of its actions against the rules.
struct Simulation {
    balancer: Balancer,
    settings: Settings,
    now: Duration,
    requests: BTreeMap<RequestId, RequestState>,
    /// The latest list of upstreams from discovery.
    list: BTreeMap<UpstreamId, Member>,
    /// When the balancer's timer is due.
    timer_at: Option<Duration>,
    /// Since when the replica has had no subscription and has not tried to open one.
    unsubscribed_since: Option<Duration>,
    next_request_id: u64,
}

impl Simulation {
    /// A started balancer that has received a list of eight ready upstreams.
    fn new(settings: Settings, seed: u64) -> Self {
        let mut simulation = Self {
            balancer: Balancer::new(settings.clone(), seed).expect("the settings are valid"),
            settings,
            now: START,
            requests: BTreeMap::new(),
            list: BTreeMap::new(),
            timer_at: None,
            unsubscribed_since: Some(START),
            next_request_id: 0,
        };
        simulation.handle(Event::Started);
        simulation.replace_list((0..8).map(member).collect(), false);
        simulation
    }

    /// Passes an event to the balancer and checks the actions that follow.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.check_action(action);
        }
    }

    /// Checks an action against the rules and records it.
    fn check_action(&mut self, action: Action) {
        match action {
            Action::Send { request, upstream, timeout, start_within } => {
                let state = self.requests.get_mut(&request).expect("the request has been submitted");
                assert!(state.final_answers == 0 && !state.ended, "sent after the request has ended");
                assert!(self.now < state.deadline, "sent after the deadline");
                let target = self.list.get(&upstream).expect("the upstream is in the list");
                assert_eq!(target.phase, Phase::Ready, "sent to an upstream that is draining or gone");
                let in_flight = state.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count();
                assert!(
                    in_flight == 0 || self.settings.capabilities.hedging,
                    "two attempts in flight without hedging"
                );
                assert!(state.attempts.len() < self.settings.capabilities.max_attempts as usize);
                let may_have_run =
                    |attempt: &&Attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran());
                if let Some(first) = state.attempts.iter().find(may_have_run) {
                    for idempotency in &state.idempotencies {
                        match *idempotency {
                            Idempotency::Idempotent => {}
                            Idempotency::NonIdempotent => panic!("a non-idempotent request sent twice"),
                            Idempotency::Deduplicated { scope, window } => {
                                assert!(
                                    self.now <= first.sent_at + window,
                                    "sent after the deduplication window"
                                );
                                // One microsecond allows for the rounding of times.
                                assert!(
                                    self.now + start_within
                                        <= first.sent_at + window + Duration::from_micros(1)
                                );
                                let (first_member, second_member) =
                                    (member(first.upstream.0), member(upstream.0));
                                match scope {
                                    DedupScope::All => {}
                                    DedupScope::Zone => assert_eq!(first_member.zone, second_member.zone),
                                    DedupScope::Cell => assert_eq!(first_member.cell, second_member.cell),
                                }
                            }
                        }
                    }
                }
                let timeout_at =
                    timeout.map_or(state.deadline, |timeout| state.deadline.min(self.now + timeout));
                state.attempts.push(Attempt { upstream, sent_at: self.now, timeout_at, outcome: None });
            }
            Action::Refuse { request, .. } => {
                let state = self.requests.get_mut(&request).expect("the request has been submitted");
                state.final_answers += 1;
                assert!(state.final_answers == 1 && !state.ended, "a second final answer");
                let may_have_run =
                    state.attempts.iter().any(|attempt| attempt.outcome.is_none_or(|o| !o.never_ran()));
                let safe_to_retry = state.idempotencies.iter().all(|idempotency| match idempotency {
                    Idempotency::Idempotent | Idempotency::Deduplicated { scope: DedupScope::All, .. } => {
                        true
                    }
                    Idempotency::Deduplicated { .. } | Idempotency::NonIdempotent => false,
                });
                assert!(safe_to_retry || !may_have_run, "refused although it may have been executed");
            }
            Action::Fail { request } => {
                let state = self.requests.get_mut(&request).expect("the request has been submitted");
                state.final_answers += 1;
                assert!(state.final_answers == 1 && !state.ended, "a second final answer");
            }
            Action::SetTimer(delay) => self.timer_at = Some(self.now + delay),
            Action::SubscribeToDiscovery => self.unsubscribed_since = Some(self.now),
            Action::CancelAttempt { request, attempt } => {
                let state = self.requests.get(&request).expect("the request has been submitted");
                assert!(
                    (attempt.0 as usize) < state.attempts.len(),
                    "cancelled an attempt that was never sent"
                );
            }
            Action::Probe { upstream } => {
                assert!(self.settings.capabilities.probes, "sent a health check that is not permitted");
                assert!(self.list.contains_key(&upstream), "checked an upstream that is not in the list");
            }
            Action::AbortPendingConnects { upstream } => {
                assert!(self.requests.values().any(|state| {
                    state
                        .attempts
                        .iter()
                        .any(|attempt| attempt.upstream == upstream && attempt.outcome.is_none())
                }));
            }
            Action::CloseIdleConnections { upstream } => assert!(self.list.contains_key(&upstream)),
            Action::Report(_) => {}
        }
    }

    /// Advances the clock and delivers the time-outs of attempts and the timers as they become due.
    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let attempts_in_flight = self.attempts_in_flight();
            let first_timeout = attempts_in_flight
                .iter()
                .map(|&(id, attempt)| (self.requests[&id].attempts[attempt].timeout_at, id, attempt))
                .min();
            let next_event_at =
                first_timeout.map(|(timeout_at, ..)| timeout_at).into_iter().chain(self.timer_at).min();
            let Some(next_event_at) = next_event_at.filter(|&at| at <= end) else { break };
            self.now = self.now.max(next_event_at);
            match first_timeout.filter(|&(timeout_at, ..)| timeout_at <= self.now) {
                Some((_, id, attempt)) => self.end_attempt(id, attempt, Outcome::TimedOut),
                None => {
                    self.timer_at = None;
                    self.handle(Event::TimerFired);
                }
            }
            self.check_poll_interval();
        }
        self.now = end;
        let grace = self.settings.rules.deadline_grace;
        for (id, state) in &self.requests {
            assert!(
                state.ended || state.final_answers == 1 || self.now <= state.deadline + grace,
                "{id:?} was not answered by its deadline"
            );
        }
    }

    /// Checks that the replica has subscribed within the poll interval.
    fn check_poll_interval(&self) {
        if let (Some(since), Some(max_interval)) =
            (self.unsubscribed_since, self.settings.rules.max_poll_interval)
        {
            assert!(self.now <= since + max_interval, "has not subscribed within the poll interval");
        }
    }

    /// The attempts in flight of all requests, by request and number.
    fn attempts_in_flight(&self) -> Vec<(RequestId, usize)> {
        let all_attempts = self.requests.iter().flat_map(|(&id, state)| {
            state.attempts.iter().enumerate().map(move |(number, attempt)| (id, number, attempt.outcome))
        });
        all_attempts.filter(|(.., outcome)| outcome.is_none()).map(|(id, number, _)| (id, number)).collect()
    }

    /// Reports the end of an attempt; the request must then have another attempt in flight or have ended.
    fn end_attempt(&mut self, request: RequestId, attempt: usize, outcome: Outcome) {
        let state = self.requests.get_mut(&request).expect("the request has been submitted");
        state.attempts[attempt].outcome = Some(outcome);
        let duration = self.now - state.attempts[attempt].sent_at;
        state.ended |= outcome == Outcome::Good;
        let request_ended = state.ended || state.final_answers > 0;
        let attempt = AttemptNumber(attempt as u32);
        self.handle(Event::AttemptEnded(AttemptEnded {
            request,
            attempt,
            outcome,
            duration,
            request_ended,
            load: None,
        }));
        let state = &self.requests[&request];
        let in_flight = state.attempts.iter().any(|attempt| attempt.outcome.is_none());
        assert!(
            state.ended || state.final_answers == 1 || in_flight,
            "has neither an attempt in flight nor a final answer"
        );
    }

    /// Delivers a full list from discovery or, if `stale`, an outdated copy of one.
    fn replace_list(&mut self, members: Vec<Member>, stale: bool) {
        self.list = members.iter().map(|member| (member.id, *member)).collect();
        if !stale {
            self.unsubscribed_since = None;
        }
        let update = if stale { DiscoveryUpdate::Stale(members) } else { DiscoveryUpdate::Full(members) };
        self.handle(Event::Discovery(update));
    }

    /// Changes the settings of the balancer.
    fn change_settings(&mut self, new: &ChangeSettings) {
        let settings = &mut self.settings;
        settings.classes[new.class].idempotency = new.idempotency;
        settings.classes[new.class].late_value = new.late_value;
        settings.capabilities.max_attempts = new.max_attempts;
        settings.capabilities.hedging = new.hedging;
        settings.capabilities.cancellation = new.cancellation;
        (settings.replica_count, settings.replica_index, settings.zone) =
            (new.replica_count, new.replica_index, ZoneId(new.zone));
        if settings.discovery == DiscoveryMode::Subscribe {
            settings.rules.max_poll_interval = Some(millis(new.max_poll_interval_ms));
        }
        if new.append_entries {
            settings.classes.push(common::class(new.idempotency));
            settings.tenants.push(Tenant { quota: None });
        }
        if let Some(tenant) = settings.tenants.last_mut() {
            tenant.quota = new.quota.map(f64::from);
        }
        for state in self.requests.values_mut() {
            state.idempotencies.push(settings.classes[state.class].idempotency);
        }
        let settings = settings.clone();
        self.handle(Event::SettingsChanged(Box::new(settings)));
        self.check_poll_interval();
    }

    /// Carries out a step of the sequence of events.
    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Advance(ms) => self.advance(millis(ms)),
            Step::Submit { class, time_left_ms } => {
                let id = RequestId(self.next_request_id);
                self.next_request_id += 1;
                let deadline = self.now + millis(time_left_ms);
                let idempotencies = vec![self.settings.classes[class].idempotency];
                let state = RequestState {
                    class,
                    idempotencies,
                    deadline,
                    attempts: Vec::new(),
                    final_answers: 0,
                    ended: false,
                };
                self.requests.insert(id, state);
                self.handle(Event::Request(Request {
                    id,
                    class: ClassId(class),
                    tenant: self.settings.tenants.len().checked_sub(1).map(TenantId),
                    resource_key: None,
                    time_left: millis(time_left_ms),
                    expected_work: None,
                    is_retry: false,
                }));
                let state = &self.requests[&id];
                assert!(state.final_answers == 1 || !state.attempts.is_empty(), "neither sent nor answered");
            }
            Step::EndAttempt { index, outcome } => {
                let attempts_in_flight = self.attempts_in_flight();
                if let Some(&(id, attempt)) = attempts_in_flight.get(index % attempts_in_flight.len().max(1))
                {
                    self.end_attempt(id, attempt, outcome);
                }
            }
            Step::Abandon { index } => {
                let ids: Vec<_> = self.requests.keys().copied().collect();
                if let Some(id) = ids.get(index % ids.len().max(1)) {
                    self.requests.get_mut(id).expect("the request has been submitted").ended = true;
                    self.handle(Event::RequestAbandoned(*id));
                }
            }
            Step::UpdateMember { upstream, phase, restarted } => {
                let started_at = if restarted { Some(self.now) } else { None };
                let member = Member { phase, started_at, ..member(upstream) };
                self.list.insert(member.id, member);
                self.unsubscribed_since = None;
                self.handle(Event::Discovery(DiscoveryUpdate::Incremental(vec![member])));
            }
            Step::ChangeSettings(new) => self.change_settings(&new),
            Step::ReplaceList { member_count, stale } => {
                self.replace_list((0..member_count).map(member).collect(), stale)
            }
            Step::DiscoveryFailed => {
                if self.settings.discovery == DiscoveryMode::Subscribe {
                    self.unsubscribed_since.get_or_insert(self.now);
                    self.handle(Event::Discovery(DiscoveryUpdate::Failed));
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against any action that breaks a rule, in random sequences of events.
    #[test]
    fn the_rules_hold_for_any_valid_sequence_of_events(
        seed in any::<u64>(),
        hedging in any::<bool>(),
        subscribe in any::<bool>(),
        steps in proptest::collection::vec(step(), 1..250),
    ) {
        let mut simulation = Simulation::new(settings(hedging, subscribe), seed);
        for step in steps {
            simulation.apply_step(step);
        }
        simulation.advance(millis(4000));
    }

    /// Guards against overloading an upstream in slow start, whatever happens to the other upstreams.
    #[test]
    fn an_upstream_in_slow_start_never_gets_more_than_its_limit(
        seed in any::<u64>(),
        interval_ms in 2u64..40,
        slow_start_count in 1u32..7,
        refuse_in_slow_start in any::<bool>(),
        settings_change in proptest::option::of((change_settings(), 1_000u64..5_000)),
    ) {
        let mut settings = settings(false, false);
        settings.rules.slow_start_min_fraction = 0.15;
        settings.rules.slow_start_duration = millis(20_000);
        settings.rules.overload_duration = millis(2_000);
        let rules = settings.rules.clone();
        let mut simulation = Simulation::new(settings, seed);
        let started_at = simulation.now;
        let list = (0..8).map(|id| Member {
            started_at: (id < slow_start_count).then_some(started_at),
            ..member(id)
        });
        simulation.replace_list(list.collect(), false);
        let mut sends: Vec<(Duration, u32)> = Vec::new();
        let mut changed = false;
        while simulation.now < started_at + millis(6_000) {
            simulation.apply_step(Step::Submit { class: 0, time_left_ms: 500 });
            for (id, attempt) in simulation.attempts_in_flight() {
                sends.push((simulation.now, simulation.requests[&id].attempts[attempt].upstream.0));
                let in_slow_start =
                    simulation.requests[&id].attempts[attempt].upstream.0 < slow_start_count;
                let refuse = refuse_in_slow_start && in_slow_start;
                simulation.end_attempt(id, attempt, if refuse { Outcome::Refused } else { Outcome::Good });
            }
            simulation.advance(millis(interval_ms));
            // Here one replica sends all requests of the tier, before and after the change.
            if let Some((new, _)) = settings_change
                .as_ref()
                .filter(|(_, after_ms)| !changed && simulation.now >= started_at + millis(*after_ms))
            {
                changed = true;
                simulation.change_settings(&ChangeSettings {
                    replica_count: 1,
                    replica_index: 0,
                    quota: None,
                    ..new.clone()
                });
            }
        }
        let window = rules.overload_duration;
        let sends_in_window = |id: u32, end: Duration| {
            sends
                .iter()
                .filter(|&&(sent_at, upstream)| upstream == id && sent_at <= end && sent_at + window > end)
                .count() as f64
        };
        for second in 2..6 {
            let end = started_at + millis(second * 1_000);
            let max_warm_sends =
                (slow_start_count..8).map(|id| sends_in_window(id, end)).fold(0.0, f64::max);
            let age_s = (second as f64 - window.as_secs_f64()).max(0.0);
            let capacity_fraction =
                rules.slow_start_min_fraction + (1.0 - rules.slow_start_min_fraction) * age_s / 20.0;
            let max_sends = rules.overload_factor * capacity_fraction * max_warm_sends + 2.0;
            for id in 0..slow_start_count {
                prop_assert!(
                    sends_in_window(id, end) <= max_sends,
                    "{} sent, maximum {max_sends}",
                    sends_in_window(id, end)
                );
            }
        }
    }
}

/// Guards against any source of randomness other than the seed: equal settings, seeds and events must give
/// equal actions.
#[test]
fn the_same_events_give_the_same_actions() {
    let run_events = || {
        let mut balancer = Balancer::new(settings(false, true), 11).unwrap();
        let mut actions = Vec::new();
        balancer.handle(START, Event::Started, &mut actions);
        balancer.handle(
            START,
            Event::Discovery(DiscoveryUpdate::Full((0..8).map(member).collect())),
            &mut actions,
        );
        for id in 0..300 {
            let now = START + millis(id * 7);
            let request = Request {
                id: RequestId(id),
                class: ClassId(id as usize % 5),
                tenant: None,
                resource_key: None,
                time_left: millis(900),
                expected_work: None,
                is_retry: false,
            };
            balancer.handle(now, Event::Request(request), &mut actions);
            balancer.handle(now, Event::TimerFired, &mut actions);
        }
        actions
    };
    assert_eq!(run_events(), run_events());
}

/// Guards against breaking a response that is already being streamed to the client.
#[test]
fn a_started_response_stream_is_neither_cancelled_nor_retried() {
    let mut simulation = Simulation::new(settings(false, false), 3);
    simulation.apply_step(Step::Submit { class: 0, time_left_ms: 300 });
    let id = RequestId(0);
    simulation.handle(Event::ResponseStarted { request: id, attempt: AttemptNumber(0) });
    let mut actions = Vec::new();
    simulation.balancer.handle(simulation.now + millis(5000), Event::RequestAbandoned(id), &mut actions);
    assert_eq!(actions, []);
}

/// Guards against accepting settings under which the balancer would panic or never send, and against errors
/// that do not name the invalid value.
#[test]
fn invalid_settings_return_typed_errors() {
    let error_with = |change: fn(&mut Settings)| {
        let mut settings = settings(false, false);
        change(&mut settings);
        Balancer::new(settings, 1).err()
    };
    assert_eq!(error_with(|_| {}), None);
    assert_eq!(error_with(|settings| settings.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(error_with(|settings| settings.zone = ZoneId(2)), Some(SettingsError::UnknownZone));
    assert_eq!(error_with(|settings| settings.replica_count = 0), Some(SettingsError::NoReplicas));
    assert_eq!(
        error_with(|settings| settings.capabilities.max_attempts = 0),
        Some(SettingsError::NoAttempts)
    );
    assert_eq!(
        error_with(|settings| settings.classes[1].latency_target = millis(9_000)),
        Some(SettingsError::InvalidClassTimes(1))
    );
    assert_eq!(
        error_with(|settings| settings.rules.slow_start_min_fraction = f64::NAN),
        Some(SettingsError::OutOfRange("slow start minimum fraction"))
    );
}

/// Guards against panics on mistakes of the embedding program: they must be answered or ignored.
#[test]
fn unknown_classes_upstreams_and_requests_are_harmless() {
    let mut balancer = Balancer::new(settings(false, false), 1).expect("the settings are valid");
    let mut actions = Vec::new();
    balancer.handle(START, Event::Discovery(DiscoveryUpdate::Full(Vec::new())), &mut actions);
    let request = Request {
        id: RequestId(7),
        class: ClassId(99),
        tenant: Some(TenantId(99)),
        resource_key: None,
        time_left: millis(0),
        expected_work: None,
        is_retry: false,
    };
    balancer.handle(START, Event::Request(request), &mut actions);
    assert_eq!(actions, [Action::Refuse { request: RequestId(7), retry_after: None }]);
    actions.clear();
    balancer.handle(START, Event::Discovery(DiscoveryUpdate::Full(vec![member(1)])), &mut actions);
    let request = Request { class: ClassId(0), time_left: millis(900), ..request };
    balancer.handle(START, Event::Request(request), &mut actions);
    balancer.handle(START, Event::Request(request), &mut actions);
    assert_eq!(actions.len(), 1, "a request with an id in use is ignored");
    actions.clear();
    for id in [7, 8] {
        balancer.handle(START, Event::RequestAbandoned(RequestId(id)), &mut actions);
        let attempt_ended = Event::AttemptEnded(AttemptEnded {
            request: RequestId(id),
            attempt: AttemptNumber(5),
            outcome: Outcome::Good,
            duration: millis(0),
            request_ended: true,
            load: None,
        });
        balancer.handle(START, attempt_ended, &mut actions);
        let response_started = Event::ResponseStarted { request: RequestId(id), attempt: AttemptNumber(9) };
        balancer.handle(START, response_started, &mut actions);
    }
    let probe_ended = Event::ProbeEnded {
        upstream: UpstreamId(99),
        outcome: Outcome::Good,
        duration: millis(1),
        load: None,
    };
    balancer.handle(START, probe_ended, &mut actions);
    assert!(actions.iter().all(|action| matches!(action, Action::CancelAttempt { .. })));
}

/// Guards against treating 'unknown' as a zone: upstreams whose zones are not in the settings may be in
/// different ones, so a request that may have been executed by one of them must not be retried at another.
#[test]
fn upstreams_of_unknown_zones_do_not_share_a_zone() {
    let deduplicated = Idempotency::Deduplicated { scope: DedupScope::Zone, window: millis(5000) };
    let members = (0..2).map(|id| Member { zone: None, ..common::member(id) }).collect();
    let mut harness =
        common::Harness::new(Settings::single_zone(vec![common::class(deduplicated)]), 3, members);
    let request = Request {
        id: RequestId(1),
        class: ClassId(0),
        tenant: None,
        resource_key: None,
        time_left: millis(3000),
        expected_work: None,
        is_retry: false,
    };
    let has_send = |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::Send { .. }));
    assert!(has_send(&harness.handle(Event::Request(request))));
    let actions = harness.handle(Event::AttemptEnded(AttemptEnded {
        request: RequestId(1),
        attempt: AttemptNumber(0),
        outcome: Outcome::Reset,
        duration: millis(1),
        request_ended: false,
        load: None,
    }));
    assert!(!has_send(&actions) && actions.contains(&Action::Fail { request: RequestId(1) }), "{actions:?}");
}

/// Guards against missed drains where lists are pushed: changes count as delivered even without a
/// subscription, so a failed one must be reopened at the next periodic update, even after many failures.
/// Where replicas must poll discovery, they retry with a backoff.
#[test]
fn a_failed_subscription_to_pushed_lists_is_retried_without_backoff() {
    for (max_poll_interval, retries_at_every_update) in [(None, true), (Some(millis(10_000)), false)] {
        let mut settings = settings(false, true);
        settings.rules.max_poll_interval = max_poll_interval;
        let mut harness = common::Harness::new(settings, 3, vec![common::member(0)]);
        harness.advance(millis(1000));
        let mut subscriptions = 0;
        for _ in 0..6 {
            let mut actions = harness.handle(Event::Discovery(DiscoveryUpdate::Failed));
            // There are five periodic updates per second.
            harness.now += millis(200);
            actions.extend(harness.handle(Event::TimerFired));
            subscriptions += actions.iter().filter(|action| **action == Action::SubscribeToDiscovery).count();
        }
        assert_eq!(
            subscriptions == 6,
            retries_at_every_update,
            "subscribed {subscriptions} times with a poll interval of {max_poll_interval:?}"
        );
    }
}

/// Guards against missed drains if the drain grace is shorter than the time between periodic updates: a lost
/// subscription to pushed lists must be reopened at once, and one that fails before its first update at the
/// next periodic update.
#[test]
fn a_lost_subscription_to_pushed_lists_is_reopened_immediately() {
    let mut settings = settings(false, true);
    settings.rules.max_poll_interval = None;
    let mut harness = common::Harness::new(settings, 3, vec![common::member(0)]);
    let subscribes = |actions: Vec<Action>| actions.contains(&Action::SubscribeToDiscovery);
    for _ in 0..3 {
        harness.handle(Event::Discovery(DiscoveryUpdate::Incremental(Vec::new())));
        harness.advance(millis(1000));
        assert!(subscribes(harness.handle(Event::Discovery(DiscoveryUpdate::Failed))));
        assert!(!subscribes(harness.handle(Event::Discovery(DiscoveryUpdate::Failed))));
        harness.now += millis(200);
        assert!(subscribes(harness.handle(Event::TimerFired)));
    }
}
