//! The plan of a run: it depends only on the scenario and its seed, and each fault has its steps in order.

use std::path::Path;
use std::time::Duration;

use stilelead_scale::plan::{Action, NodeStatus, Plan, Step};
use stilelead_scale::scenario::Scenario;
use stilelead_scale::scenario::load::parse;
use stilelead_scale::topology::{BalancerKind, NodeId, RegionId, Topology, ZoneId};

const BASE_SCENARIO: &str = r#"
name = "plain"
seed = 5
duration_s = 40.0
fleet = { services = 3, hollow = 60, real = 2, regions = 2, zones = 4 }
load = { real_calls_per_s = 1.0 }
"#;

fn scenario(overrides: &[&str]) -> Scenario {
    let overrides: Vec<String> = overrides.iter().map(|text| (*text).to_owned()).collect();
    parse(Path::new("plain.toml"), BASE_SCENARIO, &overrides).expect("a scenario")
}

fn draw(overrides: &[&str]) -> (Plan, Topology) {
    let scenario = scenario(overrides);
    let topology = Topology::of(&scenario.fleet);
    (Plan::draw(&scenario, &topology), topology)
}

fn step_times(plan: &Plan, wanted: impl Fn(&Action) -> bool) -> Vec<Duration> {
    plan.steps.iter().filter(|step| wanted(&step.action)).map(|step| step.offset).collect()
}

fn silenced_nodes(plan: &Plan) -> Vec<NodeId> {
    let nodes = plan.steps.iter().filter_map(|step| match step.action {
        Action::Silence(node, true) => Some(node),
        _ => None,
    });
    nodes.collect()
}

const ONE_SECOND: Duration = Duration::from_secs(1);

/// Runs can only be compared if a seed always gives the same faults and list changes.
#[test]
fn a_plan_depends_on_the_seed_alone() {
    let faults = "fault=[{ kind = 'machine-lost', at_s = 3, for_s = 5, count = 4 }, { kind = 'restart', at_s = 9, count = 3 }]";
    let changes = [faults, "changes.lists_per_s=5", "control.padding_entries=10"];
    let (plan, _) = draw(&changes);
    assert_eq!(plan, draw(&changes).0);
    assert_ne!(plan, draw(&[changes[0], changes[1], changes[2], "seed=6"]).0);
    assert!(plan.steps.is_sorted_by_key(|step| step.offset));
}

/// A node must not stop while it is listed, and two nodes must not restart at the same time.
#[test]
fn a_restart_drains_removes_stops_and_readies_a_node_before_the_next_one() {
    let (plan, _) = draw(&["fault=[{ kind = 'restart', at_s = 3, count = 2 }]"]);
    let actions: Vec<Action> = plan.steps.iter().map(|step| step.action).collect();
    let Action::Publish(first, _) = actions[0] else { panic!("{actions:?}") };
    let Action::Publish(second, _) = actions[5] else { panic!("{actions:?}") };
    assert_ne!(first, second);
    let restart = |node| {
        [
            Action::Publish(node, NodeStatus::Draining),
            Action::Publish(node, NodeStatus::Gone),
            Action::Stop(node),
            Action::Restart(node),
            Action::Publish(node, NodeStatus::Ready { restarted: true }),
        ]
    };
    assert_eq!(actions, [restart(first), restart(second)].concat());
    assert_eq!(plan.steps[1].offset - plan.steps[0].offset, ONE_SECOND, "a second to drain");
    assert!(plan.faults[0].ends_s >= plan.steps[9].offset.as_secs_f64());
}

/// Balancers must get the chance to send to a lost machine before the control plane removes it.
#[test]
fn control_removes_a_lost_machine_late_and_lists_it_when_it_is_back() {
    let (plan, _) = draw(&["fault=[{ kind = 'machine-lost', at_s = 3, for_s = 6, count = 5 }]"]);
    assert_eq!(silenced_nodes(&plan).len(), 5);
    let gone = step_times(&plan, |action| matches!(action, Action::Publish(_, NodeStatus::Gone)));
    assert_eq!(gone.len(), 5);
    assert!(gone.iter().all(|at| (4 * ONE_SECOND..7 * ONE_SECOND).contains(at)), "{gone:?}");
    let back = step_times(&plan, |action| matches!(action, Action::Restart(_) | Action::Silence(_, false)));
    assert_eq!(back, [9 * ONE_SECOND; 10]);
    let ready = step_times(&plan, |action| {
        matches!(action, Action::Publish(_, NodeStatus::Ready { restarted: true }))
    });
    assert!(ready.len() == 5 && ready.iter().all(|at| *at > 9 * ONE_SECOND), "{ready:?}");
}

/// A lost machine without a duration (`for_s`) must not be listed or answer again.
#[test]
fn a_machine_that_does_not_come_back_stays_off_the_list() {
    let (plan, _) = draw(&["fault=[{ kind = 'machine-lost', at_s = 3 }]"]);
    let [Step { action: Action::Silence(node, true), .. }, Step { action, .. }] = plan.steps[..] else {
        panic!("{plan:?}");
    };
    assert_eq!(action, Action::Publish(node, NodeStatus::Gone));
    assert_eq!((plan.faults[0].at_s, plan.faults[0].ends_s), (3.0, 3.0));
}

/// The loss of a zone or rack must affect the right nodes, and none outside the zone.
#[test]
fn zone_loss_silences_the_whole_zone_and_rack_loss_a_tenth() {
    let (plan, topology) = draw(&["fault=[{ kind = 'zone-lost', at_s = 3, for_s = 6, place = 2 }]"]);
    let in_zone = |node: &NodeId| topology.nodes[node.0].zone == ZoneId(2);
    let zone: Vec<NodeId> = (0..topology.nodes.len()).map(NodeId).filter(in_zone).collect();
    assert_eq!(silenced_nodes(&plan), zone);
    let (plan, _) = draw(&["fault=[{ kind = 'rack-lost', at_s = 3, for_s = 6, place = 2 }]"]);
    let rack = silenced_nodes(&plan);
    assert_eq!(rack.len(), zone.len().div_ceil(10));
    assert!(rack.iter().all(in_zone));
}

/// A release must restart its share of every service, and must not last longer than its duration.
#[test]
fn a_release_restarts_its_share_of_each_service_in_its_duration() {
    let (plan, topology) = draw(&["fault=[{ kind = 'release', at_s = 3, for_s = 20, count = 50 }]"]);
    for service in &topology.services {
        let restarted = step_times(
            &plan,
            |action| matches!(action, Action::Restart(node) if service.nodes.contains(node)),
        );
        assert_eq!(restarted.len(), service.nodes.len().div_ceil(2), "{}", service.name);
    }
    assert!(plan.steps.iter().all(|step| step.offset >= 3 * ONE_SECOND && step.offset <= 23 * ONE_SECOND));
}

/// A balancer must still reach the nodes of its own region, and all nodes after the cut.
#[test]
fn a_region_cut_silences_only_nodes_on_the_other_side_until_its_end() {
    let (plan, topology) = draw(&["fault=[{ kind = 'region-cut', at_s = 3, for_s = 6, place = 1 }]"]);
    let other_side = silenced_nodes(&plan);
    for service in topology.services.iter().filter(|service| service.balancer_kind == BalancerKind::Real) {
        let balancer_region = topology.region(topology.balancers[service.balancers[0].0].zone);
        for node in &service.nodes {
            let is_cut_off = topology.region(topology.nodes[node.0].zone) != balancer_region;
            assert_eq!(other_side.contains(node), is_cut_off, "{}", topology.nodes[node.0].name);
        }
    }
    assert_eq!(other_side.len(), 4, "half of the two balancers' eight nodes");
    assert_eq!(step_times(&plan, |action| *action == Action::CutRegion(RegionId(1))), [3 * ONE_SECOND]);
    assert_eq!(step_times(&plan, |action| *action == Action::RejoinRegion(RegionId(1))), [9 * ONE_SECOND]);
    assert_eq!(step_times(&plan, |action| matches!(action, Action::Silence(_, false))), [9 * ONE_SECOND; 4]);
}

/// A fault must affect what the scenario names, at its times, and nothing else.
#[test]
fn faults_of_replicas_watches_and_balancers_give_their_actions() {
    let (plan, _) = draw(&["fault=[{ kind = 'control-lost', at_s = 3, for_s = 6, place = 1, count = 2 }]"]);
    for replica in [1, 2] {
        assert_eq!(step_times(&plan, |action| *action == Action::StopReplica(replica)), [3 * ONE_SECOND]);
        assert_eq!(step_times(&plan, |action| *action == Action::StartReplica(replica)), [9 * ONE_SECOND]);
    }
    assert_eq!(plan.steps.len(), 4);
    let (plan, _) = draw(&["fault=[{ kind = 'watches-broken', at_s = 3 }]"]);
    assert_eq!(plan.steps, [Step { offset: 3 * ONE_SECOND, action: Action::BreakWatches }]);
    let (plan, topology) = draw(&["fault=[{ kind = 'balancer-killed', at_s = 3, count = 2 }]"]);
    assert_eq!(plan.steps.len(), 2);
    for step in &plan.steps {
        let Action::KillBalancer(balancer) = step.action else { panic!("{step:?}") };
        assert_eq!(topology.balancers[balancer.0].kind, BalancerKind::Real);
    }
}

/// A wrong rate of list changes would make the measured cost of changes wrong.
#[test]
fn list_changes_follow_their_rate_and_settings_their_times() {
    let (plan, _) =
        draw(&["changes.lists_per_s=20", "control.padding_entries=5", "changes.settings_at_s=[2, 30]"]);
    assert_eq!(step_times(&plan, |action| *action == Action::NewSettings), [2 * ONE_SECOND, 30 * ONE_SECOND]);
    let weights = step_times(&plan, |action| matches!(action, Action::Weight(..))).len();
    let padding = step_times(&plan, |action| matches!(action, Action::Padding(_, 0..5, _))).len();
    // The mean is 800 with a standard deviation of 28; the seed is fixed.
    assert!((700..900).contains(&(weights + padding)), "{weights} and {padding}");
    assert!(padding > 300 && weights > 300, "{weights} and {padding}");
    assert!(plan.steps.iter().all(|step| step.offset < 40 * ONE_SECOND));
    let (plan, _) = draw(&["changes.lists_per_s=20"]);
    assert!(step_times(&plan, |action| matches!(action, Action::Padding(..))).is_empty());
}
