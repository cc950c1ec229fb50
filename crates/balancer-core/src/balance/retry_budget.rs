//! The retry budget: regular attempts pay in, retries are paid from it.
//!
//! Without a budget each request of an overloaded fleet is tried on several servers, which multiplies the
//! load just when there is too much of it. With it, retries are at most a fixed fraction of the requests.

use crate::learned_state::non_negative;
use crate::requests::AttemptStatus;

/// Paid in by each request, in retries.
const DEPOSIT_PER_REQUEST: f64 = 0.2;
/// Paid by each retry.
const RETRY_COST: f64 = 1.0;
/// Largest balance, in retries.
const BALANCE_MAX: f64 = 10.0;

/// What the next attempt of a request is for the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt, or the one at the origin after a miss. It pays in.
    Regular,
    /// The one after an attempt that could not connect, which cost no server anything. It is free and pays
    /// nothing in: otherwise failed connections would pay for retries that overloaded servers are to be
    /// spared.
    AfterConnectError,
    /// Any other attempt. It is paid from the budget.
    Retry,
}

impl AttemptKind {
    /// The kind of the attempt that follows one with this status; `None` where it is the first.
    pub fn following(last: Option<AttemptStatus>) -> Self {
        match last {
            None | Some(AttemptStatus::Miss) => Self::Regular,
            Some(AttemptStatus::ConnectError) => Self::AfterConnectError,
            Some(_) => Self::Retry,
        }
    }

    /// By how much it changes the balance, in retries.
    fn balance_change(self) -> f64 {
        match self {
            Self::Regular => DEPOSIT_PER_REQUEST,
            Self::AfterConnectError => 0.0,
            Self::Retry => -RETRY_COST,
        }
    }
}

/// The retry budget of a node.
#[derive(Debug)]
pub struct RetryBudget {
    /// In retries.
    balance: f64,
}

impl Default for RetryBudget {
    /// A full budget.
    fn default() -> Self {
        Self { balance: BALANCE_MAX }
    }
}

impl RetryBudget {
    /// Whether an attempt of this kind may be made.
    pub fn allows(&self, kind: AttemptKind) -> bool {
        kind != AttemptKind::Retry || self.balance >= RETRY_COST
    }

    /// Pays for an attempt, or is paid for it.
    pub fn on_send(&mut self, kind: AttemptKind) {
        self.balance = (self.balance + kind.balance_change()).min(BALANCE_MAX);
    }

    /// The balance, for a successor.
    pub fn learned(&self) -> f64 {
        self.balance
    }

    /// A budget with the balance that a predecessor had.
    pub fn restored(balance: f64) -> Self {
        Self { balance: non_negative(balance, BALANCE_MAX) }
    }
}
