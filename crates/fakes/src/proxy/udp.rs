//! UDP links.

use {
    super::link::Link,
    smol::{Timer, net::UdpSocket},
    std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc},
};

/// Largest datagram in bytes.
const DATAGRAM: usize = 65_536;

/// Opens a link and returns its address.
pub(super) async fn open(
    link: Arc<Link>,
    listen: SocketAddr,
    upstream: SocketAddr,
) -> io::Result<Box<str>> {
    let socket = UdpSocket::bind(listen).await?;
    let address = socket.local_addr()?.to_string().into();
    smol::spawn(there(link, socket, upstream)).detach();
    Ok(address)
}

/// Carries datagrams to the upstream, from a socket of its own for each sender.
async fn there(link: Arc<Link>, socket: UdpSocket, upstream: SocketAddr) -> io::Result<()> {
    let mut sockets = BTreeMap::new();
    let mut buffer = vec![0; DATAGRAM];
    loop {
        let (length, sender) = socket.recv_from(&mut buffer).await?;
        let datagram = buffer[..length].to_vec();
        let source = link.source_of_datagram(&datagram);
        let own = if let Some(own) = sockets.get(&sender) {
            UdpSocket::clone(own)
        } else {
            let own = bind(upstream).await?;
            sockets.insert(sender, own.clone());
            smol::spawn(back(Arc::clone(&link), own.clone(), socket.clone(), sender)).detach();
            own
        };
        pass(&link, source.as_deref(), own, upstream, datagram);
    }
}

/// Carries the answers of the upstream back to one sender.
async fn back(
    link: Arc<Link>,
    own: UdpSocket,
    socket: UdpSocket,
    sender: SocketAddr,
) -> io::Result<()> {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        let (length, _upstream) = own.recv_from(&mut buffer).await?;
        pass(
            &link,
            None,
            socket.clone(),
            sender,
            buffer[..length].to_vec(),
        );
    }
}

async fn bind(upstream: SocketAddr) -> io::Result<UdpSocket> {
    let mut address = upstream;
    address.set_port(0);
    UdpSocket::bind(address).await
}

/// Sends a datagram on, unless the link loses it; it is lost for good while the link is blocked.
fn pass(link: &Link, source: Option<&str>, socket: UdpSocket, to: SocketAddr, datagram: Vec<u8>) {
    let rule = link.rule(source);
    if rule.blocked || rule.refused || link.loses(&rule) {
        return;
    }
    smol::spawn(async move {
        if !rule.delay.is_zero() {
            Timer::after(rule.delay).await;
        }
        // A datagram that can't be sent is a lost one.
        drop(socket.send_to(&datagram, to).await);
    })
    .detach();
}
