//! Divides the progress of jobs into records that the store accepts.

use {
    crate::{
        prelude::*,
        process::ledger::{KeyedRecord, LedgerKey, LedgerRecord, RecordLimits, StoreError},
        request::{JobPhase, JobProgress, ProgressStamp, StepJobId, UnitId},
    },
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        ops::Bound,
    },
};

/// The first unit in the order of units.
const FIRST_UNIT: UnitId = UnitId {
    occurrence: 0,
    step: 0,
    index: 0,
};

/// The number by which the size of a record is divided up to which a new one is filled. The rest is
/// for units that get a checkpoint or a failed run later, so that it is seldom divided again.
const INITIAL_FILL_DIVISOR: usize = 2;

/// The records in which the progress of jobs is stored during one term.
///
/// Progress that fits into one record is stored as such. Otherwise, the record that every job has
/// holds the phase and the units that have succeeded, and further records hold the failed runs and
/// checkpoints of consecutive units. A reader may combine any of them, because each only adds to
/// what is known of its units, and all facts are stored at any time: a record is overwritten or
/// removed only after what else it holds is stored in another one.
pub struct ProgressRecords {
    limits: RecordLimits,
    plans: BTreeMap<StepJobId, PartPlan>,
}

/// The further records of one job.
#[derive(Default)]
struct PartPlan {
    /// The records, in the order of their units.
    parts: Vec<Part>,
    /// The phase and the number of succeeded units that were last put into the job's own record.
    /// They determine the rest of it, as units never cease to have succeeded.
    main: Option<(JobPhase, usize)>,
    /// The next number that no record had.
    next_number: u32,
    /// The numbers of records that may be stored and are no longer needed.
    retired: BTreeSet<u32>,
}

/// A further record: the units from `first` on, up to that of the next record.
struct Part {
    first: UnitId,
    /// The number in the key; `None` before anything is stored.
    number: Option<u32>,
    /// What was last put into it.
    content: JobProgress,
}

impl ProgressRecords {
    /// Creates the records of a term that has written none yet.
    pub fn new(limits: RecordLimits) -> Self {
        Self {
            limits,
            plans: BTreeMap::new(),
        }
    }

    /// Returns the records that store a job's progress, to be appended in this order, in one or
    /// several appends. `stored` are the numbers of further records that were read from the ledger.
    ///
    /// # Errors
    /// Returns [`StoreError::Rejected`] if the progress cannot be divided into records that the
    /// store accepts. The next call then stores everything anew.
    pub fn plan(
        &mut self,
        id: StepJobId,
        progress: &JobProgress,
        stored: &BTreeSet<u32>,
    ) -> Result<Vec<KeyedRecord>, StoreError> {
        let limits = self.limits;
        let plan = self.plans.entry(id).or_default();
        let after_stored = stored.last().map_or(1, |n| n + 1);
        plan.next_number = plan.next_number.max(after_stored);
        let records = plan.records(id, progress, stored, limits);
        if records.is_err() {
            self.forget(id);
        }
        records
    }

    /// Forgets what was put into the records of a job, because not all of it was stored. The next
    /// call of [`plan`](Self::plan) then stores everything anew.
    pub fn forget(
        &mut self,
        id: StepJobId,
    ) {
        if let Some(plan) = self.plans.get_mut(&id) {
            plan.retire_parts();
        }
    }

    /// Removes a job that is recorded and has ended.
    pub fn remove(
        &mut self,
        id: StepJobId,
    ) {
        self.plans.remove(&id);
    }
}

impl PartPlan {
    fn retire_parts(&mut self) {
        let numbers = self.parts.drain(..).filter_map(|p| p.number);
        self.retired.extend(numbers);
        self.main = None;
    }

    fn records(
        &mut self,
        id: StepJobId,
        progress: &JobProgress,
        stored: &BTreeSet<u32>,
        limits: RecordLimits,
    ) -> Result<Vec<KeyedRecord>, StoreError> {
        let whole = encode(&LedgerKey::Progress(id), progress)?;
        if limits.accepts(&whole) {
            self.retire_parts();
            self.retired.extend(stored);
            let mut records = vec![whole];
            records.extend(self.take_tombstones(id));
            return Ok(records);
        }
        let summary = JobProgress {
            stamp: progress.stamp,
            phase: progress.phase,
            done: progress.done.clone(),
            ..JobProgress::default()
        };
        let main = accepted(encode(&LedgerKey::Progress(id), &summary)?, limits)?;
        let main_content = (progress.phase, progress.done.len());
        if progress.phase.is_final() {
            // Nothing starts again, so checkpoints and failed runs are not needed any more.
            return Ok(vec![main]);
        }
        let is_first = self.parts.is_empty();
        if is_first {
            self.retired.extend(stored);
        }
        let parts = self.changed_parts(id, progress, limits)?;
        let is_main_changed = self.main.replace(main_content) != Some(main_content);
        let mut records = Vec::new();
        if is_first {
            // The stored record of the job may be the only one that holds some checkpoints.
            records.extend(parts);
            records.push(main);
        } else {
            // The further records no longer hold the checkpoints of units that have succeeded.
            if is_main_changed || parts.is_empty() {
                records.push(main);
            }
            records.extend(parts);
        }
        records.extend(self.take_tombstones(id));
        Ok(records)
    }

    /// Returns the further records with units whose content was added to, and divides those that
    /// have become too large. The pieces get new numbers, so that the record before is not
    /// overwritten until all of them are stored.
    fn changed_parts(
        &mut self,
        id: StepJobId,
        progress: &JobProgress,
        limits: RecordLimits,
    ) -> Result<Vec<KeyedRecord>, StoreError> {
        let mut old = std::mem::take(&mut self.parts);
        if old.is_empty() {
            old.push(Part {
                first: FIRST_UNIT,
                number: None,
                content: JobProgress::default(),
            });
        }
        let ends: Vec<Option<UnitId>> = old.iter().skip(1).map(|p| Some(p.first)).collect();
        let mut records = Vec::new();
        for (part, end) in old.into_iter().zip(ends.into_iter().chain([None])) {
            let content = units_between(id, progress, part.first, end, limits);
            if !adds_to(&content, &part.content) {
                self.parts.push(part);
                continue;
            }
            if let Some(number) = part.number {
                let record = encode(&LedgerKey::ProgressPart(id, number), &content)?;
                if limits.accepts(&record) {
                    records.push(record);
                    self.parts.push(Part { content, ..part });
                    continue;
                }
                self.retired.insert(number);
            }
            let mut first = part.first;
            for (piece, next) in pieces(content, limits) {
                let number = self.next_number;
                self.next_number += 1;
                let record = encode(&LedgerKey::ProgressPart(id, number), &piece)?;
                records.push(accepted(record, limits)?);
                self.parts.push(Part {
                    first,
                    number: Some(number),
                    content: piece,
                });
                first = next.unwrap_or(first);
            }
        }
        tracing::debug!(job = %id, parts = self.parts.len(), changed = records.len(), "the progress of a job is stored in several records");
        Ok(records)
    }

    fn take_tombstones(
        &mut self,
        id: StepJobId,
    ) -> Vec<KeyedRecord> {
        let numbers = std::mem::take(&mut self.retired).into_iter();
        numbers
            .map(|n| LedgerKey::ProgressPart(id, n).tombstone())
            .collect()
    }
}

fn encode(
    key: &LedgerKey,
    progress: &JobProgress,
) -> Result<KeyedRecord, StoreError> {
    let record = key.record(&LedgerRecord::Progress(progress.clone()));
    record.map_err(|e| StoreError::Rejected(e.to_string()))
}

fn accepted(
    record: KeyedRecord,
    limits: RecordLimits,
) -> Result<KeyedRecord, StoreError> {
    limits.check(std::slice::from_ref(&record))?;
    Ok(record)
}

/// Returns the failed runs and checkpoints of the units from `first` up to `end` that have not
/// succeeded. A checkpoint that is longer than a record can hold is left out.
fn units_between(
    id: StepJobId,
    progress: &JobProgress,
    first: UnitId,
    end: Option<UnitId>,
    limits: RecordLimits,
) -> JobProgress {
    let range = (
        Bound::Included(first),
        end.map_or(Bound::Unbounded, Bound::Excluded),
    );
    let mut content = JobProgress {
        stamp: progress.stamp,
        ..JobProgress::default()
    };
    for (unit, runs) in progress.failed_runs.range(range) {
        if !progress.done.contains(unit) {
            content.failed_runs.insert(*unit, runs.clone());
        }
    }
    for (unit, checkpoint) in progress.checkpoints.range(range) {
        let limit = limits.max_checkpoint_bytes(progress.failed_run_count(*unit));
        if limit.is_none_or(|limit| checkpoint.len() > limit) {
            tracing::warn!(job = %id, %unit, bytes = checkpoint.len(), limit, "a checkpoint is longer than a record can hold; it is not recorded");
        } else if !progress.done.contains(unit) {
            content.checkpoints.insert(*unit, checkpoint.clone());
        }
    }
    content
}

/// Returns whether `content` holds anything of a unit that `stored` does not.
fn adds_to(
    content: &JobProgress,
    stored: &JobProgress,
) -> bool {
    let adds_failed_run = content
        .failed_runs
        .iter()
        .any(|(unit, runs)| stored.failed_runs.get(unit) != Some(runs));
    adds_failed_run
        || content
            .checkpoints
            .iter()
            .any(|(unit, checkpoint)| stored.checkpoints.get(unit) != Some(checkpoint))
}

/// Divides the content of a record into pieces, each with the first unit of the next piece.
fn pieces(
    content: JobProgress,
    limits: RecordLimits,
) -> Vec<(JobProgress, Option<UnitId>)> {
    let max_bytes = limits.record_bytes / INITIAL_FILL_DIVISOR;
    let stamp: ProgressStamp = content.stamp;
    let units = content.failed_runs.keys().chain(content.checkpoints.keys());
    let units: BTreeSet<UnitId> = units.copied().collect();
    let JobProgress {
        mut failed_runs,
        mut checkpoints,
        ..
    } = content;
    let mut pieces: Vec<(JobProgress, Option<UnitId>)> = Vec::new();
    let mut piece_bytes = 0;
    for unit in units {
        let runs = failed_runs.remove(&unit);
        let checkpoint: Option<Arc<str>> = checkpoints.remove(&unit);
        let unit_bytes = encoded_len(&(unit, &runs, &checkpoint));
        if pieces.is_empty() || piece_bytes + unit_bytes > max_bytes {
            if let Some((_, next)) = pieces.last_mut() {
                *next = Some(unit);
            }
            let empty = JobProgress {
                stamp,
                ..JobProgress::default()
            };
            pieces.push((empty, None));
            piece_bytes = 0;
        }
        piece_bytes += unit_bytes;
        if let Some((piece, _)) = pieces.last_mut() {
            piece.failed_runs.extend(runs.map(|r| (unit, r)));
            piece.checkpoints.extend(checkpoint.map(|c| (unit, c)));
        }
    }
    pieces
}

/// Returns the encoded length of what is stored for a unit, in bytes. It is exact but for the lengths
/// of the lists and a second ID for a unit that is in both, for which there is room in a new record.
fn encoded_len<T>(unit: &T) -> usize
where
    T: Serialize,
{
    postcard::to_stdvec(unit).map_or(0, |encoded| encoded.len())
}
