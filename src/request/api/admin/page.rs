//! Pagination of lists.

use {
    crate::connection::{HttpRequest, HttpResponse, Problem},
    serde::Serialize,
};

/// The default number of rows in a page.
const DEFAULT_LIMIT: usize = 100;

/// The maximum number of rows in a page.
const MAX_LIMIT: usize = 1000;

/// One page of a list.
#[derive(Serialize)]
struct Page<T> {
    items: Vec<T>,
    /// The `cursor` parameter for the next page; absent on the last page.
    #[serde(skip_serializing_if = "Option::is_none")]
    next: Option<String>,
}

/// Returns the page that the `limit` and `cursor` parameters of the request select. The rows must
/// be sorted by key; the cursor is the key of the last row of the previous page.
pub(super) fn answer_page<F, T>(
    req: &HttpRequest,
    rows: Vec<T>,
    key: F,
) -> HttpResponse
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
    let has_more = rest.next().is_some();
    let next = items.last().filter(|_| has_more).map(key);
    HttpResponse::json(200, &Page { items, next })
}
