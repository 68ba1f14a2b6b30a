//! Rendering of tables and least-squares fits.

use limpetquay::process::bench::{
    Table,
    capacity::{FittedQuantity, Point, Quantity},
    fit_line,
};

fn quantity(bound: f64) -> Quantity {
    Quantity {
        role: "entry",
        name: "memory",
        unit: "MB",
        size_unit: "upstreams",
        target_size: 950.0,
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

/// The plain-text, CSV and Markdown forms of a table have the same content.
#[test]
fn a_table_is_rendered_in_three_ways() {
    let mut table = Table::new("example", &["what", "count"]);
    table.push_row(vec!["plain".into(), "7".into()]);
    table.push_row(vec!["with, comma and \"quotes\"".into(), "12".into()]);
    insta::assert_snapshot!([table.to_text(), table.to_csv(), table.to_markdown()].join("\n"));
}

/// Points on a line fit without residual, and points that share one size fit no line.
#[test]
fn lines_are_fitted_by_least_squares() {
    let exact = fit_line(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]);
    let uneven = fit_line(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)]);
    let one_size = fit_line(&[(1.0, 1.0), (1.0, 2.0)]);
    insta::assert_debug_snapshot!((exact, uneven, one_size));
}

/// A figure above its bound is marked `does not hold yet`.
#[test]
fn a_figure_tells_whether_its_bound_holds() {
    let figures =
        [quantity(128.0), quantity(50.0)].map(|q| FittedQuantity::fit(q).expect("a line"));
    let cells = figures.map(|f| f.cells().join(" ; "));
    insta::assert_debug_snapshot!(cells);
}
