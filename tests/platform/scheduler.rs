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
