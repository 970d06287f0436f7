"""Logs how many upstreams of each service can serve."""

from gypsumpier.log import decision
from gypsumpier.upstream.selector import UpstreamSelector


class CandidateLog:
    """Logs the numbers of a service when they change; ``logged`` holds the last ones."""

    def __init__(self, selector: UpstreamSelector) -> None:
        self.selector = selector
        self.logged: dict[str, tuple[int, int, int]] = {}

    def record(self, service: str, version: int) -> None:
        """Log how many upstreams hold that version of the weights, and how many are usable."""
        records = self.selector.candidates(service, version)
        usable = sum(self.selector.is_usable(record) for record in records)
        state = len(records), usable, version
        if self.logged.get(service) == state:
            return
        self.logged[service] = state
        decision(
            "candidates", service=service, ready=len(records), usable=usable, least_version=version
        )
