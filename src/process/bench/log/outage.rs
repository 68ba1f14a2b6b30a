//! Measures the appends that the log receives after an outage.

use {
    super::{served_log::ServedLog, start::accepted_job_record},
    crate::{
        prelude::*,
        process::{
            bench::{BenchCx, BenchError, Table},
            clock::{SystemClock, with_timeout},
            stand_in::LogFaults,
            state::State,
        },
    },
    futures_util::future::join_all,
    std::{cell::Cell, time::Instant},
};

const ENTRY_COUNT: usize = 6;

/// The delay before a caller retries a failed append.
const CALLER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The interval between samples of the number of appends.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// How long appends are counted after the outage if some records are still not stored.
const COUNT_TIMEOUT: Duration = Duration::from_secs(60);

/// Makes the log unavailable while many callers append and retry, and counts the appends once it is
/// back.
pub(super) async fn measure_outage(cx: &BenchCx) -> Result<Table, BenchError> {
    let (callers_per_entry, outage_s) = if cx.is_quick { (20, 1) } else { (500, 20) };
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    let served = ServedLog::start(clock.clone()).await?;
    let states: Vec<Rc<State>> = (0..ENTRY_COUNT)
        .map(|i| served.follow(&format!("entry-{i}")))
        .collect();
    set_down(&served, true);
    let unrecorded = Cell::new(callers_per_entry * ENTRY_COUNT);
    let records = (0..callers_per_entry * ENTRY_COUNT)
        .map(|n| append_until_stored(&*clock, &states[n % ENTRY_COUNT], n, &unrecorded));
    let recording = join_all(records);
    let counting = async {
        clock.sleep(Duration::from_secs(outage_s)).await;
        set_down(&served, false);
        count_appends(&served, &*clock, &unrecorded).await
    };
    let both = futures_util::future::join(recording, counting);
    let (_, counted) = with_timeout(&*clock, COUNT_TIMEOUT * 2, both)
        .await
        .ok_or_else(|| {
            BenchError::Failed("records are still not stored after the outage".to_owned())
        })?;
    let columns = [
        "entries",
        "waiting records",
        "outage s",
        "most appends a s",
        "s to all recorded",
    ];
    let mut table = Table::new("outage", &columns);
    table.push_row(vec![
        ENTRY_COUNT.to_string(),
        (callers_per_entry * ENTRY_COUNT).to_string(),
        outage_s.to_string(),
        counted.max_appends_per_s.to_string(),
        format!("{:.1}", counted.time_to_all_recorded.as_secs_f64()),
    ]);
    Ok(table)
}

/// The appends counted after the outage.
struct AppendCounts {
    max_appends_per_s: u64,
    time_to_all_recorded: Duration,
}

fn set_down(
    served: &ServedLog,
    down: bool,
) {
    served.log.set_faults(LogFaults {
        down,
        ..LogFaults::default()
    });
}

/// Appends a job's record, and retries until it is stored.
async fn append_until_stored(
    clock: &dyn Clock,
    state: &State,
    number: usize,
    unrecorded: &Cell<usize>,
) {
    while state.append(accepted_job_record(number)).await.is_err() {
        clock.sleep(CALLER_RETRY_DELAY).await;
    }
    unrecorded.set(unrecorded.get() - 1);
}

/// Counts appends until every record is stored, and finds the most in one second.
async fn count_appends(
    served: &ServedLog,
    clock: &dyn Clock,
    unrecorded: &Cell<usize>,
) -> AppendCounts {
    let start = Instant::now();
    let mut samples = vec![served.log.append_count()];
    let steps_per_s = (1000 / SAMPLE_INTERVAL.as_millis()) as usize;
    while unrecorded.get() > 0 && start.elapsed() < COUNT_TIMEOUT {
        clock.sleep(SAMPLE_INTERVAL).await;
        samples.push(served.log.append_count());
    }
    let time = start.elapsed();
    let later = samples.iter().skip(steps_per_s);
    let in_one_s = later.zip(&samples).map(|(late, early)| late - early);
    let all = samples.last().unwrap_or(&0) - samples[0];
    AppendCounts {
        max_appends_per_s: in_one_s.max().unwrap_or(all),
        time_to_all_recorded: time,
    }
}
