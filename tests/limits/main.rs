//! Tests of the limits of a process: a crowd of clients sends bodies that never end, or that are far
//! over the limit, to an entry that runs as a process of its own beside the stand-in store. The
//! limits of the entry's machine are lowered, so that a few hundred clients would exceed them.
//!
//! The tests check only what does not depend on the machine's speed. They run one at a time.

mod answers;
mod crowd;
mod decisions;
mod entry;

use {
    crowd::{Crowd, Script},
    entry::Entry,
    std::{
        sync::{Mutex, PoisonError},
        thread,
        time::Duration,
    },
};

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::new(());

/// The length of the bodies of legal size: just under the limit of 262,144 bytes.
const BODY_BYTES: usize = 250_000;

/// The limit on bodies in a configuration that allows large ones.
const LARGE_BODY_BYTES: usize = 4_000_000;

/// The length of bodies far over the limit, as announced.
const ANNOUNCED_BYTES: usize = 1 << 30;

/// The length of bodies far over the limit that are sent without an announcement.
const UNANNOUNCED_BYTES: usize = 1 << 20;

/// The length of a large chunk.
const LARGE_CHUNK_BYTES: usize = 50_000;

/// The number of chunks of one byte that are sent one at a time.
const SMALL_CHUNKS_ALONE: usize = 60;

/// The number of chunks of one byte that follow many at a time.
const SMALL_CHUNKS: usize = 5_000;

/// The number of steps of a job that is just small enough for a record of the store.
const MANY_STEPS: usize = 15_000;

/// How long the store leaves submissions without an answer after the last one was sent.
const STALL: Duration = Duration::from_secs(3);

/// The most subtasks of a job.
const MOST_SUBTASKS: usize = 20_000;

/// The number of large jobs that are submitted one after the other.
const ACCEPTED_ROUNDS: usize = 40;

/// The time for one of them to be accepted.
const ACCEPTANCE_PAUSE: Duration = Duration::from_millis(200);

/// The number of requests that a client sends without reading an answer.
const UNREAD_REQUESTS: usize = 4_000;

/// The length of a head that lacks its end: just under the limit of 16 KiB.
const HEAD_BYTES: usize = 16_000;

/// The length of the pieces of a body that is sent piece by piece.
const PIECE_BYTES: usize = 8_000;

/// Lets a crowd play a script at a new entry, sends ordinary requests while the crowd's connections
/// are open, and checks the entry.
fn check_entry_against(
    name: &str,
    script: &Script,
) {
    let _guard = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut entry = Entry::start(name);
    let mut faults = entry.ordinary_request_faults();
    assert!(faults.is_empty(), "before the crowd: {faults:?}");
    let mut crowd = Crowd::connect(entry.callers_address());
    crowd.play(script, || entry.observe());
    faults.extend(entry.ordinary_request_faults());
    entry.observe();
    drop(crowd);
    faults.extend(entry.ordinary_request_faults());
    faults.extend(entry.faults());
    println!("{name}: {}", entry.summary());
    assert!(faults.is_empty(), "{name}: {faults:#?}");
}

/// Guards against the exhaustion of memory by whole bodies that lack their last byte.
#[test]
fn whole_bodies_do_not_exhaust_memory() {
    let script = Script::with_length(BODY_BYTES, BODY_BYTES - 1, BODY_BYTES);
    check_entry_against("whole-bodies", &script);
}

/// Guards against the exhaustion of memory by bodies that arrive piece by piece and lack their last
/// byte.
#[test]
fn bodies_sent_piece_by_piece_do_not_exhaust_memory() {
    let script = Script::with_length(BODY_BYTES, BODY_BYTES - 1, PIECE_BYTES);
    check_entry_against("bodies-by-piece", &script);
}

/// Guards against the exhaustion of memory by bodies in large chunks that lack the last chunk.
#[test]
fn large_chunks_do_not_exhaust_memory() {
    let script = Script::chunked(LARGE_CHUNK_BYTES, BODY_BYTES / LARGE_CHUNK_BYTES);
    check_entry_against("large-chunks", &script);
}

/// Guards against the exhaustion of memory by bodies in chunks of one byte, each of which retained a
/// buffer of its own.
#[test]
fn very_small_chunks_do_not_exhaust_memory() {
    let script = Script::small_chunks(SMALL_CHUNKS_ALONE, SMALL_CHUNKS);
    check_entry_against("small-chunks", &script);
}

/// Guards against the exhaustion of memory by bodies that are announced far over the limit.
#[test]
fn announced_bodies_over_the_limit_do_not_exhaust_memory() {
    let script = Script::with_length(ANNOUNCED_BYTES, BODY_BYTES, PIECE_BYTES);
    check_entry_against("announced-over-limit", &script);
}

/// Guards against the exhaustion of memory by bodies that grow far over the limit without an
/// announcement.
#[test]
fn unannounced_bodies_over_the_limit_do_not_exhaust_memory() {
    let chunks = UNANNOUNCED_BYTES / LARGE_CHUNK_BYTES;
    let script = Script::chunked(LARGE_CHUNK_BYTES, chunks);
    check_entry_against("unannounced-over-limit", &script);
}

/// Guards against the exhaustion of memory by whole submissions of legal size whose decoded form is much
/// larger, while the store leaves them without an answer.
#[test]
fn submissions_of_many_steps_do_not_exhaust_memory() {
    let _guard = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut entry = Entry::start("many-steps");
    entry.stall_appends(true);
    let mut crowd = Crowd::connect(entry.callers_address());
    crowd.play(&Script::job_of_steps(MANY_STEPS), || entry.observe());
    thread::sleep(STALL);
    entry.observe();
    entry.stall_appends(false);
    let mut faults = entry.ordinary_request_faults();
    drop(crowd);
    faults.extend(entry.faults());
    println!("many-steps: {}", entry.summary());
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Submits jobs one after the other, which are accepted and wait for workers, and checks the entry.
fn check_entry_against_jobs(
    name: &str,
    script: &Script,
) {
    let _guard = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut entry = Entry::start(name);
    for _ in 0..ACCEPTED_ROUNDS {
        let mut crowd = Crowd::connect_some(entry.callers_address(), 1);
        crowd.play(script, || entry.observe());
        thread::sleep(ACCEPTANCE_PAUSE);
    }
    let mut faults = entry.ordinary_request_faults();
    faults.extend(entry.faults());
    println!("{name}: {}", entry.summary());
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against the exhaustion of memory by jobs with many steps that are accepted one after the other.
#[test]
fn accepted_jobs_of_many_steps_do_not_exhaust_memory() {
    check_entry_against_jobs("accepted-steps", &Script::job_of_steps(MANY_STEPS));
}

/// Guards against the exhaustion of the leader's memory by short bodies that ask for many subtasks.
#[test]
fn accepted_jobs_of_many_subtasks_do_not_exhaust_memory() {
    check_entry_against_jobs("accepted-subtasks", &Script::job_of_subtasks(MOST_SUBTASKS));
}

/// Guards against the exhaustion of memory by one submission of legal size with as many steps as it can
/// hold.
#[test]
fn a_submission_of_the_most_steps_does_not_exhaust_memory() {
    let script = Script::job_of_steps(BODY_BYTES / "{},".len());
    check_entry_against("most-steps", &script);
}

/// Guards against the exhaustion of memory by one submission of legal size where the configuration allows
/// larger bodies.
#[test]
fn a_large_submission_of_the_most_steps_does_not_exhaust_memory() {
    let _guard = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut entry = Entry::start("large-submission");
    entry.allow_bodies_of(LARGE_BODY_BYTES);
    let mut crowd = Crowd::connect_some(entry.callers_address(), 1);
    crowd.play(
        &Script::job_of_steps(LARGE_BODY_BYTES / "{},".len() - 20),
        || {
            entry.observe();
        },
    );
    let mut faults = entry.ordinary_request_faults();
    drop(crowd);
    faults.extend(entry.faults());
    println!("large-submission: {}", entry.summary());
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against callers who leave their answers unread and take the place of ordinary ones.
#[test]
fn unread_answers_do_not_shut_out_ordinary_callers() {
    check_entry_against("unread-answers", &Script::unread_answers(UNREAD_REQUESTS));
}

/// Guards against the exhaustion of memory by the largest heads of requests.
#[test]
fn unfinished_heads_do_not_exhaust_memory() {
    check_entry_against("unfinished-heads", &Script::unfinished_heads(HEAD_BYTES));
}

/// Guards against the exhaustion of descriptors by connections that send nothing.
#[test]
fn silent_connections_do_not_exhaust_descriptors() {
    check_entry_against("silent-connections", &Script::silent());
}

/// Guards against the exhaustion of a guard's descriptors by connections to its port for sessions that
/// send nothing.
#[test]
fn silent_sessions_do_not_exhaust_descriptors() {
    let _guard = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut guard = Entry::start_guard("silent-sessions");
    let mut crowd = Crowd::connect(guard.peers_address());
    crowd.play(&Script::silent(), || guard.observe());
    assert!(guard.has_metrics(), "the metrics are served");
    guard.observe();
    println!("silent-sessions: {}", guard.summary());
    assert_eq!(guard.faults(), Vec::<String>::new());
}
