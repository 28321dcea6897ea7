//! Tests of the session state machine under faults.

mod order;
mod session;
mod support;
