//! Fake platform: a versioned configuration to read and watch, and a VM list that may lag.

use {
    crate::{
        http::{self, HandlerResult, Request},
        sync::{Signal, lock},
    },
    hyper::{Method, StatusCode, header::HeaderValue},
    serde::Deserialize,
    serde_json::{Value, json},
    smol::net::TcpListener,
    std::{
        collections::BTreeMap,
        io,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Maximum size of a published configuration.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Timeout of a watch without `wait_ms`.
const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Initial state of the platform.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// First published configuration, with its version.
    pub value: Option<(u64, Box<str>)>,
    /// First VM list, in the format of `POST /test/vms`.
    pub vms: Option<Value>,
}

/// Failure mode, the body of `POST /test/mode`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// Connections are closed without a response.
    pub down: bool,
    /// Requests are not answered while this is set.
    pub silent: bool,
    /// Newest version that is served, although newer ones are published.
    pub stale: Option<u64>,
    /// Delay after which a new VM list is served, in milliseconds.
    pub list_lag_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Published configurations by version.
    values: BTreeMap<u64, Box<str>>,
    /// VM lists with the time of their publication, oldest first.
    vms: Vec<(Instant, Value)>,
    mode: Mode,
    /// Number of requests by VM and path.
    request_counts: BTreeMap<Box<str>, BTreeMap<Box<str>, u64>>,
}

#[derive(Debug, Default)]
struct Platform {
    state: Mutex<State>,
    changed: Signal,
}

/// Serves requests until the listener fails.
///
/// # Errors
/// Returns an error if accepting a connection fails.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let mut state = State::default();
    state.values.extend(settings.value);
    let vms = settings.vms.unwrap_or_else(|| json!({"vms": []}));
    state.vms.push((Instant::now(), vms));
    let platform = Arc::new(Platform {
        state: Mutex::new(state),
        changed: Signal::default(),
    });
    http::serve(listener, move |request| {
        let platform = Arc::clone(&platform);
        async move { platform.handle(&request).await }
    })
    .await
}

impl Platform {
    async fn handle(&self, request: &Request) -> HandlerResult {
        if request.path.starts_with("/test/") {
            return Ok(self.run_test_command(request));
        }
        self.count_request(request);
        self.apply_mode().await?;
        match (&request.method, &*request.path) {
            (&Method::GET, "/v1/config") => self.configuration(request).await,
            (&Method::GET, "/v1/vms") => Ok(http::json(&lock(&self.state).vms())),
            _ => Ok(http::text(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    fn count_request(&self, request: &Request) {
        let mut state = lock(&self.state);
        let requests_of_vm = state.request_counts.entry(request.header("x-vm").into());
        *requests_of_vm
            .or_default()
            .entry(request.path.clone())
            .or_default() += 1;
    }

    /// Fails if the platform is down; waits while it is silent.
    async fn apply_mode(&self) -> io::Result<()> {
        loop {
            let waiter = self.changed.waiter();
            let mode = lock(&self.state).mode.clone();
            if mode.down {
                return Err(http::aborted());
            }
            if !mode.silent {
                return Ok(());
            }
            waiter.wait(DEFAULT_WATCH_TIMEOUT).await;
        }
    }

    async fn configuration(&self, request: &Request) -> HandlerResult {
        let after = request.query_number("after");
        let timeout = request
            .query_number("wait_ms")
            .map_or(DEFAULT_WATCH_TIMEOUT, Duration::from_millis);
        let deadline = Instant::now() + timeout;
        loop {
            let waiter = self.changed.waiter();
            self.apply_mode().await?;
            if let Some((version, value)) = lock(&self.state).value(after) {
                let mut response = http::text(StatusCode::OK, &value);
                let headers = response.headers_mut();
                headers.insert("x-version", HeaderValue::from(version));
                return Ok(response);
            }
            if after.is_none() {
                return Ok(http::text(StatusCode::NOT_FOUND, "nothing is published"));
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || !waiter.wait(remaining).await && Instant::now() >= deadline {
                return Ok(http::text(StatusCode::NOT_MODIFIED, ""));
            }
        }
    }

    /// Handles a request under `/test/`.
    fn run_test_command(&self, request: &Request) -> hyper::Response<http::Body> {
        let mut state = lock(&self.state);
        let result = match &*request.path {
            "/test/publish" => state.publish(request),
            "/test/vms" => state.set_vms(request),
            "/test/mode" => request.json().map(|mode| {
                state.mode = mode;
                json!({})
            }),
            "/test/calls" => Ok(json!({ "calls": state.request_counts })),
            _ => return http::text(StatusCode::NOT_FOUND, "no such order"),
        };
        drop(state);
        self.changed.notify();
        result.map_or_else(|response| *response, |body| http::json(&body))
    }
}

/// JSON body of the response to a test command, or the response that rejects it.
type CommandResult = Result<Value, Box<hyper::Response<http::Body>>>;

impl State {
    /// Returns the version and value to serve, if the version is newer than `after`.
    fn value(&self, after: Option<u64>) -> Option<(u64, Box<str>)> {
        let max_version = self.mode.stale.unwrap_or(u64::MAX);
        let (&version, value) = self.values.range(..=max_version).next_back()?;
        let is_newer = after.is_none_or(|after| version > after);
        is_newer.then(|| (version, value.clone()))
    }

    /// Returns the newest VM list that is at least as old as the lag, or the first one.
    fn vms(&self) -> Value {
        let lag = Duration::from_millis(self.mode.list_lag_ms);
        let lagging = self
            .vms
            .iter()
            .rev()
            .find(|(published_at, _)| published_at.elapsed() >= lag);
        let (_, list) = lagging.unwrap_or(&self.vms[0]);
        list.clone()
    }

    fn publish(&mut self, request: &Request) -> CommandResult {
        let reject = |text| Err(Box::new(http::text(StatusCode::BAD_REQUEST, text)));
        if request.body.len() > MAX_VALUE_BYTES {
            return reject("the value is larger than a megabyte");
        }
        let Ok(value) = std::str::from_utf8(&request.body) else {
            return reject("the value is not UTF-8");
        };
        let Ok(version) = request.header("x-version").parse() else {
            return reject("x-version is not a number");
        };
        self.values.insert(version, value.into());
        Ok(json!({ "version": version }))
    }

    fn set_vms(&mut self, request: &Request) -> CommandResult {
        let list = request.json()?;
        self.vms.push((Instant::now(), list));
        Ok(json!({}))
    }
}
