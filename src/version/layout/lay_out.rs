//! Lays guaranteed shapes on concrete accelerators.

use {
    super::{
        Fleet, Guarantee, LaidMember, LaidShape, Layout, UnmetShape, ground::Ground,
        search::search_layout,
    },
    std::cmp::Reverse,
};

/// One guarantee on its way to being laid.
#[derive(Clone, Debug)]
struct Draft {
    guarantee: Guarantee,
    /// Whether the previous layout's accelerators are all still there.
    settled: bool,
    kept: Vec<LaidMember>,
    laid: Option<LaidShape>,
}

/// Lays every guarantee that fits, the hardest first. What `previous` laid stays where it is as
/// long as its workers are there; the members that are lost are laid near the ones that are left.
/// Only when a shape does not fit in any way beside the shapes that stay, other shapes are moved:
/// first one at a time, then all of them.
/// The same arguments give the same layout.
pub fn lay_out(
    guarantees: &[Guarantee],
    fleet: &Fleet,
    previous: &Layout,
) -> Layout {
    let mut ground = Ground::new(fleet);
    let mut drafts = keep_previous(guarantees, &mut ground, previous);
    lay_missing(&mut drafts, &mut ground);
    let unsettled: Vec<usize> = (0..drafts.len()).filter(|i| !drafts[*i].settled).collect();
    lay_again(&mut drafts, &mut ground, unsettled);
    move_one(&mut drafts, &mut ground);
    let all = (0..drafts.len()).collect();
    lay_again(&mut drafts, &mut ground, all);
    finish(drafts, &ground)
}

/// Claims what the previous layout gave each guarantee, as far as it is still there.
fn keep_previous(
    guarantees: &[Guarantee],
    ground: &mut Ground<'_>,
    previous: &Layout,
) -> Vec<Draft> {
    let mut earlier: Vec<Option<&LaidShape>> = previous.shapes.iter().map(Some).collect();
    let drafts = guarantees.iter().map(|guarantee| {
        let same = |s: &&mut Option<&LaidShape>| {
            s.is_some_and(|s| s.account == guarantee.account && s.shape == guarantee.shape)
        };
        let found = earlier.iter_mut().find(same).and_then(Option::take);
        let members = found.map(|s| s.members.clone()).unwrap_or_default();
        let kept: Vec<LaidMember> = members.into_iter().filter(|m| ground.claim(m)).collect();
        let whole = kept.len() as u32 == guarantee.shape.members;
        let laid = whole.then(|| ground.take(guarantee, &kept, Vec::new()));
        Draft {
            guarantee: guarantee.clone(),
            settled: whole,
            kept,
            laid,
        }
    });
    drafts.collect()
}

/// Lays what is missing, the hardest first, near the members that are left where that fits.
fn lay_missing(
    drafts: &mut [Draft],
    ground: &mut Ground<'_>,
) {
    for i in hardest_first(drafts) {
        let draft = &mut drafts[i];
        if draft.laid.is_none() && !draft.kept.is_empty() {
            draft.laid = ground.lay(&draft.guarantee, &draft.kept);
            if draft.laid.is_none() {
                ground.give_back(&draft.kept);
                draft.kept.clear();
            }
        }
    }
    for i in hardest_first(drafts) {
        let draft = &mut drafts[i];
        if draft.laid.is_none() {
            draft.laid = ground.lay(&draft.guarantee, &[]);
        }
    }
}

/// Makes room for each shape that does not fit by moving one other shape, the smallest first.
fn move_one(
    drafts: &mut [Draft],
    ground: &mut Ground<'_>,
) {
    let mut order = hardest_first(drafts);
    for i in order.clone() {
        if drafts[i].laid.is_some() {
            continue;
        }
        order.sort_by_key(|j| drafts[*j].guarantee.shape.total());
        for j in &order {
            if try_move(drafts, ground, i, *j) {
                break;
            }
        }
    }
}

/// Lays shape `i` where shape `j` was and moves that one; changes nothing when that does not fit.
fn try_move(
    drafts: &mut [Draft],
    ground: &mut Ground<'_>,
    i: usize,
    j: usize,
) -> bool {
    let Some(moved) = &drafts[j].laid else {
        return false;
    };
    let mut trial = ground.clone();
    trial.give_back(&moved.members);
    let Some(first) = trial.lay(&drafts[i].guarantee, &[]) else {
        return false;
    };
    let Some(second) = trial.lay(&drafts[j].guarantee, &[]) else {
        return false;
    };
    drafts[i].laid = Some(first);
    drafts[j].laid = Some(second);
    *ground = trial;
    true
}

/// When a shape is still missing, searches for a way to lay some of the drafts, and takes it when
/// it holds more accelerators than what is laid now.
fn lay_again(
    drafts: &mut [Draft],
    ground: &mut Ground<'_>,
    some: Vec<usize>,
) {
    if drafts.iter().all(|d| d.laid.is_some()) {
        return;
    }
    let order = hardest_first(drafts);
    let order: Vec<usize> = order.into_iter().filter(|i| some.contains(i)).collect();
    let mut trial = ground.clone();
    for laid in order.iter().filter_map(|i| drafts[*i].laid.as_ref()) {
        trial.give_back(&laid.members);
    }
    let guarantees: Vec<Guarantee> = order.iter().map(|i| drafts[*i].guarantee.clone()).collect();
    let found = search_layout(&trial, &guarantees);
    let laid = order
        .iter()
        .map(|i| drafts[*i].laid.clone())
        .collect::<Vec<_>>();
    if total(&found) <= total(&laid) {
        return;
    }
    for (i, laid) in order.into_iter().zip(found) {
        for member in laid.iter().flat_map(|l| &l.members) {
            trial.claim(member);
        }
        drafts[i].laid = laid;
    }
    *ground = trial;
}

/// Returns the number of accelerators that shapes hold.
fn total(shapes: &[Option<LaidShape>]) -> u32 {
    shapes.iter().flatten().map(|s| s.shape.total()).sum()
}

/// Returns the drafts' indexes: near shapes before far ones, large members before small ones.
fn hardest_first(drafts: &[Draft]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..drafts.len()).collect();
    order.sort_by_key(|i| {
        let shape = drafts[*i].guarantee.shape;
        (
            shape.adjacency,
            Reverse(shape.accelerators),
            Reverse(shape.members),
            *i,
        )
    });
    order
}

fn finish(
    drafts: Vec<Draft>,
    ground: &Ground<'_>,
) -> Layout {
    let mut layout = Layout::default();
    for draft in drafts {
        match draft.laid {
            Some(laid) => layout.shapes.push(laid),
            None => layout.unmet.push(UnmetShape {
                reason: ground.reason(&draft.guarantee.shape),
                account: draft.guarantee.account,
                shape: draft.guarantee.shape,
            }),
        }
    }
    layout
        .shapes
        .sort_by(|a, b| (&a.account, a.shape).cmp(&(&b.account, b.shape)));
    layout
        .unmet
        .sort_by(|a, b| (&a.account, a.shape).cmp(&(&b.account, b.shape)));
    layout
}
