//! Metrics of an entry or a guard.

use {
    super::{GangMetrics, LimitMetrics, ProcessUsage},
    prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder},
};

/// The metrics of a process, with their registry.
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Requests that were not run, by reason.
    pub requests_not_run: IntCounterVec,
    /// Retries of requests after a failure.
    pub request_retries: IntCounter,
    /// Answers that were dropped because they named another request.
    pub mismatched_answers: IntCounter,
    /// Replies that were dropped because they arrived after their call had been abandoned.
    pub late_replies: IntCounter,
    /// Request frames that repeated an earlier request.
    pub duplicate_requests: IntCounter,
    /// Bytes sent to guards.
    pub peer_bytes_sent: IntCounter,
    /// Failed attempts to connect to a guard.
    pub peer_connect_failures: IntCounter,
    /// Frames that violated the protocol.
    pub malformed_frames: IntCounter,
    /// Datagrams that violated the protocol.
    pub malformed_datagrams: IntCounter,
    /// HTTP connections that were closed for a malformed or slow request.
    pub malformed_requests: IntCounter,
    /// Announcements received.
    pub announcements_received: IntCounter,
    /// Bytes that crossed the link between regions, by purpose.
    pub link_bytes: IntCounterVec,
    /// Bytes of membership datagrams, including UDP and IP headers, by direction.
    pub membership_bytes: IntCounterVec,
    /// Membership datagrams, by direction.
    pub membership_datagrams: IntCounterVec,
    /// Upstreams that this process considers live.
    pub live_upstreams: IntGauge,
    /// Upstreams that this entry watches on behalf of the other entries.
    pub watched_upstreams: IntGauge,
    /// Entries that this process considers live.
    pub live_entries: IntGauge,
    /// Upstreams that were declared dead.
    pub upstreams_lost: IntCounter,
    /// The document version in force.
    pub document_version: IntGauge,
    /// Slots in use.
    pub slots_in_use: IntGauge,
    /// Accelerators in use.
    pub accelerators_in_use: IntGauge,
    /// Metrics of gangs and of guaranteed accelerators.
    pub gangs: GangMetrics,
    /// Metrics of the limits on clients.
    pub limits: LimitMetrics,
    cpu_seconds: Gauge,
    resident_bytes: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        Self {
            requests: counter_vec(
                &registry,
                "limpetquay_requests_total",
                "Requests by outcome.",
                &["outcome"],
            ),
            requests_not_run: counter_vec(
                &registry,
                "limpetquay_requests_not_run_total",
                "Requests that were not run, by reason.",
                &["reason"],
            ),
            request_retries: counter(
                &registry,
                "limpetquay_request_retries_total",
                "Retries of requests after a failure.",
            ),
            mismatched_answers: counter(
                &registry,
                "limpetquay_crossed_answers_total",
                "Answers that named another request and were dropped.",
            ),
            late_replies: counter(
                &registry,
                "limpetquay_late_replies_total",
                "Replies that nobody waited for any more and were dropped.",
            ),
            duplicate_requests: counter(
                &registry,
                "limpetquay_doubled_requests_total",
                "Frames of requests that were seen before.",
            ),
            peer_bytes_sent: counter(
                &registry,
                "limpetquay_peer_sent_bytes_total",
                "Bytes sent to guards.",
            ),
            peer_connect_failures: counter(
                &registry,
                "limpetquay_peer_connect_failures_total",
                "Failed tries to connect to a guard.",
            ),
            malformed_frames: counter(
                &registry,
                "limpetquay_malformed_frames_total",
                "Frames that broke the protocol.",
            ),
            malformed_requests: counter(
                &registry,
                "limpetquay_malformed_requests_total",
                "HTTP connections closed for a malformed or slow request.",
            ),
            malformed_datagrams: counter(
                &registry,
                "limpetquay_malformed_datagrams_total",
                "Datagrams that broke the protocol.",
            ),
            announcements_received: counter(
                &registry,
                "limpetquay_announcements_total",
                "Announcements heard.",
            ),
            link_bytes: counter_vec(
                &registry,
                "limpetquay_link_bytes_total",
                "Bytes that crossed the link between regions, by purpose.",
                &["purpose"],
            ),
            membership_bytes: counter_vec(
                &registry,
                "limpetquay_membership_bytes_total",
                "Bytes of membership datagrams with UDP and IP headers, by direction.",
                &["direction"],
            ),
            membership_datagrams: counter_vec(
                &registry,
                "limpetquay_membership_datagrams_total",
                "Membership datagrams, by direction.",
                &["direction"],
            ),
            live_upstreams: gauge(
                &registry,
                "limpetquay_live_upstreams",
                "Upstreams that are known as live.",
            ),
            watched_upstreams: gauge(
                &registry,
                "limpetquay_watched_upstreams",
                "Upstreams that this entry watches for the others.",
            ),
            live_entries: gauge(
                &registry,
                "limpetquay_live_entries",
                "Entries that are known as live.",
            ),
            upstreams_lost: counter(
                &registry,
                "limpetquay_upstreams_lost_total",
                "Upstreams that were found dead.",
            ),
            document_version: gauge(
                &registry,
                "limpetquay_document_version",
                "The document version in force.",
            ),
            slots_in_use: gauge(&registry, "limpetquay_slots_in_use", "Slots in use."),
            accelerators_in_use: gauge(
                &registry,
                "limpetquay_accelerators_in_use",
                "Accelerators in use.",
            ),
            cpu_seconds: {
                let help = "Processor time of the process since its start.";
                let gauge = Gauge::new("limpetquay_process_cpu_seconds", help);
                register(&registry, gauge.expect("the name is valid"))
            },
            resident_bytes: gauge(
                &registry,
                "limpetquay_process_resident_bytes",
                "Resident memory of the process.",
            ),
            gangs: GangMetrics::new(&registry),
            limits: LimitMetrics::new(&registry),
            registry,
        }
    }
}

impl Metrics {
    /// Returns all metrics in the Prometheus text format, or a comment line with the error.
    pub fn render(&self) -> String {
        let usage = ProcessUsage::current();
        self.cpu_seconds.set(usage.cpu_time.as_secs_f64());
        self.resident_bytes.set(usage.resident_bytes as i64);
        let families = self.registry.gather();
        match TextEncoder::new().encode_to_string(&families) {
            Ok(text) => text,
            Err(e) => {
                tracing::error!(error = %e, "failed to encode the metrics");
                format!("# the metrics cannot be encoded: {e}\n")
            }
        }
    }
}

pub(super) fn counter(
    registry: &Registry,
    name: &str,
    help: &str,
) -> IntCounter {
    let metric = IntCounter::new(name, help).expect("the name is valid");
    register(registry, metric)
}

fn counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid");
    register(registry, metric)
}

pub(super) fn gauge(
    registry: &Registry,
    name: &str,
    help: &str,
) -> IntGauge {
    let metric = IntGauge::new(name, help).expect("the name is valid");
    register(registry, metric)
}

pub(super) fn register<M>(
    registry: &Registry,
    metric: M,
) -> M
where
    M: Clone + prometheus::core::Collector + 'static,
{
    let registered = registry.register(Box::new(metric.clone()));
    registered.expect("every name is registered once");
    metric
}
