//! Relays an answer after it has arrived completely.

use std::cell::RefCell;

use http::{HeaderMap, StatusCode};
use httpio::{Bytes, budget::SMALL_MESSAGE_BYTES, client::Response, server::Reply};
use policy::{Execution, Failure as FailureKind};

use super::{
    hedged::{Raced, race},
    relayed_call::RelayedCall,
};
use crate::{
    backends::AttemptError,
    deadline::{Completion, run_until_deadline},
    outcome::Failure,
    refusals,
};

/// A server's complete answer.
#[derive(Debug, Clone)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Answers with the first complete answer that is not a server error, or else with the last server
/// error. An order is answered with its first complete answer, even if that is a server error.
pub(super) async fn serve(mut relayed: RelayedCall) -> Result<Reply, Failure> {
    let disconnected = relayed.call.routed.arrival.request.disconnected.clone();
    let (stop, left) = (relayed.call.services.stop.clone(), relayed.time_left());
    let failed = RefCell::default();
    let attempts = attempts(&mut relayed, &failed);
    let completion = run_until_deadline(&disconnected, &stop, left, attempts).await;
    let result = match completion {
        Completion::Done(Ok(answer)) => Ok(answer),
        Completion::Done(Err(failure)) => Err(failure),
        Completion::DeadlinePassed | Completion::CallerDisconnected => {
            Err(refusals::deadline_passed(relayed.call.known_outcome()))
        }
    };
    match (result, failed.into_inner()) {
        (Ok(answer), _) => {
            relayed.call.finish(0);
            Ok(answer.into_reply())
        }
        (Err(_), Some(answer)) => {
            relayed.call.abandon();
            Ok(answer.into_reply())
        }
        (Err(failure), None) => {
            relayed.call.abandon();
            Err(failure)
        }
    }
}

async fn attempts(
    relayed: &mut RelayedCall,
    failed: &RefCell<Option<Answer>>,
) -> Result<Answer, Failure> {
    loop {
        match race(relayed, async |it: &mut RelayedCall| attempt(it, failed).await).await {
            Ok(answer) => return Ok(answer),
            Err(error) => relayed.call.retry(error).await?,
        }
    }
}

/// Makes one attempt. If it may be repeated, a server error fails it and is kept in `failed`.
async fn attempt(
    relayed: &mut RelayedCall,
    failed: &RefCell<Option<Answer>>,
) -> Result<Answer, AttemptError> {
    let response = relayed.send().await?;
    let answer = Answer::collect(relayed, response).await?;
    if !answer.is_server_error() || !relayed.is_repeatable() {
        return Ok(answer);
    }
    let detail = format!("the backend server answered {}", answer.status);
    // A large one would keep the memory that the next attempt may wait for.
    failed.replace(Some(answer).filter(|it| it.body.len() <= SMALL_MESSAGE_BYTES));
    let (failure, execution) = (FailureKind::Other, Execution::MayHaveRun);
    Err(AttemptError { failure, execution, detail })
}

impl Raced for Answer {
    fn is_server_error(&self) -> bool {
        self.status.is_server_error()
    }
}

impl Answer {
    pub(super) async fn collect(
        relayed: &RelayedCall,
        response: Response,
    ) -> Result<Answer, AttemptError> {
        let status = response.head.status;
        let headers = relayed.dialect.answer_headers(&response.head.headers);
        let memory = &relayed.call.services.memory.answers;
        let body = response.body.collect_within(memory).await?;
        Ok(Answer { status, headers, body })
    }

    pub(super) fn into_reply(self) -> Reply {
        Reply::whole(self.status, self.headers, self.body)
    }
}
