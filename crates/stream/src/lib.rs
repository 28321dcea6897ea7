//! One generation to one caller: each token once, in order, from a single generation.

pub mod cursor;
pub mod event;
pub mod pace;
pub mod session;
pub mod settings;
pub mod token;

pub use {
    cursor::Cursor,
    event::{Action, Chunk, Event, Failure, Finish, Mode, Start},
    pace::Pace,
    session::Session,
    settings::Settings,
    token::ResumeToken,
};
