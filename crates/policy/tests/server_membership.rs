//! Servers that come, leave and come back, in whatever order the news arrives.

#[path = "support/world.rs"]
mod world;

use policy::{Health, LoadReport, ProbeResult};
use proptest::prelude::*;
use world::{World, class, report};

#[derive(Debug, Clone, Copy)]
enum News {
    Seen(u64),
    Leaving(u64),
    Gone(u64),
    Report(u64),
    Probe(ProbeResult),
}

fn news() -> impl Strategy<Value = News> {
    prop_oneof![
        (1..5_u64).prop_map(News::Seen),
        (1..5_u64).prop_map(News::Leaving),
        (1..5_u64).prop_map(News::Gone),
        (1..5_u64).prop_map(News::Report),
        Just(News::Probe(ProbeResult::Alive)),
        Just(News::Probe(ProbeResult::Dead)),
    ]
}

fn world() -> World {
    World::new(vec![class("chat", 1, 100)], 1, 4)
}

fn tell(world: &mut World, news: News) {
    let (key, now) = (world.backends[0], world.now);
    let sighting = |it| world.sighting("s0", it);
    match news {
        News::Seen(it) => {
            let sighting = sighting(it);
            world.scheduler.backend_live(now, &sighting);
        }
        News::Leaving(it) => {
            let sighting = sighting(it);
            world.scheduler.backend_leaving(now, &sighting);
        }
        News::Gone(it) => {
            let sighting = sighting(it);
            world.scheduler.backend_gone(now, &sighting);
        }
        News::Report(it) => world.scheduler.load_report(now, key, &report(it, 0, 4)),
        News::Probe(it) => world.scheduler.probe_result(key, now, it),
    }
}

proptest! {
    #![proptest_config(world::fixed(200))]

    #[test]
    fn leaving_stays_out(all in proptest::collection::vec(news(), 1..40)) {
        let mut world = world();
        let (mut newest, mut left) = (1, None);
        for it in all {
            tell(&mut world, it);
            if let News::Seen(inc) | News::Report(inc) | News::Leaving(inc) | News::Gone(inc) = it {
                newest = newest.max(inc);
            }
            if let News::Leaving(inc) | News::Gone(inc) = it {
                left = left.max(Some(inc));
            }
            let _ = world.try_offer("chat", "a");
            let dispatched = !world.dispatched().is_empty();
            let must_stay_out = left.is_some_and(|it| it >= newest);
            prop_assert!(!(must_stay_out && dispatched));
            world.pass(100);
        }
    }
}

#[test]
fn newer_incarnation_returns() {
    let mut world = world();
    tell(&mut world, News::Leaving(1));
    tell(&mut world, News::Seen(1));
    assert_eq!(world.scheduler.health(world.backends[0]), Some(Health::Leaving));
    tell(&mut world, News::Seen(2));
    tell(&mut world, News::Leaving(1));
    assert_eq!(world.scheduler.health(world.backends[0]), Some(Health::Up));
}

#[test]
fn report_without_incarnation() {
    let mut world = world();
    tell(&mut world, News::Leaving(1));
    tell(&mut world, News::Seen(2));
    let full = LoadReport { incarnation: None, ..report(0, 4, 4) };
    world.scheduler.load_report(world.now, world.backends[0], &full);
    world.offer("chat");
    assert_eq!(world.dispatched(), [], "the answers of the server that returned say it is full");
}

#[test]
fn leaving_finishes_streams() {
    let mut world = world();
    let ticket = world.offer("chat");
    world.poll();
    tell(&mut world, News::Leaving(1));
    assert_eq!(world.poll(), []);
    world.scheduler.first_token(ticket, world.now);
    world.finish(ticket);
    assert_eq!(world.scheduler.in_flight(world.backends[0]), 0);
}
