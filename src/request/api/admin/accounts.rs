//! The list of client accounts, with their guarantees, limits and use.

use {
    super::page::answer_page,
    crate::{
        connection::{HttpRequest, HttpResponse},
        prelude::*,
        process::{
            entry::Entry,
            state::{Fold, JobStatus},
        },
        version::Account,
    },
    serde::Serialize,
};

/// The JSON representation of a client account.
#[derive(Serialize)]
struct AccountView {
    account: AccountName,
    guaranteed_accelerators: u32,
    quota_accelerators: u32,
    /// The accelerators of the account's open jobs, whether running or waiting.
    #[serde(rename = "asked_accelerators")]
    requested_accelerators: u32,
    open_jobs: u32,
    max_jobs: u32,
    share: u32,
}

impl AccountView {
    fn of(
        account: &Account,
        document: &Document,
        fold: &Fold,
    ) -> Self {
        let own = fold.jobs().filter(|j| j.spec.account == account.name);
        let open = own.filter(|j| matches!(j.status(), JobStatus::Open | JobStatus::Cancelling));
        let gangs = open.map(|j| {
            let kind = document.job_kinds.get(&j.spec.kind);
            kind.map_or(0, |k| k.gang.total_accelerators())
        });
        Self {
            account: account.name.clone(),
            guaranteed_accelerators: account.guaranteed_accelerators(),
            quota_accelerators: account.quota_accelerators,
            requested_accelerators: gangs.sum(),
            open_jobs: fold.open_job_count(&account.name),
            max_jobs: account.max_jobs,
            share: account.share,
        }
    }
}

/// Lists the accounts by name.
pub(super) fn list_accounts(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpResponse {
    let document = entry.document();
    let fold = entry.state.fold();
    let accounts = document.accounts.values();
    let views = accounts
        .map(|a| AccountView::of(a, &document, &fold))
        .collect();
    answer_page(req, views, |v: &AccountView| v.account.to_string())
}
