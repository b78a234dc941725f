//! Tests of the configuration text: the balancer's own parser accepts or rejects it.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use stilelead::config::{Config, ConfigError};
use stilelead::discovery::{Endpoint, Update};
use stilelead_decision::interface::Idempotency;

use super::{CLASS_EXTRA, CLASS_ORDER, CLASS_READ, configuration};
use crate::scenario::{Scenario, SettingsChange};
use crate::topology::{BalancerId, BalancerKind, Topology};

const SCENARIO: &str = r#"
name = "test"
duration_s = 1.0
[fleet]
services = 3
hollow = 12
real = 2
regions = 2
zones = 4
[load]
real_calls_per_s = 1.0
deadline_s = 3.0
"#;

fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

/// An endpoint list with one node.
pub(in crate::process) fn one_node_list() -> Update {
    let endpoint = Endpoint {
        name: "n-00001".to_owned(),
        address: loopback(9001).to_string(),
        zone: "region-0-zone-0".to_owned(),
        kind: "std".to_owned(),
        group: 0,
        status: "ready".to_owned(),
        weight: 1.0,
        since_ms: 0,
    };
    Update { index: 41, snapshot: true, endpoints: vec![endpoint] }
}

/// Parses the settings text of a balancer with the parser that the balancer itself uses.
fn parse_configuration(
    scenario: &Scenario,
    balancer: BalancerId,
    change: Option<SettingsChange>,
) -> Result<Config, ConfigError> {
    let topology = Topology::of(&scenario.fleet);
    let text = configuration(
        scenario,
        &topology,
        balancer,
        loopback(8081),
        loopback(8500),
        &one_node_list(),
        change,
    );
    Config::parse(&text, |_| None)
}

fn scenario() -> Scenario {
    toml::from_str(SCENARIO).expect("a valid scenario")
}

/// A hollow balancer in the second region, and the last real one.
fn one_of_each_kind(topology: &Topology) -> [BalancerId; 2] {
    let last = topology.balancers.len() - 1;
    assert_eq!(topology.balancers[5].kind, BalancerKind::Hollow);
    assert_eq!(topology.balancers[last].kind, BalancerKind::Real);
    [BalancerId(5), BalancerId(last)]
}

#[test]
fn the_balancer_accepts_the_text_of_each_balancer() {
    let scenario = scenario();
    let topology = Topology::of(&scenario.fleet);
    for id in one_of_each_kind(&topology) {
        let balancer = &topology.balancers[id.0];
        let config = parse_configuration(&scenario, id, None).expect("a valid configuration");
        assert_eq!(config.name, balancer.name);
        assert_eq!(
            (config.listen, config.discovery, config.max_descriptors),
            (loopback(8081), loopback(8500), 1024)
        );
        assert_eq!(config.initial_list.expect("an initial list").endpoints[0].name, "n-00001");
        let settings = config.parsed_settings.settings;
        assert_eq!(settings.replica_index, balancer.index);
        assert_eq!(settings.replica_count as usize, topology.services[balancer.target.0].balancers.len());
        assert_eq!((settings.zone.0, settings.zone_count), (balancer.zone.0 as usize, 4));
        assert_eq!((settings.capabilities.max_concurrent_streams, settings.tenants.len()), (1, 3));
        assert_eq!(settings.rules.slow_start_min_fraction, scenario.node.cold_share);
        assert_eq!(settings.costs.handshake, 0.05);
    }
}

#[test]
fn classes_have_the_names_that_clients_send() {
    let config = parse_configuration(&scenario(), BalancerId(0), None).expect("a valid configuration");
    let classes = &config.parsed_settings.names.classes;
    let settings = &config.parsed_settings.settings;
    assert_eq!(settings.classes[classes[CLASS_READ]].idempotency, Idempotency::Idempotent);
    assert_eq!(settings.classes[classes[CLASS_ORDER]].idempotency, Idempotency::NonIdempotent);
    assert_eq!(settings.classes[0].latency_target, Duration::from_millis(1500));
    assert_eq!(settings.classes[0].deadline, Duration::from_secs(3));
    assert_eq!(config.parsed_settings.names.load_fields, ["active", "waiting", "cpu", "avg_ms"]);
}

#[test]
fn each_balancer_has_its_own_seed() {
    let seed = |number| {
        parse_configuration(&scenario(), BalancerId(number), None).expect("a valid configuration").seed
    };
    assert_ne!(seed(0), seed(1));
    assert_eq!(seed(1), seed(1));
}

#[test]
fn each_settings_change_changes_the_text() {
    let scenario = scenario();
    for id in one_of_each_kind(&Topology::of(&scenario.fleet)) {
        let changed = |change| parse_configuration(&scenario, id, Some(change));
        let before = parse_configuration(&scenario, id, None).expect("a valid configuration").parsed_settings;
        let added = changed(SettingsChange::AddClass).expect("a valid configuration").parsed_settings;
        assert_eq!(added.names.classes[CLASS_EXTRA], before.settings.classes.len());
        let doubled = changed(SettingsChange::Copies).expect("a valid configuration").parsed_settings;
        assert_eq!(doubled.settings.replica_count, before.settings.replica_count * 2);
        let refused = changed(SettingsChange::Malformed);
        assert!(matches!(refused, Err(ConfigError::Json(_))), "{refused:?}");
    }
}
