//! The book of accelerators and the fences, one case for each rule and for each failure found.

use limpetquay::{
    connection::{Eviction, GuaranteedShare, ReserveCall},
    prelude::*,
    process::guard::{AcceleratorAllocator, Fences, Reservation, bounds::QUARANTINE},
};

/// A book of 4 accelerators, of which `owner` is guaranteed the first two.
fn book() -> AcceleratorAllocator {
    let mut book = AcceleratorAllocator::new(AcceleratorSet::first(4), 0, Millis(0));
    let share = GuaranteedShare {
        account: "owner".into(),
        accelerators: AcceleratorSet::first(2),
    };
    book.set_guaranteed(1, vec![share]);
    book
}

fn call(
    job: u64,
    account: &str,
    accelerators: u32,
    eviction: Eviction,
) -> ReserveCall {
    ReserveCall {
        eviction,
        ..super::step::probe_call(job, &account.into(), accelerators)
    }
}

fn text(claim: Result<Reservation, limpetquay::connection::Refusal>) -> String {
    match claim {
        Ok(claim) => {
            let victims: Vec<String> = claim.victims.iter().map(|v| v.to_string()).collect();
            format!("{:?} evicts {victims:?}", claim.accelerators)
        }
        Err(refusal) => refusal.to_string(),
    }
}

/// Work that is never evicted gets nothing of another account's share; other work borrows it, last
/// of all, and gives it back to its owner.
#[test]
fn shares_are_lent_and_reclaimed() {
    let mut book = book();
    let (now, until) = (Millis(1), Millis(9000));
    let claims = [
        book.reserve(now, &call(1, "alba", 3, Eviction::Never), until),
        book.reserve(now, &call(2, "alba", 1, Eviction::Never), until),
        book.reserve(now, &call(3, "bruno", 3, Eviction::Stop), until),
        book.reserve(now, &call(4, "owner", 2, Eviction::Never), until),
        book.reserve(now, &call(5, "owner", 1, Eviction::Stop), until),
    ];
    insta::assert_debug_snapshot!(claims.map(text), @r#"
    [
        "not enough free accelerators",
        "0b100 evicts []",
        "0b1011 evicts []",
        "0b11 evicts [\"j0000000000000003-1.1\"]",
        "not enough free accelerators",
    ]
    "#);
}

/// A holding in quarantine lapses, also when its owner claims the share meanwhile.
#[test]
fn a_claim_does_not_hold_up_a_quarantine() {
    let mut book = book();
    let borrower = call(1, "alba", 4, Eviction::Stop);
    let claimed = text(book.reserve(Millis(1), &borrower, Millis(9000)));
    let lapses = Millis(1) + Millis::from(QUARANTINE);
    book.quarantine(borrower.gang, lapses);
    let early = text(book.reserve(
        Millis(2),
        &call(2, "owner", 2, Eviction::Never),
        Millis(9000),
    ));
    let lapsed = book.expire(lapses).len();
    let late = text(book.reserve(lapses, &call(3, "owner", 2, Eviction::Never), Millis(9000)));
    insta::assert_debug_snapshot!((claimed, early, lapsed, late), @r#"
    (
        "0b1111 evicts []",
        "not enough free accelerators",
        1,
        "0b11 evicts []",
    )
    "#);
}

/// Work that is never evicted stays when a layout gives its accelerators to another account, and
/// is counted as an unmet guarantee until it ends.
#[test]
fn a_layout_leaves_work_that_is_never_evicted() {
    let mut book = AcceleratorAllocator::new(AcceleratorSet::first(4), 0, Millis(0));
    let stays = call(1, "alba", 2, Eviction::Never);
    let claimed = book.reserve(Millis(1), &stays, Millis(9000));
    let share = GuaranteedShare {
        account: "owner".into(),
        accelerators: AcceleratorSet::first(4),
    };
    book.set_guaranteed(2, vec![share]);
    let unmet = book.unmet();
    let refused = text(book.reserve(
        Millis(2),
        &call(2, "owner", 4, Eviction::Never),
        Millis(9000),
    ));
    book.release(stays.gang);
    insta::assert_debug_snapshot!((text(claimed), unmet, refused, book.unmet()), @r#"
    (
        "0b11 evicts []",
        0b11,
        "not enough free accelerators",
        0b0,
    )
    "#);
}

/// A later owner fences earlier ones, a released start is not reserved again, and old fences are
/// forgotten.
#[test]
fn fences_refuse_what_is_over() {
    let mut fences = Fences::default();
    let first = call(1, "alba", 1, Eviction::Stop).gang;
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
