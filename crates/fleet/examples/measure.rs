//! Measures the membership over a simulated network with seeded loss; prints Markdown tables.
//!
//! `cargo run --release -p mastictrail-fleet --example measure`

#[path = "../tests/support/mod.rs"]
mod support;

use {
    base::key,
    mastictrail_fleet::{
        Action, Event, Observation, State,
        membership::{INDIRECT_PROBES, SUSPICION_TIMEOUT},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
    support::Network,
};

const SIZES: [usize; 5] = [4, 8, 16, 32, 70];
const SEEDS: u64 = 10;
const SECONDS_PER_HOUR: f64 = 3600.0;
const RUN_LIMIT: Duration = Duration::from_secs(120);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn converged(seed: u64, loss: f64, vms: usize) -> Network {
    let mut net = Network::with_deployment(seed, loss, 1, vms);
    net.run_until(RUN_LIMIT, Network::is_joined);
    net.run(seconds(10));
    net.nodes.iter_mut().for_each(|node| node.log.clear());
    net
}

/// Returns the median and the maximum.
fn median_and_max(mut times: Vec<f64>) -> (f64, f64) {
    times.sort_by(f64::total_cmp);
    let median = times.get(times.len() / 2).copied().unwrap_or(f64::NAN);
    (median, times.last().copied().unwrap_or(f64::NAN))
}

/// Counts how often any node logged a state of a member other than `except`.
fn count_findings(net: &Network, state: State, except: Option<usize>) -> usize {
    let except = except.map(|index| key::Vm::of(&net.nodes[index].name));
    let logs = net.nodes.iter().flat_map(|node| &node.log);
    logs.filter(|(_, action)| {
        matches!(
            action,
            Action::Member(member) if member.state == state && Some(member.key) != except
        )
    })
    .count()
}

/// Returns the CPU time of this thread.
fn thread_cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

fn detection() {
    println!("\n### Detection of a crash\n");
    println!("| members | loss | first peer, median s | max s | all peers, median s | max s |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for vms in SIZES {
        for loss in [0.0, 0.1] {
            let (mut first, mut all) = (Vec::new(), Vec::new());
            for seed in 0..SEEDS {
                let mut net = converged(seed, loss, vms);
                net.nodes[1].is_up = false;
                let start = net.now;
                let dead = |net: &Network| {
                    (0..vms).any(|observer| net.state_seen(observer, 1) == Some(State::Dead))
                };
                net.run_until(RUN_LIMIT, dead);
                first.push(net.now.since(start).as_secs_f64());
                net.run_until(RUN_LIMIT, |net| net.all_see(1, State::Dead));
                all.push(net.now.since(start).as_secs_f64());
            }
            let ((a, b), (c, d)) = (median_and_max(first), median_and_max(all));
            println!("| {vms} | {loss} | {a:.1} | {b:.1} | {c:.1} | {d:.1} |");
        }
    }
}

fn false_positives_under_loss() {
    println!("\n### Live members under datagram loss, a run of 1200 s, 3 seeds\n");
    println!(
        "| members | loss | suspicions per member and hour | wrongly declared dead, all observers together |"
    );
    println!("| --- | --- | --- | --- |");
    for vms in SIZES {
        for loss in [0.1, 0.2] {
            let (mut suspect, mut dead) = (0, 0);
            for seed in 0..3 {
                let mut net = converged(seed, loss, vms);
                net.run(seconds(1200));
                suspect += count_findings(&net, State::Suspect, None);
                dead += count_findings(&net, State::Dead, None);
            }
            let hours = 3.0 * 1200.0 / SECONDS_PER_HOUR * vms as f64;
            let rate = suspect as f64 / hours;
            println!("| {vms} | {loss} | {rate:.2} | {dead} |");
        }
    }
}

fn false_positives_under_pauses() {
    println!("\n### Pauses of one member at a time, every 30 s, 20 pauses, 5% loss\n");
    println!(
        "| members | pause s | paused member declared dead by | others suspected | others declared dead |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for vms in [8, 32] {
        for pause in [1, 2, 4, 8] {
            let (mut paused, mut suspects, mut dead) = (0, 0, 0);
            let mut rng = SmallRng::seed_from_u64(1);
            let mut net = converged(1, 0.05, vms);
            for _ in 0..20 {
                let index = rng.random_range(0..vms);
                net.nodes[index].is_frozen = true;
                net.run(seconds(pause));
                net.nodes[index].is_frozen = false;
                net.run(seconds(30 - pause));
                paused += net.count_declared_dead(index);
                suspects += count_findings(&net, State::Suspect, Some(index));
                dead += count_findings(&net, State::Dead, Some(index));
                net.nodes.iter_mut().for_each(|node| node.log.clear());
            }
            let share = paused as f64 / 20.0;
            println!("| {vms} | {pause} | {share:.1} peers | {suspects} | {dead} |");
        }
    }
}

fn traffic() {
    println!("\n### Bytes a second of one node with headers, and CPU time\n");
    println!("Each node holds counters of 24 targets that change every second.\n");
    println!(
        "| members | sent mean | sent max | received mean | datagrams sent a second | CPU, share of a core |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for vms in [4, 8, 16, 32, 70, 128] {
        let mut net = Network::new(1, 0.0);
        net.start(1, vms);
        net.run(seconds(30));
        net.nodes.iter_mut().for_each(|node| {
            (node.sent, node.received, node.datagrams) = (0, 0, 0);
        });
        let time = 120;
        let start = thread_cpu_time();
        for second in 0..time {
            for vm in 0..vms {
                for target in 0..24 {
                    let target = key::Target::of(&format!("t{target}"));
                    let (sent, finished) = (second * 9, second * 8);
                    net.handle(
                        vm,
                        Event::Usage {
                            target,
                            sent,
                            finished,
                            tokens: 4000 * second,
                        },
                    );
                }
            }
            net.run(seconds(1));
        }
        let cpu_percent = thread_cpu_time().saturating_sub(start).as_secs_f64()
            / (time as f64 * vms as f64)
            * 100.0;
        let mean = |value: fn(&support::Node) -> u64| {
            net.nodes.iter().map(value).sum::<u64>() as f64 / vms as f64 / time as f64
        };
        let max = net.nodes.iter().map(|node| node.sent).max().unwrap_or(0) / time;
        println!(
            "| {vms} | {:.0} | {max} | {:.0} | {:.1} | {cpu_percent:.3}% |",
            mean(|node| node.sent),
            mean(|node| node.received),
            mean(|node| node.datagrams),
        );
    }
}

fn departure_times() {
    println!("\n### Time until all members know of a leaving target, 10% loss\n");
    println!("| members | median s | max s |");
    println!("| --- | --- | --- |");
    for vms in SIZES {
        let mut times = Vec::new();
        for seed in 0..3 * SEEDS {
            let mut net = converged(seed, 0.1, vms);
            let target = key::Target::of("t1");
            net.handle(
                0,
                Event::TargetObserved {
                    target,
                    observation: Observation::Refused,
                },
            );
            let learned = |net: &Network| {
                net.nodes
                    .iter()
                    .all(|node| node.machine.departures().is_leaving(target))
            };
            let time = net.run_until(RUN_LIMIT, learned).unwrap_or(RUN_LIMIT);
            times.push(time.as_secs_f64());
        }
        let (median, max) = median_and_max(times);
        println!("| {vms} | {median:.2} | {max:.2} |");
    }
}

/// Simulates detection by majority; returns the wrong ejections per member and hour.
///
/// Each member pings every other one each second, once more if unanswered. A member is ejected
/// while more than half of the others have no answer from it. The second figure is for the rule
/// that a single observer decides.
fn vote_ejections(seed: u64, vms: usize, loss: f64, lossy: Option<f64>, time: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let loss_between = |one: usize, other: usize| match lossy {
        Some(loss) if one == 0 || other == 0 => loss,
        _ => loss,
    };
    let (mut ejected, mut by_one) = (0, 0);
    for _ in 0..time {
        let mut failed = vec![0; vms];
        for observer in 0..vms {
            for subject in (0..vms).filter(|&subject| subject != observer) {
                let answered = (1.0 - loss_between(observer, subject)).powi(2);
                let missed = (1.0 - answered).powi(2);
                failed[subject] += usize::from(rng.random_bool(missed));
            }
        }
        let healthy = usize::from(lossy.is_some())..vms;
        ejected += healthy
            .clone()
            .filter(|&subject| 2 * failed[subject] > vms - 1)
            .count();
        by_one += healthy.map(|subject| failed[subject]).sum::<usize>();
    }
    let hours = time as f64 / SECONDS_PER_HOUR * vms as f64;
    (
        ejected as f64 / hours,
        by_one as f64 / hours / (vms - 1) as f64,
    )
}

fn detection_rules() {
    println!("\n### Wrong ejections of healthy members, per member and hour, 8 members\n");
    println!("Lossy member: one member loses half of its datagrams, the others 2%.\n");
    println!("| rule | 10% loss | 20% loss | lossy member | crash detected by all, median s |");
    println!("| --- | --- | --- | --- | --- |");
    let scenarios = [(0.1, None), (0.2, None), (0.02, Some(0.5))];
    let vms = 8;
    let rules = [
        ("direct probes, no suspicion timeout", 0, Duration::ZERO),
        (
            "indirect probes, no suspicion timeout",
            INDIRECT_PROBES,
            Duration::ZERO,
        ),
        ("direct probes, suspicion timeout", 0, SUSPICION_TIMEOUT),
        (
            "indirect probes, suspicion timeout (in use)",
            INDIRECT_PROBES,
            SUSPICION_TIMEOUT,
        ),
    ];
    for (name, indirect_probes, suspicion_timeout) in rules {
        let mut cells = Vec::new();
        for (loss, lossy) in scenarios {
            let mut ejected = 0;
            for seed in 0..3 {
                let mut net = Network::new(seed, loss);
                net.detection = (indirect_probes, suspicion_timeout);
                net.start(1, vms);
                net.lossy = lossy.map(|loss| (0, loss));
                net.run(seconds(30));
                net.nodes.iter_mut().for_each(|node| node.log.clear());
                net.run(seconds(1200));
                ejected += count_findings(&net, State::Dead, lossy.map(|_| 0));
            }
            let rate =
                ejected as f64 / (vms - 1) as f64 / (3.0 * 1200.0 / SECONDS_PER_HOUR * vms as f64);
            cells.push(format!("{rate:.2}"));
        }
        let mut times = Vec::new();
        for seed in 0..SEEDS {
            let mut net = Network::new(seed, 0.02);
            net.detection = (indirect_probes, suspicion_timeout);
            net.start(1, vms);
            net.run(seconds(20));
            net.nodes[1].is_up = false;
            let time = net.run_until(RUN_LIMIT, |net| net.all_see(1, State::Dead));
            times.push(time.unwrap_or(RUN_LIMIT).as_secs_f64());
        }
        println!(
            "| {name} | {} | {:.1} |",
            cells.join(" | "),
            median_and_max(times).0
        );
    }
    let votes: Vec<_> = scenarios
        .iter()
        .map(|&(loss, lossy)| vote_ejections(1, vms, loss, lossy, 100_000))
        .collect();
    let cell = |value: fn(&(f64, f64)) -> f64| {
        let cells: Vec<_> = votes
            .iter()
            .map(|rates| format!("{:.2}", value(rates)))
            .collect();
        cells.join(" | ")
    };
    println!(
        "| every peer pings every second, one decides | {} | 1 to 2 |",
        cell(|rates| rates.1)
    );
    println!(
        "| every peer pings every second, majority decides | {} | 1 to 2 |",
        cell(|rates| rates.0)
    );
}

fn main() {
    detection();
    false_positives_under_loss();
    false_positives_under_pauses();
    traffic();
    departure_times();
    detection_rules();
}
