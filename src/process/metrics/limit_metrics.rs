//! Metrics of the limits on what clients can make a process hold.

use {
    super::metrics::register,
    prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry},
};

/// The metrics of the limits. Clones count together.
#[derive(Clone)]
pub struct LimitMetrics {
    aborted_bodies: IntCounterVec,
    connections: IntCounterVec,
    held_bytes: IntGaugeVec,
}

impl LimitMetrics {
    /// Creates the metrics in a registry.
    ///
    /// # Panics
    /// Panics if the registry has metrics of the same names.
    pub fn new(registry: &Registry) -> Self {
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &["ports", label]);
            register(
                registry,
                counter.expect("the name and the labels are valid"),
            )
        };
        let held_bytes = Opts::new(
            "limpetquay_held_body_bytes",
            "Bytes of bodies that are being received or handled, by ports.",
        );
        let held_bytes = IntGaugeVec::new(held_bytes, &["ports"]);
        Self {
            aborted_bodies: counter(
                "limpetquay_aborted_bodies_total",
                "Bodies that were aborted while they arrived, by ports and reason.",
                "reason",
            ),
            connections: counter(
                "limpetquay_limited_connections_total",
                "Connections that were closed or refused at the limit, by ports and outcome.",
                "outcome",
            ),
            held_bytes: register(
                registry,
                held_bytes.expect("the name and the label are valid"),
            ),
        }
    }

    /// Counts a body that was aborted.
    pub fn count_aborted_body(
        &self,
        ports: &str,
        reason: &str,
    ) {
        self.aborted_bodies
            .with_label_values(&[ports, reason])
            .inc();
    }

    /// Counts a connection that was refused, or closed while it was idle.
    pub fn count_connection(
        &self,
        ports: &str,
        outcome: &str,
    ) {
        self.connections.with_label_values(&[ports, outcome]).inc();
    }

    /// Sets the bytes of bodies that are held.
    pub fn set_held_bytes(
        &self,
        ports: &str,
        bytes: usize,
    ) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.held_bytes.with_label_values(&[ports]).set(bytes);
    }
}

impl Default for LimitMetrics {
    fn default() -> Self {
        Self::new(&Registry::new())
    }
}
