use serde_json::Value;
use serde_json::json;

use super::diff::FieldDiff;
use super::diff::differences;
use super::sse::Events;
use super::status::Tables;

fn diff(before: Value, after: Value) -> Vec<(String, Value, Value)> {
    let mut found = Vec::new();
    differences("", &before, &after, &mut found);
    let parts = |f: FieldDiff| (f.path, f.before, f.after);
    found.into_iter().map(parts).collect()
}

#[test]
fn finds_the_fields_that_differ() {
    let before = json!({"rule": {"order": 5, "when": {"a": ["x"]}, "team": "t"}});
    let after = json!({"rule": {"order": 6, "when": {"b": ["y"]}, "team": "t"}});
    let expected = [
        ("rule.order".to_owned(), json!(5), json!(6)),
        ("rule.when.a".to_owned(), json!(["x"]), Value::Null),
        ("rule.when.b".to_owned(), Value::Null, json!(["y"])),
    ];
    assert_eq!(diff(before.clone(), after), expected);
    assert!(diff(before.clone(), before).is_empty());
}

#[test]
fn shows_a_new_document_field_by_field() {
    let expected = [("team.bearer".to_owned(), Value::Null, json!("house"))];
    let after = json!({"team": {"bearer": "house"}});
    assert_eq!(diff(Value::Null, after), expected);
}

/// Guards against text that is garbled where the network splits the stream within an event or a character.
#[test]
fn gathers_events_from_pieces_of_any_size() {
    let stream = "data: {\"a\":\"xin chào\"}\n\n: a comment\n\ndata: [DONE]\r\n\r\n".as_bytes();
    for size in 1..stream.len() {
        let mut events = Events::default();
        let pieces = stream.chunks(size);
        let found: Vec<_> = pieces.flat_map(|piece| events.feed(piece)).collect();
        assert_eq!(found, ["{\"a\":\"xin chào\"}", "[DONE]"], "size {size}");
    }
}

#[test]
fn lays_out_a_dump_as_tables() {
    let dump = json!({
        "vm": "vm-1",
        "pools": [{"pool": "p", "endpoints": [{"vm": "e-1", "busy": 3}, {"vm": "e-2", "role": "decode"}]}],
        "teams": {"lending": {"held": 7}},
        "queue": {"length": 0},
    });
    let expected = "\
field  value
vm     vm-1

pools
entry  pool
0      p

pools.0.endpoints
entry  busy  vm   role
0      3     e-1
1            e-2  decode

queue
field   value
length  0

teams
entry    held
lending  7
";
    assert_eq!(Tables(dump).to_string(), expected);
}
