//! The guarantees and where they are laid, for operators.

use {
    crate::{
        connection::{HttpReply, Problem},
        prelude::*,
        process::entry::Entry,
        version::{Guarantee, PlacedShape, UnmetShape, compute_layout},
    },
    serde::Serialize,
    serde_json::json,
};

/// A laid shape.
#[derive(Debug, Serialize)]
struct LaidView {
    account: AccountName,
    shape: String,
    members: Vec<MemberView>,
}

/// The accelerators of one member.
#[derive(Debug, Serialize)]
struct MemberView {
    upstream: UpstreamName,
    accelerators: Vec<u32>,
    /// Whether the worker's guard has announced that it keeps them.
    kept: bool,
}

/// A shape that is not laid.
#[derive(Debug, Serialize)]
struct UnmetView {
    account: AccountName,
    shape: String,
    reason: String,
}

/// Lists where the guarantees are laid, and which are not.
pub(super) fn list_guarantees(entry: &Entry) -> HttpReply {
    let fold = entry.state.fold();
    let layouts = fold.layouts();
    let laid = layouts.layout().shapes.iter().map(|s| view_laid(entry, s));
    let unmet = layouts.layout().unmet.iter().map(view_unmet);
    let body = json!({
        "layout": layouts.number(),
        "version": layouts.version(),
        "laid": laid.collect::<Vec<LaidView>>(),
        "unmet": unmet.collect::<Vec<UnmetView>>(),
    });
    HttpReply::json(200, &body)
}

/// Refuses a document that promises more than the known upstreams hold: one with a shape that
/// could not be laid, unless the document in force has the same shape and cannot lay it either.
/// Nothing is refused while no upstream is known.
pub(super) fn check_guarantees(
    entry: &Entry,
    document: &Document,
) -> Result<(), Problem> {
    let fleet = entry
        .fleet_history
        .borrow()
        .current_fleet(entry.clock.now());
    if fleet.workers().is_empty() {
        return Ok(());
    }
    let fold = entry.state.fold();
    let in_force = fold.layouts().layout();
    let unmet = |document| compute_layout(&Guarantee::all_of(document), &fleet, in_force).unmet;
    let mut known = unmet(fold.document());
    let mut added = unmet(document);
    added.retain(|u| !take_same(&mut known, u));
    if added.is_empty() {
        return Ok(());
    }
    let views: Vec<UnmetView> = added.iter().map(view_unmet).collect();
    let detail = "guaranteed shapes do not fit the upstreams that are present";
    Err(Problem::new(422, "guarantees", detail).with_extra(json!({ "unmet": views })))
}

/// Takes one shape of the same account out of a list; `false` when there is none.
fn take_same(
    known: &mut Vec<UnmetShape>,
    unmet: &UnmetShape,
) -> bool {
    let same = |k: &UnmetShape| k.account == unmet.account && k.shape == unmet.shape;
    let at = known.iter().position(same);
    at.map(|i| known.remove(i)).is_some()
}

fn view_laid(
    entry: &Entry,
    laid: &PlacedShape,
) -> LaidView {
    let members = entry.members.borrow();
    let views = laid.members.iter().map(|member| {
        let announced = members.get(&member.upstream);
        let kept =
            announced.is_some_and(|a| a.guaranteed_to(&laid.account).contains(member.accelerators));
        MemberView {
            upstream: member.upstream.clone(),
            accelerators: member.accelerators.indexes().collect(),
            kept,
        }
    });
    LaidView {
        account: laid.account.clone(),
        shape: laid.shape.to_string(),
        members: views.collect(),
    }
}

fn view_unmet(unmet: &UnmetShape) -> UnmetView {
    UnmetView {
        account: unmet.account.clone(),
        shape: unmet.shape.to_string(),
        reason: unmet.reason.to_string(),
    }
}
