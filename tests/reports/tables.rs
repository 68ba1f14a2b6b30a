//! Tables and fitted lines.

use limpetquay::process::bench::{
    Table,
    capacity::{Figure, Point, Quantity},
    fit_line,
};

fn quantity(bound: f64) -> Quantity {
    Quantity {
        role: "entry",
        name: "memory",
        unit: "MB",
        size: "upstreams",
        target: 950.0,
        bound: Some(bound),
        mechanism: "membership",
        points: [10.0, 100.0, 300.0]
            .map(|x| Point {
                x,
                y: 5.0 + 0.1 * x,
            })
            .to_vec(),
    }
}

/// A table looks the same for people, programs and pages.
#[test]
fn a_table_is_rendered_in_three_ways() {
    let mut table = Table::new("example", &["what", "count"]);
    table.push_row(vec!["plain".into(), "7".into()]);
    table.push_row(vec!["with, comma and \"quotes\"".into(), "12".into()]);
    insta::assert_snapshot!([table.to_text(), table.to_csv(), table.to_markdown()].join("\n"));
}

/// A line through exact points has no residual, and points of one size have no line.
#[test]
fn lines_are_fitted_by_least_squares() {
    let exact = fit_line(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]);
    let uneven = fit_line(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)]);
    let one_size = fit_line(&[(1.0, 1.0), (1.0, 2.0)]);
    insta::assert_debug_snapshot!((exact, uneven, one_size));
}

/// A figure above its bound says so in plain words.
#[test]
fn a_figure_tells_whether_its_bound_holds() {
    let figures = [quantity(128.0), quantity(50.0)].map(|q| Figure::fit(q).expect("a line"));
    let cells = figures.map(|f| f.cells().join(" ; "));
    insta::assert_debug_snapshot!(cells);
}
