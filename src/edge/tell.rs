//! Short messages between routers by datagram: what is worth telling, and not worth asking for again.

use std::io;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tracing::debug;
use tracing::warn;

use crate::edge::desk::Desk;
use crate::router::Event;
use crate::router::Peer;
use crate::router::PromptNotice;

/// The version of these messages, their first byte; others are not read.
const VERSION: u8 = 1;

/// The longest message: two names and two numbers.
const MOST: usize = 512;

/// Sends and takes in messages.
#[derive(Clone)]
pub(crate) struct Teller(Arc<UdpSocket>);

impl Teller {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// When it is taken or is not this machine's.
    pub(crate) async fn bind(address: std::net::SocketAddr) -> io::Result<Self> {
        Ok(Self(Arc::new(UdpSocket::bind(address).await?)))
    }

    /// Tells peers of a long prompt.
    pub(crate) fn tell(&self, reading: &PromptNotice, peers: &[Peer]) {
        let mut message = vec![VERSION];
        match postcard::to_stdvec(reading) {
            Ok(bytes) => message.extend(bytes),
            Err(error) => return warn!(event = "not-told", %error),
        }
        for peer in peers {
            let Ok(address) = peer.address.parse::<std::net::SocketAddr>() else {
                continue;
            };
            if let Err(error) = self.0.try_send_to(&message, address) {
                debug!(event = "not-told", vm = %peer.vm, %error);
            }
        }
    }

    /// Takes in messages for ever.
    pub(crate) async fn listen(self, desk: Arc<Desk>) {
        let mut buffer = [0; MOST];
        loop {
            let length = match self.0.recv_from(&mut buffer).await {
                Ok((length, _)) => length,
                Err(error) => {
                    debug!(event = "datagram-lost", %error);
                    continue;
                }
            };
            match buffer[..length].split_first() {
                Some((&VERSION, bytes)) => match postcard::from_bytes(bytes) {
                    Ok(reading) => desk.tell(Event::PromptNotice(reading)),
                    Err(error) => warn!(event = "datagram-unreadable", %error),
                },
                _ => warn!(event = "datagram-version", length),
            }
        }
    }
}
