//! A runner of a plain service.

use crate::{
    http::{self, Handler, Message, Reply},
    record::Record,
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Time for which a request runs.
const WORK: Duration = Duration::from_millis(15);

/// A request that ran.
#[derive(Clone)]
pub struct Run {
    pub attempt: String,
}

/// A running runner.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Whether it leaves, which it says in all its answers.
    pub is_leaving: Arc<AtomicBool>,
    /// Whether it has ended: connections are closed.
    pub is_gone: Arc<AtomicBool>,
    /// Start of its lifetime in Unix milliseconds.
    born_ms: u64,
}

impl Runner {
    pub fn start(id: &str, address: SocketAddr, record: &Record) -> io::Result<Self> {
        let runner = Self {
            id: id.to_owned(),
            address,
            runs: Arc::default(),
            is_leaving: Arc::default(),
            is_gone: Arc::default(),
            born_ms: born_ms(),
        };
        let (id, runs) = (runner.id.clone(), Arc::clone(&runner.runs));
        let (is_leaving, record) = (Arc::clone(&runner.is_leaving), record.clone());
        let is_gone = Arc::clone(&runner.is_gone);
        let handler: Handler = Arc::new(move |request: &Message| {
            if is_gone.load(Ordering::Relaxed) {
                return Reply::Close;
            }
            let attempt = request.header("x-attempt-id").to_owned();
            let mut headers = vec![("X-Instance-Id".to_owned(), id.clone())];
            if is_leaving.load(Ordering::Relaxed) {
                headers.push(("Server-Leaving".to_owned(), "1".to_owned()));
            }
            if request.path() == "/healthz" {
                return Reply::Answer(200, headers, Vec::new());
            }
            if request.header("x-expect-instance") != id {
                record.line(
                    "refused",
                    &format!("{attempt} by {id}: another instance expected"),
                );
                return Reply::Answer(421, headers, Vec::new());
            }
            let tenant = request.header("x-tenant").to_owned();
            record.line("run", &format!("{attempt} by {id} for tenant {tenant}"));
            let run = Run {
                attempt: attempt.clone(),
            };
            runs.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(run);
            thread::sleep(WORK);
            headers.push(("X-Attempt-Id".to_owned(), attempt.clone()));
            headers.push(("X-Server-Signature".to_owned(), format!("{id}.{attempt}")));
            Reply::Answer(200, headers, format!("answer to {attempt}").into_bytes())
        });
        http::serve(address, handler)?;
        Ok(runner)
    }

    /// Returns the requests that ran so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, sequence: u32) -> String {
        let is_leaving = self.is_leaving.load(Ordering::Relaxed);
        let state = if is_leaving { "draining" } else { "ready" };
        let (address, born_ms) = (self.address, self.born_ms);
        // Each heartbeat of the first ones finds it less cold, which changes the entry.
        let cold_ms = 3_600_u32.saturating_sub(1_200 * sequence);
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":6,\"State\":\"{state}\",\"ColdRemainingMs\":{cold_ms},\"Sequence\":{sequence},\"born\":{born_ms}}}"
        )
    }

    /// Returns its key in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }
}

/// Returns the time of day in Unix milliseconds.
fn born_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
