//! Environment of the process-level tests: a platform, endpoints and nodes as real processes on
//! loopback, and a client that calls them in JSON.

#![allow(dead_code)] // Each test file uses a part of it.

use std::io::{BufRead as _, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Time-out of a condition, after which a test fails. It only ends tests that hang; no result
/// depends on its value.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// A process that a test started; it is killed, by its id, when dropped.
pub struct Process {
    child: Child,
    /// The line with its addresses, printed once it listens.
    pub line: String,
}

impl Process {
    /// Starts a program and waits until it prints the line with its addresses.
    pub fn start(program: &Path, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{} does not start: {error}", program.display()));
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        let mut reader = BufReader::new(stdout);
        while !line.starts_with("listening") {
            line.clear();
            let read = reader.read_line(&mut line).expect("stdout can be read");
            assert!(read > 0, "{} ended early", program.display());
        }
        // Drains the pipe: a process whose standard output is closed or full could not print.
        std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
        Self { child, line }
    }

    /// Returns the address after `key=` in the line, or the second word if there is no such key.
    pub fn address(&self, key: &str) -> String {
        let mark = format!("{key}=");
        self.line
            .split_whitespace()
            .find_map(|word| word.strip_prefix(&mark))
            .or_else(|| self.line.split_whitespace().nth(1))
            .expect("the line names an address")
            .to_owned()
    }

    /// Returns its process id, for reading its kernel statistics.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        let _ = kill_process(pid, signal);
    }

    /// Kills the process without a shutdown, as a lost VM.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process, as a paused VM.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until the process exits and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < CONDITION_TIMEOUT {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}

/// A fleet of processes, with a folder for their settings.
pub struct Fleet {
    folder: tempfile::TempDir,
    pub platform: Process,
    pub engines: Vec<Process>,
    pub plain: Vec<Process>,
    pub nodes: Vec<Process>,
}

/// Returns the path of the program under test.
pub fn auburnspoke() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_auburnspoke"))
}

/// Returns the path of the program of the stand-ins, which is built into the same folder.
pub fn standin() -> PathBuf {
    let path = auburnspoke().with_file_name("standin");
    assert!(
        path.exists(),
        "{} is missing: run `cargo build --workspace` first, as .ci/test does",
        path.display()
    );
    path
}

impl Fleet {
    /// Starts a fleet that consists of a platform.
    pub fn new() -> Self {
        Self::with_platform(&["--lag-ms", "200"])
    }

    /// Starts a fleet that consists of a platform with the given arguments.
    pub fn with_platform(arguments: &[&str]) -> Self {
        let mut all = vec!["platform", "--listen", "127.0.0.1:0"];
        all.extend(arguments);
        Self {
            folder: tempfile::tempdir().expect("a folder for settings"),
            platform: Process::start(&standin(), &all),
            engines: Vec::new(),
            plain: Vec::new(),
            nodes: Vec::new(),
        }
    }

    /// Starts an engine with arguments of the stand-in, such as `["--faster", "20"]`.
    pub fn engine(&mut self, arguments: &[&str]) -> &mut Self {
        let mut all = vec!["engine", "--listen", "127.0.0.1:0"];
        all.extend(arguments);
        self.engines.push(Process::start(&standin(), &all));
        self
    }

    /// Starts a plain service.
    pub fn plain(&mut self) -> &mut Self {
        let process = Process::start(&standin(), &["plain", "--listen", "127.0.0.1:0"]);
        self.plain.push(process);
        self
    }

    /// Starts a node in the availability zone.
    pub fn node(&mut self, zone: &str) -> &mut Self {
        let name = format!("node-{}", self.nodes.len());
        let process = self.start_node(&name, zone, "127.0.0.1:0", "");
        self.nodes.push(process);
        self
    }

    /// Starts a node that is not added to the fleet, for tests that restart one. `more` is written
    /// before its other settings.
    pub fn start_node(&self, name: &str, zone: &str, listen: &str, more: &str) -> Process {
        let path = self.folder.path().join(format!("{name}.toml"));
        let platform = self.platform.address("listening");
        let settings = format!(
            "{more}\n[node]\nname = \"{name}\"\nzone = \"{zone}\"\n\n\
             [listen]\ncallers = \"{listen}\"\nlink = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\n\n\
             [platform]\naddress = \"{platform}\"\n"
        );
        std::fs::write(&path, settings).expect("settings can be written");
        let path = path.to_str().expect("the folder's name is text");
        Process::start(&auburnspoke(), &["serve", "--settings", path])
    }

    /// Commits a configuration with one model service on all engines and one plain service, and
    /// waits until every node is ready.
    pub fn configure(&self) {
        self.configure_with(&json!({}));
    }

    /// Does the same as [`Self::configure`], with the given fields of the model service replaced.
    pub fn configure_with(&self, service: &Value) {
        let mut model = json!({
            "name": "recipes", "kind": "SERVICE_KIND_MODEL", "model": "recipe-model", "modelVersion": "1",
            "deadlineMs": 30000, "maxTokens": 512, "latencyWeight": 50,
        });
        let fields = model.as_object_mut().expect("an object");
        fields.extend(service.as_object().cloned().unwrap_or_default());
        let engines = self.engines.iter().enumerate().map(|(at, engine)| {
            json!({
                "name": format!("engine-{at}"), "address": engine.address("listening"),
                "zone": format!("zone-{}", at % 3), "services": ["recipes"], "slots": 8,
            })
        });
        let plain = self.plain.iter().enumerate().map(|(at, plain)| {
            json!({
                "name": format!("plain-{at}"), "address": plain.address("listening"),
                "zone": "zone-0", "services": ["screening"], "slots": 8,
            })
        });
        let endpoints: Vec<Value> = engines.chain(plain).collect();
        let screening = json!({
            "name": "screening", "kind": "SERVICE_KIND_PLAIN", "deadlineMs": 10000,
        });
        let mut services = vec![model];
        if !self.plain.is_empty() {
            services.push(screening);
        }
        let config = json!({ "services": services, "endpoints": endpoints });
        let apply = json!({ "expectVersion": 0, "config": config, "author": "test" });
        let start = Instant::now();
        while let Err(error) = self.operator(0, "ApplyConfig", &apply) {
            let is_invalid = refusal(&error)["reason"] == "REASON_INVALID";
            assert!(
                !is_invalid && start.elapsed() < CONDITION_TIMEOUT,
                "not accepted: {error}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
        for node in 0..self.nodes.len() {
            until("every node is ready", || {
                get(&self.nodes[node].address("callers"), "/readyz").0 == 200
            });
        }
    }

    /// Waits until every node lists `count` members.
    pub fn await_members(&self, count: usize) {
        for node in 0..self.nodes.len() {
            until("the nodes see each other", || {
                let members = self.operator(node, "ListMembers", &json!({}));
                members.is_ok_and(|m| m["members"].as_array().map(Vec::len) == Some(count))
            });
        }
    }

    /// Calls a method of the caller API at a node.
    ///
    /// # Errors
    /// Returns the error body, or null if the node is unreachable.
    pub fn caller(&self, node: usize, method: &str, body: &Value) -> Result<Value, Value> {
        let address = self.nodes[node].address("callers");
        call(&address, &format!("/auburnspoke.v1.Caller/{method}"), body)
    }

    /// Calls a method of the operator API at a node.
    ///
    /// # Errors
    /// Returns the error body, or null if the node is unreachable.
    pub fn operator(&self, node: usize, method: &str, body: &Value) -> Result<Value, Value> {
        let address = self.nodes[node].address("callers");
        call(
            &address,
            &format!("/auburnspoke.v1.Operator/{method}"),
            body,
        )
    }

    /// Injects a fault into the platform.
    pub fn platform_fault(&self, command: &Value) {
        let address = self.platform.address("listening");
        let answer = post(
            &address,
            "/fault",
            "application/json",
            command.to_string().into(),
        );
        assert_eq!(
            answer.0,
            200,
            "the platform refused {command}: {}",
            text(&answer.1)
        );
    }

    /// Injects a fault into an engine.
    pub fn engine_fault(&self, engine: usize, command: &Value) {
        let address = self.engines[engine].address("listening");
        let answer = post(
            &address,
            "/fault",
            "application/json",
            command.to_string().into(),
        );
        assert_eq!(
            answer.0,
            200,
            "the engine refused {command}: {}",
            text(&answer.1)
        );
    }

    /// Returns the counts of an engine.
    pub fn engine_counts(&self, engine: usize) -> Value {
        counts(&self.engines[engine])
    }

    /// Returns the counts of a plain service.
    pub fn plain_counts(&self, plain: usize) -> Value {
        counts(&self.plain[plain])
    }
}

/// Waits until a condition holds.
///
/// # Panics
/// Panics after [`CONDITION_TIMEOUT`].
pub fn until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < CONDITION_TIMEOUT,
            "waited too long until {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the counts of a stand-in.
pub fn counts(process: &Process) -> Value {
    let (status, body) = get(&process.address("listening"), "/counts");
    assert_eq!(status, 200, "counts: {}", text(&body));
    serde_json::from_slice(&body).expect("counts are JSON")
}

/// Makes a unary call in JSON.
///
/// # Errors
/// Returns the error body, or null if the address is unreachable.
pub fn call(address: &str, path: &str, body: &Value) -> Result<Value, Value> {
    let (status, answer) = post(address, path, "application/json", body.to_string().into());
    let answer = serde_json::from_slice(&answer).unwrap_or(Value::Null);
    if status == 200 {
        Ok(answer)
    } else {
        Err(answer)
    }
}

/// Returns the typed refusal in an error body.
pub fn refusal(error: &Value) -> &Value {
    &error["details"][0]["debug"]
}

/// Sends a GET request. The status is 0 if the address is unreachable.
pub fn get(address: &str, path: &str) -> (u16, Vec<u8>) {
    http(address, path, None)
}

/// Sends a POST request. The status is 0 if the address is unreachable.
pub fn post(address: &str, path: &str, media: &'static str, body: Vec<u8>) -> (u16, Vec<u8>) {
    http(address, path, Some((media, body)))
}

fn http(address: &str, path: &str, body: Option<(&'static str, Vec<u8>)>) -> (u16, Vec<u8>) {
    let url = format!("http://{address}{path}");
    actix_rt::System::new().block_on(async move {
        let client = awc::Client::builder().timeout(CONDITION_TIMEOUT).finish();
        let sent = match body {
            None => client.get(url).send().await,
            Some((media, body)) => {
                let request = client.post(url).insert_header(("content-type", media));
                request.send_body(body).await
            }
        };
        let Ok(mut answer) = sent else {
            return (0, Vec::new());
        };
        let status = answer.status().as_u16();
        let body = answer.body().limit(256 * 1024 * 1024).await;
        (status, body.map(|bytes| bytes.to_vec()).unwrap_or_default())
    })
}

fn text(body: &[u8]) -> String {
    String::from_utf8_lossy(body).into_owned()
}
