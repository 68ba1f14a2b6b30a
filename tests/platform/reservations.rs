//! Workers that are reserved for a unit that does not fit, and later units beside it.

use {
    super::{
        guarantees::begun_after,
        world::{CAPACITY, Faults, World},
    },
    limpetquay::{
        connection::EndKind,
        request::{JobPhase, Resources, Step, StepJobId},
    },
    std::collections::BTreeSet,
};

/// How long a job may have nothing running while there is room for it, in milliseconds.
const MAX_WAIT_BESIDE_ROOM_MS: u64 = 3000;

/// Within which a gang has to begin once the work that it waits for has ended, in milliseconds: a stop of
/// 200 ms, two round trips and a pass.
const MAX_WAIT_AFTER_LONG_WORK_MS: u64 = 1000;

const LONG_WORK_MS: u64 = 60_000;

fn step(
    count: u32,
    accelerators: u64,
    estimate_ms: u64,
) -> Step {
    Step {
        count,
        demand: Resources {
            cpu_milli: 2000 * accelerators,
            memory_mb: 1000,
            accelerators,
        },
        gang: count > 1,
        estimate_ms,
        ..Step::default()
    }
}

/// Submits a job whose subtasks work for `work_ms`.
fn submit(
    world: &mut World,
    step: Step,
    priority: u32,
    work_ms: u64,
) -> StepJobId {
    let id = world.submit(vec![step], priority, 4);
    world.work_ms_by_job.insert(id, work_ms);
    id
}

/// Returns how many runs of a job were stopped.
fn stops(
    world: &World,
    id: StepJobId,
) -> usize {
    let ends = world.oracle.ends.iter();
    let stopped = ends.filter(|e| e.run.subtask.job == id && e.kind == EndKind::Stopped);
    stopped.map(|e| e.run.run).collect::<BTreeSet<u64>>().len()
}

/// A world of four workers, a job that keeps one of them busy for [`LONG_WORK_MS`], and a gang that waits
/// for all four.
fn waiting_gang(long_estimate_ms: u64) -> (World, StepJobId, u64) {
    let mut world = World::new(1, 4, Faults::default());
    world.run_for(1000);
    let accelerators = CAPACITY.accelerators;
    let long = step(1, accelerators, long_estimate_ms);
    submit(&mut world, long, 1, LONG_WORK_MS);
    let long_ends = world.now + LONG_WORK_MS;
    world.run_for(2000);
    let gang = submit(&mut world, step(4, accelerators, 9400), 1, 3000);
    world.run_for(1000);
    (world, gang, long_ends)
}

/// Guards against jobs that wait beside idle workers: a gang that waits for one long run has reserved all
/// workers, and the run is declared to end too early, too late or about right. Review case 15.
#[test]
fn small_jobs_run_beside_a_gang_that_waits() {
    for long_estimate_ms in [500, 9400, 60_000, 300_000] {
        for estimate_ms in [100, 500, 9000, 70_000] {
            let case = format!("estimates {long_estimate_ms} and {estimate_ms} ms");
            let (mut world, gang, long_ends) = waiting_gang(long_estimate_ms);
            let submitted = world.now;
            let small = [(); 3].map(|()| submit(&mut world, step(1, 1, estimate_ms), 2, 500));
            world.run_for(MAX_WAIT_BESIDE_ROOM_MS);
            for id in small {
                let waited = begun_after(&world, id, submitted);
                assert!(waited.is_some(), "{case}: nothing has begun");
            }
            world.run_for(long_ends + MAX_WAIT_AFTER_LONG_WORK_MS - world.now);
            let begun = begun_after(&world, gang, submitted);
            assert!(begun.is_some(), "{case}: the gang has not begun");
            assert_eq!(world.progress(small[0]).phase(), JobPhase::Completed);
            world.oracle.check_history();
            assert_eq!(world.oracle.violations, Vec::<String>::new(), "{case}");
        }
    }
}

/// Guards against a worker that stays idle without end in a service that is mostly in use, where reserved
/// capacity is lent later.
#[test]
fn a_small_job_runs_beside_a_gang_in_a_busy_service() {
    let mut world = World::new(1, 4, Faults::default());
    world.run_for(1000);
    let accelerators = CAPACITY.accelerators;
    for _ in 0..3 {
        submit(&mut world, step(1, accelerators, 9400), 1, LONG_WORK_MS);
    }
    let long_ends = world.now + LONG_WORK_MS;
    world.run_for(2000);
    let gang = submit(&mut world, step(4, accelerators, 9400), 1, 3000);
    let submitted = world.now;
    let small = submit(&mut world, step(1, 1, 500), 2, 500);
    world.run_for(11_000);
    let waited = begun_after(&world, small, submitted);
    assert!(waited.is_some(), "nothing has begun");
    world.run_for(long_ends + MAX_WAIT_AFTER_LONG_WORK_MS - world.now);
    let begun = begun_after(&world, gang, submitted);
    assert!(begun.is_some(), "the gang has not begun");
}

/// Guards against a gang that starves: small jobs keep coming, which take longer than declared or are
/// declared to take very long, and the gang begins soon after the long run has ended.
#[test]
fn a_stream_of_small_jobs_does_not_delay_a_gang() {
    for (estimate_ms, work_ms) in [(500, 500), (500, 20_000), (70_000, 5000), (10_000, 70_000)] {
        for accelerators in [1, 8] {
            for priority in [1, 2] {
                let case = format!("{estimate_ms}, {work_ms} ms, {accelerators}, {priority}");
                let (mut world, gang, long_ends) = waiting_gang(9400);
                let submitted = world.now;
                let mut small = Vec::new();
                // They need some six tenths of three workers.
                let interval_ms = (work_ms * accelerators / 14).max(400);
                while world.now + interval_ms <= long_ends + MAX_WAIT_AFTER_LONG_WORK_MS {
                    let step = step(1, accelerators, estimate_ms);
                    small.push(submit(&mut world, step, priority, work_ms));
                    world.run_for(interval_ms);
                }
                world.run_for(long_ends + MAX_WAIT_AFTER_LONG_WORK_MS - world.now);
                let begun = begun_after(&world, gang, submitted);
                assert!(begun.is_some(), "{case}: the gang has not begun");
                let first = begun_after(&world, small[0], submitted);
                assert!(
                    first.is_some_and(|ms| ms <= MAX_WAIT_BESIDE_ROOM_MS),
                    "{case}: the workers were idle, {first:?}"
                );
                // What was stopped for the gang is done later.
                world.run_for(8000);
                small.iter().for_each(|id| {
                    if stops(&world, *id) == 0 {
                        world.cancel(*id);
                    }
                });
                world.run_for(3 * work_ms + 40_000);
                for id in small
                    .iter()
                    .filter(|id| !world.oracle.cancelled.contains(id))
                {
                    let phase = world.progress(*id).phase();
                    assert_eq!(phase, JobPhase::Completed, "{case}: {id}");
                }
                world.oracle.check_history();
                assert_eq!(world.oracle.violations, Vec::<String>::new(), "{case}");
            }
        }
    }
}

/// Guards against work that is stopped again and again: many gangs wait, each for an urgent run of some
/// seconds, and a job that takes longer runs beside them. No gang has to wait for it twice.
#[test]
fn a_unit_is_stopped_for_reservations_twice_at_most() {
    let mut world = World::new(1, 4, Faults::default());
    world.run_for(1000);
    let accelerators = CAPACITY.accelerators;
    submit(&mut world, step(1, accelerators, 6000), 0, 6000);
    world.run_for(400);
    let gangs = [(); 6].map(|()| submit(&mut world, step(4, accelerators, 9400), 1, 1000));
    world.run_for(400);
    let patient = submit(&mut world, step(1, 1, 70_000), 2, 9000);
    for gang in gangs {
        let submitted = world.now;
        while begun_after(&world, gang, submitted).is_none() {
            world.run_for(100);
            assert!(world.now < submitted + 30_000, "a gang does not begin");
        }
        submit(&mut world, step(1, accelerators, 6000), 0, 6000);
    }
    world.run_for(60_000);
    assert_eq!(stops(&world, patient), 2);
    for id in gangs.into_iter().chain([patient]) {
        assert_eq!(world.progress(id).phase(), JobPhase::Completed);
    }
    world.oracle.check_history();
    assert_eq!(world.oracle.violations, Vec::<String>::new());
}

/// Guards against urgent work that pays for a gang: a unit within its account's guarantee runs on reserved
/// workers and is not stopped for the gang.
#[test]
fn reserved_workers_run_urgent_work_at_once() {
    let (mut world, gang, long_ends) = waiting_gang(9400);
    let submitted = world.now;
    let urgent = submit(&mut world, step(1, 8, 70_000), 0, 8000);
    world.run_for(1000);
    assert!(begun_after(&world, urgent, submitted).is_some());
    world.run_for(long_ends + MAX_WAIT_AFTER_LONG_WORK_MS - world.now);
    assert_eq!(stops(&world, urgent), 0);
    assert!(begun_after(&world, gang, submitted).is_some());
}
