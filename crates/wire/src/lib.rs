//! Inner protocol between entry VMs: messages, framing and authentication.

pub mod channel;
pub mod datagram;
pub mod error;
pub mod frame;
pub mod handshake;
pub mod message;

pub use {error::Error, frame::Frame, message as msg};
