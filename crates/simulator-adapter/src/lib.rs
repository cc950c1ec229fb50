//! The simulator's wire: text lines in, text lines out.

pub mod wire;
