//! Requests that tests send to a running cluster and to its fakes.

use {
    super::{Completion, Handle, MODEL, MODEL_SERVICE, Response, Stream, client},
    fakes::engine,
    hyper::Method,
    serde_json::Value,
    std::net::SocketAddr,
};

impl Handle {
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
        let response = self.get(&format!("{vm}/admin"), "/ready");
        response.is_ok_and(|response| response.status == 200)
    }

    /// Returns the seed of an engine's generated text; it differs between engines.
    pub fn seed(&self, engine: &str) -> u64 {
        let index = self.engines().iter().position(|name| name == engine);
        1000 + index.unwrap_or_default() as u64
    }

    /// Returns the tokens that an engine generates for a prompt.
    pub fn expected_tokens(&self, engine: &str, prompt: &str, max_tokens: u32) -> Vec<Box<str>> {
        engine::output_tokens(self.seed(engine), prompt, max_tokens)
    }

    /// Returns the engine that generated a completion; generation ids start with the engine's name.
    pub fn engine_of(&self, completion: &Completion) -> String {
        let id = completion
            .generations
            .first()
            .expect("the completion has a generation id");
        let mut engines = self.engines().into_iter();
        engines
            .rfind(|name| id.starts_with(&format!("{name}-")))
            .expect("the generation id names an engine")
    }

    /// Asserts that the tokens of a completion are the engine's output from index 0, without gaps.
    pub fn assert_prefix(&self, completion: &Completion, engine: &str, prompt: &str) {
        let expected = self.expected_tokens(engine, prompt, u32::MAX);
        for (position, (index, text)) in completion.tokens.iter().enumerate() {
            assert_eq!(
                *index, position as u64,
                "tokens out of order, missing or repeated"
            );
            assert_eq!(**text, *expected[position], "token {index} of {engine}");
        }
    }

    pub fn get(&self, name: &str, path: &str) -> std::io::Result<Response> {
        client::fetch(self.addresses[name], &Method::GET, path, &[], "")
    }

    /// Sets the behaviour of a fake engine or service.
    pub fn set_behaviour(&self, name: &str, behaviour: &Value) {
        self.configure_fake(name, "/test/behaviour", behaviour);
    }

    /// Posts a control request to a fake directly, bypassing the fault proxy.
    pub fn configure_fake(&self, name: &str, path: &str, body: &Value) {
        let response = client::fetch(
            self.addresses[name],
            &Method::POST,
            path,
            &[],
            &body.to_string(),
        );
        assert_eq!(response.expect("the fake responds").status, 200);
    }

    /// Returns how often a request or operation ran, summed over all targets that respond.
    pub fn run_count(&self, id: &str) -> u64 {
        let targets = [self.engines(), self.services()].concat();
        let responses = targets
            .iter()
            .filter_map(|name| self.get(name, "/test/runs").ok());
        responses
            .map(|response| count_runs(&response.json()["runs"], id))
            .sum()
    }

    /// Returns the address on which an entry VM accepts callers.
    pub fn caller_address(&self, vm: &str) -> SocketAddr {
        self.addresses[&format!("{vm}/caller")]
    }

    /// Requests a streamed completion of a prompt through an entry VM.
    pub fn stream(&self, vm: &str, prompt: &str) -> std::io::Result<Stream> {
        let body = serde_json::json!({"model": MODEL, "prompt": prompt, "stream": true});
        let path = format!("/{MODEL_SERVICE}/v1/completions");
        let headers = [("authorization", "Bearer alpha-key")];
        let address = self.caller_address(vm);
        client::send(address, &Method::POST, &path, &headers, &body.to_string()).map(Stream::new)
    }

    /// Requests a completion of a prompt in a single response body.
    pub fn complete(&self, vm: &str, prompt: &str) -> std::io::Result<Response> {
        let body = serde_json::json!({"model": MODEL, "prompt": prompt});
        let path = format!("/{MODEL_SERVICE}/v1/completions");
        self.call(vm, &Method::POST, &path, &[], &body.to_string())
    }

    /// Resumes a stream through an entry VM with a resume token and a customer's key.
    pub fn resume(&self, vm: &str, token: &str, key: &str) -> std::io::Result<Stream> {
        let authorization = format!("Bearer {key}");
        let headers = [("authorization", &*authorization), ("last-event-id", token)];
        let path = format!("/{MODEL_SERVICE}/v1/completions");
        let address = self.caller_address(vm);
        client::send(address, &Method::GET, &path, &headers, "").map(Stream::new)
    }

    /// Sends a request to an entry VM as the customer alpha.
    pub fn call(
        &self,
        vm: &str,
        method: &Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> std::io::Result<Response> {
        let authorization = ("authorization", "Bearer alpha-key");
        let headers: Vec<_> = std::iter::once(authorization)
            .chain(headers.iter().copied())
            .collect();
        client::fetch(self.caller_address(vm), method, path, &headers, body)
    }
}

/// Counts the runs of a request and of its retries, whose ids append a dot and a number.
fn count_runs(runs: &Value, id: &str) -> u64 {
    let attempts = format!("{id}.");
    let runs = runs.as_object().into_iter().flatten();
    runs.filter(|(name, _)| *name == id || name.starts_with(&attempts))
        .filter_map(|(_, count)| count.as_u64())
        .sum()
}
