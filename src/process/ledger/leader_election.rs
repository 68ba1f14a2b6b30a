//! Who schedules: one entry at a time, by a claim on the ledger.

use {
    super::{Condition, LeadView, LeaderRecord, Ledger, LedgerKey, LedgerRecord, StoreError},
    crate::prelude::*,
    std::cell::Cell,
};

/// How often a lead renews its claim; three are missed before another entry claims.
pub const LEADER_RENEWAL_INTERVAL: Duration = Duration::from_millis(450);

/// How long a lead may be silent on the ledger before another entry claims: three renewals. Urgent
/// jobs that come meanwhile can still be on time.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1400);

/// How often an entry looks whether it should claim.
const CLAIM_POLL: Duration = Duration::from_millis(100);

/// The oldest view of the ledger on which an entry claims: one read's wait and some slack.
const MAX_CLAIM_VIEW_AGE: Duration = Duration::from_millis(1500);

/// One entry's part in the choice of the lead.
pub struct LeaderElection {
    /// The ledger.
    pub ledger: Rc<Ledger>,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The entry.
    pub entry: EntryName,
    /// The entry's boot.
    pub boot: u64,
    /// How long this entry lets others claim first.
    pub claim_delay: Duration,
    /// Whether the entry is stopping and must not claim.
    pub is_stopping: Cell<bool>,
    vacant_since: Cell<Option<Millis>>,
}

impl LeaderElection {
    /// Creates an entry's part.
    pub fn new(
        ledger: Rc<Ledger>,
        clock: Rc<dyn Clock>,
        entry: EntryName,
        boot: u64,
        delay: Duration,
    ) -> Self {
        Self {
            ledger,
            clock,
            entry,
            boot,
            claim_delay: delay,
            is_stopping: Cell::new(false),
            vacant_since: Cell::default(),
        }
    }

    /// Waits until this entry has claimed the lead, and returns its term.
    pub async fn claim(&self) -> u64 {
        loop {
            self.clock.sleep(CLAIM_POLL).await;
            if !self.should_claim() {
                continue;
            }
            let end = self.ledger.view(|f| f.next_offset);
            let seen = self.ledger.view(|f| f.leader.clone());
            match self.put_record(None, false, Condition::EndsAt(end)).await {
                Ok(offset) => {
                    let term = offset + 1;
                    tracing::info!(term, previous = ?seen, "claimed the lead");
                    self.vacant_since.set(None);
                    return term;
                }
                Err(e) => tracing::info!(error = %e, end, "claiming the lead failed"),
            }
        }
    }

    /// Tells whether a term is still the highest on the ledger.
    pub fn is_current_term(
        &self,
        term: u64,
    ) -> bool {
        self.ledger
            .view(|f| f.leader.as_ref().is_none_or(|l| l.term <= term))
    }

    /// Gives the lead up, so that another entry claims it at once.
    ///
    /// # Errors
    /// [`StoreError`] when the record may not be stored.
    pub async fn resign(
        &self,
        term: u64,
    ) -> Result<u64, StoreError> {
        self.put_record(Some(term), true, Condition::Always).await
    }

    /// Builds the record that renews a term.
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
        let lead = self.ledger.view(|f| f.leader.clone());
        if self.is_stopping.get() || !is_fresh || !self.is_vacant(lead) {
            self.vacant_since.set(None);
            return false;
        }
        let now = self.clock.now();
        let since = self.vacant_since.get().unwrap_or(now);
        self.vacant_since.set(Some(since));
        now.since(since) >= self.claim_delay
    }

    fn is_vacant(
        &self,
        lead: Option<LeadView>,
    ) -> bool {
        // A lead under this entry's name is of a boot before this one, or a claim of this one whose
        // answer was lost; nobody acts on either.
        lead.is_none_or(|l| {
            let is_silent = self.clock.now().since(l.heard) > LEADER_TIMEOUT;
            l.resigned || is_silent || l.entry == self.entry
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
