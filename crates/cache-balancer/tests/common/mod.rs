//! What a node needs around it, on loopback: cache servers and discovery whose behaviour a test sets, and
//! clients.

// Each test file is a program of its own and uses a part of this.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file compiles this module for itself and uses a part of it"
)]

mod cache_server;
mod client;
mod discovery;
mod files;
mod http;
mod manager;
mod node;
mod program;
mod wait;

pub use cache_server::*;
pub use client::*;
pub use discovery::*;
pub use files::*;
pub use http::*;
pub use manager::*;
pub use node::*;
pub use program::*;
pub use wait::*;
