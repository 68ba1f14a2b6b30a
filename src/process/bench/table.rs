//! Tables of results.

use std::{fs, io, path::Path};

/// A table that is printed for people and written as CSV for programs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Table {
    name: String,
    columns: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows; `name` is the stem of its CSV file.
    pub fn new(
        name: &str,
        columns: &[&str],
    ) -> Self {
        Self {
            name: name.to_owned(),
            columns: columns.iter().map(|c| (*c).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Returns the table's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Adds a row, one cell for each column.
    ///
    /// # Panics
    /// When the number of cells is not the number of columns.
    pub fn push(
        &mut self,
        cells: Vec<String>,
    ) {
        assert_eq!(
            cells.len(),
            self.columns.len(),
            "a row of {} does not fit",
            self.name
        );
        self.rows.push(cells);
    }

    /// Returns the rows.
    pub fn rows(&self) -> &[Vec<String>] {
        &self.rows
    }

    /// Returns the table as aligned text: the first column to the left, the rest to the right.
    pub fn render(&self) -> String {
        let widths: Vec<usize> = (0..self.columns.len()).map(|i| self.width(i)).collect();
        let mut text = format!("{}\n", self.name);
        for row in std::iter::once(&self.columns).chain(&self.rows) {
            let cells = row
                .iter()
                .zip(&widths)
                .enumerate()
                .map(|(i, (cell, width))| match i {
                    0 => format!("{cell:<width$}"),
                    _ => format!("{cell:>width$}"),
                });
            let line = cells.collect::<Vec<String>>().join("  ");
            text += line.trim_end();
            text.push('\n');
        }
        text
    }

    /// Returns the table in Markdown.
    pub fn markdown(&self) -> String {
        let rule = self.columns.iter().map(|_| " --- |").collect::<String>();
        let mut text = markdown_row(&self.columns);
        text += &format!("|{rule}\n");
        for row in &self.rows {
            text += &markdown_row(row);
        }
        text
    }

    /// Returns the table as CSV.
    pub fn csv(&self) -> String {
        let lines = std::iter::once(&self.columns).chain(&self.rows).map(|row| {
            let cells: Vec<String> = row.iter().map(|c| quote(c)).collect();
            cells.join(",") + "\n"
        });
        lines.collect()
    }

    /// Writes the table as `NAME.csv` to a folder, which is created when it is missing.
    ///
    /// # Errors
    /// The error of writing.
    pub fn write_csv(
        &self,
        folder: &Path,
    ) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join(format!("{}.csv", self.name)), self.csv())
    }

    fn width(
        &self,
        column: usize,
    ) -> usize {
        let cells = std::iter::once(&self.columns).chain(&self.rows);
        let lens = cells.map(|row| row[column].chars().count());
        lens.max().unwrap_or_default()
    }
}

fn markdown_row(cells: &[String]) -> String {
    let cells: String = cells
        .iter()
        .map(|c| format!(" {} |", c.replace('|', "/")))
        .collect();
    format!("|{cells}\n")
}

/// Quotes a cell that holds a comma or a quote.
fn quote(cell: &str) -> String {
    if cell.contains([',', '"', '\n']) {
        format!("\"{}\"", cell.replace('"', "\"\""))
    } else {
        cell.to_owned()
    }
}
