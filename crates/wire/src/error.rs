//! Errors of the inner protocol.

use derive_more::{Display, Error};

/// Why a handshake, a frame or a datagram was rejected.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Error {
    /// The frame or datagram is longer than its `MAX_LENGTH`.
    #[display("the frame is too long")]
    TooLong,
    /// The bytes are not a message of the schema.
    #[display("the message is malformed")]
    Malformed,
    /// The MAC does not verify.
    #[display("the MAC does not match")]
    Unauthentic,
    /// The sequence number was received before or is too old.
    #[display("the message is a replay")]
    Replayed,
    /// The connection was closed.
    #[display("the connection is closed")]
    Closed,
    /// The version ranges of the two ends do not overlap.
    #[display("no common protocol version")]
    Version,
}
