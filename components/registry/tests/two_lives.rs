//! A server with two lives and withdrawals that name neither, at three control processes: calls
//! and syncs in any order, some of them lost, repeated or late, and kills of all processes.

use std::net::SocketAddr;

use proptest::prelude::*;
use registry::{MergedRegistry, Registry};
use schema::{UpstreamPhase, UpstreamRecord};

const CONTROLS: usize = 3;
const GATEWAYS: usize = 3;
const INTERVAL_MS: u64 = 1_000;
/// Longest wait of a control process for its gateways.
const CONFIRM_TIMEOUT_MS: u64 = 600;
/// Shortest time for which a server still serves after its withdrawal.
const SERVING_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug)]
enum Loss {
    None,
    Request,
    Reply,
    /// The reply is delayed, or the gateway freezes before it applies it.
    Late,
}

#[derive(Clone, Debug)]
enum Step {
    /// The server announces its current life.
    Announce(usize),
    /// It announces that its current life is draining.
    Drain(usize),
    /// An announcement of the first life arrives late.
    AnnounceLate(usize),
    /// The server withdraws its current life; it repeats that at others.
    Withdraw(usize),
    /// The second life begins, after a crash or once the first has been withdrawn.
    Restart,
    Sync {
        gateway: usize,
        control: usize,
        loss: Loss,
    },
    /// A gateway applies a late reply of a control process.
    ApplyLate {
        gateway: usize,
        control: usize,
    },
    /// A control process adopts the end that is recorded.
    Adopt(usize),
    /// All processes are killed and start again; control processes have adopted what is recorded.
    KillAll,
    Pass(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let loss = prop_oneof![
        8 => Just(Loss::None),
        1 => Just(Loss::Request),
        1 => Just(Loss::Reply),
        2 => Just(Loss::Late),
    ];
    prop_oneof![
        4 => (0..CONTROLS).prop_map(Step::Announce),
        1 => (0..CONTROLS).prop_map(Step::Drain),
        1 => (0..CONTROLS).prop_map(Step::AnnounceLate),
        3 => (0..CONTROLS).prop_map(Step::Withdraw),
        1 => Just(Step::Restart),
        24 => (0..GATEWAYS, 0..CONTROLS, loss)
            .prop_map(|(gateway, control, loss)| Step::Sync { gateway, control, loss }),
        6 => (0..GATEWAYS, 0..CONTROLS)
            .prop_map(|(gateway, control)| Step::ApplyLate { gateway, control }),
        4 => (1..120_u64).prop_map(Step::Pass),
        2 => (0..CONTROLS).prop_map(Step::Adopt),
        1 => Just(Step::KillAll),
        1 => Just(Step::Pass(SERVING_MS)),
    ]
}

fn source(control: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, control as u8], 7_200))
}

fn announcement(life: u64, sequence: u64, phase: UpstreamPhase) -> UpstreamRecord {
    UpstreamRecord {
        id: "e1".into(),
        service: "desk".into(),
        address: "10.0.0.1:80".into(),
        slots: 4,
        born_ms: 100 * life,
        sequence,
        phase: phase.into(),
        ..UpstreamRecord::default()
    }
}

fn withdrawal() -> UpstreamRecord {
    let phase = UpstreamPhase::Gone.into();
    UpstreamRecord { id: "e1".into(), phase, ..UpstreamRecord::default() }
}

#[derive(Default)]
struct Control {
    registry: Registry,
    /// Version that each gateway has confirmed.
    confirmed: [u64; GATEWAYS],
    /// When the wait for the confirmation of a withdrawal of the life ends.
    waiting: Option<(u64, u64)>,
}

impl Control {
    fn is_confirmed(&self) -> bool {
        let version = self.registry.version_of("e1");
        self.confirmed.iter().all(|confirmed| *confirmed >= version)
    }
}

/// Reply of a control process to a sync.
struct SyncedRecords {
    is_first: bool,
    records: Vec<UpstreamRecord>,
    made_ms: u64,
}

#[derive(Default)]
struct Gateway {
    fleet: MergedRegistry,
    applied: [u64; CONTROLS],
    /// Late reply of each control process.
    late: [Option<SyncedRecords>; CONTROLS],
}

impl Gateway {
    fn apply(&mut self, control: usize, reply: SyncedRecords) {
        let SyncedRecords { is_first, records, made_ms } = reply;
        self.fleet.apply(source(control), is_first, records, made_ms);
    }

    fn accepted_life(&self) -> Option<u64> {
        let known = self.fleet.get("e1").filter(|known| known.accepts_requests())?;
        Some(known.record.born_ms / 100)
    }
}

struct History {
    controls: [Control; CONTROLS],
    gateways: [Gateway; GATEWAYS],
    now_ms: u64,
    life: u64,
    sequence: u64,
    withdrawn_ms: Option<u64>,
    /// The current life has announced that it is draining.
    is_leaving: bool,
    /// Newest life of which a withdrawal was acknowledged.
    acknowledged_life: u64,
    /// End that the control group has recorded, and when.
    recorded: Option<(UpstreamRecord, u64)>,
}

impl History {
    fn new() -> Self {
        History {
            controls: Default::default(),
            gateways: Default::default(),
            now_ms: 0,
            life: 1,
            sequence: 0,
            withdrawn_ms: None,
            is_leaving: false,
            acknowledged_life: 0,
            recorded: None,
        }
    }

    fn take_step(&mut self, step: &Step) {
        match *step {
            Step::Announce(control) => self.announce(control, UpstreamPhase::Ready),
            Step::Drain(control) => {
                self.is_leaving = true;
                self.announce(control, UpstreamPhase::Draining);
            }
            Step::AnnounceLate(control) => {
                let late = announcement(1, 0, UpstreamPhase::Ready);
                self.controls[control].registry.apply_announcement(late, self.now_ms);
            }
            Step::Withdraw(control) => self.withdraw(control),
            Step::Restart => self.restart(),
            Step::Sync { gateway, control, loss } => self.sync(gateway, control, loss),
            Step::ApplyLate { gateway, control } => self.apply_late(gateway, control),
            Step::Adopt(control) => self.adopt(control),
            Step::KillAll => {
                self.controls = Default::default();
                self.gateways = Default::default();
                (0..CONTROLS).for_each(|control| self.adopt(control));
            }
            Step::Pass(time_ms) => self.pass(time_ms),
        }
        for gateway in &self.gateways {
            let accepted = gateway.accepted_life();
            assert!(
                accepted.is_none_or(|life| life > self.acknowledged_life),
                "life {accepted:?} gets requests after the withdrawal of {}",
                self.acknowledged_life
            );
        }
    }

    fn announce(&mut self, control: usize, phase: UpstreamPhase) {
        self.sequence += 1;
        let record = announcement(self.life, self.sequence, phase);
        self.controls[control].registry.apply_announcement(record, self.now_ms);
    }

    /// Withdraws the current life if a gateway knows it: until then, no process in touch with
    /// gateways has acknowledged it.
    fn withdraw(&mut self, control: usize) {
        let born_ms = 100 * self.life;
        let knows = |gateway: &Gateway| {
            gateway.fleet.get("e1").is_some_and(|known| known.record.born_ms == born_ms)
        };
        if !self.gateways.iter().any(knows) {
            return;
        }
        self.withdrawn_ms = Some(self.now_ms);
        let control = &mut self.controls[control];
        control.registry.apply_announcement(withdrawal(), self.now_ms);
        control.waiting = Some((self.life, self.now_ms + CONFIRM_TIMEOUT_MS));
    }

    fn restart(&mut self) {
        let has_ended = self.withdrawn_ms.is_none_or(|at| self.now_ms >= at + SERVING_MS);
        if self.life == 1 && has_ended {
            self.life = 2;
            self.withdrawn_ms = None;
            self.is_leaving = false;
        }
    }

    fn sync(&mut self, gateway_index: usize, control_index: usize, loss: Loss) {
        if matches!(loss, Loss::Request) {
            return;
        }
        let gateway = &mut self.gateways[gateway_index];
        if gateway.late[control_index].is_some() {
            return;
        }
        let control = &mut self.controls[control_index];
        for ended in gateway.fleet.ended_elsewhere(source(control_index), 9) {
            control.registry.mark_ended(&ended);
        }
        control.confirmed[gateway_index] = gateway.applied[control_index];
        if let Some((life, deadline_ms)) = control.waiting
            && self.now_ms < deadline_ms
            && control.is_confirmed()
        {
            self.acknowledged_life = self.acknowledged_life.max(life);
            control.waiting = None;
            let ended = control.registry.get("e1").expect("it is withdrawn").clone();
            assert_eq!((ended.born_ms, ended.phase()), (100 * life, UpstreamPhase::Gone));
            let ended = UpstreamRecord { ends_newest: false, ..ended };
            self.recorded = Some((ended, self.now_ms));
        }
        if matches!(loss, Loss::Reply) {
            return;
        }
        let is_first = gateway.applied[control_index] == 0;
        let changes = control.registry.changes_since(gateway.applied[control_index], 9);
        gateway.applied[control_index] = changes.version;
        let records = changes.records.into_iter().cloned().collect();
        let reply = SyncedRecords { is_first, records, made_ms: self.now_ms };
        match loss {
            Loss::Late => gateway.late[control_index] = Some(reply),
            _ => gateway.apply(control_index, reply),
        }
    }

    fn apply_late(&mut self, gateway: usize, control: usize) {
        let gateway = &mut self.gateways[gateway];
        if let Some(reply) = gateway.late[control].take() {
            gateway.apply(control, reply);
        }
    }

    fn adopt(&mut self, control: usize) {
        if let Some((ended, ended_ms)) = &self.recorded {
            self.controls[control].registry.adopt_end(ended, *ended_ms);
        }
    }

    fn pass(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
        for control in &mut self.controls {
            control.registry.expire(INTERVAL_MS, self.now_ms);
        }
    }

    /// A server that was not withdrawn gets requests once all is quiet.
    fn rest(&mut self) {
        self.pass(SERVING_MS);
        for control in 0..CONTROLS {
            (0..GATEWAYS).for_each(|gateway| self.apply_late(gateway, control));
            self.announce(control, UpstreamPhase::Ready);
        }
        for _ in 0..4 {
            for (gateway, control) in (0..GATEWAYS).flat_map(|g| (0..CONTROLS).map(move |c| (g, c)))
            {
                self.take_step(&Step::Sync { gateway, control, loss: Loss::None });
            }
        }
        if self.withdrawn_ms.is_none() && !self.is_leaving {
            let accepted = self.gateways.each_ref().map(Gateway::accepted_life);
            assert_eq!(accepted, [Some(self.life); GATEWAYS], "at rest");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// After a withdrawal was acknowledged, no gateway sends requests to the life that the
    /// server had, whichever control process knew it; a life that begins later gets them.
    #[test]
    fn acknowledged_withdrawal_ends_the_newest_life(
        steps in prop::collection::vec(any_step(), 1..120),
    ) {
        let mut history = History::new();
        for step in &steps {
            history.take_step(step);
        }
        history.rest();
    }
}
