//! Updates of result tables in Markdown pages.

use {
    super::{BenchError, Table},
    std::{fs, path::Path},
};

/// Replaces the text between `<!-- NAME -->` and `<!-- /NAME -->` in a page by the table of that
/// name. A page without the opening marker is left unchanged.
///
/// # Errors
/// [`BenchError::Io`] if the page cannot be read or written, [`BenchError::Failed`] if the closing
/// marker is missing.
pub fn update_page(
    page: &Path,
    table: &Table,
) -> Result<(), BenchError> {
    let text = fs::read_to_string(page)?;
    let opening = format!("<!-- {} -->\n", table.name());
    let closing = format!("<!-- /{} -->", table.name());
    let Some((before, rest)) = text.split_once(&opening) else {
        return Ok(());
    };
    let Some((_, after)) = rest.split_once(&closing) else {
        let message = format!(
            "{}: the closing marker {closing} is missing",
            page.display()
        );
        return Err(BenchError::Failed(message));
    };
    let text = format!(
        "{before}{opening}\n{}\n{closing}{after}",
        table.to_markdown()
    );
    Ok(fs::write(page, text)?)
}
