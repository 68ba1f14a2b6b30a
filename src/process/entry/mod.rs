//! The entry: takes callers' requests and jobs.

mod claim_ends;
mod dialer;
mod document_push;
mod drain_push;
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
mod owner_watch;
mod placement_records;
mod registration;
mod release_orphans;
mod running_entry;
mod share_index;
mod takeover;

pub use {
    claim_ends::{ClaimEnds, run_claim_ends},
    dialer::{Dialer, LinkDialer},
    document_push::push_documents,
    drain_push::{push_drains, tell_drain},
    entry::Entry,
    entry_parts::EntryParts,
    fleet_memory::FleetMemory,
    layout_proposal::propose_layouts,
    layout_push::push_layouts,
    owned_jobs::run_jobs,
    owner_watch::{Owner, OwnerWatch},
    placement_records::keep_placements,
    registration::{follow_registry, register},
    release_orphans::release_orphans,
    running_entry::RunningEntry,
    share_index::ShareIndex,
    takeover::take_over_jobs,
};
