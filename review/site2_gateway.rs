//! Gateway processes, started with the command and the settings template of the deploy file.

use {
    crate::link::next_ip,
    std::{
        env, fs,
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::Mutex,
        thread,
        time::{Duration, Instant},
    },
};

/// Figures of the site that the settings template names.
pub struct Site {
    pub store: SocketAddr,
    pub link_mbps: f64,
    pub memory_mb: u32,
    pub retry_extra: u32,
}

/// The gateways that were started and not killed yet.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// A running gateway.
pub struct Gateway {
    pub clients: SocketAddr,
    readiness: SocketAddr,
    process: u32,
    log: PathBuf,
}

impl Gateway {
    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.process.to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "signal {name}");
    }

    /// Returns whether it watches the list of runners on behalf of others, by its own log.
    pub fn is_watching(&self) -> bool {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let changes = log.lines().rev();
        let mut changes =
            changes.filter(|line| line.contains("the role in watching the store has changed"));
        changes
            .next()
            .is_some_and(|line| !line.contains("\"role\":\"none\""))
    }
}

/// Starts a gateway in each of the zones and waits until all are ready.
pub fn start_all(site: &Site, zones: &[&str]) -> Result<Vec<Gateway>, String> {
    let ips: Vec<_> = zones.iter().map(|_| next_ip()).collect();
    // All machines use the same ports.
    let ports = free_ports(&ips)?;
    let seeds: Vec<_> = ips.iter().map(|ip| format!("{ip}:{}", ports[2])).collect();
    let directory = directory();
    fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
    let mut gateways = Vec::new();
    for (index, (ip, zone)) in ips.iter().zip(zones).enumerate() {
        let settings = directory.join(format!("gateway-{index}.ini"));
        let text = fill_template(site, *ip, &ports, zone, index, &seeds.join(","))?;
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        gateways.push(start(&settings, *ip, &ports, index)?);
    }
    let end = Instant::now() + Duration::from_secs(15);
    for gateway in &gateways {
        while !is_ready(gateway.readiness) {
            if Instant::now() > end {
                return Err("a gateway is not ready".into());
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(gateways)
}

fn start(settings: &Path, ip: Ipv4Addr, ports: &[u16; 5], index: usize) -> Result<Gateway, String> {
    let folder = env::var_os("LOGS").map_or_else(directory, PathBuf::from);
    let log = folder.join(format!("gateway-{index}.log"));
    let output = fs::File::create(&log).map_err(|error| error.to_string())?;
    let child = Command::new("target/release/mastictrail")
        .arg("gateway")
        .env("MASTICTRAIL_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(Stdio::inherit())
        .spawn()
        .map_err(|error| format!("target/release/mastictrail: {error}"))?;
    let process = child.id();
    CHILDREN.lock().unwrap().push(child);
    Ok(Gateway {
        clients: (ip, ports[0]).into(),
        readiness: (ip, ports[1]).into(),
        process,
        log,
    })
}

/// Fills in `deploy/gateway.ini` as the platform does for a site without the bounds of cold runners.
fn fill_template(
    site: &Site,
    ip: Ipv4Addr,
    ports: &[u16; 5],
    zone: &str,
    index: usize,
    seeds: &str,
) -> Result<String, String> {
    let template = fs::read_to_string("deploy/gateway.ini").map_err(|error| error.to_string())?;
    let values = [
        ("NodeName", format!("edge-{zone}-{}", index + 1)),
        ("Zone", zone.to_owned()),
        ("ListenAddresses.Frontend", format!("{ip}:{}", ports[0])),
        ("ListenAddresses.Readiness", format!("{ip}:{}", ports[1])),
        ("ListenAddresses.ControlPlane", format!("{ip}:{}", ports[2])),
        ("Ip", ip.to_string()),
        ("InternalPortRange.0", ports[3].to_string()),
        ("InternalPortRange.1", ports[4].to_string()),
        ("Platform.Address", site.store.to_string()),
        ("Platform.HistoryS", "20".to_owned()),
        ("Seeds", seeds.to_owned()),
        ("Limits.Cores", "1".to_owned()),
        ("Limits.LinkMbps", format!("{:.1}", site.link_mbps)),
        ("Limits.MemoryMb", site.memory_mb.to_string()),
        ("Bounds.GraceS", "8".to_owned()),
        ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
        ("Bounds.RetryBudgetExtra", site.retry_extra.to_string()),
        ("Bounds.BudgetWindowS", "10".to_owned()),
    ];
    let mut text = String::new();
    // Sections of bounds that this site doesn't have are left out.
    let mut rest = &*template;
    while let Some(begin) = rest.find("{{#") {
        let name_end = rest[begin..]
            .find("}}")
            .ok_or("the template is not closed")?
            + begin;
        let close = format!("{{{{/{}}}}}", &rest[begin + 3..name_end]);
        let end = rest.find(&close).ok_or("a section is not closed")? + close.len();
        text.push_str(&rest[..begin]);
        rest = &rest[end..];
    }
    text.push_str(rest);
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    if text.contains("{{") {
        return Err("the settings template has an unknown placeholder".into());
    }
    Ok(text)
}

/// Returns five ports that are free at all addresses.
fn free_ports(ips: &[Ipv4Addr]) -> Result<[u16; 5], String> {
    let mut held = Vec::new();
    let mut ports = Vec::new();
    for _ in 0..200 {
        let first = TcpListener::bind((ips[0], 0)).map_err(|error| error.to_string())?;
        let port = first.local_addr().unwrap().port();
        let others: Result<Vec<_>, _> = ips[1..]
            .iter()
            .map(|ip| TcpListener::bind((*ip, port)))
            .collect();
        if let Ok(others) = others {
            ports.push(port);
            held.push((first, others));
        }
        if let [a, b, c, d, e] = ports[..] {
            return Ok([a, b, c, d, e]);
        }
    }
    Err("no ports are free".into())
}

fn is_ready(readiness: SocketAddr) -> bool {
    use std::io::{Read, Write};
    let Ok(mut stream) = TcpStream::connect(readiness) else {
        return false;
    };
    let request = "GET /v1/readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
    let mut answer = String::new();
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_to_string(&mut answer).is_ok()
        && answer.starts_with("HTTP/1.1 200")
}

/// Kills all gateways and removes their settings.
pub fn kill_all() {
    for mut child in CHILDREN.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = fs::remove_dir_all(directory());
}

fn directory() -> PathBuf {
    env::temp_dir().join(format!("review-2-{}", std::process::id()))
}
