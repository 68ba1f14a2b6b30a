//! In-memory stand-ins for the platform's store and worker, which speak the same HTTP interface,
//! for tests and for running the system on one machine.

mod stand_in_store;
mod stand_in_worker;
mod store_model;
mod worker_model;

pub use {
    stand_in_store::StandInStore,
    stand_in_worker::{LateCalls, ReceivedStart, StandInWorker},
    store_model::{StoreFaults, StoreLimits, StoreModel},
    worker_model::{ModelEnd, ModelRun, PlannedOutcome, StartObservation, WorkerModel},
};
