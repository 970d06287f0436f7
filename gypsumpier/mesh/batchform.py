"""The records of a batch in the form in which they are sent to peers."""

from typing import Final, NamedTuple

from prometheus_client import Counter

from gypsumpier.fleet.change import Batch
from gypsumpier.log import decision
from gypsumpier.metrics import REGISTRY

DELTA: Final = "delta"
WHOLE: Final = "whole"
"""Forms, as they stand in logs and metrics."""

BYTES_SENT: Final = Counter(
    "gypsumpier_feed_sent_bytes",
    "Compressed records of the store sent to peers, in bytes, by form.",
    ["form"],
    registry=REGISTRY,
)


class PackedBatch(NamedTuple):
    """A batch's compressed records, and further fields of its message with compressed content.

    ``base_digest`` is that of the value from which the first delta was made; empty without one.
    """

    form: str
    records: bytes
    fields: dict[str, bytes]
    base_digest: bytes

    def size(self) -> int:
        """Return the bytes of the compressed content."""
        return len(self.records) + sum(map(len, self.fields.values()))

    def record_sent(self, batch: Batch, recipients: int) -> None:
        """Count and log that the batch was sent; one without records is a proof alone."""
        if not batch.records:
            return
        BYTES_SENT.labels(self.form).inc(self.size() * recipients)
        decision(
            "records_sent",
            revision=batch.revision,
            records=len(batch.records),
            form=self.form,
            bytes=self.size(),
            recipients=recipients,
            base=self.base_digest.hex(),
        )
