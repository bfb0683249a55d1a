//! Replicas that say in the store that they leave, while some hosts do not hear from the store.

mod site;

use front::Daemon;
use platform_standin::proxy::{Mode, Proxy};
use platform_standin::replica::Replica;
use platform_standin::store::{Copy, Store};
use rstest::rstest;
use site::{daemon, daemon_behind_proxy, send_load, store, until, web};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time after a host could know of a departure within which it must stop sending new requests.
const BOUND: Duration = Duration::from_millis(2_000);

/// Time for which the store does not answer some hosts.
const AWAY: Duration = Duration::from_millis(6_000);

/// Time for which load continues after it answers them again.
const AFTER: Duration = Duration::from_millis(4_500);

const PATHS: &[&str] = &["/once/x", "/again/x"];

/// A replica that leaves and one that stays, and hosts that each have a link of their own to the store.
struct Site {
    store: Store,
    leaving: Replica,
    _staying: Replica,
    hosts: Vec<Daemon>,
    links: Vec<Proxy>,
}

async fn site(count: usize) -> Site {
    let store = store().await;
    let leaving = web(&store, "i-1").await;
    let staying = web(&store, "i-2").await;
    let (mut hosts, mut links) = (Vec::new(), Vec::new());
    for n in 1..=count {
        let (host, link) = daemon_behind_proxy(&store, &format!("d{n}")).await;
        hosts.push(host);
        links.push(link);
    }
    let knows_all = |host: &Daemon| host.state().table.lock().host_count == count;
    until(|| hosts.iter().all(knows_all)).await;
    Site {
        store,
        leaving,
        _staying: staying,
        hosts,
        links,
    }
}

/// What becomes of the entry of the replica that leaves, which serves on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Entry {
    Stays,
    Goes,
    /// It goes, and the history of it.
    GoesUnseen,
}

/// Which hosts the store does not answer.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Cut {
    Leader,
    AllButLeader,
    AllButOneFollower,
    /// All hosts, the last for a second longer than the others.
    All,
}

impl Site {
    /// Links of the hosts that the store does not answer.
    fn cut_links(&self, cut: Cut) -> Vec<&Proxy> {
        let leads = |n: &usize| self.hosts[*n].state().leads();
        let indices = 0..self.hosts.len();
        let leader = indices.clone().find(leads).unwrap();
        let follower = indices.clone().find(|n| *n != leader).unwrap();
        let is_cut = |n: &usize| match cut {
            Cut::Leader => *n == leader,
            Cut::AllButLeader => *n != leader,
            Cut::AllButOneFollower => *n != follower,
            Cut::All => true,
        };
        indices.filter(is_cut).map(|n| &self.links[n]).collect()
    }

    /// Runs load over all hosts through a departure that hosts behind cut links do not hear of from the store, and
    /// returns how many requests came to the replica later than a bound after they could have.
    async fn late_arrivals(&self, cut: Cut, mode: Mode, entry: Entry) -> usize {
        send_load(&self.hosts, PATHS, Duration::from_millis(300)).await;
        let links = self.cut_links(cut);
        links.iter().for_each(|link| link.set(mode));
        sleep(Duration::from_millis(20)).await;
        self.leaving.announce_departure();
        let announced_at = self.leaving.announced_departure_at().unwrap();
        let change = async {
            sleep(AWAY / 2).await;
            match entry {
                Entry::Stays => {}
                Entry::Goes => self.leaving.remove_entry(),
                Entry::GoesUnseen => self.store.remove_and_compact(&self.leaving.key()),
            }
            sleep(AWAY / 2).await;
            let returned_at = Instant::now();
            let (last, others) = links.split_last().unwrap();
            others.iter().for_each(|link| link.set(Mode::Pass));
            if cut == Cut::All {
                sleep(Duration::from_millis(1_000)).await;
            }
            last.set(Mode::Pass);
            returned_at
        };
        let load = send_load(&self.hosts, PATHS, AWAY + AFTER);
        let (returned_at, statuses) = tokio::join!(change, load);
        let served = statuses.iter().filter(|status| **status == 200).count();
        println!("{served} of {} requests were served", statuses.len());
        // Hosts reach each other all the time: what one of them hears, all can know.
        let known_by_some = match cut {
            Cut::All => returned_at,
            _ => announced_at,
        };
        self.leaving.arrivals_after(known_by_some + BOUND).len()
    }
}

/// Guards against requests to a replica that leaves from hosts that the store turns away meanwhile: at their return they see
/// that the entry has gone, not that it said so before, and take it for a lapse.
#[rstest]
#[case::one_silent_stays(Cut::Leader, Mode::DropToTarget, Entry::Stays)]
#[case::one_silent_goes(Cut::Leader, Mode::DropToTarget, Entry::Goes)]
#[case::most_silent_stays(Cut::AllButLeader, Mode::DropFromTarget, Entry::Stays)]
#[case::most_silent_goes(Cut::AllButLeader, Mode::DropFromTarget, Entry::Goes)]
#[case::most_silent_goes_unseen(Cut::AllButLeader, Mode::DropToTarget, Entry::GoesUnseen)]
#[case::most_reset_goes(Cut::AllButLeader, Mode::Reset, Entry::Goes)]
#[case::most_with_leader_silent_goes(Cut::AllButOneFollower, Mode::DropToTarget, Entry::Goes)]
#[case::most_with_leader_reset_stays(Cut::AllButOneFollower, Mode::Reset, Entry::Stays)]
#[case::most_with_leader_reset_goes(Cut::AllButOneFollower, Mode::Reset, Entry::Goes)]
#[case::most_with_leader_reset_goes_unseen(Cut::AllButOneFollower, Mode::Reset, Entry::GoesUnseen)]
#[case::all_silent_goes(Cut::All, Mode::DropToTarget, Entry::Goes)]
#[case::all_reset_goes(Cut::All, Mode::Reset, Entry::Goes)]
#[tokio::test]
async fn hosts_that_the_store_turns_away_hear_of_a_departure(
    #[case] cut: Cut,
    #[case] mode: Mode,
    #[case] entry: Entry,
) {
    let site = site(4).await;
    assert_eq!(site.late_arrivals(cut, mode, entry).await, 0);
}

/// Guards against requests to a replica that leaves without a word but that its entry goes, from hosts that the store turns
/// away meanwhile.
#[rstest]
#[case::leader_silent(Cut::Leader, Mode::DropToTarget)]
#[case::leader_reset(Cut::Leader, Mode::Reset)]
#[case::most_silent(Cut::AllButLeader, Mode::DropFromTarget)]
#[case::most_reset(Cut::AllButLeader, Mode::Reset)]
#[case::most_with_leader_silent(Cut::AllButOneFollower, Mode::DropToTarget)]
#[case::most_with_leader_reset(Cut::AllButOneFollower, Mode::Reset)]
#[tokio::test]
async fn hosts_that_the_store_turns_away_hear_of_a_removal(#[case] cut: Cut, #[case] mode: Mode) {
    let site = site(4).await;
    send_load(&site.hosts, PATHS, Duration::from_millis(300)).await;
    let links = site.cut_links(cut);
    links.iter().for_each(|link| link.set(mode));
    sleep(Duration::from_millis(20)).await;
    site.leaving.remove_entry();
    let removed_at = Instant::now();
    let returns = async {
        sleep(AWAY).await;
        links.iter().for_each(|link| link.set(Mode::Pass));
    };
    let load = send_load(&site.hosts, PATHS, AWAY + AFTER);
    tokio::join!(returns, load);
    let late = site.leaving.arrivals_after(removed_at + BOUND);
    let late: Vec<Duration> = late.iter().map(|at| *at - removed_at).collect();
    assert!(late.is_empty(), "{late:?}");
}

/// Hosts of a fleet in which most hosts hear from the store by way of others.
const FLEET: usize = 10;

/// Guards against hosts that miss a departure since those that read the store for them are turned away by it, and that take
/// the removal after it for a lapse.
#[rstest]
#[case::silent(Mode::DropToTarget, 1_200)]
#[case::silent_later(Mode::DropToTarget, 2_000)]
#[case::unanswered(Mode::DropFromTarget, 2_000)]
#[case::reset(Mode::Reset, 1_200)]
#[tokio::test]
async fn hosts_hear_of_a_departure_while_their_readers_do_not(
    #[case] mode: Mode,
    #[case] gone_after_ms: u64,
) {
    let site = site(FLEET).await;
    let readers = || site.hosts[0].state().readers.assigned();
    until(|| readers().iter().any(|reader| reader.root)).await;
    send_load(&site.hosts, PATHS, Duration::from_millis(1_500)).await;
    let assigned = readers();
    let reads_for_others = |n: &usize| {
        let addr = site.hosts[*n].state().settings.peers;
        assigned.iter().any(|reader| reader.addr == addr)
    };
    for n in (0..FLEET).filter(reads_for_others) {
        site.links[n].set(mode);
    }
    site.leaving.announce_departure();
    let announced_at = site.leaving.announced_departure_at().unwrap();
    let change = async {
        sleep(Duration::from_millis(gone_after_ms)).await;
        site.leaving.remove_entry();
    };
    let load = send_load(&site.hosts, PATHS, BOUND + AFTER);
    tokio::join!(change, load);
    assert_eq!(site.leaving.arrivals_after(announced_at + BOUND).len(), 0);
}

/// Guards against a departure that is forgotten with the removed replica, and one that hosts never hear of since they start
/// later, when a copy of the store lists the replica again as ready.
#[rstest]
#[case::known_to_all(false)]
#[case::a_host_starts(true)]
#[tokio::test]
async fn a_departure_outlasts_the_entry_and_a_return_from_a_copy(#[case] starts: bool) {
    let mut site = site(3).await;
    let copy: Copy = site.store.copy();
    send_load(&site.hosts, PATHS, Duration::from_millis(300)).await;
    site.leaving.announce_departure();
    let announced_at = site.leaving.announced_departure_at().unwrap();
    sleep(Duration::from_millis(1_500)).await;
    site.leaving.remove_entry();
    sleep(Duration::from_millis(1_500)).await;
    site.store.restore(&copy);
    let knows_era = |host: &Daemon| {
        let table = host.state().table.lock();
        table
            .view
            .contact
            .came_back_within(unit::Span::from_ms(60_000), host.state().now())
    };
    until(|| site.hosts.iter().all(knows_era)).await;
    if starts {
        let late = daemon(&site.store, "late").await;
        site.hosts.push(late);
        // The new host hears from the others within some rounds.
        sleep(BOUND).await;
    }
    let after = Instant::now().max(announced_at + BOUND);
    send_load(&site.hosts, PATHS, Duration::from_millis(8_000)).await;
    assert_eq!(site.leaving.arrivals_after(after).len(), 0);
}

/// Heartbeats after which the store drops the entry of a silent replica.
const LAPSE: Duration = Duration::from_millis(3 * 1_200);

/// Guards against a replica that had gone, and that hosts use again since a copy of the store lists it: its entry lapses, but
/// hosts hear of that up to two seconds later.
#[tokio::test]
async fn a_replica_that_had_gone_is_not_used_before_its_entry_in_a_copy_lapses() {
    let site = site(3).await;
    let copy: Copy = site.store.copy();
    send_load(&site.hosts, PATHS, Duration::from_millis(300)).await;
    site.leaving.remove_entry();
    sleep(Duration::from_millis(1_500)).await;
    let gone_at = Instant::now();
    site.store.restore(&copy);
    let lapse = async {
        sleep(LAPSE).await;
        site.store.set_deaf(true);
        site.store.remove(&site.leaving.key());
        sleep(Duration::from_millis(1_500)).await;
        site.store.set_deaf(false);
    };
    let load = send_load(&site.hosts, PATHS, Duration::from_millis(8_000));
    tokio::join!(lapse, load);
    let late = site.leaving.arrivals_after(gone_at);
    let late: Vec<Duration> = late.iter().map(|at| *at - gone_at).collect();
    assert!(late.is_empty(), "{late:?}");
}
