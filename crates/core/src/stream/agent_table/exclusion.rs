//! Which agents a search leaves out, and on what evidence.
//!
//! A search resets a stream once every agent that it waited for has denied it. So an agent is left out
//! only with evidence that its backend server does not hold the stream at this moment. A report
//! is such evidence only about the past: the backend server may have started after it, and the report
//! of that may be lost.
//!
//! | the agent | left out if |
//! |---|---|
//! | in a lost data centre | always: its machines leave probes unanswered, and no balancer receives reports from it |
//! | whose reports arrive | it reports a service that the stream cannot have opened at (`service_history`) |
//! | whose reports have stopped | its backend server had stopped before, and no other balancer has mentioned it since |
//! | that has never reported here | it is announced with such a service, or its machine is presumed lost |

/// Why a search leaves an agent out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SearchExclusion {
    /// Its data centre is lost.
    CentreLost,
    /// Its backend server belongs to a service that the stream cannot have opened at.
    OtherService,
    /// Its backend server had stopped, and then the agent.
    Departed,
    /// It never reported, and its machine is presumed lost.
    MachineLost,
}

impl SearchExclusion {
    /// Whether the agent is silent, so that it may return with streams if it was taken for lost by
    /// mistake.
    pub fn is_presumed(self) -> bool {
        match self {
            SearchExclusion::OtherService => false,
            SearchExclusion::CentreLost
            | SearchExclusion::Departed
            | SearchExclusion::MachineLost => true,
        }
    }
}

/// Whether a balancer receives the reports of an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AgentContact {
    /// Its reports arrive.
    Reporting,
    /// It has reported, and its reports no longer arrive.
    Silent {
        /// Whether its backend server had stopped by its last report.
        host_had_stopped: bool,
        /// Whether another balancer's mention shows that it has run since.
        is_mentioned_since: bool,
    },
    /// It has never reported here, or its report has expired.
    Unreported {
        /// Whether its machine is presumed lost.
        is_machine_lost: bool,
    },
}

/// What a balancer knows of an agent when a search for a stream of some service begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentEvidence {
    /// Whether its reports arrive.
    pub contact: AgentContact,
    /// Whether its data centre is lost.
    pub is_in_lost_centre: bool,
    /// Whether the stream cannot have opened at its last known service, and nothing contradicts that service.
    pub is_of_other_service: bool,
}

impl AgentEvidence {
    /// Why a search leaves the agent out; `None` if it must deny the stream before a reset.
    pub fn exclusion(self) -> Option<SearchExclusion> {
        match self.contact {
            _ if self.is_in_lost_centre => Some(SearchExclusion::CentreLost),
            AgentContact::Reporting | AgentContact::Unreported { .. }
                if self.is_of_other_service =>
            {
                Some(SearchExclusion::OtherService)
            }
            // A backend server that has stopped may have started again since the last report.
            AgentContact::Reporting => None,
            AgentContact::Silent { host_had_stopped: true, is_mentioned_since: false } => {
                Some(SearchExclusion::Departed)
            }
            // A backend server of this service may use its address by now.
            AgentContact::Silent { .. } => None,
            AgentContact::Unreported { is_machine_lost: true } => {
                Some(SearchExclusion::MachineLost)
            }
            AgentContact::Unreported { is_machine_lost: false } => None,
        }
    }
}
