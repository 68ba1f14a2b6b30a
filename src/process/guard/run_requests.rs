//! The request side of a guard.

use {
    super::{
        Lateness, RecentRequests, SlotBook,
        recent_requests::{Admittance, RecentState},
    },
    crate::{
        connection::{GuardReply, Refusal, RunGrant},
        prelude::*,
        process::{
            clock::with_timeout,
            metrics::Metrics,
            platform::{RunCall, Worker, WorkerError},
        },
    },
    event_listener::Event,
};

/// The HTTP status of an answer that is larger than its kind allows.
const TOO_LARGE_STATUS: u16 = 502;

/// Runs requests under slots, each at most once.
pub struct RequestRunner {
    clock: Rc<dyn Clock>,
    metrics: Rc<Metrics>,
    worker: Rc<dyn Worker>,
    slots: Rc<SlotBook>,
    recent: RefCell<RecentRequests>,
    lateness: RefCell<Lateness>,
    ended: Event,
}

impl RequestRunner {
    /// Creates a runner that has seen no request.
    pub fn new(
        clock: Rc<dyn Clock>,
        metrics: Rc<Metrics>,
        worker: Rc<dyn Worker>,
        slots: Rc<SlotBook>,
    ) -> Self {
        Self {
            clock,
            metrics,
            worker,
            slots,
            recent: RefCell::default(),
            lateness: RefCell::default(),
            ended: Event::new(),
        }
    }

    /// Runs a request, unless it was seen before, comes too late or finds no slot.
    pub async fn run(
        &self,
        grant: RunGrant,
    ) -> GuardReply {
        let now = self.clock.now();
        let timeout = Duration::from_millis(grant.timeout_ms);
        let admittance =
            self.recent
                .borrow_mut()
                .admit(now, grant.id, grant.attempt, grant.idempotent, timeout);
        match admittance {
            Admittance::New => {}
            Admittance::Seen(state) => return self.answer_again(grant.id, state).await,
            Admittance::Full => return unknown("too many requests are remembered"),
        }
        let (id, attempt) = (grant.id, grant.attempt);
        let reply = self.run_new(now, timeout, grant).await;
        let state = match &reply {
            GuardReply::Refused(refusal) => RecentState::Refused(*refusal),
            _ => RecentState::Ran,
        };
        self.recent.borrow_mut().set_state(id, attempt, state);
        self.ended.notify(usize::MAX);
        reply
    }

    /// Answers a frame that was seen before, after the first one was answered.
    async fn answer_again(
        &self,
        id: RequestId,
        mut state: RecentState,
    ) -> GuardReply {
        self.metrics.doubled_requests.inc();
        while state == RecentState::Running {
            let ended = self.ended.listen();
            let present = self.recent.borrow().state(id);
            state = present.unwrap_or(RecentState::Ran);
            if state == RecentState::Running {
                ended.await;
            }
        }
        match state {
            RecentState::Refused(refusal) => GuardReply::Refused(refusal),
            RecentState::Ran | RecentState::Running => unknown("the request was run before"),
        }
    }

    async fn run_new(
        &self,
        now: Millis,
        timeout: Duration,
        grant: RunGrant,
    ) -> GuardReply {
        let late = self.lateness.borrow_mut().of_frame(
            now,
            grant.id.epoch,
            Millis(grant.sent_ms),
            self.clock.wall(),
        );
        let remaining = timeout.saturating_sub(late);
        if remaining.is_zero() {
            return GuardReply::Refused(Refusal::Late);
        }
        let slot = match self.slots.take() {
            Ok(slot) => slot,
            Err(refusal) => return GuardReply::Refused(refusal),
        };
        self.show_slots();
        let max_answer = grant.max_answer;
        let call = RunCall {
            id: grant.id,
            kind: grant.kind,
            body: grant.body,
            timeout_ms: Millis::from(remaining).0,
            max_answer,
        };
        let id = call.id;
        let running = self.worker.run(call);
        let result = with_timeout(&*self.clock, remaining, running).await;
        drop(slot);
        self.show_slots();
        reply_of(
            id,
            result.unwrap_or_else(|| Err(WorkerError::AnswerLost("timed out".into()))),
        )
    }

    fn show_slots(&self) {
        let in_use = i64::from(self.slots.in_use());
        self.metrics.slots_in_use.set(in_use);
    }
}

fn reply_of(
    id: RequestId,
    result: Result<crate::process::platform::RunAnswer, WorkerError>,
) -> GuardReply {
    match result {
        Ok(answer) if answer.id == id => GuardReply::Answer {
            id,
            status: answer.status,
            body: answer.body,
        },
        Ok(_) => unknown("the upstream answered another request"),
        Err(WorkerError::AnswerTooLarge) => GuardReply::Answer {
            id,
            status: TOO_LARGE_STATUS,
            body: Bytes::from_static(b"the answer is larger than its kind allows\n"),
        },
        Err(WorkerError::NotReached | WorkerError::Refused(_)) => {
            GuardReply::Refused(Refusal::Worker)
        }
        Err(e @ WorkerError::AnswerLost(_)) => unknown(&e.to_string()),
    }
}

fn unknown(reason: &str) -> GuardReply {
    GuardReply::Unknown {
        reason: reason.to_owned(),
    }
}
