use super::*;

/// What each engine would say, in the order in which it is asked.
#[derive(Clone, Copy, Debug)]
struct World {
    has_copy: bool,
    is_kept: bool,
    source_takes_requests: bool,
}

impl World {
    fn all() -> impl Iterator<Item = World> {
        (0..8).map(|bits| World {
            has_copy: bits & 1 != 0,
            is_kept: bits & 2 != 0,
            source_takes_requests: bits & 4 != 0,
        })
    }

    fn ways(self) -> Ways {
        Ways::new(self.has_copy, self.is_kept)
    }
}

fn outcomes(way: Way) -> &'static [Outcome] {
    match way {
        Way::Copy => &[Outcome::NotRun, Outcome::Stopped, Outcome::MayRun],
        Way::Source => &[Outcome::NotRun, Outcome::NotKept, Outcome::Stopped, Outcome::MayRun],
        Way::NextCopy => &[Outcome::NotRun, Outcome::Copied, Outcome::NotKept, Outcome::MayRun],
    }
}

/// Calls `check` with each sequence of ways and outcomes that ends without success.
fn explore(
    world: World,
    ways: &Ways,
    steps: &mut Vec<(Way, Outcome)>,
    check: &mut impl FnMut(&[(Way, Outcome)]),
) {
    let Some(way) = ways.next(world.source_takes_requests) else {
        check(steps);
        return;
    };
    for outcome in outcomes(way) {
        let mut following = ways.clone();
        following.record(way, *outcome);
        steps.push((way, *outcome));
        explore(world, &following, steps, check);
        steps.pop();
    }
}

fn each_sequence(mut check: impl FnMut(World, &[(Way, Outcome)])) {
    for world in World::all() {
        let mut check = |steps: &[(Way, Outcome)]| check(world, steps);
        explore(world, &world.ways(), &mut Vec::new(), &mut check);
    }
}

/// Guards against generations that run twice: nobody is asked after an engine that may run one.
#[test]
fn no_engine_is_asked_after_one_that_may_run_the_generation() {
    each_sequence(|world, steps| {
        let position = steps.iter().position(|(_, outcome)| *outcome == Outcome::MayRun);
        let is_last = position.is_none_or(|position| position + 1 == steps.len());
        assert!(is_last, "{world:?}: {steps:?}");
    });
}

/// Guards against generations that are given up while an engine was not asked.
#[test]
fn each_way_is_tried_before_a_generation_is_given_up() {
    each_sequence(|world, steps| {
        if steps.last().is_some_and(|(_, outcome)| *outcome == Outcome::MayRun) {
            return;
        }
        if steps.iter().any(|(_, outcome)| *outcome == Outcome::Stopped) {
            return;
        }
        let asked = |way| steps.iter().any(|(asked, _)| *asked == way);
        let is_lost = steps.iter().any(|(_, outcome)| *outcome == Outcome::NotKept);
        let copies = steps.iter().filter(|(way, _)| *way == Way::NextCopy).count();
        let used = steps.iter().filter(|(way, _)| *way == Way::Copy).count();
        let made = steps.iter().filter(|(_, outcome)| *outcome == Outcome::Copied).count();
        assert_eq!(used, made + usize::from(world.has_copy), "{world:?}: {steps:?}");
        if world.is_kept {
            assert!(!world.source_takes_requests || asked(Way::Source), "{world:?}: {steps:?}");
            assert!(is_lost || copies == MAX_FURTHER_COPIES as usize, "{world:?}: {steps:?}");
        } else {
            assert!(!asked(Way::Source) && copies == 0, "{world:?}: {steps:?}");
        }
    });
}

/// Guards against endless attempts, each of which is a request at an engine.
#[test]
fn engines_are_asked_a_bounded_number_of_times() {
    each_sequence(|world, steps| {
        let requests = steps.iter().filter(|(way, _)| *way != Way::NextCopy).count();
        assert!(requests <= 2 + MAX_FURTHER_COPIES as usize, "{world:?}: {steps:?}");
    });
}

/// Guards against generations that are given up although the engine that ran them last keeps
/// them.
#[test]
fn engine_that_has_stopped_the_generation_is_asked_to_take_it_back() {
    let mut ways = Ways::new(true, false);

    ways.record(Way::Copy, Outcome::Stopped);

    assert_eq!((ways.next(true), ways.next(false)), (Some(Way::Source), Some(Way::NextCopy)));
}

#[test]
fn source_that_is_known_to_keep_the_cache_late_is_asked() {
    let mut ways = Ways::new(true, false);
    ways.record(Way::Copy, Outcome::NotRun);
    let before = ways.next(true);

    ways.keep();

    assert_eq!((before, ways.next(true)), (None, Some(Way::Source)));
}

/// Guards against generations that run twice: the source says late that it keeps the cache, after
/// an engine that may run the generation was asked.
#[test]
fn source_that_keeps_the_cache_late_is_not_asked_after_an_engine_that_may_run_the_generation() {
    let mut ways = Ways::new(true, false);
    ways.record(Way::Copy, Outcome::MayRun);

    ways.keep();

    assert_eq!(ways.next(true), None);
}
