//! One fault just after or at the time of a burst of submissions, without other faults.

use {
    super::{
        callers::Callers, fault_injector::FaultInjector, fleet::Fleet, log_dir, pending_check,
        scenario::Scenario, wait_and_check_jobs,
    },
    compio::runtime::{Runtime, spawn},
    limpetquay::prelude::*,
    rand::{SeedableRng, rngs::StdRng},
};

/// Starts one entry and enough workers for a burst, lets `disturb` act and returns the violations
/// until all jobs have ended.
fn violations_of<F>(
    host: u8,
    disturb: F,
) -> Vec<String>
where
    F: AsyncFnOnce(Rc<FaultInjector>, &mut StdRng),
{
    let runtime = Runtime::new().expect("the runtime can be created");
    runtime.block_on(async {
        let dir = log_dir(&format!("burst-{host}"));
        drop(std::fs::remove_dir_all(&dir));
        let subnet = [201 + (std::process::id() % 50) as u8, host];
        let scenario = Scenario {
            entries: 1,
            guards: 4,
            ..Scenario::draw(1)
        };
        let fleet = Fleet::start(dir, subnet, &super::config(1), scenario).await;
        let callers = Callers::new(fleet.clone());
        compio::time::sleep(Duration::from_millis(2500)).await;
        let check = pending_check::check_pending_jobs(fleet.clone(), callers.clone());
        let _pending_check = spawn(check);
        let mut rng = StdRng::seed_from_u64(host.into());
        let injector = FaultInjector::new(fleet.clone(), callers.clone());
        disturb(injector, &mut rng).await;
        wait_and_check_jobs(&fleet, &callers).await;
        fleet.check_processes();
        fleet.stop();
        println!(
            "{host}: {} comparisons of pending jobs, stalled connections used: {:?}",
            fleet.pending_comparisons.get(),
            fleet.stalled_uses.borrow()
        );
        fleet.oracle.borrow().violations.clone()
    })
}

/// Guards against jobs that are not counted as pending because their starts were ordered, although
/// no order has reached a worker.
#[test]
fn jobs_whose_starts_are_lost_are_pending() {
    let violations = violations_of(50, async |injector, rng| {
        injector.burst_with_lost_orders(rng, 0).await;
    });
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against an entry that uses its silent connections to the store one after the other.
#[test]
fn an_entry_gives_up_silent_connections_after_a_burst() {
    let violations = violations_of(51, async |injector, rng| {
        injector.burst_before_silence(rng, 0).await;
    });
    assert!(violations.is_empty(), "{violations:#?}");
}
