//! Splitting of event streams, estimates of output lengths, and the retry budget.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Budget, Generation, Lengths, Origins, Splitter, budget::Policy, frame::Defect,
        origin::Origin,
    },
    std::time::Duration,
};

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

#[test]
fn events_are_complete_and_unchanged_for_any_chunk_size() {
    let stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nx-version: 3\nid: 3\ndata:\n\nid: 4\nda";
    for size in 1..stream.len() {
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        for chunk in stream.as_bytes().chunks(size) {
            splitter.push(chunk);
            while let Some(event) = splitter.next_event() {
                events.push(event);
            }
        }
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2), None, Some(3)], "chunks of {size}");
        let mut bytes: Vec<u8> = events
            .iter()
            .flat_map(|event| event.bytes.to_vec())
            .collect();
        bytes.extend_from_slice(&splitter.take_rest());
        assert_eq!(String::from_utf8_lossy(&bytes), stream);
    }
}

/// An answer that is broken off anywhere but between two events must not pass for a whole one.
#[test]
fn an_answer_that_ends_inside_an_event_is_not_complete() {
    let stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
    let ends = [15, stream.len()];
    for length in 0..=stream.len() {
        let mut splitter = Splitter::default();
        splitter.push(&stream.as_bytes()[..length]);
        while splitter.next_event().is_some() {}
        let expected = match length {
            0 => Some(Defect::NoEvent),
            _ if ends.contains(&length) => None,
            _ => Some(Defect::InsideEvent),
        };
        assert_eq!(splitter.find_defect(false), expected, "{length} bytes");
    }
    assert_eq!(Splitter::default().find_defect(true), None);
}

/// The next engine may answer with an error in place of the rest, which would stand in the middle of the
/// stream.
#[test]
fn a_continued_stream_has_no_event_without_an_id_and_is_not_empty() {
    let defect_of = |answer: &str| {
        let mut splitter = Splitter::of_continuation();
        splitter.push(answer.as_bytes());
        while splitter.next_event().is_some() {}
        splitter.defect().or(splitter.find_defect(true))
    };
    assert_eq!(defect_of("id: 7\ndata: a\n\n: comment\n\n"), None);
    assert_eq!(defect_of("x-version: 3\nid: 7\ndata: a\n\n"), None);
    for empty in ["", ": comment\n\n", "\r\n"] {
        assert_eq!(defect_of(empty), Some(Defect::NoEvent), "{empty:?}");
    }
    for error in [
        "event: error\ndata: out of memory\n\n",
        "data: [DONE]\n\n",
        "id: 7\ndata: a\n\nerror: out of memory\n\n",
    ] {
        assert_eq!(defect_of(error), Some(Defect::NoId), "{error:?}");
    }
    for text in ["{\"error\": 1}\n\n", "Internal error: 5\n\n"] {
        assert_eq!(defect_of(text), Some(Defect::NoField), "{text:?}");
    }
}

#[test]
fn an_event_without_an_end_exceeds_the_limit() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'a'; mastictrail_dispatch::frame::EVENT_LIMIT + 1]);
    assert!(splitter.next_event().is_none());
    assert_eq!(splitter.defect(), Some(Defect::Overlong));
}

/// An engine may send what is no stream; none of it may reach the client as an event.
#[test]
fn bytes_that_are_no_event_are_a_defect() {
    for whole in [
        "data: x\n\n",
        "id: 1\r\ndata\r\n\r\n",
        ": comment\n\n",
        "x-weight-versions: 3\ndata: x\n\n",
    ] {
        let mut splitter = Splitter::default();
        splitter.push(whole.as_bytes());
        assert!(splitter.next_event().is_some(), "{whole:?}");
        assert_eq!(splitter.defect(), None, "{whole:?}");
    }
    let mut splitter = Splitter::default();
    splitter.push(b"data: x\n\nnoise\n\ndata: y\n\n");
    assert!(splitter.next_event().is_some());
    assert!(splitter.next_event().is_none());
    assert_eq!(splitter.defect(), Some(Defect::NoField));
    assert!(splitter.next_event().is_none());
}

#[test]
fn an_estimate_lies_between_the_hint_and_the_average() {
    let generation = |hint| Generation {
        prompt_tokens: 100,
        max_tokens: 2_000,
        length_hint: hint,
    };
    let mut lengths = Lengths::default();
    for _ in 0..200 {
        lengths.record("r", 800);
    }
    assert!((790..=810).contains(&lengths.estimate("r", &generation(None))));
    let low = lengths.estimate("r", &generation(Some(100)));
    assert!((200..800).contains(&low), "{low}");
    let high = lengths.estimate("r", &generation(Some(1_000_000)));
    assert_eq!(high, 2_000, "never above the permitted length");
    assert!(lengths.estimate("unknown", &generation(None)) > 0);
}

#[test]
fn all_vms_together_stay_within_the_retry_budget() {
    const VMS: usize = 19;
    let policy = Policy {
        ratio: 0.2,
        extra: 122.0,
        window: Duration::from_secs(10),
    };
    let mut budgets: Vec<Budget> = (0..VMS).map(|_| Budget::default()).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for now in (0..40_000).step_by(20) {
        let budget = &mut budgets[now as usize / 20 % VMS];
        budget.record_request(at(now), &policy);
        requests.push(now);
        // Each request fails and attempts two retries.
        for _ in 0..2 {
            if budget.try_spend(at(now), &policy, VMS) {
                retries.push(now);
            }
        }
    }
    assert!(retries.len() > 100);
    for start in (0..30_000_u64).step_by(100) {
        let within = |times: &[u64]| {
            times
                .iter()
                .filter(|time| (start..start + 10_000).contains(*time))
                .count()
        };
        let bound = policy.ratio * within(&requests) as f64 + policy.extra;
        assert!(within(&retries) as f64 <= bound, "from {start} ms");
    }
}

#[test]
fn the_origin_of_a_stream_stays_what_it_was_until_it_expires() {
    let (first, second) = (key::Request::of("a-1"), key::Request::of("a-2"));
    let origin = |release: &str| Origin {
        service: key::Service::of("s"),
        release: release.into(),
    };
    let lifetime = Duration::from_secs(5);
    let mut origins = Origins::default();
    origins.record(first, origin("v1"), lifetime, at(0));
    assert_eq!(origins.get(first, at(4_999)), Some(&origin("v1")));
    assert_eq!(origins.get(second, at(0)), None);
    origins.record(first, origin("v2"), lifetime, at(3_000));
    assert_eq!(origins.get(first, at(7_999)), Some(&origin("v1")));
    assert_eq!(origins.get(first, at(8_000)), None);
    origins.record(second, origin("v2"), lifetime, at(9_000));
    assert_eq!(origins.len(), 1, "expired streams are forgotten");
}
