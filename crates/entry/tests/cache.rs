//! Conversion of an engine's cache events into the policy's event.

use {base::key, mastictrail_entry::cache::merge_events, route::Event, serde_json::json};

fn target() -> key::Target {
    key::Target::of("kucharz-a1")
}

#[test]
fn events_are_merged_and_a_gap_is_detected() {
    let answer = json!({"events": [
        {"sequence": 4, "stored": [u64::MAX, 7], "removed": []},
        {"sequence": 6, "stored": [8], "removed": [7]},
    ]});
    let (last, event) = merge_events(target(), 3, &answer);
    let Some(Event::Cache {
        stored,
        removed,
        gap,
        ..
    }) = event
    else {
        panic!("no event was returned");
    };
    assert_eq!(last, 6);
    assert_eq!(stored, [u64::MAX, 7, 8]);
    assert_eq!(removed, [7]);
    assert!(gap);
}

#[test]
fn an_empty_or_malformed_answer_changes_nothing() {
    for answer in [
        json!({"events": []}),
        json!({}),
        json!({"events": [{"sequence": "x"}]}),
    ] {
        let (last, event) = merge_events(target(), 3, &answer);
        assert_eq!(last, 3);
        assert!(event.is_none());
    }
}
