//! The `limpetquay bench capacity` command.

use {
    super::{FittedQuantity, Probe, Quantity, fold_probe::FoldProbe, guard_probe::GuardProbe},
    crate::process::bench::{
        Bench, BenchCx, BenchError, Series, Table, gangs::GangsProbe, log::LogProbe,
        membership::MembershipProbe, placement::PlacementProbe, write_plot,
    },
    std::{fs, path::Path},
};

/// Runs every probe, fits a line to each quantity and extrapolates it to the target size.
pub struct CapacityBench;

impl Bench for CapacityBench {
    fn name(&self) -> &'static str {
        "capacity"
    }

    fn summary(&self) -> &'static str {
        "cost of each role as sizes grow, projected to the target size"
    }

    fn run(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Table>, BenchError> {
        let mut table = Table::new("capacity", &FittedQuantity::COLUMNS);
        for probe in probes() {
            for quantity in probe.measure(cx)? {
                if let Some(out) = &cx.output_dir {
                    plot_quantity(out, &quantity)?;
                }
                let name = quantity.name;
                let fitted = FittedQuantity::fit(quantity)
                    .ok_or_else(|| BenchError::Failed(format!("{name}: too few sizes")))?;
                table.push_row(fitted.cells());
            }
        }
        Ok(vec![table])
    }
}

fn probes() -> Vec<Box<dyn Probe>> {
    vec![
        Box::new(FoldProbe),
        Box::new(GuardProbe),
        Box::new(PlacementProbe),
        Box::new(GangsProbe),
        Box::new(LogProbe),
        Box::new(MembershipProbe),
    ]
}

/// Plots a quantity's points to `ROLE-NAME.svg` in `folder`.
fn plot_quantity(
    folder: &Path,
    quantity: &Quantity,
) -> Result<(), BenchError> {
    fs::create_dir_all(folder)?;
    let name = format!("{}-{}", quantity.role, quantity.name);
    let name = name.replace(',', "").replace(' ', "-");
    let series = Series {
        name: quantity.name.to_owned(),
        points: quantity.points.iter().map(|p| (p.x, p.y)).collect(),
    };
    let title = format!("{}: {}", quantity.role, quantity.name);
    write_plot(
        &folder.join(format!("{name}.svg")),
        &title,
        quantity.size_unit,
        quantity.unit,
        &[series],
    )
}
