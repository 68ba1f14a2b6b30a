//! Stand-ins for the platform, which speak its interface: for tests, and for running the system on
//! one machine.

mod store_model;
mod store_server;
mod worker_model;
mod worker_server;

pub use {
    store_model::{StoreFaults, StoreModel},
    store_server::StandInStore,
    worker_model::{ModelEnd, ModelRun, StartObservation, WorkerModel, WorkerOutcome},
    worker_server::StandInWorker,
};
