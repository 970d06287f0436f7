"""All constraints on the choice of upstreams, in one place."""

from gypsumpier.eligibility.constraint import Constraint
from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle
from gypsumpier.fleet.upstream import UpstreamRecord


class Eligibility:
    """The constraints that hold for every path on which an upstream is chosen.

    Those in ``standing`` depend on the fleet state and on what engines and upstreams have stated;
    their result may be kept until one of these changes.  Those in ``momentary`` change with time
    alone, or with each request.  Of these, an upstream is unusable while one in ``lasting`` has an
    obstacle; the others only space its requests out.  Those in ``recalling`` also hold for an
    upstream that was chosen a moment ago; the others count its request already.  Those in
    ``listed`` are momentary as well; the selector applies them to a list of upstreams at once.
    """

    def __init__(self) -> None:
        self.standing: list[Constraint] = []
        self.momentary: list[Constraint] = []
        self.listed: list[Constraint] = []
        self.lasting: list[Constraint] = []
        self.recalling: list[Constraint] = []

    def add_lasting(self, constraint: Constraint, is_recalling: bool = False) -> None:
        """Add a momentary constraint that makes upstreams unusable."""
        self.momentary.append(constraint)
        self.lasting.append(constraint)
        if is_recalling:
            self.recalling.append(constraint)

    def standing_obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        """Return the first standing obstacle; None if there is none."""
        return first_obstacle(self.standing, record, needs)

    def momentary_obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        """Return the first momentary obstacle; None if there is none."""
        return self.unlisted_obstacle(record, needs) or first_obstacle(self.listed, record, needs)

    def unlisted_obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        """Return the first momentary obstacle but for those that are looked for in lists."""
        return first_obstacle(self.momentary, record, needs)

    def lasting_obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        """Return the first obstacle that makes the upstream unusable; None if there is none."""
        return first_obstacle(self.lasting, record, needs)

    def recalling_obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        """Return the first obstacle for a request that was chosen a moment ago; None if none is."""
        return self.standing_obstacle(record, needs) or first_obstacle(
            self.recalling, record, needs
        )

    def obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        """Return the first obstacle of any kind; None if the request may be sent now."""
        return self.standing_obstacle(record, needs) or self.momentary_obstacle(record, needs)


def first_obstacle(
    constraints: list[Constraint], record: UpstreamRecord, needs: Needs
) -> Obstacle | None:
    """Return the obstacle of the first constraint that has one."""
    for constraint in constraints:
        found = constraint.obstacle(record, needs)
        if found is not None:
            return found
    return None
