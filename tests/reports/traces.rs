//! The log lines of several processes about one job.

use limpetquay::process::decision_report::JobTrace;

/// Lines of two sources are sorted by time, lines about other jobs are left out, and truncated
/// lines are counted.
#[test]
fn lines_are_put_in_order() {
    let mut trace = JobTrace::new("00aa");
    trace.read_line(
        "guard.log",
        r#"{"timestamp":"2026-12-04T10:00:02Z","level":"INFO","message":"start carried out","run":"00aa.0.0.0#7","waited_ms":2}"#,
    );
    trace.read_line("entry.log", r#"  1.5 edge-1 {"timestamp":"2026-12-04T10:00:01Z","message":"job submitted","job":"00aa"}"#);
    trace.read_line(
        "entry.log",
        r#"{"timestamp":"2026-12-04T10:00:01Z","message":"job submitted","job":"00bb"}"#,
    );
    trace.read_line(
        "entry.log",
        r#"{"timestamp":"2026-12-04T10:00:03Z","message":"cut 00aa"#,
    );
    insta::assert_snapshot!(trace.render());
    insta::assert_snapshot!(JobTrace::new("00cc").render());
}
