//! Stand-ins for the cases of the second review: a small site around real gateway processes.
//!
//! `site SCENARIO FOLDER` starts the store, the runners and the clients as threads, the gateways as
//! child processes, plays the scenario and writes `record.txt` into the folder. It exits with 1 if the
//! rule of the case was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out. Everything is on loopback addresses and the real clock; only the standard library
//! is used.

#[path = "site2_client.rs"]
mod client;
#[path = "site2_gateway.rs"]
mod gateway;
#[path = "site2_link.rs"]
mod link;
#[path = "site2_record.rs"]
mod record;
#[path = "site2_runner.rs"]
mod runner;
#[path = "site2_scenario.rs"]
mod scenario;
#[path = "site2_store.rs"]
mod store;

use std::{env, path::PathBuf, process::ExitCode, thread, time::Duration};

/// Time after which a case is given up, within the 120 seconds that it may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: site SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new(&PathBuf::from(folder).join("record.txt"));
    let limited = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        limited.line("the case takes too long");
        gateway::kill_all();
        std::process::exit(2);
    });
    let result = scenario::run(name, &record, has_trouble);
    gateway::kill_all();
    match result {
        Ok(outcome) => {
            record.line(&format!("result: {outcome:?}"));
            ExitCode::from(match outcome {
                scenario::Outcome::Held => 0,
                scenario::Outcome::Broken => 1,
            })
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
