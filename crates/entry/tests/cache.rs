//! Cache events from an engine's answer to the policy's event.

use {base::key, mastictrail_entry::cache::event, route::Event, serde_json::json};

fn target() -> key::Target {
    key::Target::of("kucharz-a1")
}

#[test]
fn events_are_joined_and_a_lost_one_is_noticed() {
    let answer = json!({"events": [
        {"sequence": 4, "stored": [u64::MAX, 7], "removed": []},
        {"sequence": 6, "stored": [8], "removed": [7]},
    ]});
    let (last, event) = event(target(), 3, &answer);
    let Some(Event::Cache {
        stored,
        removed,
        gap,
        ..
    }) = event
    else {
        panic!("there is no event");
    };
    assert_eq!(last, 6);
    assert_eq!(stored, [u64::MAX, 7, 8]);
    assert_eq!(removed, [7]);
    assert!(gap);
}

#[test]
fn an_answer_without_news_or_of_another_form_changes_nothing() {
    for answer in [
        json!({"events": []}),
        json!({}),
        json!({"events": [{"sequence": "x"}]}),
    ] {
        let (last, event) = event(target(), 3, &answer);
        assert_eq!(last, 3);
        assert!(event.is_none());
    }
}
