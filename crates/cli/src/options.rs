//! Command-line options.

use bpaf::{OptionParser, Parser, construct, long, positional, pure};
use std::net::SocketAddr;
use std::path::PathBuf;
use unit::Name;

/// Parsed command line.
#[derive(Debug, Clone)]
pub struct Options {
    /// Print JSON instead of tables.
    pub json: bool,
    /// Settings file.
    pub settings: PathBuf,
    pub command: Command,
}

/// A command with its arguments.
#[derive(Debug, Clone)]
pub enum Command {
    /// Validates a bundle.
    Check {
        /// Bundle file.
        file: PathBuf,
        /// Also check that it fits the accelerators in the host list.
        fleet: bool,
    },
    /// Compares a bundle with the one in force.
    Diff {
        /// Bundle file.
        file: PathBuf,
    },
    /// Writes a signed draft of a bundle.
    Propose {
        /// Bundle file.
        file: PathBuf,
        /// Proposing operator.
        credentials: Credentials,
    },
    /// Approves a draft.
    Approve {
        /// Id of the draft.
        draft: Name,
        /// Approving operator.
        credentials: Credentials,
    },
    /// Puts an approved draft in force.
    Roll {
        /// Id of the draft.
        draft: Name,
    },
    /// Shows the bundle in force, where it is in force, and the drafts.
    BundleStatus,
    /// Shows past bundles.
    History,
    /// Prints the bundle in force, or a past one, as INI.
    Show {
        /// Sequence of the bundle; `None` for the one in force.
        sequence: Option<u64>,
    },
    /// Shows hosts, upstreams and models.
    Status {
        /// Metrics addresses of daemons on a platform; if empty, the daemons in the host list are asked.
        metrics: Vec<SocketAddr>,
    },
    /// Explains a request.
    WhyRequest {
        /// Log files; if empty, the daemons are asked.
        logs: Vec<PathBuf>,
        /// Id of the request.
        request: Name,
    },
    /// Counts request outcomes from logs.
    Losses {
        /// Log files of daemons on a platform.
        logs: Vec<PathBuf>,
        /// Length of a row, in seconds.
        step: u32,
    },
    /// Explains a model's placement.
    WhyModel {
        /// Name of the model.
        model: Name,
    },
    /// Explains a move.
    WhyMove {
        /// Hall and fence of the move, as `HALL/TERM.NUMBER`.
        fence: Name,
    },
    /// Lists the recorded moves, newest first.
    Moves,
    /// Drains a host.
    Drain {
        /// Name of the host.
        host: Name,
    },
    /// Generates an operator's key.
    KeyMake {
        /// New key file.
        file: PathBuf,
    },
    /// Prints the public key of a key file.
    KeyShow {
        /// Key file.
        file: PathBuf,
    },
    /// Lists the operators' keys in the settings and whether they are revoked.
    KeyList,
    /// Hashes a caller's key for a bundle.
    KeyHash {
        /// Key of the caller.
        key: Name,
    },
    /// Generates a wire key, which authenticates messages between daemons.
    KeyWire,
}

/// Name and key file of the operator that signs.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// Name of the operator in the settings.
    pub operator: Name,
    /// Key file.
    pub key: PathBuf,
}

fn credentials() -> impl Parser<Credentials> {
    let operator = long("operator")
        .help("Operator's name in the settings")
        .argument::<String>("NAME")
        .map(Name::from);
    let key = long("key")
        .help("Operator's key file")
        .argument::<PathBuf>("FILE");
    construct!(Credentials { operator, key })
}

fn name(meta: &'static str) -> impl Parser<Name> {
    positional::<String>(meta).map(Name::from)
}

fn file(meta: &'static str) -> impl Parser<PathBuf> {
    positional::<PathBuf>(meta)
}

fn bundle() -> OptionParser<Command> {
    let check = {
        let fleet = long("fleet")
            .help("Also check that it fits the accelerators in the host list")
            .switch();
        let file = file("FILE");
        construct!(Command::Check { fleet, file })
            .to_options()
            .descr("Validates a bundle and lists every problem with its line")
            .command("check")
    };
    let diff = {
        let file = file("FILE");
        construct!(Command::Diff { file })
            .to_options()
            .descr("Shows the effects of rolling a bundle: changes, loads, memory")
            .command("diff")
    };
    let propose = {
        let (credentials, file) = (credentials(), file("FILE"));
        construct!(Command::Propose { credentials, file })
            .to_options()
            .descr("Writes a signed draft of a bundle")
            .footer("Example: coveford --settings ops.ini bundle propose b.ini --operator alice --key alice.key")
            .command("propose")
    };
    let approve = {
        let (credentials, draft) = (credentials(), name("DRAFT"));
        construct!(Command::Approve { credentials, draft })
            .to_options()
            .descr("Approves a draft of another operator")
            .command("approve")
    };
    let roll = {
        let draft = name("DRAFT");
        construct!(Command::Roll { draft })
            .to_options()
            .descr("Puts an approved draft in force")
            .command("roll")
    };
    let show = {
        let sequence = positional::<u64>("SEQUENCE").optional();
        construct!(Command::Show { sequence })
            .to_options()
            .descr("Prints a bundle as INI; going back is rolling such a file forward")
            .command("show")
    };
    let status = pure(Command::BundleStatus)
        .to_options()
        .descr("Shows the bundle in force and the drafts")
        .command("status");
    let history = pure(Command::History)
        .to_options()
        .descr("Lists past bundles")
        .command("history");
    construct!([check, diff, propose, approve, roll, show, status, history])
        .to_options()
        .descr("Bundles of intent: check, diff, propose, approve, roll, show, status, history")
}

fn why() -> OptionParser<Command> {
    let request = {
        let request = name("REQUEST");
        let logs = long("log")
            .help("Log of a daemon on a platform; repeatable; - is standard input")
            .argument::<PathBuf>("FILE")
            .many();
        construct!(Command::WhyRequest { logs, request })
            .to_options()
            .descr("Explains what happened to a request, from the record of its host or from logs")
            .command("request")
    };
    let model = {
        let model = name("MODEL");
        construct!(Command::WhyModel { model })
            .to_options()
            .descr("Explains where a model is placed and why")
            .command("model")
    };
    let fence = {
        let fence = name("HALL/TERM.NUMBER");
        construct!(Command::WhyMove { fence })
            .to_options()
            .descr("Explains a move")
            .command("move")
    };
    construct!([request, model, fence])
        .to_options()
        .descr("Explains a request, a model or a move")
}

fn key() -> OptionParser<Command> {
    let make = {
        let file = file("FILE");
        construct!(Command::KeyMake { file })
            .to_options()
            .descr("Generates an operator's key")
            .command("make")
    };
    let show = {
        let file = file("FILE");
        construct!(Command::KeyShow { file })
            .to_options()
            .descr("Prints the public key of a key file")
            .command("show")
    };
    let hash = {
        let key = name("KEY");
        construct!(Command::KeyHash { key })
            .to_options()
            .descr("Hashes a caller's key for a bundle")
            .command("hash")
    };
    let list = pure(Command::KeyList)
        .to_options()
        .descr("Lists the operators' keys")
        .command("list");
    let wire = pure(Command::KeyWire)
        .to_options()
        .descr("Generates a key for the inner protocol")
        .command("wire");
    construct!([make, show, hash, list, wire])
        .to_options()
        .descr("Keys of operators, callers and the inner protocol")
}

fn parser() -> OptionParser<Options> {
    let json = long("json").help("Print JSON instead of tables").switch();
    let settings = long("settings")
        .short('s')
        .help("Settings file; a daemon's settings file works too")
        .argument::<PathBuf>("FILE.ini")
        .fallback(PathBuf::from("coveford.ini"));
    let bundle = bundle().command("bundle");
    let why = why().command("why");
    let key = key().command("key");
    let status = {
        let metrics = long("metrics")
            .help("Metrics address of a daemon on a platform; repeatable")
            .argument::<SocketAddr>("IP:PORT")
            .many();
        construct!(Command::Status { metrics })
            .to_options()
            .descr("Shows hosts, upstreams and models, or the state of daemons on a platform")
            .command("status")
    };
    let losses = {
        let step = long("step")
            .help("Length of a row, in seconds")
            .argument::<u32>("SECONDS")
            .guard(|step| *step > 0, "a row must be at least one second long")
            .fallback(2);
        let logs = long("log")
            .help("Log of a daemon on a platform; repeatable; - is standard input")
            .argument::<PathBuf>("FILE")
            .some("give at least one log with --log FILE");
        construct!(Command::Losses { logs, step })
            .to_options()
            .descr("Counts request outcomes by cause, route and second, from logs")
            .command("losses")
    };
    let moves = pure(Command::Moves)
        .to_options()
        .descr("Lists recorded moves and their reasons, newest first")
        .command("moves");
    let drain = {
        let host = name("HOST");
        construct!(Command::Drain { host })
            .to_options()
            .descr("Drains a host: requests in flight complete, then its daemon stops")
            .command("drain")
    };
    let command = construct!([bundle, status, why, losses, moves, drain, key]);
    construct!(Options {
        json,
        settings,
        command
    })
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Manages bundles of intent, and shows and explains the state of coveford")
    .footer("Examples:\n  coveford --settings ops.ini bundle check b.ini --fleet\n  coveford --settings ops.ini why request d1-5f3a-2c\n  coveford why request 9c41d07be2a35f68 --log d1.log --log d2.log\n  coveford losses --log d1.log --log d2.log\n  coveford status --metrics 10.1.0.38:9464 --metrics 10.2.0.40:9464\nExit codes: 0 done, 2 wrong use, 3 refused, 4 unreachable, 5 not known yet")
}

/// Parses the command line of this process; exits with code 2 if it is invalid.
pub fn parse() -> Options {
    let args = bpaf::Args::current_args();
    match parser().run_inner(args) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            let code = if failure.exit_code() == 0 { 0 } else { 2 };
            std::process::exit(code)
        }
    }
}
