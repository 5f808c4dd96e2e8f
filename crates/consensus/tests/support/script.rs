//! The script language for a simulated cluster whose application is a journal.

use std::error::Error;

use consensus::Proposal;
use goldenscript::{Context, Runner};

use crate::{cluster::Cluster, faults::Fault, journal::Journal};

#[derive(goldenscript::Command)]
pub(crate) enum Step {
    /// Starts a cluster of this many voters, led by n1.
    Cluster {
        size: u64,
        #[arg(key, optional)]
        seed: u64,
    },
    /// Proposes a line for the journal at a node.
    Propose(u64, String),
    /// Proposes this many lines at a node.
    ProposeMany(u64, u64),
    /// Prints the outcome of the last proposal at the node that accepted it.
    Outcome,
    /// Prints the length and the last lines of a node's journal.
    Journal(u64),
    #[command(other)]
    /// Runs a command that is the same for every application.
    Fault(goldenscript::Command),
}

#[derive(Default)]
pub(crate) struct Script {
    cluster: Option<Cluster<Journal>>,
    last_proposal: Option<(u64, Proposal)>,
}

impl Runner for Script {
    type Command = Step;

    fn run(&mut self, step: &Step, _context: &Context) -> Result<String, Box<dyn Error>> {
        if let Step::Cluster { size, seed } = step {
            let mut cluster = Cluster::new(*size, *seed);
            cluster.elect_n1();
            self.cluster = Some(cluster);
            return Ok(String::new());
        }
        let cluster = self.cluster.as_mut().ok_or("start a cluster first")?;
        match step {
            Step::Cluster { .. } => {}
            Step::Propose(id, text) => {
                self.last_proposal = Some((*id, cluster.propose(*id, text.as_bytes())?));
            }
            Step::ProposeMany(id, count) => {
                for number in 1..=*count {
                    let line = format!("line {number}");
                    self.last_proposal = Some((*id, cluster.propose(*id, line.as_bytes())?));
                }
            }
            Step::Outcome => {
                let (id, proposal) = self.last_proposal.ok_or("nothing was proposed")?;
                return Ok(match cluster.response(id, proposal) {
                    None => "unknown\n".to_owned(),
                    Some(Ok(_)) => "committed\n".to_owned(),
                    Some(Err(text)) => format!("lost: {text}\n"),
                });
            }
            Step::Journal(id) => {
                let lines: Vec<_> = cluster.hosts[id].app.lines().collect();
                let tail = lines.iter().rev().take(4).rev().copied().collect::<Vec<_>>();
                return Ok(format!("{} lines: ..{}\n", lines.len(), tail.join(", ")));
            }
            Step::Fault(command) => return cluster.fault(&Fault::try_from(command)?),
        }
        Ok(String::new())
    }
}
