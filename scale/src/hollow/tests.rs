//! Small fleets of hollow copies on loopback, with the real control plane of the model.

use std::time::Duration;

use stilelead::config::Config;
use stilelead::discovery::Endpoint;
use tokio::time::{sleep, timeout};

use super::arrivals::{Arrival, Arrivals};
use super::*;
use crate::process::settings;
use crate::record::CallEnd;
use crate::scenario::{Depth, SettingsChange};
use crate::topology::{Carrier, ServiceId};

/// 24 copies, 8 behind each service; `extra` goes before the parts that all tests share.
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
    toml::from_str(&text).expect("a scenario")
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
    /// All copies run and have heard from control; the load has not begun.
    async fn start(scenario: Scenario) -> Self {
        let topology = Topology::of(&scenario.fleet);
        let record = Arc::new(Record::default());
        let control = ControlPlane::start(&scenario, &topology, Arc::clone(&record)).await.expect("ports");
        for (number, service) in topology.services.iter().enumerate() {
            let endpoints = service.nodes.iter().map(|&node| endpoint(&topology, node, 1.0)).collect();
            control.set_list(ServiceId(number), endpoints);
        }
        let fleet = HollowFleet::start(&scenario, &topology, &control, Arc::clone(&record), scenario.seed);
        let test = Self { fleet: fleet.expect("it starts"), scenario, topology, control, record };
        test.wait_until("all copies are told", |test| test.fleet.watching_count() == 24).await;
        assert_eq!(test.fleet.ready_count(), 24);
        test
    }

    async fn wait_until(&self, what: &str, done: impl Fn(&Self) -> bool) {
        let poll = async {
            while !done(self) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(30), poll).await.unwrap_or_else(|_| panic!("waited in vain: {what}"));
    }

    fn arrivals(&self) -> Vec<Arrival> {
        draw_arrivals(&self.scenario, self.scenario.seed)
    }

    fn ended(&self) -> usize {
        self.record.measured().calls.len()
    }

    /// Changes that copies were told and that came into force.
    fn list_delay_counts(&self) -> (u64, u64) {
        let measured = self.record.measured();
        (measured.list_delivery_us.count(), measured.list_in_force_us.count())
    }

    /// Waits for the last call and checks what holds in every run; returns how many were served.
    async fn finish(self) -> usize {
        let arrival_count = self.arrivals().len();
        self.wait_until("all calls end", |test| test.ended() >= arrival_count).await;
        let end = self.fleet.stop().expect("the thread ran to its end");
        assert_eq!(end.open_calls, 0);
        let measured = self.record.measured();
        let count = |end| measured.calls.iter().filter(|call| call.end == end).count();
        let [served, refused, failed, left] =
            [CallEnd::Served, CallEnd::Refused, CallEnd::Failed, CallEnd::ClientLeft].map(count);
        assert_eq!(served + refused + failed + left, arrival_count);
        assert_eq!((count(CallEnd::Lost), measured.duplicated), (0, 0));
        // A client waits for a second; the balancer's last word comes 2 ms later.
        let late = measured.calls.iter().filter(|call| call.latency > Duration::from_millis(1002)).count();
        assert_eq!(late, 0);
        served
    }
}

fn draw_arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let time = Duration::from_secs_f64(scenario.duration_s);
    Arrivals::new(&scenario.load, scenario.fleet.hollow as usize, time, seed).collect()
}

/// Guards runs that are to be compared: one seed draws one sequence of arrivals, in order of time.
#[test]
fn one_seed_draws_the_same_arrivals() {
    let scenario = scenario("");
    let first = draw_arrivals(&scenario, 7);
    assert!(first.is_sorted_by_key(|arrival| arrival.at));
    assert_eq!(first, draw_arrivals(&scenario, 7));
    assert_ne!(first, draw_arrivals(&scenario, 8));
}

/// Guards the counts of calls, requests and attempts against each other, over calls with errors, resets, repeats and
/// clients that leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_call_ends_once() {
    let test = TestFleet::start(scenario("")).await;
    test.fleet.begin_load(Instant::now());
    let (record, arrivals) = (Arc::clone(&test.record), test.arrivals());
    let served = test.finish().await;
    assert!(served > arrivals.len() * 8 / 10, "{served} of {} served", arrivals.len());
    let measured = record.measured();
    let hollow = crate::record::carrier_index(Carrier::Hollow);
    let four_hop_arrivals = arrivals.iter().filter(|arrival| arrival.hops == 4).count() as u64;
    assert!(measured.hop_calls[hollow][&1] >= arrivals.len() as u64);
    assert_eq!(measured.hop_calls[hollow].keys().copied().max(), Some(4));
    assert!(measured.attempts[hollow][&4] > four_hop_arrivals / 2);
    let served_four_hop_calls =
        measured.calls.iter().filter(|call| call.hops == 4 && call.end == CallEnd::Served);
    assert!(served_four_hop_calls.count() as u64 > four_hop_arrivals / 2);
}

/// Calls of one hop that may be repeated, to nodes that serve all they get.
fn repeatable_calls_scenario() -> Scenario {
    let mut scenario = scenario("");
    scenario.load.depths = vec![Depth { hops: 1, share: 1.0 }];
    (scenario.load.unsafe_share, scenario.load.leaving_share) = (0.0, 0.0);
    scenario.load.client_retries = 0;
    (scenario.node.error_share, scenario.node.reset_share) = (0.0, 0.0);
    scenario
}

/// Guards against calls that hang on connections that do not come up: they are repeated elsewhere within their time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_nodes_are_gone_round() {
    let test = TestFleet::start(repeatable_calls_scenario()).await;
    for node in [0, 1, 2, 3] {
        test.fleet.set_silent(NodeId(node), true);
    }
    test.fleet.begin_load(Instant::now());
    let arrival_count = test.arrivals().len();
    assert_eq!(test.finish().await, arrival_count);
}

/// Guards against calls that hang on connections that stood when the other side fell silent: their attempts are given
/// up when the decisions say, well before the client's time is up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attempts_on_silent_connections_time_out() {
    let test = TestFleet::start(repeatable_calls_scenario()).await;
    test.fleet.begin_load(Instant::now());
    test.wait_until("some calls end", |test| test.ended() >= 150).await;
    test.fleet.set_regions_cut(true);
    let (record, arrival_count) = (Arc::clone(&test.record), test.arrivals().len());
    let served = test.finish().await;
    assert!(served < arrival_count, "no call met a silent connection");
    let longest = record.measured().calls.iter().map(|call| call.latency).max();
    assert!(longest < Some(Duration::from_millis(900)), "a call took {longest:?}");
}

/// Guards the counts through faults in the middle of the load: restarts, silence and regions apart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_end_once_through_faults() {
    let test = TestFleet::start(scenario("")).await;
    test.fleet.begin_load(Instant::now());
    test.wait_until("some calls end", |test| test.ended() >= 50).await;
    test.fleet.restart(NodeId(3));
    test.fleet.set_silent(NodeId(4), true);
    test.wait_until("more calls end", |test| test.ended() >= 120).await;
    test.fleet.set_regions_cut(true);
    test.fleet.set_silent(NodeId(4), false);
    test.wait_until("more calls end", |test| test.ended() >= 200).await;
    test.fleet.set_regions_cut(false);
    test.fleet.restart(NodeId(4));
    test.wait_until("the restarted copies are told", |test| test.fleet.watching_count() == 24).await;
    let served = test.finish().await;
    assert!(served > 0);
}

/// Guards the way of a change from control to the decisions of every copy, by a patch on a watch that stands and by
/// one that was opened again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_list_change_reaches_every_copy() {
    let mut scenario = scenario("");
    scenario.load.hollow_calls_per_s = 0.0;
    let test = TestFleet::start(scenario).await;
    let nodes = test.topology.services[1].nodes.clone();
    // Made before the load and told during it: in no figure.
    for replica in 0..3 {
        test.control.stop_replica(replica);
    }
    test.wait_until("all watches break", |test| test.fleet.watching_count() == 0).await;
    test.control.update_entry(ServiceId(1), endpoint(&test.topology, nodes[0], 1.5));
    test.fleet.begin_load(Instant::now());
    test.control.update_entry(ServiceId(1), endpoint(&test.topology, nodes[1], 2.0));
    for replica in 0..3 {
        test.control.start_replica(replica).await;
    }
    test.wait_until("all copies are told", |test| test.fleet.watching_count() == 24).await;
    assert_eq!(test.list_delay_counts(), (8, 8));
    test.control.break_watches();
    test.control
        .update_entry(ServiceId(2), endpoint(&test.topology, test.topology.services[2].nodes[0], 2.0));
    test.wait_until("the next change is told", |test| test.list_delay_counts().0 >= 16).await;
    test.wait_until("all copies are told", |test| test.fleet.watching_count() == 24).await;
    assert_eq!(test.list_delay_counts(), (16, 16));
    test.fleet.stop().expect("the thread ran to its end");
}

fn configuration(test: &TestFleet, balancer: CopyId, change: SettingsChange) -> String {
    let list = test.control.list(test.topology.copies[balancer.0].target);
    let listen = "127.0.0.1:9".parse().expect("an address");
    let address = test.control.address(balancer);
    let (scenario, topology) = (&test.scenario, &test.topology);
    settings::configuration(scenario, topology, balancer, listen, address, &list, Some(change))
}

/// Guards the way of new settings to copies that serve, one of which starts anew with them; a text that does not
/// parse is counted as missed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn settings_come_into_force_or_are_missed() {
    let test = TestFleet::start(scenario("")).await;
    test.fleet.begin_load(Instant::now());
    test.wait_until("some calls end", |test| test.ended() >= 50).await;
    let reload = |balancer, change| {
        test.fleet.reload(CopyId(balancer), configuration(&test, CopyId(balancer), change));
    };
    reload(4, SettingsChange::AddClass);
    reload(5, SettingsChange::Malformed);
    reload(6, SettingsChange::Copies);
    test.fleet.restart(NodeId(4));
    // Settings without the class that was added follow those with it.
    reload(4, SettingsChange::Copies);
    let record = Arc::clone(&test.record);
    test.finish().await;
    let measured = record.measured();
    assert_eq!((measured.settings_in_force_us.count(), measured.settings_missed), (3, 1));
}

/// Guards the settings that a copy starts anew with: those that it was given last, without the old list.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn given_settings_are_kept_without_the_list() {
    let test = TestFleet::start(scenario("")).await;
    let text = configuration(&test, CopyId(4), SettingsChange::AddClass);
    let text_without_list = plan::without_list(&text).expect("it parses");
    let config = Config::parse(&text_without_list, |_| None).expect("a sound configuration");
    assert!(config.known.is_none());
    assert!(config.loaded.names.classes.contains_key(settings::CLASS_EXTRA));
}
