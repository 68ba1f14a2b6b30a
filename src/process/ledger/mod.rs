//! Keeps the state that has to outlive every process: accepted jobs, their progress, the leader and
//! the registered processes.

mod candidacy;
mod end_hints;
mod fold;
mod keyed_store;
mod known_end;
mod leader_election;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod ledger;
mod newest_follower;
mod newest_list;
mod record;
mod record_limits;
mod registration;
mod store_health;

pub use {
    candidacy::{Candidacy, CandidateMachine, LeadershipView},
    end_hints::{EndHint, receive_end_hints, send_end_hints},
    fold::{JobView, LeadView, LedgerFold},
    keyed_store::{Condition, Fence, KeyedPage, KeyedRecord, KeyedStore, ReadRange, StoreError},
    leader_election::{LEADER_RENEWAL_INTERVAL, LEADER_TIMEOUT, LeaderElection},
    ledger::Ledger,
    newest_follower::NewestFollower,
    newest_list::NewestList,
    record::{Deregistration, LeaderRecord, LedgerKey, LedgerRecord, Member, MemberRole},
    record_limits::{DEFAULT_APPEND_BYTES, DEFAULT_RECORD_BYTES, RecordLimits, append_size},
    registration::{DeregistrationOutcome, deregister, register},
    store_health::StoreHealth,
};
