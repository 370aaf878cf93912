//! Callers: connections to routers, requests and answers.

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::Head;
use crate::http::read_chunk;
use crate::http::read_head;
use crate::runner::seal;

/// The host of all routes.
pub const HOST: &str = "desk.example";

/// How an attempt ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer with this status.
    Answered(u16),
    /// The channel ended within the answer, after so many bytes of its body.
    Cut(usize),
    /// The channel ended before the answer.
    NoAnswer,
    /// A success that does not bear the seal of this request.
    Foreign,
    /// The time limit passed.
    TimedOut,
}

/// A kept channel.
pub struct Channel {
    out: TcpStream,
    from: BufReader<TcpStream>,
}

/// A request.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub name: &'a str,
    pub deadline: Duration,
    /// More headers, each of which ends its line.
    pub headers: &'a str,
    pub body: &'a [u8],
}

impl Channel {
    /// Opens a channel, for which clients allow a second.
    pub fn open(front: SocketAddr) -> io::Result<Self> {
        Self::of(TcpStream::connect_timeout(&front, Duration::from_secs(1))?)
    }

    /// Uses a connection as a channel.
    pub fn of(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            out: stream.try_clone()?,
            from: BufReader::with_capacity(4096, stream),
        })
    }

    /// Sends a request.
    pub fn send(&mut self, request: &Request<'_>) -> io::Result<()> {
        let Request {
            method,
            path,
            name,
            headers,
            ..
        } = request;
        let deadline = request.deadline.as_millis();
        let length = request.body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\nDeadline-Ms: {deadline}\r\n\
             Content-Length: {length}\r\n{headers}\r\n"
        );
        self.out
            .write_all(&[head.as_bytes(), request.body].concat())
    }

    /// Reads the answer to a request, at most so many bytes a second where a rate is given.
    pub fn read(&mut self, request: &Request<'_>, rate: Option<usize>) -> Outcome {
        let limit = request.deadline + Duration::from_secs(1);
        if self.out.set_read_timeout(Some(limit)).is_err() {
            return Outcome::NoAnswer;
        }
        let head = match read_head(&mut self.from) {
            Ok(Some(head)) => head,
            Err(error) if is_timeout(&error) => return Outcome::TimedOut,
            _ => return Outcome::NoAnswer,
        };
        let mut read = 0;
        match self.read_rest(&head, rate, &mut read) {
            Err(error) if is_timeout(&error) => Outcome::TimedOut,
            Err(_) => Outcome::Cut(read),
            Ok(()) if head.status() / 100 != 2 => Outcome::Answered(head.status()),
            Ok(()) if head.get("response-seal") != Some(&seal(request.name)) => Outcome::Foreign,
            Ok(()) => Outcome::Answered(head.status()),
        }
    }

    fn read_rest(&mut self, head: &Head, rate: Option<usize>, read: &mut usize) -> io::Result<()> {
        let length = head
            .get("content-length")
            .and_then(|text| text.parse::<usize>().ok());
        let Some(length) = length else {
            while let Some(chunk) = read_chunk(&mut self.from)? {
                *read += chunk.len();
            }
            return Ok(());
        };
        let mut piece = vec![0; 4096];
        while *read < length {
            let size = piece.len().min(length - *read);
            let got = self.from.read(&mut piece[..size])?;
            if got == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            *read += got;
            if let Some(rate) = rate {
                std::thread::sleep(Duration::from_secs_f64(got as f64 / rate as f64));
            }
        }
        Ok(())
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
