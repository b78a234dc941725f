//! The cover of endpoints by subsets, on the decisions themselves.

use stilelead_scale::cover::{Cover, CoverError};

fn spread(copies: u32, old_count: u32, endpoints: u32) -> stilelead_scale::cover::Spread {
    Cover { copies, old_count, endpoints, calls_per_copy: 200 }.measure(7).expect("sound sizes")
}

/// Guards the measure: copies that know their count cover the endpoints evenly, and it shows where they do not.
#[test]
fn an_old_count_shows_as_uneven_cover() {
    let known = spread(64, 64, 64);
    assert_eq!(known.bare, 0);
    let old = spread(64, 4, 64);
    assert!(old.most_over_mean > known.most_over_mean, "{old:?} against {known:?}");
}

/// Guards against a measure of nothing.
#[test]
fn sizes_of_zero_are_refused() {
    let none = Cover { copies: 0, old_count: 0, endpoints: 4, calls_per_copy: 1 };
    assert!(matches!(none.measure(1), Err(CoverError::Empty)));
}
