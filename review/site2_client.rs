//! Clients of the site: one channel for each attempt.

use {
    crate::{
        link::{header, parse_headers, read_head},
        record::Record,
        scenario::{HOST, KEY},
    },
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

/// What a client sends.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub deadline_ms: u64,
    /// Prompt tokens and maximum number of output tokens of a generation.
    pub usage: Option<(u32, u32)>,
    /// Event after which a stream is resumed.
    pub last_event: Option<usize>,
}

/// What a client got.
#[derive(Debug, Default)]
pub struct Answer {
    /// 0 if the channel ended before.
    pub status: u16,
    pub signature: Option<String>,
    pub body: String,
    /// Whether the answer looks complete.
    pub is_complete: bool,
    /// Longest time without a part of the body, before the first one included.
    pub longest_gap: Duration,
}

/// Sends a request and reads the answer; gives up after `patience` without any byte.
pub fn call(gateway: SocketAddr, call: &Call<'_>, patience: Duration, record: &Record) -> Answer {
    let usage = call.usage.map_or(String::new(), |(prompt, output)| {
        let own = format!("{:016x}", call.attempt.bytes().fold(7_u64, |hash, byte| hash.wrapping_mul(31) + u64::from(byte)));
        format!("X-Model: m\r\nX-Token-Usage: {prompt},{output}\r\nX-Prefix-Hash: 5c1e07a2:79,{own}:{}\r\n", prompt - 79)
    });
    let resumed = call
        .last_event
        .map_or(String::new(), |event| format!("Last-Event-Id: {event}\r\n"));
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\n{usage}{resumed}X-Deadline-Ms: {}\r\nAuthorization: Token {KEY}\r\nContent-Length: 0\r\n\r\n",
        call.method, call.path, call.attempt, call.deadline_ms
    );
    record.line(&format!(
        "client: {} {} {} is sent",
        call.attempt, call.method, call.path
    ));
    let mut answer = Answer::default();
    if let Ok(mut stream) = TcpStream::connect(gateway) {
        let _ = (
            stream.set_nodelay(true),
            stream.set_read_timeout(Some(patience)),
        );
        if stream.write_all(request.as_bytes()).is_ok() {
            read_answer(&mut stream, record, &mut answer);
        }
    }
    record.line(&format!(
        "client: {} is answered {}, complete: {}, {} events, signature: {}",
        call.attempt,
        answer.status,
        answer.is_complete,
        count_events(&answer.body),
        answer.signature.as_deref().unwrap_or("none")
    ));
    answer
}

pub fn count_events(body: &str) -> usize {
    body.matches("id: ").count()
}

fn read_answer(stream: &mut TcpStream, record: &Record, answer: &mut Answer) {
    let mut last = record.now();
    let Some(lines) = read_head(stream) else {
        return;
    };
    let status = lines[0]
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok());
    answer.status = status.unwrap_or(0);
    let headers = parse_headers(&lines[1..]);
    answer.signature = header(&headers, "x-server-signature").map(str::to_owned);
    let is_chunked = header(&headers, "transfer-encoding").is_some();
    if !is_chunked {
        let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        answer.is_complete = stream.read_exact(&mut body).is_ok();
        answer.body = String::from_utf8_lossy(&body).into_owned();
        return;
    }
    loop {
        let Some(size) =
            read_line(stream).and_then(|line| usize::from_str_radix(line.trim(), 16).ok())
        else {
            return;
        };
        let mut chunk = vec![0; size + 2];
        if stream.read_exact(&mut chunk).is_err() {
            return;
        }
        answer.longest_gap = answer.longest_gap.max(record.now() - last);
        last = record.now();
        if size == 0 {
            answer.is_complete = true;
            return;
        }
        answer
            .body
            .push_str(&String::from_utf8_lossy(&chunk[..size]));
    }
}

fn read_line(stream: &mut TcpStream) -> Option<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    while byte[0] != b'\n' {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        line.push(byte[0]);
    }
    String::from_utf8(line).ok()
}
