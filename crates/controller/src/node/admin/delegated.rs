//! Converts the user API's answers to delegated operator requests to the admin API's format.

use super::super::Node;
use crate::admin_api;
use beamhinge_admin_api::messages::{Code, JobResponse, State};
use beamhinge_core::messages::Effect;
use beamhinge_core::types::RequestId;
use beamhinge_core::wire;
use serde::Deserialize;

/// Body of an answer of the user API.
#[derive(Deserialize)]
struct UserAnswer {
    #[serde(rename = "nameId")]
    job: Option<String>,
    status: Option<String>,
    error: Option<String>,
}

impl Node {
    /// Rewrites the answers among these effects that belong to delegated operator requests.
    pub(in crate::node) fn convert_delegated_answers(&mut self, effects: &mut [Effect]) {
        let Some(admin_api) = &mut self.admin_api else {
            return;
        };
        for effect in effects {
            let Effect::Answer {
                to,
                status,
                retry_after,
                body,
            } = effect
            else {
                continue;
            };
            if !admin_api.pending.take_delegated(*to) {
                continue;
            }
            let (to, status, retry_after) = (*to, *status, *retry_after);
            if let Some(Effect::AdminAnswer { content, body, .. }) = rewrite(to, status, body) {
                *effect = Effect::AdminAnswer {
                    to,
                    status,
                    retry_after,
                    content,
                    body,
                };
            }
        }
    }
}

/// Converts one answer of the user API to the admin API's format.
fn rewrite(to: RequestId, status: u16, body: &[u8]) -> Option<Effect> {
    let mut out = Vec::new();
    let answer = wire::decode::<UserAnswer>(body).ok();
    let state = answer
        .as_ref()
        .and_then(|answer| State::parse(answer.status.as_deref()?));
    let job = answer.as_ref().and_then(|answer| answer.job.clone());
    match (state, job) {
        (Some(state), Some(job)) if status < 300 => {
            admin_api::respond(&mut out, to, status, &JobResponse { job, state });
        }
        _ => {
            let reason = answer.and_then(|answer| answer.error).unwrap_or_default();
            admin_api::refuse(&mut out, to, status, code_of(status), &reason);
        }
    }
    out.pop()
}

/// Returns the error code of a refusal with this HTTP status.
fn code_of(status: u16) -> Code {
    match status {
        400 => Code::Malformed,
        404 => Code::NotFound,
        413 => Code::TooLarge,
        422 => Code::Refused,
        _ => Code::Busy,
    }
}
