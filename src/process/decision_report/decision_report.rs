//! How often each upstream was chosen and passed over, and why.

use {crate::process::bench::Table, serde::Deserialize, std::collections::BTreeMap};

/// A decision's log line, as far as the report looks at it.
#[derive(Debug, Deserialize)]
struct DecisionLine {
    decision: String,
    chosen: Option<String>,
    #[serde(default)]
    passed_over: String,
}

/// An upstream that a decision passed over.
#[derive(Debug, Deserialize)]
struct PassedOverLine {
    upstream: String,
    reason: String,
}

/// What a report counts.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Subject {
    decision: String,
    upstream: String,
    outcome: String,
}

/// Counts of decisions, from JSON log lines.
#[derive(Clone, Debug, Default)]
pub struct DecisionReport {
    counts: BTreeMap<Subject, u64>,
    other_lines: u64,
}

impl DecisionReport {
    /// Counts one log line. Lines that tell of no decision are only numbered.
    pub fn read_line(
        &mut self,
        line: &str,
    ) {
        let Ok(line) = serde_json::from_str::<DecisionLine>(line) else {
            self.other_lines += 1;
            return;
        };
        let chosen = line.chosen.unwrap_or_default();
        if chosen.is_empty() {
            self.count(&line.decision, "-", "none chosen");
        }
        for upstream in chosen.split(',').filter(|u| !u.is_empty()) {
            self.count(&line.decision, upstream, "chosen");
        }
        // Lines of other versions may have another form; they are counted without what was passed over.
        let passed_over: Vec<PassedOverLine> =
            serde_json::from_str(&line.passed_over).unwrap_or_default();
        for passed in passed_over {
            self.count(&line.decision, &passed.upstream, &passed.reason);
        }
    }

    /// Returns the number of lines that told of no decision.
    pub fn other_lines(&self) -> u64 {
        self.other_lines
    }

    /// Returns the counts as a table.
    pub fn table(&self) -> Table {
        let mut table = Table::new("decisions", &["decision", "upstream", "outcome", "count"]);
        for (subject, count) in &self.counts {
            table.push_row(vec![
                subject.decision.clone(),
                subject.upstream.clone(),
                subject.outcome.clone(),
                count.to_string(),
            ]);
        }
        table
    }

    fn count(
        &mut self,
        decision: &str,
        upstream: &str,
        outcome: &str,
    ) {
        let subject = Subject {
            decision: decision.to_owned(),
            upstream: upstream.to_owned(),
            outcome: outcome.to_owned(),
        };
        *self.counts.entry(subject).or_default() += 1;
    }
}
