//! Measures the time in which a new entry reads the log.

use {
    super::served_log::ServedLog,
    crate::{
        prelude::*,
        process::{
            bench::{BenchCx, BenchError, Table, fit_line},
            clock::SystemClock,
            state::{JobRecord, RecordBody, State},
        },
        request::JobSpec,
    },
    futures_util::future::join_all,
    std::time::Instant,
};

/// The measured lengths of the log, in records.
const LOG_LENGTHS: [usize; 4] = [1000, 2000, 4000, 8000];

/// The number of records that are appended concurrently.
const APPEND_BATCH: usize = 500;

/// Measures the time until a new reader has folded the log, at several lengths.
pub(super) async fn measure_starts(cx: &BenchCx) -> Result<Table, BenchError> {
    let points = measure_read_times(cx.is_quick).await?;
    let mut table = Table::new("start", &["records", "ms to read"]);
    for (length, ms) in &points {
        table.push_row(vec![length.to_string(), format!("{ms:.1}")]);
    }
    if let Some(fit) = fit_line(&points) {
        let slope = format!("{:.2} ms for 1000 more", fit.slope * 1e3);
        table.push_row(vec!["slope".to_owned(), slope]);
    }
    Ok(table)
}

/// Returns the measured lengths of the log, in records, with the time to read it in milliseconds.
pub(super) async fn measure_read_times(quick: bool) -> Result<Vec<(f64, f64)>, BenchError> {
    let lengths = if quick {
        &LOG_LENGTHS[..2]
    } else {
        &LOG_LENGTHS[..]
    };
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    let served = ServedLog::start(clock).await?;
    let writer = served.follow("entry-1");
    let mut points = Vec::new();
    let mut written = 0;
    for length in lengths {
        append_jobs(&writer, written, *length).await?;
        written = *length;
        let start = Instant::now();
        let reader = served.follow("entry-2");
        wait_until_read(&reader, *length).await;
        points.push((*length as f64, start.elapsed().as_secs_f64() * 1e3));
    }
    Ok(points)
}

async fn wait_until_read(
    reader: &State,
    records: usize,
) {
    loop {
        let change = reader.change_listener();
        if reader.fold().next_offset().0 >= records as u64 {
            return;
        }
        change.await;
    }
}

/// Appends accepted jobs with the numbers `from..to`.
async fn append_jobs(
    writer: &State,
    from: usize,
    to: usize,
) -> Result<(), BenchError> {
    let numbers: Vec<usize> = (from..to).collect();
    for chunk in numbers.chunks(APPEND_BATCH) {
        let appends = chunk.iter().map(|n| writer.append(accepted_job_record(*n)));
        let results = join_all(appends).await;
        if let Some(e) = results.into_iter().find_map(Result::err) {
            return Err(BenchError::Failed(e.to_string()));
        }
    }
    Ok(())
}

/// Returns the record of an accepted job with a number as its id.
pub(super) fn accepted_job_record(number: usize) -> RecordBody {
    let spec = JobSpec {
        id: JobId(number as u64),
        account: "jozi-studios".into(),
        kind: "crash-cluster".into(),
        payload: Bytes::from_static(b"run_ms=50"),
        accepted_ms: 0,
    };
    let owner = "entry-1".into();
    RecordBody::Job(JobRecord::Accepted { spec, owner })
}
