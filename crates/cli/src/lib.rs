//! Library of the `mastictrail` command; [`cli`] lists the subcommands, each a module.

pub mod cli;
pub mod client;
pub mod embedded;
pub mod load;

mod check;
mod completions;
mod demo;
mod diff;
mod explain;
mod gateway;
mod input;
mod output;
mod render;
mod serve;
mod status;
