//! Types that live as long as one accepted version of the service document or of the platform's
//! configuration, and the parsers that read them.

mod accelerator_set;
mod account;
mod document;
mod fault;
mod ini_file;
mod job_kind;
mod key_hash;
mod layout;
mod names;
mod operator;
mod quantity;
mod queue;
mod request_kind;
mod shape;

pub use {
    accelerator_set::AcceleratorSet,
    account::Account,
    document::{Document, VersionNumber},
    fault::{Fault, Faults},
    ini_file::{IniFile, IniSection},
    job_kind::JobKind,
    key_hash::KeyHash,
    layout::{
        Fleet, FleetWorker, Guarantee, Layout, PlacedMember, PlacedShape, UnmetReason, UnmetShape,
        compute_layout,
    },
    names::{
        AccountName, DataCentre, EntryName, KindName, OperatorName, QueueName, RackName, Region,
        UpstreamName,
    },
    operator::{Operator, Role},
    quantity::{parse_bool, parse_bytes, parse_duration},
    queue::{ApiAccount, CallerLimits, Queue, QueueTable},
    request_kind::{Class, MAX_PAYLOAD_BYTES, RequestKind},
    shape::{Adjacency, Shape},
};
