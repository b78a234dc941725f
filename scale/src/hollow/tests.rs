//! Tests with small fleets of hollow balancers and the tool's real control plane on loopback.

use std::time::Duration;

use stilelead::config::Config;
use stilelead::discovery::Endpoint;
use tokio::time::{sleep, timeout};

use super::arrivals::{Arrival, Arrivals};
use super::*;
use crate::process::settings;
use crate::record::CallOutcome;
use crate::scenario::{Depth, SettingsChange};
use crate::topology::{BalancerKind, ServiceId};

/// A scenario with 24 balancers, 8 for each service; `extra` is inserted before the tables that all tests
/// share.
fn scenario(extra: &str) -> Scenario {
    let text = format!(
        r#"
        name = "hollow"
        duration_s = 1.5
        {extra}
        [fleet]
        services = 3
        hollow = 24
        real = 0
        regions = 2
        zones = 2
        [load]
        real_calls_per_s = 0.0
        hollow_calls_per_s = 300.0
        depths = [{{ hops = 1, share = 0.5 }}, {{ hops = 4, share = 0.5 }}]
        unsafe_share = 0.3
        client_retries = 1
        leaving_share = 0.05
        deadline_s = 1.0
        [node]
        error_share = 0.02
        reset_share = 0.01
        "#
    );
    toml::from_str(&text).expect("the scenario is valid")
}

fn endpoint(topology: &Topology, node: NodeId, weight: f64) -> Endpoint {
    let node = &topology.nodes[node.0];
    Endpoint {
        name: node.name.clone(),
        address: "127.0.0.1:9".to_owned(),
        zone: topology.zone_name(node.zone),
        kind: "std".to_owned(),
        group: 0,
        status: "ready".to_owned(),
        weight,
        since_ms: 0,
    }
}

struct TestFleet {
    scenario: Scenario,
    topology: Topology,
    control: Arc<ControlPlane>,
    record: Arc<Record>,
    fleet: HollowFleet,
}

impl TestFleet {
    /// Waits until all balancers have received a list from the control plane; the load has not started.
    async fn start(scenario: Scenario) -> Self {
        let topology = Topology::of(&scenario.fleet);
        let record = Arc::new(Record::default());
        let control = ControlPlane::start(&scenario, &topology, Arc::clone(&record))
            .await
            .expect("the control plane starts");
        for (number, service) in topology.services.iter().enumerate() {
            let endpoints = service.nodes.iter().map(|&node| endpoint(&topology, node, 1.0)).collect();
            control.set_list(ServiceId(number), endpoints);
        }
        let fleet = HollowFleet::start(&scenario, &topology, &control, Arc::clone(&record), scenario.seed);
        let test = Self { fleet: fleet.expect("the fleet starts"), scenario, topology, control, record };
        test.wait_until("all balancers have received a list", |test| test.fleet.watching_count() == 24).await;
        assert_eq!(test.fleet.ready_count(), 24);
        test
    }

    async fn wait_until(&self, what: &str, done: impl Fn(&Self) -> bool) {
        let poll = async {
            while !done(self) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(30), poll)
            .await
            .unwrap_or_else(|_| panic!("timed out waiting until {what}"));
    }

    fn arrivals(&self) -> Vec<Arrival> {
        draw_arrivals(&self.scenario, self.scenario.seed)
    }

    fn ended_calls(&self) -> usize {
        self.record.measured().calls.len()
    }

    /// Numbers of recorded list changes that balancers have received and that have come into force.
    fn list_delay_counts(&self) -> (u64, u64) {
        let measured = self.record.measured();
        (measured.list_delivery_us.count(), measured.list_in_force_us.count())
    }

    /// Waits for the last call and checks what must hold in every run; returns the number of served calls.
    async fn finish(self) -> usize {
        let arrival_count = self.arrivals().len();
        self.wait_until("all calls have ended", |test| test.ended_calls() >= arrival_count).await;
        let end = self.fleet.stop().expect("the thread ran until it was stopped");
        assert_eq!(end.open_calls, 0);
        let measured = self.record.measured();
        let count = |outcome| measured.calls.iter().filter(|call| call.outcome == outcome).count();
        let [served, refused, failed, left] =
            [CallOutcome::Served, CallOutcome::Refused, CallOutcome::Failed, CallOutcome::ClientDisconnected]
                .map(count);
        assert_eq!(served + refused + failed + left, arrival_count);
        assert_eq!((count(CallOutcome::Lost), measured.duplicated), (0, 0));
        // A client waits for a second; the balancer answers 2 ms after that at the latest.
        let late = measured.calls.iter().filter(|call| call.latency > Duration::from_millis(1002)).count();
        assert_eq!(late, 0);
        served
    }
}

fn draw_arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let load_duration = Duration::from_secs_f64(scenario.duration_s);
    Arrivals::new(&scenario.load, scenario.fleet.hollow as usize, load_duration, seed).collect()
}

/// Runs can only be compared if a seed always gives the same sequence of arrivals, ordered by time.
#[test]
fn a_seed_always_draws_the_same_arrivals() {
    let scenario = scenario("");
    let first = draw_arrivals(&scenario, 7);
    assert!(first.is_sorted_by_key(|arrival| arrival.at));
    assert_eq!(first, draw_arrivals(&scenario, 7));
    assert_ne!(first, draw_arrivals(&scenario, 8));
}

/// The counts of calls, requests and attempts must agree, also with errors, resets, retries and clients that
/// leave early.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_call_ends_once() {
    let test = TestFleet::start(scenario("")).await;
    test.fleet.begin_load(Instant::now());
    let (record, arrivals) = (Arc::clone(&test.record), test.arrivals());
    let served = test.finish().await;
    assert!(served > arrivals.len() * 8 / 10, "{served} of {} served", arrivals.len());
    let measured = record.measured();
    let hollow = crate::record::balancer_kind_index(BalancerKind::Hollow);
    let four_hop_arrivals = arrivals.iter().filter(|arrival| arrival.hops == 4).count() as u64;
    assert!(measured.hop_calls[hollow][&1] >= arrivals.len() as u64);
    assert_eq!(measured.hop_calls[hollow].keys().copied().max(), Some(4));
    assert!(measured.attempts[hollow][&4] > four_hop_arrivals / 2);
    let served_four_hop_calls =
        measured.calls.iter().filter(|call| call.hops == 4 && call.outcome == CallOutcome::Served);
    assert!(served_four_hop_calls.count() as u64 > four_hop_arrivals / 2);
}

/// One-hop calls that may be retried, to nodes that serve all requests.
fn repeatable_calls_scenario() -> Scenario {
    let mut scenario = scenario("");
    scenario.load.depths = vec![Depth { hops: 1, share: 1.0 }];
    (scenario.load.unsafe_share, scenario.load.leaving_share) = (0.0, 0.0);
    scenario.load.client_retries = 0;
    (scenario.node.error_share, scenario.node.reset_share) = (0.0, 0.0);
    scenario
}

/// Calls must not hang on connections that are never established: they are retried on other nodes in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_are_retried_away_from_silent_nodes() {
    let test = TestFleet::start(repeatable_calls_scenario()).await;
    for node in [0, 1, 2, 3] {
        test.fleet.set_silent(NodeId(node), true);
    }
    test.fleet.begin_load(Instant::now());
    let arrival_count = test.arrivals().len();
    assert_eq!(test.finish().await, arrival_count);
}

/// Calls must not hang on open connections whose other end became silent: their attempts end at the timeout
/// that the decisions set, well before the client's deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attempts_on_silent_connections_time_out() {
    let test = TestFleet::start(repeatable_calls_scenario()).await;
    test.fleet.begin_load(Instant::now());
    test.wait_until("some calls have ended", |test| test.ended_calls() >= 150).await;
    test.fleet.set_regions_cut(true);
    let (record, arrival_count) = (Arc::clone(&test.record), test.arrivals().len());
    let served = test.finish().await;
    assert!(served < arrival_count, "no call used a silent connection");
    let longest = record.measured().calls.iter().map(|call| call.latency).max();
    assert!(longest < Some(Duration::from_millis(900)), "a call took {longest:?}");
}

/// Every call must end exactly once, even with faults during the load: restarts, silent machines and
/// disconnected regions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_end_once_through_faults() {
    let test = TestFleet::start(scenario("")).await;
    test.fleet.begin_load(Instant::now());
    test.wait_until("some calls have ended", |test| test.ended_calls() >= 50).await;
    test.fleet.restart(NodeId(3));
    test.fleet.set_silent(NodeId(4), true);
    test.wait_until("more calls have ended", |test| test.ended_calls() >= 120).await;
    test.fleet.set_regions_cut(true);
    test.fleet.set_silent(NodeId(4), false);
    test.wait_until("more calls have ended", |test| test.ended_calls() >= 200).await;
    test.fleet.set_regions_cut(false);
    test.fleet.restart(NodeId(4));
    test.wait_until("the restarted balancers have received a list", |test| test.fleet.watching_count() == 24)
        .await;
    let served = test.finish().await;
    assert!(served > 0);
}

/// A list change must reach the decisions of every balancer, as a patch on an open watch or through a watch
/// that was opened again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_list_change_reaches_every_balancer() {
    let mut scenario = scenario("");
    scenario.load.hollow_calls_per_s = 0.0;
    let test = TestFleet::start(scenario).await;
    let nodes = test.topology.services[1].nodes.clone();
    // Published before the load and received during it, so it is not recorded.
    for replica in 0..3 {
        test.control.stop_replica(replica);
    }
    test.wait_until("all watches are broken", |test| test.fleet.watching_count() == 0).await;
    test.control.update_entry(ServiceId(1), endpoint(&test.topology, nodes[0], 1.5));
    test.fleet.begin_load(Instant::now());
    test.control.update_entry(ServiceId(1), endpoint(&test.topology, nodes[1], 2.0));
    for replica in 0..3 {
        test.control.start_replica(replica).await;
    }
    test.wait_until("all balancers have received a list", |test| test.fleet.watching_count() == 24).await;
    assert_eq!(test.list_delay_counts(), (8, 8));
    test.control.break_watches();
    test.control
        .update_entry(ServiceId(2), endpoint(&test.topology, test.topology.services[2].nodes[0], 2.0));
    test.wait_until("the next change has been received", |test| test.list_delay_counts().0 >= 16).await;
    test.wait_until("all balancers have received a list", |test| test.fleet.watching_count() == 24).await;
    assert_eq!(test.list_delay_counts(), (16, 16));
    test.fleet.stop().expect("the thread ran until it was stopped");
}

fn configuration(test: &TestFleet, balancer: BalancerId, change: SettingsChange) -> String {
    let list = test.control.list(test.topology.balancers[balancer.0].target);
    let listen = "127.0.0.1:9".parse().expect("a valid address");
    let address = test.control.address(balancer);
    let (scenario, topology) = (&test.scenario, &test.topology);
    settings::configuration(scenario, topology, balancer, listen, address, &list, Some(change))
}

/// New settings must come into force at balancers that serve calls, one of which is restarted with them; a
/// text that does not parse counts as missed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_settings_come_into_force_or_count_as_missed() {
    let test = TestFleet::start(scenario("")).await;
    test.fleet.begin_load(Instant::now());
    test.wait_until("some calls have ended", |test| test.ended_calls() >= 50).await;
    let reload = |balancer, change| {
        test.fleet.reload(BalancerId(balancer), configuration(&test, BalancerId(balancer), change));
    };
    reload(4, SettingsChange::AddClass);
    reload(5, SettingsChange::Malformed);
    reload(6, SettingsChange::Copies);
    test.fleet.restart(NodeId(4));
    // These settings lack the added class and replace settings that contain it.
    reload(4, SettingsChange::Copies);
    let record = Arc::clone(&test.record);
    test.finish().await;
    let measured = record.measured();
    assert_eq!((measured.settings_in_force_us.count(), measured.balancers_without_new_settings), (3, 1));
}

/// A balancer must restart with the latest settings that it was given, without the outdated list.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reloaded_settings_are_kept_without_the_list() {
    let test = TestFleet::start(scenario("")).await;
    let text = configuration(&test, BalancerId(4), SettingsChange::AddClass);
    let text_without_list = plan::without_list(&text).expect("the text parses");
    let config = Config::parse(&text_without_list, |_| None).expect("the configuration is valid");
    assert!(config.initial_list.is_none());
    assert!(config.parsed_settings.names.classes.contains_key(settings::CLASS_EXTRA));
}
