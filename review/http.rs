//! A small HTTP/1.1 server and client, one thread for each connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request or a response with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, split at spaces.
    pub start: Vec<String>,
    /// Header fields with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header field; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map_or("", |(_, value)| value)
    }

    /// Returns the path of a request without its query.
    pub fn path(&self) -> &str {
        let target = self.start.get(1).map_or("", String::as_str);
        target.split('?').next().unwrap_or(target)
    }

    /// Returns a parameter of a request's query; empty if there is none.
    pub fn query(&self, name: &str) -> &str {
        let target = self.start.get(1).map_or("", String::as_str);
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map_or("", |(_, value)| value)
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.start.get(1).and_then(|status| status.parse().ok());
        status.unwrap_or_default()
    }
}

/// What a handler does with a request.
pub enum Reply {
    /// Answers with a status, header fields and a body.
    Answer(u16, Vec<(String, String)>, Vec<u8>),
    /// Closes the connection without an answer.
    Close,
}

/// Handles one request.
pub type Handler = Arc<dyn Fn(&Message) -> Reply + Send + Sync>;

/// Serves requests at an address until the process ends.
pub fn serve(address: SocketAddr, handler: Handler) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &handler);
            });
        }
    });
    Ok(())
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_message(&mut reader, false)? {
        let Reply::Answer(status, headers, body) = handler(&request) else {
            return Ok(());
        };
        let mut head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        stream.write_all(&[head.as_bytes(), &body].concat())?;
    }
    Ok(())
}

/// Reads a message; `None` at the end of the connection.
fn read_message(
    reader: &mut impl BufRead,
    ends_with_connection: bool,
) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().split(' ').map(str::to_owned).collect();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            let field = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(field);
        }
    }
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_error| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if ends_with_connection {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Sends a request on a new connection and reads the whole answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let answer = read_message(&mut BufReader::new(stream), true)?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Sends a request whose body takes a time, at an even pace, and reads the whole answer.
pub fn upload(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    duration: Duration,
    timeout: Duration,
) -> io::Result<Message> {
    const PARTS: u32 = 100;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("POST {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    let started = Instant::now();
    for (index, part) in (1..).zip(body.chunks(body.len().div_ceil(PARTS as usize))) {
        stream.write_all(part)?;
        thread::sleep((duration * index / PARTS).saturating_sub(started.elapsed()));
    }
    let answer = read_message(&mut BufReader::new(stream), true)?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
