//! Applies the limits of a group of ports to its connections and bodies.

use {
    super::{
        BodyBudget, BodyId, ConnectionId, ConnectionTable, EventThrottle, OverLimit, PortLimits,
    },
    crate::{
        prelude::*,
        process::{
            clock::{SystemClock, with_timeout},
            metrics::LimitMetrics,
            shutdown::Shutdown,
        },
    },
    derive_more::{Display, Error},
    event_listener::Event,
    std::{cell::Cell, collections::BTreeMap},
};

/// The initial size of a body's buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 1024;

/// The time for which a connection or a body is spared while others may be closed in its place. It
/// gives a new client the time to send its request.
const GRACE: Duration = Duration::from_millis(100);

/// How long a new connection waits for the end of one that was told to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Why a body was not received.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[display("the body is too long")]
    TooLarge,
    /// The body was aborted because a limit was reached.
    #[display("the body was aborted because a limit was reached")]
    Aborted,
}

/// What a body's task and the limiter share.
#[derive(Default)]
struct Slot {
    buffer: RefCell<Vec<u8>>,
    is_aborted: Cell<bool>,
    aborted: Shutdown,
}

/// The limiter of a group of ports.
pub struct PortLimiter {
    ports: &'static str,
    clock: Rc<dyn Clock>,
    metrics: LimitMetrics,
    bodies: RefCell<BodyBudget>,
    slots: RefCell<BTreeMap<BodyId, Rc<Slot>>>,
    connections: RefCell<ConnectionTable>,
    closers: RefCell<BTreeMap<ConnectionId, Rc<Shutdown>>>,
    closed: Event,
    aborted_bodies: RefCell<EventThrottle>,
    refused_connections: RefCell<EventThrottle>,
}

impl PortLimiter {
    /// Creates the limiter of the ports that `ports` names in metrics and log lines.
    pub fn new(
        ports: &'static str,
        limits: PortLimits,
        clock: Rc<dyn Clock>,
        metrics: LimitMetrics,
    ) -> Self {
        Self {
            ports,
            clock,
            metrics,
            bodies: RefCell::new(BodyBudget::new(limits)),
            slots: RefCell::default(),
            connections: RefCell::new(ConnectionTable::new(limits.connections)),
            closers: RefCell::default(),
            closed: Event::new(),
            aborted_bodies: RefCell::default(),
            refused_connections: RefCell::default(),
        }
    }

    /// Creates a limiter that limits nothing, for servers that only known clients reach.
    pub fn unlimited() -> Self {
        let limits = PortLimits {
            body_bytes: usize::MAX / 2,
            bodies: usize::MAX,
            connections: usize::MAX,
            min_body_rate: 0,
        };
        let clock = Rc::new(SystemClock::default());
        Self::new("unlimited", limits, clock, LimitMetrics::default())
    }

    /// Returns the clock of the limiter.
    pub fn clock(&self) -> &Rc<dyn Clock> {
        &self.clock
    }

    /// Counts a new connection. When the limit is reached, closes the connection that has been idle
    /// longest, or else aborts a body, and waits a short time for its end. Returns `None` if there is
    /// still no room; the new connection has to be closed then.
    pub async fn open_connection(self: &Rc<Self>) -> Option<OpenConnection> {
        if let Some(open) = self.try_open() {
            return Some(open);
        }
        let closed = self.closed.listen();
        if self.make_room() {
            with_timeout(&*self.clock, CLOSE_TIMEOUT, closed).await;
        }
        let open = self.try_open();
        if open.is_none() {
            self.metrics.count_connection(self.ports, "refused");
            let throttled = self
                .refused_connections
                .borrow_mut()
                .record(self.clock.now());
            if let Some(count) = throttled {
                tracing::warn!(
                    ports = self.ports,
                    count,
                    "connections refused at the limit"
                );
            }
        }
        open
    }

    fn try_open(self: &Rc<Self>) -> Option<OpenConnection> {
        let id = self.connections.borrow_mut().open(self.clock.now())?;
        let closer = Rc::<Shutdown>::default();
        self.closers.borrow_mut().insert(id, closer.clone());
        Some(OpenConnection {
            limiter: self.clone(),
            id,
            closer,
        })
    }

    /// Tells a connection to close. Returns whether there is one.
    fn make_room(&self) -> bool {
        let now = self.clock.now();
        if self.close_idle(GRACE, now) {
            return true;
        }
        let worst = self.bodies.borrow_mut().abort_worst(GRACE, now);
        if let Some(worst) = worst {
            self.abort([worst], now);
            return true;
        }
        self.close_idle(Duration::ZERO, now)
    }

    fn close_idle(
        &self,
        min_idle: Duration,
        now: Millis,
    ) -> bool {
        let idle = self
            .connections
            .borrow_mut()
            .close_longest_idle(min_idle, now);
        let closers = self.closers.borrow();
        let Some(closer) = idle.and_then(|id| closers.get(&id)) else {
            return false;
        };
        closer.trigger();
        self.metrics.count_connection(self.ports, "closed_idle");
        true
    }

    /// Admits a body of at most `max_len` bytes, or of a known length.
    pub fn admit_body(
        self: &Rc<Self>,
        max_len: usize,
    ) -> BodySlot {
        let now = self.clock.now();
        let (id, aborted) = self.bodies.borrow_mut().admit(now);
        self.abort(aborted, now);
        let slot = Rc::<Slot>::default();
        self.slots.borrow_mut().insert(id, slot.clone());
        BodySlot {
            limiter: self.clone(),
            id,
            slot,
            max_len,
        }
    }

    /// Frees the buffers of bodies that the budget no longer holds, and notifies their tasks.
    fn abort<I>(
        &self,
        bodies: I,
        now: Millis,
    ) where
        I: IntoIterator<Item = BodyId>,
    {
        for id in bodies {
            if let Some(slot) = self.slots.borrow_mut().remove(&id) {
                slot.is_aborted.set(true);
                *slot.buffer.borrow_mut() = Vec::new();
                slot.aborted.trigger();
            }
            self.record_abort("limit", now);
        }
        self.update_held_bytes();
    }

    fn record_abort(
        &self,
        reason: &str,
        now: Millis,
    ) {
        self.metrics.count_aborted_body(self.ports, reason);
        if let Some(count) = self.aborted_bodies.borrow_mut().record(now) {
            let held_bytes = self.bodies.borrow().held_bytes();
            tracing::warn!(
                ports = self.ports,
                count,
                reason,
                held_bytes,
                "bodies aborted at the limit"
            );
        }
    }

    fn update_held_bytes(&self) {
        let held = self.bodies.borrow().held_bytes();
        self.metrics.set_held_bytes(self.ports, held);
    }
}

/// An open connection, which counts until it is dropped.
pub struct OpenConnection {
    limiter: Rc<PortLimiter>,
    id: ConnectionId,
    closer: Rc<Shutdown>,
}

impl OpenConnection {
    /// Returns the limiter that counts the connection.
    pub fn limiter(&self) -> &Rc<PortLimiter> {
        &self.limiter
    }

    /// Waits until the connection has to be closed to make room for another one.
    pub async fn wait_for_close(&self) {
        self.closer.wait().await;
    }

    /// Marks the connection as busy until the returned value is dropped.
    pub fn begin_request(&self) -> BusyConnection<'_> {
        self.limiter.connections.borrow_mut().set_busy(self.id);
        BusyConnection(self)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.limiter.connections.borrow_mut().remove(self.id);
        self.limiter.closers.borrow_mut().remove(&self.id);
        self.limiter.closed.notify(usize::MAX);
    }
}

/// A connection that has a request until this value is dropped.
pub struct BusyConnection<'a>(&'a OpenConnection);

impl Drop for BusyConnection<'_> {
    fn drop(&mut self) {
        let now = self.0.limiter.clock.now();
        let mut connections = self.0.limiter.connections.borrow_mut();
        connections.set_idle(self.0.id, now);
    }
}

/// A body that counts until this value is dropped, which is when its request has been handled.
pub struct BodySlot {
    limiter: Rc<PortLimiter>,
    id: BodyId,
    slot: Rc<Slot>,
    max_len: usize,
}

impl BodySlot {
    /// Copies bytes that have arrived into the body's buffer, which grows up to the body's maximum
    /// length.
    ///
    /// # Errors
    /// Returns a [`BodyError`] if the body is too long or is aborted because a limit is reached.
    pub fn push(
        &self,
        data: &[u8],
    ) -> Result<(), BodyError> {
        if self.slot.is_aborted.get() {
            return Err(BodyError::Aborted);
        }
        let (len, capacity) = {
            let buffer = self.slot.buffer.borrow();
            (buffer.len(), buffer.capacity())
        };
        let needed = len.saturating_add(data.len());
        if needed > self.max_len {
            return Err(BodyError::TooLarge);
        }
        if needed > capacity {
            let enlarged = needed.max(capacity * 2).max(MIN_BUFFER_BYTES);
            self.grow(enlarged.min(self.max_len))?;
        }
        self.slot.buffer.borrow_mut().extend_from_slice(data);
        let mut bodies = self.limiter.bodies.borrow_mut();
        bodies.record_received(self.id, data.len());
        Ok(())
    }

    fn grow(
        &self,
        capacity: usize,
    ) -> Result<(), BodyError> {
        let limiter = &self.limiter;
        let now = limiter.clock.now();
        let grown = limiter.bodies.borrow_mut().grow(self.id, capacity, now);
        match grown {
            Ok(aborted) => limiter.abort(aborted, now),
            Err(OverLimit) => {
                limiter.abort([self.id], now);
                return Err(BodyError::Aborted);
            }
        }
        let mut buffer = self.slot.buffer.borrow_mut();
        let added = capacity - buffer.len();
        buffer.reserve_exact(added);
        Ok(())
    }

    /// Waits until the body is aborted.
    pub async fn wait_for_abort(&self) {
        self.slot.aborted.wait().await;
    }

    /// Returns whether the body arrives below the minimum rate, and counts it as aborted if so.
    pub fn is_too_slow(&self) -> bool {
        let now = self.limiter.clock.now();
        let is_too_slow = self.limiter.bodies.borrow().is_too_slow(self.id, now);
        if is_too_slow {
            self.limiter.record_abort("slow", now);
        }
        is_too_slow
    }

    /// Records that the body has been received and returns it. Its bytes count until this value is
    /// dropped.
    ///
    /// # Errors
    /// Returns [`BodyError::Aborted`] if the body was aborted before.
    pub fn complete(&self) -> Result<Bytes, BodyError> {
        if self.slot.is_aborted.get() {
            return Err(BodyError::Aborted);
        }
        self.limiter.bodies.borrow_mut().complete(self.id);
        Ok(std::mem::take(&mut *self.slot.buffer.borrow_mut()).into())
    }
}

impl Drop for BodySlot {
    fn drop(&mut self) {
        self.limiter.bodies.borrow_mut().release(self.id);
        self.limiter.slots.borrow_mut().remove(&self.id);
        self.limiter.update_held_bytes();
    }
}
