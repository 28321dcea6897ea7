//! UDP links of the fault proxy.

use {
    super::link::Link,
    smol::{Timer, net::UdpSocket},
    std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc},
};

/// Size of the receive buffer, enough for any UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Opens a socket for a link and returns its address.
pub(super) async fn open(
    link: Arc<Link>,
    listen: SocketAddr,
    upstream: SocketAddr,
) -> io::Result<Box<str>> {
    let socket = UdpSocket::bind(listen).await?;
    let address = socket.local_addr()?.to_string().into();
    smol::spawn(forward(link, socket, upstream)).detach();
    Ok(address)
}

/// Forwards datagrams to the upstream, through a separate socket for each client.
async fn forward(link: Arc<Link>, socket: UdpSocket, upstream: SocketAddr) -> io::Result<()> {
    let mut upstream_sockets = BTreeMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, client) = socket.recv_from(&mut buffer).await?;
        let datagram = buffer[..length].to_vec();
        let source = link.datagram_source(&datagram);
        let upstream_socket = if let Some(upstream_socket) = upstream_sockets.get(&client) {
            UdpSocket::clone(upstream_socket)
        } else {
            let upstream_socket = bind_upstream_socket(upstream).await?;
            upstream_sockets.insert(client, upstream_socket.clone());
            smol::spawn(forward_replies(
                Arc::clone(&link),
                upstream_socket.clone(),
                socket.clone(),
                client,
            ))
            .detach();
            upstream_socket
        };
        relay(
            &link,
            source.as_deref(),
            upstream_socket,
            upstream,
            datagram,
        );
    }
}

/// Forwards the replies of the upstream to one client.
async fn forward_replies(
    link: Arc<Link>,
    upstream_socket: UdpSocket,
    socket: UdpSocket,
    client: SocketAddr,
) -> io::Result<()> {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, _upstream) = upstream_socket.recv_from(&mut buffer).await?;
        relay(
            &link,
            None,
            socket.clone(),
            client,
            buffer[..length].to_vec(),
        );
    }
}

/// Binds a socket to a free port on the upstream's IP address.
async fn bind_upstream_socket(upstream: SocketAddr) -> io::Result<UdpSocket> {
    let mut address = upstream;
    address.set_port(0);
    UdpSocket::bind(address).await
}

/// Sends a datagram unless the link drops it; a blocked or refused link drops every datagram.
fn relay(link: &Link, source: Option<&str>, socket: UdpSocket, to: SocketAddr, datagram: Vec<u8>) {
    let rule = link.rule(source);
    if rule.blocked || rule.refused || link.drops_datagram(&rule) {
        return;
    }
    smol::spawn(async move {
        if !rule.delay.is_zero() {
            Timer::after(rule.delay).await;
        }
        // A datagram that can't be sent counts as dropped.
        drop(socket.send_to(&datagram, to).await);
    })
    .detach();
}
