//! `[vm]`: which VM the process runs on.

use {
    crate::{ini::Reader, settings::Section, value},
    std::net::SocketAddr,
};

/// Which VM this is.
#[derive(Clone, Debug, Default)]
pub struct Vm {
    /// Name, as in the deployment.
    pub name: Box<str>,
    /// Data centre, as in the deployment.
    pub data_centre: Box<str>,
    /// Addresses of other entry VMs to begin with, before a list is known.
    pub peers: Vec<SocketAddr>,
}

impl Section for Vm {
    fn read(&mut self, reader: &Reader<'_>) {
        self.name = reader.required("name", value::NAME, value::name);
        self.data_centre = reader.required("data_centre", "a name", value::text);
        reader.update("peers", &mut self.peers, addresses);
    }
}

fn addresses(value: &str) -> Result<Vec<SocketAddr>, &'static str> {
    value
        .split(',')
        .map(|item| value::address(item.trim()))
        .collect()
}
