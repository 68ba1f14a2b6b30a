//! Decisions of the scheduler, case by case.

use {
    super::world::{Faults, World},
    limpetquay::request::{Resources, Step},
};

fn one_subtask() -> Step {
    Step {
        count: 1,
        demand: Resources {
            cpu_milli: 1000,
            memory_mb: 100,
            accelerators: 1,
        },
        estimate_ms: 1000,
        ..Step::default()
    }
}

/// A start that was ordered in a new session before the session's first look must not be taken for
/// lost because that look does not list it.
#[test]
fn a_start_just_after_a_reconnection_runs_once() {
    for offset in 0..30 {
        let mut world = World::new(offset, 2, Faults::default());
        world.run_for(2000);
        world.break_session(0);
        world.break_session(1);
        world.run_for(20 * offset);
        world.submit(vec![one_subtask()], 0, 4);
        world.run_for(12_000);
        world.oracle.finish();
        assert_eq!(
            world.oracle.starts.len(),
            1,
            "offset {offset}: {:?}",
            world.oracle.starts
        );
        assert!(
            world.oracle.violations.is_empty(),
            "{:?}",
            world.oracle.violations
        );
    }
}

/// A gang that is taken over while some of its guards have not reported yet starts again only when
/// all of its members are gone, also when urgent work displaces it at once.
///
/// The course that once broke this had guards that reported in another order: these courses also pass
/// when members of a stopping gang are not taken over.
#[test]
fn a_gang_displaced_during_a_takeover_runs_once() {
    for delay in (0..30).map(|i| i * 20) {
        let mut world = World::new(delay, 4, Faults::default());
        let whole_worker = Resources {
            cpu_milli: 1000,
            memory_mb: 100,
            accelerators: 8,
        };
        let single = Step {
            demand: whole_worker,
            ..one_subtask()
        };
        let gang = Step {
            count: 2,
            gang: true,
            ..single.clone()
        };
        world.run_for(1000);
        world.submit(vec![gang], 1, 4);
        world.run_for(100);
        let others = [(); 2].map(|()| world.submit(vec![single.clone()], 0, 4));
        world.run_for(300);
        world.take_over();
        world.submit(vec![single], 0, 4);
        world.run_for(delay);
        // Other workers become free while the members of the gang are still being stopped.
        for id in others {
            world.cancel(id);
        }
        world.run_for(30_000);
        world.oracle.finish();
        let found = &world.oracle.violations;
        assert!(found.is_empty(), "delay {delay}: {found:?}");
        assert_eq!(world.running(), 0, "delay {delay}");
    }
}

/// A job that was accepted while nothing scheduled is started by the next scheduler at once, also when
/// a guard does not report; one that may run at that guard waits until all leases there have ended.
#[test]
fn a_job_that_was_never_started_does_not_wait_for_lost_guards() {
    let mut world = World::new(1, 2, Faults::default());
    world.run_for(1000);
    let long = Step {
        demand: Resources {
            accelerators: 8,
            ..one_subtask().demand
        },
        ..one_subtask()
    };
    let inherited = world.submit(vec![Step { count: 3, ..long }], 1, 4);
    world.run_for(300);
    world.cut_guard(0, 60_000);
    world.lose_scheduler();
    let fresh = world.submit(vec![one_subtask()], 0, 4);
    world.run_for(1400);
    world.take_over();
    world.run_for(1000);
    let starts = |world: &World, id| {
        let own = world.oracle.starts.iter();
        own.filter(|(_, r)| r.subtask.job == id).count()
    };
    let early = (starts(&world, inherited), starts(&world, fresh));
    world.run_for(60_000);
    world.oracle.finish();
    let late = starts(&world, inherited);
    insta::assert_debug_snapshot!((early, late >= 3, &world.oracle.violations));
}
