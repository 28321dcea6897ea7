//! Parser of the commands on the control socket.

use std::{net::SocketAddr, time::Duration};

/// A command on the control socket.
#[derive(Clone, Debug)]
pub(super) enum Command {
    Tcp(Box<str>, SocketAddr, SocketAddr),
    Udp(Box<str>, SocketAddr, SocketAddr),
    Group(Box<str>, Vec<Box<str>>),
    Open(Box<str>),
    /// Changes a link or group, for one source or for all of them.
    Change(Box<str>, Change, Option<Box<str>>),
}

/// A change to the rules of a link.
#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    Cut,
    Silence,
    Refuse,
    Close,
    Block,
    Delay(Duration),
    /// Bytes per second.
    Throttle(u64),
    /// Percentage of datagrams to drop.
    Drop(u64),
    Heal,
}

impl Command {
    /// Parses a line.
    pub(super) fn parse(line: &str) -> Result<Self, Box<str>> {
        let words: Vec<_> = line.split_whitespace().collect();
        let (words, source) = match &*words {
            [rest @ .., "from", source] => (rest, Some(Box::from(*source))),
            rest => (rest, None),
        };
        let command = match words {
            ["tcp", name, listen, upstream] => Self::Tcp(
                (*name).into(),
                parse_address(listen)?,
                parse_address(upstream)?,
            ),
            ["udp", name, listen, upstream] => Self::Udp(
                (*name).into(),
                parse_address(listen)?,
                parse_address(upstream)?,
            ),
            ["group", name, links @ ..] => {
                let links = links.iter().map(|link| Box::from(*link));
                Self::Group((*name).into(), links.collect())
            }
            ["open", name] => Self::Open((*name).into()),
            [action, name, arguments @ ..] => {
                Self::Change((*name).into(), parse_change(action, arguments)?, source)
            }
            _ => return Err(format!("unknown order: {line}").into()),
        };
        Ok(command)
    }
}

fn parse_change(action: &str, arguments: &[&str]) -> Result<Change, Box<str>> {
    let change = match (action, arguments) {
        ("cut", []) => Change::Cut,
        ("silence", []) => Change::Silence,
        ("refuse", []) => Change::Refuse,
        ("close", []) => Change::Close,
        ("block", []) => Change::Block,
        ("delay", [ms]) => Change::Delay(Duration::from_millis(parse_number(ms)?)),
        ("throttle", [rate]) => Change::Throttle(parse_number(rate)?),
        ("drop", [percent]) => Change::Drop(parse_number(percent)?),
        ("heal", []) => Change::Heal,
        _ => return Err(format!("unknown order: {action} {}", arguments.join(" ")).into()),
    };
    Ok(change)
}

fn parse_address(word: &str) -> Result<SocketAddr, Box<str>> {
    let address = word.parse();
    address.map_err(|_error| format!("not an address: {word}").into())
}

fn parse_number(word: &str) -> Result<u64, Box<str>> {
    let number = word.parse();
    number.map_err(|_error| format!("not a number: {word}").into())
}
