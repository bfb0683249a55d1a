//! Timelines of `coveford why request` from logs, as docs/OPERATIONS.md walks through them.

use cli::timeline::{build, parse};

const LOG: &str = r#"
  10.5 front-hall-c-1 {"host":"c1","timestamp":"2026-08-12T10:31:52.877873Z","level":"INFO","message":"news of a replica","event":"leaving","replica":"i-9f7c29cb8a","revision":61,"target":"view"}
{"host":"c1","timestamp":"2026-08-12T10:31:52.900000Z","level":"INFO","message":"news of a replica","event":"leaving","replica":"i-other","revision":62,"target":"view"}
{"host":"c1","timestamp":"2026-08-12T10:31:54.523873Z","level":"WARN","message":"the stream is broken off","event":"broken","id":"cfcd9a653bd04f86","route":"r-pdu6vcr","tried":"i-9f7c29cb8a","last":48,"ms":2319.068,"why":"lost: its stream broke off","target":"request"}
{"host":"b3","timestamp":"2026-08-12T10:31:44.682705Z","level":"INFO","message":"a sending brought no answer","event":"failed","id":"a12038f8ce540c5a","replica":"i-94c4785f64","addr":"10.2.64.32:8784","entry":12,"candidates":3,"why":"lost: it broke","target":"request"}
{"host":"b3","timestamp":"2026-08-12T10:31:44.682805Z","level":"WARN","message":"the request is given up","event":"refused","id":"a12038f8ce540c5a","route":"r-jpn73r9","status":502,"reason":"lost","ms":1.176,"why":"The answer could not be had","target":"request"}
{"host":"a1","timestamp":"2026-08-12T10:31:59.682805Z","level":"WARN","message":"the request is given up","event":"refused","id":"e3d534c64079d1c7","route":"r-jpn73r9","status":503,"reason":"overloaded","retry_after_ms":810.0,"ms":0.2,"why":"The request would wait 1.31 s for its first token.","target":"request"}
{"host":"a2","timestamp":"2026-08-12T10:31:59.700000Z","level":"INFO","message":"a request is not let in by its key","event":"refused","id":"k1","route":"r-1","status":401,"reason":"key_unknown","key":"3f09ac","version":38,"age_ms":412.0,"ms":0.0,"why":"No account holds this key.","target":"request"}
{"host":"a2","timestamp":"2026-08-12T10:31:59.710000Z","level":"INFO","message":"a request is not let in by its key","event":"refused","id":"k2","route":"r-1","status":503,"reason":"key_unconfirmed","account":"hule930","version":38,"age_ms":4120.0,"retry_after_ms":500.0,"ms":0.0,"why":"This host last heard of the accounts' keys 4.12 s ago.","target":"request"}
{"host":"a2","timestamp":"2026-08-12T10:31:59.720000Z","level":"WARN","message":"the request is given up","event":"refused","id":"q1","route":"r-1","account":"hule930","status":429,"reason":"over_quota","retry_after_ms":640.0,"ms":1.4,"why":"Account hule930 is over its limit of 10985 a second and 39546 at once; this request uses 1632.","target":"request"}
{"host":"b1","timestamp":"2026-08-12T10:32:20.100000Z","level":"INFO","message":"a replica in need takes so many requests a second from all hosts together","event":"named","replica":"i-55","rate":1.3,"by":"b2","target":"limit"}
{"host":"b1","timestamp":"2026-08-12T10:32:20.700000Z","level":"INFO","message":"a request goes to a replica in need","event":"sent","id":"n0","replica":"i-55","rate":1.3,"priority":2,"target":"limit"}
{"host":"b1","timestamp":"2026-08-12T10:32:21.000000Z","level":"WARN","message":"the request is given up","event":"refused","id":"n1","route":"r-1","status":503,"reason":"limited","retry_after_ms":900.0,"ms":1.1,"why":"The replicas that could take the request are in need, and take no more of them now.","target":"request"}
{"host":"c3","timestamp":"2026-08-12T10:33:20.000000Z","level":"INFO","message":"a replica says in an answer that it leaves","event":"leaving","replica":"i-66","id":"m0","by":"c3","target":"replica"}
{"host":"c3","timestamp":"2026-08-12T10:33:20.100000Z","level":"INFO","message":"a replica turned a request away and wants nothing from this host for a time","event":"rests","replica":"i-67","id":"m0","by":"c3","asked_ms":3000.0,"left_ms":3000.0,"first":true,"target":"replica"}
{"host":"c3","timestamp":"2026-08-12T10:33:20.200000Z","level":"INFO","message":"a request was not sent to a replica that wants none","event":"kept_back","id":"m1","replica":"i-67","why":"rests","placed_ms":41.0,"target":"replica"}
{"host":"c3","timestamp":"2026-08-12T10:33:21.000000Z","level":"WARN","message":"the request is given up","event":"refused","id":"m2","route":"r-1","status":503,"reason":"resting","retry_after_ms":2300.0,"ms":1.1,"why":"The replicas that could take the request take none from this host now.","target":"request"}
{"host":"c1","timestamp":"2026-08-12T10:34:02.000000Z","level":"INFO","message":"the replica refused the request","event":"turned_away","id":"v1","replica":"i-68","send":1,"port":40112,"connection":"new","verdict":"not_run","status":503,"named":"v1","not_executed":true,"signed":false,"target":"request"}
{"host":"c1","timestamp":"2026-08-12T10:34:02.050000Z","level":"INFO","message":"the replica refused the request","event":"turned_away","id":"v1","replica":"i-69","send":2,"port":40118,"connection":"kept","verdict":"foreign","status":429,"not_executed":true,"signed":false,"last":"v0","target":"request"}
not a line of a log
"#;

#[test]
fn a_broken_stream_shows_the_departure_of_its_replica() {
    let timeline = build("cfcd9a653bd04f86", &parse(LOG));
    assert_eq!(timeline.len(), 2, "{timeline:#?}");
    assert!(
        timeline[0].contains("-1646 ms  c1: [view leaving]"),
        "{}",
        timeline[0]
    );
    assert!(timeline[1].contains("behind event 48"), "{}", timeline[1]);
    assert!(timeline[1].contains("i-9f7c29cb8a"));
}

#[test]
fn an_unknown_outcome_names_the_replica_that_failed() {
    let timeline = build("a12038f8ce540c5a", &parse(LOG));
    assert!(timeline[0].contains("i-94c4785f64 at 10.2.64.32:8784 gave no answer"));
    assert!(timeline[1].contains("Whether it ran is not known."));
}

#[test]
fn a_refusal_shows_reason_and_retry_time() {
    let timeline = build("e3d534c64079d1c7", &parse(LOG));
    assert!(timeline[0].contains("overloaded"));
    assert!(timeline[0].contains("come back in 810 ms"));
}

#[test]
fn a_refused_key_shows_the_version_and_age_of_the_key_data() {
    let timeline = build("k1", &parse(LOG));
    assert!(timeline[0].contains("status 401"), "{}", timeline[0]);
    assert!(timeline[0].contains("It has not run, and would be refused again."));
    assert!(timeline[0].contains("configuration 38, as of 412 ms before"));
    let timeline = build("k2", &parse(LOG));
    assert!(timeline[0].contains("come back in 500 ms. Its account is hule930."));
    assert!(timeline[0].contains("as of 4120 ms before"));
}

#[test]
fn a_quota_refusal_shows_account_limit_and_usage() {
    let timeline = build("q1", &parse(LOG));
    assert!(timeline[0].contains("over its limit of 10985 a second"));
    assert!(timeline[0].contains("this request uses 1632"));
    assert!(timeline[0].contains("come back in 640 ms. Its account is hule930."));
}

#[test]
fn a_rate_limit_refusal_shows_the_limit_and_its_source() {
    let timeline = build("n1", &parse(LOG));
    assert_eq!(timeline.len(), 2, "{timeline:#?}");
    assert!(
        timeline[0].contains("i-55 is in need: by the word of b2 it takes 1.3 requests a second")
    );
    assert!(timeline[1].contains("limited") && timeline[1].contains("come back in 900 ms"));
    let timeline = build("n0", &parse(LOG));
    assert!(
        timeline.iter().any(|line| line.contains("It went to i-55")),
        "{timeline:#?}"
    );
}

#[test]
fn a_refusal_shows_departures_and_backoffs() {
    let timeline = build("m2", &parse(LOG));
    assert_eq!(timeline.len(), 3, "{timeline:#?}");
    assert!(timeline[0].contains("i-66 leaves, by its own word to c3"));
    assert!(
        timeline[1].contains("i-67 turned request m0 away and wants nothing from c3 for 3000 ms")
    );
    assert!(timeline[2].contains("resting") && timeline[2].contains("come back in 2300 ms"));
}

#[test]
fn a_request_held_back_names_the_replica_and_reason() {
    let timeline = build("m1", &parse(LOG));
    let sentence = "It was not sent to i-67, which rests, 41 ms after it had been chosen.";
    assert!(
        timeline.iter().any(|line| line.contains(sentence)),
        "{timeline:#?}"
    );
}

#[test]
fn an_unknown_request_has_no_timeline() {
    assert!(build("nobody", &parse(LOG)).is_empty());
}

/// Guards against a request whose way over two hosts cannot be followed from their logs.
#[test]
fn a_request_over_two_hosts_is_told_as_one() {
    let lines = [
        r#"{"host":"d1","timestamp":"2026-05-25T07:26:40.000Z","target":"paths","event":"isolated","message":"","known":21}"#,
        r#"{"host":"d2","timestamp":"2026-05-25T07:26:40.102Z","target":"request","event":"taken_over","message":"","id":"r1","from":"d1"}"#,
        r#"{"host":"d2","timestamp":"2026-05-25T07:26:40.103Z","target":"request","event":"sent","message":"","id":"r1","replica":"i-1","candidates":3,"expected_ms":40,"ms":3}"#,
        r#"{"host":"d1","timestamp":"2026-05-25T07:26:40.150Z","target":"request","event":"passed_on","message":"","id":"r1","host_addr":"10.0.0.2:8700","outcome":"status 200 OK","ms":50}"#,
    ];
    let told = build("r1", &parse(&lines.join("\n")));
    let expected = [
        "   -102 ms  d1: This host reaches none of the 21 replicas that it knows; requests go by way of other hosts.",
        "     +0 ms  d2: It was taken over from d1, which does not reach the replicas.",
        "     +1 ms  d2: It was sent to i-1, one of 3 candidates, 3 ms after it came; its first token was expected in 40 ms.",
        "    +48 ms  d1: It was passed on to the host at 10.0.0.2:8700, since this one does not reach the replicas: status 200 OK, 50 ms after it came.",
    ];
    assert_eq!(told, expected);
}

#[test]
fn each_answer_shows_its_send_its_connection_and_what_it_proved() {
    let timeline = build("v1", &parse(LOG));
    let expected = [
        "Send 1, on the new connection from port 40112: i-68 answered with status 503 for it, which counts as proof that it has not run.",
        "Send 2, on the kept connection from port 40118: i-69 answered with status 429 for no request that it names, which counts as no answer to this send.",
    ];
    for (line, expected) in timeline.iter().zip(expected) {
        assert!(line.contains(expected), "{line}");
    }
    assert_eq!(timeline.len(), expected.len());
}
