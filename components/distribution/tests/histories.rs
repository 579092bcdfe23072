//! Random histories: sets are published, control processes freeze, restart and lag, and replies
//! to gateways are lost, late or repeated.

use distribution::{Received, RouteReceiver, RouteSource};
use proptest::prelude::*;
use schema::{FetchRoutesReply, RouteRule, RouteSet};

const SOURCES: usize = 3;
/// Replies that bring the newest set of 4 MiB to a gateway, with as many to spare.
const MAX_REPLIES_AT_REST: usize = 200;

/// What happens to the reply to a request.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Arrives,
    Lost,
    /// Arrives after the reply to the next request.
    Late,
    Repeated,
}

#[derive(Clone, Debug)]
enum Step {
    /// A set with so many routes, some of which are those of the set before.
    Publish {
        routes: usize,
    },
    /// A control process applies the newest set.
    CatchUp(usize),
    Freeze(usize),
    Thaw(usize),
    Restart(usize),
    /// Gateways with all earlier sets fetch from a control process, whose cache is bounded.
    FillCache(usize),
    RestartGateway(usize),
    Fetch {
        gateway: usize,
        source: usize,
        delivery: Delivery,
    },
}

fn any_step(gateways: usize) -> impl Strategy<Value = Step> {
    let source = 0..SOURCES;
    let delivery = prop_oneof![
        12 => Just(Delivery::Arrives),
        2 => Just(Delivery::Lost),
        1 => Just(Delivery::Late),
        1 => Just(Delivery::Repeated),
    ];
    // Encoded, from nothing to 4 MiB.
    let routes = prop_oneof![
        2 => Just(0),
        8 => 1..40_usize,
        12 => 1_000..6_000_usize,
        1 => Just(70_000),
    ];
    prop_oneof![
        4 => routes.prop_map(|routes| Step::Publish { routes }),
        6 => source.clone().prop_map(Step::CatchUp),
        2 => source.clone().prop_map(Step::Freeze),
        2 => source.clone().prop_map(Step::Thaw),
        1 => source.clone().prop_map(Step::Restart),
        1 => source.clone().prop_map(Step::FillCache),
        1 => (0..gateways).prop_map(Step::RestartGateway),
        40 => (0..gateways, source, delivery).prop_map(|(gateway, source, delivery)| {
            Step::Fetch { gateway, source, delivery }
        }),
    ]
}

fn any_history() -> impl Strategy<Value = (usize, Vec<Step>)> {
    (1..6_usize).prop_flat_map(|gateways| {
        (Just(gateways), prop::collection::vec(any_step(gateways), 1..150))
    })
}

/// Control process.
#[derive(Default)]
struct Source {
    source: RouteSource,
    /// Position of its set among those published.
    current: usize,
    frozen: bool,
}

/// Gateway in one of its lives.
#[derive(Default)]
struct Gateway {
    receiver: RouteReceiver,
    set: RouteSet,
    late: Option<FetchRoutesReply>,
    /// A reply was received that does not answer the last request.
    out_of_step: bool,
}

struct History {
    /// Sets by number, beginning with the empty one.
    published: Vec<RouteSet>,
    sources: [Source; SOURCES],
    gateways: Vec<Gateway>,
}

impl History {
    fn new(gateways: usize) -> Self {
        History {
            published: vec![RouteSet::default()],
            sources: Default::default(),
            gateways: std::iter::repeat_with(Gateway::default).take(gateways).collect(),
        }
    }

    fn take_step(&mut self, step: &Step) {
        match *step {
            Step::Publish { routes } => {
                let set = next_set(&self.published[self.published.len() - 1], routes);
                self.published.push(set);
            }
            Step::CatchUp(source) => self.catch_up(source),
            Step::Freeze(source) => self.sources[source].frozen = true,
            Step::Thaw(source) => self.sources[source].frozen = false,
            Step::Restart(source) => {
                let current = self.sources[source].current;
                self.sources[source] = Source { current, ..Source::default() };
                self.sources[source].source.record(&self.published[current]);
            }
            Step::FillCache(source) => {
                let Source { source, current, .. } = &mut self.sources[source];
                for base in &self.published[..*current] {
                    let request = RouteReceiver::of(base).next_request();
                    source.next_chunk(&request, &self.published[*current]);
                }
            }
            Step::RestartGateway(gateway) => self.gateways[gateway] = Gateway::default(),
            Step::Fetch { gateway, source, delivery } => self.fetch(gateway, source, delivery),
        }
    }

    fn catch_up(&mut self, source: usize) {
        let source = &mut self.sources[source];
        source.current = self.published.len() - 1;
        source.source.record(&self.published[source.current]);
    }

    fn fetch(&mut self, gateway: usize, source: usize, delivery: Delivery) {
        let Source { source, current, frozen } = &mut self.sources[source];
        if *frozen {
            return;
        }
        let gateway = &mut self.gateways[gateway];
        let request = gateway.receiver.next_request();
        let reply = source.next_chunk(&request, &self.published[*current]);
        let earlier = gateway.late.take();
        match delivery {
            Delivery::Lost => {}
            Delivery::Late => gateway.late = Some(reply),
            Delivery::Arrives => gateway.receive(reply, &self.published),
            Delivery::Repeated => {
                gateway.receive(reply.clone(), &self.published);
                gateway.receive_out_of_step(reply, &self.published);
            }
        }
        if let Some(earlier) = earlier {
            gateway.receive_out_of_step(earlier, &self.published);
        }
    }

    /// All control processes work and have the newest set: each gateway gets it from any.
    fn rest(&mut self) {
        for source in 0..SOURCES {
            self.sources[source].frozen = false;
            self.catch_up(source);
        }
        let newest = (self.published.len() - 1) as u64;
        for gateway in 0..self.gateways.len() {
            for reply in 0..MAX_REPLIES_AT_REST {
                self.fetch(gateway, reply / 5 % SOURCES, Delivery::Arrives);
            }
            assert_eq!(self.gateways[gateway].set.number, newest, "at rest");
        }
    }
}

impl Gateway {
    fn receive(&mut self, reply: FetchRoutesReply, published: &[RouteSet]) {
        let before = self.set.number;
        let received = self.receiver.receive(reply, &self.set);
        match received {
            Ok(Received::NothingNewer | Received::Chunk) => return,
            Ok(Received::Set(set, _)) => self.set = set,
            Err(error) => assert!(self.out_of_step, "{error} after replies in order"),
        }
        self.out_of_step = false;
        let number = self.set.number;
        assert!(number >= before, "back from {before} to {number}");
        assert!(self.set == published[number as usize], "{number} is not what was published");
        assert_eq!(self.receiver.number(), number);
    }

    fn receive_out_of_step(&mut self, reply: FetchRoutesReply, published: &[RouteSet]) {
        self.out_of_step = true;
        self.receive(reply, published);
    }
}

/// Returns the set after `last`, with `count` routes: half of them, if so many, are kept.
fn next_set(last: &RouteSet, count: usize) -> RouteSet {
    let number = last.number + 1;
    let kept = last.routes.iter().take(count / 2).cloned();
    let added = (kept.len()..count).map(|index| RouteRule {
        name: format!("r-{number}-{index}"),
        host: "host.example".into(),
        path_prefix: format!("/p{number}/{index:07}/"),
        timeout_ms: 2_500,
        ..RouteRule::default()
    });
    RouteSet { number, routes: kept.chain(added).collect(), ..RouteSet::default() }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// No gateway goes back or serves what was not published; replies in order never fail; at
    /// rest, all gateways serve the newest set.
    #[test]
    fn gateways_only_advance_to_published_sets((gateways, steps) in any_history()) {
        let mut history = History::new(gateways);
        for step in &steps {
            history.take_step(step);
        }
        history.rest();
    }
}
