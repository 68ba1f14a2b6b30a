//! Computes a layout from the guarantees, the fleet and the previous layout.

use {
    super::{
        Fleet, Guarantee, Layout, PlacedMember, PlacedShape, UnmetShape,
        free_accelerators::FreeAccelerators, search::search_layout,
    },
    std::cmp::Reverse,
};

/// The placement of one guarantee while a layout is computed.
#[derive(Clone, Debug)]
struct GuaranteePlacement {
    guarantee: Guarantee,
    /// Whether all accelerators of the previous layout still exist.
    is_retained: bool,
    /// The members of the previous layout whose accelerators still exist.
    retained: Vec<PlacedMember>,
    placed: Option<PlacedShape>,
}

/// Computes a layout that places the guarantees on the fleet, the hardest first.
///
/// A shape of `previous` keeps its accelerators as long as its workers exist. Lost members are
/// placed close to the remaining ones where possible. If a shape does not fit, the shapes that are
/// not fully retained are rearranged first; only then are retained shapes moved, at first one at a
/// time, then all together. The searches are bounded, so a shape may stay unmet although a layout
/// with it exists.
///
/// The result depends on the arguments only.
pub fn compute_layout(
    guarantees: &[Guarantee],
    fleet: &Fleet,
    previous: &Layout,
) -> Layout {
    let mut free = FreeAccelerators::new(fleet);
    let mut placements = retain_previous(guarantees, &mut free, previous);
    place_missing(&mut placements, &mut free);
    let not_retained: Vec<usize> = (0..placements.len())
        .filter(|i| !placements[*i].is_retained)
        .collect();
    replan(&mut placements, &mut free, not_retained);
    move_one_shape(&mut placements, &mut free);
    let all = (0..placements.len()).collect();
    replan(&mut placements, &mut free, all);
    into_layout(placements, &free)
}

/// Allocates to each guarantee the accelerators that it has in the previous layout, as far as they
/// still exist.
fn retain_previous(
    guarantees: &[Guarantee],
    free: &mut FreeAccelerators<'_>,
    previous: &Layout,
) -> Vec<GuaranteePlacement> {
    let mut previous_shapes: Vec<Option<&PlacedShape>> = previous.shapes.iter().map(Some).collect();
    let placements = guarantees.iter().map(|guarantee| {
        let is_same = |s: &&mut Option<&PlacedShape>| {
            s.is_some_and(|s| s.account == guarantee.account && s.shape == guarantee.shape)
        };
        let found = previous_shapes
            .iter_mut()
            .find(is_same)
            .and_then(Option::take);
        let members = found.map(|s| s.members.clone()).unwrap_or_default();
        let retained: Vec<PlacedMember> =
            members.into_iter().filter(|m| free.allocate(m)).collect();
        let is_retained = retained.len() as u32 == guarantee.shape.members;
        let placed = is_retained.then(|| free.allocate_members(guarantee, &retained, Vec::new()));
        GuaranteePlacement {
            guarantee: guarantee.clone(),
            is_retained,
            retained,
            placed,
        }
    });
    placements.collect()
}

/// Places the missing members, of the hardest shapes first. Where they do not fit together with the
/// retained members of their shape, these are released and the whole shape is placed elsewhere.
fn place_missing(
    placements: &mut [GuaranteePlacement],
    free: &mut FreeAccelerators<'_>,
) {
    for i in hardest_first(placements) {
        let placement = &mut placements[i];
        if placement.placed.is_none() && !placement.retained.is_empty() {
            placement.placed = free.place(&placement.guarantee, &placement.retained);
            if placement.placed.is_none() {
                free.release(&placement.retained);
                placement.retained.clear();
            }
        }
    }
    for i in hardest_first(placements) {
        let placement = &mut placements[i];
        if placement.placed.is_none() {
            placement.placed = free.place(&placement.guarantee, &[]);
        }
    }
}

/// Places each missing shape for which moving a single other shape frees enough accelerators. The
/// smallest other shapes are tried first.
fn move_one_shape(
    placements: &mut [GuaranteePlacement],
    free: &mut FreeAccelerators<'_>,
) {
    let mut order = hardest_first(placements);
    for i in order.clone() {
        if placements[i].placed.is_some() {
            continue;
        }
        order.sort_by_key(|j| placements[*j].guarantee.shape.total_accelerators());
        for j in &order {
            if try_move_shape(placements, free, i, *j) {
                break;
            }
        }
    }
}

/// Places shape `i` while the accelerators of shape `j` are released, then places `j` again.
/// Returns `false` and changes nothing if the two do not fit.
fn try_move_shape(
    placements: &mut [GuaranteePlacement],
    free: &mut FreeAccelerators<'_>,
    i: usize,
    j: usize,
) -> bool {
    let Some(moved) = &placements[j].placed else {
        return false;
    };
    let mut trial = free.clone();
    trial.release(&moved.members);
    let Some(first) = trial.place(&placements[i].guarantee, &[]) else {
        return false;
    };
    let Some(second) = trial.place(&placements[j].guarantee, &[]) else {
        return false;
    };
    placements[i].placed = Some(first);
    placements[j].placed = Some(second);
    *free = trial;
    true
}

/// Searches for another placement of the selected guarantees if a shape is missing, and applies it
/// if it places more accelerators than the current one.
fn replan(
    placements: &mut [GuaranteePlacement],
    free: &mut FreeAccelerators<'_>,
    selected: Vec<usize>,
) {
    if placements.iter().all(|p| p.placed.is_some()) {
        return;
    }
    let order = hardest_first(placements);
    let order: Vec<usize> = order.into_iter().filter(|i| selected.contains(i)).collect();
    let mut trial = free.clone();
    for placed in order.iter().filter_map(|i| placements[*i].placed.as_ref()) {
        trial.release(&placed.members);
    }
    let guarantees: Vec<Guarantee> = order
        .iter()
        .map(|i| placements[*i].guarantee.clone())
        .collect();
    let found = search_layout(&trial, &guarantees);
    let placed = order
        .iter()
        .map(|i| placements[*i].placed.clone())
        .collect::<Vec<_>>();
    if total_accelerators(&found) <= total_accelerators(&placed) {
        return;
    }
    for (i, placed) in order.into_iter().zip(found) {
        for member in placed.iter().flat_map(|s| &s.members) {
            trial.allocate(member);
        }
        placements[i].placed = placed;
    }
    *free = trial;
}

/// Returns the number of accelerators of the placed shapes.
fn total_accelerators(shapes: &[Option<PlacedShape>]) -> u32 {
    shapes
        .iter()
        .flatten()
        .map(|s| s.shape.total_accelerators())
        .sum()
}

/// Returns the indexes of the guarantees, the hardest to place first: those with the narrowest
/// adjacency, then those with the most accelerators per member, then those with the most members.
fn hardest_first(placements: &[GuaranteePlacement]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..placements.len()).collect();
    order.sort_by_key(|i| {
        let shape = placements[*i].guarantee.shape;
        (
            shape.adjacency,
            Reverse(shape.accelerators),
            Reverse(shape.members),
            *i,
        )
    });
    order
}

/// Assembles the layout, with the reason for each shape that is unmet.
fn into_layout(
    placements: Vec<GuaranteePlacement>,
    free: &FreeAccelerators<'_>,
) -> Layout {
    let mut layout = Layout::default();
    for placement in placements {
        match placement.placed {
            Some(placed) => layout.shapes.push(placed),
            None => layout.unmet.push(UnmetShape {
                reason: free.unmet_reason(&placement.guarantee.shape),
                account: placement.guarantee.account,
                shape: placement.guarantee.shape,
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
