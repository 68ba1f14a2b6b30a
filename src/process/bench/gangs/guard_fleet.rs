//! The guards under test of the gang benchmarks, and the measured operations on them.

use {
    super::{
        bench_guard::{ACCELERATORS_PER_WORKER, BenchGuard},
        latency_sample::LatencySample,
    },
    crate::{
        connection::{
            CommitCall, EvictionMode, GangId, GangPhase, GangReply, GangRequest, GangWork,
            GuaranteedShare, GuardReply, GuardRequest, PeerHandler, PieceAddress, ReserveCall,
        },
        prelude::*,
        process::{
            bench::BenchError,
            clock::SystemClock,
            entry::{Dialer, LinkDialer},
            guard::bounds::QUARANTINE,
            metrics::Metrics,
            platform::Term,
        },
    },
    futures_util::future::join_all,
    std::cell::Cell,
};

/// The run time of tasks, in milliseconds. Gangs are released before it is over.
const RUN_MS: u64 = 3_600_000;

/// The longest wait for a change of a gang's phase, in milliseconds.
const PHASE_WAIT_MS: u64 = 10_000;

/// Guards in this process, with links to them.
pub(super) struct GuardFleet {
    pub(super) guards: Vec<BenchGuard>,
    clock: Rc<dyn Clock>,
    dialer: LinkDialer,
    next_job: Cell<u64>,
}

impl GuardFleet {
    /// Starts guards and waits for the end of their quarantine, in which they allocate no
    /// accelerators.
    ///
    /// # Errors
    /// [`BenchError::Io`] if a socket cannot be bound.
    pub(super) async fn start(guards: u32) -> Result<Self, BenchError> {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let mut started_guards = Vec::new();
        for number in 0..guards {
            started_guards.push(BenchGuard::start(number, clock.clone()).await?);
        }
        clock.sleep(QUARANTINE + Duration::from_millis(100)).await;
        let metrics = Rc::new(Metrics::default());
        Ok(Self {
            guards: started_guards,
            dialer: LinkDialer::new(clock.clone(), metrics),
            clock,
            next_job: Cell::new(1),
        })
    }

    /// Measures the time of one concurrent call to each of `size` guards, which is the lower bound
    /// of the time to start a gang on them.
    pub(super) async fn measure_round_trip(
        &self,
        size: usize,
    ) -> Duration {
        let job = JobId(u64::MAX);
        let start = std::time::Instant::now();
        let calls = self.guards[..size].iter().map(|g| {
            let req = GangRequest::Inspect { job, ownership: 1 };
            self.call(g.address, req)
        });
        join_all(calls).await;
        start.elapsed()
    }

    /// Starts a gang of `size` members, each on its own guard. Returns the gang and the time until
    /// all members were started.
    ///
    /// # Errors
    /// [`BenchError::Failed`] if the gang does not start.
    pub(super) async fn start_gang(
        &self,
        size: usize,
    ) -> Result<(GangId, Duration), BenchError> {
        let gang = self.new_gang();
        let pieces: Vec<PieceAddress> = (0..).zip(&self.guards[..size]).map(new_piece).collect();
        let start = std::time::Instant::now();
        let reservations = pieces.iter().map(|p| {
            let call = reserve_call(gang, "borrower", &p.members, 1);
            self.call(p.guard, call.into())
        });
        let reserved = join_all(reservations).await;
        if !reserved.iter().all(is_reserved) {
            return Err(failed("the accelerators of a member could not be reserved"));
        }
        let leader = pieces[0].guard;
        self.call(leader, CommitCall { gang, pieces }.into()).await;
        let watch = GangRequest::Watch {
            gang,
            known: Some(GangPhase::Starting),
            wait_ms: PHASE_WAIT_MS,
        };
        let state = self.call(leader, watch).await;
        let latency = start.elapsed();
        match state {
            Some(GuardReply::Gang(GangReply::State {
                phase: GangPhase::Running,
                ..
            })) => Ok((gang, latency)),
            other => Err(failed(&format!("the gang did not start: {other:?}"))),
        }
    }

    /// Commits a gang of plain tasks, which need no accelerators, on the first guard, and returns
    /// without waiting for its start.
    ///
    /// # Errors
    /// [`BenchError::Failed`] if the gang cannot be reserved.
    pub(super) async fn start_plain_tasks(
        &self,
        tasks: u32,
    ) -> Result<GangId, BenchError> {
        let gang = self.new_gang();
        let guard = self.guards[0].address;
        let members: Vec<u32> = (0..tasks).collect();
        let call = reserve_call(gang, "borrower", &members, 0);
        if !is_reserved(&self.call(guard, call.into()).await) {
            return Err(failed("the plain tasks could not be reserved"));
        }
        let pieces = vec![PieceAddress { guard, members }];
        self.call(guard, CommitCall { gang, pieces }.into()).await;
        Ok(gang)
    }

    /// Releases a gang on the first `size` guards.
    pub(super) async fn release_gang(
        &self,
        gang: GangId,
        size: usize,
    ) {
        let calls = self.guards[..size].iter().map(|g| {
            let ownership = 1;
            self.call(g.address, GangRequest::Release { gang, ownership })
        });
        join_all(calls).await;
    }

    /// Runs a gang of another account on a guaranteed share and measures how long the owner's
    /// reservation of the share takes, which evicts that gang.
    ///
    /// # Errors
    /// [`BenchError::Failed`] if the gang does not start or the share is not reclaimed.
    pub(super) async fn measure_reclaim(&self) -> Result<Duration, BenchError> {
        let (borrower, _) = self.start_gang(1).await?;
        let owner = self.new_gang();
        let call = reserve_call(owner, "owner", &[0], ACCELERATORS_PER_WORKER);
        let start = std::time::Instant::now();
        let reply = self.call(self.guards[0].address, call.into()).await;
        let latency = start.elapsed();
        if !is_reserved(&reply) {
            return Err(failed("the guaranteed share was not reclaimed"));
        }
        self.release_gang(owner, 1).await;
        self.release_gang(borrower, 1).await;
        Ok(latency)
    }

    /// Guarantees all accelerators of the first worker to the account `owner`.
    pub(super) async fn guarantee_first_worker(&self) {
        let share = GuaranteedShare {
            account: "owner".into(),
            accelerators: AcceleratorSet::first(ACCELERATORS_PER_WORKER),
        };
        let layout = GuardRequest::Layout {
            number: 1,
            guaranteed: vec![share],
        };
        self.guards[0].guard.clone().handle(layout).await;
    }

    pub(super) async fn sleep(
        &self,
        duration: Duration,
    ) {
        self.clock.sleep(duration).await;
    }

    async fn call(
        &self,
        guard: SocketAddr,
        req: GangRequest,
    ) -> Option<GuardReply> {
        let peer = self.dialer.peer(guard);
        peer.call(GuardRequest::Gang(req)).await.ok()
    }

    fn new_gang(&self) -> GangId {
        let job = self.next_job.get();
        self.next_job.set(job + 1);
        GangId {
            job: JobId(job),
            term: Term {
                ownership: 1,
                start: 1,
            },
        }
    }
}

/// Measures an operation `count` times, after one run that is not recorded.
pub(super) async fn sample_latency<F>(
    count: u32,
    mut measure: F,
) -> Result<LatencySample, BenchError>
where
    F: AsyncFnMut() -> Result<Duration, BenchError>,
{
    let mut sample = LatencySample::new();
    measure().await?;
    for _ in 0..count {
        sample.record(measure().await?);
    }
    Ok(sample)
}

fn new_piece((member, guard): (u32, &BenchGuard)) -> PieceAddress {
    PieceAddress {
        guard: guard.address,
        members: vec![member],
    }
}

fn reserve_call(
    gang: GangId,
    account: &str,
    members: &[u32],
    accelerators: u32,
) -> ReserveCall {
    ReserveCall {
        gang,
        account: account.into(),
        members: members.to_vec(),
        accelerators_per_member: accelerators,
        eviction: EvictionMode::Checkpoint,
        lifetime_ms: 5000,
        work: GangWork {
            kind: "bench".into(),
            payload: format!("run_ms={RUN_MS}").into_bytes().into(),
            progress_ms: 0,
            declared_run_ms: RUN_MS,
        },
    }
}

fn is_reserved(reply: &Option<GuardReply>) -> bool {
    matches!(reply, Some(GuardReply::Gang(GangReply::Reserved { .. })))
}

fn failed(reason: &str) -> BenchError {
    BenchError::Failed(reason.to_owned())
}
