//! Calls the store through another entry while it refuses or does not answer the calls of this
//! entry.

mod relay_server;
mod relayed_store;
mod store_call;

pub use {
    relay_server::RelayServer,
    relayed_store::RelayedStore,
    store_call::{StoreCall, StoreReply},
};
