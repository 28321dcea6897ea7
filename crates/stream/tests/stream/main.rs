//! The stream's state machine under faults.

mod order;
mod session;
mod support;
