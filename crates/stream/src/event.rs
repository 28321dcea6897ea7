//! What a stream is told, and what it asks for.

use {
    base::{Refusal, key},
    derive_more::Display,
};

/// How the caller wants the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Each token as an event.
    Streaming,
    /// The whole answer in one body.
    Buffered,
}

/// Why a generation ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended it.
    Stop,
    /// It reached the permitted length.
    Length,
}

impl Finish {
    /// Reads the `finish_reason` of an engine's event.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "stop" => Some(Self::Stop),
            "length" => Some(Self::Length),
            _ => None,
        }
    }
}

/// One event of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// The generation that it says it belongs to.
    pub generation: Box<str>,
    /// The request that it says it answers.
    pub request: Box<str>,
    /// Index of the token; of the last event, the number of tokens.
    pub index: u32,
    /// Text of the token; empty in the last event.
    pub text: Box<str>,
    /// Set in the last event.
    pub finish: Option<Finish>,
}

/// How a connection to an engine was lost.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Failure {
    /// It was never established; no byte of the request was written.
    Unreachable,
    /// The engine refused before it started.
    Refused,
    /// The engine refused because it is leaving.
    Leaving,
    /// The engine does not know the generation to resume.
    Unknown,
    /// The engine rejected the request as such; it would do so again.
    Rejected,
    /// It was closed or broken before the last event.
    #[display("cut")]
    Disconnected,
    /// It went silent.
    Silent,
    /// An event of another request or generation came on it, or one that can't be read.
    #[display("crossed")]
    Mismatched,
    /// An event was missing.
    Gap,
}

impl Failure {
    /// Returns whether the engine can't have started the request.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Unreachable | Self::Refused | Self::Leaving)
    }
}

/// How a connection to an engine begins.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Start {
    /// A new generation.
    New,
    /// The events of a generation, from an index.
    Resume {
        /// The generation.
        generation: Box<str>,
        /// Index of the first event wanted.
        index: u32,
    },
}

/// What the world tells a stream.
#[derive(Clone, Debug)]
pub enum Event {
    /// The stream begins.
    Started,
    /// The router chose a target.
    Routed(key::Target),
    /// The router refused the request.
    Refused(Refusal),
    /// An engine's event arrived.
    Chunk {
        /// The connection that it arrived on.
        connection: u32,
        /// The event.
        chunk: Chunk,
    },
    /// An engine's heartbeat arrived.
    Heartbeat {
        /// The connection that it arrived on.
        connection: u32,
    },
    /// A connection was lost.
    Failed {
        /// The connection.
        connection: u32,
        /// How.
        failure: Failure,
    },
    /// The caller closed its connection.
    CallerDisconnected,
    /// The caller went on with the stream over another connection, here or on another VM.
    Adopted,
    /// Time has passed.
    Tick,
}

/// What a stream asks of the world.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Choose a target; an earlier one was lost if `failure` is set.
    Route {
        /// Targets that already failed the request.
        excluded: Vec<key::Target>,
        /// How the last one was lost.
        failure: Option<Failure>,
    },
    /// Open a new connection.
    Connect {
        /// Its number, for the events that come on it.
        connection: u32,
        /// The engine.
        target: key::Target,
        /// The id of this attempt, as the engine's events must bear it.
        request: Box<str>,
        /// Whether to begin or to resume.
        start: Start,
    },
    /// Drop a connection.
    Disconnect {
        /// Its number.
        connection: u32,
    },
    /// Cancel an attempt, whatever became of it.
    Cancel {
        /// The engine.
        target: key::Target,
        /// The id of the attempt.
        request: Box<str>,
    },
    /// Send a token to the caller.
    Token {
        /// Its index.
        index: u32,
        /// Its text.
        text: Box<str>,
    },
    /// Send the last event to the caller.
    Finish {
        /// The number of tokens.
        index: u32,
        /// Why the generation ended.
        finish: Finish,
    },
    /// Send the whole answer to the caller.
    Body {
        /// The text of all tokens.
        text: Box<str>,
        /// The number of tokens.
        tokens: u32,
        /// Why the generation ended.
        finish: Finish,
    },
    /// End the answer with an explicit error.
    Refuse(Refusal),
    /// Close the caller's connection: another one went on with the stream.
    Close,
}
