//! Client accounts, with what they use of what they are guaranteed.

use {
    super::page::answer_page,
    crate::{
        connection::{HttpReply, HttpRequest},
        prelude::*,
        process::{
            entry::Entry,
            state::{Fold, JobStatus},
        },
        version::Account,
    },
    serde::Serialize,
};

/// A client account.
#[derive(Serialize)]
struct AccountView {
    account: AccountName,
    guaranteed_accelerators: u32,
    quota_accelerators: u32,
    /// The accelerators of the account's open jobs, whether they run yet or wait.
    asked_accelerators: u32,
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
            asked_accelerators: gangs.sum(),
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
) -> HttpReply {
    let document = entry.document();
    let fold = entry.state.fold();
    let accounts = document.accounts.values();
    let views = accounts
        .map(|a| AccountView::of(a, &document, &fold))
        .collect();
    answer_page(req, views, |v: &AccountView| v.account.to_string())
}
