//! Which replica a prompt goes to, by the streams that run there, in services that expect pauses by replica.

mod site;

use front::message::{Load, PackedLoad};
use front::routes;
use front::settings::{Mode, Scheduling};
use front::table::{Choice, Criteria, Table};
use hyper::HeaderMap;
use platform::config;
use platform::ingress;
use platform::replica::Resident;
use site::{HEARTBEAT, at, configuration, entry};
use unit::{Name, Span};

/// Table with the replicas `i-1` and `i-2`, and loads as another host reports them.
fn table(mode: Mode, loads: &[PackedLoad]) -> Table {
    let mut table = Table::new("a".into(), 1, HEARTBEAT);
    table.scheduling = Scheduling {
        pause_limits: mode,
        replica_speeds: Mode::On,
        ..Scheduling::default()
    };
    let bytes = configuration(1).to_string();
    let config = config::decode(bytes.as_bytes()).unwrap();
    assert!(table.set_routes(routes::build(config, 1)));
    for (id, revision) in [("i-1", 1), ("i-2", 2)] {
        let mut entry = entry(id);
        entry.service = "llm".into();
        entry.resident.push(Resident {
            model: "m1".into(),
            version: 1,
            adapters: Vec::new(),
        });
        table.view.put(entry, revision);
    }
    table.set_host_loads(&"b".into(), loads, at(0));
    table
}

fn choose(table: &mut Table, prompt: u64) -> Choice {
    let mut headers = HeaderMap::new();
    headers.insert("model", "m1".parse().unwrap());
    headers.insert("token-usage", format!("{prompt},50").parse().unwrap());
    let (service, metadata): (Name, _) = ("llm".into(), ingress::parse(&headers));
    let criteria = Criteria {
        service: &service,
        ask: &metadata,
        priority: 1,
        max_gap: Some(Span::from_ms(300)),
        excluded: &[],
        software: None,
        is_resumption: false,
    };
    table.choose(&criteria, at(10)).unwrap()
}

fn load(id: &str, requests: f32, prefill_ms: f32) -> PackedLoad {
    let load = Load {
        requests,
        prefill_ms: [0.0, prefill_ms, 0.0, 0.0],
        ..Load::default()
    };
    PackedLoad::new(id, &load)
}

/// The wait for the pending prompts is the shorter one, but it costs no running stream a long pause.
#[test]
fn a_long_prompt_goes_where_few_streams_run() {
    let loads = [load("i-1", 7.0, 0.0), load("i-2", 1.0, 120.0)];
    let mut with_limits = table(Mode::On, &loads);
    assert_eq!(&*choose(&mut with_limits, 8_000).replica, "i-2");
    let mut without = table(Mode::Off, &loads);
    let choice = choose(&mut without, 8_000);
    assert_eq!(&*choice.replica, "i-1");
    assert_eq!(choice.pause, None);
}

/// Guards against an idle replica that is left unused because it suits another kind of work better.
#[test]
fn an_idle_replica_is_preferred_to_a_busy_one_for_any_prompt() {
    for busy in ["i-1", "i-2"] {
        for prompt in [100, 8_000] {
            let mut table = table(Mode::On, &[load(busy, 6.0, 200.0)]);
            assert_ne!(&*choose(&mut table, prompt).replica, busy, "{prompt}");
        }
    }
}
