//! Measures the time from the acceptance of a document until it is in force on every node.

use {
    super::latency_histogram::LatencyHistogram,
    crate::{
        prelude::*,
        process::{
            bench::{BenchCx, BenchError, Table},
            clock::SystemClock,
            local::{EXAMPLE_DOCUMENT, EXAMPLE_SETTINGS, LocalSystem},
            settings::LocalSettings,
            state::{DocumentRecord, RecordBody, RecordOutcome},
        },
    },
    std::time::Instant,
};

/// The pause between paced changes. At the target of 820 changes a day one comes every 105 s; the
/// cost of a change does not depend on the pause as long as the change is complete before the next.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// The interval between checks of the versions in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// How long the changes may take, beyond their pauses, before the measurement fails.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// The times at which one change was submitted, accepted, and in force on the nodes.
struct ChangeTimes {
    version: VersionNumber,
    submitted_at: Instant,
    accepted_at: Instant,
    on_entries_at: Option<Instant>,
    on_guards_at: Option<Instant>,
}

/// Measures paced changes and a burst of changes.
pub(super) async fn measure_changes(cx: &BenchCx) -> Result<Table, BenchError> {
    let (paced, burst) = if cx.is_quick { (3, 5) } else { (60, 100) };
    let columns = ["changes", "part", "number", "p50 ms", "p99 ms", "max ms"];
    let mut table = Table::new("in-force", &columns);
    let system = start_system().await?;
    let change_times = submit_changes(&system, 0, paced, CHANGE_INTERVAL).await?;
    add_rows(&mut table, "paced", &change_times)?;
    let change_times = submit_changes(&system, paced, burst, Duration::ZERO).await?;
    add_rows(&mut table, "burst", &change_times)?;
    system.stop().await;
    Ok(table)
}

/// Starts a local system with the example settings and document.
pub(super) async fn start_system() -> Result<LocalSystem, BenchError> {
    let settings = LocalSettings::parse("local.ini", EXAMPLE_SETTINGS);
    let settings = settings.map_err(|e| BenchError::Failed(e.to_string()))?;
    start_system_with(&settings).await
}

/// Starts a local system with the example document.
pub(super) async fn start_system_with(settings: &LocalSettings) -> Result<LocalSystem, BenchError> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    Ok(LocalSystem::start(settings, EXAMPLE_DOCUMENT, clock).await?)
}

/// Submits paced changes and returns the mean time from acceptance until all nodes have them in
/// force, in milliseconds.
pub(super) async fn mean_propagation_ms(
    system: &LocalSystem,
    changes: usize,
) -> Result<f64, BenchError> {
    let change_times = submit_changes(system, 0, changes, CHANGE_INTERVAL).await?;
    let times_ms = change_times.iter().filter_map(|c| {
        let everywhere = c.on_guards_at?;
        Some(
            everywhere
                .saturating_duration_since(c.accepted_at)
                .as_secs_f64()
                * 1e3,
        )
    });
    let times_ms: Vec<f64> = times_ms.collect();
    Ok(times_ms.iter().sum::<f64>() / times_ms.len().max(1) as f64)
}

/// Submits changes one after the other and returns the times at which each was submitted, accepted
/// and in force.
async fn submit_changes(
    system: &LocalSystem,
    first: usize,
    count: usize,
    pause: Duration,
) -> Result<Vec<ChangeTimes>, BenchError> {
    let change_times: RefCell<Vec<ChangeTimes>> = RefCell::default();
    let submitting = async {
        for i in 0..count {
            let times = submit_change(system, first + i).await?;
            change_times.borrow_mut().push(times);
            system.clock().sleep(pause).await;
        }
        Ok::<(), BenchError>(())
    };
    let watching = record_propagation(system, first, count, &change_times);
    let (submitted, watched) = futures_util::future::join(submitting, watching).await;
    submitted?;
    watched?;
    Ok(change_times.into_inner())
}

async fn submit_change(
    system: &LocalSystem,
    number: usize,
) -> Result<ChangeTimes, BenchError> {
    let entry = system.entries()[number % system.entries().len()].entry();
    let submitted_at = Instant::now();
    let (version, accepted_at) = loop {
        let record = RecordBody::Document(DocumentRecord {
            follows: entry.state.fold().version(),
            text: format!("{EXAMPLE_DOCUMENT}\n; change {number}\n").into(),
            operator: "bench".into(),
            submitted_ms: entry.clock.wall_time().0,
        });
        match entry.state.append_for_outcome(record).await {
            Ok(RecordOutcome::Accepted(version)) => break (version, Instant::now()),
            Ok(_) => {}
            Err(e) => return Err(BenchError::Failed(e.to_string())),
        }
    };
    Ok(ChangeTimes {
        version,
        submitted_at,
        accepted_at,
        on_entries_at: None,
        on_guards_at: None,
    })
}

/// Records for each change when all entries and all guards have it, or a later one, in force.
///
/// # Errors
/// [`BenchError::Failed`] when a change is not in force everywhere in time.
async fn record_propagation(
    system: &LocalSystem,
    first: usize,
    count: usize,
    change_times: &RefCell<Vec<ChangeTimes>>,
) -> Result<(), BenchError> {
    let start = Instant::now();
    loop {
        let entries = system.entries().iter().map(|e| e.entry().document());
        let on_entries = entries
            .map(|d| next_change_number(&d))
            .min()
            .unwrap_or_default();
        let guards = system.guards().iter().map(|g| g.guard().document_version());
        let on_guards = guards.min().unwrap_or_default();
        let now = Instant::now();
        for (number, times) in (first..).zip(change_times.borrow_mut().iter_mut()) {
            if on_entries > number {
                times.on_entries_at.get_or_insert(now);
            }
            if on_entries > number && on_guards >= times.version {
                times.on_guards_at.get_or_insert(now);
            }
        }
        let everywhere = change_times
            .borrow()
            .iter()
            .filter(|c| c.on_guards_at.is_some())
            .count();
        if everywhere == count {
            return Ok(());
        }
        if start.elapsed() > CHANGE_TIMEOUT + CHANGE_INTERVAL * count as u32 {
            return Err(BenchError::Failed(
                "a change was not in force on every node in time".to_owned(),
            ));
        }
        system.clock().sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the number of the change after the one in this document; 0 for the first document.
fn next_change_number(document: &Document) -> usize {
    let number = document.text.rsplit("; change ").next();
    number
        .and_then(|n| n.trim().parse::<usize>().ok())
        .map_or(0, |n| n + 1)
}

fn add_rows(
    table: &mut Table,
    changes: &str,
    change_times: &[ChangeTimes],
) -> Result<(), BenchError> {
    let mut appending = LatencyHistogram::new()?;
    let mut to_entries = LatencyHistogram::new()?;
    let mut to_guards = LatencyHistogram::new()?;
    let mut in_force = LatencyHistogram::new()?;
    for times in change_times {
        let on_entries = times.on_entries_at.unwrap_or(times.accepted_at);
        let on_guards = times.on_guards_at.unwrap_or(on_entries);
        appending.record_latency(times.accepted_at - times.submitted_at);
        to_entries.record_latency(on_entries.saturating_duration_since(times.accepted_at));
        to_guards.record_latency(on_guards.saturating_duration_since(on_entries));
        in_force.record_latency(on_guards.saturating_duration_since(times.accepted_at));
    }
    let parts = [
        ("submitted to accepted", appending),
        ("accepted to all entries", to_entries),
        ("all entries to all guards", to_guards),
        ("accepted to in force on all", in_force),
    ];
    for (part, histogram) in parts {
        let mut cells = vec![changes.to_owned(), part.to_owned()];
        cells.extend(histogram.table_cells());
        table.push_row(cells);
    }
    Ok(())
}
