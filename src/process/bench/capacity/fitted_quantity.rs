//! One row of the capacity table.

use {
    super::Quantity,
    crate::process::bench::{LineFit, fit_line},
};

/// The size below which a number is shown as zero.
const ZERO_THRESHOLD: f64 = 1e-9;

/// A quantity with its fitted line.
#[derive(Clone, Debug)]
pub struct FittedQuantity {
    quantity: Quantity,
    fit: LineFit,
}

impl FittedQuantity {
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
    pub fn value_at_target(&self) -> f64 {
        self.fit.at(self.quantity.target_size)
    }

    /// Returns the row's cells.
    pub fn cells(&self) -> Vec<String> {
        let quantity = &self.quantity;
        let sizes = format_range(quantity.points.iter().map(|p| p.x));
        vec![
            quantity.role.to_owned(),
            quantity.name.to_owned(),
            quantity.unit.to_owned(),
            quantity.mechanism.to_owned(),
            format!("{sizes} {}", quantity.size_unit),
            format_range(quantity.points.iter().map(|p| p.y)),
            format_number(self.fit.slope),
            format_number(self.fit.residual),
            format!(
                "{} at {}",
                format_number(self.value_at_target()),
                format_number(quantity.target_size)
            ),
            quantity.bound.map_or("-".to_owned(), format_number),
            self.margin(),
        ]
    }

    /// Returns the share of the bound that is left, or says that the bound does not hold.
    fn margin(&self) -> String {
        match self.quantity.bound {
            None => "-".to_owned(),
            Some(bound) if self.value_at_target() > bound => "does not hold yet".to_owned(),
            Some(bound) => format!("{:.0}%", 100.0 * (1.0 - self.value_at_target() / bound)),
        }
    }
}

/// Shows the least and the greatest of some values.
fn format_range<I>(values: I) -> String
where
    I: Iterator<Item = f64>,
{
    let (least, greatest) = values.fold((f64::MAX, f64::MIN), |(l, g), v| (l.min(v), g.max(v)));
    format!("{} to {}", format_number(least), format_number(greatest))
}

/// Shows a number with three significant digits or so.
fn format_number(value: f64) -> String {
    match value.abs() {
        v if v < ZERO_THRESHOLD => "0".to_owned(),
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 1.0 => format!("{value:.2}"),
        v if v >= 0.001 => format!("{value:.5}"),
        _ => format!("{value:.2e}"),
    }
}
