//! Several entries' states over one fake log, with what their callers were told.

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

/// The number of entries.
pub const NODES: usize = 3;

/// One step of a run.
#[derive(Clone, Debug)]
pub enum Step {
    /// An entry submits a document that follows its version, or an older one.
    Submit { node: usize, stale: bool },
    /// An entry accepts a job.
    Accept { node: usize },
    /// An entry cancels a job.
    Cancel { node: usize, job: usize },
    /// An entry ends a job under the ownership that it knows.
    End { node: usize, job: usize },
    /// An entry takes a job over.
    TakeOver { node: usize, job: usize },
    /// Time passes.
    Wait { ms: u64 },
    /// The log goes down or comes back.
    Down { on: bool },
    /// The log becomes slow.
    Slow { ms: u64 },
    /// Something happens to the next append.
    Fault(AppendFault),
    /// An entry writes a snapshot.
    Snapshot { node: usize },
    /// The log drops records that a whole snapshot covers.
    Expire,
    /// An entry is cut off from the log, or reaches it again.
    Cut { node: usize, on: bool },
    /// An entry starts anew.
    Restart { node: usize, with_peers: bool },
}

/// What a caller asked for and was told.
#[derive(Clone, Debug)]
pub struct Told {
    /// What was recorded.
    pub body: RecordBody,
    /// What the caller was told.
    pub result: Result<RecordOutcome, StateError>,
}

struct Node {
    state: Rc<State>,
    cut: Rc<Cell<bool>>,
    highest: Cell<VersionNumber>,
    _following: JoinHandle<()>,
}

/// The other entries. One of them is asked, however far it has read.
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
        let turn = beyond.0 as usize % states.len().max(1);
        let state = states.get(turn).cloned();
        Box::pin(async move { state })
    }
}

/// All entries with their log.
pub struct World {
    clock: Rc<dyn Clock>,
    log: Rc<FakeLog>,
    nodes: Rc<RefCell<Vec<Node>>>,
    told: Rc<RefCell<Vec<Told>>>,
    jobs: RefCell<Vec<JobId>>,
    next: Cell<u64>,
    /// The fold of every record, and its encoding at each offset.
    oracle: RefCell<Fold>,
    states: RefCell<Vec<Vec<u8>>>,
}

impl World {
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let empty = Fold::default();
        let world = Self {
            log: FakeLog::new(clock.clone()),
            clock,
            nodes: Rc::default(),
            told: Rc::default(),
            jobs: RefCell::default(),
            next: Cell::new(1),
            states: RefCell::new(vec![empty.to_bytes().expect("encoded")]),
            oracle: RefCell::new(empty),
        };
        for i in 0..NODES {
            let node = world.start_node(i, i > 0);
            world.nodes.borrow_mut().push(node);
        }
        world
    }

    fn start_node(
        &self,
        own: usize,
        with_peers: bool,
    ) -> Node {
        let cut: Rc<Cell<bool>> = Rc::default();
        let client = FakeClient {
            log: self.log.clone(),
            cut: cut.clone(),
        };
        let name = format!("entry-{own}").as_str().into();
        let mut state = State::new(Rc::new(client), self.clock.clone(), name, self.number());
        if with_peers {
            let nodes = self.nodes.clone();
            state = state.with_peers(Rc::new(FakePeers { nodes, own }));
        }
        let state = Rc::new(state);
        let following = state.clone();
        Node {
            state,
            cut,
            highest: Cell::default(),
            _following: spawn(async move { following.follow_log().await }),
        }
    }

    fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
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

    /// Takes one step, and checks every entry.
    pub async fn step(
        &self,
        step: &Step,
    ) {
        match *step {
            Step::Submit { node, stale } => self.submit(node, stale),
            Step::Accept { node } => self.accept(node),
            Step::Cancel { node, job } => {
                if let Some(job) = self.job(job) {
                    self.record(node, RecordBody::Job(JobRecord::Cancelled { job }));
                }
            }
            Step::End { node, job } => self.end(node, job),
            Step::TakeOver { node, job } => self.take_over(node, job),
            Step::Wait { ms } => self.clock.sleep(Duration::from_millis(ms)).await,
            Step::Down { on } => self.log.down.set(on),
            Step::Slow { ms } => self.log.slow_ms.set(ms),
            Step::Fault(fault) => self.log.next_append.set(Some(fault)),
            Step::Snapshot { node } => {
                let state = self.state(node);
                spawn(async move { state.write_snapshot().await }).detach();
            }
            Step::Expire => self.expire(),
            Step::Cut { node, on } => self.nodes.borrow()[node].cut.set(on),
            Step::Restart { node, with_peers } => {
                let started = self.start_node(node, with_peers);
                self.nodes.borrow_mut()[node] = started;
            }
        }
        self.clock.sleep(Duration::from_millis(1)).await;
        self.check_nodes();
    }

    /// Ends all faults, waits until every entry has caught up, and checks what callers were told.
    pub async fn settle(&self) -> Vec<Told> {
        self.log.down.set(false);
        self.log.slow_ms.set(0);
        self.log.next_append.set(None);
        for node in self.nodes.borrow().iter() {
            node.cut.set(false);
        }
        self.clock.sleep(Duration::from_secs(120)).await;
        self.check_nodes();
        let end = self.log.history.borrow().len() as u64;
        for node in self.nodes.borrow().iter() {
            assert_eq!(
                node.state.fold().next().0,
                end,
                "every entry reads to the end"
            );
        }
        self.check_told();
        self.told.take()
    }

    fn submit(
        &self,
        node: usize,
        stale: bool,
    ) {
        let version = self.state(node).fold().version();
        let follows = VersionNumber(version.0.saturating_sub(u64::from(stale)));
        let text = format!("; text {}\n", self.number());
        let document = DocumentRecord {
            follows,
            text: text.as_str().into(),
            operator: "ayanda".into(),
            submitted_ms: self.clock.wall_time().0,
        };
        self.record(node, RecordBody::Document(document));
    }

    fn accept(
        &self,
        node: usize,
    ) {
        let id = JobId(self.number());
        self.jobs.borrow_mut().push(id);
        let spec = JobSpec {
            id,
            account: "jozi-studios".into(),
            kind: "crash-cluster".into(),
            payload: Bytes::from_static(b"x"),
            accepted_ms: self.clock.wall_time().0,
        };
        let owner = format!("entry-{node}").as_str().into();
        self.record(node, RecordBody::Job(JobRecord::Accepted { spec, owner }));
    }

    /// Has an entry record an end under the ownership that it believes to hold, current or not.
    fn end(
        &self,
        node: usize,
        job: usize,
    ) {
        let Some(job) = self.job(job) else { return };
        let known = self.state(node).fold().job(job).map(|j| j.ownership);
        let end = JobEnd::Failed(format!("end {}", self.number()));
        let ownership = known.unwrap_or(1);
        let record = JobRecord::Ended {
            job,
            ownership,
            end,
        };
        self.record(node, RecordBody::Job(record));
    }

    fn take_over(
        &self,
        node: usize,
        job: usize,
    ) {
        let Some(job) = self.job(job) else { return };
        let known = self.state(node).fold().job(job).map(|j| j.ownership);
        let record = JobRecord::Owner {
            job,
            owner: format!("entry-{node}").as_str().into(),
            follows: known.unwrap_or(1),
        };
        self.record(node, RecordBody::Job(record));
    }

    /// Has an entry record something, while the run goes on.
    fn record(
        &self,
        node: usize,
        body: RecordBody,
    ) {
        let state = self.state(node);
        let told = self.told.clone();
        spawn(async move {
            let result = state.append_for_outcome(body.clone()).await;
            told.borrow_mut().push(Told { body, result });
        })
        .detach();
    }

    /// Drops what a whole snapshot covers.
    fn expire(&self) {
        self.extend_oracle();
        let latest = self.oracle.borrow().snapshots().latest();
        if let Some(latest) = latest {
            self.log.drop_below(latest.upto);
        }
    }

    /// Checks that each entry has exactly the state that the log tells at the offset up to which
    /// the entry has read, and that its version has not gone back.
    fn check_nodes(&self) {
        self.extend_oracle();
        let states = self.states.borrow();
        for node in self.nodes.borrow().iter() {
            let fold = node.state.fold();
            let own = fold.to_bytes().expect("encoded");
            let expected = &states[fold.next().0 as usize];
            assert!(own == *expected, "the state at {} differs", fold.next());
            assert!(fold.version() >= node.highest.get(), "a version reverted");
            node.highest.set(fold.version());
        }
    }

    fn extend_oracle(&self) {
        let mut oracle = self.oracle.borrow_mut();
        let mut states = self.states.borrow_mut();
        let history = self.log.history.borrow();
        for record in &history[states.len() - 1..] {
            oracle.apply(record);
            states.push(oracle.to_bytes().expect("encoded"));
        }
    }

    /// Compares what callers were told, and the fold, with the oracle.
    fn check_told(&self) {
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
        assert_eq!(fold.jobs().count(), model.jobs.len(), "no job is lost");
        for told in self.told.borrow().iter() {
            check_one(told, &model);
        }
    }
}

/// Checks what one caller was told.
fn check_one(
    told: &Told,
    model: &Model,
) {
    match (&told.body, &told.result) {
        (RecordBody::Document(d), result) => {
            let place = model.versions.iter().position(|t| *t == d.text);
            match result {
                Ok(RecordOutcome::Accepted(v)) => assert_eq!(place, Some(v.0 as usize - 1)),
                Ok(_) | Err(StateError::NotRecorded) => assert_eq!(place, None, "{told:?}"),
                Err(StateError::Unknown) => {}
            }
        }
        (RecordBody::Job(JobRecord::Accepted { spec, .. }), result) => {
            let known = model.jobs.contains_key(&spec.id);
            match result {
                Ok(_) => assert!(known, "an accepted job is lost"),
                Err(StateError::NotRecorded) => assert!(!known, "{told:?}"),
                Err(StateError::Unknown) => {}
            }
        }
        (RecordBody::Job(JobRecord::Ended { job, end, .. }), result) => {
            let stands = model
                .jobs
                .get(job)
                .is_some_and(|j| j.end.as_ref() == Some(end));
            match result {
                Ok(RecordOutcome::Applied) => assert!(stands, "{told:?}"),
                Ok(_) | Err(StateError::NotRecorded) => assert!(!stands, "{told:?}"),
                Err(StateError::Unknown) => {}
            }
        }
        _ => {}
    }
}
