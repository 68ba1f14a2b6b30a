//! Single decisions of the scheduler.

use {
    super::world::{Faults, World},
    limpetquay::{
        connection::EndKind,
        prelude::*,
        process::scheduler::{
            Host, PlacementRequest, RackFirstPlacement, Victim, VictimKind, choose_victims,
        },
        request::{JobPhase, Resources, Step, StepJobId, UnitId},
    },
    std::collections::BTreeMap,
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

/// Guards against a second start of a unit that was ordered in a new session before the guard's
/// first poll: that poll does not list the run, which must not count as lost.
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
        world.oracle.check_history();
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

/// Guards against two concurrent runs of a gang that is adopted after a takeover before all of its
/// guards have reported, and preempted at once: it may start again only after all members have
/// ended.
///
/// Does not cover every report order: in the scenario that failed, guards reported in another
/// order, and these scenarios also pass if the members of a stopping gang are not adopted.
#[test]
fn a_gang_preempted_during_a_takeover_runs_once() {
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
        // Frees other workers while the members of the gang are still being stopped.
        for id in others {
            world.cancel(id);
        }
        world.run_for(30_000);
        world.oracle.check_history();
        let found = &world.oracle.violations;
        assert!(found.is_empty(), "delay {delay}: {found:?}");
        assert_eq!(world.running(), 0, "delay {delay}");
    }
}

/// Guards against delays after a takeover: a job that was accepted while there was no scheduler
/// starts at once even if a guard does not report. A job that may run at that guard starts again
/// only after all leases there have expired.
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
    world.partition_guard(0, 60_000);
    world.stop_schedulers();
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
    world.oracle.check_history();
    let late = starts(&world, inherited);
    insta::assert_debug_snapshot!((early, late >= 3, &world.oracle.violations));
}

/// Guards against a leader that starts work again although another one leads: it was cut off
/// together with a guard, and when the cut ends it reconnects to that guard before it reads the
/// later term. Review case 1.
#[test]
fn a_leader_that_was_cut_off_starts_nothing_when_the_cut_ends() {
    for phase in (0..12).map(|i| i * 20) {
        let mut world = World::new(phase, 3, Faults::default());
        world.run_for(1000);
        let steps = vec![Step {
            count: 16,
            ..one_subtask()
        }];
        world.submit(steps, 1, 4);
        world.run_for(300 + phase);
        world.cut_scheduler(10_140);
        world.partition_guard(0, 10_140);
        world.run_for(1400);
        world.take_over();
        world.run_for(20_000);
        world.oracle.check_history();
        let found = &world.oracle.violations;
        assert!(found.is_empty(), "phase {phase}: {found:?}");
    }
}

/// Guards against jobs that never go on: their worker is lost for good, and its guard restarts
/// before it has noticed, so that it can say nothing about the worker. Review case 4.
#[test]
fn work_of_a_lost_worker_goes_on_although_its_guard_has_restarted() {
    let mut waits = Vec::new();
    for delay in [100, 300, 1000] {
        let mut world = World::new(1, 2, Faults::default());
        world.run_for(1000);
        let id = world.submit(
            vec![Step {
                count: 8,
                ..one_subtask()
            }],
            1,
            4,
        );
        world.run_for(300);
        world.lose_worker(0);
        world.restart_guard(0, delay);
        world.run_for(30_000);
        world.oracle.check_history();
        let found = &world.oracle.violations;
        assert!(found.is_empty(), "delay {delay}: {found:?}");
        waits.push((delay, world.progress(id).phase()));
    }
    insta::assert_debug_snapshot!(waits);
}

/// Guards against needless preemption when urgent work arrives at a full service: capacity that
/// becomes free within the preemption delay is used, nothing is stopped, and the job starts in
/// time.
#[test]
fn urgent_work_waits_briefly_before_it_preempts() {
    let whole_worker = Resources {
        accelerators: 8,
        ..one_subtask().demand
    };
    // A gang of one member works for two seconds in the simulation.
    let step = Step {
        demand: whole_worker,
        gang: true,
        ..one_subtask()
    };
    let mut world = World::new(1, 1, Faults::default());
    world.run_for(1000);
    world.submit(vec![step.clone()], 2, 4);
    world.run_for(1780);
    let urgent = world.submit(vec![step], 0, 4);
    let submitted = world.now;
    world.run_for(3000);
    let started = world.oracle.starts.iter();
    let started = started.filter(|(_, r)| r.subtask.job == urgent);
    let waits: Vec<bool> = started.map(|(at, _)| at - submitted < 500).collect();
    let ends = world.oracle.ends.iter();
    let stopped = ends.filter(|e| e.kind == EndKind::Stopped).count();
    assert_eq!((waits, stopped), (vec![true], 0));
}

/// Guards against a gang that is started and preempted again and again and never ends: after two
/// preemptions it runs to its end, while urgent work without a guarantee goes on arriving.
#[test]
fn a_gang_is_not_preempted_again_and_again() {
    let whole_worker = Step {
        demand: Resources {
            accelerators: 8,
            ..one_subtask().demand
        },
        gang: true,
        checkpoints: true,
        ..one_subtask()
    };
    let mut world = World::new(1, 2, Faults::default());
    world.run_for(1000);
    let gang = Step {
        count: 2,
        ..whole_worker.clone()
    };
    let id = world.submit(vec![gang], 1, 4);
    // Each job lets the gang run for about one of its two seconds.
    world.run_for(1000);
    for _ in 0..8 {
        world.submit(vec![whole_worker.clone()], 0, 4);
        world.run_for(3200);
    }
    world.run_for(12_000);
    let ends = world.oracle.ends.iter();
    let stopped = ends.filter(|e| e.run.subtask.job == id && e.kind == EndKind::Stopped);
    let stops = stopped.count();
    assert!(stops <= 4, "{stops} members were stopped");
    assert_eq!(world.progress(id).phase(), JobPhase::Completed);
}

fn host(
    name: &str,
    rack: &str,
    free: u64,
) -> Host {
    Host {
        upstream: UpstreamName::from(name),
        rack: Some(rack.into()),
        free_capacity: Resources {
            accelerators: free,
            ..Resources::default()
        },
        capacity: Resources {
            accelerators: 8,
            ..Resources::default()
        },
        sibling_runs: 0,
    }
}

fn victim(
    number: u32,
    upstream: &str,
    accelerators: u64,
    cost: u64,
) -> Victim {
    let freed = Resources {
        accelerators,
        ..Resources::default()
    };
    Victim {
        unit: (
            StepJobId::from_number(1),
            UnitId {
                occurrence: 0,
                step: 0,
                index: number,
            },
        ),
        cost,
        kind: VictimKind::LessUrgent,
        freed_by_worker: BTreeMap::from([(UpstreamName::from(upstream), freed)]),
    }
}

/// Guards against choosing victims one by one: for a gang that needs two whole workers of one rack,
/// the rack with the least total loss is cleared, although each of its units costs more than those
/// of the other rack.
#[test]
fn the_rack_with_the_least_loss_is_cleared() {
    let step = Step {
        count: 2,
        demand: Resources {
            accelerators: 8,
            ..Resources::default()
        },
        gang: true,
        rack_bound: true,
        ..Step::default()
    };
    let req = PlacementRequest {
        step: &step,
        members: 2,
        waited: Duration::ZERO,
        remote_factor: 3,
        max_rack_wait: None,
    };
    let hosts = [
        host("a1", "a", 0),
        host("a2", "a", 0),
        host("b1", "b", 0),
        host("b2", "b", 8),
    ];
    let mut victims = vec![victim(0, "a1", 8, 9), victim(1, "a2", 8, 9)];
    victims.extend((2..10).map(|i| victim(i, "b1", 1, 3)));
    let choice = choose_victims(&RackFirstPlacement, &req, &hosts, &victims);
    let choice = choice.map(|(chosen, placed)| {
        let cost: u64 = chosen.iter().map(|v| v.cost).sum();
        (chosen.len(), cost, placed)
    });
    insta::assert_debug_snapshot!(choice);
}
