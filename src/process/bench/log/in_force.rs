//! How long an accepted document takes until it is in force on every node.

use {
    super::spread::Spread,
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

/// The pause between paced changes. 820 a day come every 105 s; what one change costs does not
/// depend on the pause as long as it is over before the next one.
const PACE: Duration = Duration::from_millis(700);

/// How often nodes are looked at.
const LOOK: Duration = Duration::from_millis(1);

/// How long a change may take before the measurement gives up.
const GIVE_UP: Duration = Duration::from_secs(60);

/// When one change was where.
struct Course {
    version: VersionNumber,
    submitted: Instant,
    accepted: Instant,
    on_entries: Option<Instant>,
    on_guards: Option<Instant>,
}

/// Measures paced changes and a burst.
pub(super) async fn measure_changes(cx: &BenchCx) -> Result<Table, BenchError> {
    let (paced, burst) = if cx.is_quick { (3, 5) } else { (60, 100) };
    let columns = ["changes", "part", "number", "p50 ms", "p99 ms", "max ms"];
    let mut table = Table::new("in-force", &columns);
    let system = start_system().await?;
    let courses = submit_all(&system, 0, paced, PACE).await?;
    add_rows(&mut table, "paced", &courses)?;
    let courses = submit_all(&system, paced, burst, Duration::ZERO).await?;
    add_rows(&mut table, "burst", &courses)?;
    system.stop().await;
    Ok(table)
}

pub(super) async fn start_system() -> Result<LocalSystem, BenchError> {
    let settings = LocalSettings::parse("local.ini", EXAMPLE_SETTINGS);
    let settings = settings.map_err(|e| BenchError::Failed(e.to_string()))?;
    start_system_of(&settings).await
}

/// Starts a local system with the shipped document.
pub(super) async fn start_system_of(settings: &LocalSettings) -> Result<LocalSystem, BenchError> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    Ok(LocalSystem::start(settings, EXAMPLE_DOCUMENT, clock).await?)
}

/// Submits paced changes and returns the mean time from acceptance until all nodes have them in
/// force, in milliseconds.
pub(super) async fn mean_spread_ms(
    system: &LocalSystem,
    changes: usize,
) -> Result<f64, BenchError> {
    let courses = submit_all(system, 0, changes, PACE).await?;
    let spans = courses.iter().filter_map(|c| {
        let everywhere = c.on_guards?;
        Some(
            everywhere
                .saturating_duration_since(c.accepted)
                .as_secs_f64()
                * 1e3,
        )
    });
    let spans: Vec<f64> = spans.collect();
    Ok(spans.iter().sum::<f64>() / spans.len().max(1) as f64)
}

/// Submits changes one after the other and follows each to every node.
async fn submit_all(
    system: &LocalSystem,
    first: usize,
    count: usize,
    pause: Duration,
) -> Result<Vec<Course>, BenchError> {
    let courses: RefCell<Vec<Course>> = RefCell::default();
    let submitting = async {
        for i in 0..count {
            let course = submit(system, first + i).await?;
            courses.borrow_mut().push(course);
            system.clock().sleep(pause).await;
        }
        Ok::<(), BenchError>(())
    };
    let watching = watch(system, first, count, &courses);
    let (submitted, watched) = futures_util::future::join(submitting, watching).await;
    submitted?;
    watched?;
    Ok(courses.into_inner())
}

async fn submit(
    system: &LocalSystem,
    number: usize,
) -> Result<Course, BenchError> {
    let entry = system.entries()[number % system.entries().len()].entry();
    let submitted = Instant::now();
    let (version, accepted) = loop {
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
    Ok(Course {
        version,
        submitted,
        accepted,
        on_entries: None,
        on_guards: None,
    })
}

/// Notes for each change when all entries and all guards have it, or a later one, in force.
async fn watch(
    system: &LocalSystem,
    first: usize,
    count: usize,
    courses: &RefCell<Vec<Course>>,
) -> Result<(), BenchError> {
    let start = Instant::now();
    loop {
        let entries = system.entries().iter().map(|e| e.entry().document());
        let on_entries = entries.map(|d| change_of(&d)).min().unwrap_or_default();
        let guards = system.guards().iter().map(|g| g.guard().document_version());
        let on_guards = guards.min().unwrap_or_default();
        let now = Instant::now();
        for (number, course) in (first..).zip(courses.borrow_mut().iter_mut()) {
            if on_entries > number {
                course.on_entries.get_or_insert(now);
            }
            if on_entries > number && on_guards >= course.version {
                course.on_guards.get_or_insert(now);
            }
        }
        let everywhere = courses
            .borrow()
            .iter()
            .filter(|c| c.on_guards.is_some())
            .count();
        if everywhere == count {
            return Ok(());
        }
        if start.elapsed() > GIVE_UP + PACE * count as u32 {
            return Err(BenchError::Failed("a change is not in force".to_owned()));
        }
        system.clock().sleep(LOOK).await;
    }
}

/// Returns the number after that of the change whose text this is; 0 for the first document.
fn change_of(document: &Document) -> usize {
    let number = document.text.rsplit("; change ").next();
    number
        .and_then(|n| n.trim().parse::<usize>().ok())
        .map_or(0, |n| n + 1)
}

fn add_rows(
    table: &mut Table,
    changes: &str,
    courses: &[Course],
) -> Result<(), BenchError> {
    let mut appending = Spread::new()?;
    let mut to_entries = Spread::new()?;
    let mut to_guards = Spread::new()?;
    let mut in_force = Spread::new()?;
    for course in courses {
        let on_entries = course.on_entries.unwrap_or(course.accepted);
        let on_guards = course.on_guards.unwrap_or(on_entries);
        appending.add(course.accepted - course.submitted);
        to_entries.add(on_entries.saturating_duration_since(course.accepted));
        to_guards.add(on_guards.saturating_duration_since(on_entries));
        in_force.add(on_guards.saturating_duration_since(course.accepted));
    }
    let parts = [
        ("submitted to accepted", appending),
        ("accepted to all entries", to_entries),
        ("all entries to all guards", to_guards),
        ("accepted to in force on all", in_force),
    ];
    for (part, spread) in parts {
        let mut cells = vec![changes.to_owned(), part.to_owned()];
        cells.extend(spread.cells());
        table.push_row(cells);
    }
    Ok(())
}
