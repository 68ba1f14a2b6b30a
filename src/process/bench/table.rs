//! Tables of benchmark and report results.

use std::{fs, io, path::Path};

/// A table of text cells that can be formatted as aligned text, Markdown or CSV.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Table {
    name: String,
    columns: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows. `name` is also the stem of its CSV file and its marker in
    /// Markdown pages.
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

    /// Appends a row with one cell for each column.
    ///
    /// # Panics
    /// If the number of cells differs from the number of columns.
    pub fn push_row(
        &mut self,
        cells: Vec<String>,
    ) {
        assert_eq!(
            cells.len(),
            self.columns.len(),
            "a row of table {} does not have one cell for each column",
            self.name
        );
        self.rows.push(cells);
    }

    /// Returns the rows.
    pub fn rows(&self) -> &[Vec<String>] {
        &self.rows
    }

    /// Returns the table as text with its name above it. The first column is aligned to the left,
    /// the others to the right.
    pub fn to_text(&self) -> String {
        let widths: Vec<usize> = (0..self.columns.len())
            .map(|i| self.column_width(i))
            .collect();
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

    /// Returns the table in Markdown, without its name.
    pub fn to_markdown(&self) -> String {
        let rule = self.columns.iter().map(|_| " --- |").collect::<String>();
        let mut text = markdown_row(&self.columns);
        text += &format!("|{rule}\n");
        for row in &self.rows {
            text += &markdown_row(row);
        }
        text
    }

    /// Returns the table as CSV with a header line.
    pub fn to_csv(&self) -> String {
        let lines = std::iter::once(&self.columns).chain(&self.rows).map(|row| {
            let cells: Vec<String> = row.iter().map(|c| csv_field(c)).collect();
            cells.join(",") + "\n"
        });
        lines.collect()
    }

    /// Writes the table as `NAME.csv` to a folder, which is created if it does not exist.
    ///
    /// # Errors
    /// [`io::Error`] if the folder cannot be created or the file cannot be written.
    pub fn write_csv(
        &self,
        folder: &Path,
    ) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join(format!("{}.csv", self.name)), self.to_csv())
    }

    fn column_width(
        &self,
        column: usize,
    ) -> usize {
        let cells = std::iter::once(&self.columns).chain(&self.rows);
        let lengths = cells.map(|row| row[column].chars().count());
        lengths.max().unwrap_or_default()
    }
}

fn markdown_row(cells: &[String]) -> String {
    let cells: String = cells
        .iter()
        .map(|c| format!(" {} |", c.replace('|', "/")))
        .collect();
    format!("|{cells}\n")
}

/// Returns a cell as a CSV field, quoted if it contains a comma, a quote or a line feed.
fn csv_field(cell: &str) -> String {
    if cell.contains([',', '"', '\n']) {
        format!("\"{}\"", cell.replace('"', "\"\""))
    } else {
        cell.to_owned()
    }
}
