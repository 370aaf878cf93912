//! What operators ask, and callers that look for a router.

use std::sync::Arc;
use std::time::Duration;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use salvo::conn::SocketAddr;
use serde::Deserialize;
use serde_json::json;
use tokio::time::timeout;

use crate::edge::desk::Desk;
use crate::edge::http;
use crate::edge::render;
use crate::ids::TeamId;
use crate::ids::TopUpId;
use crate::key_hash::KeyHash;
use crate::router::AdminRequest;
use crate::tokens::Tokens;

/// How long an operator waits for the ledger's word. After that the outcome is unknown, and the same order may be given
/// again.
const WAIT: Duration = Duration::from_secs(10);

/// The paths.
pub(crate) fn routes(desk: &Arc<Desk>) -> Router {
    let question = |ask| Question {
        desk: desk.clone(),
        ask,
    };
    let top_ups = Router::with_path("v1/admin/teams/{team}/top-ups");
    Router::new()
        .push(Router::with_path("metrics").get(Shown(desk.clone())))
        .push(Router::with_path("v1/address").get(question(Ask::Address)))
        .push(Router::with_path("v1/status").get(question(Ask::Status)))
        .push(Router::with_path("v1/admin/teams").get(question(Ask::Teams)))
        .push(Router::with_path("v1/admin/config").get(question(Ask::Config)))
        .push(Router::with_path("v1/admin/drain").post(question(Ask::Drain)))
        .push(top_ups.post(question(Ask::TopUp)))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ask {
    Address,
    Status,
    Teams,
    Config,
    Drain,
    TopUp,
}

struct Question {
    desk: Arc<Desk>,
    ask: Ask,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TopUp {
    id: TopUpId,
    amount: Tokens,
}

/// Serves `/metrics`, where metrics are gathered to be read.
struct Shown(Arc<Desk>);

#[async_trait]
impl Handler for Shown {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.0.metrics.text() {
            Some(text) => render::bytes(res, 200, "text/plain; version=0.0.4", text.into_bytes()),
            None => render::json(
                res,
                404,
                &json!({"detail": "metrics go out by statsd here"}),
            ),
        }
    }
}

#[async_trait]
impl Handler for Question {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if self.ask != Ask::Address && !self.allowed(req) {
            let body = json!({"detail": "orders are taken with the operators' key, or from this VM where none is set"});
            return render::json(res, 403, &body);
        }
        let request = match self.request(req).await {
            Ok(request) => request,
            Err(detail) => return render::json(res, 400, &json!({"detail": detail})),
        };
        match timeout(WAIT, self.desk.ask(request)).await {
            Ok(Some((status, body))) => render::json(res, status, &body),
            Ok(None) => render::json(res, 503, &json!({"detail": "this router stopped"})),
            Err(_) => {
                let body = json!({"detail": "no word from the log yet; give the same order again"});
                render::json(res, 504, &body);
            }
        }
    }
}

impl Question {
    fn allowed(&self, req: &Request) -> bool {
        match &self.desk.admin_key {
            Some(key) => KeyHash::of(&http::bearer(req).0) == *key,
            None => match req.remote_addr() {
                SocketAddr::IPv4(address) => address.ip().is_loopback(),
                SocketAddr::IPv6(address) => address.ip().is_loopback(),
                _ => false,
            },
        }
    }

    async fn request(&self, req: &mut Request) -> Result<AdminRequest, String> {
        Ok(match self.ask {
            Ask::Address => AdminRequest::Address,
            Ask::Status => AdminRequest::Status,
            Ask::Teams => AdminRequest::Teams,
            Ask::Config => AdminRequest::Config,
            Ask::Drain => AdminRequest::Drain,
            Ask::TopUp => self.top_up(req).await?,
        })
    }

    async fn top_up(&self, req: &mut Request) -> Result<AdminRequest, String> {
        let team = req.param::<String>("team").unwrap_or_default();
        let team: TeamId = team.parse().map_err(|error| format!("team: {error}"))?;
        let body = http::read_body(req, &self.desk)
            .await
            .map_err(|problem| problem.detail)?;
        let top_up: TopUp = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
        Ok(AdminRequest::TopUp {
            id: top_up.id,
            team,
            amount: top_up.amount,
        })
    }
}
