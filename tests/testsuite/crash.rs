//! Attribution of crashes of targets to what prompts have in common.

use std::rc::Rc;
use std::time::Duration;

use jujubelink::core::crash::{
    Admission, CrashEvidence, CrashedRun, EVIDENCE_RETENTION, Features, InstancePlace, MAX_CRASHES,
    MAX_SURVIVALS, PART_CRASHES, REQUEST_CRASHES, SIMULTANEOUS, TRIAL_DELAYS, crash_id,
};
use jujubelink::core::ids::Timestamp;
use jujubelink::ops::quarantine::StoredEvidence;
use proptest::prelude::*;

use crate::support::property_config;

const NOW: Timestamp = Duration::from_secs(1_000);

/// The part under which targets crash.
const CRASHING: u64 = 1;

/// Number of instances.
const INSTANCES: u32 = 10;

/// A part that sound prompts share with the crashing ones.
const SHARED: u64 = 2;

/// A part of sound prompts only.
const SOUND: u64 = 3;

/// Fingerprint of a whole request, which differs from those of parts.
fn request(number: u64) -> u64 {
    10_000 + number
}

fn features(parts: &[u64], number: u64) -> Features {
    Features::new(parts.iter().copied(), Some(request(number)))
}

fn run(parts: &[u64], number: u64) -> CrashedRun {
    CrashedRun {
        request: number,
        features: Rc::new(features(parts, number)),
        ran_for: Duration::from_millis(80),
        is_trial: false,
    }
}

fn at(milliseconds: u64) -> Timestamp {
    NOW + Duration::from_millis(milliseconds)
}

fn place(position: u32) -> Option<InstancePlace> {
    Some(InstancePlace {
        position,
        instances: INSTANCES,
    })
}

fn is_refused(evidence: &CrashEvidence, parts: &[u64]) -> bool {
    evidence.cause_of(&features(parts, 9_999)).is_some()
}

/// Returns evidence of crashes under prompts with the crashing part and the given others.
fn crashes(count: usize, others: &[u64]) -> CrashEvidence {
    let mut evidence = CrashEvidence::new();
    for number in 0..count as u64 {
        let parts = [&[CRASHING], others].concat();
        evidence.on_crash(number, vec![run(&parts, number)], at(100 * number));
    }
    evidence
}

/// Guards against a part that is not recognized because the prompts differ otherwise, or refused after a few
/// crashes that may have another cause.
#[test]
fn a_part_is_refused_after_enough_crashes() {
    assert!(!is_refused(&crashes(PART_CRASHES - 1, &[]), &[CRASHING]));
    let evidence = crashes(PART_CRASHES, &[]);
    assert!(is_refused(&evidence, &[CRASHING]));
    assert!(is_refused(&evidence, &[SHARED, CRASHING]));
    assert!(!is_refused(&evidence, &[SHARED]));
}

/// Guards against sound prompts that are refused because they share a part with all of the crashing ones.
#[test]
fn a_shared_part_alone_is_not_refused() {
    let mut evidence = crashes(PART_CRASHES, &[SHARED]);
    assert!(is_refused(&evidence, &[CRASHING, SHARED]));
    assert!(!is_refused(&evidence, &[SHARED, SOUND]));
    // It runs to its end and is cleared, so that the other part is refused beside any.
    evidence.on_survival([SHARED, SOUND], at(900));
    assert!(is_refused(&evidence, &[CRASHING, SOUND]));
    assert!(!is_refused(&evidence, &[SHARED, SOUND]));
}

/// Guards against sound prompts that are refused because they ran beside the crashing ones each time.
#[test]
fn parts_that_ran_beside_the_cause_are_not_refused() {
    let mut evidence = CrashEvidence::new();
    for number in 0..6 {
        let mut beside = run(&[SOUND], 100 + number);
        beside.ran_for = Duration::from_secs(1);
        let runs = vec![beside, run(&[SHARED + 10 * number, CRASHING], number)];
        evidence.on_crash(number, runs, at(100 * number));
    }
    assert!(is_refused(&evidence, &[CRASHING]));
    assert!(!is_refused(&evidence, &[SOUND]));
    assert_eq!(evidence.causes().len(), 1);
}

/// Guards against equal requests that crash targets again and again, and against a refusal of all requests
/// of a part because one request crashes targets.
#[test]
fn equal_requests_are_refused_without_their_parts() {
    let mut evidence = CrashEvidence::new();
    for crash in 0..REQUEST_CRASHES as u64 {
        let repeated = CrashedRun {
            request: crash,
            ..run(&[SHARED], 7)
        };
        evidence.on_crash(crash, vec![repeated], at(100 * crash));
    }
    assert!(evidence.cause_of(&features(&[SHARED], 7)).is_some());
    assert!(evidence.cause_of(&features(&[SHARED], 8)).is_none());
}

/// Guards against the refusal of a part of all prompts while targets crash for another reason.
#[test]
fn a_part_that_survives_between_crashes_is_not_refused() {
    let mut evidence = CrashEvidence::new();
    for number in 0..50 {
        evidence.on_crash(number, vec![run(&[SHARED], number)], at(100 * number));
        evidence.on_survival([SHARED], at(100 * number + 80));
        assert!(evidence.causes().is_empty());
    }
}

/// Guards against the refusal of a part, or of a request, because targets lose their power together.
#[test]
fn simultaneous_crashes_have_another_cause() {
    let mut evidence = CrashEvidence::new();
    for crash in 0..12 {
        let repeated = CrashedRun {
            request: crash,
            ..run(&[SHARED], 7)
        };
        evidence.on_crash(
            crash,
            vec![repeated],
            NOW + SIMULTANEOUS * crash as u32 / 12,
        );
    }
    assert!(evidence.causes().is_empty());
}

/// Guards against a refusal that the order of messages brings about: a survival is known before the crash,
/// which is recognized late.
#[test]
fn a_survival_counts_that_is_known_before_the_crash() {
    let mut evidence = CrashEvidence::new();
    evidence.on_survival([SHARED], at(1_000));
    for number in 0..PART_CRASHES as u64 {
        let survived = evidence.on_crash(number, vec![run(&[SHARED], number)], at(100 * number));
        assert_eq!(survived, [SHARED]);
    }
    assert!(evidence.causes().is_empty());
}

/// Guards against one crash that is counted for each instance that sees it, or for each message.
#[test]
fn a_crash_that_several_instances_see_counts_once() {
    let mut evidence = CrashEvidence::new();
    let crash = crash_id(&"e1".into(), 5);
    for number in 0..20 {
        evidence.on_crash(crash, vec![run(&[CRASHING], number)], at(number));
    }
    assert!(evidence.causes().is_empty());
    assert_ne!(crash, crash_id(&"e1".into(), 6));
}

proptest! {
    #![proptest_config(property_config())]

    /// Guards against instances that draw different conclusions from the same crashes and survivals, because
    /// the reports arrive in another order or repeatedly.
    #[test]
    fn the_order_of_reports_does_not_matter(
        reports in prop::collection::vec((0u64..8, 0u64..36, any::<bool>()), 1..40),
        order in any::<prop::sample::Index>(),
    ) {
        // All reports of a crash state the same time, and all of a request the same parts.
        let apply = |evidence: &mut CrashEvidence, report: &(u64, u64, bool)| {
            let (crash, number, is_survival) = *report;
            let parts = [number % 6, 100 + number / 6];
            if is_survival {
                evidence.on_survival(parts, at(100 * crash + 50));
            } else {
                evidence.on_crash(crash, vec![run(&parts, number)], at(100 * crash));
            }
        };
        let (mut one, mut other) = (CrashEvidence::new(), CrashEvidence::new());
        reports.iter().for_each(|report| apply(&mut one, report));
        let start = order.index(reports.len());
        let rotated = reports[start..].iter().chain(&reports[..start]).rev();
        rotated.clone().for_each(|report| apply(&mut other, report));
        rotated.for_each(|report| apply(&mut other, report));
        prop_assert_eq!(one.causes(), other.causes());
    }
}

/// Guards against a refusal that never ends, and against more trials than requests with a part that crashes
/// targets may reach them: ten instances get requests all the time, and each trial crashes a target.
#[test]
fn the_fleet_tries_a_cause_three_times() {
    let mut evidence = crashes(PART_CRASHES, &[]);
    let mut trials = Vec::new();
    for second in 1..3_600 {
        let now = NOW + Duration::from_secs(second);
        for position in 0..INSTANCES {
            let number = second * 100 + u64::from(position);
            let request = features(&[CRASHING], number);
            match evidence.admit(&request, |_| place(position), now) {
                Admission::Allowed => panic!("not refused after {second} s"),
                Admission::Refused { .. } => {}
                Admission::Trial(_) => {
                    trials.push(second);
                    let failed = CrashedRun {
                        is_trial: true,
                        ..run(&[CRASHING], number)
                    };
                    evidence.on_crash(number, vec![failed], now);
                }
            }
        }
    }
    assert_eq!(trials.len(), TRIAL_DELAYS.len(), "{trials:?}");
}

/// Guards against a part that stays refused although a request with it ran to its end.
#[test]
fn a_successful_trial_ends_the_refusal() {
    let mut evidence = crashes(PART_CRASHES, &[]);
    let request = features(&[CRASHING], 50);
    let now = at(300) + TRIAL_DELAYS[0];
    let refused = evidence.admit(&request, |_| place(0), now - Duration::from_millis(1));
    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
    // A request that may have run already cannot be a trial.
    let refused = evidence.admit(&request, |_| None, now);
    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
    let tried = evidence.admit(&request, |_| place(0), now);
    assert!(matches!(tried, Admission::Trial(_)), "{tried:?}");
    let refused = evidence.admit(&request, |_| place(0), now);
    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
    evidence.on_survival(request.iter(), now + Duration::from_millis(100));
    assert!(evidence.causes().is_empty());
}

/// Guards against instances that try a cause at the same time, as each gets a request once a trial is due,
/// and messages on trials take 0.4 s.
#[test]
fn instances_try_a_cause_in_turn() {
    let evidence = crashes(PART_CRASHES, &[]);
    let cause = &evidence.causes()[0];
    let mut last: Option<(u32, u64)> = None;
    let mut turns = 0;
    for elapsed_ms in (0..60_000).step_by(100) {
        let now = at(300) + TRIAL_DELAYS[0] + Duration::from_millis(elapsed_ms);
        let may_try: Vec<_> = (0..INSTANCES)
            .filter(|position| cause.is_turn_of(place(*position).unwrap(), now))
            .collect();
        assert!(may_try.len() <= 1, "{may_try:?} after {elapsed_ms} ms");
        let Some(position) = may_try.first() else {
            continue;
        };
        if let Some((former, at_ms)) = last.filter(|(former, _)| former != position) {
            assert!(elapsed_ms - at_ms >= 400, "{former} and {position}");
            turns += 1;
        }
        last = Some((*position, elapsed_ms));
    }
    assert!(turns >= INSTANCES, "{turns} turns");
}

/// Guards against a second trial while another instance has one in progress.
#[test]
fn a_trial_of_another_instance_is_awaited() {
    let mut evidence = crashes(PART_CRASHES, &[]);
    let request = features(&[CRASHING], 50);
    let now = at(300) + TRIAL_DELAYS[0];
    evidence.on_trial(evidence.causes()[0].id(), now);
    let refused = evidence.admit(&request, |_| place(0), now + Duration::from_secs(1));
    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
}

/// Guards against evidence that is kept for good, or dropped while requests with the cause still arrive.
#[test]
fn evidence_expires_once_no_request_is_refused() {
    let mut evidence = crashes(PART_CRASHES, &[]);
    let request = features(&[CRASHING], 50);
    let later = NOW + EVIDENCE_RETENTION - Duration::from_secs(1);
    let refused = evidence.admit(&request, |_| None, later);
    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
    evidence.expire(NOW + EVIDENCE_RETENTION + Duration::from_secs(10));
    assert!(is_refused(&evidence, &[CRASHING]));
    evidence.expire(later + EVIDENCE_RETENTION);
    assert!(evidence.is_empty());
}

/// Guards against unbounded memory, and against prompts with parts of their own that evict a cause.
#[test]
fn innocent_parts_do_not_evict_a_cause() {
    let mut evidence = crashes(PART_CRASHES, &[]);
    for number in 0..2 * MAX_CRASHES as u64 {
        let own_part = 100_000 + number;
        let id = 1_000 + number;
        evidence.on_crash(id, vec![run(&[own_part], id)], at(1_000 + number));
    }
    assert_eq!(evidence.len(), MAX_CRASHES);
    assert!(is_refused(&evidence, &[CRASHING]));
    for number in 0..2 * MAX_SURVIVALS as u64 {
        evidence.on_survival([200_000 + number], at(2_000));
    }
    evidence.on_survival([CRASHING], at(3_000));
    assert!(!is_refused(&evidence, &[CRASHING]));
}

/// Guards against an instance that starts with other causes than the rest of the fleet has, or that repeats
/// the trials.
#[test]
fn stored_evidence_yields_the_same_causes() {
    let mut evidence = crashes(PART_CRASHES, &[SHARED]);
    let failed = CrashedRun {
        is_trial: true,
        ..run(&[CRASHING, SHARED], 60)
    };
    evidence.on_crash(60, vec![failed, run(&[SOUND], 61)], at(3_000));
    let stored = StoredEvidence::new(&evidence, at(4_000)).relative_to_last_crash();
    let text = serde_json::to_string(&stored).unwrap();
    let read: StoredEvidence = serde_json::from_str(&text).unwrap();
    let mut started = CrashEvidence::new();
    assert_eq!(read.apply(&mut started, at(9_000)), 0);
    let [cause] = started.causes() else {
        panic!("{:?}", started.causes());
    };
    assert_eq!(cause.features, evidence.causes()[0].features);
    assert_eq!(cause.crashes, evidence.causes()[0].crashes);
    assert_eq!(cause.failed_trials, 1);
}
