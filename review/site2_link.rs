//! Requests and responses of HTTP/1.1, free addresses, and a proxy whose open channels can fall silent.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

/// A request that was read to the end of its body.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers
        .iter()
        .filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| &**value)
}

/// Reads a head, byte by byte, so that nothing after it is consumed.
pub fn read_head(stream: &mut TcpStream) -> Option<Vec<String>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head);
    Some(text.trim_end().split("\r\n").map(str::to_owned).collect())
}

pub fn parse_headers(lines: &[String]) -> Vec<(String, String)> {
    let lines = lines.iter().filter_map(|line| line.split_once(':'));
    lines
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

/// Reads a request; `None` at the end of the channel.
pub fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let lines = read_head(stream)?;
    let mut words = lines[0].split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = parse_headers(&lines[1..]);
    let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Request {
        method,
        target,
        headers,
        body,
    })
}

/// Listens at a free port of a loopback address that no other run is likely to use.
pub fn listen_anywhere() -> TcpListener {
    TcpListener::bind((next_ip(), 0)).expect("a port is free")
}

/// Returns a loopback address of this run that was not returned before.
pub fn next_ip() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let id = process::id();
    Ipv4Addr::new(127, 64 + (id >> 8) as u8 % 128, id as u8, count as u8)
}

/// One open channel through a [`Proxy`].
struct Channel {
    /// What the caller sent first: the head of its request.
    head: Arc<Mutex<Vec<u8>>>,
    is_silent: Arc<AtomicBool>,
}

/// Forwards channels to a runner; single ones can fall silent without a reset while new ones work.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    channels: Arc<Mutex<Vec<Channel>>>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Self {
        let listener = listen_anywhere();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            channels: Arc::default(),
        };
        let serving = proxy.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                serving.forward(caller, to);
            }
        });
        proxy
    }

    /// Lets the open channel of an attempt fall silent for good; returns whether there is one.
    pub fn silence(&self, attempt: &str) -> bool {
        let channels = self.channels.lock().unwrap();
        let mut carrying = channels.iter().filter(|channel| {
            let head = channel.head.lock().unwrap();
            String::from_utf8_lossy(&head).contains(attempt)
        });
        carrying
            .next()
            .map(|channel| channel.is_silent.store(true, Ordering::SeqCst))
            .is_some()
    }

    fn forward(&self, caller: TcpStream, to: SocketAddr) {
        let Ok(runner) = TcpStream::connect(to) else {
            return;
        };
        let _ = (caller.set_nodelay(true), runner.set_nodelay(true));
        let channel = Channel {
            head: Arc::default(),
            is_silent: Arc::default(),
        };
        let (head, is_silent) = (Arc::clone(&channel.head), Arc::clone(&channel.is_silent));
        self.channels.lock().unwrap().push(channel);
        let (from_caller, to_runner) = (caller.try_clone().unwrap(), runner.try_clone().unwrap());
        let silent = Arc::clone(&is_silent);
        thread::spawn(move || pass(from_caller, to_runner, &silent, Some(&head)));
        thread::spawn(move || pass(runner, caller, &is_silent, None));
    }
}

/// Passes bytes on until the channel ends; a silent channel loses them, and its end as well.
fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    is_silent: &AtomicBool,
    head: Option<&Mutex<Vec<u8>>>,
) {
    let mut buffer = [0; 4096];
    loop {
        let read = from.read(&mut buffer);
        if is_silent.load(Ordering::SeqCst) {
            if !matches!(read, Ok(1..)) {
                // Neither side learns that the other one has closed it.
                thread::sleep(Duration::from_secs(3600));
            }
            continue;
        }
        match read {
            Ok(length @ 1..) => {
                if let Some(head) = head {
                    let mut head = head.lock().unwrap();
                    if head.len() < 4096 {
                        head.extend_from_slice(&buffer[..length]);
                    }
                }
                if to.write_all(&buffer[..length]).is_err() {
                    let _ = from.shutdown(std::net::Shutdown::Both);
                    return;
                }
            }
            _ => {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}
