//! A link that carries a limited number of bytes a second towards a caller.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::thread;
use std::time::Duration;

const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// The segments of an Ethernet link, in bytes. Those of the loopback interface are 45 times as large, and so are the buffers
/// that the system gives a connection with them.
const SEGMENT: i32 = 1460;

/// The receive buffer of a caller on a slow link, in bytes.
const BUFFER: i32 = 32 * 1024;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
}

/// Starts a link for one connection to a router, and returns the address to which its caller connects.
pub fn start(ip: &str, router: SocketAddr, rate: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || -> io::Result<()> {
        let (caller, _) = listener.accept()?;
        let upstream = connect(router)?;
        let (mut from, mut to) = (caller.try_clone()?, upstream.try_clone()?);
        thread::spawn(move || {
            let _ = io::copy(&mut from, &mut to);
            let _ = to.shutdown(Shutdown::Write);
        });
        carry(upstream, caller, rate)
    });
    Ok(address)
}

fn carry(mut from: TcpStream, mut to: TcpStream, rate: usize) -> io::Result<()> {
    let mut piece = vec![0; 4096];
    loop {
        let got = from.read(&mut piece).unwrap_or(0);
        if got == 0 {
            return to.shutdown(Shutdown::Both);
        }
        to.write_all(&piece[..got])?;
        thread::sleep(Duration::from_secs_f64(got as f64 / rate as f64));
    }
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    unsafe extern "C" {
        fn connect(socket: i32, address: *const u8, size: u32) -> i32;
    }
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let mut bytes = [0; 16];
    bytes[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: The socket is new and owned by the stream; the pointers lead to values of the sizes given.
    unsafe {
        let stream = TcpStream::from_raw_fd(socket(AF_INET, SOCK_STREAM, 0));
        setsockopt(stream.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, &SEGMENT, 4);
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &BUFFER, 4);
        match connect(stream.as_raw_fd(), bytes.as_ptr(), 16) {
            0 => Ok(stream),
            _ => Err(io::Error::last_os_error()),
        }
    }
}
