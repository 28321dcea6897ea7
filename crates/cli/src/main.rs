//! The `mastictrail` command.

fn main() {}
