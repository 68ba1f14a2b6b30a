//! Tests of gangs whose members hold no accelerators.

use limpetquay::{
    connection::{EvictionMode, GangId, GangWork, ReserveCall},
    prelude::*,
    process::{guard::AcceleratorAllocator, platform::Term},
    request::{
        FleetView, GangPlacementRequest, PlacementPolicy, ShapeMix, WeighedPlacement,
        WorkerCapacity,
    },
    version::{Adjacency, Class, Fleet, FleetWorker, Shape},
};

/// The maximum number of tasks without accelerators that each test worker runs at once.
const PLAIN_TASKS: u32 = 4;

fn reserve(
    job: u64,
    members: u32,
    accelerators: u32,
) -> ReserveCall {
    ReserveCall {
        gang: GangId {
            job: JobId(job),
            term: Term {
                ownership: 1,
                start: 1,
            },
        },
        account: "account".into(),
        members: (0..members).collect(),
        accelerators_per_member: accelerators,
        eviction: EvictionMode::Never,
        lifetime_ms: 1_000,
        work: GangWork {
            kind: "kind".into(),
            payload: Bytes::new(),
            progress_ms: 0,
            declared_run_ms: 1_000,
        },
    }
}

/// The allocator reserves no more tasks without accelerators than the worker may run, and such
/// tasks leave the accelerators free for others.
#[test]
fn a_guard_limits_tasks_without_accelerators() {
    let mut allocator = AcceleratorAllocator::new(AcceleratorSet::first(2), PLAIN_TASKS, Millis(0));
    let now = Millis(0);
    let until = Millis(1_000);
    let mut seen = Vec::new();
    for (job, members, accelerators) in [(1, 3, 0), (2, 2, 0), (3, 1, 0), (4, 1, 2), (5, 1, 0)] {
        let reservation = allocator.reserve(now, &reserve(job, members, accelerators), until);
        let reservation = reservation.map(|c| c.accelerators.len());
        seen.push(format!(
            "{members}x{accelerators}: {reservation:?}, {} left",
            allocator.free_plain_tasks(now)
        ));
    }
    allocator.release(reserve(1, 3, 0).gang);
    seen.push(format!(
        "after a release: {} left",
        allocator.free_plain_tasks(now)
    ));
    insta::assert_debug_snapshot!(seen);
}

fn view(free_plain_tasks: [u32; 3]) -> FleetView {
    let workers = (0..3).map(|i| FleetWorker {
        upstream: format!("w{i}").as_str().into(),
        region: "north".into(),
        data_centre: "n1".into(),
        rack: format!("r{}", i / 2).as_str().into(),
        accelerators: AcceleratorSet::empty(),
        max_plain_tasks: PLAIN_TASKS,
    });
    let capacities = free_plain_tasks.map(|free_plain_tasks| WorkerCapacity {
        free_plain_tasks,
        ..WorkerCapacity::default()
    });
    FleetView {
        fleet: Rc::new(Fleet::new(workers.collect())),
        capacities: capacities.to_vec(),
    }
}

fn place(
    members: u32,
    adjacency: Adjacency,
    free_plain_tasks: [u32; 3],
) -> String {
    let request = GangPlacementRequest {
        account: "account".into(),
        gang: Shape {
            members,
            accelerators: 0,
            adjacency,
        },
        class: Class::Normal,
        evictable: false,
        wait_ratio: 0.0,
        may_hold_back: false,
        completion_weight: 0.5,
        fragmentation_weight: 0.5,
        mix: Rc::new(ShapeMix::default()),
    };
    let decision = WeighedPlacement.place(&request, &view(free_plain_tasks));
    let members: Vec<&str> = decision.members.iter().map(UpstreamName::as_str).collect();
    members.join(" ")
}

/// Members are placed on workers with free capacity within the requested adjacency; otherwise the
/// gang is not placed at all.
#[test]
fn tasks_without_accelerators_are_placed_where_there_is_capacity() {
    insta::assert_debug_snapshot!([
        place(3, Adjacency::Any, [4, 4, 4]),
        place(6, Adjacency::Any, [4, 4, 4]),
        place(5, Adjacency::Rack, [1, 3, 4]),
        place(4, Adjacency::Rack, [1, 3, 2]),
        place(8, Adjacency::Any, [1, 3, 4]),
    ]);
}

/// A fleet reports how many members fit at each adjacency while all its workers are idle.
#[test]
fn a_fleet_counts_the_capacity_for_tasks_without_accelerators() {
    let fleet = view([0; 3]).fleet.clone();
    let most = Adjacency::ALL.map(|a| format!("{a}: {}", fleet.max_members(a, 0)));
    insta::assert_debug_snapshot!(most);
}
