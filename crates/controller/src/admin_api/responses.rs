//! Answers of the admin API.

use beamhinge_admin_api::messages::{Code, Problem};
use beamhinge_core::http::Content;
use beamhinge_core::messages::Effect;
use beamhinge_core::types::RequestId;
use serde::Serialize;

/// `Retry-After` header of an answer that tells the client to retry, seconds.
const RETRY_AFTER_S: u32 = 1;

/// Answers with a value as JSON.
pub fn respond<T: Serialize>(out: &mut Vec<Effect>, to: RequestId, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_else(|error| {
        tracing::error!(%error, "cannot encode answer of the admin API");
        Vec::new()
    });
    out.push(Effect::AdminAnswer {
        to,
        status,
        retry_after: matches!(status, 429 | 503).then_some(RETRY_AFTER_S),
        content: Content::Json,
        body,
    });
}

/// Answers that a request is refused, with the reason.
pub fn refuse(out: &mut Vec<Effect>, to: RequestId, status: u16, code: Code, error: &str) {
    let problem = Problem {
        code,
        error: error.to_string(),
        ahead_ms: None,
    };
    respond(out, to, status, &problem);
}

/// Answers 503, which tells the client to retry.
pub fn busy(out: &mut Vec<Effect>, to: RequestId, error: &str) {
    refuse(out, to, 503, Code::Busy, error);
}
