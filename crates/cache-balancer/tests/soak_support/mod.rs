//! Clients, idle connections and processes of the soak test of restarts.

pub mod clients;
pub mod idle_connections;
pub mod processes;
