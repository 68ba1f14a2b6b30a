//! A row of the capacity table: a quantity, and the line that extrapolates it to the target size.

use {
    super::Quantity,
    crate::process::bench::{LineFit, fit_line},
};

/// The absolute value below which a number is printed as zero.
const ZERO_THRESHOLD: f64 = 1e-9;

/// A measured quantity with the line that is fitted to its points.
#[derive(Clone, Debug)]
pub struct FittedQuantity {
    quantity: Quantity,
    fit: LineFit,
}

impl FittedQuantity {
    /// The column heads of the capacity table.
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

    /// Fits a line to a quantity. Returns `None` when it was measured at fewer than two different
    /// sizes.
    pub fn fit(quantity: Quantity) -> Option<Self> {
        let points: Vec<(f64, f64)> = quantity.points.iter().map(|p| (p.x, p.y)).collect();
        let fit = fit_line(&points)?;
        Some(Self { quantity, fit })
    }

    /// Returns the value of the line at the target size, in the quantity's unit.
    pub fn value_at_target(&self) -> f64 {
        self.fit.value_at(self.quantity.target_size)
    }

    /// Returns the cells of the quantity's row, in the order of [`Self::COLUMNS`].
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

    /// Returns the share of the bound that is left at the target, or a text that says that the
    /// bound is exceeded.
    fn margin(&self) -> String {
        match self.quantity.bound {
            None => "-".to_owned(),
            Some(bound) if self.value_at_target() > bound => "does not hold yet".to_owned(),
            Some(bound) => format!("{:.0}%", 100.0 * (1.0 - self.value_at_target() / bound)),
        }
    }
}

/// Formats the least and the greatest of some values.
fn format_range<I>(values: I) -> String
where
    I: Iterator<Item = f64>,
{
    let (least, greatest) = values.fold((f64::MAX, f64::MIN), |(l, g), v| (l.min(v), g.max(v)));
    format!("{} to {}", format_number(least), format_number(greatest))
}

/// Formats a number with fewer decimals the larger it is.
fn format_number(value: f64) -> String {
    match value.abs() {
        v if v < ZERO_THRESHOLD => "0".to_owned(),
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 1.0 => format!("{value:.2}"),
        v if v >= 0.001 => format!("{value:.5}"),
        _ => format!("{value:.2e}"),
    }
}
