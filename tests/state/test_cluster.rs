//! The states of several entries over one fake log, with the results of all calls.

use {
    super::{
        fake_log::{AppendFault, FakeClient, FakeLog},
        model::Model,
    },
    compio::runtime::{JoinHandle, spawn},
    limpetquay::{
        prelude::*,
        process::{
            platform::Offset,
            state::{
                DocumentRecord, Fold, JobEnd, JobRecord, RecordBody, RecordOutcome, State,
                StateError, StatePeers,
            },
        },
        request::JobSpec,
    },
    std::cell::Cell,
};

/// Number of entries.
pub const NODES: usize = 3;

/// One step of a run.
#[derive(Clone, Debug)]
pub enum Step {
    /// An entry submits a document that follows its current version or, if stale, the one before.
    Submit { node: usize, stale: bool },
    /// An entry accepts a job.
    Accept { node: usize },
    /// An entry cancels a job.
    Cancel { node: usize, job: usize },
    /// An entry ends a job under the ownership in its fold.
    End { node: usize, job: usize },
    /// An entry takes a job over.
    TakeOver { node: usize, job: usize },
    /// Virtual time advances.
    Wait { ms: u64 },
    /// The log goes down or recovers.
    Down { is_down: bool },
    /// The log answers with a delay.
    Slow { ms: u64 },
    /// The next append has a fault.
    Fault(AppendFault),
    /// An entry writes a snapshot.
    Snapshot { node: usize },
    /// The log drops the records covered by a complete snapshot.
    Expire,
    /// An entry loses or regains its connection to the log.
    Partition { node: usize, is_partitioned: bool },
    /// An entry restarts with an empty state.
    Restart { node: usize, with_peers: bool },
}

/// A call and its result.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The record to be appended.
    pub body: RecordBody,
    /// The result returned to the caller.
    pub result: Result<RecordOutcome, StateError>,
}

struct Node {
    state: Rc<State>,
    is_partitioned: Rc<Cell<bool>>,
    highest_version: Cell<VersionNumber>,
    _following: JoinHandle<()>,
}

/// Peers that return the state of one other entry, however far it has read.
struct FakePeers {
    nodes: Rc<RefCell<Vec<Node>>>,
    own: usize,
}

impl StatePeers for FakePeers {
    fn fetch(
        &self,
        beyond: Offset,
    ) -> LocalBoxFuture<'_, Option<Bytes>> {
        let nodes = self.nodes.borrow();
        let others = nodes.iter().enumerate().filter(|(i, _)| *i != self.own);
        let folds = others.map(|(_, n)| n.state.fold());
        let states: Vec<Bytes> = folds
            .map(|f| f.to_bytes().expect("a state is encoded").into())
            .collect();
        let index = beyond.0 as usize % states.len().max(1);
        let state = states.get(index).cloned();
        Box::pin(async move { state })
    }
}

/// All entries with their log and the expected states.
pub struct TestCluster {
    clock: Rc<dyn Clock>,
    log: Rc<FakeLog>,
    nodes: Rc<RefCell<Vec<Node>>>,
    results: Rc<RefCell<Vec<CallResult>>>,
    jobs: RefCell<Vec<JobId>>,
    next_number: Cell<u64>,
    /// The fold of every record stored so far.
    oracle: RefCell<Fold>,
    /// The encoding of the oracle at each offset.
    encoded_states: RefCell<Vec<Vec<u8>>>,
}

impl TestCluster {
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let empty = Fold::default();
        let cluster = Self {
            log: FakeLog::new(clock.clone()),
            clock,
            nodes: Rc::default(),
            results: Rc::default(),
            jobs: RefCell::default(),
            next_number: Cell::new(1),
            encoded_states: RefCell::new(vec![empty.to_bytes().expect("encoded")]),
            oracle: RefCell::new(empty),
        };
        for i in 0..NODES {
            let node = cluster.start_node(i, i > 0);
            cluster.nodes.borrow_mut().push(node);
        }
        cluster
    }

    fn start_node(
        &self,
        own: usize,
        with_peers: bool,
    ) -> Node {
        let is_partitioned: Rc<Cell<bool>> = Rc::default();
        let client = FakeClient {
            log: self.log.clone(),
            is_partitioned: is_partitioned.clone(),
        };
        let name = format!("entry-{own}").as_str().into();
        let mut state = State::new(
            Rc::new(client),
            self.clock.clone(),
            name,
            self.next_unique(),
        );
        if with_peers {
            let nodes = self.nodes.clone();
            state = state.with_peers(Rc::new(FakePeers { nodes, own }));
        }
        let state = Rc::new(state);
        let following = state.clone();
        Node {
            state,
            is_partitioned,
            highest_version: Cell::default(),
            _following: spawn(async move { following.sync_with_log().await }),
        }
    }

    fn next_unique(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    fn state(
        &self,
        node: usize,
    ) -> Rc<State> {
        self.nodes.borrow()[node].state.clone()
    }

    fn job(
        &self,
        job: usize,
    ) -> Option<JobId> {
        let jobs = self.jobs.borrow();
        (!jobs.is_empty()).then(|| jobs[job % jobs.len()])
    }

    /// Runs one step and checks every entry.
    pub async fn step(
        &self,
        step: &Step,
    ) {
        match *step {
            Step::Submit { node, stale } => self.submit(node, stale),
            Step::Accept { node } => self.accept(node),
            Step::Cancel { node, job } => {
                if let Some(job) = self.job(job) {
                    self.spawn_append(node, RecordBody::Job(JobRecord::Cancelled { job }));
                }
            }
            Step::End { node, job } => self.end(node, job),
            Step::TakeOver { node, job } => self.take_over(node, job),
            Step::Wait { ms } => self.clock.sleep(Duration::from_millis(ms)).await,
            Step::Down { is_down } => self.log.is_down.set(is_down),
            Step::Slow { ms } => self.log.delay_ms.set(ms),
            Step::Fault(fault) => self.log.next_fault.set(Some(fault)),
            Step::Snapshot { node } => {
                let state = self.state(node);
                spawn(async move { state.write_snapshot().await }).detach();
            }
            Step::Expire => self.expire(),
            Step::Partition {
                node,
                is_partitioned,
            } => self.nodes.borrow()[node].is_partitioned.set(is_partitioned),
            Step::Restart { node, with_peers } => {
                let started = self.start_node(node, with_peers);
                self.nodes.borrow_mut()[node] = started;
            }
        }
        self.clock.sleep(Duration::from_millis(1)).await;
        self.check_nodes();
    }

    /// Ends all faults, waits until every entry has caught up, and checks and returns the results
    /// of all calls.
    pub async fn settle(&self) -> Vec<CallResult> {
        self.log.is_down.set(false);
        self.log.delay_ms.set(0);
        self.log.next_fault.set(None);
        for node in self.nodes.borrow().iter() {
            node.is_partitioned.set(false);
        }
        self.clock.sleep(Duration::from_secs(120)).await;
        self.check_nodes();
        let end = self.log.history.borrow().len() as u64;
        for node in self.nodes.borrow().iter() {
            assert_eq!(
                node.state.fold().next_offset().0,
                end,
                "every entry reads to the end"
            );
        }
        self.check_results();
        self.results.take()
    }

    fn submit(
        &self,
        node: usize,
        stale: bool,
    ) {
        let version = self.state(node).fold().version();
        let follows = VersionNumber(version.0.saturating_sub(u64::from(stale)));
        let text = format!("; text {}\n", self.next_unique());
        let document = DocumentRecord {
            follows,
            text: text.as_str().into(),
            operator: "ayanda".into(),
            submitted_ms: self.clock.wall_time().0,
        };
        self.spawn_append(node, RecordBody::Document(document));
    }

    fn accept(
        &self,
        node: usize,
    ) {
        let id = JobId(self.next_unique());
        self.jobs.borrow_mut().push(id);
        let spec = JobSpec {
            id,
            account: "jozi-studios".into(),
            kind: "crash-cluster".into(),
            payload: Bytes::from_static(b"x"),
            accepted_ms: self.clock.wall_time().0,
        };
        let owner = format!("entry-{node}").as_str().into();
        self.spawn_append(node, RecordBody::Job(JobRecord::Accepted { spec, owner }));
    }

    /// Has an entry append the end of a job under the ownership in its fold, which may be outdated.
    fn end(
        &self,
        node: usize,
        job: usize,
    ) {
        let Some(job) = self.job(job) else { return };
        let known = self.state(node).fold().job(job).map(|j| j.ownership);
        let end = JobEnd::Failed(format!("end {}", self.next_unique()));
        let ownership = known.unwrap_or(1);
        let record = JobRecord::Ended {
            job,
            ownership,
            end,
        };
        self.spawn_append(node, RecordBody::Job(record));
    }

    fn take_over(
        &self,
        node: usize,
        job: usize,
    ) {
        let Some(job) = self.job(job) else { return };
        let known = self.state(node).fold().job(job).map(|j| j.ownership);
        let record = JobRecord::OwnerChanged {
            job,
            owner: format!("entry-{node}").as_str().into(),
            follows: known.unwrap_or(1),
        };
        self.spawn_append(node, RecordBody::Job(record));
    }

    /// Has an entry append a record in a task of its own, so that the run continues.
    fn spawn_append(
        &self,
        node: usize,
        body: RecordBody,
    ) {
        let state = self.state(node);
        let results = self.results.clone();
        spawn(async move {
            let result = state.append_for_outcome(body.clone()).await;
            results.borrow_mut().push(CallResult { body, result });
        })
        .detach();
    }

    /// Drops the records covered by the latest complete snapshot.
    fn expire(&self) {
        self.extend_oracle();
        let latest = self.oracle.borrow().snapshots().latest();
        if let Some(latest) = latest {
            self.log.drop_below(latest.upto);
        }
    }

    /// Checks that each entry has exactly the state that the log yields at the offset up to which
    /// the entry has read, and that its document version has not decreased.
    fn check_nodes(&self) {
        self.extend_oracle();
        let states = self.encoded_states.borrow();
        for node in self.nodes.borrow().iter() {
            let fold = node.state.fold();
            let own = fold.to_bytes().expect("encoded");
            let expected = &states[fold.next_offset().0 as usize];
            assert!(
                own == *expected,
                "the state at {} differs",
                fold.next_offset()
            );
            assert!(
                fold.version() >= node.highest_version.get(),
                "a version reverted"
            );
            node.highest_version.set(fold.version());
        }
    }

    fn extend_oracle(&self) {
        let mut oracle = self.oracle.borrow_mut();
        let mut states = self.encoded_states.borrow_mut();
        let history = self.log.history.borrow();
        for record in &history[states.len() - 1..] {
            oracle.apply(record);
            states.push(oracle.to_bytes().expect("encoded"));
        }
    }

    /// Compares the results of all calls, and the oracle, with the reference model.
    fn check_results(&self) {
        let model = Model::of(&self.log.history.borrow());
        let fold = self.oracle.borrow();
        assert_eq!(fold.version().0, model.versions.len() as u64);
        for job in fold.jobs() {
            let expected = &model.jobs[&job.spec.id];
            let found = (job.owner_epoch, job.ownership, job.cancelled, &job.end);
            let expected = (
                expected.owner,
                expected.ownership,
                expected.cancelled,
                &expected.end,
            );
            assert_eq!(found, expected, "{}", job.spec.id);
        }
        assert_eq!(fold.jobs().count(), model.jobs.len(), "a job is lost");
        for call in self.results.borrow().iter() {
            check_result(call, &model);
        }
    }
}

/// Checks the result of one call against the reference model.
fn check_result(
    call: &CallResult,
    model: &Model,
) {
    match (&call.body, &call.result) {
        (RecordBody::Document(d), result) => {
            let index = model.versions.iter().position(|t| *t == d.text);
            match result {
                Ok(RecordOutcome::Accepted(v)) => assert_eq!(index, Some(v.0 as usize - 1)),
                Ok(_) | Err(StateError::NotRecorded) => assert_eq!(index, None, "{call:?}"),
                Err(StateError::Unknown) => {}
            }
        }
        (RecordBody::Job(JobRecord::Accepted { spec, .. }), result) => {
            let is_stored = model.jobs.contains_key(&spec.id);
            match result {
                Ok(_) => assert!(is_stored, "an accepted job is lost"),
                Err(StateError::NotRecorded) => assert!(!is_stored, "{call:?}"),
                Err(StateError::Unknown) => {}
            }
        }
        (RecordBody::Job(JobRecord::Ended { job, end, .. }), result) => {
            let is_recorded = model
                .jobs
                .get(job)
                .is_some_and(|j| j.end.as_ref() == Some(end));
            match result {
                Ok(RecordOutcome::Applied) => assert!(is_recorded, "{call:?}"),
                Ok(_) | Err(StateError::NotRecorded) => assert!(!is_recorded, "{call:?}"),
                Err(StateError::Unknown) => {}
            }
        }
        _ => {}
    }
}
