//! Runs the requests that entries send to a guard.

use {
    super::{
        LatenessEstimator, RecentRequests, SlotPool,
        recent_requests::{AdmitResult, RequestState},
    },
    crate::{
        connection::{GuardReply, Refusal, RequestCall},
        prelude::*,
        process::{
            clock::with_timeout,
            metrics::Metrics,
            platform::{RunCall, Worker, WorkerError},
        },
    },
    event_listener::Event,
};

/// The HTTP status that replaces an answer larger than its request kind allows.
const TOO_LARGE_STATUS: u16 = 502;

/// Runs each admitted attempt at most once, in a slot of the upstream.
pub struct RequestRunner {
    clock: Rc<dyn Clock>,
    metrics: Rc<Metrics>,
    worker: Rc<dyn Worker>,
    slots: Rc<SlotPool>,
    recent: RefCell<RecentRequests>,
    lateness: RefCell<LatenessEstimator>,
    attempt_ended: Event,
}

impl RequestRunner {
    /// Creates a runner that tracks no requests.
    pub fn new(
        clock: Rc<dyn Clock>,
        metrics: Rc<Metrics>,
        worker: Rc<dyn Worker>,
        slots: Rc<SlotPool>,
    ) -> Self {
        Self {
            clock,
            metrics,
            worker,
            slots,
            recent: RefCell::default(),
            lateness: RefCell::default(),
            attempt_ended: Event::new(),
        }
    }

    /// Runs a request, unless it is a duplicate, is past its deadline or finds no free slot.
    pub async fn run(
        &self,
        req: RequestCall,
    ) -> GuardReply {
        let now = self.clock.now();
        let timeout = Duration::from_millis(req.timeout_ms);
        let admit_result =
            self.recent
                .borrow_mut()
                .admit(now, req.id, req.attempt, req.idempotent, timeout);
        match admit_result {
            AdmitResult::New => {}
            AdmitResult::Duplicate(state) => return self.answer_duplicate(req.id, state).await,
            AdmitResult::Full => return unknown_outcome("too many requests are remembered"),
        }
        let (id, attempt) = (req.id, req.attempt);
        let reply = self.run_new(now, timeout, req).await;
        let state = match &reply {
            GuardReply::Refused(refusal) => RequestState::Refused(*refusal),
            _ => RequestState::Completed,
        };
        self.recent.borrow_mut().set_state(id, attempt, state);
        self.attempt_ended.notify(usize::MAX);
        reply
    }

    /// Answers a duplicate once the first attempt has ended.
    async fn answer_duplicate(
        &self,
        id: RequestId,
        mut state: RequestState,
    ) -> GuardReply {
        self.metrics.duplicate_requests.inc();
        while state == RequestState::Running {
            let ended = self.attempt_ended.listen();
            let current = self.recent.borrow().state(id);
            state = current.unwrap_or(RequestState::Completed);
            if state == RequestState::Running {
                ended.await;
            }
        }
        match state {
            RequestState::Refused(refusal) => GuardReply::Refused(refusal),
            RequestState::Completed | RequestState::Running => {
                unknown_outcome("the request was run before")
            }
        }
    }

    async fn run_new(
        &self,
        now: Millis,
        timeout: Duration,
        req: RequestCall,
    ) -> GuardReply {
        let lateness = self.lateness.borrow_mut().frame_lateness(
            now,
            req.id.epoch,
            Millis(req.sent_ms),
            self.clock.wall_time(),
        );
        let remaining = timeout.saturating_sub(lateness);
        if remaining.is_zero() {
            return GuardReply::Refused(Refusal::Late);
        }
        let slot = match self.slots.acquire() {
            Ok(slot) => slot,
            Err(refusal) => return GuardReply::Refused(refusal),
        };
        self.update_slot_gauge();
        let max_answer = req.max_answer_bytes;
        let call = RunCall {
            id: req.id,
            kind: req.kind,
            body: req.body,
            timeout_ms: Millis::from(remaining).0,
            max_answer,
        };
        let id = call.id;
        let running = self.worker.run(call);
        let result = with_timeout(&*self.clock, remaining, running).await;
        drop(slot);
        self.update_slot_gauge();
        into_reply(
            id,
            result.unwrap_or_else(|| Err(WorkerError::AnswerLost("timed out".into()))),
        )
    }

    fn update_slot_gauge(&self) {
        let in_use = i64::from(self.slots.in_use());
        self.metrics.slots_in_use.set(in_use);
    }
}

fn into_reply(
    id: RequestId,
    result: Result<crate::process::platform::RunAnswer, WorkerError>,
) -> GuardReply {
    match result {
        Ok(answer) if answer.id == id => GuardReply::Answer {
            id,
            status: answer.status,
            body: answer.body,
        },
        Ok(_) => unknown_outcome("the upstream answered another request"),
        Err(WorkerError::AnswerTooLarge) => GuardReply::Answer {
            id,
            status: TOO_LARGE_STATUS,
            body: Bytes::from_static(b"the answer is larger than its kind allows\n"),
        },
        Err(WorkerError::NotReached | WorkerError::Refused(_)) => {
            GuardReply::Refused(Refusal::Worker)
        }
        Err(e @ WorkerError::AnswerLost(_)) => unknown_outcome(&e.to_string()),
    }
}

fn unknown_outcome(reason: &str) -> GuardReply {
    GuardReply::Unknown {
        reason: reason.to_owned(),
    }
}
