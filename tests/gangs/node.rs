//! A simulated process that can be paused and killed.

use {
    event_listener::Event,
    limpetquay::{
        prelude::*,
        process::clock::{Clock, VirtualClock},
    },
    std::{cell::Cell, future::pending},
};

/// The state of one simulated process: running, paused or dead.
pub struct Node {
    pub clock: Rc<VirtualClock>,
    paused: Cell<bool>,
    dead: Cell<bool>,
    changed: Event,
}

impl Node {
    pub fn new(clock: Rc<VirtualClock>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            paused: Cell::new(false),
            dead: Cell::new(false),
            changed: Event::new(),
        })
    }

    pub fn is_running(&self) -> bool {
        !self.dead.get() && !self.paused.get()
    }

    pub fn is_dead(&self) -> bool {
        self.dead.get()
    }

    pub fn kill(&self) {
        self.dead.set(true);
    }

    pub fn set_paused(
        &self,
        paused: bool,
    ) {
        self.paused.set(paused);
        self.changed.notify(usize::MAX);
    }

    /// Waits while the process is paused; never returns when it is dead.
    pub async fn wait_until_running(&self) {
        while !self.is_running() {
            if self.is_dead() {
                pending::<()>().await;
            }
            self.changed.listen().await;
        }
    }
}

/// The clock of one process: its timers fire late while it is paused.
pub struct NodeClock(pub Rc<Node>);

impl Clock for NodeClock {
    fn now(&self) -> Millis {
        self.0.clock.now()
    }

    fn wall_time(&self) -> Millis {
        self.0.clock.wall_time()
    }

    fn sleep(
        &self,
        span: Duration,
    ) -> LocalBoxFuture<'static, ()> {
        let node = self.0.clone();
        let sleep = node.clock.sleep(span);
        Box::pin(async move {
            sleep.await;
            node.wait_until_running().await;
        })
    }
}
