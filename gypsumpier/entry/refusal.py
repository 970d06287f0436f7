"""What an entry may say of a copy that it refuses by itself.

An entry knows that it has not sent this copy on.  Under a key an earlier copy may have run through
another entry, so *not run* would be more than the entry knows.
"""

from typing import Final

from gypsumpier.codes.request import COPY_REFUSED, ENTRY_STARTING, OVERLOADED, UNKNOWN_SERVICE
from gypsumpier.errors import GypsumpierError

ENTRY_REFUSALS: Final = frozenset({ENTRY_STARTING, OVERLOADED, UNKNOWN_SERVICE})


def refusal_of_copy(error: GypsumpierError, has_key: bool) -> GypsumpierError:
    """Return the error to tell; under a key the outcome of an own refusal is unknown."""
    if not has_key or error.code not in ENTRY_REFUSALS:
        return error
    return GypsumpierError(COPY_REFUSED, error.detail, error.retry_after_s)
