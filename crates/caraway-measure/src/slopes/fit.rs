//! [`Fit`]: a least-squares line through measured points.

use serde::Serialize;

/// A straight line `base + slope * x` by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Fit {
    /// The value at zero.
    pub(crate) base: f64,
    /// The increase for each unit of `x`.
    pub(crate) slope: f64,
    /// The largest vertical distance of a point from the line, as a share of the largest value.
    pub(crate) error: f64,
}

impl Fit {
    /// Fits a line through `points`.
    pub(crate) fn new(points: &[(f64, f64)]) -> Self {
        let x = mean(points.iter().map(|p| p.0));
        let y = mean(points.iter().map(|p| p.1));
        let x_variance: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let covariance: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let slope = if x_variance > 0.0 {
            covariance / x_variance
        } else {
            0.0
        };
        let base = y - slope * x;
        let distance = |p: &(f64, f64)| (p.1 - base - slope * p.0).abs();
        let max_distance = points.iter().map(distance).fold(0.0, f64::max);
        let max_value = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let error = if max_value > 0.0 {
            max_distance / max_value
        } else {
            0.0
        };
        Self { base, slope, error }
    }

    /// Returns the line's value at `x`.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(s, n), v| (s + v, n + 1.0));
    sum / f64::max(count, 1.0)
}
