//! What is wrong with bytes of the inner protocol.

use derive_more::{Display, Error};

/// Why a frame or a datagram was refused.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Error {
    /// The frame is longer than [`crate::frame::MAX_LENGTH`].
    #[display("the frame is too long")]
    TooLong,
    /// The bytes are no message of the schema.
    #[display("the message is malformed")]
    Malformed,
    /// The MAC is not that of the deployment's key.
    #[display("the MAC does not match")]
    Unauthentic,
    /// The sequence number was seen before.
    #[display("the message is a replay")]
    Replayed,
    /// The connection is gone.
    #[display("the connection is closed")]
    Closed,
    /// The versions of the two ends do not overlap.
    #[display("no common protocol version")]
    Version,
}
