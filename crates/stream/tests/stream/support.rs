//! Simulated engines: each creates its own generations and follows a script of faults.

use {
    base::{Instant, Machine, Reason, Refusal, key},
    mastictrail_stream::{Action, Chunk, Event, Failure, Finish, Mode, Session, Settings, Start},
    std::time::Duration,
};

/// Number of engines among which the router can choose.
const TARGETS: u64 = 3;

/// What the engine of the current connection does next.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Next,
    Duplicate,
    SkipChunk,
    OtherRequest,
    OtherGeneration,
    /// A chunk arrives on a connection that the session has closed.
    LateOnClosedConnection,
    Disconnect,
    StaySilent,
    /// The process does not run for 30 s, so that the next tick is late.
    ProcessPaused,
    Heartbeat,
    Refuse,
    /// The engine does not have the generation to resume.
    ForgetGeneration,
}

/// A generation as the engine produced it.
#[derive(Clone, Debug)]
pub struct Generation {
    pub id: Box<str>,
    pub request: Box<str>,
    pub length: u32,
}

impl Generation {
    pub fn text(&self, index: u32) -> Box<str> {
        format!("{}:{index} ", self.id).into()
    }

    pub fn full_text(&self) -> String {
        (0..self.length).map(|index| self.text(index)).collect()
    }

    pub fn chunk(&self, index: u32) -> Chunk {
        let finish = (index >= self.length).then_some(Finish::Stop);
        let text = match finish {
            Some(_) => Box::default(),
            None => self.text(index),
        };
        Chunk {
            generation: self.id.clone(),
            request: self.request.clone(),
            index: index.min(self.length),
            text,
            finish,
        }
    }
}

#[derive(Debug)]
struct Connection {
    number: u32,
    generation: Option<usize>,
    next: u32,
    is_first: bool,
}

#[derive(Debug)]
pub struct Simulation {
    pub session: Session,
    pub now: Instant,
    pub generations: Vec<Generation>,
    pub response: Vec<Action>,
    pub cancelled: Vec<Box<str>>,
    length: u32,
    connection: Option<Connection>,
}

impl Simulation {
    pub fn new(mode: Mode, length: u32) -> Self {
        let session = Session::builder()
            .request("r")
            .mode(mode)
            .deadline(Instant::default() + Duration::from_secs(100_000))
            .settings(Settings::default())
            .seed(7)
            .build();
        let mut simulation = Self {
            session,
            now: Instant::default(),
            generations: Vec::new(),
            response: Vec::new(),
            cancelled: Vec::new(),
            length,
            connection: None,
        };
        simulation.handle(Event::Started);
        simulation
    }

    /// Passes an event to the session and performs its actions.
    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.session.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    /// Runs one step of the script; advances to the session's timeout if no connection is open.
    pub fn step(&mut self, step: Step) {
        let Some(connection) = &self.connection else {
            self.wait();
            return;
        };
        let number = connection.number;
        let next = connection.next;
        self.now = self.now + Duration::from_millis(20);
        match step {
            Step::Next => self.send(next),
            Step::Duplicate => self.send(next.saturating_sub(1)),
            Step::SkipChunk => self.send(next + 1),
            Step::OtherRequest => self.send_modified(|chunk| chunk.request = "other".into()),
            // The first chunk sets the generation, so a mismatch is possible only after it.
            Step::OtherGeneration if self.session.generation().is_none() => self.send(next),
            Step::OtherGeneration => self.send_modified(|chunk| chunk.generation = "other".into()),
            Step::LateOnClosedConnection => self.send_late(),
            Step::Disconnect => self.fail(Failure::Disconnected),
            Step::Refuse => self.fail(Failure::Refused),
            Step::ForgetGeneration => self.fail(Failure::Unknown),
            Step::Heartbeat => self.handle(Event::Heartbeat { connection: number }),
            Step::StaySilent => self.wait(),
            Step::ProcessPaused => {
                self.now = self.now + Duration::from_secs(30);
                self.handle(Event::Tick);
            }
        }
    }

    /// Runs steps without a fault until the session has ended.
    pub fn settle(&mut self) {
        for _ in 0..1000 {
            if self.session.is_ended() {
                return;
            }
            self.step(Step::Next);
        }
        panic!("the session did not end: {:?}", self.session);
    }

    /// Advances to the session's timeout.
    pub fn wait(&mut self) {
        if let Some(timeout) = self.session.next_timeout() {
            self.now = self.now.max(timeout);
        }
        self.handle(Event::Tick);
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Route { excluded, .. } => self.route(&excluded),
            Action::Connect {
                connection,
                request,
                start,
                ..
            } => self.connect(connection, request, &start),
            Action::Disconnect { .. } => self.connection = None,
            Action::Cancel { request, .. } => self.cancelled.push(request),
            other => self.response.push(other),
        }
    }

    fn route(&mut self, excluded: &[key::Target]) {
        let target = (0..TARGETS)
            .map(key::Target::from_raw)
            .find(|target| !excluded.contains(target));
        self.handle(match target {
            Some(target) => Event::Routed(target),
            None => Event::Refused(Refusal::not_run(Reason::NoTarget, "none")),
        });
    }

    fn connect(&mut self, number: u32, request: Box<str>, start: &Start) {
        let connection = match start {
            Start::New => Connection {
                number,
                generation: Some(self.create_generation(request)),
                next: 0,
                is_first: true,
            },
            Start::Resume { generation, index } => Connection {
                number,
                generation: self
                    .generations
                    .iter()
                    .position(|other| other.id == *generation),
                next: *index,
                is_first: false,
            },
        };
        self.connection = Some(connection);
    }

    fn create_generation(&mut self, request: Box<str>) -> usize {
        let id = format!("g{}", self.generations.len()).into();
        self.generations.push(Generation {
            id,
            request,
            length: self.length,
        });
        self.generations.len() - 1
    }

    fn send(&mut self, index: u32) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        let Some(generation) = connection.generation else {
            return self.fail(Failure::Unknown);
        };
        connection.next = connection.next.max(index + 1);
        let number = connection.number;
        let chunk = self.generations[generation].chunk(index);
        self.handle(Event::Chunk {
            connection: number,
            chunk,
        });
    }

    fn send_modified(&mut self, change: impl FnOnce(&mut Chunk)) {
        let Some(connection) = &self.connection else {
            return;
        };
        let Some(generation) = connection.generation else {
            return;
        };
        let mut chunk = self.generations[generation].chunk(connection.next);
        change(&mut chunk);
        if chunk.finish.is_none() {
            chunk.text = "mismatched".into();
        }
        self.handle(Event::Chunk {
            connection: connection.number,
            chunk,
        });
    }

    /// Sends a late chunk on each connection that the session has closed.
    fn send_late(&mut self) {
        let Some(connection) = &self.connection else {
            return;
        };
        let next = connection.next;
        for closed in 0..connection.number {
            let chunk = self.generations[0].chunk(next);
            self.handle(Event::Chunk {
                connection: closed,
                chunk,
            });
        }
    }

    fn fail(&mut self, failure: Failure) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if failure.is_not_run() && connection.is_first && connection.next == 0 {
            // Refused before it started, so the generation does not exist.
            self.generations.pop();
        }
        self.handle(Event::Failed {
            connection: connection.number,
            failure,
        });
    }
}
