//! Output and exit code of each subcommand.

use std::{
    fs,
    io::{Read, Write},
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Command, Output, Stdio},
    thread,
};

const SUCCESS: Option<i32> = Some(0);
const FAILURE: Option<i32> = Some(1);
const BAD_INPUT: Option<i32> = Some(2);

fn mastictrail(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mastictrail"))
        .args(arguments)
        .output()
        .expect("the command runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into()
}

fn example_path(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    path.join(name).to_string_lossy().into()
}

/// Writes a file into the folder and returns its path.
fn write_file(folder: &tempfile::TempDir, name: &str, text: &str) -> String {
    let path: PathBuf = folder.path().join(name);
    fs::write(&path, text).expect("the folder is writable");
    path.to_string_lossy().into()
}

/// Writes the rendered example deployment to a file, with the first match of each edit replaced.
fn render_edited(folder: &tempfile::TempDir, name: &str, edits: &[(&str, &str)]) -> String {
    let output = mastictrail(&["render", &example_path("wielkopolanka")]);
    let mut value = stdout(&output);
    for (from, to) in edits {
        assert!(value.contains(from), "`{from}` is in the example");
        value = value.replacen(from, to, 1);
    }
    write_file(folder, name, &value)
}

/// Requests that were answered are no failures, but an error that a target gave to its client is one.
#[test]
fn explain_counts_each_failed_request_and_no_other() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let log = concat!(
        r#"{"event":"answer","request":"a","verdict":"ran","message":"complete"}"#,
        "\n",
        r#"{"event":"answer","request":"b","verdict":"ran","status":200,"message":"complete"}"#,
        "\n",
        r#"{"event":"answer","request":"c","verdict":"ran","status":500,"message":"failed"}"#,
        "\n",
        r#"{"event":"answer","request":"d","verdict":"not_run","reason":"overloaded"}"#,
        "\n",
        r#"{"event":"ended","request":"e","outcome":"served","reason":"whole"}"#,
        "\n",
        r#"{"event":"ended","request":"f","outcome":"failed","reason":"the time is over"}"#,
        "\n",
    );
    let path = write_file(&folder, "vm.log", log);
    let output = mastictrail(&["explain", "--failed", &path]);
    assert_eq!(output.status.code(), SUCCESS, "{}", stderr(&output));
    let text = stdout(&output);
    let rows: Vec<_> = text.lines().collect();
    assert_eq!(rows.len(), 3, "{text}");
    for cause in [
        "answer  ran  status 500  (such as c)",
        "answer  not_run  overloaded  (such as d)",
        "ended  failed  the time is over  (such as f)",
    ] {
        assert!(rows.iter().any(|row| row.ends_with(cause)), "{text}");
    }
}

#[test]
fn check_accepts_the_examples() {
    for name in ["wielkopolanka", "association"] {
        let output = mastictrail(&["check", &example_path(name)]);
        assert_eq!(output.status.code(), SUCCESS, "{}", stderr(&output));
        assert!(stdout(&output).starts_with(&format!("valid: {name} version 1")));
        let settings = mastictrail(&[
            "check",
            "--settings",
            &example_path(&format!("{name}/settings")),
        ]);
        assert_eq!(settings.status.code(), SUCCESS, "{}", stderr(&settings));
    }
}

#[test]
fn check_reports_an_unknown_settings_key_with_its_line() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let text = "[vm]\nname = a\ndata_centre = b\n[keys]\ndeployment = k\n[log]\nlevels = info\n";
    let path = write_file(&folder, "entry.ini", text);
    let output = mastictrail(&["check", "--settings", &path]);
    assert_eq!(output.status.code(), BAD_INPUT);
    insta::with_settings!({filters => vec![(folder.path().to_str().expect("UTF-8"), "FOLDER")]}, {
        insta::assert_snapshot!("settings_key", stderr(&output));
    });
    let output = mastictrail(&["check", "--settings", "--json", &path]);
    assert_eq!(output.status.code(), BAD_INPUT);
    let report: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    let fault = &report["faults"][0];
    assert_eq!(fault["line"], 7);
    assert_eq!(fault["section"], "log");
    assert_eq!(fault["key"], "levels");
    assert_eq!(fault["permitted"], "file, level, queue");
}

#[test]
fn check_compares_settings_with_their_deployment() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let check = |name: &str, data_centre: &str| {
        let text =
            format!("[vm]\nname = {name}\ndata_centre = {data_centre}\n[keys]\ndeployment = k\n");
        let path = write_file(&folder, "entry.ini", &text);
        let deployment = example_path("association");
        mastictrail(&["check", "--settings", &path, "--deployment", &deployment])
    };
    let valid = check("entry-langley-1", "data centre-langley");
    assert_eq!(valid.status.code(), SUCCESS, "{}", stderr(&valid));
    let unknown = check("entry-langley-9", "data centre-langley");
    assert_eq!(unknown.status.code(), BAD_INPUT);
    let message = "name: the deployment has no [vm entry-langley-9]";
    assert!(stderr(&unknown).contains(message), "{}", stderr(&unknown));
    let misplaced = check("entry-langley-1", "data centre-abbotsford");
    assert_eq!(misplaced.status.code(), BAD_INPUT);
    let permitted = "permitted: data centre-langley";
    assert!(
        stderr(&misplaced).contains(permitted),
        "{}",
        stderr(&misplaced)
    );
}

#[test]
fn bad_usage_has_the_exit_code_of_bad_input() {
    for arguments in [
        &["serv"][..],
        &["check"],
        &["check", "no such file"],
        &["diff", "one"],
        &["status", "localhost"],
        &["completions", "no such shell"],
    ] {
        let output = mastictrail(arguments);
        assert_eq!(output.status.code(), BAD_INPUT, "{arguments:?}");
    }
}

#[test]
fn render_prints_the_value_with_its_digest_and_version() {
    let output = mastictrail(&["render", "--json", &example_path("association")]);
    assert_eq!(output.status.code(), SUCCESS);
    let report: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    assert_eq!(report["name"], "association");
    assert_eq!(report["version"], 1);
    let value = report["value"].as_str().expect("the field is a string");
    assert_eq!(report["bytes"], value.len());
    let plain = mastictrail(&["render", &example_path("association")]);
    assert_eq!(stdout(&plain), value);
    let digest = report["sha256"].as_str().expect("the field is a string");
    assert!(stderr(&plain).contains(digest));
}

#[test]
fn diff_lists_the_changes_of_a_deployment() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let old = render_edited(&folder, "old.ini", &[]);
    let new = render_edited(
        &folder,
        "new.ini",
        &[
            ("version = 1\n", "version = 2\n"),
            ("deadline = 60s", "deadline = 90s"),
            ("headroom = 0.15\n", ""),
            ("[target receptury-d1]", "[target receptury-d2]"),
            ("planners = ", "planning = "),
        ],
    );
    let output = mastictrail(&["diff", &old, &new]);
    assert_eq!(output.status.code(), SUCCESS);
    insta::assert_snapshot!("diff", stdout(&output));
}

#[test]
fn diff_fails_if_the_version_is_not_higher() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let old = render_edited(&folder, "old.ini", &[]);
    let new = render_edited(&folder, "new.ini", &[("headroom = 0.15", "headroom = 0.2")]);
    let output = mastictrail(&["diff", &old, &new]);
    assert_eq!(output.status.code(), FAILURE);
    assert!(stderr(&output).contains("version 1 is not higher than 1"));
    let same = mastictrail(&["diff", &old, &example_path("wielkopolanka")]);
    assert_eq!(same.status.code(), SUCCESS);
    assert_eq!(stdout(&same), "version 1 to 1: 0 changes\n");
}

/// Log of a VM that dispatches request r-1 twice, with one truncated line and one line of text.
const LOG_A: &str = r#"
{"time":"2026-05-01T10:00:00.000100Z","level":"INFO","vm":"entry-a1","event":"route","message":"dispatched","request":"r-1","chosen":"engine-1","reason":"least predicted memory","candidates":"engine-1=0.100 engine-2=0.900"}
{"time":"2026-05-01T10:00:00.000200Z","level":"INFO","vm":"entry-a1","event":"route","message":"dispatched","request":"r-9","chosen":"engine-1"}
{"time":"2026-05-01T10:00:00.000250Z","request":"r-1","cut off in the midd
no JSON at all
{"time":"2026-05-01T10:00:00.000300Z","level":"INFO","vm":"entry-a1","event":"retry","message":"the call is sent again","request":"r-1","reason":"target_refused","verdict":"not_run"}
{"time":"2026-05-01T10:00:00.000500Z","level":"INFO","vm":"entry-a1","event":"route","message":"dispatched","request":"r-1","chosen":"engine-2"}
"#;
/// Log of a VM that runs r-1, and on which r-2 resumes the stream of r-1.
const LOG_B: &str = r#"
{"time":"2026-05-01T10:00:00.000400Z","level":"INFO","vm":"entry-b1","event":"call","message":"taken","request":"r-1"}
{"time":"2026-05-01T10:00:02.000000Z","level":"INFO","vm":"entry-b1","event":"resume","message":"resumed","request":"r-2","origin":"r-1","generation":"g-7","index":40}
{"time":"2026-05-01T10:00:03.000000Z","level":"INFO","vm":"entry-b1","event":"answer","message":"complete","request":"r-2","generation":"g-7","verdict":"ran"}
"#;

#[test]
fn explain_prints_the_lines_of_a_request_in_order() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let first = write_file(&folder, "b.log", LOG_B);
    let second = write_file(&folder, "a.log", LOG_A);
    let output = mastictrail(&["explain", "r-1", &first, &second]);
    assert_eq!(output.status.code(), SUCCESS);
    assert!(stderr(&output).starts_with("skipped 1 line without a valid JSON object"));
    insta::assert_snapshot!("explain", stdout(&output));
    let json = mastictrail(&["explain", "--json", "r-1", &first, &second]);
    let lines: serde_json::Value =
        serde_json::from_slice(&json.stdout).expect("the output is JSON");
    assert_eq!(lines.as_array().map(Vec::len), Some(6));
    let none = mastictrail(&["explain", "r-3", &first]);
    assert_eq!(none.status.code(), FAILURE);
}

#[test]
fn closed_pipe_is_not_a_failure() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mastictrail"))
        .args(["render", &example_path("wielkopolanka")])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the command runs");
    drop(child.stdout.take());
    assert_eq!(child.wait().expect("the command ends").code(), SUCCESS);
}

#[test]
fn status_prints_the_state_that_the_vm_reports() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener
        .local_addr()
        .expect("the listener has an address")
        .to_string();
    let status = r#"{"vm":"entry-a1","ready":true,"members":[{"vm":"entry-a2","state":"live"}]}"#;
    let server = thread::spawn(move || {
        for _ in 0..2 {
            let (mut stream, _peer) = listener.accept().expect("the command connects");
            let mut head = [0; 1024];
            let length = stream.read(&mut head).expect("the command sends a request");
            assert!(head[..length].starts_with(b"GET /status "));
            let length = status.len();
            write!(
                stream,
                "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{status}"
            )
            .expect("the command reads the response");
        }
    });
    let plain = mastictrail(&["status", &address]);
    assert_eq!(plain.status.code(), SUCCESS, "{}", stderr(&plain));
    insta::assert_snapshot!("status", stdout(&plain));
    let json = mastictrail(&["status", "--json", &address]);
    let report: serde_json::Value =
        serde_json::from_slice(&json.stdout).expect("the output is JSON");
    assert_eq!(report["vm"], "entry-a1");
    server.join().expect("the server ends");
    let gone = mastictrail(&["status", &address]);
    assert_eq!(gone.status.code(), FAILURE);
}

#[test]
fn every_subcommand_has_examples_and_completions() {
    let help = stdout(&mastictrail(&["--help"]));
    assert!(help.contains("Exit codes: 0 success, 1 failure, 2 bad input or usage"));
    let script = stdout(&mastictrail(&["completions", "bash"]));
    for name in [
        "serve",
        "check",
        "diff",
        "render",
        "status",
        "explain",
        "demo",
        "completions",
    ] {
        assert!(help.contains(name), "{name} is in the help");
        assert!(script.contains(name), "{name} is in the completions");
        let own = stdout(&mastictrail(&[name, "--help"]));
        assert!(own.contains("Example"), "{name} has examples");
    }
}
