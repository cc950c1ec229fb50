//! Scale runs: hundreds of hollow nodes in each of a few processes, beside real ones, against discovery by replicas.
//!
//! A hollow node is the real discovery client with the real decisions and no clients (as Kubernetes' Kubemark has hollow
//! kubelets). Processes talk to the run by the lines of JSON in [`messages`], which [`process`] reads and writes;
//! [`replica`] is one replica of discovery.

pub mod messages;
pub mod real;
pub mod process;
pub mod replica;
