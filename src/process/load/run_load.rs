//! Sends the requests of a load plan and collects their outcomes.

use {
    super::{LoadPlan, LoadPlanError, LoadReport},
    crate::{connection::HttpClient, prelude::*},
    compio::runtime::spawn,
    event_listener::Event,
    std::{cell::Cell, time::Instant},
};

/// The timeout of one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);

/// The state shared by the requests of one load run.
struct LoadRun {
    plan: LoadPlan,
    client: HttpClient,
    clock: Rc<dyn Clock>,
    report: RefCell<LoadReport>,
    in_flight: Cell<u32>,
    request_ended: Event,
}

/// Sends the requests of a plan at a constant rate and waits until all have ended.
///
/// # Errors
/// Returns [`LoadPlanError`] if the plan violates a limit; nothing is sent then.
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
        let elapsed = load.clock.now().since(start);
        let delay = load.plan.send_offset(number).saturating_sub(elapsed);
        if delay >= Duration::from_millis(1) {
            load.clock.sleep(delay).await;
        }
        load.start_request(number);
    }
    load.wait_for_answers().await;
    Ok(load.report.take())
}

impl LoadRun {
    /// Starts one request, or counts it as skipped if too many are in flight.
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
        let latency = start.elapsed();
        let status = answer.ok().map(|a| a.status);
        self.report
            .borrow_mut()
            .record_outcome(kind, status, latency);
    }

    async fn wait_for_answers(&self) {
        loop {
            let request_ended = self.request_ended.listen();
            if self.in_flight.get() == 0 {
                return;
            }
            request_ended.await;
        }
    }
}

/// Returns the item for a number in round-robin order.
fn round_robin<T>(
    items: &[T],
    number: u64,
) -> &T {
    &items[number as usize % items.len()]
}
