//! Least-squares fits of straight lines to measured points.

use serde::Serialize;

/// A line y = intercept + slope · x, its goodness of fit, and the range of its points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct Fit {
    pub slope: f64,
    pub intercept: f64,
    /// Root mean square deviation of the points from the line, in units of y.
    pub residual: f64,
    /// Smallest x; the line is valid from here to `to`.
    pub from: f64,
    pub to: f64,
    pub points: usize,
}

/// Fits a line to at least three points; `None` if there are fewer, if all have the same x, or if
/// a value is not finite.
pub(super) fn least_squares(points: &[(f64, f64)]) -> Option<Fit> {
    let all_finite = points.iter().all(|(x, y)| x.is_finite() && y.is_finite());
    if points.len() < 3 || !all_finite {
        return None;
    }
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if sum_xx <= f64::EPSILON {
        return None;
    }
    let sum_xy: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = sum_xy / sum_xx;
    let intercept = mean_y - slope * mean_x;
    let sum_squared_error: f64 = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2))
        .sum();
    let min_x = points.iter().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let max_x = points.iter().map(|p| p.0).fold(f64::NEG_INFINITY, f64::max);
    let residual = (sum_squared_error / n).sqrt();
    Some(Fit {
        slope,
        intercept,
        residual,
        from: min_x,
        to: max_x,
        points: points.len(),
    })
}

impl Fit {
    pub(super) fn y_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fit_gives_line_residual_and_range() {
        let exact = least_squares(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).expect("a line");
        assert!((exact.slope - 2.0).abs() < 1e-9 && (exact.intercept - 3.0).abs() < 1e-9);
        assert!(exact.residual < 1e-9 && (exact.y_at(3.0) - 9.0).abs() < 1e-9);
        assert_eq!((exact.from, exact.to, exact.points), (1.0, 4.0, 3));
        let rough = least_squares(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).expect("a line");
        assert!(rough.slope.abs() < 1e-9 && (rough.residual - 2.0f64.sqrt()).abs() < 1e-9);
    }

    #[test]
    fn too_few_distinct_points_give_no_line() {
        assert_eq!(least_squares(&[(1.0, 1.0), (2.0, 2.0)]), None);
        assert_eq!(least_squares(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]), None);
        assert_eq!(
            least_squares(&[(1.0, 1.0), (2.0, f64::NAN), (3.0, 3.0)]),
            None
        );
    }
}
