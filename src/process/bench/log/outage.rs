//! What an outage of the log and its return look like to the log.

use {
    super::{log_client::ServedLog, start::accepted_job},
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

/// The number of entries.
const ENTRIES: usize = 6;

/// The pause of a caller between its tries.
const CALLER_RETRY: Duration = Duration::from_secs(1);

/// The steps in which appends are counted.
const STEP: Duration = Duration::from_millis(250);

/// How long appends are counted after the return.
const COUNTED: Duration = Duration::from_secs(60);

/// Takes the log away under many callers that try again and again, brings it back and counts the
/// appends.
pub(super) async fn measure_outage(cx: &BenchCx) -> Result<Table, BenchError> {
    let (callers, outage_s) = if cx.is_quick { (20, 1) } else { (500, 20) };
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    let served = ServedLog::start(clock.clone()).await?;
    let states: Vec<Rc<State>> = (0..ENTRIES)
        .map(|i| served.follow(&format!("entry-{i}")))
        .collect();
    set_down(&served, true);
    let open = Cell::new(callers * ENTRIES);
    let records =
        (0..callers * ENTRIES).map(|n| record_until_done(&*clock, &states[n % ENTRIES], n, &open));
    let recording = join_all(records);
    let counting = async {
        clock.sleep(Duration::from_secs(outage_s)).await;
        set_down(&served, false);
        count_return(&served, &*clock, &open).await
    };
    let both = futures_util::future::join(recording, counting);
    let (_, counted) = with_timeout(&*clock, COUNTED * 2, both)
        .await
        .ok_or_else(|| BenchError::Failed("records are missing after the outage".to_owned()))?;
    let columns = [
        "entries",
        "waiting records",
        "outage s",
        "most appends a s",
        "s to all recorded",
    ];
    let mut table = Table::new("outage", &columns);
    table.push_row(vec![
        ENTRIES.to_string(),
        (callers * ENTRIES).to_string(),
        outage_s.to_string(),
        counted.most_appends_per_s.to_string(),
        format!("{:.1}", counted.time.as_secs_f64()),
    ]);
    Ok(table)
}

/// What was counted after the return.
struct Counted {
    most_appends_per_s: u64,
    time: Duration,
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

/// Records a job, and tries again as a caller would.
async fn record_until_done(
    clock: &dyn Clock,
    state: &State,
    number: usize,
    open: &Cell<usize>,
) {
    while state.append(accepted_job(number)).await.is_err() {
        clock.sleep(CALLER_RETRY).await;
    }
    open.set(open.get() - 1);
}

/// Counts appends until nothing is open, and finds the second with the most.
async fn count_return(
    served: &ServedLog,
    clock: &dyn Clock,
    open: &Cell<usize>,
) -> Counted {
    let start = Instant::now();
    let mut samples = vec![served.log.append_count()];
    let steps_per_s = (1000 / STEP.as_millis()) as usize;
    while open.get() > 0 && start.elapsed() < COUNTED {
        clock.sleep(STEP).await;
        samples.push(served.log.append_count());
    }
    let time = start.elapsed();
    let later = samples.iter().skip(steps_per_s);
    let in_one_s = later.zip(&samples).map(|(late, early)| late - early);
    let all = samples.last().unwrap_or(&0) - samples[0];
    Counted {
        most_appends_per_s: in_one_s.max().unwrap_or(all),
        time,
    }
}
