"""The member list over HTTP: ``GET /members`` returns ``{"members": [{...}]}``.

Each entry has the fields of ``Member`` under their names.  The list of a large fleet has megabytes
and rarely changes, so a poll is a conditional read of a compressed answer: if the service supports
entity tags, an unchanged list costs only headers.
"""

from typing import Any, Final

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.http import HttpCaller, json_object, raise_for_status
from gypsumpier.external.membership import Member
from gypsumpier.log import decision

NOT_MODIFIED: Final = 304


class HttpMembership:
    """The Membership protocol over HTTP."""

    def __init__(self, url: str) -> None:
        self.caller = HttpCaller(url)
        self.entity_tag = ""
        self.last_list: list[Member] = []

    async def members(self) -> list[Member]:
        request = self.caller.request("GET", "/members")
        request.decompress_response = True
        if self.entity_tag:
            request.headers["If-None-Match"] = self.entity_tag
        response = await self.caller.fetch(request)
        if response.code == NOT_MODIFIED and self.entity_tag:
            return self.last_list
        raise_for_status(response)
        self.last_list = decode_members(response.body)
        self.entity_tag = response.headers.get("ETag", "")
        return self.last_list

    def close(self) -> None:
        """Close the client."""
        self.caller.close()


def decode_members(body: bytes) -> list[Member]:
    """Return the members in an answer; raise GypsumpierError if it holds no list.

    A malformed entry is logged and left out, as it must not hide the others.
    """
    entries = json_object(body).get("members")
    if not isinstance(entries, list):
        raise GypsumpierError(PLATFORM_BAD_ANSWER, "the answer holds no list of members")
    members, malformed = [], []
    for number, entry in enumerate(entries):
        try:
            members.append(decode_member(entry))
        except (LookupError, TypeError, ValueError, ArithmeticError) as error:
            malformed.append(f"{number}: {type(error).__name__}")
    if malformed:
        decision("members_rejected", count=len(malformed), first=malformed[0])
    return members


def decode_member(entry: dict[str, Any]) -> Member:
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
