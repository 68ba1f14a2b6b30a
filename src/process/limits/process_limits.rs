//! The limits of a process and the shares of its ports.

use {
    super::PortLimiter,
    crate::{prelude::*, process::metrics::LimitMetrics},
};

/// The descriptors that are reserved for files.
const RESERVED_FDS: usize = 200;

/// The memory of a connection without a body, in bytes: buffers of the stream, of the HTTP parser and
/// of the socket's task.
const CONNECTION_BYTES: usize = 64 << 10;

/// The lowest number of connections of a group of ports, however small the machine is.
const MIN_CONNECTIONS: usize = 4;

/// The default of the minimum arrival rate of a body, in bytes a second.
const DEFAULT_MIN_BODY_RATE: u64 = 1024;

/// The limits of a group of ports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PortLimits {
    /// The bytes of bodies that are held: received in part or being handled. A single body is
    /// admitted even if it is longer.
    pub body_bytes: usize,
    /// The number of bodies that are being received.
    pub bodies: usize,
    /// The number of open connections.
    pub connections: usize,
    /// The arrival rate below which a body is aborted, in bytes a second.
    pub min_body_rate: u64,
}

/// The limits of a process. Each group of ports has a share of its own, so that callers cannot use up
/// what the other ports need.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessLimits {
    /// The limits of the ports that clients reach.
    pub callers: PortLimits,
    /// The limits of the ports for readiness, health and metrics.
    pub operators: PortLimits,
    /// The limits of the ports that other processes of the system reach.
    pub peers: PortLimits,
    /// The bytes of submissions that are being stored, beside their bodies.
    pub submission_bytes: usize,
    /// The bytes of jobs that an entry holds, from their acceptance until they are forgotten.
    pub job_bytes: usize,
}

impl Default for ProcessLimits {
    /// Returns the limits of a machine of the default size.
    fn default() -> Self {
        Self::for_machine(Self::DEFAULT_MEMORY_MB, Self::DEFAULT_MAX_FDS)
    }
}

impl ProcessLimits {
    /// The memory of a machine whose settings give none, in MB.
    pub const DEFAULT_MEMORY_MB: usize = 512;

    /// The number of descriptors of a machine whose settings give none.
    pub const DEFAULT_MAX_FDS: usize = 4096;

    /// Derives the limits from a machine's memory and its number of descriptors. An eighth of the
    /// memory is for callers' bodies, because handling a body makes several copies of it. Nearly a
    /// third of the descriptors is left for connections that the process opens itself.
    pub fn for_machine(
        memory_mb: usize,
        max_fds: usize,
    ) -> Self {
        let memory = memory_mb.saturating_mul(1 << 20);
        let fds = max_fds.saturating_sub(RESERVED_FDS);
        let by_memory = memory / 4 / CONNECTION_BYTES;
        let limits = |body_bytes: usize, connections: usize| {
            let connections = connections.max(MIN_CONNECTIONS);
            PortLimits {
                body_bytes,
                bodies: (connections * 3 / 4).max(1),
                connections,
                min_body_rate: DEFAULT_MIN_BODY_RATE,
            }
        };
        Self {
            callers: limits(memory / 8, by_memory.min(fds / 2)),
            operators: limits(memory / 64, (by_memory / 8).min(fds / 16)),
            peers: limits(memory / 8, (by_memory / 2).min(fds / 8)),
            submission_bytes: memory / 8,
            job_bytes: memory / 4,
        }
    }
}

/// The limiters of the ports of a process.
pub struct ProcessLimiter {
    /// The limiter of the ports that clients reach.
    pub callers: Rc<PortLimiter>,
    /// The limiter of the ports for readiness, health and metrics.
    pub operators: Rc<PortLimiter>,
    /// The limiter of the ports that other processes of the system reach.
    pub peers: Rc<PortLimiter>,
}

impl ProcessLimiter {
    /// Creates the limiters of a process, which count in `metrics`.
    pub fn new(
        limits: &ProcessLimits,
        clock: &Rc<dyn Clock>,
        metrics: &LimitMetrics,
    ) -> Self {
        let limiter = |ports: &'static str, limits: PortLimits| {
            tracing::info!(ports, ?limits, "limits of the ports");
            Rc::new(PortLimiter::new(
                ports,
                limits,
                clock.clone(),
                metrics.clone(),
            ))
        };
        Self {
            callers: limiter("callers", limits.callers),
            operators: limiter("operators", limits.operators),
            peers: limiter("peers", limits.peers),
        }
    }
}
