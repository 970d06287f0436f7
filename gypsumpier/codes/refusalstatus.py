"""The HTTP statuses by which a caller is told that its request has not run and never will."""

from typing import Final

REFUSAL_STATUSES: Final = frozenset({408, 421, 429, 503})
