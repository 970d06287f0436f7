"""Builders of members for tests."""

from gypsumpier.external.membership import Member
from gypsumpier.options import Options


def agent(
    number: int = 0, run: int = 1, service: str = "gypsum-llm", leaving: bool = False
) -> Member:
    """Return an agent of the service."""
    name = f"{service}/bac-a/{number}"
    return Member(
        name, f"run-{run}", "agent", service, "bac", "bac-a", "127.0.0.1", 7000, 0, leaving
    )


def entry_options(name: str = "entry/bac-a/0", **fields: float) -> Options:
    """Return the options of an entry."""
    zone = name.split("/")[1]
    return Options(role="entry", name=name, incarnation="own", region="bac", zone=zone, **fields)  # type: ignore[arg-type]
