//! Fake of the platform's key-value store: items with revisions to read, list and watch.

use {
    crate::{
        http::{self, HandlerResult, Request},
        sync::{Signal, lock},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    hyper::StatusCode,
    percent_encoding::percent_decode_str,
    serde_json::{Value, json},
    smol::{Task, net::TcpListener},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        ops::Bound,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Number of items in a page of a list unless a test sets another one; the lists of large deployments
/// have several pages.
const DEFAULT_PAGE_ITEMS: usize = 3;

/// Size of the values in a page after which no further item is added, in bytes.
const MAX_PAGE_BYTES: usize = 1_000_000;
/// Character of a key that responses have as half of a UTF-16 pair, which no Rust string holds.
pub const HALF_PAIR: char = '\u{e000}';

/// How the store responds to requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Requests are answered.
    #[default]
    Normal,
    /// Requests are refused with 503.
    Unavailable,
    /// Requests are never answered.
    Unresponsive,
    /// Reads are answered, but watches return no changes.
    SilentWatches,
    /// Requests are answered, but each page of a list is the first one.
    RepeatedPages,
}

/// What the store holds; a copy of it is a backup.
#[derive(Clone, Debug, Default)]
pub struct Content {
    revision: u64,
    /// Revision and Base64 value by key.
    items: BTreeMap<String, (u64, String)>,
    /// Changes in order of revision: revision, key, and the value, or `None` for a removal.
    history: Vec<(u64, String, Option<String>)>,
    /// Revision up to which the history has been dropped.
    compacted: u64,
}

impl Content {
    fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }
}

#[derive(Debug)]
struct State {
    content: Content,
    /// Increases with each restored backup.
    era: u64,
    mode: Mode,
    page_items: usize,
    request_count: u64,
    /// Number of requests for each path and first query field.
    calls: BTreeMap<String, u64>,
    callers: Vec<Caller>,
}

/// A caller with an address of its own to reach the store at.
#[derive(Debug, Default)]
struct Caller {
    last_watch: Option<Instant>,
    /// Whether nothing that the store sends reaches the caller.
    is_cut: bool,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    /// Address that the store listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Signal>,
    servers: Mutex<Vec<Task<io::Result<()>>>>,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = smol::block_on(TcpListener::bind(address))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            content: Content::default(),
            era: 1,
            mode: Mode::Normal,
            page_items: DEFAULT_PAGE_ITEMS,
            request_count: 0,
            calls: BTreeMap::new(),
            callers: Vec::new(),
        }));
        let changed = Arc::new(Signal::default());
        Ok(Self {
            address,
            servers: Mutex::new(vec![serve(&state, &changed, listener, None)]),
            state,
            changed,
        })
    }

    /// Listens on a further address, for one caller; returns the caller's index.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn listen_for_caller(&self, address: SocketAddr) -> io::Result<usize> {
        let listener = smol::block_on(TcpListener::bind(address))?;
        let caller = {
            let callers = &mut lock(&self.state).callers;
            callers.push(Caller::default());
            callers.len() - 1
        };
        let server = serve(&self.state, &self.changed, listener, Some(caller));
        lock(&self.servers).push(server);
        Ok(caller)
    }

    /// Returns the callers that have begun or ended a watch within `window`.
    pub fn watching(&self, window: Duration) -> Vec<usize> {
        let state = lock(&self.state);
        let callers = state.callers.iter().enumerate();
        let is_watching = |caller: &Caller| {
            let last_watch = caller.last_watch;
            last_watch.is_some_and(|last_watch| last_watch.elapsed() < window)
        };
        callers
            .filter(|(_, caller)| is_watching(caller))
            .map(|(index, _)| index)
            .collect()
    }

    /// Sets whether a caller gets no more responses, without any notice.
    pub fn set_cut(&self, caller: usize, is_cut: bool) {
        lock(&self.state).callers[caller].is_cut = is_cut;
    }

    /// Writes an item and notifies watches.
    pub fn put(&self, key: &str, value: &str) {
        self.put_encoded(key, STANDARD.encode(value));
    }

    fn put_encoded(&self, key: &str, value: String) {
        let mut state = lock(&self.state);
        let content = &mut state.content;
        content.revision += 1;
        let revision = content.revision;
        content
            .items
            .insert(key.to_owned(), (revision, value.clone()));
        content
            .history
            .push((revision, key.to_owned(), Some(value)));
        drop(state);
        self.changed.notify();
    }

    /// Removes an item and notifies watches.
    pub fn remove(&self, key: &str) {
        let mut state = lock(&self.state);
        let content = &mut state.content;
        content.revision += 1;
        content.items.remove(key);
        let removal = (content.revision, key.to_owned(), None);
        content.history.push(removal);
        drop(state);
        self.changed.notify();
    }

    /// Drops the history, so that watches from an earlier revision fail with 410.
    pub fn compact(&self) {
        lock(&self.state).content.compact();
    }

    /// Removes an item together with the history, so that only a read of the list shows it.
    pub fn remove_and_compact(&self, key: &str) {
        let mut state = lock(&self.state);
        state.content.revision += 1;
        state.content.items.remove(key);
        state.content.compact();
        drop(state);
        self.changed.notify();
    }

    /// Returns a backup of what the store holds.
    pub fn backup(&self) -> Content {
        lock(&self.state).content.clone()
    }

    /// Replaces everything by a backup, which begins a new era, and accepts requests again.
    ///
    /// Pending watches are cut.
    pub fn restore(&self, backup: Content) {
        let mut state = lock(&self.state);
        state.content = backup;
        state.era += 1;
        state.mode = Mode::Normal;
        drop(state);
        self.changed.notify();
    }

    /// Writes again what differs from `content`, as the writers do after a restore.
    pub fn write_again(&self, content: &Content) {
        let now = self.backup();
        for key in now.items.keys() {
            if !content.items.contains_key(key) {
                self.remove(key);
            }
        }
        for (key, (_, value)) in &content.items {
            if now.items.get(key).is_none_or(|(_, known)| known != value) {
                self.put_encoded(key, value.clone());
            }
        }
    }

    /// Sets how requests are handled; of the modes, pending watches only obey `Unresponsive`.
    pub fn set_mode(&self, mode: Mode) {
        lock(&self.state).mode = mode;
        self.changed.notify();
    }

    /// Sets the maximum number of items in a page of a list.
    pub fn set_page_items(&self, count: usize) {
        lock(&self.state).page_items = count;
    }

    /// Returns the number of requests for each path and first query field.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        lock(&self.state).calls.clone()
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> u64 {
        lock(&self.state).request_count
    }
}

fn serve(
    state: &Arc<Mutex<State>>,
    changed: &Arc<Signal>,
    listener: TcpListener,
    caller: Option<usize>,
) -> Task<io::Result<()>> {
    let (state, changed) = (Arc::clone(state), Arc::clone(changed));
    smol::spawn(http::serve(listener, move |request| {
        handle(Arc::clone(&state), Arc::clone(&changed), caller, request)
    }))
}

async fn handle(
    state: Arc<Mutex<State>>,
    changed: Arc<Signal>,
    caller: Option<usize>,
    request: Request,
) -> HandlerResult {
    let record_watch = || {
        if let Some(caller) = caller
            && &*request.path == "/v1/kv-watch"
        {
            lock(&state).callers[caller].last_watch = Some(Instant::now());
        }
    };
    let is_cut = || caller.is_some_and(|caller| lock(&state).callers[caller].is_cut);
    let era = lock(&state).era;
    record_watch();
    if is_cut() {
        smol::future::pending::<()>().await;
    }
    let mut response = answer(&state, &changed, &request).await?;
    record_watch();
    if is_cut() {
        smol::future::pending::<()>().await;
    }
    if lock(&state).era != era {
        return Err(io::Error::other("the store was restored meanwhile"));
    }
    response.headers_mut().insert("store-era", era.into());
    Ok(response)
}

async fn answer(state: &Mutex<State>, changed: &Signal, request: &Request) -> HandlerResult {
    let mode = {
        let mut state = lock(state);
        state.request_count += 1;
        let field = request.query.split('&').next().unwrap_or_default();
        let call = format!("{}?{field}", request.path);
        *state.calls.entry(call).or_default() += 1;
        state.mode
    };
    match mode {
        Mode::Normal | Mode::SilentWatches | Mode::RepeatedPages => {}
        Mode::Unavailable => return Ok(http::text(StatusCode::SERVICE_UNAVAILABLE, "busy")),
        Mode::Unresponsive => smol::future::pending().await,
    }
    let query_text = |name: &str| {
        let mut pairs = request.query.split('&');
        let value = pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        decode_query_value(value.unwrap_or_default())
    };
    match &*request.path {
        "/v1/kv-key" => Ok(read(&lock(state).content, &query_text("Key"))),
        "/v1/kv-range" => {
            let (prefix, after) = (query_text("PathPrefix"), query_text("After"));
            Ok(list(&lock(state), &prefix, &after))
        }
        "/v1/kv-watch" => {
            let after = request.query_number("After").unwrap_or_default();
            let timeout = Duration::from_millis(request.query_number("WaitMs").unwrap_or_default());
            Ok(watch(state, changed, &query_text("PathPrefix"), after, timeout).await)
        }
        _ => Ok(http::text(StatusCode::NOT_FOUND, "no such call")),
    }
}

fn read(content: &Content, key: &str) -> hyper::Response<http::Body> {
    let Some((revision, value)) = content.items.get(key) else {
        return http::text(StatusCode::NOT_FOUND, "no such item");
    };
    http::json(&json!({
        "Key": key, "Value": value, "Revision": revision, "Created": revision, "Lease": 0,
        "At": content.revision,
    }))
}

/// Returns the page of the items with a prefix that begins after a key.
fn list(state: &State, prefix: &str, after: &str) -> hyper::Response<http::Body> {
    let content = &state.content;
    let after = if state.mode == Mode::RepeatedPages {
        ""
    } else {
        after
    };
    let start = (Bound::Excluded(after), Bound::Unbounded);
    let mut items = content
        .items
        .range::<str, _>(start)
        .filter(|(key, _)| key.starts_with(prefix))
        .peekable();
    let (mut page, mut bytes) = (Vec::new(), 0);
    while page.len() < state.page_items
        && bytes < MAX_PAGE_BYTES
        && let Some((key, (revision, value))) = items.next()
    {
        bytes += value.len();
        page.push(item_json(*revision, key, Some(value)));
    }
    let has_more = items.peek().is_some();
    json(&json!({"Items": page, "HasMore": has_more, "At": content.revision}))
}

/// Returns a 200 response in which [`HALF_PAIR`] is an escape.
fn json(value: &Value) -> hyper::Response<http::Body> {
    http::json_text(&value.to_string().replace(HALF_PAIR, "\\ud800"))
}

/// Decodes a value of a query, in which a plus sign stands for a blank.
fn decode_query_value(value: &str) -> String {
    let value = value.replace('+', " ");
    percent_decode_str(&value).decode_utf8_lossy().into_owned()
}

/// Waits for changes after a revision, or for the timeout.
async fn watch(
    state: &Mutex<State>,
    changed: &Signal,
    prefix: &str,
    after: u64,
    timeout: Duration,
) -> hyper::Response<http::Body> {
    let deadline = Instant::now() + timeout;
    let era = lock(state).era;
    loop {
        let waiter = changed.waiter();
        if lock(state).mode == Mode::Unresponsive {
            smol::future::pending::<()>().await;
        }
        {
            let state = lock(state);
            let content = &state.content;
            let is_silent = state.mode == Mode::SilentWatches;
            if is_silent && Instant::now() >= deadline {
                return http::json(&json!({"events": [], "At": after}));
            }
            let is_missing = after < content.compacted || after > content.revision;
            if is_missing || state.era != era {
                return http::text(StatusCode::GONE, "no such history");
            }
            let events: Vec<_> = content
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, value)| item_json(*revision, key, value.as_ref()))
                .collect();
            if !is_silent && !events.is_empty() || Instant::now() >= deadline {
                return json(&json!({"events": events, "At": content.revision}));
            }
        }
        waiter
            .wait(deadline.saturating_duration_since(Instant::now()))
            .await;
    }
}

fn item_json(revision: u64, key: &str, value: Option<&String>) -> Value {
    match value {
        Some(value) => json!({
            "Key": key, "Value": value, "Revision": revision, "Created": revision, "Lease": 0,
        }),
        None => json!({"Key": key, "Revision": revision, "Deleted": true}),
    }
}
