//! Relays an answer that counts once it is whole.

use http::{HeaderMap, StatusCode};
use httpio::{Bytes, client::Response, server::Reply};
use policy::{Execution, Failure as Symptom};

use super::passage::Passage;
use crate::{
    backends::AttemptError,
    outcome::Failure,
    patience::{Worked, while_wanted},
    refusals,
};

/// A server's answer that has arrived whole.
#[derive(Debug, Clone)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Answers with the first whole answer that is no failure, or else with the last failure of a
/// server.
pub(super) async fn serve(mut passage: Passage) -> Result<Reply, Failure> {
    let gone = passage.call.routed.arrival.request.disconnected.clone();
    let mut failed = None;
    let worked = while_wanted(&gone, passage.left(), attempts(&mut passage, &mut failed)).await;
    let ended = match worked {
        Worked::Done(Ok(answer)) => Ok(answer),
        Worked::Done(Err(failure)) => Err(failure),
        Worked::Late | Worked::CallerGone => Err(refusals::late(passage.call.known_outcome())),
    };
    match (ended, failed) {
        (Ok(answer), _) => {
            passage.call.finish(0);
            Ok(answer.into_reply())
        }
        (Err(_), Some(answer)) => {
            passage.call.abandon();
            Ok(answer.into_reply())
        }
        (Err(failure), None) => {
            passage.call.abandon();
            Err(failure)
        }
    }
}

async fn attempts(passage: &mut Passage, failed: &mut Option<Answer>) -> Result<Answer, Failure> {
    loop {
        let error = match attempt(passage).await {
            Ok(answer) if answer.status.is_server_error() && passage.is_repeatable() => {
                let detail = format!("the backend server answered {}", answer.status);
                *failed = Some(answer);
                let (failure, execution) = (Symptom::Other, Execution::MayHaveRun);
                AttemptError { failure, execution, detail }
            }
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        passage.call.next_place(error).await?;
    }
}

async fn attempt(passage: &mut Passage) -> Result<Answer, AttemptError> {
    let response = passage.send().await?;
    Answer::collect(passage, response).await
}

impl Answer {
    pub(super) async fn collect(
        passage: &Passage,
        response: Response,
    ) -> Result<Answer, AttemptError> {
        let status = response.head.status;
        let headers = passage.dialect.returned(&response.head.headers);
        let body = response.body.collect().await?;
        Ok(Answer { status, headers, body })
    }

    pub(super) fn into_reply(self) -> Reply {
        Reply::whole(self.status, self.headers, self.body)
    }
}
