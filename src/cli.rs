//! Command line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use bench::{MixName, Policy};
use bpaf::Bpaf;
use credentials::Role;
use lint::Against;
use quarantine::Feature;
use units::{Millis, VmName};

/// Operate a shallottray deployment
///
/// Exit codes: 0 success, 1 failure, 2 invalid input, settings or credentials, or a
/// refused request, 3 conflict with another publication, 4 the system cannot be
/// reached.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(command))]
pub enum Command {
    /// Check objects or a set of routes without publishing them
    ///
    /// Exit codes: 0 no findings, 1 warnings only, 2 errors, 4 the version in force cannot
    /// be read.
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        operator: Operator,
        /// Show what it changes in that of a file or folder, or in the version in force at a
        /// control process
        #[bpaf(argument("PATH|IP:PORT"))]
        against: Option<Against>,
        /// Print JSON
        json: bool,
        /// Folder or file of objects, or file with a set of routes
        #[bpaf(positional("PATH"))]
        path: PathBuf,
    },
    /// Show the changes from the published set to a folder of objects
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        operator: Operator,
        /// Folder or file of objects
        #[bpaf(positional("PATH"))]
        path: PathBuf,
    },
    /// Publish a folder of objects as one set
    #[bpaf(command)]
    Publish {
        #[bpaf(external)]
        operator: Operator,
        /// Revision that the set replaces; the current one if omitted
        #[bpaf(argument("REVISION"))]
        expect: Option<u64>,
        /// Publication id; a retry with the same id does not publish again
        #[bpaf(argument("ID"))]
        publication_id: Option<String>,
        /// Wait until every entry serves the revision
        wait: bool,
        /// Timeout for --wait
        #[bpaf(argument("DURATION"), fallback(Millis(30_000)), display_fallback)]
        timeout: Millis,
        /// Folder or file of objects
        #[bpaf(positional("PATH"))]
        path: PathBuf,
    },
    /// Print a published set
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        operator: Operator,
        /// Revision to print; the current one if omitted
        #[bpaf(argument("REVISION"), fallback(0))]
        revision: u64,
    },
    /// Show the status of control processes and entries
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        operator: Operator,
        /// Print JSON
        json: bool,
    },
    /// Create the control group on one VM; the other control VMs join it
    #[bpaf(command)]
    Bootstrap {
        #[bpaf(external)]
        operator: Operator,
        /// Peer address of the control process on that VM
        #[bpaf(positional("IP:PORT"))]
        address: SocketAddr,
    },
    /// Remove a lost control replica; a standby takes its place
    #[bpaf(command)]
    Replace {
        #[bpaf(external)]
        operator: Operator,
        /// Id of the replica, as `status` shows it
        #[bpaf(positional("REPLICA"))]
        replica_id: u64,
    },
    /// Send nothing more to the upstreams of a data centre; what they run goes on
    #[bpaf(command)]
    Evacuate {
        #[bpaf(external)]
        operator: Operator,
        /// Name of the data centre
        #[bpaf(positional("DATA-CENTRE"))]
        data_centre: String,
    },
    /// Withdraw the evacuation of a data centre
    #[bpaf(command)]
    Withdraw {
        #[bpaf(external)]
        operator: Operator,
        /// Name of the data centre
        #[bpaf(positional("DATA-CENTRE"))]
        data_centre: String,
    },
    /// Prompt parts and requests under which upstreams crash, which are rejected
    #[bpaf(command)]
    Quarantine {
        #[bpaf(external)]
        operator: Operator,
        #[bpaf(external)]
        quarantine: Quarantine,
    },
    /// Create keys, certificates and tokens
    #[bpaf(command)]
    Keys {
        #[bpaf(external)]
        keys: Keys,
    },
    /// Run a benchmark
    #[bpaf(command)]
    Bench {
        #[bpaf(external)]
        bench: Bench,
    },
    /// Print the schema of settings, objects and sets of routes
    #[bpaf(command)]
    Schema {
        /// `objects`, `routes` or `settings`
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Connection to the control processes.
#[derive(Bpaf, Clone, Debug)]
pub struct Operator {
    /// File with the operator's settings
    #[bpaf(
        env("SHALLOTTRAY_OPERATOR"),
        long("operator"),
        argument("FILE"),
        fallback("operator.json".into())
    )]
    pub settings: PathBuf,
}

/// Quarantine of prompt parts and requests.
#[derive(Bpaf, Clone, Debug)]
pub enum Quarantine {
    /// List the sets of features that are, or were lately, under quarantine
    #[bpaf(command)]
    List,
    /// Reject requests with all of these features
    #[bpaf(command)]
    Add {
        /// Hexadecimal ids of prompt parts, or `request:` with the fingerprint of a
        /// request from the log
        #[bpaf(positional("FEATURE"), some("name one feature or more"))]
        features: Vec<Feature>,
    },
    /// Accept requests with all of these features again
    #[bpaf(command)]
    Lift {
        /// Hexadecimal ids of prompt parts, or `request:` with a fingerprint, as `list`
        /// shows them
        #[bpaf(positional("FEATURE"), some("name one feature or more"))]
        features: Vec<Feature>,
    },
}

/// Keys, certificates and tokens.
#[derive(Bpaf, Clone, Debug)]
pub enum Keys {
    /// Create the CA of a deployment
    #[bpaf(command)]
    Authority {
        /// Name of the deployment
        #[bpaf(argument("NAME"))]
        deployment: String,
        /// Folder for the CA's key and certificate
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Issue a certificate for a process or an operator
    #[bpaf(command)]
    Issue {
        /// Folder of the CA
        #[bpaf(argument("FOLDER"))]
        authority: PathBuf,
        /// `entry`, `control` or `operator`
        #[bpaf(argument("ROLE"))]
        role: Role,
        /// VM, or name of the operator
        #[bpaf(argument("NAME"))]
        name: VmName,
        /// Folder for the certificate and its key
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Create an API key or upstream token and print it with its SHA-256
    #[bpaf(command)]
    Token,
    /// Print the SHA-256 of a token read from standard input
    #[bpaf(command)]
    Hash,
}

/// Benchmarks; the report is JSON unless noted otherwise.
#[derive(Bpaf, Clone, Debug)]
pub enum Bench {
    /// Open-loop load: requests start on schedule, however slow the responses are
    #[bpaf(command)]
    Load {
        /// Entry whose /v1/entries lists the entries to send requests to
        #[bpaf(argument("IP:PORT"))]
        entry: String,
        /// Send all requests to that entry instead
        pin: bool,
        /// API key of a workspace
        #[bpaf(argument("KEY"))]
        key: String,
        /// Generation service
        #[bpaf(argument("NAME"), fallback("coach-llm".into()))]
        model: String,
        /// Plain service that takes POST /bookings
        #[bpaf(argument("NAME"), fallback("booking-app".into()))]
        service: String,
        /// Mean number of requests started per second
        #[bpaf(argument("RATE"), fallback(10.0))]
        rate: f64,
        /// Length of the run
        #[bpaf(argument("DURATION"), fallback(Millis(10_000)), display_fallback)]
        duration: Millis,
        /// Mean output length in tokens
        #[bpaf(argument("TOKENS"), fallback(50.0))]
        mean_tokens: f64,
        /// Share of requests that are bookings
        #[bpaf(argument("SHARE"), fallback(0.1))]
        bookings: f64,
        /// Time to first token up to which a request counts as on time
        #[bpaf(argument("DURATION"), fallback(Millis(370)), display_fallback)]
        first_token: Millis,
        /// Longest time between tokens up to which a request counts as on time
        #[bpaf(argument("DURATION"), fallback(Millis(50)), display_fallback)]
        between_tokens: Millis,
        /// Seed of arrival times, output lengths and request types
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Placement policies under load, on simulated engines; prints a table
    #[bpaf(command)]
    Policy {
        /// Request mix, `stride` or `lidworks`; may be repeated, both if omitted
        #[bpaf(argument("MIX"))]
        mix: Vec<MixName>,
        /// Placement policy; may be repeated, all if omitted
        #[bpaf(argument("POLICY"))]
        policy: Vec<Policy>,
        /// Offered load as a share of capacity; may be repeated, 0.7, 0.9, 1.1 and 1.5 if omitted
        #[bpaf(argument("LOAD"))]
        load: Vec<f64>,
        /// Number of runs of each combination, each with its own seed
        #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
        seeds: u64,
        /// Simulated duration of one run in seconds
        #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
        seconds: u64,
        /// Number of runs in parallel
        #[bpaf(argument("COUNT"), fallback(4))]
        threads: usize,
        /// One engine fails during each run
        engine_lost: bool,
        /// One engine becomes slow during each run
        engine_slow: bool,
        /// The arrival rate doubles for 5 s in every 30 s
        bursts: bool,
        /// Print JSON instead of a table
        json: bool,
        /// Folder to write plots to
        #[bpaf(argument("FOLDER"))]
        plots: Option<PathBuf>,
    },
    /// Unit costs that docs/CAPACITY.md is based on
    #[bpaf(command)]
    Slopes {
        /// New folder on the disk to measure
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Latency that an entry adds compared with direct access to the stand-ins
    #[bpaf(command)]
    Overhead {
        /// Address of the entry
        #[bpaf(argument("IP:PORT"))]
        entry: String,
        /// Address of the engine stand-in, which must run with --stamp
        #[bpaf(argument("IP:PORT"))]
        engine: String,
        /// Address of the service stand-in
        #[bpaf(argument("IP:PORT"))]
        upstream: String,
        /// API key of a workspace
        #[bpaf(argument("KEY"))]
        key: String,
        /// Number of streams, and of plain calls, on each path
        #[bpaf(argument("COUNT"), fallback(100))]
        rounds: u64,
        /// Output tokens of each stream
        #[bpaf(argument("TOKENS"), fallback(50))]
        tokens: u64,
    },
}
