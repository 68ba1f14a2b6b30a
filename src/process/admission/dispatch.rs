//! Dispatches queued requests to upstreams.

use {
    super::{
        Admission, SendPermit,
        admission::{LoadsAt, per_entry_limit},
    },
    crate::{
        prelude::*,
        process::{clock::with_timeout, entry::Entry, membership::Announcement},
        request::{CallerRequest, NotRun, RoutingDecision, RoutingRequest},
    },
    futures_channel::oneshot,
    futures_util::future::select,
};

/// Longest pause between two passes over a queue that is not empty, for changes that no event
/// reports: the end of an ejection, or an upstream that no longer counts as full.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest interval between two updates of the load table from announcements.
const MIN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(10);

/// A request that waits for a permit to be sent.
pub struct QueuedRequest {
    id: RequestId,
    account: AccountName,
    kind: KindName,
    routing_request: RoutingRequest,
    tx: oneshot::Sender<SendPermit>,
}

/// A request's position in the queue; dropping it removes the request.
struct QueueTicket<'a> {
    admission: &'a Admission,
    req: &'a CallerRequest,
    number: u64,
}

impl Drop for QueueTicket<'_> {
    fn drop(&mut self) {
        let mut queue = self.admission.queue.borrow_mut();
        queue.remove(self.req.kind.class, &self.req.account, self.number);
    }
}

impl Admission {
    /// Queues a request until an upstream can take it, and returns the permit to send it. A
    /// request that was sent before goes to the front of its account's queue.
    ///
    /// # Errors
    /// Returns [`NotRun::NoUpstream`] if no upstream could take the request before `until`.
    pub async fn acquire_permit(
        self: &Rc<Self>,
        entry: &Entry,
        req: &CallerRequest,
        tried: &[UpstreamName],
        is_retry: bool,
        until: Millis,
    ) -> Result<SendPermit, NotRun> {
        let (tx, rx) = oneshot::channel();
        let pending = QueuedRequest {
            id: req.id,
            account: req.account.clone(),
            kind: req.kind.name.clone(),
            routing_request: self.routing_request(entry, req, tried),
            tx,
        };
        let ticket = self.enqueue(entry, req, pending, is_retry);
        self.dispatch(entry);
        let remaining = until.since(self.clock.now());
        let permit = with_timeout(&*self.clock, remaining, rx).await;
        drop(ticket);
        permit.and_then(Result::ok).ok_or(NotRun::NoUpstream)
    }

    /// Grants permits to as many queued requests as can be sent now.
    pub fn dispatch(
        self: &Rc<Self>,
        entry: &Entry,
    ) {
        if self.queue.borrow().is_empty() {
            return;
        }
        let now = self.clock.now();
        let live = entry.members.borrow().live(now);
        self.loads.borrow_mut().update_panic_mode(now, &live);
        while let Some((pending, decision)) = self.pop_sendable(entry, &live, now) {
            self.grant_permit(pending, &decision, &live, now);
        }
    }

    fn enqueue<'a>(
        &'a self,
        entry: &Entry,
        req: &'a CallerRequest,
        pending: QueuedRequest,
        at_front: bool,
    ) -> QueueTicket<'a> {
        let document = entry.document();
        let share = document.accounts.get(&req.account).map_or(1, |a| a.share);
        let cost = self.run_times.borrow().expected_ms(&req.kind.name);
        let mut queue = self.queue.borrow_mut();
        let number = queue.push(req.kind.class, &req.account, share, cost, at_front, pending);
        QueueTicket {
            admission: self,
            req,
            number,
        }
    }

    fn routing_request(
        &self,
        entry: &Entry,
        req: &CallerRequest,
        tried: &[UpstreamName],
    ) -> RoutingRequest {
        RoutingRequest {
            region: entry.settings.region.clone(),
            data_centre: entry.settings.data_centre.clone(),
            body_bytes: req.body.len(),
            link_price_ms_per_kib: entry.document().link_price_ms_per_kib,
            run_ms: self.run_times.borrow().expected_ms(&req.kind.name),
            wait_saved_ms: 0.0,
            tried: tried.to_vec(),
        }
    }

    fn pop_sendable(
        &self,
        entry: &Entry,
        live: &[Rc<Announcement>],
        now: Millis,
    ) -> Option<(QueuedRequest, RoutingDecision)> {
        let document = entry.document();
        let entries = entry.live_entry_names().len() as u32;
        let routing = entry.routing.borrow().clone();
        let mut queue = self.queue.borrow_mut();
        let queued = queue.len() as f64;
        let in_flight = self.in_flight.borrow();
        let queued_per_in_flight = queued / f64::from(in_flight.total().max(1));
        let loads = self.loads.borrow();
        let loads = LoadsAt { loads: &loads, now };
        queue.pop(|pending| {
            let account = document.accounts.get(&pending.account)?;
            let kind = document.request_kinds.get(&pending.kind)?;
            let account_limit = per_entry_limit(account.max_in_flight, entries);
            let kind_limit = kind
                .max_in_flight
                .map_or(u32::MAX, |l| per_entry_limit(l, entries));
            if in_flight.of_account(&pending.account) >= account_limit
                || in_flight.of_kind(&pending.kind) >= kind_limit
            {
                return None;
            }
            let routing_request = RoutingRequest {
                wait_saved_ms: queued_per_in_flight * pending.routing_request.run_ms,
                ..pending.routing_request.clone()
            };
            let decision = routing.choose(&routing_request, live, &loads);
            decision.chosen.is_some().then_some(decision)
        })
    }

    /// Counts the request as in progress at the chosen upstream, logs the decision and sends the
    /// permit to the waiting task.
    fn grant_permit(
        self: &Rc<Self>,
        pending: QueuedRequest,
        decision: &RoutingDecision,
        live: &[Rc<Announcement>],
        now: Millis,
    ) {
        let chosen = decision.chosen.as_ref();
        let Some(upstream) = live.iter().find(|u| Some(&u.upstream) == chosen) else {
            return;
        };
        tracing::info!(
            target: "decision",
            decision = "routing",
            request = %pending.id,
            account = %pending.account,
            kind = %pending.kind,
            chosen = upstream.upstream.as_str(),
            passed_over = %serde_json::to_string(&decision.passed_over).unwrap_or_default(),
        );
        self.loads.borrow_mut().acquire_slot(now, upstream);
        self.in_flight
            .borrow_mut()
            .increment(&pending.account, &pending.kind);
        let permit = SendPermit::new(
            self.clone(),
            upstream.upstream.clone(),
            pending.account,
            pending.kind,
            now,
        );
        drop(pending.tx.send(permit));
    }
}

/// Dispatches queued requests whenever a request ends or an announcement arrives; never returns.
pub async fn run_dispatch(entry: Rc<Entry>) {
    let announced = entry.members.borrow().changed();
    let mut last_update = Millis::default();
    loop {
        let changed = select(entry.admission.listen(), announced.listen());
        let now = entry.clock.now();
        if now.since(last_update) >= MIN_ANNOUNCEMENT_INTERVAL {
            last_update = now;
            let live = entry.members.borrow().live(now);
            entry
                .admission
                .loads
                .borrow_mut()
                .apply_announcements(now, &live);
        }
        entry.admission.dispatch(&entry);
        if entry.admission.queued() == 0 {
            changed.await;
        } else {
            with_timeout(&*entry.clock, QUEUE_POLL_INTERVAL, changed).await;
        }
    }
}
