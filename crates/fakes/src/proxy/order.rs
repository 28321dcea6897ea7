//! The lines of the control socket.

use std::{net::SocketAddr, time::Duration};

/// One order.
#[derive(Clone, Debug)]
pub(super) enum Order {
    Tcp(Box<str>, SocketAddr, SocketAddr),
    Udp(Box<str>, SocketAddr, SocketAddr),
    Group(Box<str>, Vec<Box<str>>),
    Open(Box<str>),
    /// Changes a link or group, for one source or for all.
    Change(Box<str>, Change, Option<Box<str>>),
}

/// A change of how a link behaves.
#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    Cut,
    Silence,
    Refuse,
    Block,
    Delay(Duration),
    /// Bytes a second.
    Throttle(u64),
    /// Share of datagrams that are lost, in percent.
    Drop(u64),
    Heal,
}

impl Order {
    /// Reads a line.
    pub(super) fn parse(line: &str) -> Result<Self, Box<str>> {
        let words: Vec<_> = line.split_whitespace().collect();
        let (words, source) = match &*words {
            [rest @ .., "from", source] => (rest, Some(Box::from(*source))),
            rest => (rest, None),
        };
        let order = match words {
            ["tcp", name, listen, upstream] => {
                Self::Tcp((*name).into(), address(listen)?, address(upstream)?)
            }
            ["udp", name, listen, upstream] => {
                Self::Udp((*name).into(), address(listen)?, address(upstream)?)
            }
            ["group", name, links @ ..] => {
                let links = links.iter().map(|link| Box::from(*link));
                Self::Group((*name).into(), links.collect())
            }
            ["open", name] => Self::Open((*name).into()),
            [verb, name, amount @ ..] => {
                Self::Change((*name).into(), change(verb, amount)?, source)
            }
            _ => return Err(format!("unknown order: {line}").into()),
        };
        Ok(order)
    }
}

fn change(verb: &str, amount: &[&str]) -> Result<Change, Box<str>> {
    let change = match (verb, amount) {
        ("cut", []) => Change::Cut,
        ("silence", []) => Change::Silence,
        ("refuse", []) => Change::Refuse,
        ("block", []) => Change::Block,
        ("delay", [ms]) => Change::Delay(Duration::from_millis(number(ms)?)),
        ("throttle", [rate]) => Change::Throttle(number(rate)?),
        ("drop", [percent]) => Change::Drop(number(percent)?),
        ("heal", []) => Change::Heal,
        _ => return Err(format!("unknown order: {verb} {}", amount.join(" ")).into()),
    };
    Ok(change)
}

fn address(word: &str) -> Result<SocketAddr, Box<str>> {
    let address = word.parse();
    address.map_err(|_error| format!("not an address: {word}").into())
}

fn number(word: &str) -> Result<u64, Box<str>> {
    let number = word.parse();
    number.map_err(|_error| format!("not a number: {word}").into())
}
