//! A job whose progress exceeds a record of the store, beside small jobs.

use {
    super::{
        callers::Callers, fleet::Fleet, log_dir, node::Role, node::Terms, scenario::Scenario,
        wait_and_check_jobs,
    },
    compio::runtime::Runtime,
    limpetquay::{
        prelude::*,
        request::{Resources, Step},
    },
    rand::{SeedableRng, rngs::StdRng},
};

/// The size limits of the store, far below the usual ones, so that few subtasks exceed them.
const LIMITS: [usize; 2] = [8192, 65_536];

/// The subtasks whose checkpoints exceed a record.
const SUBTASKS: u32 = 1200;

/// How long all entries are down: longer than all leases, so that every run saves its work.
const OUTAGE: Duration = Duration::from_millis(9500);

/// Guards against one job whose progress the store refuses, which then keeps the progress of every
/// other job from being recorded.
#[test]
fn small_jobs_complete_beside_one_whose_progress_exceeds_a_record() {
    let runtime = Runtime::new().expect("the runtime can be created");
    let violations = runtime.block_on(async {
        let dir = log_dir("large-progress");
        drop(std::fs::remove_dir_all(&dir));
        let subnet = [201 + (std::process::id() % 50) as u8, 60];
        let [record_bytes, request_bytes] = LIMITS;
        let scenario = Scenario {
            entries: 2,
            guards: 4,
            terms: Terms {
                record_bytes,
                request_bytes,
                ..Terms::SMALL
            },
            ..Scenario::draw(1)
        };
        let fleet = Fleet::start(dir, subnet, &super::config(1), scenario).await;
        let callers = Callers::new(fleet.clone());
        let mut rng = StdRng::seed_from_u64(60);
        compio::time::sleep(Duration::from_millis(2500)).await;
        let large = Step {
            count: SUBTASKS,
            demand: Resources {
                cpu_milli: 10,
                memory_mb: 10,
                accelerators: 0,
            },
            estimate_ms: 12_000,
            checkpoints: true,
            ..Step::default()
        };
        callers
            .submit_step(&mut rng, large, "work_ms=12000 save_ms=300")
            .await;
        compio::time::sleep(Duration::from_millis(5000)).await;
        for entry in fleet.nodes_of_role(Role::Entry) {
            fleet.nodes[entry].kill();
        }
        fleet.log_event("all entries are down".to_owned());
        compio::time::sleep(OUTAGE).await;
        for entry in fleet.nodes_of_role(Role::Entry) {
            fleet.nodes[entry].start(&fleet.clock);
        }
        fleet.log_event("all entries are back".to_owned());
        compio::time::sleep(Duration::from_millis(2000)).await;
        for _ in 0..5 {
            callers.submit_one(1, 300).await;
        }
        wait_and_check_jobs(&fleet, &callers).await;
        fleet.check_processes();
        fleet.stop();
        let mut violations = fleet.oracle.borrow().violations.clone();
        let oversized = fleet.store.model().borrow().oversized_appends;
        if oversized > 0 {
            violations.push(format!("{oversized} appends above the limits of the store"));
        }
        violations
    });
    assert!(violations.is_empty(), "{violations:#?}");
}
