//! The cover of endpoints by subsets, on the decisions themselves.

use stilelead_scale::cover::{CoverageError, CoverageModel};

fn distribution(copies: u32, old_count: u32, endpoints: u32) -> stilelead_scale::cover::CallDistribution {
    CoverageModel { copies, old_count, endpoints, calls_per_copy: 200 }.measure(7).expect("sound sizes")
}

/// Guards the measure: copies that know their count cover the endpoints evenly, and it shows where they do not.
#[test]
fn an_outdated_replica_count_gives_uneven_coverage() {
    let correct = distribution(64, 64, 64);
    assert_eq!(correct.endpoints_without_calls, 0);
    let outdated = distribution(64, 4, 64);
    assert!(outdated.max_over_mean > correct.max_over_mean, "{outdated:?} against {correct:?}");
}

/// Guards against a measure of nothing.
#[test]
fn sizes_of_zero_are_refused() {
    let no_copies = CoverageModel { copies: 0, old_count: 0, endpoints: 4, calls_per_copy: 1 };
    assert!(matches!(no_copies.measure(1), Err(CoverageError::ZeroSize)));
}
