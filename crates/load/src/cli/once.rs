//! Sends one chat request and prints its answer.

use anyhow::bail;
use clap::{Arg, ArgAction, ArgMatches, Command};
use load::{
    caller::{Call, Caller, CallerSettings},
    plan::AnswerMode,
    record::Ending,
};

use super::args;

pub(crate) fn command() -> Command {
    Command::new("once")
        .about("Sends one chat request, prints the answer and checks it")
        .arg(args::addr("router", "The router"))
        .arg(args::word("token", "", "The workspace's bearer token"))
        .arg(args::word("class", "", "The class of the request"))
        .arg(args::word("model", "small", "The model"))
        .arg(args::word("request-id", "once", "The identity of the request"))
        .arg(args::number("max-tokens", "32", "The most tokens of the answer"))
        .arg(args::number("timeout-ms", "30000", "How long to wait for the end of the answer"))
        .arg(
            Arg::new("whole")
                .long("whole")
                .help("Asks for the answer as one document instead of a stream")
                .action(ArgAction::SetTrue),
        )
        .arg(Arg::new("prompt").value_name("PROMPT").required(true))
}

pub(crate) async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let call = Call {
        class: args::value(matches, "class"),
        token: args::value(matches, "token"),
        request_id: args::value(matches, "request-id"),
        model: args::value(matches, "model"),
        prompt: args::value(matches, "prompt"),
        max_tokens: u32::try_from(args::value::<u64>(matches, "max-tokens"))?,
        answer: if matches.get_flag("whole") { AnswerMode::Whole } else { AnswerMode::Streamed },
        ..Call::default()
    };
    let timeout_ms = args::value(matches, "timeout-ms");
    let caller = Caller::new(CallerSettings { timeout_ms, ..CallerSettings::default() });
    let reply = caller.send(args::value(matches, "router"), &call).await;

    println!("{}", reply.text.trim());
    let tokens = reply.tokens;
    match (&reply.ending, reply.answer_fault) {
        (Ending::Answered, None) => {
            println!(
                "-- {tokens} tokens, outcome {}, the whole answer to this request",
                reply.outcome
            );
            Ok(())
        }
        (Ending::Answered, Some(fault)) => bail!("the answer is {fault}"),
        (ending, _) => bail!("no whole answer: {ending:?}, outcome {}", reply.outcome),
    }
}
