//! Layouts of random fleets and guarantees, checked against an exhaustive search.

use {
    crate::fuzz::runner,
    limpetquay::{
        prelude::*,
        version::{
            Adjacency, Fleet, FleetWorker, Guarantee, Layout, PlacedMember, PlacedShape, Shape,
            UnmetReason, compute_layout,
        },
    },
    proptest::prelude::*,
};

const CASES: u32 = 1_500;

/// Generates fleets of up to five workers in two regions.
fn any_fleet() -> impl Strategy<Value = Fleet> {
    let worker = (0_u32..2, 0_u32..2, 0_u32..2, 1_u32..5);
    prop::collection::vec(worker, 0..6).prop_map(|workers| {
        let workers = workers.into_iter().enumerate();
        let workers = workers.map(
            |(i, (region, data_centre, rack, accelerators))| FleetWorker {
                upstream: format!("w{i}").as_str().into(),
                region: format!("region{region}").as_str().into(),
                data_centre: format!("dc{region}{data_centre}").as_str().into(),
                rack: format!("rack{rack}").as_str().into(),
                accelerators: AcceleratorSet::first(accelerators),
                max_plain_tasks: 0,
            },
        );
        Fleet::new(workers.collect())
    })
}

fn any_guarantees() -> impl Strategy<Value = Vec<Guarantee>> {
    let adjacency = prop::sample::select(Adjacency::ALL.to_vec());
    let guarantee = (0_u32..3, 1_u32..4, 1_u32..4, adjacency);
    prop::collection::vec(guarantee, 0..5).prop_map(|guarantees| {
        let guarantees = guarantees.into_iter();
        let guarantees = guarantees.map(|(account, members, accelerators, adjacency)| Guarantee {
            account: format!("account{account}").as_str().into(),
            shape: Shape {
                members,
                accelerators,
                adjacency,
            },
        });
        guarantees.collect()
    })
}

/// Returns whether the workers of the members satisfy an adjacency.
fn are_adjacent(
    fleet: &Fleet,
    adjacency: Adjacency,
    members: &[usize],
) -> bool {
    let mut groups = fleet.groups(adjacency).iter();
    groups.any(|g| members.iter().all(|m| g.contains(m)))
}

/// Returns whether all guarantees can be placed at once, by exhaustive search.
fn can_place_all(
    fleet: &Fleet,
    guarantees: &[Guarantee],
    free: &mut Vec<u32>,
) -> bool {
    let Some((first, rest)) = guarantees.split_first() else {
        return true;
    };
    can_place_members(fleet, &first.shape, rest, free, &mut Vec::new())
}

/// Returns whether the missing members of a shape and then the `rest` can be placed.
fn can_place_members(
    fleet: &Fleet,
    shape: &Shape,
    rest: &[Guarantee],
    free: &mut Vec<u32>,
    members: &mut Vec<usize>,
) -> bool {
    if !are_adjacent(fleet, shape.adjacency, members) && !members.is_empty() {
        return false;
    }
    if members.len() as u32 == shape.members {
        return can_place_all(fleet, rest, free);
    }
    for i in members.last().copied().unwrap_or_default()..free.len() {
        if free[i] < shape.accelerators {
            continue;
        }
        free[i] -= shape.accelerators;
        members.push(i);
        let fits = can_place_members(fleet, shape, rest, free, members);
        members.pop();
        free[i] += shape.accelerators;
        if fits {
            return true;
        }
    }
    false
}

/// Returns the number of accelerators of each worker.
fn accelerator_counts(fleet: &Fleet) -> Vec<u32> {
    let workers = fleet.workers().iter();
    workers.map(|w| w.accelerators.len()).collect()
}

/// Checks the invariants of every layout: no accelerator is assigned twice, and every shape is
/// complete and satisfies its adjacency.
fn check_layout(
    fleet: &Fleet,
    guarantees: &[Guarantee],
    layout: &Layout,
) {
    assert_eq!(layout.shapes.len() + layout.unmet.len(), guarantees.len());
    let mut free: Vec<AcceleratorSet> = fleet.workers().iter().map(|w| w.accelerators).collect();
    for placed in &layout.shapes {
        assert_eq!(placed.members.len() as u32, placed.shape.members);
        let mut indexes = Vec::new();
        for member in &placed.members {
            let i = fleet.index_of(&member.upstream).expect("a known worker");
            assert!(
                free[i].contains(member.accelerators),
                "assigned twice: {layout:?}"
            );
            assert_eq!(member.accelerators.len(), placed.shape.accelerators);
            free[i] = free[i].without(member.accelerators);
            indexes.push(i);
        }
        assert!(
            are_adjacent(fleet, placed.shape.adjacency, &indexes),
            "{placed:?}"
        );
    }
}

/// Every layout satisfies the invariants, all shapes are placed whenever that is possible, and a
/// shape is reported as too large for the fleet exactly if it does not fit even alone.
#[test]
fn layouts_are_sound_and_complete() {
    let strategy = (any_fleet(), any_guarantees());
    let result = runner(CASES).run(&strategy, |(fleet, guarantees)| {
        let layout = compute_layout(&guarantees, &fleet, &Layout::default());
        check_layout(&fleet, &guarantees, &layout);
        let possible = can_place_all(&fleet, &guarantees, &mut accelerator_counts(&fleet));
        prop_assert_eq!(layout.unmet.is_empty(), possible);
        for unmet in &layout.unmet {
            let alone = Guarantee {
                account: unmet.account.clone(),
                shape: unmet.shape,
            };
            let alone = can_place_all(&fleet, &[alone], &mut accelerator_counts(&fleet));
            let blames_fleet = matches!(
                unmet.reason,
                UnmetReason::NoUpstreams
                    | UnmetReason::NoWorkerLargeEnough { .. }
                    | UnmetReason::NoGroupLargeEnough { .. }
            );
            prop_assert_eq!(blames_fleet, !alone);
        }
        Ok(())
    });
    result.expect("every case holds");
}

/// Returns the members of all placed shapes of a layout.
fn members(layout: &Layout) -> Vec<PlacedMember> {
    let members = layout.shapes.iter().flat_map(|s| s.members.clone());
    members.collect()
}

/// After the loss of a worker, the shapes on other workers keep their accelerators if the affected
/// shapes can be placed without moving them. After its return, no fewer accelerators are placed than
/// before. Computing a layout again does not change it.
#[test]
fn layouts_are_stable() {
    let strategy = (any_fleet(), any_guarantees(), 0_usize..6);
    let result = runner(CASES).run(&strategy, |(fleet, guarantees, lost)| {
        let before = compute_layout(&guarantees, &fleet, &Layout::default());
        let remaining = fleet.workers().iter().enumerate();
        let remaining: Vec<FleetWorker> = remaining
            .filter(|(i, _)| *i != lost)
            .map(|(_, w)| w.clone())
            .collect();
        let remaining = Fleet::new(remaining);
        let during = compute_layout(&guarantees, &remaining, &before);
        check_layout(&remaining, &guarantees, &during);
        prop_assert_eq!(&compute_layout(&guarantees, &remaining, &during), &during);
        let again = compute_layout(&guarantees, &fleet, &during);
        check_layout(&fleet, &guarantees, &again);
        prop_assert!(again.placed_accelerators() >= during.placed_accelerators());
        if can_stay_in_place(&before, &guarantees, &remaining) {
            prop_assert!(during.unmet.is_empty());
            let moved = count_needless_moves(&before, &during, &remaining);
            prop_assert_eq!(moved, 0, "{:?} {:?}", before, during);
        }
        Ok(())
    });
    result.expect("every case holds");
}

/// Returns whether all workers of a shape are in the remaining fleet.
fn is_unaffected(
    shape: &PlacedShape,
    remaining: &Fleet,
) -> bool {
    let mut members = shape.members.iter();
    members.all(|m| remaining.index_of(&m.upstream).is_some())
}

/// Returns whether all guarantees can be met without moving a shape whose workers all remain.
fn can_stay_in_place(
    before: &Layout,
    guarantees: &[Guarantee],
    remaining: &Fleet,
) -> bool {
    let mut free = accelerator_counts(remaining);
    let mut missing = guarantees.to_vec();
    for shape in before.shapes.iter().filter(|s| is_unaffected(s, remaining)) {
        let guarantee = Guarantee {
            account: shape.account.clone(),
            shape: shape.shape,
        };
        let at = missing.iter().position(|g| *g == guarantee);
        missing.remove(at.expect("a placed shape is guaranteed"));
        for member in &shape.members {
            free[remaining
                .index_of(&member.upstream)
                .expect("a remaining worker")] -= member.accelerators.len();
        }
    }
    can_place_all(remaining, &missing, &mut free)
}

/// Returns the number of shapes that moved although none of their workers was lost.
fn count_needless_moves(
    before: &Layout,
    after: &Layout,
    remaining: &Fleet,
) -> usize {
    let unaffected = before.shapes.iter().filter(|s| is_unaffected(s, remaining));
    let after = members(after);
    unaffected
        .filter(|s| s.members.iter().any(|m| !after.contains(m)))
        .count()
}
