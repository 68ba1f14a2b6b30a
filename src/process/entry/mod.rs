//! The entry: takes callers' requests and jobs.

mod claim_ends;
mod dialer;
mod document_push;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod entry;
mod entry_parts;
mod fleet_memory;
mod layout_proposal;
mod layout_push;
mod owned_jobs;
mod placement_records;
mod registration;
mod running_entry;
mod share_index;

pub use {
    claim_ends::{ClaimEnds, run_claim_ends},
    dialer::{Dialer, LinkDialer},
    document_push::push_documents,
    entry::Entry,
    entry_parts::EntryParts,
    fleet_memory::FleetMemory,
    layout_proposal::propose_layouts,
    layout_push::push_layouts,
    owned_jobs::run_jobs,
    placement_records::keep_placements,
    registration::{follow_registry, register},
    running_entry::RunningEntry,
    share_index::ShareIndex,
};
