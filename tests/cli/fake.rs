//! An HTTP server that answers as a test tells it to.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;

/// A request that came.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// Its method and target, such as `GET /v1/address`.
    pub(crate) line: String,
    /// Its headers, each as `name: value`.
    pub(crate) headers: Vec<String>,
    /// Its body.
    pub(crate) body: Vec<u8>,
}

impl Seen {
    /// Returns a header's value.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let start = format!("{name}: ");
        self.headers.iter().find_map(|h| h.strip_prefix(&start))
    }
}

/// What is answered.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// A whole answer.
    Whole(u16, String),
    /// A refusal with `Retry-After`, in seconds.
    Later(u16, u64, String),
    /// The beginning of an answer, and then a cut.
    Part(String),
    /// A cut before any answer.
    Cut,
}

/// The server; it lives as long as the test's process.
#[derive(Debug)]
pub(crate) struct Fake {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

type Handler = Arc<Mutex<dyn FnMut(&Seen) -> Reply + Send>>;
type Pieces = stream::BoxStream<'static, Result<Frame<Bytes>, std::io::Error>>;

impl Fake {
    /// Starts it on a thread of its own.
    pub(crate) fn start<H>(handler: H) -> Self
    where
        H: FnMut(&Seen) -> Reply + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener.set_nonblocking(true).expect("it can be set");
        let address = listener.local_addr().expect("it is bound");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let handler: Handler = Arc::new(Mutex::new(handler));
        let requests = seen.clone();
        std::thread::spawn(move || serve(listener, requests, handler));
        Self { address, seen }
    }

    /// Returns where it is.
    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the requests that came.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        lock(&self.seen).clone()
    }
}

/// Locks what a failed test may have left locked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T>
where
    T: ?Sized,
{
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(listener: TcpListener, seen: Arc<Mutex<Vec<Seen>>>, handler: Handler) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a loop can be started");
    runtime.block_on(async move {
        let listener = tokio::net::TcpListener::from_std(listener).expect("it is a socket");
        while let Ok((stream, _)) = listener.accept().await {
            let (seen, handler) = (seen.clone(), handler.clone());
            let service = service_fn(move |req| answer(req, seen.clone(), handler.clone()));
            let http = hyper::server::conn::http1::Builder::new();
            tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
        }
    });
}

async fn answer(
    req: Request<Incoming>,
    seen: Arc<Mutex<Vec<Seen>>>,
    handler: Handler,
) -> Result<Response<StreamBody<Pieces>>, std::io::Error> {
    let line = format!("{} {}", req.method(), req.uri());
    let text = |v: &hyper::header::HeaderValue| String::from_utf8_lossy(v.as_bytes()).into_owned();
    let headers = req.headers().iter();
    let headers = headers.map(|(n, v)| format!("{n}: {}", text(v))).collect();
    let body = req.into_body().collect().await;
    let body = body.map(|b| b.to_bytes().to_vec()).unwrap_or_default();
    let request = Seen {
        line,
        headers,
        body,
    };
    lock(&seen).push(request.clone());
    let reply = lock(&handler)(&request);
    let whole = |text: String| stream::iter([Ok(Frame::data(Bytes::from(text)))]).boxed();
    let response = Response::builder();
    let response = match reply {
        Reply::Whole(status, text) => response.status(status).body(whole(text)),
        Reply::Later(status, after, text) => response
            .status(status)
            .header("retry-after", after)
            .body(whole(text)),
        Reply::Part(text) => {
            let cut = stream::iter([Err(std::io::Error::other("cut"))]);
            response.body(whole(text).chain(cut).boxed())
        }
        Reply::Cut => return Err(std::io::Error::other("cut")),
    };
    Ok(response
        .map(|r| r.map(StreamBody::new))
        .expect("the reply is HTTP"))
}
