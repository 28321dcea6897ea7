//! The state machine of one generation to one caller.

use {
    crate::{
        Action, Chunk, Cursor, Event, Failure, Finish, Mode, Pace, ResumeToken, Settings, Start,
        cursor::Position,
    },
    base::{Instant, Machine, Reason, Refusal, Verdict, key},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// One generation to one caller.
///
/// Before a token reached the caller, the generation may be begun anew on another engine; after
/// that the same generation is resumed, or the answer ends with an explicit error.
#[derive(Debug)]
pub struct Session {
    settings: Settings,
    request: Box<str>,
    mode: Mode,
    deadline: Instant,
    random: SmallRng,
    state: State,
    /// The attempt under way; the last one once the session has ended.
    attempt: Option<Attempt>,
    attempts: u32,
    connections: u32,
    excluded: Vec<key::Target>,
    cursor: Cursor,
    pace: Pace,
    /// Resumes since the last new token.
    resumes: u32,
    /// Whether a token was handed to the caller.
    delivered: bool,
    /// Text held back until the whole answer is there.
    held: String,
    /// What is known of all attempts together.
    verdict: Verdict,
}

#[derive(Clone, Debug)]
struct Attempt {
    target: key::Target,
    request: Box<str>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Not started yet.
    Idle,
    /// Waits for the router.
    Routing,
    /// Reads a connection.
    Open(u32),
    /// Waits before a resume.
    Backoff(Instant),
    /// The caller is gone and may come back.
    Lingering(Instant),
    /// Nothing is left to do.
    Ended,
}

#[bon::bon]
impl Session {
    /// Makes a session for a new request.
    #[builder]
    pub fn new(
        request: &str,
        mode: Mode,
        deadline: Instant,
        settings: Settings,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            request: request.into(),
            mode,
            deadline,
            random: SmallRng::seed_from_u64(seed),
            state: State::Idle,
            attempt: None,
            attempts: 0,
            connections: 0,
            excluded: Vec::new(),
            cursor: Cursor::default(),
            pace: Pace::default(),
            resumes: 0,
            delivered: false,
            held: String::new(),
            verdict: Verdict::NotRun,
        }
    }

    /// Makes a session that goes on with a stream at a caller's resume token.
    pub fn resume(token: ResumeToken, deadline: Instant, settings: Settings, seed: u64) -> Self {
        let session = Self::builder()
            .request(&token.request)
            .mode(Mode::Streaming)
            .deadline(deadline)
            .settings(settings)
            .seed(seed)
            .build();
        Self {
            attempt: Some(Attempt {
                target: token.target,
                request: token.request,
            }),
            cursor: Cursor::at(token.generation, token.next),
            delivered: true,
            verdict: Verdict::Ran,
            ..session
        }
    }

    /// Returns the generation, once an event has fixed it.
    pub fn generation(&self) -> Option<&str> {
        self.cursor.generation()
    }

    /// Returns the engine and the id of the attempt under way.
    pub fn attempt(&self) -> Option<(key::Target, &str)> {
        let attempt = self.attempt.as_ref()?;
        Some((attempt.target, &attempt.request))
    }

    /// Returns whether nothing is left to do, a grace for the caller included.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    fn start(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.attempt.is_some() {
            self.connect(now, actions);
        } else {
            self.route(None, actions);
        }
    }

    fn route(&mut self, failure: Option<Failure>, actions: &mut Vec<Action>) {
        self.state = State::Routing;
        actions.push(Action::Route {
            excluded: self.excluded.clone(),
            failure,
        });
    }

    fn begin(&mut self, now: Instant, target: key::Target, actions: &mut Vec<Action>) {
        self.attempts += 1;
        // Each attempt has an id of its own, so that a late cancel can't meet a newer attempt.
        let request = match self.attempts {
            1 => self.request.clone(),
            number => format!("{}.{number}", self.request).into(),
        };
        self.attempt = Some(Attempt { target, request });
        self.connect(now, actions);
    }

    fn connect(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(attempt) = &self.attempt else { return };
        self.connections += 1;
        self.state = State::Open(self.connections);
        self.pace.restart(now);
        let start = match self.cursor.generation() {
            Some(generation) => Start::Resume {
                generation: generation.into(),
                index: self.cursor.next(),
            },
            None => Start::New,
        };
        actions.push(Action::Connect {
            connection: self.connections,
            target: attempt.target,
            request: attempt.request.clone(),
            start,
        });
    }

    fn chunk(&mut self, now: Instant, chunk: Chunk, actions: &mut Vec<Action>) {
        let Some(attempt) = &self.attempt else { return };
        self.pace.observe(now);
        let position = self.cursor.advance(&attempt.request, &chunk);
        if position != Position::Mismatched {
            self.verdict = Verdict::Ran;
        }
        match position {
            Position::Duplicate => {}
            Position::Gap => self.abandon(now, Failure::Gap, actions),
            Position::Mismatched => self.abandon(now, Failure::Mismatched, actions),
            Position::Next => self.deliver(chunk, actions),
        }
    }

    fn deliver(&mut self, chunk: Chunk, actions: &mut Vec<Action>) {
        self.resumes = 0;
        if let Some(finish) = chunk.finish {
            self.complete(finish, actions);
            return;
        }
        match self.mode {
            Mode::Buffered => self.held.push_str(&chunk.text),
            Mode::Streaming => {
                self.delivered = true;
                actions.push(Action::Token {
                    index: chunk.index,
                    text: chunk.text,
                });
            }
        }
    }

    fn complete(&mut self, finish: Finish, actions: &mut Vec<Action>) {
        let tokens = self.cursor.next();
        actions.push(match self.mode {
            Mode::Streaming => Action::Finish {
                index: tokens,
                finish,
            },
            Mode::Buffered => Action::Body {
                text: std::mem::take(&mut self.held).into(),
                tokens,
                finish,
            },
        });
        self.drop_connection(actions);
        self.state = State::Ended;
    }

    /// Gives a connection up and goes on without it.
    fn abandon(&mut self, now: Instant, failure: Failure, actions: &mut Vec<Action>) {
        self.drop_connection(actions);
        self.failed(now, failure, actions);
    }

    fn failed(&mut self, now: Instant, failure: Failure, actions: &mut Vec<Action>) {
        if !failure.is_not_run() && self.verdict == Verdict::NotRun {
            self.verdict = Verdict::MayHaveRun;
        }
        if failure == Failure::Rejected {
            let refusal = self.refusal(Reason::BadRequest, "the engine rejected the request");
            self.end(refusal, actions);
            return;
        }
        let resumable = self.cursor.generation().is_some() && failure != Failure::Unknown;
        if resumable && self.resumes < self.settings.max_resumes {
            self.state = State::Backoff(now + self.backoff());
            self.resumes += 1;
            return;
        }
        self.restart(now, failure, actions);
    }

    /// Begins anew elsewhere while nothing has reached the caller; ends the answer otherwise.
    fn restart(&mut self, now: Instant, failure: Failure, actions: &mut Vec<Action>) {
        if self.delivered {
            self.give_up(now, failure, actions);
            return;
        }
        if self.verdict != Verdict::NotRun {
            self.cancel(actions);
        }
        if self.attempts >= self.settings.max_attempts {
            let refusal = self.failure_refusal(failure);
            self.end(refusal, actions);
            return;
        }
        if let Some(attempt) = self.attempt.take() {
            self.excluded.push(attempt.target);
        }
        self.cursor = Cursor::default();
        self.pace = Pace::default();
        self.resumes = 0;
        self.held.clear();
        self.route(Some(failure), actions);
    }

    /// Ends an answer that has begun; the caller may resume it later, if the engine comes back.
    fn give_up(&mut self, now: Instant, failure: Failure, actions: &mut Vec<Action>) {
        actions.push(Action::Refuse(self.failure_refusal(failure)));
        self.state = match failure {
            Failure::Unknown => State::Ended,
            _ => State::Lingering(now + self.settings.grace),
        };
    }

    fn refuse(&mut self, refusal: Refusal, actions: &mut Vec<Action>) {
        let verdict = match (self.verdict, refusal.verdict) {
            (Verdict::NotRun, verdict) => verdict,
            (known, _) => known,
        };
        self.end(Refusal { verdict, ..refusal }, actions);
    }

    fn end(&mut self, refusal: Refusal, actions: &mut Vec<Action>) {
        actions.push(Action::Refuse(refusal));
        self.state = State::Ended;
    }

    fn expire(&mut self, actions: &mut Vec<Action>) {
        if self.state != State::Routing {
            self.raise_open();
            self.drop_connection(actions);
            self.cancel(actions);
        }
        let refusal = self.refusal(Reason::Deadline, "the deadline passed");
        self.end(refusal, actions);
    }

    fn caller_gone(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.drop_connection(actions);
        if self.delivered {
            self.state = State::Lingering(now + self.settings.grace);
            return;
        }
        self.cancel(actions);
        self.state = State::Ended;
    }

    fn adopted(&mut self, actions: &mut Vec<Action>) {
        if !matches!(self.state, State::Lingering(_)) {
            self.drop_connection(actions);
            actions.push(Action::Close);
        }
        self.state = State::Ended;
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let State::Lingering(until) = self.state {
            if now >= until {
                self.cancel(actions);
                self.state = State::Ended;
            }
            return;
        }
        if now >= self.deadline {
            self.expire(actions);
            return;
        }
        match self.state {
            State::Open(_) if now >= self.pace.deadline() => self.silence(now, actions),
            State::Backoff(until) if now >= until => self.connect(now, actions),
            _ => {}
        }
    }

    /// Judges a silent connection, unless it was this process that slept.
    fn silence(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now >= self.pace.deadline() + self.pace.timeout() {
            self.pace.restart(now);
            return;
        }
        self.abandon(now, Failure::Silent, actions);
    }

    fn drop_connection(&mut self, actions: &mut Vec<Action>) {
        if let State::Open(connection) = self.state {
            actions.push(Action::Disconnect { connection });
        }
    }

    fn cancel(&self, actions: &mut Vec<Action>) {
        let Some(attempt) = &self.attempt else { return };
        actions.push(Action::Cancel {
            target: attempt.target,
            request: attempt.request.clone(),
        });
    }

    /// An open connection may have carried the request to the engine.
    fn raise_open(&mut self) {
        if matches!(self.state, State::Open(_)) && self.verdict == Verdict::NotRun {
            self.verdict = Verdict::MayHaveRun;
        }
    }

    fn backoff(&mut self) -> Duration {
        let full = self
            .settings
            .backoff
            .saturating_mul(1 << self.resumes.min(16))
            .min(self.settings.max_backoff);
        // Streams that were cut together do not come back together.
        full.mul_f64(self.random.random_range(0.5..1.0))
    }

    fn failure_refusal(&self, failure: Failure) -> Refusal {
        let (reason, message) = match failure {
            Failure::Unreachable => (Reason::TargetLost, "the engine can't be reached"),
            Failure::Refused | Failure::Leaving => (Reason::TargetRefused, "the engine refused"),
            Failure::Mismatched => (Reason::TargetInvalid, "the engine sent another answer"),
            _ => (Reason::TargetLost, "the engine or the link to it was lost"),
        };
        self.refusal(reason, message)
    }

    fn refusal(&self, reason: Reason, message: &str) -> Refusal {
        Refusal {
            verdict: self.verdict,
            ..Refusal::not_run(reason, message)
        }
        .retry_after(self.settings.retry_after)
    }
}

impl Machine for Session {
    type Action = Action;
    type Event = Event;

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match (self.state, event) {
            (State::Ended, _) | (State::Lingering(_), Event::CallerDisconnected) => {}
            (State::Idle, Event::Started) => self.start(now, actions),
            (State::Routing, Event::Routed(target)) => self.begin(now, target, actions),
            (State::Routing, Event::Refused(refusal)) => self.refuse(refusal, actions),
            (State::Open(open), Event::Chunk { connection, chunk }) if open == connection => {
                self.chunk(now, chunk, actions);
            }
            (State::Open(open), Event::Heartbeat { connection }) if open == connection => {
                self.pace.observe(now);
            }
            (
                State::Open(open),
                Event::Failed {
                    connection,
                    failure,
                },
            ) if open == connection => {
                self.failed(now, failure, actions);
            }
            (_, Event::CallerDisconnected) => self.caller_gone(now, actions),
            (_, Event::Adopted) => self.adopted(actions),
            (_, Event::Tick) => self.tick(now, actions),
            // Late events of a connection that was given up.
            _ => {}
        }
    }

    fn next_timeout(&self) -> Option<Instant> {
        match self.state {
            State::Idle | State::Ended => None,
            State::Routing => Some(self.deadline),
            State::Open(_) => Some(self.pace.deadline().min(self.deadline)),
            State::Backoff(until) => Some(until.min(self.deadline)),
            State::Lingering(until) => Some(until),
        }
    }
}
