//! What has to outlive every process: accepted jobs, their progress, who schedules, who is there.

mod fold;
mod keyed_store;
mod lead;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod ledger;
mod record;
mod registration;

pub use {
    fold::{JobView, LeadView, LedgerFold},
    keyed_store::{Condition, Fence, KeyedPage, KeyedRecord, KeyedStore, StoreError},
    lead::{Lead, RENEWAL_INTERVAL},
    ledger::Ledger,
    record::{LeadRecord, LedgerKey, LedgerRecord, Member, MemberRole},
    registration::{register, unregister},
};
