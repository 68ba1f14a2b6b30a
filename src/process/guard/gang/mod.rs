//! Gangs at a guard: the pieces on its own worker, and the gangs that it leads.

pub mod bounds;
mod fences;
mod gang_manager;
mod gang_run;
mod leader_calls;
mod led_gang;
mod overrun_monitor;
mod piece;
mod piece_calls;
mod piece_run;
mod reserve_calls;

pub use {
    fences::Fences,
    gang_manager::GangManager,
    led_gang::LedGang,
    overrun_monitor::{OverrunAction, OverrunMonitor},
    piece::{Piece, PieceStage},
};
use {gang_run::GangRun, piece_run::PieceRun};
