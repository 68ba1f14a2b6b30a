//! The election of the leader, the one entry that schedules, by a claim on the ledger.

use {
    super::{Condition, LeadView, LeaderRecord, Ledger, LedgerKey, LedgerRecord, StoreError},
    crate::prelude::*,
    std::cell::Cell,
};

/// The interval at which a leader renews its claim. Another entry claims after three missed
/// renewals.
pub const LEADER_RENEWAL_INTERVAL: Duration = Duration::from_millis(450);

/// How long a leader may record nothing on the ledger before another entry claims leadership:
/// three renewals. Urgent jobs that arrive meanwhile can still meet their deadline.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1400);

/// The interval at which an entry checks whether it should claim leadership.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum age of the ledger's state for a claim: the wait of one read and some slack.
const MAX_CLAIM_VIEW_AGE: Duration = Duration::from_millis(1500);

/// One entry's part in the election of the leader.
pub struct LeaderElection {
    /// The ledger.
    pub ledger: Rc<Ledger>,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The name of this entry.
    pub entry: EntryName,
    /// The random number that this entry drew at its start.
    pub boot: u64,
    /// How long leadership must be vacant before this entry claims it, so that others claim first.
    pub claim_delay: Duration,
    /// Whether the entry is stopping and must not claim leadership.
    pub is_stopping: Cell<bool>,
    vacant_since: Cell<Option<Millis>>,
}

impl LeaderElection {
    /// Creates the part of one entry in the election.
    pub fn new(
        ledger: Rc<Ledger>,
        clock: Rc<dyn Clock>,
        entry: EntryName,
        boot: u64,
        claim_delay: Duration,
    ) -> Self {
        Self {
            ledger,
            clock,
            entry,
            boot,
            claim_delay,
            is_stopping: Cell::new(false),
            vacant_since: Cell::default(),
        }
    }

    /// Waits until this entry has claimed leadership, and returns its term.
    pub async fn claim(&self) -> u64 {
        loop {
            self.clock.sleep(CLAIM_CHECK_INTERVAL).await;
            if !self.should_claim() {
                continue;
            }
            let end = self.ledger.view(|f| f.next_offset);
            let previous = self.ledger.view(|f| f.leader.clone());
            match self.put_record(None, false, Condition::EndsAt(end)).await {
                Ok(offset) => {
                    let term = offset + 1;
                    tracing::info!(term, ?previous, "claimed the lead");
                    self.vacant_since.set(None);
                    return term;
                }
                Err(e) => tracing::info!(error = %e, end, "failed to claim leadership"),
            }
        }
    }

    /// Returns whether no higher term has been read from the ledger.
    pub fn is_current_term(
        &self,
        term: u64,
    ) -> bool {
        self.ledger
            .view(|f| f.leader.as_ref().is_none_or(|l| l.term <= term))
    }

    /// Resigns from leadership, so that another entry can claim it at once.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the store did not confirm the record.
    pub async fn resign(
        &self,
        term: u64,
    ) -> Result<u64, StoreError> {
        self.put_record(Some(term), true, Condition::Always).await
    }

    /// Returns the record that renews a term.
    pub fn renewal(
        &self,
        term: u64,
    ) -> LedgerRecord {
        LedgerRecord::Leader(LeaderRecord {
            entry: self.entry.clone(),
            boot: self.boot,
            term: Some(term),
            resigned: false,
            nonce: self.clock.now().0,
        })
    }

    fn should_claim(&self) -> bool {
        let is_fresh = self
            .ledger
            .age()
            .is_some_and(|age| age < MAX_CLAIM_VIEW_AGE);
        let leader = self.ledger.view(|f| f.leader.clone());
        if self.is_stopping.get() || !is_fresh || !self.is_leadership_vacant(leader) {
            self.vacant_since.set(None);
            return false;
        }
        let now = self.clock.now();
        let since = self.vacant_since.get().unwrap_or(now);
        self.vacant_since.set(Some(since));
        now.since(since) >= self.claim_delay
    }

    fn is_leadership_vacant(
        &self,
        leader: Option<LeadView>,
    ) -> bool {
        // A leader record with this entry's name is from an earlier boot, or from a claim of this
        // boot whose response was lost; nobody acts on either.
        leader.is_none_or(|l| {
            let is_unresponsive = self.clock.now().since(l.heard) > LEADER_TIMEOUT;
            l.resigned || is_unresponsive || l.entry == self.entry
        })
    }

    async fn put_record(
        &self,
        term: Option<u64>,
        resigned: bool,
        condition: Condition,
    ) -> Result<u64, StoreError> {
        let record = LedgerRecord::Leader(LeaderRecord {
            entry: self.entry.clone(),
            boot: self.boot,
            term,
            resigned,
            nonce: self.clock.now().0,
        });
        self.ledger
            .put(&LedgerKey::Leader, &record, condition)
            .await
    }
}
