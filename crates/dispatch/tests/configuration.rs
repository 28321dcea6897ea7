//! Lookup of the route, service and customer of a request.

use {
    base::key,
    mastictrail_dispatch::{
        Configuration,
        configuration::{Customer, Limits, RetryPolicy, Route, Share},
    },
    std::time::Duration,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        retry_policy: RetryPolicy::Idempotent,
        is_stream: false,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        priority: 0,
        shares: Vec::new(),
        max_attempts: 2,
        is_public: false,
        gap_objective: None,
    }
}

fn configuration() -> Configuration {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ];
    let customers = vec![Customer {
        name: "alpha".into(),
        api_keys: vec!["k-1".into(), "k-2".into()],
    }];
    Configuration::new(7, Limits::default(), routes, Vec::new(), customers)
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let configuration = configuration();
    let name = |host, path| configuration.route(host, path).map(|route| &*route.name);
    assert_eq!(name("a.example", "/x/1"), Some("short"));
    assert_eq!(name("a.example", "/x/y/1"), Some("long"));
    assert_eq!(name("a.example:8740", "/x/y/1"), Some("long"));
    assert_eq!(name("b.example", "/x/y/1"), Some("other"));
    assert_eq!(name("a.example", "/z/"), None);
    assert_eq!(name("c.example", "/x/1"), None);
}

#[test]
fn every_api_key_of_a_customer_identifies_it() {
    let configuration = configuration();
    let name = |key| configuration.customer(key).map(|customer| &*customer.name);
    assert_eq!(
        [name("k-1"), name("k-2"), name("k-3")],
        [Some("alpha"), Some("alpha"), None]
    );
}

#[test]
fn a_service_is_picked_by_weight() {
    let shares = [("a", 90), ("b", 0), ("c", 10)].map(|(name, weight)| Share {
        service: key::Service::of(name),
        weight,
    });
    let route = Route {
        shares: shares.into(),
        ..route("split", "a.example", "/x/")
    };
    let picks = (0..1000).map(|sample| route.pick_service(f64::from(sample) / 1000.0));
    let picks: Vec<_> = picks.collect();
    let count = |name| {
        picks
            .iter()
            .filter(|pick| **pick == Some(key::Service::of(name)))
            .count()
    };
    assert_eq!([count("a"), count("b"), count("c")], [900, 0, 100]);
}
