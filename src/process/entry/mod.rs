//! The entry: accepts requests and jobs from callers and runs them on upstreams.

mod claim_end_queue;
mod dialer;
mod document_push;
mod drain_push;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod entry;
mod entry_builder;
mod fleet_history;
mod layout_proposal;
mod layout_push;
mod missing_owners;
mod owned_jobs;
mod placement_records;
mod registration;
mod release_orphans;
mod running_entry;
mod share_index;
mod takeover;

pub use {
    claim_end_queue::{ClaimEndQueue, write_claim_ends},
    dialer::{Dialer, LinkDialer},
    document_push::push_documents,
    drain_push::{push_drains, send_drain},
    entry::Entry,
    entry_builder::EntryBuilder,
    fleet_history::FleetHistory,
    layout_proposal::propose_layouts,
    layout_push::push_layouts,
    missing_owners::{JobOwner, MissingOwners},
    owned_jobs::run_owned_jobs,
    placement_records::sync_placements,
    registration::{follow_registry, register_entry},
    release_orphans::release_orphans,
    running_entry::RunningEntry,
    share_index::ShareIndex,
    takeover::take_over_jobs,
};
