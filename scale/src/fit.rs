//! Straight lines fitted to measured points by least squares.

use serde::Serialize;

/// A measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// Size at which the value was measured.
    pub x: f64,
    /// Measured value.
    pub y: f64,
}

/// The line `y = intercept + slope * x` and how far the points are from it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// Increase of `y` for one more of `x`.
    pub slope: f64,
    /// Value of the line at `x = 0`.
    pub intercept: f64,
    /// Root mean square of the vertical distances of the points from the line, in the unit of `y`.
    pub residual_rms: f64,
    /// Largest distance of a point from the line, as a fraction of the point's own value; `None` if a value is 0.
    pub residual_relative: Option<f64>,
}

impl Fit {
    /// Fits a line to these points; `None` without two different sizes or with a value that is not finite.
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
