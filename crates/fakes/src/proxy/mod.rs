//! Fault proxy: TCP and UDP links that can be cut, silenced, slowed and blocked on command.
//!
//! Commands are lines on a TCP control socket, each answered by `ok …` or `error …`:
//!
//! | command | effect |
//! | --- | --- |
//! | `tcp NAME LISTEN UPSTREAM`, `udp NAME LISTEN UPSTREAM` | opens a link and replies with its address; a name may have one of each |
//! | `group NAME LINK…` | defines a group of links |
//! | `cut NAME` | closes the open connections; new ones work |
//! | `silence NAME` | open connections stay open but never carry data again; new ones work |
//! | `refuse NAME` | closes the open connections and each new one |
//! | `close NAME` | open connections go on; closes each new one |
//! | `block NAME` | passes no data until healed |
//! | `delay NAME MS`, `throttle NAME BYTES_PER_S`, `drop NAME PERCENT` | delays or throttles the link; drops datagrams |
//! | `heal NAME` | ends `refuse`, `close`, `block`, `delay`, `throttle` and `drop` |
//! | `open NAME` | replies with the number of open connections |
//!
//! A command may end with `from VM`; it then applies to the connections and datagrams of that entry
//! VM, identified by the name in its greeting or datagram, or by the IP address of its connections.

mod link;
mod order;
mod source;
mod tcp;
mod udp;

use {
    self::{link::Link, order::Command},
    crate::sync::lock,
    smol::{
        io::{AsyncBufReadExt as _, AsyncWriteExt as _, BufReader},
        net::{TcpListener, TcpStream},
        stream::StreamExt as _,
    },
    std::{
        collections::BTreeMap,
        io,
        sync::{Arc, Mutex},
    },
};

/// Configuration of a fault proxy.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Seed of the random choice of dropped datagrams.
    pub seed: u64,
    /// Commands to run at startup.
    pub commands: Vec<Box<str>>,
}

/// Links and groups by name.
#[derive(Debug, Default)]
struct Proxy {
    seed: u64,
    links: Mutex<BTreeMap<Box<str>, Arc<Link>>>,
    groups: Mutex<BTreeMap<Box<str>, Vec<Box<str>>>>,
}

/// Serves the control socket until the listener fails.
///
/// # Errors
/// Returns an error if a command in the settings fails, or if accepting a connection fails.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let proxy = Arc::new(Proxy {
        seed: settings.seed,
        ..Proxy::default()
    });
    for command in &settings.commands {
        let executed = proxy.execute(command).await;
        executed.map_err(|message| io::Error::other(message.to_string()))?;
    }
    loop {
        let (stream, _peer) = listener.accept().await?;
        let proxy = Arc::clone(&proxy);
        smol::spawn(async move { proxy.control(stream).await }).detach();
    }
}

impl Proxy {
    /// Runs the commands of one control connection.
    async fn control(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.clone();
        let mut lines = BufReader::new(stream).lines();
        while let Some(line) = lines.next().await {
            let reply = match self.execute(&line?).await {
                Ok(reply) => format!("ok {reply}\n"),
                Err(message) => format!("error {message}\n"),
            };
            writer.write_all(reply.as_bytes()).await?;
        }
        Ok(())
    }

    /// Runs one command line and returns the text of its reply.
    async fn execute(&self, line: &str) -> Result<Box<str>, Box<str>> {
        match Command::parse(line)? {
            Command::Tcp(name, listen, upstream) => {
                let opening = tcp::open(self.link(&name), listen, upstream);
                opening.await.map_err(|error| error_text(&error))
            }
            Command::Udp(name, listen, upstream) => {
                let opening = udp::open(self.link(&name), listen, upstream);
                opening.await.map_err(|error| error_text(&error))
            }
            Command::Group(name, links) => {
                lock(&self.groups).insert(name, links);
                Ok(Box::default())
            }
            Command::Open(name) => {
                let open_connections: usize = self
                    .links_of(&name)?
                    .iter()
                    .map(|link| link.open_connections())
                    .sum();
                Ok(open_connections.to_string().into())
            }
            Command::Change(name, change, source) => {
                for link in self.links_of(&name)? {
                    link.change(&change, source.as_deref());
                }
                Ok(Box::default())
            }
        }
    }

    /// Returns the link with a name, created if there is none.
    fn link(&self, name: &str) -> Arc<Link> {
        let mut links = lock(&self.links);
        let link = links.entry(name.into());
        Arc::clone(link.or_insert_with(|| Arc::new(Link::new(self.seed))))
    }

    /// Returns the link or the links of the group with a name; `*` selects all links.
    fn links_of(&self, name: &str) -> Result<Vec<Arc<Link>>, Box<str>> {
        let links = lock(&self.links);
        if name == "*" {
            return Ok(links.values().cloned().collect());
        }
        if let Some(link) = links.get(name) {
            return Ok(vec![Arc::clone(link)]);
        }
        let groups = lock(&self.groups);
        let Some(members) = groups.get(name) else {
            return Err(format!("there is no link or group {name}").into());
        };
        Ok(members
            .iter()
            .filter_map(|name| links.get(name).cloned())
            .collect())
    }
}

fn error_text(error: &io::Error) -> Box<str> {
    error.to_string().into()
}
