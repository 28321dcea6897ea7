//! The platform's store: the configuration of the operator and the entries of the runners.

use {
    crate::link::{self, Request},
    std::{
        collections::HashMap,
        io::Write,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Revision from which the store counts.
const FIRST_REVISION: u64 = 100;

#[derive(Default)]
struct State {
    revision: u64,
    /// Each change: revision, key and value; `None` if the key was removed.
    changes: Vec<(u64, String, Option<String>)>,
}

/// A running store; clones are the same store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let state = State {
            revision: FIRST_REVISION,
            changes: Vec::new(),
        };
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a value; returns when the write is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.into()));
    }

    /// Removes a key; returns when that is acknowledged.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.changes.push((revision, key.into(), value));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = link::read_request(&mut stream) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let prefix = query.get("PathPrefix").copied().unwrap_or_default();
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        match path {
            "/v1/kv-key" => {
                let key = query.get("Key").copied().unwrap_or_default();
                match present(&state, key)
                    .into_iter()
                    .find(|(_, found, _)| found == key)
                {
                    Some((revision, key, value)) => {
                        ("200 OK", item(&key, &value, revision, Some(state.revision)))
                    }
                    None => ("404 Not Found", "{}".into()),
                }
            }
            "/v1/kv-range" => {
                let items = present(&state, prefix);
                let items: Vec<_> = items
                    .iter()
                    .map(|(revision, key, value)| item(key, value, *revision, None))
                    .collect();
                let body = format!(
                    r#"{{"Items":[{}],"HasMore":false,"At":{}}}"#,
                    items.join(","),
                    state.revision
                );
                ("200 OK", body)
            }
            "/v1/kv-watch" => {
                let after: u64 = query
                    .get("After")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or_default();
                let wait: u64 = query
                    .get("WaitMs")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or_default();
                let end = Instant::now() + Duration::from_millis(wait.min(30_000));
                loop {
                    let events: Vec<_> = state
                        .changes
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                        .map(|(revision, key, value)| match value {
                            Some(value) => item(key, value, *revision, None),
                            None => {
                                format!(r#"{{"Key":"{key}","Revision":{revision},"Deleted":true}}"#)
                            }
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            r#"{{"events":[{}],"At":{}}}"#,
                            events.join(","),
                            state.revision
                        );
                        return ("200 OK", body);
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }
}

/// Returns the present items with a prefix: revision, key and value.
fn present(state: &State, prefix: &str) -> Vec<(u64, String, String)> {
    let mut newest: HashMap<&str, (u64, Option<&String>)> = HashMap::new();
    for (revision, key, value) in &state.changes {
        if key.starts_with(prefix) {
            newest.insert(key, (*revision, value.as_ref()));
        }
    }
    let items = newest.into_iter();
    let mut items: Vec<_> = items
        .filter_map(|(key, (revision, value))| Some((revision, key.to_owned(), value?.clone())))
        .collect();
    items.sort_by(|a, b| a.1.cmp(&b.1));
    items
}

fn item(key: &str, value: &str, revision: u64, at: Option<u64>) -> String {
    let at = at.map_or(String::new(), |at| format!(r#","At":{at}"#));
    let value = base64(value.as_bytes());
    format!(
        r#"{{"Key":"{key}","Value":"{value}","Revision":{revision},"Created":{revision},"Lease":0{at}}}"#
    )
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() {
                char::from(letter)
            } else {
                '='
            });
        }
    }
    text
}
