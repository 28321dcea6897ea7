//! The memory of a gateway process while many clients send large bodies.

mod support;

use {
    fakes::site::{Target, target::Behaviour},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
    support::{
        site::{API_KEY, HOST, STREAM_PATH, Site, UNSAFE_PATH},
        wait_until,
    },
};

/// Memory limits of small VMs and of larger ones, as values of `memory_mb`.
const MEMORY_MB: [u64; 2] = [96, 182];
/// Size of a body; the platform's largest one has 4 MiB.
const BODY_BYTES: usize = 4_190_000;
/// Number of clients that send at the same time: 84 MB of bodies.
const UPLOADS: usize = 20;

/// Number of further clients, whose bodies together are larger than one large body.
const FILLERS: usize = 90;

/// How a body is delimited.
#[derive(Clone, Copy)]
enum Framing {
    Length,
    Chunks,
}

/// Starts a site with one gateway that has a memory limit and accepts bodies of 4 MiB.
fn start(memory_mb: u64) -> Site {
    let settings = format!("[limits]\nmemory_mb = {memory_mb}\n");
    let site = Site::start_with(&["v1"], 4, 1, &settings);
    site.publish(2, |document| {
        document["Limits"]["MaxBodyBytes"] = (4 << 20).into();
    });
    wait_until("large bodies are accepted", || {
        let body = vec![b'x'; 200_000];
        upload(
            site.gateways[0].clients,
            &body,
            Framing::Length,
            Duration::ZERO,
        )
        .starts_with("HTTP/1.1 200")
    });
    for service in &site.services {
        service.set_behaviour(Behaviour {
            delay: Duration::from_millis(300),
            ..Behaviour::default()
        });
    }
    site
}

/// Sends a request whose body takes `duration`, and returns the response; empty if there is none.
fn upload(address: SocketAddr, body: &[u8], framing: Framing, duration: Duration) -> String {
    const PARTS: u32 = 50;
    let mut stream = TcpStream::connect(address).expect("the gateway accepts connections");
    let timeout = Some(Duration::from_secs(20));
    stream
        .set_read_timeout(timeout)
        .expect("the timeout is set");
    let framing_header = match framing {
        Framing::Length => format!("Content-Length: {}", body.len()),
        Framing::Chunks => "Transfer-Encoding: chunked".to_owned(),
    };
    let head = format!(
        "POST {UNSAFE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {API_KEY}\r\n\
         Connection: close\r\n{framing_header}\r\n\r\n"
    );
    let started = Instant::now();
    let send = |stream: &mut TcpStream| -> std::io::Result<()> {
        stream.write_all(head.as_bytes())?;
        for (index, part) in (1..).zip(body.chunks(body.len().div_ceil(PARTS as usize))) {
            match framing {
                Framing::Length => stream.write_all(part)?,
                Framing::Chunks => {
                    let size = format!("{:x}\r\n", part.len());
                    stream.write_all(&[size.as_bytes(), part, b"\r\n"].concat())?;
                }
            }
            thread::sleep((duration * index / PARTS).saturating_sub(started.elapsed()));
        }
        match framing {
            Framing::Length => Ok(()),
            Framing::Chunks => stream.write_all(b"0\r\n\r\n"),
        }
    };
    if send(&mut stream).is_err() {
        return String::new();
    }
    let mut response = Vec::new();
    match stream.read_to_end(&mut response) {
        Ok(_) => String::from_utf8_lossy(&response).into_owned(),
        Err(_) => String::new(),
    }
}

/// Sends many large bodies at the same time, and returns the responses.
fn upload_at_once(site: &Site, framing: Framing) -> Vec<String> {
    let body = vec![b'x'; BODY_BYTES];
    let address = site.gateways[0].clients;
    thread::scope(|scope| {
        let uploads: Vec<_> = (0..UPLOADS)
            .map(|_| scope.spawn(|| upload(address, &body, framing, Duration::from_secs(1))))
            .collect();
        let responses = uploads.into_iter().map(thread::ScopedJoinHandle::join);
        responses
            .map(|response| response.expect("the client does not panic"))
            .collect()
    })
}

/// Checks that the process kept its bound and that all clients know what became of their requests;
/// returns how many were served.
fn check(site: &Site, memory_mb: u64, responses: &[String]) -> usize {
    let peak = site.gateways[0].process.peak_memory();
    let is_served = |response: &&String| response.starts_with("HTTP/1.1 200");
    let (served, refused): (Vec<_>, Vec<_>) = responses.iter().partition(is_served);
    eprintln!(
        "{} of {UPLOADS} served, peak {} MB",
        served.len(),
        peak >> 20
    );
    assert!(peak > 0, "the process has exited");
    assert!(peak <= memory_mb << 20, "{} MB", peak >> 20);
    assert!(!served.is_empty(), "{responses:?}");
    for response in refused {
        assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
        assert!(response.contains("\r\nretry-after: "), "{response:?}");
        assert!(response.contains("\"verdict\":\"not_run\""), "{response:?}");
    }
    served.len()
}

/// Returns how many whole bodies the services have received.
fn received(site: &Site) -> usize {
    let requests = site.services.iter().flat_map(Target::received);
    requests
        .filter(|request| request.body.len() == BODY_BYTES)
        .count()
}

/// Many large bodies at the same time took a process over the memory of its VM, and the platform
/// killed it.
#[test]
fn large_bodies_at_the_same_time_stay_within_the_memory_of_the_vm() {
    for memory_mb in MEMORY_MB {
        let site = start(memory_mb);
        let mut served = 0;
        for framing in [Framing::Length, Framing::Chunks, Framing::Length] {
            served += check(&site, memory_mb, &upload_at_once(&site, framing));
            assert_eq!(received(&site), served, "a refused request was sent");
        }
        // All room has been given back.
        let body = vec![b'x'; BODY_BYTES];
        let address = site.gateways[0].clients;
        let response = upload(address, &body, Framing::Length, Duration::ZERO);
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    }
}

/// A VM whose memory is not known must not refuse large bodies.
#[test]
fn large_bodies_are_not_bounded_together_without_a_memory_limit() {
    let site = start(0);
    let responses = upload_at_once(&site, Framing::Length);
    for response in &responses {
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    }
    assert_eq!(received(&site), UPLOADS);
}

/// Large uploads must not take the room for prompts, which are small.
#[test]
fn small_bodies_are_received_while_large_ones_take_the_room() {
    let site = start(MEMORY_MB[0]);
    let address = site.gateways[0].clients;
    // Bodies just above the small ones fill what the large ones leave.
    let filler = vec![b'x'; 66_000];
    let small = vec![b'x'; 65_000];
    thread::scope(|scope| {
        let large = scope.spawn(|| upload_at_once(&site, Framing::Length));
        thread::sleep(Duration::from_millis(100));
        for _ in 0..FILLERS {
            scope.spawn(|| upload(address, &filler, Framing::Length, Duration::from_secs(1)));
        }
        thread::sleep(Duration::from_millis(100));
        let mut count = 0;
        while !large.is_finished() {
            let response = upload(address, &small, Framing::Length, Duration::ZERO);
            assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
            count += 1;
        }
        assert!(count > 0);
        let responses = large.join().expect("the clients do not panic");
        let is_refused = |response: &&String| response.starts_with("HTTP/1.1 503");
        let refused = responses.iter().filter(is_refused).count();
        assert!(refused > 0, "the large bodies did not take the room");
    });
}

/// Responses that their clients read slowly were held beyond the budget once they were received.
#[test]
fn responses_that_are_not_read_stay_within_the_memory_of_the_vm() {
    let memory_mb = MEMORY_MB[0];
    let site = start(memory_mb);
    let text = "x".repeat(BODY_BYTES).leak();
    site.set_engine_behaviour(&Behaviour {
        error: Some((400, "text/plain", text)),
        ..Behaviour::default()
    });
    let address = site.gateways[0].clients;
    let head = format!(
        "POST {STREAM_PATH} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {API_KEY}\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n"
    );
    let clients: Vec<_> = (0..2 * UPLOADS)
        .map(|_| {
            let mut stream = TcpStream::connect(address).expect("the gateway accepts connections");
            stream
                .write_all(head.as_bytes())
                .expect("the request is sent");
            thread::sleep(Duration::from_millis(50));
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let peak = site.gateways[0].process.peak_memory();
    eprintln!("{} responses, peak {} MB", clients.len(), peak >> 20);
    let mut whole = 0;
    for mut stream in clients {
        let mut response = Vec::new();
        stream
            .read_to_end(&mut response)
            .expect("the response is read");
        whole += usize::from(response.len() > BODY_BYTES);
    }
    assert!(peak > 0 && peak <= memory_mb << 20, "{} MB", peak >> 20);
    assert!(whole > 0, "no response is whole");
}
