"""The member list over HTTP: ``GET /members`` answers ``{"members": [{...}]}``.

Each entry has the fields of ``Member`` by their names.
"""

from typing import Any

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError
from gypsumpier.platform.http import HttpCaller
from gypsumpier.platform.membership import Member


class HttpMembership:
    """The Membership protocol over HTTP."""

    def __init__(self, url: str) -> None:
        self.caller = HttpCaller(url)

    async def members(self) -> list[Member]:
        answer = await self.caller.call_json("GET", "/members")
        try:
            return [member(entry) for entry in answer["members"]]
        except (KeyError, TypeError, ValueError) as error:
            raise GypsumpierError(PLATFORM_BAD_ANSWER, f"bad member list: {error!r}") from error

    def close(self) -> None:
        """Close the client."""
        self.caller.close()


def member(entry: dict[str, Any]) -> Member:
    """Return one entry of the answer as a member."""
    return Member(
        name=str(entry["name"]),
        incarnation=str(entry["incarnation"]),
        role=str(entry["role"]),
        service=str(entry["service"]),
        region=str(entry["region"]),
        zone=str(entry["zone"]),
        host=str(entry["host"]),
        port=int(entry["port"]),
        bulk_port=int(entry["bulk_port"]),
        leaving=bool(entry["leaving"]),
    )
