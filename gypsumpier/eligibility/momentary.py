"""The constraints on what upstreams have stated and on their health, which change with time."""

from gypsumpier.eligibility.backoff import BackoffConstraint
from gypsumpier.eligibility.eligibility import Eligibility
from gypsumpier.eligibility.limit import LimitConstraint
from gypsumpier.eligibility.rest import RestConstraint
from gypsumpier.eligibility.restpermits import RestPermitsConstraint
from gypsumpier.eligibility.silence import SilenceConstraint
from gypsumpier.statement.statements import UpstreamStatements
from gypsumpier.upstream.silences import Silences


def add_momentary(
    eligibility: Eligibility,
    statements: UpstreamStatements,
    silences: Silences,
    backoff: BackoffConstraint,
) -> None:
    """Add these constraints."""
    eligibility.add_lasting(RestConstraint(statements.rests), is_recalling=True)
    eligibility.add_lasting(SilenceConstraint(silences))
    eligibility.add_lasting(backoff)
    eligibility.momentary += [
        LimitConstraint(statements.limits),
        RestPermitsConstraint(statements.rests),
    ]
