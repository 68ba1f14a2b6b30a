//! Re-exports of the types that nearly every module uses.

pub use {
    crate::{
        process::clock::{Clock, Millis},
        request::{JobId, RequestId},
        version::{
            AcceleratorSet, AccountName, DataCentre, Document, EntryName, KindName, OperatorName,
            RackName, Region, UpstreamName, VersionNumber,
        },
    },
    bytes::Bytes,
    futures_util::future::LocalBoxFuture,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
};
