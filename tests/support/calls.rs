//! What tests say to the system and to the stand-ins.

use {
    super::{Answer, Draft, MODEL, MODEL_SERVICE, Stream, View, client},
    fakes::engine,
    hyper::Method,
    serde_json::Value,
    std::net::SocketAddr,
};

impl View {
    pub fn vms(&self) -> Vec<String> {
        self.setup.names("vm", self.setup.vms)
    }

    pub fn engines(&self) -> Vec<String> {
        self.setup.names("engine", self.setup.engines)
    }

    pub fn services(&self) -> Vec<String> {
        self.setup.names("service", self.setup.services)
    }

    pub fn is_ready(&self, vm: &str) -> bool {
        let answer = self.get(&format!("{vm}/admin"), "/ready");
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Returns the seed of an engine's texts, a different one for each.
    pub fn seed(&self, engine: &str) -> u64 {
        let number = self.engines().iter().position(|name| name == engine);
        1000 + number.unwrap_or_default() as u64
    }

    /// Returns what an engine makes for a prompt.
    pub fn expected(&self, engine: &str, prompt: &str, max_tokens: u32) -> Vec<Box<str>> {
        engine::output_tokens(self.seed(engine), prompt, max_tokens)
    }

    /// Returns the engine whose texts a draft bears; its ids begin with the engine's name.
    pub fn engine_of(&self, draft: &Draft) -> String {
        let id = draft
            .generations
            .first()
            .expect("the draft has a generation");
        let mut engines = self.engines().into_iter();
        engines
            .rfind(|name| id.starts_with(&format!("{name}-")))
            .expect("the engine is known")
    }

    /// Compares tokens one by one with what the engine makes, from index 0.
    pub fn assert_prefix(&self, draft: &Draft, engine: &str, prompt: &str) {
        let expected = self.expected(engine, prompt, u32::MAX);
        for (place, (index, text)) in draft.tokens.iter().enumerate() {
            assert_eq!(*index, place as u64, "the tokens come in order, each once");
            assert_eq!(**text, *expected[place], "token {index} of {engine}");
        }
    }

    pub fn get(&self, name: &str, path: &str) -> std::io::Result<Answer> {
        client::ask(self.addresses[name], &Method::GET, path, &[], "")
    }

    /// Switches the behaviour of an engine or service.
    pub fn behave(&self, name: &str, behaviour: &Value) {
        self.order(name, "/test/behaviour", behaviour);
    }

    /// Sends a test order to a stand-in, past the proxy.
    pub fn order(&self, name: &str, path: &str, body: &Value) {
        let answer = client::ask(
            self.addresses[name],
            &Method::POST,
            path,
            &[],
            &body.to_string(),
        );
        assert_eq!(answer.expect("the stand-in answers").status, 200);
    }

    /// Returns how often the targets ran a request or operation, over all that answer.
    pub fn runs(&self, id: &str) -> u64 {
        let targets = [self.engines(), self.services()].concat();
        let answers = targets
            .iter()
            .filter_map(|name| self.get(name, "/test/runs").ok());
        answers
            .map(|answer| count(&answer.json()["runs"], id))
            .sum()
    }

    /// Returns the address of an entry VM for callers.
    pub fn caller(&self, vm: &str) -> SocketAddr {
        self.addresses[&format!("{vm}/caller")]
    }

    /// Opens a stream of a prompt through an entry VM.
    pub fn stream(&self, vm: &str, prompt: &str) -> std::io::Result<Stream> {
        let body = serde_json::json!({"model": MODEL, "prompt": prompt, "stream": true});
        let path = format!("/{MODEL_SERVICE}/v1/completions");
        let headers = [("authorization", "Bearer alpha-key")];
        let address = self.caller(vm);
        client::open(address, &Method::POST, &path, &headers, &body.to_string()).map(Stream::new)
    }

    /// Asks for a whole answer to a prompt in one body.
    pub fn whole(&self, vm: &str, prompt: &str) -> std::io::Result<Answer> {
        let body = serde_json::json!({"model": MODEL, "prompt": prompt});
        let path = format!("/{MODEL_SERVICE}/v1/completions");
        self.call(vm, &Method::POST, &path, &[], &body.to_string())
    }

    /// Goes on with a stream through an entry VM.
    pub fn resume(&self, vm: &str, token: &str, key: &str) -> std::io::Result<Stream> {
        let authorization = format!("Bearer {key}");
        let headers = [("authorization", &*authorization), ("last-event-id", token)];
        let path = format!("/{MODEL_SERVICE}/v1/completions");
        let address = self.caller(vm);
        client::open(address, &Method::GET, &path, &headers, "").map(Stream::new)
    }

    /// Calls an entry VM as the customer alpha.
    pub fn call(
        &self,
        vm: &str,
        method: &Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> std::io::Result<Answer> {
        let own = ("authorization", "Bearer alpha-key");
        let headers: Vec<_> = std::iter::once(own)
            .chain(headers.iter().copied())
            .collect();
        client::ask(self.caller(vm), method, path, &headers, body)
    }
}

/// Counts the runs of a request; further attempts bear its id with a dot and a number.
fn count(runs: &Value, id: &str) -> u64 {
    let attempts = format!("{id}.");
    let runs = runs.as_object().into_iter().flatten();
    runs.filter(|(name, _)| *name == id || name.starts_with(&attempts))
        .filter_map(|(_, count)| count.as_u64())
        .sum()
}
