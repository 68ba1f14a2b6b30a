//! Straight lines through measured points.

/// A straight line through points, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// The value at zero.
    pub base: f64,
    /// The rise of the value for each unit.
    pub slope: f64,
    /// The root of the mean squared distance of the points from the line.
    pub residual: f64,
}

impl LineFit {
    /// Returns the line's value at `x`.
    pub fn at(
        &self,
        x: f64,
    ) -> f64 {
        self.base + self.slope * x
    }
}

/// Fits a line to points of x and y; `None` when all points have the same x.
pub fn fit_line(points: &[(f64, f64)]) -> Option<LineFit> {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let spread = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    if points.is_empty() || spread == 0.0 {
        return None;
    }
    let joint = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y));
    let slope = joint.sum::<f64>() / spread;
    let base = mean_y - slope * mean_x;
    let squares = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2));
    let residual = (squares.sum::<f64>() / n).sqrt();
    Some(LineFit {
        base,
        slope,
        residual,
    })
}
