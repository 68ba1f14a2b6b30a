//! Lists in pages.

use {
    crate::connection::{HttpReply, HttpRequest, Problem},
    serde::Serialize,
};

/// The rows of a page when the request does not say.
const DEFAULT_LIMIT: usize = 100;

/// The most rows of a page.
const MAX_LIMIT: usize = 1000;

/// A part of a list.
#[derive(Serialize)]
struct Page<T> {
    items: Vec<T>,
    /// What the next request passes as `cursor`; missing on the last page.
    #[serde(skip_serializing_if = "Option::is_none")]
    next: Option<String>,
}

/// Answers with the page that the request asks for by `limit` and `cursor`. Rows have to be in the
/// order of their keys; the cursor is the key of the last row of the page before.
pub(super) fn answer_page<F, T>(
    req: &HttpRequest,
    rows: Vec<T>,
    key: F,
) -> HttpReply
where
    F: Fn(&T) -> String,
    T: Serialize,
{
    let limit = match req.query("limit") {
        None => Some(DEFAULT_LIMIT),
        Some(text) => text.parse().ok().filter(|n| (1..=MAX_LIMIT).contains(n)),
    };
    let Some(limit) = limit else {
        let detail = format!("expected limit, a whole number from 1 to {MAX_LIMIT}");
        return Problem::new(400, "limit", detail).into();
    };
    let cursor = req.query("cursor").unwrap_or_default();
    let mut rest = rows.into_iter().filter(|r| key(r).as_str() > cursor);
    let items: Vec<T> = rest.by_ref().take(limit).collect();
    let more = rest.next().is_some();
    let next = items.last().filter(|_| more).map(key);
    HttpReply::json(200, &Page { items, next })
}
