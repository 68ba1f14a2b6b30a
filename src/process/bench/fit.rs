//! Linear regression over measured points.

/// A straight line fitted to points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// The line's value at zero.
    pub intercept: f64,
    /// The change of the value per unit of x.
    pub slope: f64,
    /// The root mean square of the vertical distances between the points and the line.
    pub residual: f64,
}

impl LineFit {
    /// Returns the line's value at `x`.
    pub fn value_at(
        &self,
        x: f64,
    ) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Fits a line to points of x and y. Returns `None` if there are none or all have the same x.
pub fn fit_line(points: &[(f64, f64)]) -> Option<LineFit> {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let sum_xx = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    if points.is_empty() || sum_xx == 0.0 {
        return None;
    }
    let products = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y));
    let slope = products.sum::<f64>() / sum_xx;
    let base = mean_y - slope * mean_x;
    let squares = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2));
    let residual = (squares.sum::<f64>() / n).sqrt();
    Some(LineFit {
        intercept: base,
        slope,
        residual,
    })
}
