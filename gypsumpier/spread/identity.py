"""Identifies the instance at the other end of a session."""

from typing import NamedTuple

from gypsumpier.external.membership import Member
from gypsumpier.options import Options


class Identity(NamedTuple):
    """The peer's name and role, from the member list or as the peer stated them itself."""

    name: str
    role: str


def own_member(options: Options, leaving: bool = False) -> Member:
    """Return this instance as a member."""
    return Member(
        name=options.name,
        incarnation=options.incarnation,
        role=options.role,
        service=options.service,
        region=options.region,
        zone=options.zone,
        host=options.host,
        port=options.port,
        bulk_port=options.bulk_port,
        leaving=leaving,
    )
