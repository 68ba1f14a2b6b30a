//! Tests of the accelerator allocator and of the fences, one for each rule and each past fault.

use limpetquay::{
    connection::{EvictionMode, GuaranteedShare, ReserveCall},
    prelude::*,
    process::guard::{AcceleratorAllocator, Fences, Reservation, bounds::QUARANTINE},
};

/// Returns an allocator of 4 accelerators, of which `owner` is guaranteed the first two.
fn allocator() -> AcceleratorAllocator {
    let mut allocator = AcceleratorAllocator::new(AcceleratorSet::first(4), 0, Millis(0));
    let share = GuaranteedShare {
        account: "owner".into(),
        accelerators: AcceleratorSet::first(2),
    };
    allocator.set_guaranteed(1, vec![share]);
    allocator
}

fn reserve_call(
    job: u64,
    account: &str,
    accelerators: u32,
    eviction: EvictionMode,
) -> ReserveCall {
    ReserveCall {
        eviction,
        ..super::step::probe_call(job, &account.into(), accelerators)
    }
}

fn describe_result(result: Result<Reservation, limpetquay::connection::Refusal>) -> String {
    match result {
        Ok(result) => {
            let victims: Vec<String> = result.victims.iter().map(|v| v.to_string()).collect();
            format!("{:?} evicts {victims:?}", result.accelerators)
        }
        Err(refusal) => refusal.to_string(),
    }
}

/// Work that is never evicted gets no accelerators of another account's share. Other work borrows
/// them when no others are free, and is evicted when the owner reclaims them.
#[test]
fn shares_are_lent_and_reclaimed() {
    let mut allocator = allocator();
    let (now, until) = (Millis(1), Millis(9000));
    let results = [
        allocator.reserve(now, &reserve_call(1, "alba", 3, EvictionMode::Never), until),
        allocator.reserve(now, &reserve_call(2, "alba", 1, EvictionMode::Never), until),
        allocator.reserve(now, &reserve_call(3, "bruno", 3, EvictionMode::Stop), until),
        allocator.reserve(
            now,
            &reserve_call(4, "owner", 2, EvictionMode::Never),
            until,
        ),
        allocator.reserve(now, &reserve_call(5, "owner", 1, EvictionMode::Stop), until),
    ];
    insta::assert_debug_snapshot!(results.map(describe_result), @r#"
    [
        "not enough free accelerators",
        "0b100 evicts []",
        "0b1011 evicts []",
        "0b11 evicts [\"j0000000000000003-1.1\"]",
        "not enough free accelerators",
    ]
    "#);
}

/// A quarantine expires on time, also when the owner of the share tries to reserve it meanwhile.
#[test]
fn a_reservation_does_not_delay_a_quarantine() {
    let mut allocator = allocator();
    let borrower = reserve_call(1, "alba", 4, EvictionMode::Stop);
    let reserved = describe_result(allocator.reserve(Millis(1), &borrower, Millis(9000)));
    let expires_at = Millis(1) + Millis::from(QUARANTINE);
    allocator.quarantine(borrower.gang, expires_at);
    let early = describe_result(allocator.reserve(
        Millis(2),
        &reserve_call(2, "owner", 2, EvictionMode::Never),
        Millis(9000),
    ));
    let expired_count = allocator.expire(expires_at).len();
    let late = describe_result(allocator.reserve(
        expires_at,
        &reserve_call(3, "owner", 2, EvictionMode::Never),
        Millis(9000),
    ));
    insta::assert_debug_snapshot!((reserved, early, expired_count, late), @r#"
    (
        "0b1111 evicts []",
        "not enough free accelerators",
        1,
        "0b11 evicts []",
    )
    "#);
}

/// Work that is never evicted keeps its accelerators when a layout guarantees them to another
/// account, and they count as unmet until it ends.
#[test]
fn a_layout_leaves_work_that_is_never_evicted() {
    let mut allocator = AcceleratorAllocator::new(AcceleratorSet::first(4), 0, Millis(0));
    let never_evicted = reserve_call(1, "alba", 2, EvictionMode::Never);
    let result = allocator.reserve(Millis(1), &never_evicted, Millis(9000));
    let share = GuaranteedShare {
        account: "owner".into(),
        accelerators: AcceleratorSet::first(4),
    };
    allocator.set_guaranteed(2, vec![share]);
    let unmet = allocator.unmet();
    let refused = describe_result(allocator.reserve(
        Millis(2),
        &reserve_call(2, "owner", 4, EvictionMode::Never),
        Millis(9000),
    ));
    allocator.release(never_evicted.gang);
    insta::assert_debug_snapshot!((describe_result(result), unmet, refused, allocator.unmet()), @r#"
    (
        "0b11 evicts []",
        0b11,
        "not enough free accelerators",
        0b0,
    )
    "#);
}

/// A later owner fences earlier ones, a released start cannot be reserved again, and old fences
/// expire.
#[test]
fn fences_refuse_stale_starts() {
    let mut fences = Fences::default();
    let first = reserve_call(1, "alba", 1, EvictionMode::Stop).gang;
    let mut second = first;
    second.term.start = 2;
    let admitted = fences.admit(Millis(0), first);
    fences.close(first);
    let late = fences.admit(Millis(1), first);
    let next = fences.admit(Millis(2), second);
    let taken_over = fences.admit_owner(Millis(3), first.job, 2);
    let fenced = fences.admit(Millis(4), second);
    fences.expire(Millis(3_600_000));
    insta::assert_debug_snapshot!((admitted, late, next, taken_over, fenced, fences.len()), @r"
    (
        Ok(
            (),
        ),
        Err(
            Fenced,
        ),
        Ok(
            (),
        ),
        Ok(
            (),
        ),
        Err(
            Fenced,
        ),
        0,
    )
    ");
}
