//! The memory limit of the process, and the account of what is held for clients, cache servers and discovery.
//! [`balancer_core::memory_budget`] decides which reservations fit.

mod account;
mod limit;

pub use account::{MemoryAccount, Reservation};
pub use limit::{default_limit, resident_bytes};

#[cfg(test)]
mod tests;
