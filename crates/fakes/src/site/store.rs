//! The platform's store: items with revisions, read, listed and watched.

use {
    crate::{
        http::{self, Answer, Request},
        sync::{Signal, lock},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    hyper::StatusCode,
    serde_json::{Value, json},
    smol::{Task, net::TcpListener},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// It answers.
    #[default]
    Normal,
    /// It refuses with 503.
    Unavailable,
    /// It never answers.
    Unresponsive,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// Changes in order: revision, key, and the value unless it was removed.
    history: Vec<(u64, String, Option<String>)>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    mode: Mode,
    calls: u64,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    /// Where it answers.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Signal>,
    _server: Task<io::Result<()>>,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    /// Returns the error of the listener.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = smol::block_on(TcpListener::bind(address))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let changed = Arc::new(Signal::default());
        let (serving, waking) = (Arc::clone(&state), Arc::clone(&changed));
        let server = http::serve(listener, move |request| {
            answer(Arc::clone(&serving), Arc::clone(&waking), request)
        });
        Ok(Self {
            address,
            state,
            changed,
            _server: smol::spawn(server),
        })
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let (revision, value) = (state.revision, STANDARD.encode(value));
        state
            .items
            .insert(key.to_owned(), (revision, value.clone()));
        state.history.push((revision, key.to_owned(), Some(value)));
        drop(state);
        self.changed.notify();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.history.push((revision, key.to_owned(), None));
        drop(state);
        self.changed.notify();
    }

    /// Drops the history.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.forgotten = state.revision;
        state.history.clear();
    }

    /// Sets how calls are treated from now on.
    pub fn set_mode(&self, mode: Mode) {
        lock(&self.state).mode = mode;
        self.changed.notify();
    }

    /// Returns how many calls there were.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }
}

async fn answer(state: Arc<Mutex<State>>, changed: Arc<Signal>, request: Request) -> Answer {
    let mode = {
        let mut state = lock(&state);
        state.calls += 1;
        state.mode
    };
    match mode {
        Mode::Normal => {}
        Mode::Unavailable => return Ok(http::status(StatusCode::SERVICE_UNAVAILABLE, "busy")),
        Mode::Unresponsive => smol::future::pending().await,
    }
    let text = |name: &str| {
        let mut pairs = request.query.split('&');
        let value = pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value.unwrap_or_default().to_owned()
    };
    match &*request.path {
        "/v1/kv-key" => Ok(read(&lock(&state), &text("Key"))),
        "/v1/kv-range" => Ok(list(&lock(&state), &text("PathPrefix"))),
        "/v1/kv-watch" => {
            let after = request.number("After").unwrap_or_default();
            let wait = Duration::from_millis(request.number("WaitMs").unwrap_or_default());
            Ok(watch(&state, &changed, &text("PathPrefix"), after, wait).await)
        }
        _ => Ok(http::status(StatusCode::NOT_FOUND, "no such call")),
    }
}

fn read(state: &State, key: &str) -> hyper::Response<http::Body> {
    let Some((revision, value)) = state.items.get(key) else {
        return http::status(StatusCode::NOT_FOUND, "no such item");
    };
    http::json(&json!({
        "Key": key, "Value": value, "Revision": revision, "Created": revision, "Lease": 0,
        "At": state.revision,
    }))
}

fn list(state: &State, prefix: &str) -> hyper::Response<http::Body> {
    let items = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(prefix));
    let items: Vec<_> = items
        .map(|(key, (revision, value))| item(*revision, key, Some(value)))
        .collect();
    http::json(&json!({"Items": items, "HasMore": false, "At": state.revision}))
}

async fn watch(
    state: &Mutex<State>,
    changed: &Signal,
    prefix: &str,
    after: u64,
    wait: Duration,
) -> hyper::Response<http::Body> {
    let end = Instant::now() + wait;
    loop {
        let waiter = changed.waiter();
        if lock(state).mode == Mode::Unresponsive {
            smol::future::pending::<()>().await;
        }
        {
            let state = lock(state);
            if after < state.forgotten {
                return http::status(StatusCode::GONE, "no such history");
            }
            let events: Vec<_> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, value)| item(*revision, key, value.as_ref()))
                .collect();
            if !events.is_empty() || Instant::now() >= end {
                return http::json(&json!({"events": events, "At": state.revision}));
            }
        }
        waiter
            .wait(end.saturating_duration_since(Instant::now()))
            .await;
    }
}

fn item(revision: u64, key: &str, value: Option<&String>) -> Value {
    match value {
        Some(value) => json!({
            "Key": key, "Value": value, "Revision": revision, "Created": revision, "Lease": 0,
        }),
        None => json!({"Key": key, "Revision": revision, "Deleted": true}),
    }
}
