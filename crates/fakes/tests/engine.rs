//! What tests rely on in the stand-in for an engine.

use {
    mastictrail_fakes::engine::{self, Settings, output_tokens},
    serde_json::{Value, json},
    std::{
        io::{Read as _, Write as _},
        net::{SocketAddr, TcpStream},
        thread,
        time::Duration,
    },
};

/// Serves an engine on a thread of its own, until the test process ends.
fn start(settings: Settings) -> SocketAddr {
    let listener = smol::block_on(smol::net::TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || smol::block_on(engine::serve(listener, settings)));
    address
}

/// Sends a request and returns what came until the connection closed.
fn ask(address: SocketAddr, head: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let length = body.len();
    let rest = format!("host: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}");
    stream
        .write_all(format!("{head}\r\n{rest}").as_bytes())
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn complete(address: SocketAddr, prompt: &str, priority: u8) -> Vec<String> {
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nx-request-id: {}\r\nx-priority: {priority}",
        prompt.len()
    );
    let answer = ask(address, &head, &json!({"prompt": prompt}).to_string());
    let events = answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let events = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let tokens = events.filter(|event| event["choices"][0]["finish_reason"].is_null());
    let texts = tokens.map(|event| event["choices"][0]["text"].as_str().unwrap().to_owned());
    texts.collect()
}

fn test(address: SocketAddr, name: &str) -> Value {
    let answer = ask(address, &format!("GET /test/{name} HTTP/1.1"), "");
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    serde_json::from_str(body).unwrap()
}

#[test]
fn a_full_memory_preempts_and_every_token_still_comes() {
    let address = start(Settings {
        step: Duration::from_millis(1),
        memory_tokens: 128,
        ..Settings::default()
    });
    thread::scope(|scope| {
        for number in 0..4 {
            scope.spawn(move || {
                let prompt = format!("{} #tokens=60", "x".repeat(number));
                let made = complete(address, &prompt, number as u8);
                assert_eq!(
                    made,
                    output_tokens(1, &prompt, 4096)
                        .iter()
                        .map(ToString::to_string)
                        .collect::<Vec<_>>()
                );
            });
        }
    });
    assert!(test(address, "runs")["preemptions"].as_u64() > Some(0));
}

#[test]
fn lengths_are_heavy_tailed_and_lookups_are_short() {
    let length =
        |kind: &str, number| engine::output_length(7, &format!("{kind} {number}")) as usize;
    let mut drafts: Vec<_> = (0..2000).map(|number| length("draft", number)).collect();
    let lookups: usize = (0..2000).map(|number| length("#lookup", number)).sum();
    drafts.sort_unstable();
    let mean = drafts.iter().sum::<usize>() / drafts.len();
    assert!(
        mean > drafts[1000] * 5 / 4,
        "the mean lies far above the median"
    );
    assert!(lookups / 2000 < drafts[1000] / 5);
    assert_eq!(engine::output_length(7, "draft #tokens=9"), 9);
    assert_eq!(output_tokens(7, "draft #tokens=9", 5).len(), 5);
}

#[test]
fn an_old_fencing_number_is_refused_only_where_it_is_checked() {
    for (fencing, status) in [(true, "409"), (false, "200")] {
        let address = start(Settings {
            fencing,
            ..Settings::default()
        });
        let order = |fence: u64| {
            let body = json!({"fence": fence, "models": ["m@1"], "role": "serve"});
            ask(address, "POST /v1/orders HTTP/1.1", &body.to_string())
        };
        assert!(order(5).starts_with("HTTP/1.1 200"));
        assert!(order(4).starts_with(&format!("HTTP/1.1 {status}")));
        assert_eq!(
            test(address, "orders")["orders"].as_array().unwrap().len(),
            2
        );
    }
}
