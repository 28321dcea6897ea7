//! `[vm]`: the VM that the process runs on.

use {
    crate::{ini::Reader, settings::Section, value},
    std::net::SocketAddr,
};

/// The VM that the process runs on.
#[derive(Clone, Debug, Default)]
pub struct Vm {
    /// Name of the VM in the deployment.
    pub name: Box<str>,
    /// Name of its data centre in the deployment.
    pub data_centre: Box<str>,
    /// Addresses of other entry VMs to contact before a list of VMs is known.
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
