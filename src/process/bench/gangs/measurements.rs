//! The measurements.

use {
    super::{
        bench_guard::{ACCELERATORS, BenchGuard},
        sample::Sample,
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

/// How long tasks run, in milliseconds; they are released before.
const RUN_MS: u64 = 3_600_000;

/// How long a phase of a gang is waited for, in milliseconds.
const WATCH_MS: u64 = 10_000;

/// The guards, with links to them.
pub(super) struct Fleet {
    pub(super) guards: Vec<BenchGuard>,
    clock: Rc<dyn Clock>,
    dialer: LinkDialer,
    next_job: Cell<u64>,
}

impl Fleet {
    /// Starts guards and waits until they give accelerators out.
    ///
    /// # Errors
    /// The error of binding.
    pub(super) async fn start(guards: u32) -> Result<Self, BenchError> {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let mut started = Vec::new();
        for number in 0..guards {
            started.push(BenchGuard::start(number, clock.clone()).await?);
        }
        clock.sleep(QUARANTINE + Duration::from_millis(100)).await;
        let metrics = Rc::new(Metrics::default());
        Ok(Self {
            guards: started,
            dialer: LinkDialer::new(clock.clone(), metrics),
            clock,
            next_job: Cell::new(1),
        })
    }

    /// Measures the time of one call to each of `size` guards at once, which any way of starting a
    /// gang takes at the least.
    pub(super) async fn round_trip(
        &self,
        size: usize,
    ) -> Duration {
        let job = JobId(u64::MAX);
        let started = std::time::Instant::now();
        let calls = self.guards[..size].iter().map(|g| {
            let req = GangRequest::Inspect { job, ownership: 1 };
            self.call(g.address, req)
        });
        join_all(calls).await;
        started.elapsed()
    }

    /// Starts a gang of `size` members on as many guards; returns it with the time to the start of
    /// the last member.
    ///
    /// # Errors
    /// [`BenchError::Failed`] when the gang does not start.
    pub(super) async fn start_gang(
        &self,
        size: usize,
    ) -> Result<(GangId, Duration), BenchError> {
        let gang = self.new_gang();
        let pieces: Vec<PieceAddress> = (0..).zip(&self.guards[..size]).map(piece).collect();
        let started = std::time::Instant::now();
        let reserves = pieces.iter().map(|p| {
            let call = reserve_call(gang, "borrower", &p.members, 1);
            self.call(p.guard, call.into())
        });
        let reserved = join_all(reserves).await;
        if !reserved.iter().all(is_reserved) {
            return Err(failed("a member was not reserved"));
        }
        let lead = pieces[0].guard;
        self.call(lead, CommitCall { gang, pieces }.into()).await;
        let watch = GangRequest::Watch {
            gang,
            known: Some(GangPhase::Starting),
            wait_ms: WATCH_MS,
        };
        let state = self.call(lead, watch).await;
        let took = started.elapsed();
        match state {
            Some(GuardReply::Gang(GangReply::State {
                phase: GangPhase::Running,
                ..
            })) => Ok((gang, took)),
            other => Err(failed(&format!("the gang did not start: {other:?}"))),
        }
    }

    /// Starts a gang of tasks without accelerators on the first guard.
    ///
    /// # Errors
    /// [`BenchError::Failed`] when the gang does not start.
    pub(super) async fn start_plain_tasks(
        &self,
        tasks: u32,
    ) -> Result<GangId, BenchError> {
        let gang = self.new_gang();
        let guard = self.guards[0].address;
        let members: Vec<u32> = (0..tasks).collect();
        let call = reserve_call(gang, "borrower", &members, 0);
        if !is_reserved(&self.call(guard, call.into()).await) {
            return Err(failed("the tasks were not reserved"));
        }
        let pieces = vec![PieceAddress { guard, members }];
        self.call(guard, CommitCall { gang, pieces }.into()).await;
        Ok(gang)
    }

    /// Ends a gang of `size` members.
    pub(super) async fn release(
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

    /// Lets a borrower run on a share and measures how long its owner needs to get it back.
    ///
    /// # Errors
    /// [`BenchError::Failed`] when a gang does not start or the share is not given back.
    pub(super) async fn reclaim(&self) -> Result<Duration, BenchError> {
        let (borrower, _) = self.start_gang(1).await?;
        let owner = self.new_gang();
        let call = reserve_call(owner, "owner", &[0], ACCELERATORS);
        let started = std::time::Instant::now();
        let reply = self.call(self.guards[0].address, call.into()).await;
        let took = started.elapsed();
        if !is_reserved(&reply) {
            return Err(failed("a share was not reclaimed"));
        }
        self.release(owner, 1).await;
        self.release(borrower, 1).await;
        Ok(took)
    }

    /// Guarantees all accelerators of the first worker to `owner`.
    pub(super) async fn guarantee_first(&self) {
        let share = GuaranteedShare {
            account: "owner".into(),
            accelerators: AcceleratorSet::first(ACCELERATORS),
        };
        let layout = GuardRequest::Layout {
            number: 1,
            guaranteed: vec![share],
        };
        self.guards[0].guard.clone().handle(layout).await;
    }

    /// Waits.
    pub(super) async fn sleep(
        &self,
        span: Duration,
    ) {
        self.clock.sleep(span).await;
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

/// Measures a call several times, after one call that is not counted.
pub(super) async fn sample<F>(
    times: u32,
    mut measure: F,
) -> Result<Sample, BenchError>
where
    F: AsyncFnMut() -> Result<Duration, BenchError>,
{
    let mut sample = Sample::new();
    measure().await?;
    for _ in 0..times {
        sample.add(measure().await?);
    }
    Ok(sample)
}

fn piece((member, guard): (u32, &BenchGuard)) -> PieceAddress {
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
