//! Calls between daemons: `tarpc` over TCP, after a handshake in which both sides prove that they
//! have the deployment's shared key.

pub mod handler;
pub mod handshake;
pub mod link;
pub mod server;
pub mod service;
