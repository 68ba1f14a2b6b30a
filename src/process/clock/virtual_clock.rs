//! A clock that moves only when every task waits.

use {
    super::{Clock, Millis},
    compio::runtime::{Runtime, spawn},
    futures_channel::oneshot,
    futures_util::future::{FutureExt, LocalBoxFuture},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        future::Future,
        panic::{AssertUnwindSafe, resume_unwind},
        rc::Rc,
        time::Duration,
    },
};

/// The time of day at which a virtual clock starts, in milliseconds since the Unix epoch.
const START_WALL_MS: u64 = 1_700_000_000_000;

/// A clock for tests and replays: time jumps to the next sleeper when no task can run. Runs with
/// the same inputs take the same course.
#[derive(Debug, Default)]
pub struct VirtualClock {
    now: Cell<u64>,
    next_number: Cell<u64>,
    sleepers: RefCell<BTreeMap<WakeTime, oneshot::Sender<()>>>,
}

/// When a sleeper is woken; sleepers of the same time wake in the order in which they came.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct WakeTime {
    at: u64,
    number: u64,
}

impl VirtualClock {
    /// Creates a clock at time zero.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Runs a future and all tasks that it spawns until it is done, in virtual time.
    ///
    /// # Panics
    /// When the future panics, or waits for something that neither a task nor the clock can bring.
    pub fn block_on<F>(
        &self,
        future: F,
    ) -> F::Output
    where
        F: Future + 'static,
    {
        let runtime = Runtime::new().expect("a runtime can be created");
        runtime.enter(|| {
            let output = Rc::new(RefCell::new(None));
            let slot = output.clone();
            spawn(async move {
                let done = AssertUnwindSafe(future).catch_unwind().await;
                *slot.borrow_mut() = Some(done);
            })
            .detach();
            loop {
                run_until_idle(&runtime);
                if let Some(done) = output.borrow_mut().take() {
                    return done.unwrap_or_else(|panic| resume_unwind(panic));
                }
                assert!(self.advance(), "every task waits and no sleeper is left");
            }
        })
    }

    /// Moves the time to the next sleeper and wakes it; `false` when there is none.
    fn advance(&self) -> bool {
        loop {
            let Some((time, sleeper)) = self.sleepers.borrow_mut().pop_first() else {
                return false;
            };
            if sleeper.is_canceled() {
                continue;
            }
            self.now.set(self.now.get().max(time.at));
            let _ = sleeper.send(());
            return true;
        }
    }
}

/// Runs the tasks of a runtime until each of them waits.
fn run_until_idle(runtime: &Runtime) {
    while runtime.run() {}
}

impl Clock for VirtualClock {
    fn now(&self) -> Millis {
        Millis(self.now.get())
    }

    fn wall_time(&self) -> Millis {
        Millis(START_WALL_MS + self.now.get())
    }

    fn sleep(
        &self,
        span: Duration,
    ) -> LocalBoxFuture<'static, ()> {
        let (tx, rx) = oneshot::channel();
        let time = WakeTime {
            at: self.now.get() + Millis::from(span).0,
            number: self.next_number.get(),
        };
        self.next_number.set(time.number + 1);
        self.sleepers.borrow_mut().insert(time, tx);
        Box::pin(async move {
            let _ = rx.await;
        })
    }
}
