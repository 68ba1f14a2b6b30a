//! The limits of load plans and the times at which requests are due.

use limpetquay::{
    prelude::*,
    process::load::{LoadPlan, LoadPlanError},
};

fn plan() -> LoadPlan {
    LoadPlan {
        entries: vec![SocketAddr::from(([127, 0, 0, 1], 7100))],
        kinds: vec!["crash-analysis".into()],
        key: "key".to_owned(),
        body: Bytes::new(),
        rate_per_s: 100,
        duration: Duration::from_millis(2_500),
        max_in_flight: 10,
    }
}

fn refusal(plan: &LoadPlan) -> Option<LoadPlanError> {
    plan.check().err()
}

/// Plans without entries, with an entry on another machine, or above a limit are refused.
#[test]
fn plans_outside_their_limits_are_refused() {
    let remote = SocketAddr::from(([10, 0, 0, 1], 7100));
    let refusals = [
        refusal(&plan()),
        refusal(&LoadPlan {
            entries: Vec::new(),
            ..plan()
        }),
        refusal(&LoadPlan {
            entries: vec![remote],
            ..plan()
        }),
        refusal(&LoadPlan {
            rate_per_s: 5_001,
            ..plan()
        }),
        refusal(&LoadPlan {
            duration: Duration::from_secs(601),
            ..plan()
        }),
    ];
    let refusals = refusals.map(|r| r.map_or("accepted".to_owned(), |e| e.to_string()));
    insta::assert_debug_snapshot!(refusals, @r#"
    [
        "accepted",
        "at least one entry and one request kind are needed",
        "10.0.0.1:7100 is not a loopback address; load goes to this machine only",
        "the rate has to be from 1 to 5000 requests a second",
        "the time has to be from 1 ms to 600 s",
    ]
    "#);
}

/// Requests are due at equal intervals over the plan's duration.
#[test]
fn requests_are_due_at_even_distances() {
    let plan = plan();
    assert_eq!(plan.request_count(), 250);
    assert_eq!(plan.send_offset(0), Duration::ZERO);
    assert_eq!(plan.send_offset(249), Duration::from_millis(2_490));
}
