//! Client side: connections, requests and responses.

pub mod activity;
pub mod answer;
pub mod buffer;
pub mod evacuation;
pub mod exchange;
pub mod generation;
pub mod handover;
pub mod listener;
pub mod plain;
pub mod relay;
pub mod resumption;
