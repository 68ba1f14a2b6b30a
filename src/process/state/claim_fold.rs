//! The idempotency keys that the log tells of.

use {
    super::{RecordCx, RecordOutcome},
    crate::{prelude::*, request::Fingerprint},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// How long a claim is remembered, in milliseconds.
const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// The most claims that are remembered.
const MAX_CLAIMS: usize = 32 << 10;

/// The claim of one request on its caller's idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The account.
    pub account: AccountName,
    /// The key, which is the account's own.
    pub key: Arc<str>,
    /// The content that the key stands for.
    pub content: Fingerprint,
    /// The request that claims the key.
    pub request: RequestId,
    /// When the request counts as lost if it has no end, in milliseconds since the Unix epoch.
    #[serde(rename = "lost_ms")]
    pub presumed_lost_ms: u64,
}

/// What happened to a claim.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ClaimRecord {
    /// A request claims a key before it is sent.
    Started(Claim),
    /// The request of a claim has ended.
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
    /// It was answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The answer's body, unless it is too large to be kept.
        body: Option<Bytes>,
    },
    /// It was not run, so the key may be claimed again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A claim with its end, once the request has ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimState {
    /// The claim.
    pub claim: Claim,
    /// How the request ended.
    pub end: Option<ClaimEnd>,
}

/// An account's idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
struct ClaimKey {
    account: AccountName,
    key: Arc<str>,
}

/// When a claim was taken.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ClaimExpiry {
    appended_ms: u64,
    key: ClaimKey,
    request: RequestId,
}

/// The claims of the last day, oldest first.
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
    /// Returns what is known of an account's key.
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

    /// Folds what happened to a claim. The first claim of a key holds it until it has ended
    /// without being run.
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
        if let Some(known) = self.claims.get(&key)
            && (known.end != Some(ClaimEnd::NotRun) || known.claim.request == claim.request)
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

    /// Ends a claim. An end may stand before its claim when the claim's append was slow; then the
    /// claim has ended from the start.
    fn apply_end(
        &mut self,
        cx: &RecordCx,
        claim: Claim,
        end: ClaimEnd,
    ) -> RecordOutcome {
        let known = self.claims.get_mut(&ClaimKey::of(&claim));
        match known {
            Some(known) if known.claim.request == claim.request => {
                if known.end.is_some() {
                    return RecordOutcome::Stale;
                }
                known.end = Some(end);
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
            let is_old = oldest.appended_ms + CLAIM_RETENTION_MS < now_ms;
            if !is_old && self.expiry_queue.len() <= MAX_CLAIMS {
                return;
            }
            let Some(oldest) = self.expiry_queue.pop_front() else {
                return;
            };
            let known = self.claims.get(&oldest.key);
            if known.is_some_and(|k| k.claim.request == oldest.request) {
                self.claims.remove(&oldest.key);
            }
        }
    }
}
