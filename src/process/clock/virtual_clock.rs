//! A clock that advances only when every task waits.

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

/// The wall-clock time at which a virtual clock starts, in milliseconds since the Unix epoch.
const START_WALL_MS: u64 = 1_700_000_000_000;

/// A clock for tests and replays: time jumps to the next wake-up when no task can run. Runs with
/// the same inputs give the same results.
#[derive(Debug, Default)]
pub struct VirtualClock {
    now_ms: Cell<u64>,
    next_sequence: Cell<u64>,
    sleepers: RefCell<BTreeMap<WakeTime, oneshot::Sender<()>>>,
}

/// The time of a wake-up; wake-ups of the same time happen in the order of their `sleep` calls.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct WakeTime {
    at_ms: u64,
    sequence: u64,
}

impl VirtualClock {
    /// Creates a clock at time zero.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Runs a future and the tasks that it spawns in virtual time until the future completes.
    ///
    /// # Panics
    /// Panics if the future panics, or if it waits although no task can run and no wake-up is
    /// pending.
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
                let result = AssertUnwindSafe(future).catch_unwind().await;
                *slot.borrow_mut() = Some(result);
            })
            .detach();
            loop {
                run_until_idle(&runtime);
                if let Some(result) = output.borrow_mut().take() {
                    return result.unwrap_or_else(|panic| resume_unwind(panic));
                }
                assert!(
                    self.advance(),
                    "deadlock: every task waits and no wake-up is pending"
                );
            }
        })
    }

    /// Advances the time to the next sleeper and wakes it. Returns `false` when there is none.
    fn advance(&self) -> bool {
        loop {
            let Some((time, sleeper)) = self.sleepers.borrow_mut().pop_first() else {
                return false;
            };
            if sleeper.is_canceled() {
                continue;
            }
            self.now_ms.set(self.now_ms.get().max(time.at_ms));
            let _ = sleeper.send(());
            return true;
        }
    }
}

fn run_until_idle(runtime: &Runtime) {
    while runtime.run() {}
}

impl Clock for VirtualClock {
    fn now(&self) -> Millis {
        Millis(self.now_ms.get())
    }

    fn wall_time(&self) -> Millis {
        Millis(START_WALL_MS + self.now_ms.get())
    }

    fn sleep(
        &self,
        duration: Duration,
    ) -> LocalBoxFuture<'static, ()> {
        let (tx, rx) = oneshot::channel();
        let time = WakeTime {
            at_ms: self.now_ms.get() + Millis::from(duration).0,
            sequence: self.next_sequence.get(),
        };
        self.next_sequence.set(time.sequence + 1);
        self.sleepers.borrow_mut().insert(time, tx);
        Box::pin(async move {
            let _ = rx.await;
        })
    }
}
