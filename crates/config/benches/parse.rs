//! Measures time and memory to parse a deployment of 350 VMs and 600 targets, by customers.
//!
//! `cargo bench -p mastictrail-config --bench parse [-- CUSTOMERS]`. The resident memory is
//! meaningful only in the first line of a run, since later ones reuse freed memory.

use {
    base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
    mastictrail_config::parse,
    sha2::{Digest, Sha256},
    std::{
        fmt::Write,
        hint::black_box,
        time::{Duration, Instant},
    },
};

const VMS: usize = 350;
const TARGETS: usize = 600;
const DATA_CENTRES: usize = 5;
const CUSTOMERS: [usize; 5] = [0, 4_000, 8_000, 16_000, 42_000];
const RUNS: usize = 15;
/// Snapshots held at once to measure the memory of one.
const SNAPSHOTS: usize = 16;
/// Size of a memory page in bytes.
const PAGE_SIZE: usize = 4096;

/// Form in which customers are configured.
#[derive(Clone, Copy, Debug)]
enum Form {
    /// A `[customer NAME]` section each.
    Section,
    /// A line of `[customers]` each.
    Line,
}

fn main() {
    let only = std::env::args().find_map(|text| text.parse::<usize>().ok());
    println!("form customers bytes median_ms lowest_ms accepted resident_kib");
    for form in [Form::Line, Form::Section] {
        for customers in CUSTOMERS {
            if only.is_none_or(|only| only == customers) {
                measure(form, customers);
            }
        }
    }
}

fn measure(form: Form, customers: usize) {
    let text = deployment(form, customers);
    let before = resident_bytes();
    let snapshots: Vec<_> = (0..SNAPSHOTS)
        .map(|_| parse::snapshot("bench", &text))
        .collect();
    let resident = resident_bytes().saturating_sub(before) / SNAPSHOTS / 1024;
    let accepted = snapshots.iter().all(Result::is_ok);
    drop(snapshots);
    let mut times: Vec<_> = (0..RUNS).map(|_| time(&text)).collect();
    times.sort_unstable();
    println!(
        "{form:?} {customers} {} {:.2} {:.2} {accepted} {resident}",
        text.len(),
        times[RUNS / 2].as_secs_f64() * 1e3,
        times[0].as_secs_f64() * 1e3,
    );
}

/// Returns the resident memory of this process, or 0 if the system does not report it.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).unwrap_or_default();
    pages.parse::<usize>().unwrap_or(0) * PAGE_SIZE
}

fn time(text: &str) -> Duration {
    let start = Instant::now();
    drop(black_box(parse::snapshot("bench", black_box(text))));
    start.elapsed()
}

fn deployment(form: Form, customers: usize) -> String {
    let mut text = String::from("[deployment]\nname = large\nversion = 1\n");
    for number in 0..DATA_CENTRES {
        push_line(
            &mut text,
            format_args!("[data_centre dc-{number}]\nregion = r"),
        );
    }
    push_line(
        &mut text,
        format_args!("[model base]\nversion = 1\nweight = 16GiB"),
    );
    push_line(
        &mut text,
        format_args!("[service drafts]\nkind = model\nmodels = base"),
    );
    for number in 0..VMS {
        let data_centre = number % DATA_CENTRES;
        push_line(
            &mut text,
            format_args!(
                "[vm entry-{number}]\ndata_centre = dc-{data_centre}\ninner = 10.1.{}.{}:8081",
                number / 250,
                number % 250,
            ),
        );
    }
    for number in 0..TARGETS {
        let data_centre = number % DATA_CENTRES;
        push_line(
            &mut text,
            format_args!(
                "[target engine-{number}]\nservice = drafts\ndata_centre = dc-{data_centre}\n\
                 address = 10.2.{}.{}:9000\nmemory_tokens = 240000",
                number / 250,
                number % 250,
            ),
        );
    }
    push_line(&mut text, format_args!("[customers]"));
    for number in 0..customers {
        let digest = Sha256::digest(number.to_le_bytes());
        match form {
            Form::Section => push_line(
                &mut text,
                format_args!("[customer c{number:05}]\nkey_sha256 = {digest:x}"),
            ),
            Form::Line => push_line(
                &mut text,
                format_args!("c{number:05}={}", URL_SAFE_NO_PAD.encode(digest)),
            ),
        }
    }
    text
}

fn push_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("a write to a string never fails");
}
