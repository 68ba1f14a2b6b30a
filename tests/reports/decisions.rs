//! Counts of decisions from log lines.

use limpetquay::process::decision_report::DecisionReport;

/// Chosen and passed-over upstreams are counted by reason; of lines without a decision, only the
/// number is reported.
#[test]
fn decisions_are_counted() {
    let lines = [
        r#"{"decision":"routing","chosen":"w1","passed_over":"[{\"upstream\":\"w2\",\"reason\":\"no free slot\"}]"}"#,
        r#"{"decision":"routing","chosen":"w1","passed_over":"[]"}"#,
        r#"{"decision":"routing","passed_over":"[]"}"#,
        r#"{"decision":"placement","chosen":"w1,w3","passed_over":"[]"}"#,
        r#"{"message":"something else"}"#,
        "not JSON",
    ];
    let mut report = DecisionReport::default();
    for line in lines {
        report.read_line(line);
    }
    insta::assert_snapshot!(report.table().to_text(), @r"
    decisions
    decision   upstream       outcome  count
    placement        w1        chosen      1
    placement        w3        chosen      1
    routing           -   none chosen      1
    routing          w1        chosen      2
    routing          w2  no free slot      1
    ");
    assert_eq!(report.non_decision_lines(), 2);
}
