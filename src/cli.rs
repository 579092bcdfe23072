//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bench::{MixName, Policy};
use bpaf::Bpaf;
use credentials::Role;
use units::{Millis, VmName};

/// Operate a shallottray deployment
///
/// Exit codes: 0 success, 1 failure, 2 wrong input, 3 conflict with another
/// operator, 4 the system cannot be reached.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(command))]
pub enum Command {
    /// Check a folder of objects without publishing it
    #[bpaf(command)]
    Check {
        /// Folder or file of objects
        #[bpaf(positional("PATH"))]
        path: PathBuf,
    },
    /// Show how a folder of objects differs from what is published
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
        /// Revision that the set replaces; the one in force when left out
        #[bpaf(argument("REVISION"))]
        expect: Option<u64>,
        /// Id under which the publication may be sent again
        #[bpaf(argument("ID"))]
        publication_id: Option<String>,
        /// Wait until every entry serves the revision
        wait: bool,
        /// Longest wait
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
        /// Revision to print; the one in force when left out
        #[bpaf(argument("REVISION"), fallback(0))]
        revision: u64,
    },
    /// Show control processes and entries
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        operator: Operator,
        /// Print JSON
        json: bool,
    },
    /// Create the control group on one of its VMs
    #[bpaf(command)]
    Bootstrap {
        #[bpaf(external)]
        operator: Operator,
        /// Peer address of the VM to begin with
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
    /// Create keys, certificates and tokens
    #[bpaf(command)]
    Keys {
        #[bpaf(external)]
        keys: Keys,
    },
    /// Measure a running system
    #[bpaf(command)]
    Bench {
        #[bpaf(external)]
        bench: Bench,
    },
    /// Print the schema of settings and objects
    #[bpaf(command)]
    Schema {
        /// `objects` or `settings`
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// How to reach the control processes.
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

/// What to create.
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

/// What to measure; each prints one JSON object.
#[derive(Bpaf, Clone, Debug)]
pub enum Bench {
    /// Open-loop load: requests start on schedule whatever the system does
    #[bpaf(command)]
    Load {
        /// Entry that is asked for addresses
        #[bpaf(argument("IP:PORT"))]
        entry: String,
        /// Send everything to that entry
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
        /// Requests started in each second
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
        /// Bound on the first token of a request on time
        #[bpaf(argument("DURATION"), fallback(Millis(370)), display_fallback)]
        first_token: Millis,
        /// Bound on each gap of a request on time
        #[bpaf(argument("DURATION"), fallback(Millis(50)), display_fallback)]
        between_tokens: Millis,
        /// Seed of arrivals and lengths
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Placement decisions under load, on engine fakes in simulated time
    #[bpaf(command)]
    Policy {
        /// `stride` or `lidworks`; may be repeated, both when left out
        #[bpaf(argument("MIX"))]
        mix: Vec<MixName>,
        /// Policy; may be repeated, all when left out
        #[bpaf(argument("POLICY"))]
        policy: Vec<Policy>,
        /// Share of capacity; may be repeated, 0.7, 0.9, 1.1 and 1.5 when left out
        #[bpaf(argument("LOAD"))]
        load: Vec<f64>,
        /// Runs of each combination
        #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
        seeds: u64,
        /// Simulated seconds of one run
        #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
        seconds: u64,
        /// Runs at a time
        #[bpaf(argument("COUNT"), fallback(4))]
        threads: usize,
        /// One engine is lost during each run
        engine_lost: bool,
        /// One engine turns slow during each run
        engine_slow: bool,
        /// The arrival rate doubles for five seconds, every thirty
        bursts: bool,
        /// Print JSON
        json: bool,
        /// Folder for plots
        #[bpaf(argument("FOLDER"))]
        plots: Option<PathBuf>,
    },
    /// Costs per unit that docs/CAPACITY.md builds on
    #[bpaf(command)]
    Slopes {
        /// New folder on the disk to measure
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Time that an entry adds over direct access to the stand-ins
    #[bpaf(command)]
    Overhead {
        /// Entry
        #[bpaf(argument("IP:PORT"))]
        entry: String,
        /// Engine stand-in, started with --stamp
        #[bpaf(argument("IP:PORT"))]
        engine: String,
        /// Service stand-in
        #[bpaf(argument("IP:PORT"))]
        upstream: String,
        /// API key of a workspace
        #[bpaf(argument("KEY"))]
        key: String,
        /// Streams, and calls, on each path
        #[bpaf(argument("COUNT"), fallback(100))]
        rounds: u64,
        /// Tokens of each stream
        #[bpaf(argument("TOKENS"), fallback(50))]
        tokens: u64,
    },
}
