//! The commands of the golden scripts for a cluster of state machines.

use std::{collections::BTreeMap, error::Error, fmt::Debug};

use consensus::Proposal;
use control_state::{
    ClaimId, ClaimOrder, Command, Document, FencingToken, OrderKey, Plan, ProposeTables, Response,
    RouterId, decode_response, encode_command,
};
use goldenscript::{Context, Runner};
use tables::{Revision, TablesText};

use crate::{cluster::Cluster, faults::Fault, machine::Machine};

/// A command of a script. Most commands take a name, under which `response` finds them, and the
/// node to which they are sent.
#[derive(goldenscript::Command)]
pub(crate) enum Step {
    Cluster(u64),
    Tables {
        name: String,
        at: u64,
        #[arg(key)]
        change: String,
        #[arg(key)]
        base: u64,
        #[arg(key)]
        text: String,
    },
    /// Sends many changes, each based on the one before.
    ManyTables {
        at: u64,
        first_base: u64,
        count: u64,
    },
    /// Sends a version of the operator's document.
    Document {
        name: String,
        at: u64,
        version: u64,
        #[arg(key)]
        text: String,
    },
    /// Prints the document of a node.
    ShowDocument(u64),
    Claim {
        name: String,
        at: u64,
        #[arg(key)]
        key: String,
        #[arg(key)]
        id: u64,
        #[arg(key, optional)]
        body: u64,
        #[arg(key, optional)]
        router: String,
        #[arg(key, optional)]
        at_ms: u64,
        #[arg(key)]
        until_ms: Option<u64>,
    },
    Complete {
        name: String,
        at: u64,
        #[arg(key)]
        key: String,
        #[arg(key)]
        id: u64,
        #[arg(key)]
        text: String,
    },
    Release {
        name: String,
        at: u64,
        #[arg(key)]
        key: String,
        #[arg(key)]
        id: u64,
    },
    RouterGone {
        name: String,
        at: u64,
        router: String,
    },
    AdvanceTime {
        name: String,
        at: u64,
        now_ms: u64,
    },
    Fencing {
        name: String,
        at: u64,
        holder: String,
    },
    Plan {
        name: String,
        at: u64,
        fencing: u64,
    },
    /// Prints the responses to commands at the nodes to which they were sent.
    Response(Vec<String>),
    /// Prints the tables of a node.
    ShowTables(u64),
    #[command(other)]
    Fault(goldenscript::Command),
}

#[derive(Default)]
pub(crate) struct Script {
    cluster: Option<Cluster<Machine>>,
    sent: BTreeMap<String, (u64, Proposal)>,
}

impl Runner for Script {
    type Command = Step;

    fn run(&mut self, step: &Step, _context: &Context) -> Result<String, Box<dyn Error>> {
        match step {
            Step::Cluster(size) => {
                let mut cluster = Cluster::new(*size, 0);
                cluster.elect_n1();
                self.cluster = Some(cluster);
            }
            Step::Fault(command) => return self.cluster()?.fault(&Fault::try_from(command)?),
            Step::Response(names) => return names.iter().map(|it| self.response(it)).collect(),
            Step::ShowTables(id) => {
                let state = &self.cluster()?.host(*id).app.0;
                return Ok(format!("{}: {}\n", state.revision(), state.tables().routes));
            }
            Step::ShowDocument(id) => {
                let document = self.cluster()?.host(*id).app.0.document().clone();
                let text = String::from_utf8_lossy(&document.text).into_owned();
                return Ok(format!("{}: {text}\n", document.version));
            }
            Step::ManyTables { at, first_base, count } => {
                for base in *first_base..first_base + count {
                    let change = format!("many {base}");
                    self.send("many", *at, tables(&change, base, &format!("text {base}")))?;
                }
            }
            _ => {
                let (name, at, command) = command(step);
                self.send(name, at, command)?;
            }
        }
        Ok(String::new())
    }
}

impl Script {
    fn cluster(&mut self) -> Result<&mut Cluster<Machine>, Box<dyn Error>> {
        self.cluster
            .as_mut()
            .ok_or_else(|| "no cluster is running: start one with the command `cluster`".into())
    }

    fn send(&mut self, name: &str, at: u64, command: Command) -> Result<(), Box<dyn Error>> {
        let proposal = self.cluster()?.propose(at, &encode_command(&command))?;
        self.sent.insert(name.to_owned(), (at, proposal));
        Ok(())
    }

    fn response(&mut self, name: &str) -> Result<String, Box<dyn Error>> {
        let (at, proposal) = self.sent[name];
        Ok(match self.cluster()?.response(at, proposal) {
            None => format!("{name}: unknown\n"),
            Some(Err(text)) => format!("{name}: lost, {text}\n"),
            Some(Ok(bytes)) => format!("{name}: {}\n", text(&decode_response(&bytes)?)),
        })
    }
}

fn command(step: &Step) -> (&str, u64, Command) {
    match step {
        Step::Tables { name, at, change, base, text } => (name, *at, tables(change, *base, text)),
        Step::Document { name, at, version, text } => {
            let text = text.clone().into_bytes();
            (name, *at, Command::PutDocument(Document { version: *version, text }))
        }
        Step::Claim { name, at, key, id, body, router, at_ms, until_ms } => {
            let claim = ClaimOrder {
                order: order(key),
                body_hash: *body,
                router: RouterId(router.clone()),
                claim: ClaimId(*id),
                at_ms: (*at_ms).max(1),
                until_ms: until_ms.unwrap_or(u64::MAX),
            };
            (name, *at, Command::ClaimOrder(claim))
        }
        Step::Complete { name, at, key, id, text } => {
            let (order, claim) = (order(key), ClaimId(*id));
            let answer = text.clone().into_bytes();
            (name, *at, Command::CompleteOrder { order, claim, answer })
        }
        Step::Release { name, at, key, id } => {
            (name, *at, Command::ReleaseOrder { order: order(key), claim: ClaimId(*id) })
        }
        Step::RouterGone { name, at, router } => {
            (name, *at, Command::RouterGone { router: RouterId(router.clone()) })
        }
        Step::AdvanceTime { name, at, now_ms } => {
            (name, *at, Command::AdvanceTime { now_ms: *now_ms })
        }
        Step::Fencing { name, at, holder } => {
            (name, *at, Command::AcquireFencing { holder: holder.clone() })
        }
        Step::Plan { name, at, fencing } => {
            let (fencing, plan) = (FencingToken(*fencing), Plan::default());
            (name, *at, Command::PutPlan { fencing, plan })
        }
        _ => unreachable!("the caller handles the other commands"),
    }
}

fn tables(change: &str, base: u64, routes: &str) -> Command {
    let text = TablesText { routes: routes.to_owned(), pools: String::new() };
    let change = change.to_owned().into();
    Command::ProposeTables(ProposeTables { change, base: Revision(base), text })
}

fn order(key: &str) -> OrderKey {
    OrderKey { workspace: "w".to_owned(), route: "orders".to_owned(), key: key.to_owned() }
}

fn text(response: &Response) -> String {
    let show = |it: &dyn Debug| format!("{it:?}");
    match response {
        Response::Tables(it) => show(it),
        Response::Document(it) => show(it),
        Response::Claim(it) => show(it),
        Response::Settle(it) => show(it),
        Response::Fencing(it) => show(it),
        Response::Plan(it) => show(it),
        Response::Usage(it) => show(it),
        Response::Applied | Response::Unreadable => show(response),
    }
}
