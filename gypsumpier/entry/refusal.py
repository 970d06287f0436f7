"""The error for a copy of a request that an entry itself refuses.

The entry knows that it has not forwarded this copy.  Under a key, an earlier copy may have run
through another entry, so the entry cannot say *not run*.
"""

from typing import Final

from gypsumpier.codes.request import (
    COPY_REFUSED,
    ENTRY_STARTING,
    ENTRY_STOPPING,
    OVERLOADED,
    UNKNOWN_SERVICE,
)
from gypsumpier.errors import GypsumpierError

ENTRY_REFUSALS: Final = frozenset({ENTRY_STARTING, ENTRY_STOPPING, OVERLOADED, UNKNOWN_SERVICE})


def refusal_of_copy(error: GypsumpierError, has_key: bool) -> GypsumpierError:
    """Return the error for the caller; under a key, the outcome of an entry refusal is unknown."""
    if not has_key or error.code not in ENTRY_REFUSALS:
        return error
    return GypsumpierError(COPY_REFUSED, error.detail, error.retry_after_s)
