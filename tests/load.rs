//! The load generator: workloads, arrivals, recorded samples, and a small run.

use {
    mastictrail_cli::{
        client::{self, Response},
        embedded::{CUSTOMER_KEY, Cluster, MODEL, MODEL_SERVICE, Spec},
        load::{
            record::{Outcome, Sample, Stats},
            run, schedule,
            workload::{self, Customer, Workload},
        },
    },
    serde_json::json,
    smol::Timer,
    std::{fs, path::PathBuf, time::Duration},
};

fn workload_directory() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/workloads")
}

fn small_workload() -> Workload {
    let text = "[workload]\nname = small\nduration = 2s\nwarmup = 0s\nload = 0.2\n\
        [system]\nvms = 2\nengines = 2\nstep = 5ms\n\
        [kind lookup]\nshare = 0.7\nmedian = 5\nspread = 0.3\ndeadline = 60s\npriority = 5\n\
        [kind draft]\nshare = 0.3\nmedian = 20\nspread = 0.3\ndeadline = 60s\n\
        [customer anna]\nshare = 0.5\n[customer jan]\nshare = 0.5\n";
    workload::parse("small", text).expect("the workload is valid")
}

#[test]
fn every_shipped_workload_is_sound_and_can_be_carried() {
    let mut count = 0;
    for entry in fs::read_dir(workload_directory()).expect("the directory is readable") {
        let path = entry.expect("the directory entry is readable").path();
        let text = fs::read_to_string(&path).expect("the file is readable");
        let workload =
            workload::parse(&path.display().to_string(), &text).expect("the workload is valid");
        assert!(workload.capacity() > 1.0, "{}", path.display());
        assert!(!schedule::arrivals(&workload).is_empty());
        count += 1;
    }
    assert!(count >= 12);
}

#[test]
fn a_fault_in_a_workload_is_named_with_its_line() {
    let text = "[workload]\nname = w\nlaod = 0.9\n[kind a]\nshare = -1\n[customer c]\nshare = 1\n";
    let faults = workload::parse("w.ini", text).expect_err("two keys are invalid");
    let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
    assert!(
        faults[0].starts_with("w.ini:3: [workload] laod"),
        "{faults:?}"
    );
    assert!(
        faults[1].starts_with("w.ini:5: [kind a] share"),
        "{faults:?}"
    );
}

/// Adding a customer to a workload must not change the requests of the others, so that runs are
/// comparable.
#[test]
fn arrivals_depend_on_the_seed_and_not_on_other_customers() {
    let workload = small_workload();
    let mut extended = workload.clone();
    extended.customers.push(Customer {
        name: "greedy".into(),
        weight: 1,
        share: 2.0,
    });
    let arrivals_of = |workload: &Workload, customer| -> Vec<_> {
        let arrivals = schedule::arrivals(workload).into_iter();
        let arrivals = arrivals.filter(|arrival| arrival.customer == customer);
        arrivals
            .map(|arrival| (arrival.at, arrival.prompt))
            .collect()
    };
    assert_eq!(arrivals_of(&workload, 0), arrivals_of(&extended, 0));
    assert_eq!(arrivals_of(&workload, 1), arrivals_of(&extended, 1));
    assert!(arrivals_of(&extended, 2).len() > arrivals_of(&extended, 0).len());
    let other = Workload {
        seed: 2,
        ..small_workload()
    };
    assert_ne!(arrivals_of(&workload, 0), arrivals_of(&other, 0));
}

/// Measuring from the actual send time would hide the waits that an overloaded system causes.
#[test]
fn stall_counts_each_wait_beyond_the_pace_from_the_intended_arrival() {
    let sample = Sample {
        kind: 0,
        customer: 0,
        arrival: Duration::ZERO,
        outcome: Outcome::Good,
        token_times: [400, 500, 1_500].map(Duration::from_millis).to_vec(),
        elapsed: Duration::from_millis(1_500),
    };
    let pace = Duration::from_millis(250);
    assert_eq!(sample.stall_time(pace), Duration::from_millis(150 + 750));
    let silent = Sample {
        token_times: Vec::new(),
        ..sample.clone()
    };
    assert_eq!(silent.stall_time(pace), Duration::from_millis(1_250));
    let mut stats = Stats::default();
    stats.add(&sample, pace);
    stats.add(
        &Sample {
            outcome: Outcome::RefusedWithoutRetryAfter,
            ..silent
        },
        pace,
    );
    assert_eq!(
        (stats.good, stats.refused, stats.refused_without_retry_after),
        (1, 1, 1)
    );
}

#[test]
fn a_small_run_serves_and_counts_every_request() {
    smol::block_on(async {
        let workload = small_workload();
        let sent = schedule::arrivals(&workload).len() as u64;
        let run = run::run_embedded(&workload, "predictive")
            .await
            .expect("the cluster starts");
        assert_eq!(run.total(|stats| stats.arrived), sent);
        assert_eq!(run.total(|stats| stats.good), sent);
        assert_eq!(run.generations, sent);
    });
}

async fn complete(cluster: &Cluster, class: &str, tokens: u32) -> Response {
    let prompt = format!("#tokens={tokens}");
    let body = json!({"model": MODEL, "class": class, "prompt": prompt, "stream": true});
    let headers = [("authorization", format!("Bearer {CUSTOMER_KEY}"))];
    let url = format!("/{MODEL_SERVICE}/v1/completions");
    let response = client::post(
        cluster.caller_addresses[0],
        &url,
        &headers,
        &body.to_string(),
    )
    .await;
    response.expect("the entry VM responds")
}

#[test]
fn the_deadline_of_a_class_holds_in_place_of_the_services() {
    smol::block_on(async {
        let spec = Spec {
            classes: format!(
                "[class {MODEL_SERVICE} patient]\n\
                 [class {MODEL_SERVICE} hasty]\ndeadline = 1s\n"
            )
            .into(),
            ..Spec::default()
        };
        let cluster = Cluster::start(spec).await.expect("the cluster starts");
        while client::get(cluster.admin_addresses[0], "/ready")
            .await
            .expect("the entry VM responds")
            .status
            != 200
        {
            Timer::after(Duration::from_millis(20)).await;
        }
        let patient = complete(&cluster, "patient", 100).await;
        assert!(patient.body.ends_with(b"data: [DONE]\n\n"));
        let hasty = complete(&cluster, "hasty", 2_000).await;
        let text = String::from_utf8_lossy(&hasty.body).into_owned();
        assert!(text.contains("event: error"), "{text}");
        assert!(!text.contains("[DONE]"));
        cluster.kill().await;
    });
}
