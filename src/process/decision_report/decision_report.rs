//! Counts of how often each upstream was chosen or passed over, by reason.

use {crate::process::bench::Table, serde::Deserialize, std::collections::BTreeMap};

/// The fields of a decision's log line that the report uses.
#[derive(Debug, Deserialize)]
struct DecisionLine {
    decision: String,
    chosen: Option<String>,
    #[serde(default)]
    passed_over: String,
}

/// An upstream that a decision passed over, as the log line encodes it.
#[derive(Debug, Deserialize)]
struct PassedOverItem {
    upstream: String,
    reason: String,
}

/// The key by which decisions are counted.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CountKey {
    decision: String,
    upstream: String,
    outcome: String,
}

/// Counts of the decisions found in JSON log lines.
#[derive(Clone, Debug, Default)]
pub struct DecisionReport {
    counts: BTreeMap<CountKey, u64>,
    non_decision_lines: u64,
}

impl DecisionReport {
    /// Counts the decision in one log line. Of lines without a decision, only the number is kept.
    pub fn read_line(
        &mut self,
        line: &str,
    ) {
        let Ok(line) = serde_json::from_str::<DecisionLine>(line) else {
            self.non_decision_lines += 1;
            return;
        };
        let chosen = line.chosen.unwrap_or_default();
        if chosen.is_empty() {
            self.count(&line.decision, "-", "none chosen");
        }
        for upstream in chosen.split(',').filter(|u| !u.is_empty()) {
            self.count(&line.decision, upstream, "chosen");
        }
        // Other versions may encode the list differently; such lines count only what was chosen.
        let passed_over: Vec<PassedOverItem> =
            serde_json::from_str(&line.passed_over).unwrap_or_default();
        for passed in passed_over {
            self.count(&line.decision, &passed.upstream, &passed.reason);
        }
    }

    /// Returns the number of lines without a decision.
    pub fn non_decision_lines(&self) -> u64 {
        self.non_decision_lines
    }

    /// Returns the counts as a table.
    pub fn table(&self) -> Table {
        let mut table = Table::new("decisions", &["decision", "upstream", "outcome", "count"]);
        for (key, count) in &self.counts {
            table.push_row(vec![
                key.decision.clone(),
                key.upstream.clone(),
                key.outcome.clone(),
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
        let key = CountKey {
            decision: decision.to_owned(),
            upstream: upstream.to_owned(),
            outcome: outcome.to_owned(),
        };
        *self.counts.entry(key).or_default() += 1;
    }
}
