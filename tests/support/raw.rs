//! A target that answers each request with the same bytes.

use {
    super::{process::free_address, site::Site},
    fakes::site::{self, target::Copies},
    socket2::SockRef,
    std::{
        io::{Read, Write},
        net::{IpAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread,
        time::Duration,
    },
};

/// How a connection ends.
#[derive(Clone, Copy, Debug, Default)]
pub enum End {
    #[default]
    Close,
    Reset,
}

#[derive(Debug, Default)]
struct State {
    answer: String,
    end: End,
    /// Requests that were received, in lower case.
    requests: Vec<String>,
    /// VM whose connections are reset.
    cut: Option<IpAddr>,
}

/// A target that sends a text and ends the connection, whatever the request.
pub struct Target(Arc<Mutex<State>>);

impl Target {
    /// Starts the target and registers it for a service.
    pub fn start(site: &Site, service: &str) -> Self {
        let listener = TcpListener::bind(free_address()).expect("the address is free");
        let entry = site::Target::start(free_address(), "raw", false, &Copies::default());
        let address = listener.local_addr().expect("it is bound");
        let entry = entry.expect("the address is free");
        site.register_at(&entry, address, service, "dc-1", "ready");
        let state = Arc::<Mutex<State>>::default();
        let served = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serve(stream, &served);
            }
        });
        Self(state)
    }

    /// Sets what further requests are answered with.
    pub fn set_answer(&self, answer: &str, end: End) {
        let mut state = lock(&self.0);
        answer.clone_into(&mut state.answer);
        state.end = end;
    }

    /// Cuts a VM off.
    pub fn cut(&self, vm: IpAddr) {
        lock(&self.0).cut = Some(vm);
    }

    /// Returns the number of requests that were received.
    pub fn request_count(&self) -> usize {
        lock(&self.0).requests.len()
    }

    /// Returns the requests that were received, in lower case.
    pub fn requests(&self) -> Vec<String> {
        lock(&self.0).requests.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(mut stream: TcpStream, state: &Mutex<State>) {
    let peer = stream.peer_addr().ok().map(|address| address.ip());
    if peer.is_some() && lock(state).cut == peer {
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        return;
    }
    let Some(request) = read_request(&stream) else {
        return;
    };
    let (answer, end) = {
        let mut state = lock(state);
        state.requests.push(request);
        (state.answer.clone(), state.end)
    };
    let _ = stream.write_all(answer.as_bytes());
    if matches!(end, End::Reset) {
        // The gateway reads what was sent before the reset drops it.
        thread::sleep(Duration::from_millis(20));
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

/// Reads a request whose body has a length; `None` if the connection ends before.
fn read_request(mut stream: &TcpStream) -> Option<String> {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.split("content-length: ").nth(1);
            let length = length.and_then(|rest| rest.split("\r\n").next()?.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        request.extend_from_slice(&buffer[..count]);
    }
}
