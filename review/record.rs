//! The record of what was sent, answered and run.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// One run of a subtask, with times in milliseconds since the start of the script.
#[derive(Clone, Debug)]
pub struct ObservedRun {
    pub worker: String,
    pub born_ms: u64,
    pub task: String,
    pub number: u64,
    pub started_ms: u64,
    pub ended: Option<(u64, &'static str)>,
    /// Whether the end was taken note of.
    pub is_noted: bool,
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<ObservedRun>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
            runs: Mutex::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(
        &self,
        text: &str,
    ) {
        let at = self.now_ms();
        drop(writeln!(self.file.lock().unwrap(), "{at:>7} {text}"));
    }

    pub fn start(
        &self,
        worker: &str,
        born_ms: u64,
        task: &str,
        number: u64,
    ) {
        self.line(&format!(
            "worker {worker} born {born_ms} starts {task} run {number}"
        ));
        self.runs.lock().unwrap().push(ObservedRun {
            worker: worker.to_owned(),
            born_ms,
            task: task.to_owned(),
            number,
            started_ms: self.now_ms(),
            ended: None,
            is_noted: false,
        });
    }

    pub fn end(
        &self,
        worker: &str,
        born_ms: u64,
        task: &str,
        number: u64,
        how: &'static str,
    ) {
        self.line(&format!(
            "worker {worker} born {born_ms} ends {task} run {number}: {how}"
        ));
        let now = self.now_ms();
        let mut runs = self.runs.lock().unwrap();
        let run = runs.iter_mut().find(|r| {
            r.worker == worker && r.born_ms == born_ms && r.task == task && r.number == number
        });
        if let Some(run) = run {
            run.ended.get_or_insert((now, how));
        }
    }

    /// Records that `LastSeen` has reached the end of a run.
    pub fn note(
        &self,
        worker: &str,
        born_ms: u64,
        task: &str,
        number: u64,
    ) {
        let mut runs = self.runs.lock().unwrap();
        let run = runs.iter_mut().find(|r| {
            r.worker == worker && r.born_ms == born_ms && r.task == task && r.number == number
        });
        if let Some(run) = run {
            run.is_noted = true;
        }
    }

    /// Returns the pairs of a run that ended `done`, which was taken note of, and a later start of
    /// the same subtask.
    pub fn starts_after_done(&self) -> Vec<(ObservedRun, ObservedRun)> {
        let runs = self.runs();
        let mut done: BTreeMap<&str, &ObservedRun> = BTreeMap::new();
        for run in runs.iter().filter(|r| r.is_noted) {
            if let Some((at, "done")) = run.ended {
                let first = done.entry(&run.task).or_insert(run);
                if first.ended.is_none_or(|(earlier, _)| at < earlier) {
                    *first = run;
                }
            }
        }
        let pairs = runs.iter().filter_map(|run| {
            let first = done.get(run.task.as_str())?;
            let (at, _) = first.ended?;
            (run.started_ms > at).then(|| ((*first).clone(), run.clone()))
        });
        pairs.collect()
    }

    pub fn runs(&self) -> Vec<ObservedRun> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the pairs of runs of one subtask that went on at the same time.
    pub fn overlapping_runs(&self) -> Vec<(ObservedRun, ObservedRun)> {
        let runs = self.runs();
        let mut pairs = Vec::new();
        for (i, a) in runs.iter().enumerate() {
            for b in runs.iter().skip(i + 1).filter(|b| b.task == a.task) {
                let (first, second) = if a.started_ms <= b.started_ms {
                    (a, b)
                } else {
                    (b, a)
                };
                if first.ended.is_none_or(|(at, _)| at > second.started_ms) {
                    pairs.push((first.clone(), second.clone()));
                }
            }
        }
        pairs
    }
}
