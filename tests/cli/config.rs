use serde_json::Value;
use serde_json::json;

use crate::fake::Fake;
use crate::fake::Reply;
use crate::fake::lock;
use crate::file;
use crate::log::FakeLog;
use crate::log::Fault;
use crate::run;

fn team(base: u64, bearer: &str) -> String {
    let body = json!({"team": {"bearer": bearer}});
    let change = json!({"kind": "team", "name": "lending", "base": base, "body": body});
    json!({"format": 1, "by": "test", "changes": [change]}).to_string()
}

#[test]
fn publishes_and_shows() {
    let log = FakeLog::start(Vec::new());
    let url = log.fake.url();
    let first = file("publishes.json", &team(0, "house"));
    let done = run(&url, "", &["config", "diff", &first]);
    assert!(done.out.contains("+ team.bearer: \"house\""), "{done:?}");
    let done = run(&url, "", &["config", "put", &first, "--json"]);
    assert_eq!(done.code, Some(0), "{done:?}");
    let accepted = json!({"outcome": "accepted", "version": 1, "changes": 1});
    assert_eq!(done.json(), accepted);

    let late = file("publishes-late.json", &team(0, "team"));
    let done = run(&url, "", &["config", "put", &late]);
    assert_eq!(done.code, Some(3), "{done:?}");
    assert!(
        done.err.contains("based on version 0, but version 1"),
        "{done:?}"
    );
    let done = run(&url, "", &["config", "put", &late, "--force-base"]);
    assert_eq!(done.code, Some(0), "{done:?}");

    let done = run(&url, "", &["config", "get", "team/lending", "--json"]);
    assert_eq!(done.json()["documents"][0]["version"], 2);
    let done = run(&url, "", &["config", "get", "pool", "--json"]);
    assert_eq!(done.json()["documents"], json!([]));
}

#[test]
fn gives_changes_to_edit_and_publish() {
    let other = team(0, "team").replace("lending", "audit").into_bytes();
    let log = FakeLog::start(vec![team(0, "house").into_bytes(), other]);
    let url = log.fake.url();
    let done = run(&url, "", &["config", "get", "--changes"]);
    let same = file("same.json", &done.out);
    let done_same = run(&url, "", &["config", "put", &same, "--json"]);
    assert_eq!(
        done_same.json(),
        json!({"outcome": "accepted", "version": 2, "changes": 0})
    );
    let edited = file("edit.json", &done.out.replace("house", "team"));
    let done = run(&url, "", &["config", "diff", &edited]);
    assert!(
        done.out.contains("~ team.bearer: \"house\" -> \"team\""),
        "{done:?}"
    );
    // What is not changed keeps its version.
    let done = run(&url, "", &["config", "put", &edited, "--json"]);
    assert_eq!(done.json()["changes"], 1);
    let done = run(&url, "", &["config", "get", "team/audit", "--json"]);
    assert_eq!(done.json()["documents"][0]["version"], 2);
}

/// An operator publishes a mistake. It is told the field, and nothing reaches the log.
#[test]
fn refuses_a_mistake_before_it_is_published() {
    let log = FakeLog::start(Vec::new());
    let wrong = file("mistake.json", &team(0, "nobody"));
    let done = run(&log.fake.url(), "", &["config", "put", &wrong]);
    assert_eq!(done.code, Some(4), "{done:?}");
    assert!(done.err.contains("changes[0].body.team.bearer"), "{done:?}");
    assert!(lock(&log.stream).records.is_empty());
}

/// Another operator's record reaches the log between this one's look and its append. This one is told that it lost,
/// although its record is in the log.
#[test]
fn tells_who_lost_a_race() {
    let log = FakeLog::start(Vec::new());
    lock(&log.stream).fault = Fault::Rival(team(0, "team").into_bytes());
    let mine = file("race.json", &team(0, "house"));
    let done = run(&log.fake.url(), "", &["config", "put", &mine]);
    assert_eq!(done.code, Some(3), "{done:?}");
    assert_eq!(lock(&log.stream).records.len(), 2);
}

/// The log service takes the record, but its answer is lost. The operator is told that the change is in force, not of
/// a failure.
#[test]
fn finds_its_record_when_the_answer_is_lost() {
    let log = FakeLog::start(Vec::new());
    lock(&log.stream).fault = Fault::LostAnswer;
    let mine = file("lost-answer.json", &team(0, "house"));
    let done = run(&log.fake.url(), "", &["config", "put", &mine]);
    assert_eq!(done.code, Some(0), "{done:?}");
}

/// The connection breaks and the record is nowhere to be seen, though it may yet land. The operator is told just that.
#[test]
fn says_unknown_when_its_record_is_not_found() {
    let log = FakeLog::start(Vec::new());
    lock(&log.stream).fault = Fault::LostRequest;
    let mine = file("lost-request.json", &team(0, "house"));
    let done = run(&log.fake.url(), "", &["config", "put", &mine]);
    assert_eq!(done.code, Some(5), "{done:?}");
}

#[test]
fn fails_when_the_log_refuses() {
    let log = FakeLog::start(Vec::new());
    lock(&log.stream).fault = Fault::Refused;
    let mine = file("refused.json", &team(0, "house"));
    let done = run(&log.fake.url(), "", &["config", "put", &mine]);
    assert_eq!(done.code, Some(1), "{done:?}");
}

/// The log has let the first records go, and a router published a checkpoint before. The operator notices nothing.
#[test]
fn begins_with_a_checkpoint_after_old_records_went() {
    let log = FakeLog::start(vec![team(0, "house").into_bytes()]);
    let url = log.fake.url();
    let before = run(&url, "", &["config", "get", "--json"]).json();
    let snapshot = json!({"next": 1, "version": 1, "documents": before["documents"]});
    let checkpoint = json!({"format": 1, "by": "vm-1", "checkpoint": snapshot});
    lock(&log.stream)
        .records
        .push(checkpoint.to_string().into_bytes());
    lock(&log.stream).first = 1;
    assert_eq!(run(&url, "", &["config", "get", "--json"]).json(), before);
    let next = file("checkpoint.json", &team(1, "team"));
    assert_eq!(run(&url, "", &["config", "put", &next]).code, Some(0));
}

/// The log has let the first records go. With a router to ask, the operator works on as if it had not; without one, it
/// is told what is missing.
#[test]
fn begins_with_a_routers_snapshot_after_old_records_went() {
    let log = FakeLog::start(vec![team(0, "house").into_bytes()]);
    let url = log.fake.url();
    let done = run(&url, "", &["config", "get", "--json"]);
    let shown: Value = done.json();
    let snapshot = json!({"next": 1, "version": 1, "documents": shown["documents"]});
    lock(&log.stream).first = 1;
    let router = Fake::start(move |_| Reply::Whole(200, snapshot.to_string()));
    let done = run(&url, &router.url(), &["config", "get", "--json"]);
    assert_eq!(done.json(), shown);
    assert_eq!(router.seen()[0].line, "GET /v1/admin/config");
    let next = file("snapshot.json", &team(1, "team"));
    let done = run(&url, &router.url(), &["config", "put", &next]);
    assert_eq!(done.code, Some(0), "{done:?}");
    let done = run(&url, "", &["config", "get"]);
    assert_eq!(done.code, Some(1));
    assert!(
        done.err.contains("the log keeps records from 1 on"),
        "{done:?}"
    );
}
