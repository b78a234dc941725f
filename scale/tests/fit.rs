//! Lines fitted to fixed points.

use stilelead_scale::fit::{Fit, Point};

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|(x, y)| Point { x: *x, y: *y }).collect()
}

fn assert_near(value: f64, expected: f64) {
    assert!((value - expected).abs() < 1e-9, "{value} is not {expected}");
}

/// Points on a line must give its slope and intercept, without residuals.
#[test]
fn an_exact_line_is_recovered() {
    let fit = Fit::of(&points(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0), (10.0, 23.0)])).expect("a line");
    assert_near(fit.slope, 2.0);
    assert_near(fit.intercept, 3.0);
    assert_near(fit.residual_rms, 0.0);
    assert_near(fit.residual_relative.expect("no point is 0"), 0.0);
}

/// The residuals tell how far a slope can be trusted; a relative one must not divide by a value of 0.
#[test]
fn residuals_are_the_distances_of_points_from_the_line() {
    // The line is y = 2; each point is at a distance of 1.
    let fit = Fit::of(&points(&[(0.0, 1.0), (1.0, 3.0), (2.0, 3.0), (3.0, 1.0)])).expect("a line");
    assert_near(fit.slope, 0.0);
    assert_near(fit.intercept, 2.0);
    assert_near(fit.residual_rms, 1.0);
    assert_near(fit.residual_relative.expect("no point is 0"), 1.0);
    let with_zero = Fit::of(&points(&[(0.0, 0.0), (1.0, 1.0), (2.0, 2.0)])).expect("a line");
    assert_eq!(with_zero.residual_relative, None);
}

/// Points that do not determine a line must give none, not a slope that is infinite or NaN.
#[test]
fn a_single_size_or_a_nan_gives_no_line() {
    assert_eq!(Fit::of(&points(&[])), None);
    assert_eq!(Fit::of(&points(&[(1.0, 2.0), (1.0, 3.0)])), None);
    assert_eq!(Fit::of(&points(&[(1.0, 2.0), (2.0, f64::NAN)])), None);
}
