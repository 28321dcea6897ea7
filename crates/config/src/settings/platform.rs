//! `[platform]`: access to the platform.

use {
    crate::{ini::Reader, settings::Section, value},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Access to the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Address of the configuration service and of the list of VMs.
    pub address: SocketAddr,
    /// Maximum wait of a long poll for a new configuration.
    pub watch: Duration,
    /// Interval between requests for the list of VMs.
    pub list_interval: Duration,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8090)),
            watch: Duration::from_secs(10),
            list_interval: Duration::from_secs(1),
        }
    }
}

impl Section for Platform {
    fn read(&mut self, reader: &Reader<'_>) {
        reader.update("address", &mut self.address, value::address);
        reader.update("watch", &mut self.watch, value::duration);
        reader.update("list_interval", &mut self.list_interval, value::duration);
    }
}
