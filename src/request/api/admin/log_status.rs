//! The live entries, the state of the log and the audit of operators' actions.

use {
    super::page::answer_page,
    crate::{
        connection::{HttpRequest, HttpResponse},
        prelude::*,
        process::{
            entry::Entry,
            membership::ServingState,
            platform::Offset,
            state::{AuditEntry, LogView, SnapshotHeader},
        },
    },
    serde::Serialize,
};

/// The JSON representation of a live entry.
#[derive(Serialize)]
struct EntryView {
    entry: EntryName,
    region: Region,
    data_centre: DataCentre,
    serving: ServingState,
}

/// The log as this entry observes it, and the number of upstreams that have the document in force.
#[derive(Serialize)]
struct LogStatusView {
    entry: EntryName,
    version: VersionNumber,
    #[serde(flatten)]
    view: LogView,
    next: Offset,
    waiting_records: usize,
    snapshot: Option<SnapshotHeader>,
    upstreams: usize,
    upstreams_current: usize,
}

/// An audit entry with its index in the list.
#[derive(Serialize)]
struct AuditView {
    number: usize,
    #[serde(flatten)]
    entry: AuditEntry,
}

/// Lists the live entries by name.
pub(super) fn list_entries(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpResponse {
    let live = entry.entries.borrow().live(entry.clock.now());
    let views = live.iter().map(|e| EntryView {
        entry: e.name.clone(),
        region: e.region.clone(),
        data_centre: e.data_centre.clone(),
        serving: e.serving,
    });
    answer_page(req, views.collect(), |v: &EntryView| v.entry.to_string())
}

/// Returns the state of the log.
pub(super) fn show_log(entry: &Entry) -> HttpResponse {
    let fold = entry.state.fold();
    let live = entry.members.borrow().live(entry.clock.now());
    let current = live.iter().filter(|u| u.version == fold.version());
    let view = LogStatusView {
        entry: entry.settings.name.clone(),
        version: fold.version(),
        view: entry.state.log_view(),
        next: fold.next_offset(),
        waiting_records: entry.state.pending_record_count(),
        snapshot: fold.snapshots().latest(),
        upstreams: live.len(),
        upstreams_current: current.count(),
    };
    HttpResponse::json(200, &view)
}

/// Lists the actions of operators other than document submissions, which are in the document
/// history.
pub(super) fn list_audit(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpResponse {
    let fold = entry.state.fold();
    let numbered = fold.audit().iter().enumerate();
    let views = numbered.map(|(number, e)| AuditView {
        number,
        entry: e.clone(),
    });
    answer_page(req, views.collect(), |v: &AuditView| {
        format!("{:020}", v.number)
    })
}
