//! Decisions about requests that are forwarded as they are: which route and customer a request
//! belongs to, which target serves it, and whether it may be sent again.
//!
//! Nothing here opens a socket or reads a clock; `gateway` joins these parts to both.

pub mod budget;
pub mod configuration;
pub mod frame;
pub mod length;
pub mod listing;
pub mod load;
pub mod peers;
pub mod placement;
pub mod report;
pub mod request;
pub mod waiting;

pub use {
    budget::Budget, configuration::Configuration, frame::Splitter, length::Lengths,
    listing::Listing, load::Load, peers::Peers, placement::Placement, request::Generation,
    waiting::Queues,
};
