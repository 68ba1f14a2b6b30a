//! Upstreams, and whether they are drained.

use {
    super::{
        authority::{audit, log_problem},
        page::answer_page,
    },
    crate::{
        connection::{HttpReply, HttpRequest, Problem},
        prelude::*,
        process::{
            entry::{Entry, send_drain},
            membership::{Announcement, ServingState},
            state::{DrainRecord, RecordBody, RecordOutcome},
        },
    },
    serde::Serialize,
    serde_json::json,
};

/// A live upstream.
#[derive(Serialize)]
struct UpstreamView {
    upstream: UpstreamName,
    region: Region,
    data_centre: DataCentre,
    rack: RackName,
    serving: ServingState,
    /// Who drained it, when an operator did.
    #[serde(skip_serializing_if = "Option::is_none")]
    drained_by: Option<OperatorName>,
    slots: u32,
    slots_in_use: u32,
    accelerators: u32,
    accelerators_free: u32,
    version: VersionNumber,
}

impl UpstreamView {
    fn of(
        entry: &Entry,
        announced: &Announcement,
    ) -> Self {
        let fold = entry.state.fold();
        let mark = fold.drains().get(&announced.upstream);
        Self {
            upstream: announced.upstream.clone(),
            region: announced.region.clone(),
            data_centre: announced.data_centre.clone(),
            rack: announced.rack.clone(),
            serving: announced.serving,
            drained_by: mark.map(|m| m.operator.clone()),
            slots: announced.slots,
            slots_in_use: announced.slots_in_use,
            accelerators: announced.accelerators.len(),
            accelerators_free: announced.accelerators_free.len(),
            version: announced.version,
        }
    }
}

/// Lists the live upstreams by name.
pub(super) fn list_upstreams(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpReply {
    let live = entry.members.borrow().live(entry.clock.now());
    let views = live.iter().map(|u| UpstreamView::of(entry, u)).collect();
    answer_page(req, views, |v: &UpstreamView| v.upstream.to_string())
}

/// Drains an upstream or ends that. The guard is told at once; the record makes it last, so it is
/// told apart in the answer whether each of the two came about.
pub(super) async fn set_drained(
    entry: &Entry,
    upstream: &str,
    operator: &OperatorName,
    on: bool,
) -> HttpReply {
    let upstream = UpstreamName::from(upstream);
    let known = entry.members.borrow().get(&upstream).is_some();
    let marked = entry.state.fold().drains().get(&upstream).is_some();
    if !known && !marked {
        return Problem::not_found().into();
    }
    let told_first = on && send_drain(entry, &upstream, true).await;
    let record = RecordBody::Drain(DrainRecord {
        upstream: upstream.clone(),
        is_drained: on,
        operator: operator.clone(),
    });
    let outcome = match entry.state.append_for_outcome(record).await {
        Ok(outcome) => outcome,
        Err(e) => {
            let extra = json!({ "guard_told": told_first });
            return log_problem(e, "/v1/admin/upstreams")
                .with_extra(extra)
                .into();
        }
    };
    let told = told_first || (!on && send_drain(entry, &upstream, false).await);
    let action = if on { "drain" } else { "undrain" };
    if outcome == RecordOutcome::Applied
        && let Err(e) = audit(entry, operator, format!("{action} {upstream}")).await
    {
        tracing::error!(error = %e, %operator, action, %upstream, "the audit record is missing");
    }
    let body = json!({ "upstream": upstream, "drained": on, "guard_told": told });
    HttpReply::json(200, &body)
}
