//! Era of the store, which rises by one with each restore from an older copy.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use crate::core::ids::{ObjectVersion, StoreEra};

/// Position in the history of the store. Revisions are issued again after a restore, so positions of
/// different eras do not compare: 40 of one era and 60 of another say nothing about which is later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StorePosition {
    /// Era; 0 if the store states none.
    pub era: StoreEra,
    /// Revision within the era.
    pub revision: ObjectVersion,
}

impl StorePosition {
    /// Whether this is not after a position of the present era, because it is of a former era or its
    /// revision is not higher.
    pub(super) fn is_before(&self, present: Self) -> bool {
        self.era != present.era || self.revision <= present.revision
    }
}

impl PartialOrd for StorePosition {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        (self.era == other.era).then(|| self.revision.cmp(&other.revision))
    }
}

/// Era that a response states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedEra {
    /// The response has no header.
    Absent,
    /// The header is an integer.
    Number(StoreEra),
    /// The header is not an integer.
    Invalid,
    /// The response has the header more than once.
    Repeated,
}

/// Fault in the era that the store states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EraFault {
    /// Absent, although earlier responses stated it.
    Absent,
    /// Not an integer.
    Invalid,
    /// Stated more than once.
    Repeated,
    /// Lower than the present era in the response to a request that was sent in it.
    Fell,
    /// Higher than the present era by more than one.
    Jumped,
}

/// Effect of the era that a response or a peer states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraOutcome {
    /// The response belongs to the present era, if there is one.
    Present,
    /// The response states the first era that is known. It shows no restore.
    First {
        /// The era.
        era: StoreEra,
    },
    /// The store was restored.
    Raised {
        /// Era before the restore.
        former: StoreEra,
        /// Era after it.
        era: StoreEra,
    },
    /// The response belongs to a former era and must not be used.
    Former {
        /// Fault, if the request was sent in the present era, and whether it is the first one of its kind
        /// in this era.
        fault: Option<(EraFault, bool)>,
    },
    /// The stated era is faulty. The response counts as one of the present era.
    Faulty {
        /// Fault.
        fault: EraFault,
        /// Whether it is the first one of its kind in this era.
        is_first: bool,
    },
}

/// Present era of the store, as far as this instance knows it.
#[derive(Debug, Clone, Default)]
pub struct EraTracker {
    current: Option<StoreEra>,
    /// Kinds of faults since the present era began. Each kind is logged once.
    faults: BTreeSet<EraFault>,
    /// Era higher by more than one that a peer stated last.
    stated_by_peer: Option<StoreEra>,
    /// Whether the last response stated an era that is higher by more than one.
    is_ahead: bool,
}

impl EraTracker {
    /// Returns the present era; `None` until a response or a peer has stated one.
    pub fn current(&self) -> Option<StoreEra> {
        self.current
    }

    /// Whether the store may have been restored more than once since the present era began, as its last response
    /// stated an era that is too high. Until a peer confirms it, revisions may be those of another era.
    pub fn is_doubtful(&self) -> bool {
        self.is_ahead
    }

    /// Applies the era of a response to a request that was sent when the present era was `sent_in`.
    pub fn on_response(&mut self, stated: StatedEra, sent_in: Option<StoreEra>) -> EraOutcome {
        let era = match (stated, self.current) {
            (StatedEra::Number(era), _) => era,
            (StatedEra::Absent, None) => return EraOutcome::Present,
            (StatedEra::Absent, Some(_)) => return self.faulty(EraFault::Absent),
            (StatedEra::Invalid, _) => return self.faulty(EraFault::Invalid),
            (StatedEra::Repeated, _) => return self.faulty(EraFault::Repeated),
        };
        match self.current {
            Some(current) if era < current => {
                let was_sent_in_present = sent_in == Some(current);
                let fault = was_sent_in_present.then_some(EraFault::Fell);
                EraOutcome::Former {
                    fault: fault.map(|fault| (fault, self.faults.insert(fault))),
                }
            }
            Some(current) if era - current > 1 && self.stated_by_peer != Some(era) => {
                self.is_ahead = true;
                self.faulty(EraFault::Jumped)
            }
            _ => self.enter(era),
        }
    }

    /// Applies the era that a peer states. One that is higher by more than one counts once the store states it
    /// too, because this instance may have been cut off over several restores. The peer alone does not suffice:
    /// its first response may have been faulty, and a wrong era discards all responses.
    pub fn on_peer(&mut self, era: StoreEra) -> EraOutcome {
        match self.current {
            Some(current) if era <= current => EraOutcome::Present,
            Some(current) if era - current > 1 => {
                self.stated_by_peer = Some(era);
                EraOutcome::Present
            }
            _ => self.enter(era),
        }
    }

    /// Enters an era that is not below the present one.
    fn enter(&mut self, era: StoreEra) -> EraOutcome {
        let former = self.current.replace(era);
        self.is_ahead = false;
        if former == Some(era) {
            return EraOutcome::Present;
        }
        self.faults.clear();
        match former {
            Some(former) => EraOutcome::Raised { former, era },
            None => EraOutcome::First { era },
        }
    }

    fn faulty(&mut self, fault: EraFault) -> EraOutcome {
        let is_first = self.faults.insert(fault);
        EraOutcome::Faulty { fault, is_first }
    }
}
