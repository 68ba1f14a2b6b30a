//! The cost of the fold of the log in each entry.

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

/// The sizes of the fold, in open jobs.
const OPEN_JOB_COUNTS: [u64; 4] = [1_000, 5_000, 10_000, 20_000];

/// How many jobs may be open at the target: as many as arrive in a week.
const TARGET_OPEN_JOBS: f64 = 7.0 * target::JOBS_PER_DAY;

/// Measures memory and processor time of the fold as open jobs grow.
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
        let mut cpu = Duration::ZERO;
        let bytes_before = ProcessUsage::of_self().resident_bytes;
        for size in OPEN_JOB_COUNTS {
            cpu += fold_jobs(&mut fold, folded..size)?;
            folded = size;
            let bytes = ProcessUsage::of_self()
                .resident_bytes
                .saturating_sub(bytes_before);
            let x = size as f64;
            memory.push(Point {
                x,
                y: bytes as f64 / 1e6,
            });
            time.push(Point {
                x,
                y: cpu.as_secs_f64() * 1e3,
            });
        }
        assert_eq!(fold.jobs().count() as u64, folded, "every job is folded");
        Ok(vec![
            quantity(
                "resident memory of the fold",
                "MB",
                Some(target::MAX_MEMORY_MB),
                memory,
            ),
            quantity("processor time to fold all open jobs", "ms", None, time),
        ])
    }
}

fn quantity(
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

/// Folds the records of some jobs and returns the time that the fold took.
fn fold_jobs(
    fold: &mut Fold,
    numbers: Range<u64>,
) -> Result<Duration, BenchError> {
    let mut spent = Duration::ZERO;
    for number in numbers {
        let record = accepted_job_record(number)?;
        let before = Instant::now();
        fold.apply(&record);
        spent += before.elapsed();
    }
    Ok(spent)
}

/// Returns the record that accepts one job.
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
