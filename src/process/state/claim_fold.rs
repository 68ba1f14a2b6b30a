//! Claims of idempotency keys.

use {
    super::{RecordCx, RecordOutcome},
    crate::{prelude::*, request::Fingerprint},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// How long a claim is retained, in milliseconds.
const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Number of claims beyond which the oldest ones are dropped.
const MAX_CLAIMS: usize = 32 << 10;

/// The claim of an idempotency key by one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The account that the key belongs to.
    pub account: AccountName,
    /// The key, unique within the account.
    pub key: Arc<str>,
    /// Fingerprint of the request content that the key identifies.
    pub content: Fingerprint,
    /// The request that claims the key.
    pub request: RequestId,
    /// When a request without a recorded end is presumed lost, in milliseconds since the Unix
    /// epoch.
    #[serde(rename = "lost_ms")]
    pub presumed_lost_ms: u64,
}

/// Start or end of a claim.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ClaimRecord {
    /// A request claimed a key. The claim is recorded before the request is sent.
    Started(Claim),
    /// The request that holds a claim ended.
    Ended {
        /// The claim.
        claim: Claim,
        /// How the request ended.
        end: ClaimEnd,
    },
}

/// How a claimed request ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimEnd {
    /// The request was answered.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer, unless it is too large to be stored.
        body: Option<Bytes>,
    },
    /// The request was not run, so the key may be claimed again.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A claim and, once its request has ended, the outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimState {
    /// The claim.
    pub claim: Claim,
    /// How the request ended.
    pub end: Option<ClaimEnd>,
}

/// Idempotency key qualified by its account.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
struct ClaimKey {
    account: AccountName,
    key: Arc<str>,
}

/// Entry of the expiry queue: when the log stored a claim.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ClaimExpiry {
    appended_ms: u64,
    key: ClaimKey,
    request: RequestId,
}

/// The claims of the last 24 hours.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ClaimFold {
    claims: BTreeMap<ClaimKey, ClaimState>,
    #[serde(rename = "ages")]
    expiry_queue: VecDeque<ClaimExpiry>,
}

impl ClaimKey {
    fn of(claim: &Claim) -> Self {
        Self {
            account: claim.account.clone(),
            key: claim.key.clone(),
        }
    }
}

impl ClaimFold {
    /// Returns the state of the claim of an account's key.
    pub fn get(
        &self,
        account: &AccountName,
        key: &Arc<str>,
    ) -> Option<&ClaimState> {
        self.claims.get(&ClaimKey {
            account: account.clone(),
            key: key.clone(),
        })
    }

    /// Folds the start or end of a claim. The first claim of a key is valid until it expires or its
    /// request ends without having been run.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
        record: ClaimRecord,
    ) -> RecordOutcome {
        self.remove_expired(cx.appended_ms);
        match record {
            ClaimRecord::Started(claim) => self.insert_claim(cx, claim, None),
            ClaimRecord::Ended { claim, end } => self.apply_end(cx, claim, end),
        }
    }

    fn insert_claim(
        &mut self,
        cx: &RecordCx,
        claim: Claim,
        end: Option<ClaimEnd>,
    ) -> RecordOutcome {
        let key = ClaimKey::of(&claim);
        if let Some(current) = self.claims.get(&key)
            && (current.end != Some(ClaimEnd::NotRun) || current.claim.request == claim.request)
        {
            return RecordOutcome::Stale;
        }
        self.expiry_queue.push_back(ClaimExpiry {
            appended_ms: cx.appended_ms,
            key: key.clone(),
            request: claim.request,
        });
        self.claims.insert(key, ClaimState { claim, end });
        RecordOutcome::Applied
    }

    /// Records the end of a claim. If the claim's append was delayed, its end comes first in the
    /// log and inserts the claim in its ended state.
    fn apply_end(
        &mut self,
        cx: &RecordCx,
        claim: Claim,
        end: ClaimEnd,
    ) -> RecordOutcome {
        let current = self.claims.get_mut(&ClaimKey::of(&claim));
        match current {
            Some(current) if current.claim.request == claim.request => {
                if current.end.is_some() {
                    return RecordOutcome::Stale;
                }
                current.end = Some(end);
                RecordOutcome::Applied
            }
            _ => self.insert_claim(cx, claim, Some(end)),
        }
    }

    fn remove_expired(
        &mut self,
        now_ms: u64,
    ) {
        while let Some(oldest) = self.expiry_queue.front() {
            let is_expired = oldest.appended_ms + CLAIM_RETENTION_MS < now_ms;
            if !is_expired && self.expiry_queue.len() <= MAX_CLAIMS {
                return;
            }
            let Some(oldest) = self.expiry_queue.pop_front() else {
                return;
            };
            let current = self.claims.get(&oldest.key);
            if current.is_some_and(|c| c.claim.request == oldest.request) {
                self.claims.remove(&oldest.key);
            }
        }
    }
}
