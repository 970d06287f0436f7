"""The result of a load: outcomes by error code and latencies in HDR histograms."""

from typing import Any, Final

from hdrh.histogram import HdrHistogram

LOWEST_US: Final = 1
HIGHEST_US: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 3
PERCENTILES: Final = (50.0, 95.0, 99.0, 99.9)
US_PER_S: Final = 1_000_000


class Latency:
    """One latency distribution, recorded in microseconds and reported in seconds."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Add one value."""
        self.histogram.record_value(max(LOWEST_US, round(seconds * US_PER_S)))

    def percentile_s(self, percentile: float) -> float:
        """Return the value in seconds at the percentile."""
        return float(self.histogram.get_value_at_percentile(percentile)) / US_PER_S

    def summary(self) -> dict[str, Any]:
        """Return the distribution as JSON; the encoded histogram can be decoded and merged."""
        percentiles = {
            f"p{percentile:g}_s": self.percentile_s(percentile) for percentile in PERCENTILES
        }
        encoded: bytes = self.histogram.encode()
        return {
            "count": self.histogram.get_total_count(),
            "mean_s": self.histogram.get_mean_value() / US_PER_S,
            "max_s": self.histogram.get_max_value() / US_PER_S,
            "hdr": encoded.decode(),
        } | percentiles


class LoadResult:
    """The outcome of one load.

    ``outcomes`` counts requests by "done", by "wrong" (an answer that looks complete but isn't the
    answer to the request) and by the name of the error.  Latencies start at the time when a request
    was due, so that delays of the load tool itself are included; ``start_delay`` shows those, and
    ``whole`` the time to the complete answer.
    """

    def __init__(self) -> None:
        self.outcomes: dict[str, int] = {}
        self.first_token = Latency()
        self.between_tokens = Latency()
        self.whole = Latency()
        self.start_delay = Latency()
        self.tokens = 0
        self.duration_s = 0.0

    def count(self, outcome: str) -> None:
        """Count the outcome of one request."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def summary(self) -> dict[str, Any]:
        """Return the result as JSON."""
        return {
            "requests": sum(self.outcomes.values()),
            "outcomes": dict(sorted(self.outcomes.items())),
            "duration_s": self.duration_s,
            "tokens": self.tokens,
            "tokens_per_s": self.tokens / self.duration_s if self.duration_s else 0.0,
            "first_token": self.first_token.summary(),
            "between_tokens": self.between_tokens.summary(),
            "whole": self.whole.summary(),
            "start_delay": self.start_delay.summary(),
        }
