//! Which services call for the optional parts of scheduling, by their configuration and the settings.

use front::features::{Features, Size, of};
use front::settings::{Mode, Scheduling};
use platform::config::{Engine, Service};
use rstest::rstest;
use unit::Span;

fn service(engine: Option<Engine>) -> Service {
    Service {
        name: "web".into(),
        max_connections: 100,
        engine,
    }
}

fn engine(slots: u32, token_capacity: u64) -> Engine {
    Engine {
        slots,
        token_capacity,
        memory_mb: 200_000.0,
        adapter_slots: 8,
        host_memory_mb: 100_000.0,
        tokens_per_event: 5,
        loads_per_second: 10.0,
        models: Vec::new(),
    }
}

#[rstest]
#[case::long_prompts(32, 170_000, Some(400), true)]
#[case::unbounded_pauses(32, 170_000, None, true)]
#[case::no_prompt_fits_into_a_pause(32, 170_000, Some(300), false)]
#[case::short_prompts(64, 150_000, Some(400), false)]
fn models_with_long_prompts_call_for_speeds(
    #[case] slots: u32,
    #[case] capacity: u64,
    #[case] max_pause_ms: Option<u64>,
    #[case] expected: bool,
) {
    let max_pause = max_pause_ms.map(Span::from_ms);
    let service = service(Some(engine(slots, capacity)));
    let features = of(&service, max_pause, Size::default(), &Scheduling::default());
    assert_eq!(features.replica_speeds, expected);
    assert_eq!(features.early_copies, expected);
    assert!(!features.waiting_room, "only by the settings");
    assert!(!features.dispatch);
}

#[rstest]
#[case::few_places(24, 70, true)]
#[case::enough_places(18, 9, false)]
#[case::no_replica(0, 70, false)]
fn plain_services_with_few_places_call_for_dispatch(
    #[case] places: u32,
    #[case] hosts: usize,
    #[case] expected: bool,
) {
    let features = of(
        &service(None),
        None,
        Size { places, hosts },
        &Scheduling::default(),
    );
    assert_eq!(features.dispatch, expected);
    assert!(!features.replica_speeds);
}

#[rstest]
fn settings_override_the_configuration() {
    let off = Scheduling {
        replica_speeds: Mode::Off,
        pause_limits: Mode::Off,
        waiting_room: Mode::Off,
        dispatch: Mode::Off,
        early_copies: Mode::Off,
        shedding: Mode::Off,
        evict_idle_models: Mode::Off,
    };
    let few = Size {
        places: 18,
        hosts: 9,
    };
    let long = service(Some(engine(32, 170_000)));
    assert_eq!(of(&long, None, few, &off), Features::default());
    let on = Scheduling {
        dispatch: Mode::On,
        ..off
    };
    assert!(of(&service(None), None, few, &on).dispatch);
}
