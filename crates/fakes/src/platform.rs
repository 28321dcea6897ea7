//! Stand-in for the platform: one versioned value to read and watch, and a list of VMs that lags.

use {
    crate::{
        http::{self, Answer, Request},
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

/// Largest published value in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;
/// Longest wait of a watch that names none.
const WATCH: Duration = Duration::from_secs(10);

/// What the platform starts with.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The first published value, with its version.
    pub value: Option<(u64, Box<str>)>,
    /// The first list of VMs, as the body of `POST /test/vms`.
    pub vms: Option<Value>,
}

/// How the platform fails, as the body of `POST /test/mode`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// Connections are closed without an answer.
    pub down: bool,
    /// Requests are never answered.
    pub silent: bool,
    /// Only this version is served.
    pub stale: Option<u64>,
    /// The list of VMs is this old, in milliseconds.
    pub list_lag_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    values: BTreeMap<u64, Box<str>>,
    vms: Vec<(Instant, Value)>,
    mode: Mode,
    calls: BTreeMap<Box<str>, BTreeMap<Box<str>, u64>>,
}

#[derive(Debug, Default)]
struct Platform {
    state: Mutex<State>,
    changed: Signal,
}

/// Serves until the listener fails.
///
/// # Errors
/// Returns the error of the listener.
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
        async move { platform.answer(&request).await }
    })
    .await
}

impl Platform {
    async fn answer(&self, request: &Request) -> Answer {
        if request.path.starts_with("/test/") {
            return Ok(self.order(request));
        }
        self.count(request);
        self.fail().await?;
        match (&request.method, &*request.path) {
            (&Method::GET, "/v1/config") => self.config(request).await,
            (&Method::GET, "/v1/vms") => Ok(http::json(&lock(&self.state).vms())),
            _ => Ok(http::status(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    fn count(&self, request: &Request) {
        let mut state = lock(&self.state);
        let vm = state.calls.entry(request.header("x-vm").into());
        *vm.or_default().entry(request.path.clone()).or_default() += 1;
    }

    /// Fails the call if the platform is down, and for as long as it is silent.
    async fn fail(&self) -> io::Result<()> {
        loop {
            let waiter = self.changed.waiter();
            let mode = lock(&self.state).mode.clone();
            if mode.down {
                return Err(http::hang_up());
            }
            if !mode.silent {
                return Ok(());
            }
            waiter.wait(WATCH).await;
        }
    }

    async fn config(&self, request: &Request) -> Answer {
        let after = request.number("after");
        let wait = request
            .number("wait_ms")
            .map_or(WATCH, Duration::from_millis);
        let deadline = Instant::now() + wait;
        loop {
            let waiter = self.changed.waiter();
            self.fail().await?;
            if let Some((version, value)) = lock(&self.state).value(after) {
                let mut response = http::status(StatusCode::OK, &value);
                let headers = response.headers_mut();
                headers.insert("x-version", HeaderValue::from(version));
                return Ok(response);
            }
            if after.is_none() {
                return Ok(http::status(StatusCode::NOT_FOUND, "nothing is published"));
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || !waiter.wait(left).await && Instant::now() >= deadline {
                return Ok(http::status(StatusCode::NOT_MODIFIED, ""));
            }
        }
    }

    /// Carries out an order of a test.
    fn order(&self, request: &Request) -> hyper::Response<http::Body> {
        let mut state = lock(&self.state);
        let answer = match &*request.path {
            "/test/publish" => state.publish(request),
            "/test/vms" => state.set_vms(request),
            "/test/mode" => request.json().map(|mode| {
                state.mode = mode;
                json!({})
            }),
            "/test/calls" => Ok(json!({ "calls": state.calls })),
            _ => return http::status(StatusCode::NOT_FOUND, "no such order"),
        };
        drop(state);
        self.changed.notify();
        answer.map_or_else(|refusal| *refusal, |answer| http::json(&answer))
    }
}

type Reply = Result<Value, Box<hyper::Response<http::Body>>>;

impl State {
    /// Returns the value that is served, if it is newer than `after`.
    fn value(&self, after: Option<u64>) -> Option<(u64, Box<str>)> {
        let newest = self.mode.stale.unwrap_or(u64::MAX);
        let (&version, value) = self.values.range(..=newest).next_back()?;
        let newer = after.is_none_or(|after| version > after);
        newer.then(|| (version, value.clone()))
    }

    /// Returns the newest list that is older than the lag, or the first one.
    fn vms(&self) -> Value {
        let lag = Duration::from_millis(self.mode.list_lag_ms);
        let old = self.vms.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let (_, list) = old.unwrap_or(&self.vms[0]);
        list.clone()
    }

    fn publish(&mut self, request: &Request) -> Reply {
        let refuse = |text| Err(Box::new(http::status(StatusCode::BAD_REQUEST, text)));
        if request.body.len() > VALUE_LIMIT {
            return refuse("the value is larger than a megabyte");
        }
        let Ok(value) = std::str::from_utf8(&request.body) else {
            return refuse("the value is not UTF-8");
        };
        let Ok(version) = request.header("x-version").parse() else {
            return refuse("x-version is not a number");
        };
        self.values.insert(version, value.into());
        Ok(json!({ "version": version }))
    }

    fn set_vms(&mut self, request: &Request) -> Reply {
        let list = request.json()?;
        self.vms.push((Instant::now(), list));
        Ok(json!({}))
    }
}
