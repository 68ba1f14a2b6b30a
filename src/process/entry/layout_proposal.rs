//! Proposes layouts of guarantees.

use {
    super::{Entry, fleet_memory::LOSS_GRACE},
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            state::{LayoutRecord, RecordBody},
        },
        version::{Fleet, Guarantee, Layout, compute_layout},
    },
};

/// How often the document and the fleet are looked at for a change.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// How long the fleet has to be the same before a layout is proposed for it.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// What a layout is made of.
#[derive(Clone, Debug, Default, PartialEq)]
struct LayoutInputs {
    version: VersionNumber,
    follows: u64,
    fleet: Fleet,
}

/// Proposes a layout whenever the document or the fleet asks for another one, for ever. The live
/// entry with the lowest name proposes; when two do, the log takes one.
pub async fn propose_layouts(entry: Rc<Entry>) {
    let began = entry.clock.now();
    let mut seen = LayoutInputs::default();
    let mut since = began;
    let mut done = LayoutInputs::default();
    loop {
        let changed = entry.state.change_listener();
        let now = entry.clock.now();
        let inputs = look(&entry);
        if inputs != seen {
            let settles = inputs.fleet != seen.fleet;
            since = if settles { now } else { since };
            seen = inputs;
        }
        let settled = now.since(since) >= SETTLE_TIME;
        let due = settled && seen != done && is_proposer(&entry);
        if due && knows_all(&entry, &seen, began) && propose(&entry, &seen).await {
            done = seen.clone();
        }
        with_timeout(&*entry.clock, LOOK_INTERVAL, changed).await;
    }
}

/// Looks at the document, the layout in force and the fleet.
fn look(entry: &Entry) -> LayoutInputs {
    let now = entry.clock.now();
    let live = entry.members.borrow().live(now);
    let mut memory = entry.fleet.borrow_mut();
    memory.hear(now, &live);
    let fold = entry.state.fold();
    LayoutInputs {
        version: fold.version(),
        follows: fold.layouts().number(),
        fleet: memory.present(now),
    }
}

fn is_proposer(entry: &Entry) -> bool {
    let lowest = entry.live_entries().into_iter().min();
    lowest.is_none_or(|name| name == entry.settings.name)
}

/// Tells whether every upstream of the layout in force is known, or has had time to announce
/// itself since this entry began.
fn knows_all(
    entry: &Entry,
    inputs: &LayoutInputs,
    began: Millis,
) -> bool {
    let fold = entry.state.fold();
    let mut members = fold
        .layouts()
        .layout()
        .shapes
        .iter()
        .flat_map(|s| &s.members);
    let known = members.all(|m| inputs.fleet.index_of(&m.upstream).is_some());
    known || entry.clock.now().since(began) >= LOSS_GRACE
}

/// Proposes a layout when it differs from the one in force; `false` when the log did not take it.
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
        follows: inputs.follows,
        version: inputs.version,
        layout,
    });
    let recorded = entry.state.append(record).await;
    if let Err(e) = &recorded {
        tracing::warn!(error = %e, "a layout was not recorded; it is proposed again later");
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
        number = inputs.follows + 1,
        version = %inputs.version,
        workers = inputs.fleet.workers().len(),
        laid = layout.shapes.len(),
        unmet = %unmet.collect::<Vec<String>>().join("; "),
    );
}
