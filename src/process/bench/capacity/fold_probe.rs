//! Measures the memory and time that an entry needs to fold the log.

use {
    super::{Point, Probe, Quantity, target},
    crate::{
        prelude::*,
        process::{
            bench::{BenchCx, BenchError},
            metrics::ProcessUsage,
            platform::{LogRecord, Offset},
            state::{Fold, JobRecord, Record, RecordBody, RecordKey},
        },
        request::JobSpec,
    },
    std::{ops::Range, time::Instant},
};

/// The measured sizes of the fold, in open jobs.
const OPEN_JOB_COUNTS: [u64; 4] = [1_000, 5_000, 10_000, 20_000];

/// The number of open jobs at the target: as many as arrive in a week.
const TARGET_OPEN_JOBS: f64 = 7.0 * target::JOBS_PER_DAY;

/// Measures the resident memory of the fold, and the elapsed time to build it, as open jobs grow.
pub(super) struct FoldProbe;

impl Probe for FoldProbe {
    fn measure(
        &self,
        _cx: &BenchCx,
    ) -> Result<Vec<Quantity>, BenchError> {
        let mut memory = Vec::new();
        let mut time = Vec::new();
        let mut fold = Fold::default();
        let mut folded = 0;
        let mut elapsed = Duration::ZERO;
        let bytes_before = ProcessUsage::current().resident_bytes;
        for size in OPEN_JOB_COUNTS {
            elapsed += fold_jobs(&mut fold, folded..size)?;
            folded = size;
            let bytes = ProcessUsage::current()
                .resident_bytes
                .saturating_sub(bytes_before);
            let x = size as f64;
            memory.push(Point {
                x,
                y: bytes as f64 / 1e6,
            });
            time.push(Point {
                x,
                y: elapsed.as_secs_f64() * 1e3,
            });
        }
        assert_eq!(fold.jobs().count() as u64, folded, "every job is folded");
        Ok(vec![
            fold_quantity(
                "resident memory of the fold",
                "MB",
                Some(target::MAX_MEMORY_MB),
                memory,
            ),
            fold_quantity("processor time to fold all open jobs", "ms", None, time),
        ])
    }
}

fn fold_quantity(
    name: &'static str,
    unit: &'static str,
    bound: Option<f64>,
    points: Vec<Point>,
) -> Quantity {
    Quantity {
        role: "entry",
        name,
        unit,
        size_unit: "open jobs",
        target_size: TARGET_OPEN_JOBS,
        bound,
        mechanism: "process::state::Fold",
        points,
    }
}

/// Folds the records that accept some jobs, and returns the elapsed time without their encoding.
fn fold_jobs(
    fold: &mut Fold,
    numbers: Range<u64>,
) -> Result<Duration, BenchError> {
    let mut elapsed = Duration::ZERO;
    for number in numbers {
        let record = accepted_job_record(number)?;
        let started_at = Instant::now();
        fold.apply(&record);
        elapsed += started_at.elapsed();
    }
    Ok(elapsed)
}

/// Returns the log record that accepts one job with a payload of 256 bytes.
fn accepted_job_record(number: u64) -> Result<LogRecord, BenchError> {
    let spec = JobSpec {
        id: JobId(number),
        account: "account".into(),
        kind: "kind".into(),
        payload: Bytes::from_static(&[0; 256]),
        accepted_ms: 0,
    };
    let record = Record {
        key: RecordKey {
            epoch: 1,
            sequence: number,
        },
        writer: "entry".into(),
        body: RecordBody::Job(JobRecord::Accepted {
            spec,
            owner: "entry".into(),
        }),
    };
    let data = postcard::to_stdvec(&record).map_err(|e| BenchError::Failed(e.to_string()))?;
    Ok(LogRecord {
        offset: Offset(number),
        appended_ms: 0,
        data: data.into(),
    })
}
