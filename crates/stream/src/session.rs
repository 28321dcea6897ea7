//! State machine that delivers one generation to one caller.

use {
    crate::{
        Action, Chunk, Cursor, Event, Failure, Finish, Mode, Pace, ResumeToken, Settings, Start,
        cursor::Position,
    },
    base::{Instant, Machine, Reason, Refusal, Verdict, key},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Delivers one generation to one caller.
///
/// Until a token has reached the caller, a failed attempt may be retried on another engine as a
/// new generation. After that only the same generation can be resumed; if that fails, the
/// response ends with an error.
#[derive(Debug)]
pub struct Session {
    settings: Settings,
    request: Box<str>,
    mode: Mode,
    deadline: Instant,
    rng: SmallRng,
    state: State,
    /// The current attempt, or the last one after the session has ended.
    attempt: Option<Attempt>,
    /// Attempts made so far.
    attempts: u32,
    /// Connections opened so far; the last one has this number.
    connections: u32,
    /// Targets on which an attempt already failed.
    excluded: Vec<key::Target>,
    cursor: Cursor,
    pace: Pace,
    /// Resumes since the last new chunk.
    resumes: u32,
    /// Whether a token was sent to the caller.
    has_delivered: bool,
    /// Text so far of a response that is sent in one body.
    buffer: String,
    /// Whether the request ran, over all attempts.
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
    /// Waits for the router to choose a target.
    Routing,
    /// Reads the connection with this number.
    Open(u32),
    /// Waits until the given time before a resume.
    Backoff(Instant),
    /// Keeps the generation until the given time, for the caller to resume it.
    Lingering(Instant),
    /// Finished; every further event is ignored.
    Ended,
}

#[bon::bon]
impl Session {
    /// Creates a session for a new request; `seed` drives the jitter of its backoff.
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
            rng: SmallRng::seed_from_u64(seed),
            state: State::Idle,
            attempt: None,
            attempts: 0,
            connections: 0,
            excluded: Vec::new(),
            cursor: Cursor::default(),
            pace: Pace::default(),
            resumes: 0,
            has_delivered: false,
            buffer: String::new(),
            verdict: Verdict::NotRun,
        }
    }

    /// Creates a session that resumes a stream at a caller's resume token.
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
            has_delivered: true,
            verdict: Verdict::Ran,
            ..session
        }
    }

    /// Returns the id of the generation, or `None` before the first chunk.
    pub fn generation(&self) -> Option<&str> {
        self.cursor.generation()
    }

    /// Returns the engine and the id of the current or last attempt.
    pub fn attempt(&self) -> Option<(key::Target, &str)> {
        let attempt = self.attempt.as_ref()?;
        Some((attempt.target, &attempt.request))
    }

    /// Returns whether the session has finished, including the caller's time to resume.
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

    fn start_attempt(&mut self, now: Instant, target: key::Target, actions: &mut Vec<Action>) {
        self.attempts += 1;
        // A unique id per attempt, so that a late cancellation can't hit a newer attempt.
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

    fn handle_chunk(&mut self, now: Instant, chunk: Chunk, actions: &mut Vec<Action>) {
        let Some(attempt) = &self.attempt else { return };
        self.pace.observe(now);
        let position = self.cursor.advance(&attempt.request, &chunk);
        if position != Position::Mismatched {
            self.verdict = Verdict::Ran;
        }
        match position {
            Position::Duplicate => {}
            Position::Gap => self.fail_connection(now, Failure::Gap, actions),
            Position::Mismatched => self.fail_connection(now, Failure::Mismatched, actions),
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
            Mode::Buffered => self.buffer.push_str(&chunk.text),
            Mode::Streaming => {
                self.has_delivered = true;
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
                text: std::mem::take(&mut self.buffer).into(),
                tokens,
                finish,
            },
        });
        self.disconnect(actions);
        self.state = State::Ended;
    }

    /// Closes a connection that misbehaved and handles it as failed.
    fn fail_connection(&mut self, now: Instant, failure: Failure, actions: &mut Vec<Action>) {
        self.disconnect(actions);
        self.handle_failure(now, failure, actions);
    }

    fn handle_failure(&mut self, now: Instant, failure: Failure, actions: &mut Vec<Action>) {
        if !failure.is_not_run() && self.verdict == Verdict::NotRun {
            self.verdict = Verdict::MayHaveRun;
        }
        if failure == Failure::Rejected {
            let refusal = self.refusal(Reason::BadRequest, "the engine rejected the request");
            self.end(refusal, actions);
            return;
        }
        let is_resumable = self.cursor.generation().is_some() && failure != Failure::Unknown;
        if is_resumable && self.resumes < self.settings.max_resumes {
            self.state = State::Backoff(now + self.backoff());
            self.resumes += 1;
            return;
        }
        self.retry(now, failure, actions);
    }

    /// Retries on another engine if no token has reached the caller; ends the response otherwise.
    fn retry(&mut self, now: Instant, failure: Failure, actions: &mut Vec<Action>) {
        if self.has_delivered {
            self.interrupt(now, failure, actions);
            return;
        }
        if self.verdict != Verdict::NotRun {
            self.cancel(actions);
        }
        if self.attempts >= self.settings.max_attempts {
            let refusal = self.refusal_for(failure);
            self.end(refusal, actions);
            return;
        }
        if let Some(attempt) = self.attempt.take() {
            self.excluded.push(attempt.target);
        }
        self.cursor = Cursor::default();
        self.pace = Pace::default();
        self.resumes = 0;
        self.buffer.clear();
        self.route(Some(failure), actions);
    }

    /// Ends a partial response with an error; the caller may resume it if the engine comes back.
    fn interrupt(&mut self, now: Instant, failure: Failure, actions: &mut Vec<Action>) {
        actions.push(Action::Refuse(self.refusal_for(failure)));
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
            self.mark_may_have_run();
            self.disconnect(actions);
            self.cancel(actions);
        }
        let refusal = self.refusal(Reason::Deadline, "the deadline passed");
        self.end(refusal, actions);
    }

    fn handle_caller_disconnect(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.disconnect(actions);
        if self.has_delivered {
            self.state = State::Lingering(now + self.settings.grace);
            return;
        }
        self.cancel(actions);
        self.state = State::Ended;
    }

    fn handle_adoption(&mut self, actions: &mut Vec<Action>) {
        if !matches!(self.state, State::Lingering(_)) {
            self.disconnect(actions);
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
            State::Open(_) if now >= self.pace.deadline() => self.handle_timeout(now, actions),
            State::Backoff(until) if now >= until => self.connect(now, actions),
            _ => {}
        }
    }

    /// Fails a connection that timed out, or restarts its timeout if this process was paused.
    ///
    /// A tick a whole timeout late means that the process did not run, so the silence says nothing
    /// about the engine.
    fn handle_timeout(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now >= self.pace.deadline() + self.pace.timeout() {
            self.pace.restart(now);
            return;
        }
        self.fail_connection(now, Failure::Silent, actions);
    }

    fn disconnect(&mut self, actions: &mut Vec<Action>) {
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

    /// Raises the verdict if an open connection may have carried the request to the engine.
    fn mark_may_have_run(&mut self) {
        if matches!(self.state, State::Open(_)) && self.verdict == Verdict::NotRun {
            self.verdict = Verdict::MayHaveRun;
        }
    }

    fn backoff(&mut self) -> Duration {
        let delay = self
            .settings
            .backoff
            .saturating_mul(1 << self.resumes.min(16))
            .min(self.settings.max_backoff);
        // Jitter, so that streams that failed together do not resume together.
        delay.mul_f64(self.rng.random_range(0.5..1.0))
    }

    fn refusal_for(&self, failure: Failure) -> Refusal {
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
            (State::Routing, Event::Routed(target)) => self.start_attempt(now, target, actions),
            (State::Routing, Event::Refused(refusal)) => self.refuse(refusal, actions),
            (State::Open(open), Event::Chunk { connection, chunk }) if open == connection => {
                self.handle_chunk(now, chunk, actions);
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
                self.handle_failure(now, failure, actions);
            }
            (_, Event::CallerDisconnected) => self.handle_caller_disconnect(now, actions),
            (_, Event::Adopted) => self.handle_adoption(actions),
            (_, Event::Tick) => self.tick(now, actions),
            // Late events of a connection that was already closed.
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
