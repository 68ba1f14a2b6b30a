//! Operators' commands, which call the administration interface of an entry.

mod admin_action;
mod admin_client;
mod admin_command;
mod apply;
mod cancel;
mod document_text;
mod drain;
mod explain;
mod list;
mod revert;
mod status;

pub use {
    admin_action::{AdminAction, admin_actions, run_admin},
    admin_client::AdminClient,
    admin_command::AdminCommand,
};
