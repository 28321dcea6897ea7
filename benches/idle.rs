//! Processor time and memory of an idle entry VM, by the number of targets in its data centre.
//!
//! The deployment has the expected ratio of VMs to targets; only one of the VMs runs.
//!
//! `cargo bench -p mastictrail-cli --bench idle [-- TARGETS…]` starts one process per size. This
//! process serves its targets and platform, and reads its processor time and memory from `/proc`.

use {
    smol::{
        Timer,
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    std::{
        error::Error,
        fs,
        net::{Ipv4Addr, SocketAddr},
        os::unix::fs::PermissionsExt,
        path::Path,
        process::{Child, Command, Stdio},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Numbers of targets measured by default.
const DEFAULT_SIZES: [usize; 4] = [10, 100, 300, 600];
/// Number of VMs of a deployment at the expected size.
const EXPECTED_VMS: usize = 350;
/// Number of targets of a deployment at the expected size.
const EXPECTED_TARGETS: usize = 600;
const WARM_UP: Duration = Duration::from_secs(5);
const MEASUREMENT: Duration = Duration::from_secs(10);
const PROBE_TIMEOUT: Duration = Duration::from_secs(60);
/// Unit of the processor times in `/proc`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const PORT: u16 = 27_000;
const LOAD_REPORT: &str = r#"{"sequence":1,"age_ms":5,"running":3,"waiting":0,"memory_total":65536,"memory_used":4096,"preemptions":0,"tokens_per_second":900.0,"models":["base@1"],"leaving":false}"#;

/// Requests and bytes exchanged between the VM and its targets.
#[derive(Debug, Default)]
struct Traffic {
    requests: AtomicU64,
    bytes: AtomicU64,
}

/// Child process that is killed when dropped.
#[derive(Debug)]
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let requested: Vec<usize> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let sizes = if requested.is_empty() {
        &DEFAULT_SIZES[..]
    } else {
        &requested
    };
    println!("targets core_percent resident_mib probes_per_s control_kib_per_s");
    for (round, size) in sizes.iter().enumerate() {
        smol::block_on(measure(round as u8, *size))?;
    }
    Ok(())
}

/// Measures one deployment size and prints a line of results.
async fn measure(round: u8, size: usize) -> Result<(), Box<dyn Error>> {
    let traffic = Arc::new(Traffic::default());
    let mut sections = vec![String::from(
        "[deployment]\nname = idle\nversion = 1\n[data_centre dc]\nregion = r\n\
         [model base]\nversion = 1\nweight = 1GiB\n[service drafts]\nkind = model\nmodels = base\n",
    )];
    for number in 0..size {
        let address = address(100 + round, number);
        let listener = TcpListener::bind(address).await?;
        let traffic = Arc::clone(&traffic);
        smol::spawn(serve(listener, traffic, LOAD_REPORT.into(), "")).detach();
        sections.push(format!(
            "[target t{number}]\nservice = drafts\ndata_centre = dc\naddress = {address}\n\
             memory_tokens = 65536\n",
        ));
    }
    let [caller, inner, admin, platform] = [1, 2, 3, 4].map(|role| address(90 + round, role));
    sections.push(format!("[vm vm-1]\ndata_centre = dc\ninner = {inner}\n"));
    for number in 2..=(size * EXPECTED_VMS / EXPECTED_TARGETS) {
        let inner = address(80 + round, number);
        sections.push(format!(
            "[vm vm-{number}]\ndata_centre = dc\ninner = {inner}\n"
        ));
    }
    let configuration = sections.concat();
    let listener = TcpListener::bind(platform).await?;
    smol::spawn(serve(
        listener,
        Arc::default(),
        configuration,
        "x-version: 1\r\n",
    ))
    .detach();

    let folder = tempfile::tempdir()?;
    let path = |name: &str| folder.path().join(name);
    fs::write(path("key"), "0123456789abcdef")?;
    fs::set_permissions(path("key"), fs::Permissions::from_mode(0o600))?;
    let settings = format!(
        "[vm]\nname = vm-1\ndata_centre = dc\n[listen]\ncaller = {caller}\ninner = {inner}\n\
         admin = {admin}\n[platform]\naddress = {platform}\n[keys]\ndeployment = {}\n\
         [log]\nfile = {}\n",
        path("key").display(),
        path("log").display(),
    );
    fs::write(path("settings.ini"), settings)?;
    let child = Command::new(env!("CARGO_BIN_EXE_mastictrail"))
        .arg("serve")
        .arg(path("settings.ini"))
        .stdout(Stdio::null())
        .spawn()?;
    let process = Process(child);
    wait_until_probed(&traffic, size as u64).await?;
    Timer::after(WARM_UP).await;

    let process_dir = format!("/proc/{}", process.0.id());
    let (ticks, start) = (cpu_ticks(&process_dir)?, Instant::now());
    let (requests, bytes) = traffic.read();
    Timer::after(MEASUREMENT).await;
    let (requests_after, bytes_after) = traffic.read();
    let elapsed = start.elapsed().as_secs_f64();
    println!(
        "{size} {:.2} {:.1} {:.0} {:.1}",
        (cpu_ticks(&process_dir)? - ticks) / CLOCK_TICKS_PER_SECOND / elapsed * 100.0,
        resident_mib(&process_dir)?,
        (requests_after - requests) as f64 / elapsed,
        (bytes_after - bytes) as f64 / 1024.0 / elapsed,
    );
    Ok(())
}

impl Traffic {
    fn read(&self) -> (u64, u64) {
        let requests = self.requests.load(Ordering::Relaxed);
        (requests, self.bytes.load(Ordering::Relaxed))
    }
}

/// Returns a loopback address of the subnet `127.subnet.0.0/16`.
fn address(subnet: u8, number: usize) -> SocketAddr {
    let address = Ipv4Addr::new(127, subnet, (number / 250) as u8, (number % 250) as u8 + 1);
    SocketAddr::from((address, PORT))
}

/// Waits until the VM has sent a number of requests to its targets.
async fn wait_until_probed(traffic: &Traffic, requests: u64) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    while traffic.read().0 < requests {
        if start.elapsed() > PROBE_TIMEOUT {
            return Err("the process does not probe its targets".into());
        }
        Timer::after(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Responds to every request with the same body.
///
/// Only the VM list is empty, and a watch for a newer configuration times out.
async fn serve(listener: TcpListener, traffic: Arc<Traffic>, body: String, headers: &'static str) {
    let body: Arc<str> = body.into();
    while let Ok((stream, _peer)) = listener.accept().await {
        let (traffic, body) = (Arc::clone(&traffic), Arc::clone(&body));
        smol::spawn(async move {
            let _ = respond(stream, &traffic, &body, headers).await;
        })
        .detach();
    }
}

async fn respond(
    mut stream: TcpStream,
    traffic: &Traffic,
    body: &str,
    headers: &str,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    let mut buffer = [0; 2048];
    while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        head.extend_from_slice(&buffer[..length]);
    }
    let text = String::from_utf8_lossy(&head);
    let response = if text.starts_with("GET /v1/vms") {
        http_response("200 OK", "", r#"{"vms":[]}"#)
    } else if text.contains("after=1") {
        Timer::after(Duration::from_secs(10)).await;
        http_response("304 Not Modified", "", "")
    } else {
        http_response("200 OK", headers, body)
    };
    stream.write_all(response.as_bytes()).await?;
    traffic.requests.fetch_add(1, Ordering::Relaxed);
    let bytes = (head.len() + response.len()) as u64;
    traffic.bytes.fetch_add(bytes, Ordering::Relaxed);
    Ok(())
}

fn http_response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )
}

/// Returns the user and system time of a process in clock ticks.
fn cpu_ticks(process: &str) -> Result<f64, Box<dyn Error>> {
    let stat = fs::read_to_string(Path::new(process).join("stat"))?;
    let fields: Vec<_> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    // User and system time are fields 14 and 15, the 12th and 13th after the command name.
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    Ok(field(11).ok_or("no user time")? + field(12).ok_or("no system time")?)
}

fn resident_mib(process: &str) -> Result<f64, Box<dyn Error>> {
    let status = fs::read_to_string(Path::new(process).join("status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    Ok(kib.ok_or("no resident size")? / 1024.0)
}
