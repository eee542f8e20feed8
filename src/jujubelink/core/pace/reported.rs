//! The pace that a target states with its load.

use derive_more::Display;

/// Range of valid figures: a target that is 20 times as fast as usual, or 50 times as slow. A figure
/// outside is taken for a fault of the target that reports it.
const MIN_PERMILLE: u32 = 50;
const MAX_PERMILLE: u32 = 50_000;

/// Figure of a load report that states how long work takes at the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReportedPace {
    /// The report has no such figure.
    #[default]
    Missing,
    /// The figure is not a number, or is negative.
    Malformed,
    /// Time that work takes, in thousandths of the usual time.
    Permille(u32),
}

/// Why a figure is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum IgnoredPace {
    /// The target has reported figures before, and this report has none.
    #[display("missing")]
    Missing,
    /// The figure is not a number, or is negative.
    #[display("malformed")]
    Malformed,
    /// The figure is zero or outside of the valid range.
    #[display("absurd")]
    Absurd,
    /// The figure no longer changes, and contradicts the observed times.
    #[display("frozen")]
    Frozen,
}

impl From<ReportedPace> for IgnoredPace {
    /// Returns the reason for a figure that is not valid.
    fn from(reported: ReportedPace) -> Self {
        reported.ratio().err().unwrap_or(Self::Absurd)
    }
}

impl ReportedPace {
    /// Returns the figure as a ratio to the usual time.
    pub fn ratio(self) -> Result<f64, IgnoredPace> {
        match self {
            Self::Missing => Err(IgnoredPace::Missing),
            Self::Malformed => Err(IgnoredPace::Malformed),
            Self::Permille(MIN_PERMILLE..=MAX_PERMILLE) => Ok(self.permille() / 1000.0),
            Self::Permille(_) => Err(IgnoredPace::Absurd),
        }
    }

    fn permille(self) -> f64 {
        match self {
            Self::Permille(permille) => f64::from(permille),
            Self::Missing | Self::Malformed => 0.0,
        }
    }
}
