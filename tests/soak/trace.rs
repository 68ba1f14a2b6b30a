//! The log lines about the subtasks that a violation names.

use std::{collections::BTreeSet, fs, path::Path};

/// The messages that concern all subtasks.
const COMMON_MESSAGES: [&str; 6] = [
    "scheduling begins",
    "claimed the lead",
    "the wait for a guard",
    "guard is no longer registered",
    "deregistered",
    "the process did not run for some time",
];

/// Returns the lines of all logs of a folder about the subtasks that `violations` name, with those
/// about the leader and the guards, in the order of their time.
pub fn lines_about(
    violations: &[String],
    dir: &Path,
) -> Vec<String> {
    let named: BTreeSet<&str> = violations.iter().flat_map(|v| subtasks_in(v)).collect();
    if named.is_empty() {
        return Vec::new();
    }
    let files = fs::read_dir(dir).into_iter().flatten().flatten();
    let logs = files.filter(|f| f.path().extension().is_some_and(|e| e == "log"));
    let mut lines = Vec::new();
    for log in logs {
        let process = log.path().file_stem().map(|s| s.display().to_string());
        let process = process.unwrap_or_default();
        let text = fs::read_to_string(log.path()).unwrap_or_default();
        let is_relevant = |line: &&str| {
            COMMON_MESSAGES.iter().any(|m| line.contains(m))
                || named.iter().any(|n| line.contains(n))
        };
        for line in text.lines().filter(is_relevant) {
            let (time, rest) = line.split_at(line.len().min(44));
            lines.push(format!("{time} {process} {rest}"));
        }
    }
    lines.sort();
    lines
}

/// Returns the subtasks of the runs in a text, each with the separator of its run number.
fn subtasks_in(text: &str) -> impl Iterator<Item = &str> {
    let words = text.split(|c: char| c.is_whitespace() || "()[]:,".contains(c));
    let runs = words.filter(|w| w.contains('#'));
    runs.filter_map(|run| Some(run.split_at(run.find('#')? + 1).0))
}
