//! `[listen]`: addresses that the process listens on.

use {
    crate::{ini::Reader, settings::Section, value},
    std::net::{Ipv4Addr, SocketAddr},
};

/// Addresses that the process listens on.
#[derive(Clone, Debug)]
pub struct Listen {
    /// HTTP, for callers.
    pub caller: SocketAddr,
    /// Inner protocol between entry VMs, over TCP and UDP.
    pub inner: SocketAddr,
    /// HTTP, for operators: health, metrics and status.
    pub admin: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            caller: address(8080),
            inner: address(8081),
            admin: address(8082),
        }
    }
}

impl Section for Listen {
    fn read(&mut self, reader: &Reader<'_>) {
        reader.update("caller", &mut self.caller, value::address);
        reader.update("inner", &mut self.inner, value::address);
        reader.update("admin", &mut self.admin, value::address);
    }
}
