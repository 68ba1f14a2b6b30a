//! One row of the capacity table.

use {
    super::Quantity,
    crate::process::bench::{LineFit, fit_line},
};

/// The size below which a number is shown as zero.
const SHOWN_AS_ZERO: f64 = 1e-9;

/// A quantity with its fitted line.
#[derive(Clone, Debug)]
pub struct Figure {
    quantity: Quantity,
    fit: LineFit,
}

impl Figure {
    /// The columns of the table.
    pub const COLUMNS: [&str; 11] = [
        "role",
        "figure",
        "unit",
        "mechanism",
        "sizes",
        "measured",
        "slope",
        "residual",
        "at target",
        "bound",
        "margin",
    ];

    /// Fits a line to a quantity; `None` when it was measured at fewer than two sizes.
    pub fn fit(quantity: Quantity) -> Option<Self> {
        let points: Vec<(f64, f64)> = quantity.points.iter().map(|p| (p.x, p.y)).collect();
        let fit = fit_line(&points)?;
        Some(Self { quantity, fit })
    }

    /// Returns the value that the line gives at the target.
    pub fn at_target(&self) -> f64 {
        self.fit.value_at(self.quantity.target)
    }

    /// Returns the row's cells.
    pub fn cells(&self) -> Vec<String> {
        let quantity = &self.quantity;
        let sizes = range(quantity.points.iter().map(|p| p.x));
        vec![
            quantity.role.to_owned(),
            quantity.name.to_owned(),
            quantity.unit.to_owned(),
            quantity.mechanism.to_owned(),
            format!("{sizes} {}", quantity.size),
            range(quantity.points.iter().map(|p| p.y)),
            short(self.fit.slope),
            short(self.fit.residual),
            format!("{} at {}", short(self.at_target()), short(quantity.target)),
            quantity.bound.map_or("-".to_owned(), short),
            self.margin(),
        ]
    }

    /// Returns the share of the bound that is left, or says that the bound does not hold.
    fn margin(&self) -> String {
        match self.quantity.bound {
            None => "-".to_owned(),
            Some(bound) if self.at_target() > bound => "does not hold yet".to_owned(),
            Some(bound) => format!("{:.0}%", 100.0 * (1.0 - self.at_target() / bound)),
        }
    }
}

/// Shows the least and the greatest of some values.
fn range<I>(values: I) -> String
where
    I: Iterator<Item = f64>,
{
    let (least, greatest) = values.fold((f64::MAX, f64::MIN), |(l, g), v| (l.min(v), g.max(v)));
    format!("{} to {}", short(least), short(greatest))
}

/// Shows a number with three significant digits or so.
fn short(value: f64) -> String {
    match value.abs() {
        v if v < SHOWN_AS_ZERO => "0".to_owned(),
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 1.0 => format!("{value:.2}"),
        v if v >= 0.001 => format!("{value:.5}"),
        _ => format!("{value:.2e}"),
    }
}
