//! Sends a load and counts what comes back.

use {
    super::{LoadPlan, LoadPlanError, LoadReport},
    crate::{connection::HttpClient, prelude::*},
    compio::runtime::spawn,
    event_listener::Event,
    std::{cell::Cell, time::Instant},
};

/// The longest time that one request may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);

/// What the requests of one load share.
struct LoadRun {
    plan: LoadPlan,
    client: HttpClient,
    clock: Rc<dyn Clock>,
    report: RefCell<LoadReport>,
    in_flight: Cell<u32>,
    request_ended: Event,
}

/// Sends requests at an even rate and waits for all answers.
///
/// # Errors
/// [`LoadPlanError`] when the plan is outside its limits; nothing is sent then.
pub async fn run_load(
    plan: LoadPlan,
    clock: Rc<dyn Clock>,
) -> Result<LoadReport, LoadPlanError> {
    plan.check()?;
    let load = Rc::new(LoadRun {
        client: HttpClient::new(clock.clone()),
        plan,
        clock,
        report: RefCell::default(),
        in_flight: Cell::new(0),
        request_ended: Event::new(),
    });
    let start = load.clock.now();
    for number in 0..load.plan.request_count() {
        let passed = load.clock.now().since(start);
        let early = load.plan.send_offset(number).saturating_sub(passed);
        if early >= Duration::from_millis(1) {
            load.clock.sleep(early).await;
        }
        load.start_request(number);
    }
    load.wait_for_answers().await;
    Ok(load.report.take())
}

impl LoadRun {
    /// Starts one request unless too many have no answer.
    fn start_request(
        self: &Rc<Self>,
        number: u64,
    ) {
        let kind = round_robin(&self.plan.kinds, number).clone();
        if self.in_flight.get() >= self.plan.max_in_flight {
            self.report.borrow_mut().kind_counts(&kind).skipped += 1;
            return;
        }
        self.report.borrow_mut().kind_counts(&kind).sent += 1;
        self.in_flight.set(self.in_flight.get() + 1);
        let load = self.clone();
        spawn(async move {
            load.send_request(number, &kind).await;
            load.in_flight.set(load.in_flight.get() - 1);
            load.request_ended.notify(usize::MAX);
        })
        .detach();
    }

    async fn send_request(
        &self,
        number: u64,
        kind: &KindName,
    ) {
        let entry = round_robin(&self.plan.entries, number);
        let url = format!("http://{entry}/v1/requests/{kind}");
        let bearer = format!("Bearer {}", self.plan.key);
        let headers = [("authorization", bearer.as_str())];
        let body = self.plan.body.clone();
        let start = Instant::now();
        let answer = self.client.post(&url, &headers, body, CALL_TIMEOUT).await;
        let took = start.elapsed();
        let status = answer.ok().map(|a| a.status);
        self.report.borrow_mut().record_outcome(kind, status, took);
    }

    async fn wait_for_answers(&self) {
        loop {
            let answered = self.request_ended.listen();
            if self.in_flight.get() == 0 {
                return;
            }
            answered.await;
        }
    }
}

/// Returns one of some things, each in turn.
fn round_robin<T>(
    things: &[T],
    number: u64,
) -> &T {
    &things[number as usize % things.len()]
}
