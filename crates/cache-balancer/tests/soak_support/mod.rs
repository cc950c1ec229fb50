//! Clients, a crowd and processes of the soak under restarts.

pub mod clients;
pub mod crowd;
pub mod processes;
