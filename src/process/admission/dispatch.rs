//! Gives waiting requests their places.

use {
    super::{
        Admission, Place,
        admission::{LoadsNow, entry_part},
    },
    crate::{
        prelude::*,
        process::{clock::with_timeout, entry::Entry, membership::Announcement},
        request::{CallerRequest, NotRun, RoutingAsk, RoutingDecision},
    },
    futures_channel::oneshot,
    futures_util::future::select,
};

/// The longest pause between two looks at a queue in which something waits, for what passes
/// without an event: an ejection, or an upstream that counts as full.
const QUEUE_LOOK: Duration = Duration::from_millis(50);

/// The shortest pause between two looks at what upstreams have announced.
const ADOPT_SPACING: Duration = Duration::from_millis(10);

/// A request that waits for its place.
pub struct Waiting {
    id: RequestId,
    account: AccountName,
    kind: KindName,
    ask: RoutingAsk,
    tx: oneshot::Sender<Place>,
}

/// A place in the queue, given up when it is dropped.
struct Ticket<'a> {
    admission: &'a Admission,
    req: &'a CallerRequest,
    number: u64,
}

impl Drop for Ticket<'_> {
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
    pub async fn place(
        self: &Rc<Self>,
        entry: &Entry,
        req: &CallerRequest,
        tried: &[UpstreamName],
        waited_before: bool,
        until: Millis,
    ) -> Result<Place, NotRun> {
        let (tx, rx) = oneshot::channel();
        let waiting = Waiting {
            id: req.id,
            account: req.account.clone(),
            kind: req.kind.name.clone(),
            ask: self.ask(entry, req, tried),
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
        self.loads.borrow_mut().check_panic(now, &live);
        while let Some((waiting, decision)) = self.pop_sendable(entry, &live, now) {
            self.grant(waiting, &decision, &live, now);
        }
    }

    fn enqueue<'a>(
        &'a self,
        entry: &Entry,
        req: &'a CallerRequest,
        waiting: Waiting,
        at_front: bool,
    ) -> Ticket<'a> {
        let document = entry.document();
        let share = document.accounts.get(&req.account).map_or(1, |a| a.share);
        let cost = self.kinds.borrow().expected_ms(&req.kind.name);
        let mut queue = self.queue.borrow_mut();
        let number = queue.push(req.kind.class, &req.account, share, cost, at_front, waiting);
        Ticket {
            admission: self,
            req,
            number,
        }
    }

    fn ask(
        &self,
        entry: &Entry,
        req: &CallerRequest,
        tried: &[UpstreamName],
    ) -> RoutingAsk {
        RoutingAsk {
            region: entry.settings.region.clone(),
            data_centre: entry.settings.data_centre.clone(),
            body_bytes: req.body.len(),
            link_price_ms_per_kib: entry.document().link_price_ms_per_kib,
            run_ms: self.kinds.borrow().expected_ms(&req.kind.name),
            wait_saved_ms: 0.0,
            tried: tried.to_vec(),
        }
    }

    fn pop_sendable(
        &self,
        entry: &Entry,
        live: &[Rc<Announcement>],
        now: Millis,
    ) -> Option<(Waiting, RoutingDecision)> {
        let document = entry.document();
        let entries = entry.live_entries().len() as u32;
        let routing = entry.routing.borrow().clone();
        let mut queue = self.queue.borrow_mut();
        let queued = queue.len() as f64;
        let in_flight = self.in_flight.borrow();
        let saved_for_each = queued / f64::from(in_flight.total().max(1));
        let loads = self.loads.borrow();
        let loads = LoadsNow { loads: &loads, now };
        queue.pop(|waiting| {
            let account = document.accounts.get(&waiting.account)?;
            let kind = document.request_kinds.get(&waiting.kind)?;
            let account_limit = entry_part(account.max_in_flight, entries);
            let kind_limit = kind
                .max_in_flight
                .map_or(u32::MAX, |l| entry_part(l, entries));
            if in_flight.of_account(&waiting.account) >= account_limit
                || in_flight.of_kind(&waiting.kind) >= kind_limit
            {
                return None;
            }
            let ask = RoutingAsk {
                wait_saved_ms: saved_for_each * waiting.ask.run_ms,
                ..waiting.ask.clone()
            };
            let decision = routing.choose(&ask, live, &loads);
            decision.chosen.is_some().then_some(decision)
        })
    }

    /// Counts the request in at the chosen upstream, logs the decision and wakes its task.
    fn grant(
        self: &Rc<Self>,
        waiting: Waiting,
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
        self.loads.borrow_mut().take(now, upstream);
        self.in_flight
            .borrow_mut()
            .enter(&waiting.account, &waiting.kind);
        let place = Place::new(
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
        if now.since(adopted) >= ADOPT_SPACING {
            adopted = now;
            let live = entry.members.borrow().live(now);
            entry.admission.loads.borrow_mut().adopt(now, &live);
        }
        entry.admission.dispatch(&entry);
        if entry.admission.queued() == 0 {
            changed.await;
        } else {
            with_timeout(&*entry.clock, QUEUE_LOOK, changed).await;
        }
    }
}
