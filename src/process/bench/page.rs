//! Tables in Markdown pages.

use {
    super::{BenchError, Table},
    std::{fs, path::Path},
};

/// Replaces what stands between `<!-- NAME -->` and `<!-- /NAME -->` in a page by the table of
/// that name. A page without these marks stays as it is.
///
/// # Errors
/// [`BenchError::Io`] when the page cannot be read or written, [`BenchError::Failed`] when the
/// second mark is missing.
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
        let message = format!("{}: {closing} is missing", page.display());
        return Err(BenchError::Failed(message));
    };
    let text = format!("{before}{opening}\n{}\n{closing}{after}", table.markdown());
    Ok(fs::write(page, text)?)
}
