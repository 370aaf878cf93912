//! A stand-in for a runner, which lists itself in the store.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Head;
use crate::http::read_body;
use crate::http::read_head;
use crate::store::Store;

/// The topic of runners.
const SERVERS: &str = "keyed.servers";

/// How often a runner writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// The additional bytes of a faulty runner: a refusal as runners word it, which belongs to no request.
const EXTRA: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// What a runner does with a request.
#[derive(Clone)]
pub enum Work {
    /// Answers with a body of so many bytes after a time.
    Body { bytes: usize, after: Duration },
    /// Answers as `Body` does. Additional bytes follow late, where the next answer over the channel is expected.
    BodyAndExtra { bytes: usize, after: Duration },
    /// Answers with a stream of so many events, one each `gap`.
    Stream { events: usize, gap: Duration },
    /// Crashes after so many events of a stream, one each `gap`, and is back after a time.
    Crash {
        events: usize,
        gap: Duration,
        down: Duration,
    },
}

/// One request as a runner saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub runner: String,
    pub name: String,
    pub path: String,
    /// How its run ended: `None` while it goes on.
    pub end: Option<&'static str>,
}

/// Chooses what is done with a request.
pub type Plan = Arc<dyn Fn(&Head) -> Work + Send + Sync>;

/// A runner.
pub struct Runner {
    pub id: String,
    service: String,
    pub address: SocketAddr,
    plan: Plan,
    seen: Arc<Mutex<Vec<Seen>>>,
    connections: Mutex<Vec<TcpStream>>,
    crashed: AtomicBool,
}

impl Runner {
    /// Starts a runner and lists it. What it sees is added to `seen`.
    pub fn start(
        store: &Store,
        ip: &str,
        id: &str,
        service: &str,
        plan: Plan,
        seen: Arc<Mutex<Vec<Seen>>>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            plan,
            seen,
            connections: Mutex::default(),
            crashed: AtomicBool::new(false),
        });
        let (listed, store) = (runner.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                if !listed.crashed.load(Ordering::Relaxed) {
                    store.put(SERVERS, &listed.id, &listed.entry(sequence));
                }
                thread::sleep(HEARTBEAT);
            }
        });
        let accepting = runner.clone();
        thread::spawn(move || accepting.live(listener));
        Ok(runner)
    }

    fn entry(&self, sequence: u64) -> String {
        let (service, address) = (&self.service, self.address);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence}}}"
        )
    }

    /// Serves until a crash, and again when the runner is back.
    fn live(self: &Arc<Self>, mut listener: TcpListener) {
        loop {
            let (crash, crashes) = std::sync::mpsc::channel();
            let accepting = listener.try_clone().expect("a listener");
            let runner = self.clone();
            thread::spawn(move || {
                for stream in accepting.incoming() {
                    if runner.crashed.load(Ordering::Relaxed) {
                        return;
                    }
                    let Ok(stream) = stream else { return };
                    if let Ok(clone) = stream.try_clone() {
                        runner.connections.lock().unwrap().push(clone);
                    }
                    let (runner, crash) = (runner.clone(), crash.clone());
                    thread::spawn(move || runner.serve(stream, &crash));
                }
            });
            let Ok(down) = crashes.recv() else { return };
            self.crashed.store(true, Ordering::Relaxed);
            for stream in self.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            // Wakes the thread that accepts, which then drops its listener.
            let _ = TcpStream::connect(self.address);
            drop(listener);
            thread::sleep(down);
            self.crashed.store(false, Ordering::Relaxed);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(50)),
                }
            };
        }
    }

    fn serve(
        &self,
        stream: TcpStream,
        crash: &std::sync::mpsc::Sender<Duration>,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut from = BufReader::new(stream);
        let mut owes_extra = false;
        while let Some(head) = read_head(&mut from)? {
            read_body(&mut from, &head)?;
            if std::mem::take(&mut owes_extra) {
                out.write_all(EXTRA)?;
            }
            if head.target() == "/health" {
                let id = &self.id;
                write!(
                    out,
                    "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            let expected = head.get("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                write!(
                    out,
                    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            let name = head.get("request-id").unwrap_or_default().to_owned();
            let number = self.begin(&head, &name);
            let end = match (self.plan)(&head) {
                Work::Crash { events, gap, down } => {
                    if events > 0 {
                        begin_stream(&mut out, &name)?;
                        send_events(&mut out, &name, events, gap)?;
                    }
                    self.end(number, "crashed");
                    let _ = crash.send(down);
                    return Ok(());
                }
                Work::Body { bytes, after } => send_body(&mut out, &name, bytes, after),
                Work::BodyAndExtra { bytes, after } => {
                    owes_extra = true;
                    send_body(&mut out, &name, bytes, after)
                }
                Work::Stream { events, gap } => stream_events(&mut out, &name, events, gap),
            };
            self.end(number, if end.is_ok() { "whole" } else { "cut" });
            end?;
        }
        Ok(())
    }

    fn begin(&self, head: &Head, name: &str) -> usize {
        let mut seen = self.seen.lock().unwrap();
        seen.push(Seen {
            at: Instant::now(),
            runner: self.id.clone(),
            name: name.to_owned(),
            path: head.target().to_owned(),
            end: None,
        });
        seen.len() - 1
    }

    fn end(&self, number: usize, end: &'static str) {
        self.seen.lock().unwrap()[number].end = Some(end);
    }
}

fn send_body(out: &mut TcpStream, name: &str, bytes: usize, after: Duration) -> io::Result<()> {
    thread::sleep(after);
    let seal = seal(name);
    write!(
        out,
        "HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nResponse-Seal: {seal}\r\nContent-Length: {bytes}\r\n\r\n"
    )?;
    out.write_all(&vec![b'x'; bytes])
}

fn stream_events(out: &mut TcpStream, name: &str, events: usize, gap: Duration) -> io::Result<()> {
    begin_stream(out, name)?;
    send_events(out, name, events, gap)?;
    write!(out, "0\r\n\r\n")
}

fn begin_stream(out: &mut TcpStream, name: &str) -> io::Result<()> {
    let seal = seal(name);
    write!(
        out,
        "HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nResponse-Seal: {seal}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
}

fn send_events(out: &mut TcpStream, name: &str, events: usize, gap: Duration) -> io::Result<()> {
    for number in 1..=events {
        thread::sleep(gap);
        let event = format!("id: {number}\ndata: tokens of {name}\n\n");
        write!(out, "{:x}\r\n{event}\r\n", event.len())?;
    }
    Ok(())
}

/// Returns the seal of the answer to a request.
pub fn seal(name: &str) -> String {
    format!("seal.{name}")
}
