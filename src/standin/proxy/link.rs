//! A link: a listener whose connections go on to a server, with faults.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::try_join;

use crate::standin::proxy::faults::Direction;
use crate::standin::proxy::faults::Faults;
use crate::standin::proxy::pump::pump;
use crate::standin::server::listen;

/// A link, which ends with its connections when it is dropped.
#[derive(Debug)]
pub(crate) struct Link {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Where its connections go on to.
    pub(crate) to: SocketAddr,
    faults: watch::Sender<Faults>,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts a link without faults.
    pub(crate) fn start(address: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let faults = watch::Sender::new(Faults::default());
        let task = tokio::spawn(accept(listener, to, faults.subscribe()));
        Ok(Self {
            address,
            to,
            faults,
            task,
        })
    }

    /// Returns the faults in force.
    pub(crate) fn faults(&self) -> Faults {
        *self.faults.borrow()
    }

    /// Puts faults in force.
    pub(crate) fn set_faults(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, faults: watch::Receiver<Faults>) {
    let mut conns = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                // An error concerns one connection, which was gone before it could be accepted.
                if let Ok((caller, _)) = accepted {
                    conns.spawn(carry(caller, to, faults.clone()));
                }
            }
            Some(_) = conns.join_next() => {}
        }
    }
}

/// Carries a connection both ways until it ends or has to be reset.
async fn carry(mut caller: TcpStream, to: SocketAddr, faults: watch::Receiver<Faults>) {
    let server = tokio::select! {
        biased;
        () = cut(faults.clone()) => None,
        server = connect(to, faults.clone()) => server.ok(),
    };
    let Some(mut server) = server else {
        reset(&caller);
        return;
    };
    let relayed = tokio::select! {
        biased;
        () = cut(faults.clone()) => Err(io::ErrorKind::ConnectionReset.into()),
        relayed = relay(&mut caller, &mut server, faults) => relayed,
    };
    if relayed.is_err() {
        reset(&caller);
        reset(&server);
    }
}

async fn connect(to: SocketAddr, mut faults: watch::Receiver<Faults>) -> io::Result<TcpStream> {
    let open = faults.wait_for(|faults| !faults.half_open).await;
    open.map_err(io::Error::other)?;
    let server = TcpStream::connect(to).await?;
    server.set_nodelay(true)?;
    Ok(server)
}

async fn relay(
    caller: &mut TcpStream,
    server: &mut TcpStream,
    faults: watch::Receiver<Faults>,
) -> io::Result<()> {
    let (from_caller, to_caller) = caller.split();
    let (from_server, to_server) = server.split();
    let there = pump(from_caller, to_server, Direction::To, faults.clone());
    let back = pump(from_server, to_caller, Direction::From, faults);
    try_join!(there, back)?;
    Ok(())
}

/// Waits until the link is cut, or gone.
async fn cut(mut faults: watch::Receiver<Faults>) {
    // The sender goes with the link, and then there is nothing to carry either.
    let _ = faults.wait_for(|faults| faults.cut).await;
}

/// Has the socket send a reset instead of an orderly end when it is dropped.
fn reset(stream: &TcpStream) {
    // It fails on a socket that is closed already, which needs no reset.
    let _ = stream.set_zero_linger();
}
