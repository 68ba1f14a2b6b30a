//! Random fleets and guarantees, checked against a search over all ways to lay them.

use {
    crate::fuzz::runner,
    limpetquay::{
        prelude::*,
        version::{
            Adjacency, Fleet, FleetWorker, Guarantee, LaidMember, LaidShape, Layout, Shape,
            UnmetReason, lay_out,
        },
    },
    proptest::prelude::*,
};

const CASES: u32 = 1_500;

/// Returns small fleets: up to five workers in two regions.
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
                plain_tasks: 0,
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

/// Tells whether members stand as near to each other as a shape asks.
fn are_adjacent(
    fleet: &Fleet,
    adjacency: Adjacency,
    members: &[usize],
) -> bool {
    let mut groups = fleet.groups(adjacency).iter();
    groups.any(|g| members.iter().all(|m| g.contains(m)))
}

/// Tells whether all guarantees can be laid at once, by trying every way.
fn can_lay_all(
    fleet: &Fleet,
    guarantees: &[Guarantee],
    free: &mut Vec<u32>,
) -> bool {
    let Some((first, rest)) = guarantees.split_first() else {
        return true;
    };
    can_lay_members(fleet, &first.shape, rest, free, &mut Vec::new())
}

fn can_lay_members(
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
        return can_lay_all(fleet, rest, free);
    }
    for i in members.last().copied().unwrap_or_default()..free.len() {
        if free[i] < shape.accelerators {
            continue;
        }
        free[i] -= shape.accelerators;
        members.push(i);
        let fits = can_lay_members(fleet, shape, rest, free, members);
        members.pop();
        free[i] += shape.accelerators;
        if fits {
            return true;
        }
    }
    false
}

fn sizes(fleet: &Fleet) -> Vec<u32> {
    let workers = fleet.workers().iter();
    workers.map(|w| w.accelerators.len()).collect()
}

/// Checks what holds for every layout.
fn check_layout(
    fleet: &Fleet,
    guarantees: &[Guarantee],
    layout: &Layout,
) {
    assert_eq!(layout.shapes.len() + layout.unmet.len(), guarantees.len());
    let mut free: Vec<AcceleratorSet> = fleet.workers().iter().map(|w| w.accelerators).collect();
    for laid in &layout.shapes {
        assert_eq!(laid.members.len() as u32, laid.shape.members);
        let mut indexes = Vec::new();
        for member in &laid.members {
            let i = fleet.index_of(&member.upstream).expect("a known worker");
            assert!(
                free[i].contains(member.accelerators),
                "held twice: {layout:?}"
            );
            assert_eq!(member.accelerators.len(), laid.shape.accelerators);
            free[i] = free[i].without(member.accelerators);
            indexes.push(i);
        }
        assert!(
            are_adjacent(fleet, laid.shape.adjacency, &indexes),
            "{laid:?}"
        );
    }
}

/// No accelerator is given out twice, every shape is as near as it asks, all shapes are laid
/// whenever that is possible, and a reason that blames the fleet is right.
#[test]
fn layouts_are_sound_and_complete() {
    let strategy = (any_fleet(), any_guarantees());
    let result = runner(CASES).run(&strategy, |(fleet, guarantees)| {
        let layout = lay_out(&guarantees, &fleet, &Layout::default());
        check_layout(&fleet, &guarantees, &layout);
        let possible = can_lay_all(&fleet, &guarantees, &mut sizes(&fleet));
        prop_assert_eq!(layout.unmet.is_empty(), possible);
        for unmet in &layout.unmet {
            let alone = Guarantee {
                account: unmet.account.clone(),
                shape: unmet.shape,
            };
            let alone = can_lay_all(&fleet, &[alone], &mut sizes(&fleet));
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

/// Returns the members that two layouts have in common.
fn members(layout: &Layout) -> Vec<LaidMember> {
    let members = layout.shapes.iter().flat_map(|s| s.members.clone());
    members.collect()
}

/// When a worker is lost, shapes elsewhere stay where they are if the lost ones can be laid beside
/// them in any way; when it returns, no less is laid than before.
#[test]
fn layouts_are_stable() {
    let strategy = (any_fleet(), any_guarantees(), 0_usize..6);
    let result = runner(CASES).run(&strategy, |(fleet, guarantees, lost)| {
        let before = lay_out(&guarantees, &fleet, &Layout::default());
        let left = fleet.workers().iter().enumerate();
        let left: Vec<FleetWorker> = left
            .filter(|(i, _)| *i != lost)
            .map(|(_, w)| w.clone())
            .collect();
        let left = Fleet::new(left);
        let during = lay_out(&guarantees, &left, &before);
        check_layout(&left, &guarantees, &during);
        prop_assert_eq!(&lay_out(&guarantees, &left, &during), &during);
        let again = lay_out(&guarantees, &fleet, &during);
        check_layout(&fleet, &guarantees, &again);
        prop_assert!(again.laid_accelerators() >= during.laid_accelerators());
        if can_stay(&before, &guarantees, &left) {
            prop_assert!(during.unmet.is_empty());
            let moved = moved_needlessly(&before, &during, &left);
            prop_assert_eq!(moved, 0, "{:?} {:?}", before, during);
        }
        Ok(())
    });
    result.expect("every case holds");
}

/// Tells whether a shape of a layout stands wholly on workers that are left.
fn is_whole(
    shape: &LaidShape,
    left: &Fleet,
) -> bool {
    let mut members = shape.members.iter();
    members.all(|m| left.index_of(&m.upstream).is_some())
}

/// Tells whether all guarantees can be met without moving a shape whose workers are left.
fn can_stay(
    before: &Layout,
    guarantees: &[Guarantee],
    left: &Fleet,
) -> bool {
    let mut free = sizes(left);
    let mut missing = guarantees.to_vec();
    for shape in before.shapes.iter().filter(|s| is_whole(s, left)) {
        let guarantee = Guarantee {
            account: shape.account.clone(),
            shape: shape.shape,
        };
        let at = missing.iter().position(|g| *g == guarantee);
        missing.remove(at.expect("a laid shape is guaranteed"));
        for member in &shape.members {
            free[left.index_of(&member.upstream).expect("it is left")] -= member.accelerators.len();
        }
    }
    can_lay_all(left, &missing, &mut free)
}

/// Counts the shapes that moved though none of their workers was lost.
fn moved_needlessly(
    before: &Layout,
    after: &Layout,
    left: &Fleet,
) -> usize {
    let whole = before.shapes.iter().filter(|s| is_whole(s, left));
    let after = members(after);
    whole
        .filter(|s| s.members.iter().any(|m| !after.contains(m)))
        .count()
}
