//! Runs a workload under each design and prints the results as a table or as JSON.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use policy::{Admission, Hedge, Pacing};
use policy_bench::{
    Deployment, Design, Fault, FaultKind, Results, Traffic, Workload, WorkloadSettings, run,
};

const DESIGNS: [Design; 6] = [
    Design::Independent,
    Design::Leases,
    Design::Forward,
    Design::RoundRobin,
    Design::LeastInFlight,
    Design::StrictPriority,
];
/// Time from the start of the burst until the faults.
const FAULT_DELAY: Duration = Duration::from_secs(10);
const STRAGGLER_SLOWDOWN_PERMILLE: u64 = 5_000;
const CRASH_DOWNTIME: Duration = Duration::from_secs(8);

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let workload = Workload::new(settings(&matches));
    let selected = matches.get_one::<String>("design");
    let designs =
        DESIGNS.into_iter().filter(|it| selected.is_none_or(|name| *name == it.to_string()));
    let results: Vec<_> = designs.map(|it| run(&workload, it)).collect();
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&results)?);
    } else {
        results.iter().for_each(print);
    }
    Ok(())
}

fn command() -> Command {
    Command::new("policy-bench")
        .about("Measures the decisions of the policy crate against baselines")
        .arg(
            Arg::new("users")
                .long("users")
                .value_parser(["van-dalen", "consortium", "large-domain"])
                .default_value("van-dalen")
                .help("Whose sizes and classes"),
        )
        .arg(
            Arg::new("design")
                .long("design")
                .value_parser(PossibleValuesParser::new(DESIGNS.map(|it| it.to_string())))
                .help("One design in place of all"),
        )
        .arg(number("seed", "1", "Seed of all draws"))
        .arg(number("seconds", "60", "Time with arrivals"))
        .arg(number("burst-from", "10", "Start of the burst in seconds"))
        .arg(number("lease-tick", "500", "Time between two grants in milliseconds"))
        .arg(number("routers", "6", "Routers"))
        .arg(number("burst-permille", "3000", "Offered load in the burst"))
        .arg(number("urgent-between", "100", "Urgent target between tokens in milliseconds"))
        .arg(flag("no-pacing", "Let lower classes use all slots"))
        .arg(flag(
            "by-class",
            "Send the urgent class to one half of the routers, the rest to the other",
        ))
        .arg(flag("within-target", "Admit the middle class only within its first-token target"))
        .arg(flag("hedge", "Let the urgent class hedge"))
        .arg(flag("straggler", "Slow one server down to a fifth"))
        .arg(flag("crash", "Crash one server"))
        .arg(flag("lost-router", "Lose one router"))
        .arg(flag("json", "Print JSON"))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default).help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

fn settings(matches: &ArgMatches) -> WorkloadSettings {
    let number = |name| *matches.get_one::<u64>(name).expect("the argument has a default value");
    let deployment = match matches.get_one::<String>("users").map(String::as_str) {
        Some("consortium") => Deployment::Consortium,
        Some("large-domain") => Deployment::LargeDomain,
        _ => Deployment::VanDalen,
    };
    let burst_from = Duration::from_secs(number("burst-from"));
    WorkloadSettings {
        deployment,
        seed: number("seed"),
        duration: Duration::from_secs(number("seconds")),
        routers: number("routers") as usize,
        burst_load: number("burst-permille") as f64 / 1e3,
        faults: faults(matches, burst_from + FAULT_DELAY),
        lease_tick: Duration::from_millis(number("lease-tick")),
        burst_from,
        admission: admission(matches),
        hedge: if matches.get_flag("hedge") { Hedge::On } else { Hedge::Off },
        traffic: if matches.get_flag("by-class") { Traffic::ByClass } else { Traffic::Uneven },
        urgent_between_token_ms: number("urgent-between"),
        pacing: if matches.get_flag("no-pacing") { Pacing::Off } else { Pacing::Adaptive },
        ..WorkloadSettings::default()
    }
}

fn admission(matches: &ArgMatches) -> Admission {
    match matches.get_flag("within-target") {
        true => Admission::WithinTarget,
        false => Admission::UntilDeadline,
    }
}

fn faults(matches: &ArgMatches, at: Duration) -> Vec<Fault> {
    let kinds = [
        (
            "straggler",
            FaultKind::Straggler { server: 1, slowdown_permille: STRAGGLER_SLOWDOWN_PERMILLE },
        ),
        ("crash", FaultKind::Crash { server: 2, downtime: CRASH_DOWNTIME }),
        ("lost-router", FaultKind::RouterLost { router: 1 }),
    ];
    let selected = kinds.into_iter().filter(|it| matches.get_flag(it.0));
    selected.map(|(_, kind)| Fault { at, kind }).collect()
}

fn print(results: &Results) {
    println!(
        "{}: goodput {:.0} tokens/s ({:.1}% of the model), wasted {:.2}%, pauses {}, \
         {:.1} messages/s and {:.0} B/s a router",
        results.design,
        results.goodput,
        results.goodput_part * 100.0,
        results.wasted_part * 100.0,
        results.pauses,
        results.messages_per_router_s,
        results.bytes_per_router_s,
    );
    for class in &results.classes {
        println!(
            "  {:13} attained {:5.1}% of {:5} ({:5.1}% after faults), between {:5.1}%, refused {}, late {}, lost {}, \
             share {:.1}%",
            class.name,
            class.attainment * 100.0,
            class.offered,
            class.attainment_after_fault * 100.0,
            class.between_attainment * 100.0,
            class.refused,
            class.late,
            class.lost,
            class.share * 100.0,
        );
    }
}
