//! Which accelerators the guaranteed shapes get.

use limpetquay::{
    prelude::*,
    version::{Fleet, FleetWorker, Guarantee, Layout, lay_out},
};

/// Returns a fleet of two data centres with `racks` racks each and three workers to a rack.
pub fn fleet(
    racks: u32,
    accelerators: u32,
) -> Fleet {
    let mut workers = Vec::new();
    for data_centre in ["dc1", "dc2"] {
        for rack in 1..=racks {
            for i in 1..=3 {
                workers.push(FleetWorker {
                    upstream: format!("{data_centre}-r{rack}-w{i}").as_str().into(),
                    region: "north".into(),
                    data_centre: data_centre.into(),
                    rack: format!("r{rack}").as_str().into(),
                    accelerators: AcceleratorSet::first(accelerators),
                    plain_tasks: 0,
                });
            }
        }
    }
    Fleet::new(workers)
}

/// Returns the fleet without some of its workers.
fn without(
    fleet: &Fleet,
    lost: &str,
) -> Fleet {
    let workers = fleet.workers().iter();
    let left = workers.filter(|w| !w.upstream.as_str().starts_with(lost));
    Fleet::new(left.cloned().collect())
}

fn guarantees(lines: &[(&str, &str)]) -> Vec<Guarantee> {
    let guarantees = lines.iter().map(|(account, shape)| Guarantee {
        account: (*account).into(),
        shape: shape.parse().expect("a shape"),
    });
    guarantees.collect()
}

fn lines(layout: &Layout) -> Vec<String> {
    let laid = layout.shapes.iter().map(|s| {
        let members = s.members.iter();
        let members = members.map(|m| format!("{}:{:?}", m.upstream, m.accelerators));
        let members: Vec<String> = members.collect();
        format!("{} {} on {}", s.account, s.shape, members.join(" "))
    });
    let unmet = layout.unmet.iter();
    let unmet = unmet.map(|u| format!("{} {} unmet: {}", u.account, u.shape, u.reason));
    laid.chain(unmet).collect()
}

/// Near shapes share a worker or a rack, and small ones fill what is left of a worker.
#[test]
fn shapes_are_laid_near() {
    let wanted = guarantees(&[
        ("a", "2x8 rack"),
        ("a", "2x4 data-centre"),
        ("b", "4x1 any"),
        ("c", "1x2 worker"),
    ]);
    let layout = lay_out(&wanted, &fleet(1, 8), &Layout::default());
    insta::assert_debug_snapshot!(lines(&layout));
}

/// When a worker is lost, only the member that was on it moves, and stays in its rack.
#[test]
fn only_lost_members_move() {
    let wanted = guarantees(&[("a", "2x4 rack"), ("b", "2x8 rack"), ("c", "4x1 any")]);
    let fleet = fleet(2, 8);
    let before = lay_out(&wanted, &fleet, &Layout::default());
    let lost = before.shapes[1].members[0].upstream.clone();
    let after = lay_out(&wanted, &without(&fleet, lost.as_str()), &before);
    insta::assert_debug_snapshot!((lines(&before), lost, lines(&after)));
}

/// The loss of a data centre leaves guarantees unmet, each with its reason; they come back with it.
#[test]
fn a_lost_data_centre_is_reported() {
    let wanted = guarantees(&[
        ("a", "2x8 rack"),
        ("b", "2x8 rack"),
        ("c", "4x8 data-centre"),
        ("d", "1x16 worker"),
    ]);
    let fleet = fleet(2, 8);
    let before = lay_out(&wanted, &fleet, &Layout::default());
    let during = lay_out(&wanted, &without(&fleet, "dc1"), &before);
    let after = lay_out(&wanted, &fleet, &during);
    let none = lay_out(&wanted, &Fleet::default(), &after);
    insta::assert_debug_snapshot!([before, during, after, none].map(|l| lines(&l)));
}

/// A shape that arrives later gets room when one other shape can move out of its way.
#[test]
fn one_shape_moves_for_a_new_one() {
    let pairs = without(&without(&fleet(1, 8), "dc1-r1-w3"), "dc2-r1-w3");
    let halves = without(&without(&pairs, "dc1-r1-w2"), "dc2-r1-w2");
    let singles = guarantees(&[("a", "1x8 any"), ("b", "1x8 any")]);
    let before = lay_out(&singles, &halves, &Layout::default());
    let wanted = guarantees(&[("a", "1x8 any"), ("b", "1x8 any"), ("c", "2x8 rack")]);
    let after = lay_out(&wanted, &pairs, &before);
    insta::assert_debug_snapshot!((lines(&before), lines(&after)));
}

fn small_fleet(sizes: &[(&str, u32)]) -> Fleet {
    let workers = sizes.iter().enumerate();
    let workers = workers.map(|(i, (data_centre, accelerators))| FleetWorker {
        upstream: format!("w{i}").as_str().into(),
        region: data_centre[..1].into(),
        data_centre: (*data_centre).into(),
        rack: "r1".into(),
        accelerators: AcceleratorSet::first(*accelerators),
        plain_tasks: 0,
    });
    Fleet::new(workers.collect())
}

/// Found by fuzzing (seed 7): packing the fullest workers first is not always enough, and another
/// choice of workers holds both shapes.
#[test]
fn another_choice_of_workers_is_found() {
    let fleet = small_fleet(&[("a0", 4), ("a1", 2), ("a1", 3), ("a1", 3), ("b0", 3)]);
    let wanted = guarantees(&[("a", "3x3 any"), ("a", "3x2 region")]);
    insta::assert_debug_snapshot!(lines(&lay_out(&wanted, &fleet, &Layout::default())));
}

/// Found by fuzzing (seed 8): with one of two equal shapes unmet, laying out again changes nothing.
#[test]
fn equal_shapes_keep_their_order() {
    let fleet = small_fleet(&[("a0", 2)]);
    let wanted = guarantees(&[
        ("b", "2x1 region"),
        ("a", "1x1 worker"),
        ("b", "2x1 region"),
    ]);
    let first = lay_out(
        &wanted,
        &small_fleet(&[("a0", 2), ("a1", 2)]),
        &Layout::default(),
    );
    let second = lay_out(&wanted, &fleet, &first);
    assert_eq!(lay_out(&wanted, &fleet, &second), second);
    insta::assert_debug_snapshot!(lines(&second));
}
