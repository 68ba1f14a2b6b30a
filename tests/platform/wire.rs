//! Tests of the decoding of the platform's configurations, jobs and settings. Unknown fields are
//! ignored, and malformed or unsupported input is rejected.

use limpetquay::{
    platform::{BootSettings, decode_config, decode_job},
    prelude::*,
    request::StepJobId,
};

const CONFIG: &str = r#"{"Version":7,"Routes":[
    {"Name":"r-a","Host":"a.example","PathPrefix":"/a/","Type":"non_idempotent","TargetLatencyMs":1200,
     "Priority":1,"Service":"s","Attempts":4,"Stretch":3.0,"Public":false},
    {"Name":"r-ab","Host":"a.example","PathPrefix":"/a/b/","Priority":0,"Service":"s","Attempts":2,
     "Stretch":1.5,"Advice":{"DecisionMs":5}}],
    "Limits":{"MaxBodyBytes":1000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
    "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Guaranteed":{"Gpu":16}}]}"#;

const SETTINGS: &str = r#"{"NodeName":"edge-1","Ip":"10.1.0.19","Zone":"north",
    "ListenAddrs":{"Frontend":"10.1.0.19:8521","Ready":"10.1.0.19:8523"},"InternalPortRange":[7000,7015],"HeartbeatMs":1500,
    "Bounds":{"MaxHoldMs":6000,"RemoteFactor":3,"GracePeriodS":6,"status_s":120,"StrictRevoke":false},
    "platform":{"Address":"10.200.1.7:8524"},"Unknown":{"a":1}}"#;

#[test]
fn configurations() {
    let table = decode_config(CONFIG.as_bytes()).expect("a configuration");
    let routes = ["/a/1", "/a/b/1", "/c/1"].map(|path| {
        let queue = table.route("A.example:80", path);
        queue.map(|q| q.name.to_string())
    });
    insta::assert_debug_snapshot!((&table, routes));
    let faults = ["", "{}", r#"{"Version":"seven"}"#].map(|text| {
        decode_config(text.as_bytes())
            .expect_err("not a configuration")
            .to_string()
    });
    insta::assert_debug_snapshot!(faults);
}

#[test]
fn jobs() {
    let table = decode_config(CONFIG.as_bytes()).expect("a configuration");
    let queue = table.route("a.example", "/a/1").expect("a queue");
    let bodies = [
        r#"{"Spec":"x","Steps":[{"Count":2,"Cpu":500,"MemMb":256,"Gpu":1,"EstRuntimeMs":900,"DataRack":"r1"},
            {"Count":3,"DependsOn":[0],"Checkpointing":true,"GangScheduled":true,"Constraints":"a"}],
            "RepeatCount":2,"FirstRunMs":1000,"IntervalMs":500}"#,
        r#"{"Spec":"x","Steps":[]}"#,
        r#"{"Spec":"x","Steps":[{"Count":1,"DependsOn":[0]}]}"#,
        r#"{"Spec":"x","Steps":[{"Count":30000}]}"#,
        r#"{"Spec":"x","Steps":[{"Count":1,"Fills":true}]}"#,
        r#"{"Spec":"x","Steps":[{"Count":1}],"LongRunning":true}"#,
        r#"{"Spec":5}"#,
    ];
    let decoded = bodies.map(|body| {
        let account = AccountName::from("t");
        let job = decode_job(
            StepJobId::from_number(17),
            body.as_bytes(),
            queue,
            account,
            Millis(5),
        );
        job.map_err(|e| e.to_string())
    });
    insta::assert_debug_snapshot!(decoded);
}

/// Guards against a body whose steps are all decoded although no job has so many, and against the refusal of
/// a job that has the most.
#[test]
fn a_job_has_at_most_as_many_steps_as_subtasks() {
    let table = decode_config(CONFIG.as_bytes()).expect("a configuration");
    let queue = table.route("a.example", "/a/1").expect("a queue");
    let decode = |steps: usize| {
        let steps = vec![r#"{"Count":1}"#; steps].join(",");
        let body = format!(r#"{{"Steps":[{steps}]}}"#);
        let account = AccountName::from("t");
        let id = StepJobId::from_number(17);
        let job = decode_job(id, body.as_bytes(), queue, account, Millis(5));
        job.map(|j| j.steps.len())
            .map_err(|e| e.to_string().contains("at most 20000 steps"))
    };
    assert_eq!([decode(20_000), decode(20_001)], [Ok(20_000), Err(true)]);
}

#[test]
fn settings() {
    let settings = BootSettings::parse("boot.json", SETTINGS);
    let faults = ["", "{}", r#"{"NodeName":"a","Ip":"x"}"#].map(|text| {
        BootSettings::parse("boot.json", text)
            .expect_err("not settings")
            .to_string()
    });
    insta::assert_debug_snapshot!((settings.expect("settings"), faults));
}

/// Guards against records that the store refuses: its limits are read from the settings, and limits
/// into which nothing fits are refused.
#[test]
fn limits_of_the_store() {
    let limits = [
        r#""RecordBytes":50000,"RequestBytes":400000"#,
        r#""RecordBytes":50000,"RequestBytes":50003"#,
        r#""RecordBytes":0"#,
        r#""RecordBytes":1000000,"RequestBytes":100000000"#,
    ];
    let parsed = limits.map(|limits| {
        let text = SETTINGS.replace(r#""platform":{"#, &format!(r#""platform":{{{limits},"#));
        let settings = BootSettings::parse("boot.json", &text);
        settings.map(|s| s.record_limits).map_err(|e| e.to_string())
    });
    insta::assert_debug_snapshot!(parsed);
}

/// Guards against a bound on the start of guaranteed work that is not the platform's.
#[test]
fn bound_on_reclaims() {
    let parsed = ["2900", "3400.5", "0", "-1", "\"soon\""].map(|bound| {
        let text = SETTINGS.replace(
            r#""Bounds":{"#,
            &format!(r#""Bounds":{{"ReclaimMs":{bound},"#),
        );
        assert_ne!(text, SETTINGS);
        let settings = BootSettings::parse("boot.json", &text);
        settings.map(|s| s.reclaim_time).map_err(|e| e.to_string())
    });
    insta::assert_debug_snapshot!(parsed);
}
