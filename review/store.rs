//! The platform's store: items with revisions to read, list and watch, as PROTOCOL.md describes it.

use crate::{
    http::{self, Handler, Message, Reply},
    record::Record,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Items and history; a copy of it is what the store comes back from in a drill.
#[derive(Clone, Default)]
pub struct Content {
    pub revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// Revision, key, and the value or `None` for a removal.
    history: Vec<(u64, String, Option<String>)>,
}

#[derive(Default)]
struct State {
    content: Content,
    /// Number of times that the store came back from a copy, for the header `Store-Era`.
    era: u64,
    is_away: bool,
    /// When each VM last watched.
    watched: BTreeMap<usize, Instant>,
}

/// A running store; clones are the same one.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    record: Record,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        let store = Self {
            state: Arc::default(),
            changed: Arc::default(),
            record: record.clone(),
        };
        store.lock().era = 1;
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves one VM at an address of its own, so that the record can name the caller.
    pub fn listen(&self, vm: usize, address: SocketAddr) -> io::Result<()> {
        let store = self.clone();
        let handler: Handler = Arc::new(move |request: &Message| store.answer(vm, request));
        http::serve(address, handler)
    }

    /// Writes an item; the return is its acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.content.revision += 1;
        let (revision, encoded) = (state.content.revision, base64(value.as_bytes()));
        let item = (revision, encoded.clone());
        state.content.items.insert(key.to_owned(), item);
        state
            .content
            .history
            .push((revision, key.to_owned(), Some(encoded)));
        drop(state);
        self.changed.notify_all();
        self.record
            .line("store", &format!("revision {revision}: {key} written"));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.content.revision += 1;
        let revision = state.content.revision;
        state.content.items.remove(key);
        state.content.history.push((revision, key.to_owned(), None));
        drop(state);
        self.changed.notify_all();
        self.record
            .line("store", &format!("revision {revision}: {key} removed"));
    }

    /// Returns a copy of the content.
    pub fn copy(&self) -> Content {
        self.lock().content.clone()
    }

    /// Stops answering: calls that wait are cut, and new ones are closed.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.changed.notify_all();
        self.record.line("store", "away");
    }

    /// Answers again, from a copy.
    pub fn return_from(&self, copy: Content) {
        let mut state = self.lock();
        state.is_away = false;
        state.era += 1;
        state.content = copy;
        let (era, revision) = (state.era, state.content.revision);
        drop(state);
        self.changed.notify_all();
        let text = format!("back from a copy at revision {revision}, Store-Era {era}");
        self.record.line("store", &text);
    }

    /// Returns the VMs that have watched the list of runners within a time.
    pub fn watchers(&self, within: Duration) -> Vec<usize> {
        let state = self.lock();
        let recent = state.watched.iter().filter(|(_, at)| at.elapsed() < within);
        recent.map(|(vm, _)| *vm).collect()
    }

    fn answer(&self, vm: usize, request: &Message) -> Reply {
        if self.lock().is_away {
            self.record
                .line("store", &format!("call of vm-{vm} not answered"));
            return Reply::Close;
        }
        let prefix = request.query("PathPrefix").to_owned();
        match request.path() {
            "/v1/kv-key" => self.read(request.query("Key")),
            "/v1/kv-range" => self.list(&prefix, request.query("After")),
            "/v1/kv-watch" => {
                if prefix == "servers/" {
                    self.lock().watched.insert(vm, Instant::now());
                }
                let after = request.query("After").parse().unwrap_or_default();
                let wait_ms = request.query("WaitMs").parse().unwrap_or_default();
                self.watch(vm, &prefix, after, Duration::from_millis(wait_ms))
            }
            _ => self.reply(404, String::new()),
        }
    }

    fn reply(&self, status: u16, body: String) -> Reply {
        let headers = vec![
            ("Content-Type".to_owned(), "application/json".to_owned()),
            ("Store-Era".to_owned(), self.lock().era.to_string()),
        ];
        Reply::Answer(status, headers, body.into_bytes())
    }

    fn read(&self, key: &str) -> Reply {
        let content = self.copy();
        let Some((revision, value)) = content.items.get(key) else {
            return self.reply(404, String::new());
        };
        let at = content.revision;
        let item = item(key, *revision, Some(value));
        self.reply(200, format!("{},\"At\":{at}}}", item.trim_end_matches('}')))
    }

    fn list(&self, prefix: &str, after: &str) -> Reply {
        let content = self.copy();
        let items = content.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<_> = items
            .map(|(key, (revision, value))| item(key, *revision, Some(value)))
            .collect();
        let (items, at) = (items.join(","), content.revision);
        self.reply(
            200,
            format!("{{\"Items\":[{items}],\"HasMore\":false,\"At\":{at}}}"),
        )
    }

    fn watch(&self, vm: usize, prefix: &str, after: u64, wait: Duration) -> Reply {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return Reply::Close;
            }
            if after > state.content.revision {
                let revision = state.content.revision;
                drop(state);
                let text =
                    format!("410 to vm-{vm}: watch of {prefix} after {after}, at {revision}");
                self.record.line("store", &text);
                return self.reply(410, String::new());
            }
            let history = state.content.history.iter();
            let events =
                history.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<_> = events
                .map(|(revision, key, value)| item(key, *revision, value.as_ref()))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.content.revision);
                drop(state);
                return self.reply(200, format!("{{\"events\":[{events}],\"At\":{at}}}"));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn item(key: &str, revision: u64, value: Option<&String>) -> String {
    match value {
        Some(value) => format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{revision},\"Lease\":0}}"
        ),
        None => format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0_u32;
        for index in 0..3 {
            group = group << 8 | u32::from(chunk.get(index).copied().unwrap_or_default());
        }
        for index in 0..4 {
            let digit = (group >> (18 - 6 * index)) & 63;
            let is_padding = index > chunk.len();
            text.push(if is_padding {
                '='
            } else {
                DIGITS[digit as usize] as char
            });
        }
    }
    text
}
