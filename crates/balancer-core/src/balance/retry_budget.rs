//! Retry budget: regular attempts add to it, and retries are paid from it.
//!
//! Without a budget, each request in an overloaded fleet is tried on several servers, which multiplies the
//! load when it is already too high. The budget limits retries to a fixed fraction of the requests.

use crate::learned_state::non_negative;
use crate::requests::AttemptStatus;

/// Amount that each regular attempt adds to the budget, in retries.
const DEPOSIT_PER_REQUEST: f64 = 0.2;
/// Cost of a retry, in retries.
const RETRY_COST: f64 = 1.0;
/// Maximum balance, in retries.
const MAX_BALANCE: f64 = 10.0;

/// Kind of an attempt, which determines its effect on the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// First attempt, or attempt at the origin after a miss. It adds to the budget.
    Regular,
    /// Attempt after one that could not connect and therefore put no load on any server. It is free and adds
    /// nothing to the budget; otherwise failed connections would pay for retries at overloaded servers.
    AfterConnectError,
    /// Any other attempt. It is paid from the budget.
    Retry,
}

impl AttemptKind {
    /// Returns the kind of the attempt that follows one with this status. `None` stands for the first
    /// attempt.
    pub fn following(last: Option<AttemptStatus>) -> Self {
        match last {
            None | Some(AttemptStatus::Miss) => Self::Regular,
            Some(AttemptStatus::ConnectError) => Self::AfterConnectError,
            Some(_) => Self::Retry,
        }
    }

    /// Returns the change of the balance, in retries.
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
    /// Current balance, in retries.
    balance: f64,
}

impl Default for RetryBudget {
    /// Returns a full budget.
    fn default() -> Self {
        Self { balance: MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Returns whether the budget allows an attempt of this kind.
    pub fn allows(&self, kind: AttemptKind) -> bool {
        kind != AttemptKind::Retry || self.balance >= RETRY_COST
    }

    /// Adjusts the balance for an attempt that is sent.
    pub fn on_send(&mut self, kind: AttemptKind) {
        self.balance = (self.balance + kind.balance_change()).min(MAX_BALANCE);
    }

    /// Returns the balance, for a successor process.
    pub fn learned(&self) -> f64 {
        self.balance
    }

    /// Returns a budget with the balance of a predecessor process.
    pub fn restored(balance: f64) -> Self {
        Self { balance: non_negative(balance, MAX_BALANCE) }
    }
}
