//! Decisions about proxied requests: which route and customer a request belongs to, which target
//! serves it, how long it may be queued, and whether it may be retried.
//!
//! A *run* is the execution of a request on a target. A generation is a request whose target is an
//! engine. Nothing here does I/O or reads a clock; `gateway` connects these parts to both.

pub mod budget;
pub mod catch_up;
pub mod cold;
pub mod configuration;
pub mod cordon;
pub mod drain;
pub mod duration;
pub mod evacuation;
pub mod feature;
pub mod frame;
pub mod length;
pub mod limit;
pub mod listing;
pub mod load;
pub mod origin;
pub mod pace;
pub mod peers;
pub mod placement;
pub mod probation;
pub mod quarantine;
pub mod reach;
pub mod replication;
pub mod report;
pub mod request;
pub mod returning;
pub mod revision;
pub mod selection;
pub mod waiting;
pub mod watch;

pub use {
    budget::Budget, catch_up::CatchUp, cold::Cold, configuration::Configuration, cordon::Cordon,
    drain::Drain, duration::Durations, frame::Splitter, length::Lengths, limit::Limits,
    listing::Listing, load::Load, origin::Origins, pace::Paces, peers::Peers, placement::Placement,
    probation::Probation, quarantine::Quarantine, reach::Reach, replication::Replication,
    request::Generation, returning::Places, revision::Position, selection::Selection,
    waiting::Queues, watch::Watches,
};
