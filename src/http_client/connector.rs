//! Opens connections that give other tasks a turn.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::Uri;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::paced_stream::PacedStream;

/// Opens connections.
#[derive(Clone, Debug)]
pub(super) struct Connector(HttpConnector);

impl Connector {
    pub(super) fn new(connector: HttpConnector) -> Self {
        Self(connector)
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<PacedStream<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let opening = self.0.call(uri);
        Box::pin(async {
            let stream = opening.await?.into_inner();
            Ok(TokioIo::new(PacedStream::new(stream)))
        })
    }
}

impl Connection for PacedStream<TcpStream> {
    fn connected(&self) -> Connected {
        self.get_ref().connected()
    }
}
