//! A faulty network: TCP and UDP links that are cut, silenced, slowed and blocked by order.
//!
//! Orders are lines on a TCP control socket, each answered by `ok …` or `error …`:
//!
//! | order | effect |
//! | --- | --- |
//! | `tcp NAME LISTEN UPSTREAM`, `udp NAME LISTEN UPSTREAM` | opens a link and answers its address; a name may have one of each |
//! | `group NAME LINK…` | names several links at once |
//! | `cut NAME` | closes the open connections; new ones work |
//! | `silence NAME` | open connections carry nothing for good; new ones work |
//! | `refuse NAME` | closes the open connections and each new one |
//! | `block NAME` | nothing passes until healed |
//! | `delay NAME MS`, `throttle NAME BYTES_PER_S`, `drop NAME PERCENT` | slows the link; loses datagrams |
//! | `heal NAME` | ends all of these |
//! | `open NAME` | answers the number of open connections |
//!
//! An order may end with `from VM`; it then holds for what that entry VM sends to the link, as its
//! greeting or datagram names it.

mod link;
mod order;
mod source;
mod tcp;
mod udp;

use {
    self::{link::Link, order::Order},
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

/// How the proxy is set up.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Seed of the datagrams that are dropped.
    pub seed: u64,
    /// Orders that are carried out at the start.
    pub orders: Vec<Box<str>>,
}

/// Links and groups by name.
#[derive(Debug, Default)]
struct Proxy {
    seed: u64,
    links: Mutex<BTreeMap<Box<str>, Arc<Link>>>,
    groups: Mutex<BTreeMap<Box<str>, Vec<Box<str>>>>,
}

/// Serves the control socket until it fails.
///
/// # Errors
/// Returns the error of the listener or of an order in the settings.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let proxy = Arc::new(Proxy {
        seed: settings.seed,
        ..Proxy::default()
    });
    for order in &settings.orders {
        let done = proxy.carry_out(order).await;
        done.map_err(|message| io::Error::other(message.to_string()))?;
    }
    loop {
        let (stream, _peer) = listener.accept().await?;
        let proxy = Arc::clone(&proxy);
        smol::spawn(async move { proxy.control(stream).await }).detach();
    }
}

impl Proxy {
    async fn control(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.clone();
        let mut lines = BufReader::new(stream).lines();
        while let Some(line) = lines.next().await {
            let answer = match self.carry_out(&line?).await {
                Ok(answer) => format!("ok {answer}\n"),
                Err(message) => format!("error {message}\n"),
            };
            writer.write_all(answer.as_bytes()).await?;
        }
        Ok(())
    }

    /// Carries out one line.
    async fn carry_out(&self, line: &str) -> Result<Box<str>, Box<str>> {
        match Order::parse(line)? {
            Order::Tcp(name, listen, upstream) => {
                let opened = tcp::open(self.link(&name), listen, upstream);
                opened.await.map_err(|error| text(&error))
            }
            Order::Udp(name, listen, upstream) => {
                let opened = udp::open(self.link(&name), listen, upstream);
                opened.await.map_err(|error| text(&error))
            }
            Order::Group(name, links) => {
                lock(&self.groups).insert(name, links);
                Ok(Box::default())
            }
            Order::Open(name) => {
                let open: usize = self.find(&name)?.iter().map(|link| link.open()).sum();
                Ok(open.to_string().into())
            }
            Order::Change(name, change, source) => {
                for link in self.find(&name)? {
                    link.change(&change, source.as_deref());
                }
                Ok(Box::default())
            }
        }
    }

    /// Returns the link of a name, a new one if there is none.
    fn link(&self, name: &str) -> Arc<Link> {
        let mut links = lock(&self.links);
        let link = links.entry(name.into());
        Arc::clone(link.or_insert_with(|| Arc::new(Link::new(self.seed))))
    }

    /// Returns the links of a name or a group; `*` stands for all.
    fn find(&self, name: &str) -> Result<Vec<Arc<Link>>, Box<str>> {
        let links = lock(&self.links);
        if name == "*" {
            return Ok(links.values().cloned().collect());
        }
        if let Some(link) = links.get(name) {
            return Ok(vec![Arc::clone(link)]);
        }
        let groups = lock(&self.groups);
        let Some(group) = groups.get(name) else {
            return Err(format!("there is no link or group {name}").into());
        };
        Ok(group
            .iter()
            .filter_map(|name| links.get(name).cloned())
            .collect())
    }
}

fn text(error: &io::Error) -> Box<str> {
    error.to_string().into()
}
