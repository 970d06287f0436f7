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
    """Return the members in an answer; raise GypsumpierError if its shape is wrong."""
    answer = json_object(body)
    try:
        return [decode_member(entry) for entry in answer["members"]]
    except (KeyError, TypeError, ValueError) as error:
        raise GypsumpierError(PLATFORM_BAD_ANSWER, f"bad member list: {error!r}") from error


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
