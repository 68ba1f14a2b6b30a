//! Evacuation of a data centre: the fold of the operator's topic, and placement.

use {
    super::{
        fake_store::{FakeStore, Path, SharedStore},
        one_guard::{leader, open_job, response, tracker, worker},
        world::{CAPACITY, Faults, World},
    },
    futures_util::{future::select, pin_mut},
    hyper::{HeaderMap, Method},
    limpetquay::{
        connection::{EndKind, HttpHandler, HttpRequest},
        platform::{StatusApi, follow_config},
        prelude::*,
        process::{
            clock::VirtualClock,
            evacuations::Evacuations,
            ledger::{Condition, KeyedRecord},
            metrics::PlatformMetrics,
        },
        request::{JobPhase, Resources, Step, StepJobId},
    },
    std::collections::BTreeSet,
};

const MAX_AGE: Millis = Millis(3000);

fn names(list: &[&str]) -> BTreeSet<DataCentre> {
    list.iter().copied().map(DataCentre::from).collect()
}

fn put(
    shared: &SharedStore,
    key: &str,
    value: Option<&'static [u8]>,
) {
    let record = KeyedRecord {
        key: key.into(),
        value: value.map(Bytes::from_static),
        offset: 0,
    };
    let mut model = shared.model.borrow_mut();
    let appended = model.append("keyed.op", &[record], Condition::Always);
    appended.expect("an append");
}

/// Follows the topic while `steps` runs, which gets the store, the evacuations and the clock.
fn follow<F, G>(steps: F)
where
    F: FnOnce(Rc<FakeStore>, Rc<RefCell<Evacuations>>, Rc<dyn Clock>) -> G + 'static,
    G: Future<Output = ()> + 'static,
{
    let clock = VirtualClock::new();
    let shared_clock: Rc<dyn Clock> = clock.clone();
    clock.block_on(async move {
        let latency = Duration::from_millis(5);
        let store = FakeStore::new(Rc::default(), shared_clock.clone(), latency);
        let evacuations: Rc<RefCell<Evacuations>> = Rc::default();
        let following = follow_config(
            store.clone(),
            shared_clock.clone(),
            Rc::default(),
            evacuations.clone(),
        );
        let steps = steps(store, evacuations, shared_clock);
        pin_mut!(following, steps);
        select(following, steps).await;
    });
}

/// Guards against evacuations that are not read, read from malformed records, or kept when a
/// complete read no longer has them.
#[test]
fn the_newest_records_decide_which_data_centres_are_evacuated() {
    follow(|store, evacuations, clock| async move {
        let shared = store.shared.clone();
        let pause = || clock.sleep(Duration::from_millis(100));
        let read = || evacuations.borrow().names().clone();
        put(&shared, "evacuate/north", Some(b"1"));
        put(&shared, "evacuate/south", Some(b"1"));
        put(&shared, "evacuate/south", None);
        pause().await;
        assert_eq!(read(), names(&["north"]), "complete read");
        put(&shared, "evacuate/", Some(b"1"));
        put(&shared, "evacuate", Some(b"1"));
        put(&shared, "other/south", Some(b"1"));
        put(&shared, "evacuate/west", Some(b"\xff"));
        pause().await;
        assert_eq!(read(), names(&["north", "west"]), "malformed keys");
        put(&shared, "evacuate/west", None);
        pause().await;
        assert_eq!(read(), names(&["north"]), "withdrawn");
        // The withdrawal is trimmed before it is read, so only a complete read shows it.
        store.path.set(Path::Cut);
        clock.sleep(Duration::from_secs(3)).await;
        put(&shared, "evacuate/north", None);
        put(&shared, "evacuate/east", Some(b"1"));
        shared.model.borrow_mut().trim_history();
        store.path.set(Path::Direct);
        clock.sleep(Duration::from_secs(2)).await;
        assert_eq!(read(), names(&["east"]), "complete read after a gap");
    });
}

/// Guards against an evacuation that ends because a withdrawal is read after the later request that
/// a complete read already contained.
#[test]
fn an_earlier_withdrawal_does_not_end_a_later_request() {
    let mut evacuations = Evacuations::default();
    let north = DataCentre::from("north");
    evacuations.replace([(north.clone(), 10)].into());
    evacuations.end(&north, 9);
    assert_eq!(evacuations.names(), &names(&["north"]));
    evacuations.end(&north, 11);
    assert_eq!(evacuations.names(), &names(&[]));
}

/// Guards against starts by a view of the topic that is missing or too old, while the store still
/// accepts the leader's appends.
#[test]
fn evacuations_are_known_while_reads_of_the_topic_are_answered() {
    follow(|store, evacuations, clock| async move {
        let is_known = || {
            let known = evacuations.borrow().known(clock.now(), Some(MAX_AGE));
            known.is_some()
        };
        assert!(!is_known(), "nothing is read yet");
        clock.sleep(Duration::from_millis(100)).await;
        assert!(is_known());
        for _ in 0..100 {
            clock.sleep(Duration::from_millis(100)).await;
            assert!(is_known(), "reads without records are answered");
        }
        for _ in 0..20 {
            put(&store.shared, "evacuate/north", Some(b"1"));
            clock.sleep(Duration::from_millis(300)).await;
            assert!(is_known(), "every read has records");
        }
        store.path.set(Path::Cut);
        clock.sleep(Duration::from_secs(4)).await;
        assert!(!is_known(), "no read is answered");
        store.path.set(Path::Direct);
        clock.sleep(Duration::from_millis(1000)).await;
        assert!(is_known(), "reads are answered again");
    });
}

/// Guards against a deployment without a bound on evacuations that starts nothing because reads of
/// the topic get no answer, and against an evacuation that is forgotten meanwhile.
#[test]
fn without_a_bound_the_last_known_evacuations_count() {
    let mut evacuations = Evacuations::default();
    let known = evacuations.known(Millis(100_000), None);
    assert_eq!(known.as_deref(), Some(&names(&[])));
    evacuations.begin(DataCentre::from("north"), 1);
    let known = evacuations.known(Millis(200_000), None);
    assert_eq!(known.as_deref(), Some(&names(&["north"])));
    assert_eq!(evacuations.known(Millis(200_000), Some(MAX_AGE)), None);
}

/// Returns a gang whose members need a whole worker each.
fn gang(count: u32) -> Vec<Step> {
    vec![Step {
        count,
        demand: Resources {
            cpu_milli: 1000,
            memory_mb: 100,
            accelerators: CAPACITY.accelerators,
        },
        gang: true,
        estimate_ms: 2000,
        ..Step::default()
    }]
}

/// Returns a world with two workers in the data centre `north` and then two in `south`.
fn world() -> World {
    let mut world = World::new(1, 4, Faults::default());
    for (guard, name) in ["north", "north", "south", "south"].into_iter().enumerate() {
        world.set_data_centre(guard, name);
    }
    world.run_for(1000);
    world
}

fn running(world: &World) -> [usize; 4] {
    [0, 1, 2, 3].map(|guard| world.running_on(guard))
}

fn phases(
    world: &World,
    ids: &[StepJobId],
) -> Vec<JobPhase> {
    ids.iter().map(|id| world.progress(*id).phase()).collect()
}

/// Guards against starts in an evacuated data centre, whether there is room elsewhere or not,
/// against work there that is stopped, and against workers that stay unused afterwards. Urgent work
/// that finds no room elsewhere stops nothing in the evacuated data centre.
#[test]
fn nothing_starts_in_an_evacuated_data_centre_until_the_request_is_withdrawn() {
    let mut world = world();
    let before = [(); 4].map(|()| world.submit(gang(1), 2, 1));
    world.run_for(500);
    assert_eq!(running(&world), [1, 1, 1, 1]);
    world.evacuate(&["north"]);
    // Two urgent jobs take the two workers elsewhere, and the third one has to wait.
    let urgent = [(); 3].map(|()| world.submit(gang(1), 0, 1));
    world.run_for(1000);
    assert_eq!(running(&world), [1, 1, 1, 1], "work there goes on");
    world.run_for(2000);
    assert_eq!(running(&world)[..2], [0, 0], "only the third one waits");
    world.run_for(10_000);
    let done = [before.as_slice(), &urgent].concat();
    assert_eq!(phases(&world, &done), [JobPhase::Completed; 7]);
    let stopped = world.oracle.ends.iter().filter(|e| {
        let is_north = e.incarnation <= 2;
        is_north && e.kind != EndKind::Done
    });
    assert_eq!(stopped.count(), 0);
    let waiting = [(); 4].map(|()| world.submit(gang(1), 2, 1));
    world.run_for(1000);
    assert_eq!(running(&world), [0, 0, 1, 1], "full elsewhere");
    world.evacuate(&[]);
    world.run_for(500);
    assert_eq!(running(&world), [1, 1, 1, 1], "withdrawn");
    world.run_for(5000);
    assert_eq!(phases(&world, &waiting), [JobPhase::Completed; 4]);
}

/// Guards against work that waits for the rack of its data while that is evacuated, and against a
/// gang with members in an evacuated data centre.
#[test]
fn work_is_placed_elsewhere_at_once_when_there_is_room() {
    let mut world = world();
    world.evacuate(&["north"]);
    let mut local = gang(1);
    local[0].data_rack = Some("north".into());
    let ids = [world.submit(local, 1, 1), world.submit(gang(2), 1, 1)];
    world.run_for(500);
    assert_eq!(running(&world)[..2], [0, 0]);
    assert_eq!(running(&world).iter().sum::<usize>(), 1);
    world.run_for(6000);
    assert_eq!(phases(&world, &ids), [JobPhase::Completed; 2]);
    let all = world.submit(gang(3), 1, 1);
    world.run_for(5000);
    assert_eq!(
        phases(&world, &[all]),
        [JobPhase::Queued],
        "it does not fit"
    );
}

/// Guards against starts on a worker of unknown data centre, which may be in the evacuated one, and
/// against workers that stay unused without an evacuation because their guards name no data centre.
#[test]
fn a_worker_of_unknown_data_centre_gets_no_work_during_an_evacuation() {
    let mut world = World::new(1, 2, Faults::default());
    world.set_data_centre(0, "south");
    world.run_for(1000);
    world.evacuate(&["north"]);
    let ids = [(); 2].map(|()| world.submit(gang(1), 1, 1));
    world.run_for(500);
    assert_eq!([world.running_on(0), world.running_on(1)], [1, 0]);
    world.evacuate(&[]);
    world.run_for(500);
    assert_eq!([world.running_on(0), world.running_on(1)], [1, 1]);
    world.run_for(5000);
    assert_eq!(phases(&world, &ids), [JobPhase::Completed; 2]);
}

/// Guards against starts before a leader has read the topic, and against an evacuation that is lost
/// with the leader.
#[test]
fn an_evacuation_survives_a_takeover() {
    let mut world = world();
    world.evacuate(&["north"]);
    let ids = [(); 3].map(|()| world.submit(gang(1), 1, 1));
    world.run_for(500);
    world.stop_schedulers();
    let known = world.evacuated.take();
    world.take_over();
    let started = world.oracle.starts.len();
    world.run_for(4000);
    assert_eq!(world.oracle.starts.len(), started, "nothing is read yet");
    world.evacuated = known;
    world.run_for(500);
    assert_eq!(running(&world)[..2], [0, 0]);
    world.run_for(10_000);
    assert_eq!(phases(&world, &ids), [JobPhase::Completed; 3]);
    world.oracle.check_history();
    assert_eq!(world.oracle.violations, Vec::<String>::new());
}

/// Guards against a start that was ordered before the evacuation was read and is sent afterwards,
/// and against a unit that does not start again after its start was withdrawn.
#[test]
fn an_unsent_start_is_withdrawn_and_placed_again() {
    let job = open_job();
    let (mut scheduler, name) = leader(&job);
    let mut guard = tracker();
    guard.data_centre = Some(DataCentre::from("north"));
    assert!(guard.open_session(1));
    scheduler.open_session(&name);
    let now = Millis(100);
    scheduler.confirm_leadership(now);
    guard.apply_poll(1, now, now, response(true));
    scheduler.apply_report(&name, guard.report(now), now);
    scheduler.run_pass(now, now);
    assert!(scheduler.has_orders(&name));
    scheduler.set_evacuated(Some(Rc::new(names(&["north"]))));
    scheduler.run_pass(now, now);
    assert!(!scheduler.has_orders(&name));
    assert!(scheduler.upstreams[&name].runs.is_empty());
    assert!(scheduler.next_message(&name, 1).starts.is_empty());
    scheduler.set_evacuated(Some(Rc::default()));
    scheduler.run_pass(now, now);
    let orders = scheduler.next_message(&name, 1);
    assert_eq!(orders.starts.len(), 1);
    assert_eq!(orders.worker, Some(worker().life));
}

/// Guards against an evacuation that operators cannot see at an entry, or still see after its end.
#[test]
fn the_status_shows_the_evacuated_data_centres() {
    let clock = VirtualClock::new();
    let evacuations: Rc<RefCell<Evacuations>> = Rc::default();
    let metrics = Rc::new(PlatformMetrics::default());
    let status = StatusApi::new(metrics, None).with_evacuations(evacuations.clone());
    let status = Rc::new(status);
    let get = |path: &str| {
        let req = HttpRequest {
            method: Method::GET,
            path: path.to_owned(),
            query: String::new(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let answer = clock.block_on(status.clone().handle(req));
        String::from_utf8_lossy(&answer.body).into_owned()
    };
    evacuations.borrow_mut().begin(DataCentre::from("north"), 1);
    let gauge = r#"limpetquay_evacuated_data_centre{data_centre="north"} 1"#;
    assert!(get("/metrics").contains(gauge));
    assert_eq!(get("/evacuations"), r#"{"data_centres":["north"]}"#);
    evacuations.borrow_mut().end(&DataCentre::from("north"), 2);
    assert!(!get("/metrics").contains("north"));
    assert_eq!(get("/evacuations"), r#"{"data_centres":[]}"#);
}
