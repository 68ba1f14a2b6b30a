//! SVG plots of benchmark results.

use {super::BenchError, plotters::prelude::*, std::path::Path};

/// The width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (800, 480);

/// The base font size of a plot, in pixels.
const FONT_SIZE_PX: u32 = 16;

/// One line of a plot.
#[derive(Clone, Debug)]
pub struct Series {
    /// The line's name in the legend.
    pub name: String,
    /// The line's points, in ascending order of x.
    pub points: Vec<(f64, f64)>,
}

/// Writes an SVG file that plots lines over a common x axis.
///
/// # Errors
/// [`BenchError::Failed`] if the file cannot be written.
pub fn write_plot(
    path: &Path,
    title: &str,
    x_label: &str,
    y_label: &str,
    series: &[Series],
) -> Result<(), BenchError> {
    draw(path, title, x_label, y_label, series)
        .map_err(|e| BenchError::Failed(format!("{}: {e}", path.display())))
}

fn draw(
    path: &Path,
    title: &str,
    x_label: &str,
    y_label: &str,
    series: &[Series],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = series.iter().flat_map(|s| &s.points);
    let (max_x, max_y) = points.fold((1.0_f64, 0.0_f64), |(x, y), p| (x.max(p.0), y.max(p.1)));
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", FONT_SIZE_PX + 4))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(72)
        .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y.max(1e-9) * 1.1)?;
    chart
        .configure_mesh()
        .x_desc(x_label)
        .y_desc(y_label)
        .label_style(("sans-serif", FONT_SIZE_PX - 3))
        .draw()?;
    for (i, line) in series.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(
                line.points.iter().copied(),
                colour.stroke_width(2),
            ))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .label_font(("sans-serif", FONT_SIZE_PX - 3))
        .draw()?;
    area.present()?;
    Ok(())
}
