//! Accounts' guarantees: a unit within its account's guarantee starts in time on full workers.

use {
    super::world::{CAPACITY, Faults, World},
    limpetquay::{
        connection::EndKind,
        platform::decode_config,
        prelude::*,
        process::scheduler::{
            Host, PlacementRequest, RackFirstPlacement, Victim, VictimKind, choose_victims,
        },
        request::{JobPhase, Resources, Step, StepJobId, UnitId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The time in which a job within its account's guarantee has to begin, in milliseconds.
pub const RECLAIM_MS: u64 = 2700;

pub const WORK_MS: u64 = 8000;

/// Returns a world whose gangs work for [`WORK_MS`], with the guarantees of some accounts.
pub fn world(
    guards: usize,
    guarantees: &[(&str, u64)],
) -> World {
    let mut world = World::new(1, guards, Faults::default());
    world.gang_work_ms = WORK_MS;
    let tenants = guarantees.iter().map(|(name, accelerators)| {
        format!(r#"{{"Name": "{name}", "Guaranteed": {{"Gpu": {accelerators}}}}}"#)
    });
    let tenants: Vec<String> = tenants.collect();
    let config = format!(r#"{{"Version": 1, "Tenants": [{}]}}"#, tenants.join(","));
    let table = decode_config(config.as_bytes()).expect("a valid configuration");
    world.queue_table = Some(Rc::new(table));
    world.run_for(1000);
    world
}

/// Returns a gang whose members need a whole worker each.
fn gang(count: u32) -> Vec<Step> {
    let demand = Resources {
        cpu_milli: 15_000,
        memory_mb: 22_000,
        accelerators: CAPACITY.accelerators,
    };
    vec![Step {
        count,
        demand,
        gang: true,
        estimate_ms: WORK_MS,
        ..Step::default()
    }]
}

/// Returns how long after `submitted` all members of a job had begun.
pub fn begun_after(
    world: &World,
    id: StepJobId,
    submitted: u64,
) -> Option<u64> {
    let count = world.oracle.jobs[&id].steps[0].count;
    let starts = world.oracle.starts.iter();
    let own = starts.filter(|(_, run)| run.subtask.job == id);
    let mut begun = BTreeSet::new();
    for (at, run) in own {
        begun.insert(run.subtask.index);
        if begun.len() == count as usize {
            return Some(at - submitted);
        }
    }
    None
}

/// Returns the number of distinct runs of a job that were stopped.
fn stops(
    world: &World,
    id: StepJobId,
) -> usize {
    let ends = world.oracle.ends.iter();
    let stopped = ends.filter(|e| e.run.subtask.job == id && e.kind == EndKind::Stopped);
    stopped.map(|e| e.run.run).collect::<BTreeSet<u64>>().len()
}

/// Guards against a guarantee that waits for another account's urgent work: a burst of gangs of
/// priority 0 takes all workers, and a job of another account is within its guarantee. One gang
/// beyond its account's guarantee is stopped, the cheapest one, and completes later without having
/// failed. Review case 10.
#[test]
fn a_burst_beyond_a_guarantee_makes_room_for_another_account() {
    let mut world = world(11, &[("burst", 24), ("reclaimer", 8)]);
    let mut burst = Vec::new();
    for count in [3, 3, 3, 2] {
        burst.push(world.submit_for("burst", gang(count), 0, 1));
        world.run_for(1200);
    }
    let submitted = world.now;
    let reclaimer = world.submit_for("reclaimer", gang(1), 0, 1);
    world.run_for(40_000);
    let waited = begun_after(&world, reclaimer, submitted);
    assert!(waited.is_some_and(|ms| ms <= RECLAIM_MS), "{waited:?}");
    let stops: Vec<usize> = burst.iter().map(|id| stops(&world, *id)).collect();
    assert_eq!(stops, [0, 0, 0, 1]);
    let jobs = burst.iter().chain([&reclaimer]);
    let phases: Vec<JobPhase> = jobs.map(|id| world.progress(*id).phase()).collect();
    assert_eq!(phases, [JobPhase::Completed; 5]);
    let failed = world.progress(burst[3]).progress.failed_runs.len();
    assert_eq!(failed, 0);
    world.oracle.check_history();
    assert_eq!(world.oracle.violations, Vec::<String>::new());
}

/// Guards against stopping what is within another account's guarantee, and against two accounts
/// that stop each other's work in turn: each takes the idle workers of the other, which then claims
/// its own. Whatever a guarantee has started runs to its end, and every job completes.
#[test]
fn two_accounts_in_turn_stop_nothing_within_a_guarantee() {
    let mut world = world(4, &[("a", 16), ("b", 16)]);
    let mut within = Vec::new();
    let mut beyond = Vec::new();
    for (first, second) in [("a", "b"), ("b", "a"), ("a", "b")] {
        let ids = [(); 4].map(|()| {
            let id = world.submit_for(first, gang(1), 0, 1);
            world.run_for(200);
            id
        });
        world.run_for(1000);
        let submitted = world.now;
        let claims = [(); 2].map(|()| world.submit_for(second, gang(1), 0, 1));
        world.run_for(RECLAIM_MS);
        for id in claims {
            let waited = begun_after(&world, id, submitted);
            assert!(waited.is_some(), "{second} has not begun: {waited:?}");
        }
        within.extend_from_slice(&ids[..2]);
        within.extend_from_slice(&claims);
        beyond.extend_from_slice(&ids[2..]);
        world.run_for(3 * WORK_MS);
    }
    let stopped_within: Vec<usize> = within.iter().map(|id| stops(&world, *id)).collect();
    assert_eq!(stopped_within, vec![0; within.len()]);
    let stopped_beyond: Vec<usize> = beyond.iter().map(|id| stops(&world, *id)).collect();
    assert_eq!(stopped_beyond, vec![1; beyond.len()]);
    let jobs = within.iter().chain(&beyond);
    let phases: BTreeSet<JobPhase> = jobs.map(|id| world.progress(*id).phase()).collect();
    assert_eq!(phases, BTreeSet::from([JobPhase::Completed]));
}

/// Guards against a loop of mutual preemption: both accounts always have more urgent work than
/// their guarantees, on workers that the guarantees cover entirely. Each stop is paid for once by
/// the first claim of the other account, and none follows.
#[test]
fn two_accounts_with_too_much_work_do_not_stop_each_other_again_and_again() {
    let mut world = world(4, &[("a", 16), ("b", 16)]);
    let mut jobs: Vec<StepJobId> = Vec::new();
    for account in ["a", "b"] {
        for _ in 0..8 {
            jobs.push(world.submit_for(account, gang(1), 0, 1));
            world.run_for(100);
        }
    }
    world.run_for(8 * WORK_MS);
    let stops: usize = jobs.iter().map(|id| stops(&world, *id)).sum();
    assert_eq!(stops, 2);
    let phases: BTreeSet<JobPhase> = jobs.iter().map(|id| world.progress(*id).phase()).collect();
    assert_eq!(phases, BTreeSet::from([JobPhase::Completed]));
}

/// Guards against stopping an account's own work for it: its unit without accelerators is within
/// the guarantee while its gangs beyond the guarantee fill the workers, and it waits for them.
#[test]
fn an_account_is_not_its_own_victim() {
    let mut world = world(2, &[("a", 8)]);
    let mut whole_worker = gang(1);
    whole_worker[0].demand.cpu_milli = CAPACITY.cpu_milli;
    let gangs = [(); 2].map(|()| world.submit_for("a", whole_worker.clone(), 0, 1));
    world.run_for(1000);
    let mut small = gang(1);
    small[0].demand.accelerators = 0;
    let id = world.submit_for("a", small, 0, 1);
    world.run_for(3 * WORK_MS);
    let stops: Vec<usize> = gangs.iter().map(|id| stops(&world, *id)).collect();
    assert_eq!(stops, [0, 0]);
    assert_eq!(world.progress(id).phase(), JobPhase::Completed);
}

/// Guards against a guarantee that is lost with the leader: the next leader finds all runs at once
/// and does not know in which order they began, and still makes room for the claim.
#[test]
fn a_guarantee_is_kept_after_a_takeover() {
    let mut world = world(3, &[("a", 8), ("b", 8)]);
    let burst = [(); 3].map(|()| world.submit_for("a", gang(1), 0, 1));
    world.run_for(1000);
    world.take_over();
    world.run_for(2000);
    let submitted = world.now;
    let claim = world.submit_for("b", gang(1), 0, 1);
    world.run_for(3 * WORK_MS);
    let waited = begun_after(&world, claim, submitted);
    assert!(waited.is_some_and(|ms| ms <= RECLAIM_MS), "{waited:?}");
    let stops: Vec<usize> = burst.iter().map(|id| stops(&world, *id)).collect();
    assert_eq!((stops[0], stops.iter().sum::<usize>()), (0, 1));
}

/// Returns a world whose first workers stand in racks of the given sizes.
fn world_of_racks(
    racks: &[usize],
    guarantees: &[(&str, u64)],
) -> World {
    let mut world = world(racks.iter().sum(), guarantees);
    let racks = racks.iter().enumerate();
    let racks = racks.flat_map(|(rack, count)| std::iter::repeat_n(rack, *count));
    for (guard, rack) in racks.enumerate() {
        world.set_rack(guard, &format!("r{rack}"));
    }
    world.run_for(3000);
    world
}

/// Returns a gang of one member that needs a whole worker and has its data on a rack.
fn gang_with_data(rack: &str) -> Vec<Step> {
    let mut steps = gang(1);
    steps[0].data_rack = Some(rack.into());
    steps
}

/// Guards against a guarantee that waits for urgent work without accelerators, which fills the
/// processors or the memory of all workers and is within the guarantee of its account, whatever
/// that is. No more of it is stopped than one worker needs, and it completes later.
#[test]
fn urgent_work_without_accelerators_makes_room_for_a_guarantee() {
    for (cpu_milli, memory_mb) in [(120_000, 1000), (1000, 250_000)] {
        let mut world = world(4, &[("filler", 0), ("reclaimer", 8)]);
        let demand = Resources {
            cpu_milli,
            memory_mb,
            accelerators: 0,
        };
        let mut filling = gang(1);
        filling[0].demand = demand;
        let fillers = [(); 4].map(|()| world.submit_for("filler", filling.clone(), 0, 1));
        world.run_for(1200);
        let submitted = world.now;
        let reclaimer = world.submit_for("reclaimer", gang(1), 0, 1);
        world.run_for(3 * WORK_MS);
        let waited = begun_after(&world, reclaimer, submitted);
        assert!(waited.is_some_and(|ms| ms <= RECLAIM_MS), "{waited:?}");
        let stopped: usize = fillers.iter().map(|id| stops(&world, *id)).sum();
        assert_eq!(stopped, 1);
        let jobs = fillers.iter().chain([&reclaimer]);
        let phases: BTreeSet<JobPhase> = jobs.map(|id| world.progress(*id).phase()).collect();
        assert_eq!(phases, BTreeSet::from([JobPhase::Completed]));
    }
}

/// Guards against two accounts without accelerators in their urgent work that stop each other's
/// work in turn: neither makes room for the other.
#[test]
fn urgent_work_without_accelerators_makes_no_room_for_its_like() {
    let mut world = world(2, &[("a", 8), ("b", 8)]);
    let mut filling = gang(1);
    filling[0].demand = Resources {
        accelerators: 0,
        ..CAPACITY
    };
    let jobs = ["a", "b", "a", "b"].map(|account| {
        let id = world.submit_for(account, filling.clone(), 0, 1);
        world.run_for(200);
        id
    });
    world.run_for(4 * WORK_MS);
    let stopped: usize = jobs.iter().map(|id| stops(&world, *id)).sum();
    assert_eq!(stopped, 0);
    let phases = jobs.map(|id| world.progress(id).phase());
    assert_eq!(phases, [JobPhase::Completed; 4]);
}

/// Guards against a guarantee that waits for the rack of its data while workers on other racks are
/// idle: the rack is full of work within another account's guarantee, which is not stopped.
#[test]
fn a_guaranteed_unit_does_not_wait_for_the_rack_of_its_data() {
    let mut world = world_of_racks(&[2, 2], &[("holder", 16), ("reclaimer", 8)]);
    let holders = [(); 2].map(|()| world.submit_for("holder", gang_with_data("r0"), 0, 1));
    world.run_for(1200);
    let submitted = world.now;
    let reclaimer = world.submit_for("reclaimer", gang_with_data("r0"), 0, 1);
    world.run_for(3 * WORK_MS);
    let waited = begun_after(&world, reclaimer, submitted);
    assert!(waited.is_some_and(|ms| ms <= RECLAIM_MS), "{waited:?}");
    assert_eq!(holders.map(|id| stops(&world, id)), [0, 0]);
}

/// Guards against a shorter wait for a rack where no start is promised: an account without a guarantee
/// runs its work on the rack of its data.
#[test]
fn a_unit_without_a_guarantee_waits_for_the_rack_of_its_data() {
    let mut world = world_of_racks(&[2, 2], &[("holder", 16), ("other", 0)]);
    let mut whole_worker = gang_with_data("r0");
    whole_worker[0].demand.cpu_milli = CAPACITY.cpu_milli;
    let holders = [(); 2].map(|()| world.submit_for("holder", whole_worker.clone(), 0, 1));
    world.run_for(1200);
    let submitted = world.now;
    let mut small = gang_with_data("r0");
    small[0].demand.accelerators = 0;
    let id = world.submit_for("other", small, 0, 1);
    world.run_for(3 * WORK_MS);
    let waited = begun_after(&world, id, submitted);
    assert!(waited.is_some_and(|ms| ms > WORK_MS / 2), "{waited:?}");
    assert_eq!(holders.map(|id| stops(&world, id)), [0, 0]);
}

/// Guards against a gang within its account's guarantee that waits for one rack while each rack
/// holds work within another account's guarantee.
#[test]
fn a_guaranteed_gang_does_not_wait_for_one_rack() {
    let mut world = world_of_racks(&[2, 2], &[("holder", 16), ("reclaimer", 16)]);
    let holders = ["r0", "r1"].map(|rack| world.submit_for("holder", gang_with_data(rack), 0, 1));
    world.run_for(1200);
    let submitted = world.now;
    let mut bound = gang(2);
    bound[0].rack_bound = true;
    let reclaimer = world.submit_for("reclaimer", bound, 0, 1);
    world.run_for(4 * WORK_MS);
    let waited = begun_after(&world, reclaimer, submitted);
    assert!(waited.is_some_and(|ms| ms <= RECLAIM_MS), "{waited:?}");
    assert_eq!(holders.map(|id| stops(&world, id)), [0, 0]);
}

/// Guards against a guaranteed unit that makes room on the rack of its data only: that rack is full
/// of work within another account's guarantee, and the others of less urgent work.
#[test]
fn a_guaranteed_unit_makes_room_on_another_rack() {
    let mut world = world_of_racks(&[2, 2], &[("holder", 16), ("reclaimer", 8)]);
    let holders = [(); 2].map(|()| world.submit_for("holder", gang_with_data("r0"), 0, 1));
    let others = [(); 2].map(|()| world.submit_for("holder", gang_with_data("r1"), 1, 1));
    world.run_for(1200);
    let submitted = world.now;
    let reclaimer = world.submit_for("reclaimer", gang_with_data("r0"), 0, 1);
    world.run_for(3 * WORK_MS);
    let waited = begun_after(&world, reclaimer, submitted);
    assert!(waited.is_some_and(|ms| ms <= RECLAIM_MS), "{waited:?}");
    assert_eq!(holders.map(|id| stops(&world, id)), [0, 0]);
    let stopped: usize = others.iter().map(|id| stops(&world, *id)).sum();
    assert_eq!(stopped, 1);
}

/// Guards against a guarantee whose accelerators are free in sum but not on any one worker: small
/// units within another account's guarantee are scattered over all workers. One of them is relocated
/// to another worker, and completes.
#[test]
fn scattered_work_is_relocated_for_a_guarantee() {
    let mut world = world(4, &[("holder", 4), ("reclaimer", 8)]);
    let mut filling = gang(1);
    filling[0].demand.accelerators = CAPACITY.accelerators - 1;
    let fillers = [(); 4].map(|()| world.submit_for("filler", filling.clone(), 2, 1));
    world.run_for(WORK_MS - 2000);
    let mut small = gang(1);
    small[0].demand.accelerators = 1;
    let holders = [(); 4].map(|()| world.submit_for("holder", small.clone(), 0, 1));
    world.run_for(4000);
    assert_eq!(world.running(), 4, "a small unit on each worker");
    let submitted = world.now;
    let reclaimer = world.submit_for("reclaimer", gang(1), 0, 1);
    world.run_for(3 * WORK_MS);
    let waited = begun_after(&world, reclaimer, submitted);
    assert!(waited.is_some_and(|ms| ms <= RECLAIM_MS), "{waited:?}");
    let stopped: usize = holders.iter().map(|id| stops(&world, *id)).sum();
    assert_eq!(stopped, 1);
    let jobs = fillers.iter().chain(&holders).chain([&reclaimer]);
    let phases: BTreeSet<JobPhase> = jobs.map(|id| world.progress(*id).phase()).collect();
    assert_eq!(phases, BTreeSet::from([JobPhase::Completed]));
}

/// Guards against the relocation of guaranteed work that fits nowhere else: it runs to its end.
#[test]
fn guaranteed_work_that_fits_nowhere_else_is_not_relocated() {
    let mut world = world(2, &[("holder", 8), ("reclaimer", 8)]);
    let mut half = gang(1);
    half[0].demand.accelerators = 4;
    half[0].demand.cpu_milli = 100_000;
    let holders = [(); 2].map(|()| world.submit_for("holder", half.clone(), 0, 1));
    world.run_for(1200);
    let reclaimer = world.submit_for("reclaimer", gang(1), 0, 1);
    world.run_for(3 * WORK_MS);
    assert_eq!(holders.map(|id| stops(&world, id)), [0, 0]);
    assert_eq!(world.progress(reclaimer).phase(), JobPhase::Completed);
}

fn victim(
    number: u32,
    upstream: &str,
    cost: u64,
    kind: VictimKind,
) -> Victim {
    let unit = UnitId {
        occurrence: 0,
        step: 0,
        index: number,
    };
    let freed = Resources {
        accelerators: 4,
        ..Resources::default()
    };
    Victim {
        unit: (StepJobId::from_number(1), unit),
        cost,
        kind,
        freed_by_worker: BTreeMap::from([(UpstreamName::from(upstream), freed)]),
    }
}

/// Guards against stopping urgent work that is cheaper than less urgent work, and more urgent work
/// than is needed.
#[test]
fn less_urgent_work_is_chosen_first_whatever_its_cost() {
    let host = |name: &str| Host {
        upstream: UpstreamName::from(name),
        rack: None,
        free_capacity: Resources::default(),
        capacity: Resources {
            accelerators: 8,
            ..Resources::default()
        },
        sibling_runs: 0,
    };
    let choice = |accelerators, victims: &[Victim]| {
        let step = Step {
            count: 1,
            demand: Resources {
                accelerators,
                ..Resources::default()
            },
            ..Step::default()
        };
        let req = PlacementRequest {
            step: &step,
            members: 1,
            waited: Duration::ZERO,
            remote_factor: 3,
            max_rack_wait: None,
        };
        let hosts = [host("a"), host("b")];
        let choice = choose_victims(&RackFirstPlacement, &req, &hosts, victims);
        let chosen = choice.map(|(chosen, _)| chosen).unwrap_or_default();
        chosen.iter().map(|v| v.unit.1.index).collect::<Vec<u32>>()
    };
    let victims = [
        victim(0, "a", 1, VictimKind::Uncovered),
        victim(1, "a", 2, VictimKind::Uncovered),
        victim(2, "b", 1000, VictimKind::LessUrgent),
        victim(3, "b", 5, VictimKind::Uncovered),
    ];
    assert_eq!(choice(4, &victims), [2]);
    assert_eq!(choice(8, &victims), [0, 1]);
    assert_eq!(choice(4, &victims[..2]), [0]);
}
