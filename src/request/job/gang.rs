//! Runs one job: reserves its whole gang, commits it, watches it, and starts it again when a
//! member is lost.

use {
    super::{JobSpec, PlacementAsk, PlacementDecision, WorkerView},
    crate::{
        connection::{GuardPeer, GuardReply, GuardRequest, ReserveCall},
        prelude::*,
        process::{
            entry::Entry,
            platform::{TaskEnd, TaskId, TaskStart, TaskState, Term},
            state::{JobEnd, JobRecord, RecordBody},
        },
        version::JobKind,
    },
    futures_util::future::join_all,
};

/// The pause before a job that does not fit is looked at again.
const PLACEMENT_RETRY: Duration = Duration::from_millis(100);

/// How long a guard holds a reservation without a commit.
const RESERVATION_HOLD: Duration = Duration::from_secs(5);

/// The lease of a task; without a renewal its worker stops it.
const TASK_LEASE: Duration = Duration::from_secs(6);

/// How long one renewal waits for the task's end.
const RENEWAL_WAIT: Duration = Duration::from_secs(2);

/// The longest pause before an end is recorded again while the log is away.
const RECORD_RETRY: Duration = Duration::from_secs(1);

/// One member of a gang that holds a reservation.
struct Member {
    index: u32,
    upstream: UpstreamName,
    peer: Rc<dyn GuardPeer>,
    accelerators: AcceleratorSet,
}

/// One start of the whole gang.
struct Start<'a> {
    entry: &'a Entry,
    spec: &'a JobSpec,
    kind: &'a JobKind,
    term: Term,
}

/// How one start ended.
enum StartEnd {
    Finished(Bytes),
    Failed(String),
    MemberLost,
    NotPlaced,
}

/// Runs a job to its end under one ownership and records how it ended.
pub async fn run_job(
    entry: Rc<Entry>,
    spec: JobSpec,
    ownership: u32,
) {
    let end = drive_job(&entry, &spec, ownership).await;
    loop {
        let record = RecordBody::Job(JobRecord::Ended {
            job: spec.id,
            ownership,
            end: end.clone(),
        });
        match entry.state.append(record).await {
            Ok(()) => return,
            Err(e) => tracing::warn!(job = %spec.id, error = %e, "recording the end failed"),
        }
        entry.clock.sleep(RECORD_RETRY).await;
    }
}

/// Starts the gang until it finishes, is cancelled or has no attempts left.
async fn drive_job(
    entry: &Entry,
    spec: &JobSpec,
    ownership: u32,
) -> JobEnd {
    let mut start = 1;
    let mut failures = 0;
    loop {
        if entry.state.fold().is_cancelled(spec.id) {
            return JobEnd::Cancelled;
        }
        let Some(kind) = entry.document().job_kinds.get(&spec.kind).cloned() else {
            return JobEnd::Failed(format!("the job kind {} was removed", spec.kind));
        };
        let term = Term { ownership, start };
        let this_start = Start {
            entry,
            spec,
            kind: &kind,
            term,
        };
        match this_start.run().await {
            StartEnd::Finished(result) => return JobEnd::Finished(result),
            StartEnd::Failed(reason) => {
                failures += 1;
                if failures >= kind.max_attempts {
                    return JobEnd::Failed(reason);
                }
            }
            StartEnd::MemberLost => failures += 1,
            StartEnd::NotPlaced => {}
        }
        start += 1;
        entry.clock.sleep(PLACEMENT_RETRY).await;
    }
}

impl Start<'_> {
    /// Places, reserves, commits and watches the gang.
    async fn run(&self) -> StartEnd {
        let decision = self.place();
        if decision.members.is_empty() {
            return StartEnd::NotPlaced;
        }
        let Some(members) = self.reserve_all(&decision.members).await else {
            return StartEnd::NotPlaced;
        };
        let end = if self.commit_all(&members).await {
            self.watch_all(&members).await
        } else {
            StartEnd::MemberLost
        };
        self.release_all(&members).await;
        end
    }

    /// Has the placement policy choose, and logs its decision.
    fn place(&self) -> PlacementDecision {
        let document = self.entry.document();
        let ask = PlacementAsk {
            account: self.spec.account.clone(),
            gang: self.kind.gang,
            completion_weight: document.completion_weight,
            fragmentation_weight: document.fragmentation_weight,
        };
        let upstreams = self.entry.members.borrow().live(self.entry.clock.now());
        let workers: Vec<WorkerView> = upstreams.iter().map(|u| u.worker_view()).collect();
        let decision = self.entry.placement.place(&ask, &workers);
        let members: Vec<&str> = decision.members.iter().map(UpstreamName::as_str).collect();
        tracing::info!(
            target: "decision",
            decision = "placement",
            job = %self.spec.id,
            term = %self.term,
            account = %self.spec.account,
            kind = %self.kind.name,
            gang = %self.kind.gang,
            chosen = %members.join(","),
            passed_over = %serde_json::to_string(&decision.passed_over).unwrap_or_default(),
        );
        decision
    }

    /// Reserves every member, or none.
    async fn reserve_all(
        &self,
        upstreams: &[UpstreamName],
    ) -> Option<Vec<Member>> {
        let indexed = (0..).zip(upstreams);
        let reservations = indexed.map(|(i, u)| self.reserve(i, u));
        let members = join_all(reservations).await;
        let whole = members.iter().all(Option::is_some);
        let members: Vec<Member> = members.into_iter().flatten().collect();
        if whole {
            return Some(members);
        }
        self.release_all(&members).await;
        None
    }

    async fn reserve(
        &self,
        index: u32,
        upstream: &UpstreamName,
    ) -> Option<Member> {
        let peer = self.entry.peer_of(upstream)?;
        let call = GuardRequest::Reserve(ReserveCall {
            id: self.task_id(index),
            account: self.spec.account.clone(),
            accelerators: self.kind.gang.accelerators,
            evictable: self.kind.is_evictable(),
            hold_ms: Millis::from(RESERVATION_HOLD).0,
        });
        match peer.call(call).await {
            Ok(GuardReply::Reserved { accelerators }) => Some(Member {
                index,
                upstream: upstream.clone(),
                peer,
                accelerators,
            }),
            _ => None,
        }
    }

    /// Starts the task of every member; `false` when one could not be started.
    async fn commit_all(
        &self,
        members: &[Member],
    ) -> bool {
        let commits = members.iter().map(|m| self.commit(m));
        join_all(commits).await.into_iter().all(|done| done)
    }

    async fn commit(
        &self,
        member: &Member,
    ) -> bool {
        let task = TaskStart {
            id: self.task_id(member.index),
            kind: self.kind.name.clone(),
            accelerators: member.accelerators,
            progress_ms: 0,
            payload: self.spec.payload.clone(),
            lease_ms: Millis::from(TASK_LEASE).0,
        };
        let reply = member.peer.call(GuardRequest::Commit(task)).await;
        matches!(reply, Ok(GuardReply::Done))
    }

    /// Renews every lease until all members have finished or one has not.
    async fn watch_all(
        &self,
        members: &[Member],
    ) -> StartEnd {
        let watches = members.iter().map(|m| self.watch(m));
        let mut result = Bytes::new();
        for (member, end) in members.iter().zip(join_all(watches).await) {
            match end {
                Some(TaskEnd::Finished(bytes)) if member.index == 0 => result = bytes,
                Some(TaskEnd::Finished(_)) => {}
                Some(TaskEnd::Failed(reason)) => return StartEnd::Failed(reason),
                Some(TaskEnd::Stopped { .. }) | None => {
                    tracing::info!(job = %self.spec.id, upstream = %member.upstream, "member lost");
                    return StartEnd::MemberLost;
                }
            }
        }
        StartEnd::Finished(result)
    }

    /// Renews one member's lease until its task has ended; `None` when the member is lost.
    async fn watch(
        &self,
        member: &Member,
    ) -> Option<TaskEnd> {
        loop {
            if self.entry.state.fold().is_cancelled(self.spec.id) {
                return None;
            }
            let call = GuardRequest::Renew {
                id: self.task_id(member.index),
                wait_ms: Millis::from(RENEWAL_WAIT).0,
            };
            match member.peer.call(call).await {
                Ok(GuardReply::Task(TaskState::Running { .. })) => {}
                Ok(GuardReply::Task(TaskState::Ended(end)) | GuardReply::Ended(end)) => {
                    return Some(end);
                }
                _ => return None,
            }
        }
    }

    async fn release_all(
        &self,
        members: &[Member],
    ) {
        let releases = members.iter().map(|m| {
            m.peer.call(GuardRequest::Release {
                id: self.task_id(m.index),
            })
        });
        join_all(releases).await;
    }

    fn task_id(
        &self,
        member: u32,
    ) -> TaskId {
        TaskId {
            job: self.spec.id,
            term: self.term,
            member,
        }
    }
}
