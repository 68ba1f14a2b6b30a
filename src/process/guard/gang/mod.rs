//! Gangs at the guard: pieces on the own worker, and gangs that this guard leads.

pub mod bounds;
mod fences;
mod gang_keeper;
mod gang_run;
mod lead_calls;
mod led_gang;
mod overrun;
mod piece;
mod piece_calls;
mod piece_run;
mod reserve_calls;

pub use {
    fences::Fences,
    gang_keeper::GangKeeper,
    led_gang::LedGang,
    overrun::{Measure, Overrun},
    piece::{Piece, Stage},
};
use {gang_run::GangRun, piece_run::PieceRun};
