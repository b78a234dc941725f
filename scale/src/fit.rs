//! Straight lines through measured points, by least sum_of_squares.

use serde::Serialize;

/// A measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// What was measured at it.
    pub y: f64,
}

/// The line `y = intercept + slope * x` and how far the points are from it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// What one more of `x` costs.
    pub slope: f64,
    /// What there is at no `x`.
    pub intercept: f64,
    /// Root of the mean square of the points' distances from the line, in the unit of `y`.
    pub residual_rms: f64,
    /// The largest distance of a point from the line, as a part of the point's own value; `None` if a point is 0.
    pub residual_relative: Option<f64>,
}

impl Fit {
    /// The line through these points; `None` without two different sizes or with a value that is no number.
    #[must_use]
    pub fn of(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.x), mean(|point| point.y));
        let sum_xx: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum();
        let slope = sum_xy / sum_xx;
        if !slope.is_finite() {
            return None;
        }
        let intercept = mean_y - slope * mean_x;
        let residual = |point: &Point| (point.y - intercept - slope * point.x).abs();
        let sum_of_squares: f64 = points.iter().map(|point| residual(point).powi(2)).sum();
        let max_relative = points.iter().map(|point| residual(point) / point.y.abs()).fold(0.0, f64::max);
        let no_zero_value = points.iter().all(|point| point.y != 0.0);
        Some(Self {
            slope,
            intercept,
            residual_rms: (sum_of_squares / count).sqrt(),
            residual_relative: no_zero_value.then_some(max_relative),
        })
    }
}
