//! Stand-ins of the platform's store, of runners and of requesters for the cases of this review.
//!
//! `standin CASE FOLDER` plays a case against gateways that are started with the command of the
//! deploy file and settings made from its template. It writes `FOLDER/record.txt` and exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment it leaves out the disruption.

mod cases;
mod gateway;
mod http;
mod record;
mod runner;
mod store;

use std::{env, path::PathBuf, process::exit, thread, time::Duration};

/// Time after which a case is given up.
const MAX_DURATION: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            exit(2);
        }
    };
    let watchdog = record.clone();
    thread::spawn(move || {
        thread::sleep(MAX_DURATION);
        watchdog.line("verdict", "the case could not run: it took too long");
        exit(2);
    });
    let result = cases::play(case, &record, trouble);
    let code = match result {
        Ok(breaks) if breaks.is_empty() => {
            record.line("verdict", "the rule held");
            0
        }
        Ok(breaks) => {
            for entry in &breaks {
                record.line("broken", entry);
            }
            record.line(
                "verdict",
                &format!("the rule was broken {} times", breaks.len()),
            );
            1
        }
        Err(message) => {
            record.line("verdict", &format!("the case could not run: {message}"));
            2
        }
    };
    exit(code);
}
