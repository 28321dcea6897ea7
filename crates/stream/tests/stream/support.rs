//! Engines as a stream sees them: each makes its own generations and obeys a script of faults.

use {
    base::{Instant, Machine, Reason, Refusal, key},
    mastictrail_stream::{Action, Chunk, Event, Failure, Finish, Mode, Session, Settings, Start},
    std::time::Duration,
};

/// Number of engines that the router can choose.
const TARGETS: u64 = 3;

/// What the engine under way does next.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Next,
    Duplicate,
    Skip,
    OtherRequest,
    OtherGeneration,
    LateOnOldConnection,
    Cut,
    Silent,
    Overslept,
    Heartbeat,
    Refuse,
    Forget,
}

/// One generation as an engine made it.
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

    pub fn whole(&self) -> String {
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
pub struct World {
    pub session: Session,
    pub now: Instant,
    pub generations: Vec<Generation>,
    pub answer: Vec<Action>,
    pub cancelled: Vec<Box<str>>,
    lengths: u32,
    connection: Option<Connection>,
}

impl World {
    pub fn new(mode: Mode, length: u32) -> Self {
        let session = Session::builder()
            .request("r")
            .mode(mode)
            .deadline(Instant::default() + Duration::from_secs(100_000))
            .settings(Settings::default())
            .seed(7)
            .build();
        let mut world = Self {
            session,
            now: Instant::default(),
            generations: Vec::new(),
            answer: Vec::new(),
            cancelled: Vec::new(),
            lengths: length,
            connection: None,
        };
        world.tell(Event::Started);
        world
    }

    /// Tells the session an event and obeys its actions.
    pub fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.session.handle(self.now, event, &mut actions);
        for action in actions {
            self.obey(action);
        }
    }

    /// Runs one step of the script; waits for the session's timeout if no connection is open.
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
            Step::Skip => self.send(next + 1),
            Step::OtherRequest => self.cross(|chunk| chunk.request = "other".into()),
            // The first event fixes the generation, so another one shows only after it.
            Step::OtherGeneration if self.session.generation().is_none() => self.send(next),
            Step::OtherGeneration => self.cross(|chunk| chunk.generation = "other".into()),
            Step::LateOnOldConnection => self.late(),
            Step::Cut => self.lose(Failure::Disconnected),
            Step::Refuse => self.lose(Failure::Refused),
            Step::Forget => self.lose(Failure::Unknown),
            Step::Heartbeat => self.tell(Event::Heartbeat { connection: number }),
            Step::Silent => self.wait(),
            Step::Overslept => {
                self.now = self.now + Duration::from_secs(30);
                self.tell(Event::Tick);
            }
        }
    }

    /// Lets the engines behave until the session has nothing left to do.
    pub fn settle(&mut self) {
        for _ in 0..1000 {
            if self.session.is_ended() {
                return;
            }
            self.step(Step::Next);
        }
        panic!("the session does not end: {:?}", self.session);
    }

    /// Advances to the session's timeout.
    pub fn wait(&mut self) {
        if let Some(timeout) = self.session.next_timeout() {
            self.now = self.now.max(timeout);
        }
        self.tell(Event::Tick);
    }

    fn obey(&mut self, action: Action) {
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
            answer => self.answer.push(answer),
        }
    }

    fn route(&mut self, excluded: &[key::Target]) {
        let target = (0..TARGETS)
            .map(key::Target::from_raw)
            .find(|target| !excluded.contains(target));
        self.tell(match target {
            Some(target) => Event::Routed(target),
            None => Event::Refused(Refusal::not_run(Reason::NoTarget, "none")),
        });
    }

    fn connect(&mut self, number: u32, request: Box<str>, start: &Start) {
        let connection = match start {
            Start::New => Connection {
                number,
                generation: Some(self.begin(request)),
                next: 0,
                is_first: true,
            },
            Start::Resume { generation, index } => Connection {
                number,
                generation: self
                    .generations
                    .iter()
                    .position(|known| known.id == *generation),
                next: *index,
                is_first: false,
            },
        };
        self.connection = Some(connection);
    }

    fn begin(&mut self, request: Box<str>) -> usize {
        let id = format!("g{}", self.generations.len()).into();
        self.generations.push(Generation {
            id,
            request,
            length: self.lengths,
        });
        self.generations.len() - 1
    }

    fn send(&mut self, index: u32) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        let Some(generation) = connection.generation else {
            return self.lose(Failure::Unknown);
        };
        connection.next = connection.next.max(index + 1);
        let number = connection.number;
        let chunk = self.generations[generation].chunk(index);
        self.tell(Event::Chunk {
            connection: number,
            chunk,
        });
    }

    fn cross(&mut self, change: impl FnOnce(&mut Chunk)) {
        let Some(connection) = &self.connection else {
            return;
        };
        let Some(generation) = connection.generation else {
            return;
        };
        let mut chunk = self.generations[generation].chunk(connection.next);
        change(&mut chunk);
        if chunk.finish.is_none() {
            chunk.text = "crossed".into();
        }
        self.tell(Event::Chunk {
            connection: connection.number,
            chunk,
        });
    }

    /// Sends what an engine has left on a connection that the session gave up.
    fn late(&mut self) {
        let Some(connection) = &self.connection else {
            return;
        };
        let next = connection.next;
        for old in 0..connection.number {
            let chunk = self.generations[0].chunk(next);
            self.tell(Event::Chunk {
                connection: old,
                chunk,
            });
        }
    }

    fn lose(&mut self, failure: Failure) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if failure.is_not_run() && connection.is_first && connection.next == 0 {
            // Refused before the start: this generation never was.
            self.generations.pop();
        }
        self.tell(Event::Failed {
            connection: connection.number,
            failure,
        });
    }
}
