//! A caller that resumes through another entry VM gets the rest of its generation.

mod support;

use support::{Outcome, Setup};

/// A generation that outlasts the grace period after which the generation of a disconnected caller
/// is cancelled.
const PROMPT: &str = "a sheet for a whole week of bigos #tokens=1200";

/// The entry VM that the caller left must not cancel the generation at the end of the grace period,
/// while another entry VM delivers it.
#[test]
fn a_caller_that_went_on_elsewhere_does_not_lose_its_generation_after_the_grace() {
    let cluster = Setup::default().start();
    let mut stream = cluster.stream("vm-1", PROMPT).unwrap();
    let mut completion = stream.read(5);
    drop(stream);
    let resumed = cluster.resume("vm-2", &completion.resume_token, "alpha-key");
    let rest = resumed.unwrap().read_to_end();
    assert_eq!(rest.outcome, Outcome::Complete("stop".into()));
    assert_eq!(rest.generations, completion.generations);
    completion.tokens.extend(rest.tokens);
    let engine = cluster.engine_of(&completion);
    cluster.assert_prefix(&completion, &engine, PROMPT);
    assert_eq!(completion.tokens.len(), 1200);
}
