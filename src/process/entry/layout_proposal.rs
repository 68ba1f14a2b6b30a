//! Proposes a new layout of guarantees when the document or the fleet changes.

use {
    super::{Entry, fleet_history::LOSS_GRACE},
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            state::{LayoutRecord, RecordBody},
        },
        version::{Fleet, Guarantee, Layout, compute_layout},
    },
};

/// The interval between checks of the document and the fleet.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long the fleet must stay unchanged before a layout is proposed for it.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// The inputs from which a layout is computed.
#[derive(Clone, Debug, Default, PartialEq)]
struct LayoutInputs {
    version: VersionNumber,
    layout_number: u64,
    fleet: Fleet,
}

/// Proposes a layout when the document, the layout in force or the fleet changes; never returns.
/// The live entry with the lowest name proposes; of two concurrent proposals, the first one in the
/// log takes effect.
pub async fn propose_layouts(entry: Rc<Entry>) {
    let started_at = entry.clock.now();
    let mut seen = LayoutInputs::default();
    let mut fleet_unchanged_since = started_at;
    let mut proposed = LayoutInputs::default();
    loop {
        let changed = entry.state.change_listener();
        let now = entry.clock.now();
        let inputs = read_inputs(&entry);
        if inputs != seen {
            let fleet_changed = inputs.fleet != seen.fleet;
            fleet_unchanged_since = if fleet_changed {
                now
            } else {
                fleet_unchanged_since
            };
            seen = inputs;
        }
        let is_settled = now.since(fleet_unchanged_since) >= SETTLE_TIME;
        let is_due = is_settled && seen != proposed && is_proposer(&entry);
        if is_due && is_fleet_complete(&entry, &seen, started_at) && propose(&entry, &seen).await {
            proposed = seen.clone();
        }
        with_timeout(&*entry.clock, CHECK_INTERVAL, changed).await;
    }
}

/// Reads the document version, the number of the layout in force and the current fleet.
fn read_inputs(entry: &Entry) -> LayoutInputs {
    let now = entry.clock.now();
    let live = entry.members.borrow().live(now);
    let mut history = entry.fleet_history.borrow_mut();
    history.observe(now, &live);
    let fold = entry.state.fold();
    LayoutInputs {
        version: fold.version(),
        layout_number: fold.layouts().number(),
        fleet: history.current_fleet(now),
    }
}

fn is_proposer(entry: &Entry) -> bool {
    let lowest = entry.live_entry_names().into_iter().min();
    lowest.is_none_or(|name| name == entry.settings.name)
}

/// Returns whether every upstream of the layout in force is in the fleet, or has had
/// [`LOSS_GRACE`] to announce itself since this entry started.
fn is_fleet_complete(
    entry: &Entry,
    inputs: &LayoutInputs,
    started_at: Millis,
) -> bool {
    let fold = entry.state.fold();
    let mut members = fold
        .layouts()
        .layout()
        .shapes
        .iter()
        .flat_map(|s| &s.members);
    let known = members.all(|m| inputs.fleet.index_of(&m.upstream).is_some());
    known || entry.clock.now().since(started_at) >= LOSS_GRACE
}

/// Computes a layout and records it when it or its document version differs from the one in force.
/// Returns `false` when the append failed.
async fn propose(
    entry: &Entry,
    inputs: &LayoutInputs,
) -> bool {
    if inputs.version == VersionNumber::default() || inputs.fleet.workers().is_empty() {
        return true;
    }
    let document = entry.document();
    let in_force = entry.state.fold().layouts().layout().clone();
    let layout = compute_layout(&Guarantee::all_of(&document), &inputs.fleet, &in_force);
    let same_version = entry.state.fold().layouts().version() == inputs.version;
    if layout == *in_force && same_version {
        return true;
    }
    log_layout(inputs, &layout);
    let record = RecordBody::Layout(LayoutRecord {
        follows: inputs.layout_number,
        version: inputs.version,
        layout,
    });
    let recorded = entry.state.append(record).await;
    if let Err(e) = &recorded {
        tracing::warn!(error = %e, "failed to record a layout; proposing it again later");
    }
    recorded.is_ok()
}

fn log_layout(
    inputs: &LayoutInputs,
    layout: &Layout,
) {
    let unmet = layout.unmet.iter();
    let unmet = unmet.map(|u| format!("{} {}: {}", u.account, u.shape, u.reason));
    tracing::info!(
        target: "decision",
        decision = "layout",
        number = inputs.layout_number + 1,
        version = %inputs.version,
        workers = inputs.fleet.workers().len(),
        laid = layout.shapes.len(),
        unmet = %unmet.collect::<Vec<String>>().join("; "),
    );
}
