"""Client of the origin of weights."""

from typing import Final
from urllib.parse import quote

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.http import HttpCaller, json_object
from gypsumpier.fleet.node import Address
from gypsumpier.piece.engine import PieceList
from gypsumpier.platform.fields import FieldError, field

CALL_TIMEOUT_S: Final = 3.0
"""Timeout of one call; a piece takes about 30 ms at the full rate of the origin's link."""
ANSWER_MAX_BYTES: Final = 4 * 1024 * 1024
"""Bytes of a piece or of a list of pieces."""


class PlatformOrigin:
    """The PieceOrigin protocol over the platform's origin."""

    def __init__(self, address: Address) -> None:
        self.caller = HttpCaller(f"http://{address}", ANSWER_MAX_BYTES)

    async def piece_list(self, model: str, version: int) -> PieceList:
        path = f"/gypsumpier/manifest/{quote(model, safe='')}?version={version}"
        return decode_list(await self.caller.call("GET", path, CALL_TIMEOUT_S))

    async def piece(self, model: str, version: int, number: int) -> bytes:
        path = f"/gypsumpier/piece/{quote(model, safe='')}?num={number}&version={version}"
        return await self.caller.call("GET", path, CALL_TIMEOUT_S)

    def close(self) -> None:
        self.caller.close()


def decode_list(content: bytes) -> PieceList:
    """Return the list of digests in an answer; raise GypsumpierError where it is malformed."""
    body = json_object(content)
    try:
        digests = tuple(str(digest) for digest in field(body, "digests", list))
        return PieceList(field(body, "model", str), field(body, "version", int), digests)
    except FieldError as error:
        raise GypsumpierError(PLATFORM_BAD_ANSWER, f"bad piece list: {error}") from error
