//! Gives waiting requests their places.

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

/// The longest pause between two looks at a queue in which something waits, for what passes
/// without an event: an ejection, or an upstream that counts as full.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The shortest pause between two looks at what upstreams have announced.
const MIN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(10);

/// A request that waits for its place.
pub struct QueuedRequest {
    id: RequestId,
    account: AccountName,
    kind: KindName,
    routing_request: RoutingRequest,
    tx: oneshot::Sender<SendPermit>,
}

/// A place in the queue, given up when it is dropped.
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
    /// Waits in the queue for a place at an upstream, until `until` at most. A request that
    /// waited before, and was refused by a guard, goes to the front of its account's line.
    ///
    /// # Errors
    /// Why the request is not run.
    pub async fn acquire_permit(
        self: &Rc<Self>,
        entry: &Entry,
        req: &CallerRequest,
        tried: &[UpstreamName],
        waited_before: bool,
        until: Millis,
    ) -> Result<SendPermit, NotRun> {
        let (tx, rx) = oneshot::channel();
        let waiting = QueuedRequest {
            id: req.id,
            account: req.account.clone(),
            kind: req.kind.name.clone(),
            routing_request: self.routing_request(entry, req, tried),
            tx,
        };
        let ticket = self.enqueue(entry, req, waiting, waited_before);
        self.dispatch(entry);
        let left = until.since(self.clock.now());
        let placed = with_timeout(&*self.clock, left, rx).await;
        drop(ticket);
        placed.and_then(Result::ok).ok_or(NotRun::NoUpstream)
    }

    /// Gives places to as many waiting requests as can be sent now.
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
        while let Some((waiting, decision)) = self.pop_sendable(entry, &live, now) {
            self.grant_permit(waiting, &decision, &live, now);
        }
    }

    fn enqueue<'a>(
        &'a self,
        entry: &Entry,
        req: &'a CallerRequest,
        waiting: QueuedRequest,
        at_front: bool,
    ) -> QueueTicket<'a> {
        let document = entry.document();
        let share = document.accounts.get(&req.account).map_or(1, |a| a.share);
        let cost = self.run_times.borrow().expected_ms(&req.kind.name);
        let mut queue = self.queue.borrow_mut();
        let number = queue.push(req.kind.class, &req.account, share, cost, at_front, waiting);
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
        let entries = entry.live_entries().len() as u32;
        let routing = entry.routing.borrow().clone();
        let mut queue = self.queue.borrow_mut();
        let queued = queue.len() as f64;
        let in_flight = self.in_flight.borrow();
        let saved_for_each = queued / f64::from(in_flight.total().max(1));
        let loads = self.loads.borrow();
        let loads = LoadsAt { loads: &loads, now };
        queue.pop(|waiting| {
            let account = document.accounts.get(&waiting.account)?;
            let kind = document.request_kinds.get(&waiting.kind)?;
            let account_limit = per_entry_limit(account.max_in_flight, entries);
            let kind_limit = kind
                .max_in_flight
                .map_or(u32::MAX, |l| per_entry_limit(l, entries));
            if in_flight.of_account(&waiting.account) >= account_limit
                || in_flight.of_kind(&waiting.kind) >= kind_limit
            {
                return None;
            }
            let ask = RoutingRequest {
                wait_saved_ms: saved_for_each * waiting.routing_request.run_ms,
                ..waiting.routing_request.clone()
            };
            let decision = routing.choose(&ask, live, &loads);
            decision.chosen.is_some().then_some(decision)
        })
    }

    /// Counts the request in at the chosen upstream, logs the decision and wakes its task.
    fn grant_permit(
        self: &Rc<Self>,
        waiting: QueuedRequest,
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
            request = %waiting.id,
            account = %waiting.account,
            kind = %waiting.kind,
            chosen = upstream.upstream.as_str(),
            passed_over = %serde_json::to_string(&decision.passed_over).unwrap_or_default(),
        );
        self.loads.borrow_mut().acquire_slot(now, upstream);
        self.in_flight
            .borrow_mut()
            .increment(&waiting.account, &waiting.kind);
        let place = SendPermit::new(
            self.clone(),
            upstream.upstream.clone(),
            waiting.account,
            waiting.kind,
            now,
        );
        drop(waiting.tx.send(place));
    }
}

/// Gives places whenever something changes, for ever.
pub async fn run_dispatch(entry: Rc<Entry>) {
    let heard = entry.members.borrow().changed();
    let mut adopted = Millis::default();
    loop {
        let changed = select(entry.admission.listen(), heard.listen());
        let now = entry.clock.now();
        if now.since(adopted) >= MIN_ANNOUNCEMENT_INTERVAL {
            adopted = now;
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
