//! Reservations that end when the memory is released.

use balancer_core::memory_budget::{MemoryBudget, MemoryExhausted, MemoryUse};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The memory budget of the process. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryAccount(Arc<Mutex<MemoryBudget>>);

impl MemoryAccount {
    /// Creates an account of `total` bytes.
    pub fn new(total: usize) -> Self {
        Self(Arc::new(Mutex::new(MemoryBudget::new(total))))
    }

    /// Creates an account without a limit, for stand-ins and tests.
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    /// Changes the total. Reservations above a lowered total stay.
    pub fn resize(&self, total: usize) {
        self.budget().resize(total);
    }

    /// Returns the reserved bytes and the total.
    pub fn usage(&self) -> (usize, usize) {
        let budget = self.budget();
        (budget.used(), budget.total())
    }

    /// Creates a reservation of 0 bytes, which can grow.
    pub fn start(&self, purpose: MemoryUse) -> Reservation {
        Reservation { account: self.clone(), purpose, bytes: 0 }
    }

    /// Reserves memory until the reservation is dropped.
    pub fn reserve(&self, purpose: MemoryUse, bytes: usize) -> Result<Reservation, MemoryExhausted> {
        let mut reservation = self.start(purpose);
        reservation.grow_to(bytes)?;
        Ok(reservation)
    }

    /// Returns the budget, also after a panic: each change of it is a single step.
    fn budget(&self) -> MutexGuard<'_, MemoryBudget> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory that is reserved until this value is dropped.
#[derive(Debug)]
pub struct Reservation {
    account: MemoryAccount,
    purpose: MemoryUse,
    bytes: usize,
}

impl Reservation {
    /// Reserves as much as is missing to `bytes`. After an error the reservation is as it was.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        let missing = bytes.saturating_sub(self.bytes);
        self.account.budget().reserve(self.purpose, missing)?;
        self.bytes += missing;
        Ok(())
    }

    /// Counts `bytes` in place of what is reserved, also above the total.
    pub fn charge(&mut self, bytes: usize) {
        self.clear();
        self.account.budget().charge(self.purpose, bytes);
        self.bytes = bytes;
    }

    /// Releases all that is reserved.
    pub fn clear(&mut self) {
        self.account.budget().release(self.purpose, std::mem::take(&mut self.bytes));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.clear();
    }
}
