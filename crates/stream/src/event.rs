//! Events that a session handles and actions that it requests.

use {
    base::{Refusal, key},
    derive_more::Display,
};

/// How the response is sent to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// One event per token, as the tokens arrive.
    Streaming,
    /// One body once the generation has ended.
    Buffered,
}

/// Why a generation ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended the generation.
    Stop,
    /// The limit on output tokens was reached.
    Length,
}

impl Finish {
    /// Parses the `finish_reason` of an engine's chunk; `None` if it is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "stop" => Some(Self::Stop),
            "length" => Some(Self::Length),
            _ => None,
        }
    }
}

/// One event of an engine's response stream: a token or the end of the generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Id of the generation that the engine reports.
    pub generation: Box<str>,
    /// Id of the attempt that the engine reports.
    pub request: Box<str>,
    /// Index of the token; in the final chunk, the number of tokens.
    pub index: u32,
    /// Text of the token; empty in the final chunk.
    pub text: Box<str>,
    /// Set in the final chunk only.
    pub finish: Option<Finish>,
}

/// Why a connection to an engine failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Failure {
    /// It was never established, so no byte of the request was sent.
    Unreachable,
    /// The engine refused the request before running it.
    Refused,
    /// The engine refused the request because it is shutting down.
    Leaving,
    /// The engine does not have the generation to resume.
    Unknown,
    /// The engine rejected the request as invalid; a retry would be rejected too.
    Rejected,
    /// It was closed or reset before the final chunk.
    #[display("cut")]
    Disconnected,
    /// No chunk or heartbeat arrived within the timeout.
    Silent,
    /// A chunk was unreadable or belonged to another request or generation.
    #[display("crossed")]
    Mismatched,
    /// A chunk was missing.
    Gap,
}

impl Failure {
    /// Returns whether the engine certainly did not start the request.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Unreachable | Self::Refused | Self::Leaving)
    }
}

/// What to request on a new connection to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Start {
    /// A new generation.
    New,
    /// The rest of an existing generation.
    Resume {
        /// Id of the generation.
        generation: Box<str>,
        /// Index of the first chunk to send.
        index: u32,
    },
}

/// An input of the session.
#[derive(Clone, Debug)]
pub enum Event {
    /// Starts the session.
    Started,
    /// The router chose a target.
    Routed(key::Target),
    /// The router refused the request.
    Refused(Refusal),
    /// A chunk arrived from an engine.
    Chunk {
        /// Number of the connection that it arrived on.
        connection: u32,
        /// The chunk.
        chunk: Chunk,
    },
    /// A heartbeat arrived from an engine.
    Heartbeat {
        /// Number of the connection that it arrived on.
        connection: u32,
    },
    /// A connection to an engine failed.
    Failed {
        /// Number of the connection.
        connection: u32,
        /// Why it failed.
        failure: Failure,
    },
    /// The caller closed its connection.
    CallerDisconnected,
    /// The caller resumed the stream over another connection, to this or another VM.
    Adopted,
    /// The time returned by `next_timeout` may have been reached.
    Tick,
}

/// An effect that the session requests from its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Choose a target for a new attempt.
    Route {
        /// Targets on which an attempt already failed.
        excluded: Vec<key::Target>,
        /// Why the previous attempt failed; `None` for the first attempt.
        failure: Option<Failure>,
    },
    /// Open a new connection.
    Connect {
        /// Its number, which the events of this connection carry.
        connection: u32,
        /// The engine.
        target: key::Target,
        /// Id of the attempt, which the engine's chunks must carry.
        request: Box<str>,
        /// What to request on the connection.
        start: Start,
    },
    /// Close a connection to an engine.
    Disconnect {
        /// Its number.
        connection: u32,
    },
    /// Cancel an attempt on the engine, whatever its state.
    Cancel {
        /// The engine.
        target: key::Target,
        /// Id of the attempt.
        request: Box<str>,
    },
    /// Send a token to the caller.
    Token {
        /// Its index.
        index: u32,
        /// Its text.
        text: Box<str>,
    },
    /// Send the final event to the caller.
    Finish {
        /// Number of tokens.
        index: u32,
        /// Why the generation ended.
        finish: Finish,
    },
    /// Send the complete response to the caller.
    Body {
        /// Text of all tokens.
        text: Box<str>,
        /// Number of tokens.
        tokens: u32,
        /// Why the generation ended.
        finish: Finish,
    },
    /// End the response with an error.
    Refuse(Refusal),
    /// Close the caller's connection, since the stream was resumed over another one.
    Close,
}
