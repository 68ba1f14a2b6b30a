//! The log lines of several processes about one job, merged in time order.

use {
    serde_json::{Map, Value},
    std::fmt::Write,
};

/// The fields that are left out of the `key=value` list: the timestamp and the message are printed
/// before it, and the others do not describe the job.
const HIDDEN_KEYS: [&str; 4] = ["level", "message", "target", "timestamp"];

/// The log lines that mention one job.
#[derive(Debug, Default)]
pub struct JobTrace {
    id: String,
    lines: Vec<TraceLine>,
    unreadable_lines: usize,
}

/// One log line and the name of its source.
#[derive(Debug)]
struct TraceLine {
    timestamp: String,
    source: String,
    fields: Map<String, Value>,
}

impl JobTrace {
    /// Creates an empty trace of the job with an id.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            ..Self::default()
        }
    }

    /// Reads one line of a process's output, ignoring any text before the first `{`. Lines without
    /// the job's id are skipped; lines with it that are not JSON objects are counted.
    pub fn read_line(
        &mut self,
        source: &str,
        line: &str,
    ) {
        if !line.contains(&self.id) {
            return;
        }
        let Some(start) = line.find('{') else {
            self.unreadable_lines += 1;
            return;
        };
        match serde_json::from_str::<Map<String, Value>>(&line[start..]) {
            Ok(fields) => self.lines.push(TraceLine {
                timestamp: value_to_text(fields.get("timestamp")),
                source: source.to_owned(),
                fields,
            }),
            Err(_) => self.unreadable_lines += 1,
        }
    }

    /// Returns the lines sorted by timestamp and source. Each shows the time, the source, the
    /// message and the remaining fields.
    pub fn render(mut self) -> String {
        self.lines
            .sort_by(|a, b| (&a.timestamp, &a.source).cmp(&(&b.timestamp, &b.source)));
        let mut text = String::new();
        for line in &self.lines {
            let time = line.timestamp.split('T').next_back().unwrap_or_default();
            let message = value_to_text(line.fields.get("message"));
            let shown_fields = line
                .fields
                .iter()
                .filter(|(k, _)| !HIDDEN_KEYS.contains(&k.as_str()));
            let values: Vec<String> = shown_fields
                .map(|(k, v)| format!("{k}={}", value_to_text(Some(v))))
                .collect();
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{time} {} {message}: {}",
                line.source,
                values.join(" ")
            );
        }
        if self.lines.is_empty() {
            text += "no log line mentions this job\n";
        }
        if self.unreadable_lines > 0 {
            let _ = writeln!(
                text,
                "{} lines that mention it are not valid JSON",
                self.unreadable_lines
            );
        }
        text
    }
}

fn value_to_text(value: Option<&Value>) -> String {
    match value {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}
