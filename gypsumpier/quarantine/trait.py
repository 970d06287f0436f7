"""Traits, which requests have in common: the fingerprint of a whole one, or a part of a prompt."""

from collections.abc import Iterable
from typing import Final

PART_PREFIX: Final = "part:"


def traits_of(fingerprint: str, parts: Iterable[str]) -> tuple[str, ...]:
    """Return the traits of a request: its fingerprint and the parts that others may share."""
    return fingerprint, *(PART_PREFIX + part for part in parts)


def is_part(trait: str) -> bool:
    """Return whether the trait is a part of a prompt rather than a whole request."""
    return trait.startswith(PART_PREFIX)
