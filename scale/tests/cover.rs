//! How evenly balancers cover the endpoints of a service.

use stilelead_scale::cover::{CoverageError, CoverageModel};

fn distribution(
    balancers: u32,
    outdated_count: u32,
    endpoints: u32,
) -> stilelead_scale::cover::CallDistribution {
    CoverageModel { balancers, outdated_count, endpoints, calls_per_balancer: 200 }
        .measure(7)
        .expect("valid sizes")
}

/// Balancers that know their true count leave no endpoint without calls; an outdated count has to show in the result.
#[test]
fn an_outdated_replica_count_gives_uneven_coverage() {
    let correct = distribution(64, 64, 64);
    assert_eq!(correct.endpoints_without_calls, 0);
    let outdated = distribution(64, 4, 64);
    assert!(outdated.max_over_mean > correct.max_over_mean, "{outdated:?} against {correct:?}");
}

/// Sizes of zero would make every result meaningless.
#[test]
fn sizes_of_zero_are_rejected() {
    let no_balancers = CoverageModel { balancers: 0, outdated_count: 0, endpoints: 4, calls_per_balancer: 1 };
    assert!(matches!(no_balancers.measure(1), Err(CoverageError::ZeroSize)));
}
