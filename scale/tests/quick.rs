//! A short run of the whole tool with real processes; checks what must hold however busy the machine is.

use std::path::Path;

use stilelead_scale::process::find_balancer_program;
use stilelead_scale::run::{Options, run};
use stilelead_scale::scenario::Scenario;
use stilelead_scale::scenario::load::load;

fn quick_scenario() -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/quick.toml");
    let overrides = [
        "duration_s=8",
        "fleet.services=3",
        "fleet.hollow=24",
        "fleet.real=2",
        "load.real_calls_per_s=30",
        "load.direct_calls_per_s=10",
        "load.hollow_calls_per_s=60",
        "fault.0.at_s=1",
        "fault.0.count=1",
        "fault.1.at_s=5",
    ];
    load(&file, &overrides.map(str::to_owned)).expect("a scenario")
}

/// Calls must not get lost or be counted twice, and fleet, faults and report must work together.
#[tokio::test(flavor = "multi_thread")]
async fn a_quick_run_completes_without_lost_calls() {
    let program = find_balancer_program().expect("the balancer is built along with the workspace");
    let options = Options { program, progress: false };
    let report = run(&quick_scenario(), &options, std::future::pending()).await;
    assert!(!report.partial, "{:?}", report.partial_reason);
    for counts in [report.all, report.real_calls, report.hollow_calls] {
        assert!(counts.calls > 0 && counts.served > 0, "{counts:?}");
        assert_eq!(counts.lost, 0, "{counts:?}");
        assert_eq!(
            counts.calls,
            counts.served + counts.refused + counts.failed + counts.client_disconnected,
            "{counts:?}"
        );
    }
    assert_eq!((report.duplicated, report.cold_node_collapses, report.hollow_open_calls), (0, 0, Some(0)));
    assert!(report.list_changes > 0 && report.list_delivery_s.is_some() && report.list_in_force_s.is_some());
    assert_eq!(report.balancers_with_stale_list, Some(0), "balancers without the latest list");
    assert_eq!(report.recovery_s.len(), 2);
    assert!(report.memory_mb.is_some() && report.control_bytes_per_s.is_some());
}
