//! The layout of guaranteed shapes, and the check of new documents against the fleet.

use {
    crate::{
        connection::{HttpResponse, Problem},
        prelude::*,
        process::entry::Entry,
        version::{Guarantee, PlacedShape, UnmetShape, compute_layout},
    },
    serde::Serialize,
    serde_json::json,
};

/// The JSON representation of a guaranteed shape that is placed.
#[derive(Debug, Serialize)]
struct PlacedView {
    account: AccountName,
    shape: String,
    members: Vec<MemberView>,
}

/// The JSON representation of one member's accelerators.
#[derive(Debug, Serialize)]
struct MemberView {
    upstream: UpstreamName,
    accelerators: Vec<u32>,
    /// Whether the worker's guard announces these accelerators as guaranteed to the account.
    #[serde(rename = "kept")]
    is_announced: bool,
}

/// The JSON representation of a guaranteed shape that is not placed.
#[derive(Debug, Serialize)]
struct UnmetView {
    account: AccountName,
    shape: String,
    reason: String,
}

/// Lists the guaranteed shapes in the current layout, placed and unmet.
pub(super) fn list_guarantees(entry: &Entry) -> HttpResponse {
    let fold = entry.state.fold();
    let layouts = fold.layouts();
    let placed = layouts
        .layout()
        .shapes
        .iter()
        .map(|s| view_placed(entry, s));
    let unmet = layouts.layout().unmet.iter().map(view_unmet);
    let body = json!({
        "layout": layouts.number(),
        "version": layouts.version(),
        "laid": placed.collect::<Vec<PlacedView>>(),
        "unmet": unmet.collect::<Vec<UnmetView>>(),
    });
    HttpResponse::json(200, &body)
}

/// Rejects a document with a guaranteed shape that cannot be placed on the present upstreams,
/// unless the same shape is already unmet for the document in force. Accepts every document while
/// no upstream is present.
///
/// # Errors
/// Returns the problem to answer with, which lists the additional unmet shapes.
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
    let mut already_unmet = unmet(fold.document());
    let mut added = unmet(document);
    added.retain(|u| !remove_same_shape(&mut already_unmet, u));
    if added.is_empty() {
        return Ok(());
    }
    let views: Vec<UnmetView> = added.iter().map(view_unmet).collect();
    let detail = "guaranteed shapes do not fit the upstreams that are present";
    Err(Problem::new(422, "guarantees", detail).with_extensions(json!({ "unmet": views })))
}

/// Removes one equal shape of the same account from a list and returns whether there was one.
fn remove_same_shape(
    already_unmet: &mut Vec<UnmetShape>,
    unmet: &UnmetShape,
) -> bool {
    let same = |k: &UnmetShape| k.account == unmet.account && k.shape == unmet.shape;
    let index = already_unmet.iter().position(same);
    index.map(|i| already_unmet.remove(i)).is_some()
}

fn view_placed(
    entry: &Entry,
    placed: &PlacedShape,
) -> PlacedView {
    let members = entry.members.borrow();
    let views = placed.members.iter().map(|member| {
        let announced = members.get(&member.upstream);
        let is_announced = announced.is_some_and(|a| {
            a.guaranteed_to(&placed.account)
                .contains(member.accelerators)
        });
        MemberView {
            upstream: member.upstream.clone(),
            accelerators: member.accelerators.indexes().collect(),
            is_announced,
        }
    });
    PlacedView {
        account: placed.account.clone(),
        shape: placed.shape.to_string(),
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
