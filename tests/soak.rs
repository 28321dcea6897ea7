//! A randomized soak: gateways as real processes under faults from outside, with the promises
//! checked from what clients and targets see.
//!
//! `SOAK_SEEDS=1-50 SOAK_SECONDS=6 cargo test -p mastictrail-cli --test soak` plays other seeds;
//! seeds that ever failed stand in [`REGRESSIONS`].

mod support;

use {
    fakes::{
        proxy,
        site::{
            Target,
            store::Mood,
            target::{Behaviour, Seen},
        },
    },
    hyper::{Method, StatusCode},
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        collections::HashMap,
        io::{BufRead as _, BufReader, Write as _},
        net::{SocketAddr, TcpStream},
        sync::{
            Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    support::{
        process::free_address,
        site::{
            RESUMABLE_PATH, Response, SAFE_PATH, STREAM_PATH, Site, UNSAFE_PATH, event_stream,
            read_to_end, send, start_gateway,
        },
        wait_until,
    },
};

/// Seeds that failed once, with the cause.
const REGRESSIONS: [u64; 0] = [];
/// Seeds of a run without other orders.
const SEEDS: [u64; 2] = [1, 2];
/// Length of the faults of one seed, without other orders.
const SECONDS: u64 = 4;
const ENGINES: usize = 4;
const SERVICES: usize = 2;
const GATEWAYS: usize = 2;
const CLIENTS: usize = 6;
/// Events of every answer.
const EVENTS: u64 = 40;

/// Targets that are replaced under the same proxied address.
struct Slot {
    name: String,
    service: &'static str,
    target: Mutex<Target>,
    proxied: SocketAddr,
    generation: AtomicU64,
}

struct Soak {
    site: Mutex<Site>,
    slots: Vec<Slot>,
    /// Targets that have ended, for what they have seen.
    retired: Mutex<Vec<Target>>,
    control: Mutex<BufReader<TcpStream>>,
    clients: Vec<SocketAddr>,
    version: AtomicU64,
    is_over: AtomicBool,
    responses: Mutex<Vec<(String, &'static str, Response)>>,
}

impl Soak {
    fn start() -> Self {
        let control = free_address();
        smol::spawn(async move {
            let listener = smol::net::TcpListener::bind(control).await?;
            proxy::serve(listener, proxy::Settings::default()).await
        })
        .detach();
        wait_until("the proxy listens", || TcpStream::connect(control).is_ok());
        let stream = TcpStream::connect(control).expect("the proxy listens");
        let mut soak = Self {
            site: Mutex::new(Site::new()),
            slots: Vec::new(),
            retired: Mutex::default(),
            control: Mutex::new(BufReader::new(stream)),
            clients: Vec::new(),
            version: AtomicU64::new(1),
            is_over: AtomicBool::new(false),
            responses: Mutex::default(),
        };
        for index in 0..ENGINES + SERVICES {
            let (kind, service) = if index < ENGINES {
                ("e", "engines")
            } else {
                ("s", "ledger")
            };
            soak.add_slot(&format!("{kind}-{index}"), service);
        }
        let store = free_address();
        let mut site = soak.site.lock().expect("the lock is not poisoned");
        site.publish(1, |_| {});
        soak.order(&format!("tcp store {store} {}", site.store.address));
        site.start_gateways(GATEWAYS, store);
        soak.clients = site
            .gateways
            .iter()
            .map(|gateway| gateway.clients)
            .collect();
        drop(site);
        soak.wait_for_service();
        soak
    }

    fn add_slot(&mut self, name: &str, service: &'static str) {
        let proxied = free_address();
        let site = self.site.lock().expect("the lock is not poisoned");
        let target = Target::start(
            free_address(),
            &format!("{name}-0"),
            service == "engines",
            &site.copies,
        );
        let target = target.expect("an address of our own");
        drop(site);
        self.order(&format!("tcp {name} {proxied} {}", target.address));
        let slot = Slot {
            name: name.to_owned(),
            service,
            target: Mutex::new(target),
            proxied,
            generation: AtomicU64::new(0),
        };
        self.register(&slot, "ready");
        self.slots.push(slot);
    }

    fn register(&self, slot: &Slot, state: &str) {
        let site = self.site.lock().expect("the lock is not poisoned");
        let target = slot.target.lock().expect("the lock is not poisoned");
        target.advertise(slot.proxied);
        target.behave(Behaviour {
            events: EVENTS,
            ..Behaviour::default()
        });
        site.register_at(&target, slot.proxied, slot.service, "dc-1", state);
    }

    /// Gives the proxy an order.
    fn order(&self, order: &str) {
        let mut control = self.control.lock().expect("the lock is not poisoned");
        writeln!(control.get_mut(), "{order}").expect("the proxy runs");
        let mut answer = String::new();
        control.read_line(&mut answer).expect("the proxy answers");
        assert!(answer.starts_with("ok"), "{order}: {answer}");
    }

    /// Ends a target, with or without notice, and starts another one in its place.
    fn replace(&self, slot: &Slot, with_notice: bool) {
        if with_notice {
            self.register(slot, "draining");
            thread::sleep(Duration::from_millis(400));
        }
        let instance = slot
            .target
            .lock()
            .expect("the lock is not poisoned")
            .instance
            .clone();
        slot.target
            .lock()
            .expect("the lock is not poisoned")
            .crash();
        let generation = slot.generation.fetch_add(1, Ordering::Relaxed) + 1;
        let site = self.site.lock().expect("the lock is not poisoned");
        site.store.remove(&format!("servers/{instance}"));
        let address = slot
            .target
            .lock()
            .expect("the lock is not poisoned")
            .address;
        let name = format!("{}-{generation}", slot.name);
        let start = || Target::start(address, &name, slot.service == "engines", &site.copies);
        let mut target = None;
        // The former listener is closed by another thread.
        wait_until("the address is free again", || {
            target = start().ok();
            target.is_some()
        });
        let target = target.expect("it has been started");
        drop(site);
        let former = std::mem::replace(
            &mut *slot.target.lock().expect("the lock is not poisoned"),
            target,
        );
        self.retired
            .lock()
            .expect("the lock is not poisoned")
            .push(former);
        self.register(slot, "ready");
    }

    /// Injects one fault and waits until it has passed.
    fn inject(&self, random: &mut SmallRng) {
        let pause = Duration::from_millis(random.random_range(100..1_500));
        let slot = self.slots.choose(random).expect("there are targets");
        let vm = random.random_range(0..GATEWAYS);
        match random.random_range(0..12) {
            0 => self.replace(slot, true),
            1 => self.replace(slot, false),
            2 => self
                .site
                .lock()
                .expect("the lock is not poisoned")
                .restart(vm),
            3 => self.stop_and_start(vm, pause),
            4 => {
                self.freeze(vm, true);
                thread::sleep(pause);
                self.freeze(vm, false);
            }
            5 => {
                let mood = if random.random() {
                    Mood::Busy
                } else {
                    Mood::Silent
                };
                self.site
                    .lock()
                    .expect("the lock is not poisoned")
                    .store
                    .set_mood(mood);
                thread::sleep(pause);
                self.site
                    .lock()
                    .expect("the lock is not poisoned")
                    .store
                    .set_mood(Mood::Well);
            }
            6 => self
                .site
                .lock()
                .expect("the lock is not poisoned")
                .store
                .compact(),
            7 => {
                let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
                self.site
                    .lock()
                    .expect("the lock is not poisoned")
                    .publish(version, |_| {});
            }
            8 => self.order(&format!("cut {}", slot.name)),
            fault => {
                let name = if random.random_bool(0.2) {
                    "store"
                } else {
                    &*slot.name
                };
                let order = match fault {
                    9 => format!("silence {name}"),
                    10 => format!("block {name}"),
                    _ => format!("delay {name} 60"),
                };
                self.order(&order);
                thread::sleep(pause);
                self.order(&format!("heal {name}"));
            }
        }
    }

    fn stop_and_start(&self, vm: usize, pause: Duration) {
        self.site.lock().expect("the lock is not poisoned").gateways[vm]
            .process
            .terminate();
        thread::sleep(pause);
        let mut site = self.site.lock().expect("the lock is not poisoned");
        site.gateways[vm].process.kill();
        site.gateways[vm].process = start_gateway(&site.gateways[vm].settings);
    }

    fn freeze(&self, vm: usize, is_frozen: bool) {
        let site = self.site.lock().expect("the lock is not poisoned");
        let process = &site.gateways[vm].process;
        if is_frozen {
            process.freeze();
        } else {
            process.thaw();
        }
    }

    /// Sends requests of all kinds until the faults are over.
    fn be_client(&self, number: usize, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed ^ (number as u64) << 32);
        let mut count = 0;
        while !self.is_over.load(Ordering::Relaxed) {
            count += 1;
            let attempt = format!("c{number}-{count}");
            let (method, path) = *[
                (&Method::POST, STREAM_PATH),
                (&Method::POST, RESUMABLE_PATH),
                (&Method::POST, UNSAFE_PATH),
                (&Method::GET, SAFE_PATH),
            ]
            .choose(&mut random)
            .expect("there are kinds");
            let address = *self
                .clients
                .choose(&mut random)
                .expect("there are gateways");
            let headers = [
                ("x-attempt-id", &*attempt),
                ("x-token-usage", "1000,500"),
                ("x-deadline-ms", "8000"),
            ];
            if let Ok(response) = send(address, method, path, &headers) {
                let response = read_to_end(response);
                self.responses
                    .lock()
                    .expect("the lock is not poisoned")
                    .push((attempt, path, response));
            }
            thread::sleep(Duration::from_millis(random.random_range(1..60)));
        }
    }

    /// Waits until every gateway serves every kind of request.
    fn wait_for_service(&self) {
        for address in &self.clients {
            for (method, path) in [
                (&Method::POST, STREAM_PATH),
                (&Method::POST, UNSAFE_PATH),
                (&Method::GET, SAFE_PATH),
            ] {
                wait_until("all is served again", || {
                    let headers = [("x-attempt-id", "last"), ("x-token-usage", "10,40")];
                    let response = send(*address, method, path, &headers).map(read_to_end);
                    response.is_ok_and(|response| {
                        response.status == StatusCode::OK && response.body.is_some()
                    })
                });
            }
        }
    }

    fn seen(&self) -> Vec<Seen> {
        let retired = self.retired.lock().expect("the lock is not poisoned");
        let mut seen: Vec<_> = retired.iter().flat_map(Target::seen).collect();
        for slot in &self.slots {
            seen.extend(slot.target.lock().expect("the lock is not poisoned").seen());
        }
        seen
    }

    /// Checks the promises on all that clients and targets have seen.
    fn check(&self, seed: u64) -> usize {
        let mut runs: HashMap<Box<str>, usize> = HashMap::new();
        for seen in self.seen().into_iter().filter(|seen| seen.ran) {
            // A run that goes on from its memory is the same run.
            let is_new = !seen.headers.contains_key("kv-from");
            let ran = runs.entry(seen.attempt.clone()).or_default();
            *ran += usize::from(is_new);
            let may_repeat =
                [SAFE_PATH, RESUMABLE_PATH].contains(&&*seen.path) || &*seen.attempt == "last";
            assert!(
                *ran <= 1 || may_repeat,
                "seed {seed}: {} ran {ran} times",
                seen.attempt
            );
        }
        let responses = self.responses.lock().expect("the lock is not poisoned");
        let whole = event_stream(EVENTS);
        for (attempt, path, response) in responses.iter() {
            let ran = runs.get(&**attempt).copied().unwrap_or_default();
            let context = format!(
                "seed {seed}: {attempt} {path}: {:?}, ran {ran}",
                response.status
            );
            if response.status == StatusCode::SERVICE_UNAVAILABLE
                && *path != SAFE_PATH
                && *path != RESUMABLE_PATH
            {
                assert_eq!(ran, 0, "not run, and yet it ran: {context}");
            }
            if response.status != StatusCode::OK {
                continue;
            }
            if [STREAM_PATH, RESUMABLE_PATH].contains(path) {
                assert!(
                    whole.starts_with(&response.received),
                    "events are wrong: {context}: {}",
                    response.received
                );
                assert!(
                    response.body.as_ref().is_none_or(|body| *body == whole),
                    "looks whole: {context}"
                );
            } else if let Some(body) = &response.body {
                assert!(
                    body.ends_with(&format!("ran {attempt}")),
                    "another answer: {context}: {body}"
                );
            }
        }
        responses
            .iter()
            .filter(|(_, _, response)| response.status == StatusCode::OK && response.body.is_some())
            .count()
    }
}

fn play(seed: u64, seconds: u64) {
    let soak = Soak::start();
    let end = Instant::now() + Duration::from_secs(seconds);
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let soak = &soak;
            scope.spawn(move || soak.be_client(number, seed));
        }
        let injectors: Vec<_> = (0..2)
            .map(|injector| {
                let soak = &soak;
                scope.spawn(move || {
                    let mut random = SmallRng::seed_from_u64(seed * 1_000 + injector);
                    while Instant::now() < end {
                        soak.inject(&mut random);
                        thread::sleep(Duration::from_millis(random.random_range(50..400)));
                    }
                })
            })
            .collect();
        for injector in injectors {
            injector.join().expect("the faults are injected");
        }
        soak.is_over.store(true, Ordering::Relaxed);
    });
    soak.order("heal *");
    soak.wait_for_service();
    let served = soak.check(seed);
    assert!(served > 0, "seed {seed}: nothing was served");
    println!(
        "seed {seed}: {served} of {} served",
        soak.responses
            .lock()
            .expect("the lock is not poisoned")
            .len()
    );
}

#[test]
fn the_promises_hold_under_random_faults() {
    let seconds = std::env::var("SOAK_SECONDS")
        .ok()
        .and_then(|text| text.parse().ok());
    let seeds: Vec<u64> = match std::env::var("SOAK_SEEDS") {
        Ok(range) => {
            let (first, last) = range.split_once('-').unwrap_or((&range, &range));
            (first.parse().expect("a seed")..=last.parse().expect("a seed")).collect()
        }
        Err(_) => SEEDS.into_iter().chain(REGRESSIONS).collect(),
    };
    for seed in seeds {
        play(seed, seconds.unwrap_or(SECONDS));
    }
}
