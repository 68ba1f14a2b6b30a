//! Metrics of the platform roles, which accept jobs of steps, schedule them and call workers.

use {
    super::{
        LimitMetrics, ProcessUsage,
        metrics::{gauge, register},
    },
    prometheus::{
        Gauge, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts,
        Registry, TextEncoder,
    },
};

/// The upper bounds of the buckets of waiting times, in seconds.
const WAIT_BUCKETS_S: [f64; 10] = [0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

/// The metrics of a process in a platform role, with their registry.
pub struct PlatformMetrics {
    registry: Registry,
    /// Jobs submitted by callers, by outcome.
    pub submissions: IntCounterVec,
    /// The time from a submission to its answer, in seconds.
    pub submission_seconds: Histogram,
    /// Calls to the store, by call and outcome.
    pub store_calls: IntCounterVec,
    /// Events of runs, by kind of event.
    pub run_events: IntCounterVec,
    /// The time that units waited before they were placed, in seconds, by priority.
    pub placement_wait_seconds: HistogramVec,
    /// Jobs that have not ended.
    pub open_jobs: IntGauge,
    /// Runs that the scheduler tracks as placed.
    pub placed_runs: IntGauge,
    /// Workers on which runs can be started.
    pub usable_upstreams: IntGauge,
    /// The term in which this entry schedules as the leader, or 0 when it does not.
    pub leader_term: IntGauge,
    /// The version of the configuration in force.
    pub config_version: IntGauge,
    /// 1 for each data centre that is evacuated.
    pub evacuated_data_centres: IntGaugeVec,
    /// Runs that are still on the workers of each evacuated data centre, if this entry is the leader.
    pub evacuated_runs: IntGaugeVec,
    /// The age of the local view of the ledger, in milliseconds.
    pub ledger_age_ms: IntGauge,
    /// Metrics of the limits on clients.
    pub limits: LimitMetrics,
    cpu_seconds: Gauge,
    resident_bytes: IntGauge,
}

impl Default for PlatformMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counter_vec = |name: &str, help: &str, labels: &[&str]| {
            register(
                &registry,
                expect_valid(IntCounterVec::new(Opts::new(name, help), labels)),
            )
        };
        let data_centre_gauge = |name: &str, help: &str| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), &["data_centre"]);
            register(&registry, expect_valid(gauge))
        };
        let histogram_opts = |name: &str, help: &str| {
            HistogramOpts::new(name, help).buckets(WAIT_BUCKETS_S.to_vec())
        };
        let submission_wait = histogram_opts(
            "limpetquay_submission_seconds",
            "Time from a submission to its answer.",
        );
        let placement_wait = histogram_opts(
            "limpetquay_placement_wait_seconds",
            "Time for which units waited before they were placed, by priority.",
        );
        Self {
            submissions: counter_vec(
                "limpetquay_submissions_total",
                "Submitted jobs, by outcome.",
                &["outcome"],
            ),
            submission_seconds: register(
                &registry,
                expect_valid(Histogram::with_opts(submission_wait)),
            ),
            store_calls: counter_vec(
                "limpetquay_store_calls_total",
                "Calls to the store, by call and outcome.",
                &["call", "outcome"],
            ),
            run_events: counter_vec("limpetquay_runs_total", "Runs, by event.", &["event"]),
            placement_wait_seconds: register(
                &registry,
                expect_valid(HistogramVec::new(placement_wait, &["priority"])),
            ),
            open_jobs: gauge(
                &registry,
                "limpetquay_open_jobs",
                "Jobs that have not ended.",
            ),
            placed_runs: gauge(&registry, "limpetquay_placed_runs", "Runs accounted for."),
            usable_upstreams: gauge(
                &registry,
                "limpetquay_usable_upstreams",
                "Workers on which something can be started.",
            ),
            leader_term: gauge(
                &registry,
                "limpetquay_lead_term",
                "Term under which this entry schedules, 0 when it does not.",
            ),
            config_version: gauge(
                &registry,
                "limpetquay_config_version",
                "Version of the configuration in force.",
            ),
            evacuated_data_centres: data_centre_gauge(
                "limpetquay_evacuated_data_centre",
                "1 for each data centre that is evacuated.",
            ),
            evacuated_runs: data_centre_gauge(
                "limpetquay_evacuated_runs",
                "Runs that are still in each evacuated data centre, at the entry that schedules.",
            ),
            ledger_age_ms: gauge(
                &registry,
                "limpetquay_ledger_age_milliseconds",
                "Age of the view of the ledger.",
            ),
            limits: LimitMetrics::new(&registry),
            cpu_seconds: register(
                &registry,
                expect_valid(Gauge::new(
                    "process_cpu_seconds_total",
                    "Processor time of the process.",
                )),
            ),
            resident_bytes: gauge(
                &registry,
                "process_resident_memory_bytes",
                "Resident memory of the process.",
            ),
            registry,
        }
    }
}

impl PlatformMetrics {
    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let usage = ProcessUsage::current();
        self.cpu_seconds.set(usage.cpu_time.as_secs_f64());
        self.resident_bytes.set(usage.resident_bytes as i64);
        let text = TextEncoder::new().encode_to_string(&self.registry.gather());
        text.unwrap_or_else(|e| {
            tracing::error!(error = %e, "failed to encode the metrics");
            String::new()
        })
    }
}

/// Unwraps a metric whose name and labels are constants of this file.
///
/// # Panics
/// Panics if the name or a label is not valid.
fn expect_valid<M>(metric: Result<M, prometheus::Error>) -> M {
    metric.expect("the name and the labels are valid")
}
