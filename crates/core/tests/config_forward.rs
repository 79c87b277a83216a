//! Configurations: forward only, whole by difference, equal everywhere.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on fails")]

use proptest::prelude::*;
use proptest::test_runner;
use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::manifest;

fn spec(name: &str, slots: u32) -> manifest::ServiceSpec {
    manifest::ServiceSpec {
        name: name.to_owned(),
        requests: Some(format!("10.0.0.{}:5683", name.len()).parse().unwrap()),
        datagrams: None,
        streams: Vec::new(),
        host_slots: slots,
        host_connections: 10,
        rules: manifest::ServiceRules::default(),
    }
}

fn whole(generation: u64, services: &[(&str, u32)]) -> config::ConfigDelta {
    let generation = ids::ConfigGeneration(generation);
    config::ConfigDelta {
        generation,
        removed_from: generation,
        changed: services.iter().map(|(name, slots)| (generation, spec(name, *slots))).collect(),
        ..config::ConfigDelta::default()
    }
}

/// A whole configuration that also lists every removal.
fn release(
    generation: u64,
    services: &[(&str, u32)],
    removed: &[(u64, &str)],
) -> config::ConfigDelta {
    let removal = |(generation, name): &(u64, &str)| {
        (ids::ConfigGeneration(*generation), ids::ServiceId::of_name(name))
    };
    config::ConfigDelta {
        removed: removed.iter().map(removal).collect(),
        removed_from: ids::ConfigGeneration(0),
        ..whole(generation, services)
    }
}

fn slots_of(state: &config::ConfigState, name: &str) -> Option<u32> {
    state.service(ids::ServiceId::of_name(name)).map(|spec| spec.host_slots)
}

/// Callers never see an accepted change undone.
/// An old configuration, held up on its way, arrives after a newer one is in force.
#[test]
fn late_configuration() {
    let mut state = config::ConfigState::default();
    state.advance(&whole(7, &[("a", 2)]));
    assert_eq!(state.advance(&whole(5, &[("a", 1)])), config::DeltaOutcome::Stale);
    assert_eq!(state.advance(&whole(7, &[("a", 1)])), config::DeltaOutcome::Stale);
    assert_eq!(slots_of(&state, "a"), Some(2));
}

/// A service that was removed is gone from every process, also from one that learns of it late.
/// The peer that tells of it started after the removal and never knew the service.
#[test]
fn removal_unseen() {
    let mut late = config::ConfigState::default();
    late.advance(&whole(3, &[("a", 1), ("bb", 1)]));
    let mut young = config::ConfigState::default();
    young.advance(&whole(5, &[("a", 1)]));
    late.advance(&young.delta_since(late.generation()));
    assert_eq!(slots_of(&late, "bb"), None);
    assert_eq!(late.generation(), young.generation());
}

/// A removal is passed on by a process that never had the service.
/// The third process gets the service from an old message, and then the difference of a peer that
/// skipped the generation in which the service was there.
#[test]
fn removal_skipped() {
    let mut source = config::ConfigState::default();
    source.advance(&whole(1, &[]));
    let mut skipping = source.clone();
    let mut third = source.clone();
    source.advance(&release(2, &[("a", 1)], &[]));
    let late = source.delta_since(ids::ConfigGeneration(1));
    source.advance(&release(3, &[], &[(3, "a")]));
    skipping.advance(&source.delta_since(ids::ConfigGeneration(1)));
    let difference = skipping.delta_since(ids::ConfigGeneration(1));
    third.advance(&late);
    third.advance(&difference);
    assert_eq!(slots_of(&third, "a"), None);
}

/// A difference that starts ahead of a process is not taken for the whole.
#[test]
fn delta_gap() {
    let mut ahead = config::ConfigState::default();
    ahead.advance(&release(3, &[("a", 1)], &[]));
    ahead.advance(&release(4, &[("a", 2)], &[]));
    let mut behind = config::ConfigState::default();
    behind.advance(&whole(2, &[("bb", 1)]));
    let delta = ahead.delta_since(ids::ConfigGeneration(3));
    assert_eq!(behind.advance(&delta), config::DeltaOutcome::Gap);
    assert_eq!(behind.generation(), ids::ConfigGeneration(2));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: test_runner::RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever path a configuration takes between processes, they end up equal.
    #[test]
    fn any_path(
        releases in prop::collection::vec(prop::collection::btree_map(0..6usize, 1..4u32, 0..6), 1..12),
        hops in prop::collection::vec((0..4usize, 0..4usize, any::<bool>()), 0..60),
        lists_removals in any::<bool>(),
    ) {
        let names = ["a", "bb", "ccc", "dddd", "eeeee", "ffffff"];
        let mut states = vec![config::ConfigState::default(); 4];
        let mut deltas = Vec::new();
        let mut hops = hops.into_iter();
        let mut gone = std::collections::BTreeMap::new();
        for (number, release) in releases.iter().enumerate() {
            let services: Vec<_> = release.iter().map(|(n, slots)| (names[*n], *slots)).collect();
            let generation = number as u64 + 1;
            let earlier = number.checked_sub(1).map(|number| &releases[number]);
            let dropped = earlier.into_iter().flat_map(|earlier| earlier.keys());
            dropped.filter(|n| !release.contains_key(n)).for_each(|n| {
                gone.insert(names[*n], generation);
            });
            gone.retain(|name, _| !services.iter().any(|(kept, _)| kept == name));
            let removed: Vec<_> = gone.iter().map(|(name, generation)| (*generation, *name)).collect();
            states[0].advance(&match lists_removals {
                true => self::release(generation, &services, &removed),
                false => whole(generation, &services),
            });
            for (from, to, is_late) in hops.by_ref().take(5) {
                let delta = states[from].delta_since(states[to].generation());
                match is_late {
                    true => deltas.push((to, delta)),
                    false => drop(states[to].advance(&delta)),
                }
            }
        }
        for (to, delta) in deltas {
            let before = states[to].generation();
            states[to].advance(&delta);
            prop_assert!(states[to].generation() >= before);
        }
        for to in 1..4 {
            let delta = states[0].delta_since(states[to].generation());
            states[to].advance(&delta);
            let all = |state: &config::ConfigState| state.services().cloned().collect::<Vec<_>>();
            prop_assert_eq!(all(&states[to]), all(&states[0]));
        }
    }
}
