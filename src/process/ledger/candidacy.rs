//! Decides whether and when an entry claims the leadership. Plain data; the time is an argument.

use {
    super::{LEADER_TIMEOUT, LeadView, LeaderRecord},
    crate::prelude::*,
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// The share of a core that the leader needs for each guard, in thousandths.
const CPU_MILLI_PER_GUARD: u64 = 1;

/// The bandwidth that the leader needs for each guard, in kilobits per second.
const LINK_KBPS_PER_GUARD: u64 = 20;

/// The share of a core, in thousandths, at which a machine is not preferred any less.
const PREFERRED_CPU_MILLI: u64 = 500;

/// How much later the smallest machine claims than a preferred one.
const MAX_CPU_DELAY: Duration = Duration::from_millis(200);

/// How much later a machine claims that is too small for the number of guards.
const UNDERSIZED_DELAY: Duration = Duration::from_millis(600);

/// How much later an entry claims whose store is in another region, so that the others claim first.
const REMOTE_STORE_DELAY: Duration = Duration::from_millis(400);

/// How much later an entry claims that reaches the store only through other entries.
const NO_STORE_PATH_DELAY: Duration = Duration::from_millis(3000);

/// How much the claims of equal candidates are spread for each entry, so that the number of
/// claims at one time does not grow with the number of entries.
const SPREAD_PER_ENTRY: Duration = Duration::from_millis(8);

/// The upper limit of that spread.
const MAX_SPREAD: Duration = Duration::from_millis(400);

/// What a candidate's machine can carry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CandidateMachine {
    /// The processor share, in thousandths of a core.
    pub cpu_milli: u64,
    /// The bandwidth of the machine's link, in kilobits per second.
    pub link_kbps: u64,
}

/// What a candidate knows about the leadership and the system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeadershipView {
    /// The leader that was read from the ledger last.
    pub leader: Option<LeadView>,
    /// The number of registered guards.
    pub guards: u64,
    /// The number of registered entries.
    pub entries: u64,
    /// Whether this entry reaches the store by its own path.
    pub has_store_path: bool,
    /// Whether the store is in another region.
    pub is_store_remote: bool,
}

/// A claim of another entry whose first renewal has not been read from the ledger yet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct UnconfirmedClaim {
    term: u64,
    seen_at: Millis,
}

/// One entry's decisions on claims.
#[derive(Clone, Debug)]
pub struct Candidacy {
    entry: EntryName,
    boot: u64,
    machine: CandidateMachine,
    started_at: Millis,
    /// Until when this entry does not claim, because it has given up the leadership as unfit.
    unfit_until: Millis,
    unconfirmed: Option<UnconfirmedClaim>,
}

impl Candidacy {
    /// Creates the candidacy of an entry that has read the ledger at `started_at`.
    pub fn new(
        entry: EntryName,
        boot: u64,
        machine: CandidateMachine,
        started_at: Millis,
    ) -> Self {
        Self {
            entry,
            boot,
            machine,
            started_at,
            unfit_until: Millis(0),
            unconfirmed: None,
        }
    }

    /// Keeps this entry from claiming until `until`.
    pub fn mark_unfit(
        &mut self,
        until: Millis,
    ) {
        self.unfit_until = until;
    }

    /// Returns the time from which this entry may claim the leadership, if it stays vacant.
    pub fn claim_due_at(
        &self,
        view: &LeadershipView,
    ) -> Millis {
        let due = self.vacant_at(view) + self.delay(view).into();
        due.max(self.unfit_until)
    }

    /// Returns the term to claim after `latest`, the newest claim of all entries. Returns `None`
    /// while that claim is another entry's whose first renewal may still be on its way.
    pub fn term_to_claim(
        &mut self,
        latest: Option<&LeaderRecord>,
        known_term: u64,
        now: Millis,
    ) -> Option<u64> {
        let latest_term = latest.and_then(|c| c.term).unwrap_or_default();
        let is_own = latest.is_some_and(|c| c.entry == self.entry && c.boot == self.boot);
        if latest_term > known_term && !is_own {
            let is_known = self.unconfirmed.is_some_and(|c| c.term == latest_term);
            if !is_known {
                self.unconfirmed = Some(UnconfirmedClaim {
                    term: latest_term,
                    seen_at: now,
                });
            }
            let seen_at = self.unconfirmed.map_or(now, |c| c.seen_at);
            if now.since(seen_at) <= LEADER_TIMEOUT {
                return None;
            }
        }
        Some(latest_term.max(known_term) + 1)
    }

    /// Returns the time at which the leadership became vacant, or will become so if the leader
    /// records nothing more.
    fn vacant_at(
        &self,
        view: &LeadershipView,
    ) -> Millis {
        let Some(leader) = &view.leader else {
            return self.after_unconfirmed(0, self.started_at);
        };
        // A leader record with this entry's name is from an earlier boot, or from a term of this
        // boot that has ended; nobody acts on either.
        let is_vacant = leader.resigned || leader.entry == self.entry;
        let vacant_at = if is_vacant {
            leader.heard
        } else {
            leader.heard + LEADER_TIMEOUT.into()
        };
        self.after_unconfirmed(leader.term, vacant_at)
    }

    /// Delays a claim while another entry's claim of a higher term than `known_term` may still be
    /// confirmed.
    fn after_unconfirmed(
        &self,
        known_term: u64,
        vacant_at: Millis,
    ) -> Millis {
        let unconfirmed = self.unconfirmed.filter(|c| c.term > known_term);
        unconfirmed.map_or(vacant_at, |c| {
            vacant_at.max(c.seen_at + LEADER_TIMEOUT.into())
        })
    }

    /// Returns how long this entry lets others claim first: the weaker it is, the longer.
    fn delay(
        &self,
        view: &LeadershipView,
    ) -> Duration {
        let machine = self.machine;
        let shortfall = PREFERRED_CPU_MILLI.saturating_sub(machine.cpu_milli);
        let mut delay = MAX_CPU_DELAY.mul_f64(shortfall as f64 / PREFERRED_CPU_MILLI as f64);
        let is_undersized = machine.cpu_milli < view.guards * CPU_MILLI_PER_GUARD
            || machine.link_kbps < view.guards * LINK_KBPS_PER_GUARD;
        if is_undersized {
            delay += UNDERSIZED_DELAY;
        }
        if view.is_store_remote {
            delay += REMOTE_STORE_DELAY;
        }
        if !view.has_store_path {
            delay += NO_STORE_PATH_DELAY;
        }
        delay + self.spread(view)
    }

    /// Returns this entry's part of the spread. It differs from term to term, so that no entry is
    /// always the first.
    fn spread(
        &self,
        view: &LeadershipView,
    ) -> Duration {
        let entries = u32::try_from(view.entries).unwrap_or(u32::MAX);
        let spread = SPREAD_PER_ENTRY.saturating_mul(entries).min(MAX_SPREAD);
        let mut hasher = DefaultHasher::new();
        let term = view.leader.as_ref().map_or(0, |l| l.term);
        (self.entry.as_str(), term).hash(&mut hasher);
        spread.mul_f64((hasher.finish() % 1000) as f64 / 1000.0)
    }
}
