//! The election of the leader, the one entry that schedules. A claim is a conditional append to a
//! topic that takes claims only, so it succeeds however busy the ledger is.

use {
    super::{
        Candidacy, CandidateMachine, Condition, LeaderRecord, LeadershipView, Ledger, LedgerKey,
        LedgerRecord, MemberRole, StoreError, StoreHealth,
    },
    crate::{prelude::*, process::clock::with_timeout},
    std::cell::Cell,
};

/// The interval at which a leader renews its claim. Another entry claims after three missed
/// renewals.
pub const LEADER_RENEWAL_INTERVAL: Duration = Duration::from_millis(450);

/// How long a leader may record nothing on the ledger before another entry claims leadership:
/// three renewals. Urgent jobs that arrive meanwhile can still meet their deadline.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(1400);

/// The longest time between two checks whether to claim leadership.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The pause after a claim without success.
const CLAIM_RETRY: Duration = Duration::from_millis(150);

/// The maximum age of the ledger's state for a claim: the wait of one read and some slack.
const MAX_CLAIM_VIEW_AGE: Duration = Duration::from_millis(1500);

/// The age of the ledger's state from which it is read again before a claim, because the leader may
/// have renewed its term since.
const RECHECK_VIEW_AGE: Duration = Duration::from_millis(100);

/// The age of the last direct call to the store up to which an entry counts as reaching it by its
/// own path: the wait of one read and some slack.
const MAX_STORE_PATH_AGE: Duration = Duration::from_millis(1500);

/// How long an entry that gave up the leadership as unfit does not claim it again.
const UNFIT_DURATION: Duration = Duration::from_millis(5000);

/// One entry's part in the election of the leader.
pub struct LeaderElection {
    /// The ledger.
    pub ledger: Rc<Ledger>,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// Whether this entry reaches the store.
    pub store_health: Rc<StoreHealth>,
    /// Whether the entry is stopping and must not claim leadership.
    pub is_stopping: Cell<bool>,
    entry: EntryName,
    boot: u64,
    candidacy: RefCell<Candidacy>,
}

impl LeaderElection {
    /// Creates the part of one entry in the election. `boot` is the random number that the entry
    /// drew at its start.
    pub fn new(
        ledger: Rc<Ledger>,
        clock: Rc<dyn Clock>,
        store_health: Rc<StoreHealth>,
        entry: EntryName,
        boot: u64,
        machine: CandidateMachine,
    ) -> Self {
        let candidacy = Candidacy::new(entry.clone(), boot, machine, clock.now());
        Self {
            ledger,
            clock,
            store_health,
            is_stopping: Cell::new(false),
            entry,
            boot,
            candidacy: RefCell::new(candidacy),
        }
    }

    /// Waits until this entry has claimed leadership, and returns its term.
    pub async fn claim(&self) -> u64 {
        loop {
            let leader_changed = self.ledger.listen_leader();
            let wait = self.time_until_claim();
            if !wait.is_zero() {
                let wait = wait.min(CLAIM_CHECK_INTERVAL);
                with_timeout(&*self.clock, wait, leader_changed).await;
                continue;
            }
            match self.try_claim().await {
                Ok(Some(term)) => return term,
                Ok(None) => {}
                Err(e) => tracing::info!(error = %e, "failed to claim leadership"),
            }
            self.clock.sleep(CLAIM_RETRY).await;
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

    /// Keeps this entry from claiming leadership for some time, because it cannot lead.
    pub fn mark_unfit(&self) {
        let until = self.clock.now() + UNFIT_DURATION.into();
        self.candidacy.borrow_mut().mark_unfit(until);
    }

    /// Resigns from leadership, so that another entry can claim it at once.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the store did not confirm the record.
    pub async fn resign(
        &self,
        term: u64,
    ) -> Result<u64, StoreError> {
        let record = LedgerRecord::Leader(self.leader_record(term, true));
        self.ledger
            .put(&LedgerKey::Leader, &record, Condition::Always)
            .await
    }

    /// Returns the record that renews a term.
    pub fn renewal(
        &self,
        term: u64,
    ) -> LedgerRecord {
        LedgerRecord::Leader(self.leader_record(term, false))
    }

    /// Returns how long this entry has to wait before it may claim leadership.
    fn time_until_claim(&self) -> Duration {
        let is_fresh = self
            .ledger
            .age()
            .is_some_and(|age| age < MAX_CLAIM_VIEW_AGE);
        if self.is_stopping.get() || !is_fresh {
            return CLAIM_CHECK_INTERVAL;
        }
        let now = self.clock.now();
        let view = self.leadership_view(now);
        self.candidacy.borrow().claim_due_at(&view).since(now)
    }

    fn leadership_view(
        &self,
        now: Millis,
    ) -> LeadershipView {
        let has_store_path = self.store_health.has_own_path(now, MAX_STORE_PATH_AGE);
        self.ledger.view(|fold| {
            let count = |role| fold.members.values().filter(|m| m.role == role).count() as u64;
            LeadershipView {
                leader: fold.leader.clone(),
                guards: count(MemberRole::Guard),
                entries: count(MemberRole::Entry),
                has_store_path,
                is_store_remote: self.store_health.is_store_remote(),
            }
        })
    }

    /// Claims leadership unless the leader has renewed its term or another entry has just claimed
    /// it. Returns the claimed term.
    async fn try_claim(&self) -> Result<Option<u64>, StoreError> {
        let known = self.ledger.view(|f| f.leader.clone());
        let known_term = known.as_ref().map_or(0, |l| l.term);
        let is_recheck_due = self.ledger.age().is_none_or(|age| age >= RECHECK_VIEW_AGE);
        if is_recheck_due && self.ledger.has_unread_leader_record().await? {
            return Ok(None);
        }
        let (latest, end) = self.ledger.latest_claim().await?;
        let now = self.clock.now();
        let term = self
            .candidacy
            .borrow_mut()
            .term_to_claim(latest.as_ref(), known_term, now);
        let Some(term) = term else {
            tracing::info!(?latest, "another entry has claimed leadership");
            return Ok(None);
        };
        let claim = self.leader_record(term, false);
        self.ledger.append_claim(claim, end).await?;
        tracing::info!(term, previous = ?known, "claimed the lead");
        Ok(Some(term))
    }

    fn leader_record(
        &self,
        term: u64,
        resigned: bool,
    ) -> LeaderRecord {
        LeaderRecord {
            entry: self.entry.clone(),
            boot: self.boot,
            term: Some(term),
            resigned,
            nonce: self.clock.now().0,
        }
    }
}
