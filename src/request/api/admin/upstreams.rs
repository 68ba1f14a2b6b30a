//! The list of upstreams, and draining by operators.

use {
    super::{
        authority::{audit, log_problem},
        page::answer_page,
    },
    crate::{
        connection::{HttpRequest, HttpResponse, Problem},
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

/// The JSON representation of a live upstream.
#[derive(Serialize)]
struct UpstreamView {
    upstream: UpstreamName,
    region: Region,
    data_centre: DataCentre,
    rack: RackName,
    serving: ServingState,
    /// The operator who drained the upstream, if any.
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
        let drain = fold.drains().get(&announced.upstream);
        Self {
            upstream: announced.upstream.clone(),
            region: announced.region.clone(),
            data_centre: announced.data_centre.clone(),
            rack: announced.rack.clone(),
            serving: announced.serving,
            drained_by: drain.map(|d| d.operator.clone()),
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
) -> HttpResponse {
    let live = entry.members.borrow().live(entry.clock.now());
    let views = live.iter().map(|u| UpstreamView::of(entry, u)).collect();
    answer_page(req, views, |v: &UpstreamView| v.upstream.to_string())
}

/// Drains an upstream or ends its draining. The guard is notified directly and the change is
/// recorded on the log, which makes it durable. Either step can fail alone, so the response reports
/// whether the guard was notified.
pub(super) async fn set_drained(
    entry: &Entry,
    upstream: &str,
    operator: &OperatorName,
    is_drained: bool,
) -> HttpResponse {
    let upstream = UpstreamName::from(upstream);
    let is_member = entry.members.borrow().get(&upstream).is_some();
    let is_marked = entry.state.fold().drains().get(&upstream).is_some();
    if !is_member && !is_marked {
        return Problem::not_found().into();
    }
    let notified_first = is_drained && send_drain(entry, &upstream, true).await;
    let record = RecordBody::Drain(DrainRecord {
        upstream: upstream.clone(),
        is_drained,
        operator: operator.clone(),
    });
    let outcome = match entry.state.append_for_outcome(record).await {
        Ok(outcome) => outcome,
        Err(e) => {
            let extra = json!({ "guard_told": notified_first });
            return log_problem(e, "/v1/admin/upstreams")
                .with_extensions(extra)
                .into();
        }
    };
    let is_notified = notified_first || (!is_drained && send_drain(entry, &upstream, false).await);
    let action = if is_drained { "drain" } else { "undrain" };
    if outcome == RecordOutcome::Applied
        && let Err(e) = audit(entry, operator, format!("{action} {upstream}")).await
    {
        tracing::error!(error = %e, %operator, action, %upstream, "failed to append the audit record");
    }
    let body = json!({ "upstream": upstream, "drained": is_drained, "guard_told": is_notified });
    HttpResponse::json(200, &body)
}
