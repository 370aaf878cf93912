//! Routers: processes of the project's own program, each on a VM with an address of its own.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_head;

pub const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// How long a router may take until it serves.
const START: Duration = Duration::from_secs(20);

/// A router.
pub struct Router {
    pub vm: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Child,
}

impl Router {
    /// Starts a router with the command of the deploy file.
    pub fn start(
        root: &Path,
        dir: &Path,
        ip: &str,
        vm: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let port = free_ports(ip)?;
        let settings = dir.join(format!("{vm}.json"));
        let text = format!(
            "{{\"vm\":\"{vm}\",\"domain\":\"zone-a\",\"front\":\"{ip}:{}\",\"ready\":\"{ip}:{}\",\"directory\":\"{ip}:{}\",\
             \"peer_listen\":\"{ip}:{}\",\"admin\":\"{ip}:{}\",\"store\":\"{store}\",\"cpu_share\":0.25,\"link_mbps\":1000.0,\
             \"grace_ms\":8000,\"keep_ms\":1000,\"config_ms\":2000,\"retry_ratio\":0.2,\"retry_spare\":52,\
             \"retry_window_ms\":10000,\"max_descriptors\":4100,\"brittle_grace_ms\":3000}}",
            port,
            port + 1,
            port + 2,
            port + 3,
            port + 5,
        );
        fs::write(&settings, text)?;
        let program = root.join("target/release/jasmineridged");
        let log = dir.join(format!("{vm}.log"));
        let child = spawn(&program, &settings, &log)?;
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Ok(Self {
            vm: vm.to_owned(),
            front: address(port),
            ready: address(port + 1),
            settings,
            log,
            program,
            child,
        })
    }

    /// Starts the router again with the same settings.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.settings, &self.log)?;
        Ok(())
    }

    /// Waits until the router is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + START;
        while Instant::now() < until {
            if self.is_ready().unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} does not get ready", self.vm)))
    }

    fn is_ready(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect(self.ready)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        write!(
            stream,
            "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
        )?;
        let head = read_head(&mut BufReader::new(stream))?;
        Ok(head.is_some_and(|head| head.status() == 200))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: The process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// Returns what the process wrote of a panic.
    pub fn panic(&self) -> Option<String> {
        let log = fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        let mut lines = log.lines().skip_while(|line| !line.contains("panicked at"));
        Some(format!("{} {}", lines.next()?, lines.next()?))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new(program);
    command.args(["--site", "--settings"]).arg(settings);
    command
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log);
    // SAFETY: `prctl` may be called between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
    command.spawn()
}

/// Returns the first of six free ports in a row on an address.
fn free_ports(ip: &str) -> io::Result<u16> {
    for _ in 0..100 {
        let first = TcpListener::bind((ip, 0))?;
        let port = first.local_addr()?.port();
        if port > u16::MAX - 6 {
            continue;
        }
        let rest: Vec<_> = (1..6)
            .map(|next| TcpListener::bind((ip, port + next)))
            .collect();
        if rest.iter().all(Result::is_ok) {
            return Ok(port);
        }
    }
    Err(io::Error::other("no free ports"))
}
