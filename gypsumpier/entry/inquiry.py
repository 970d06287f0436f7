"""Queries the home of a key for the key's outcome, without running anything."""

import uuid
from collections.abc import AsyncIterator

from gypsumpier.codes.request import HOME_UNREACHABLE, UNKNOWN_SERVICE
from gypsumpier.entry.attempt import FAILED, REFUSED, Attempt, LostConnectionError
from gypsumpier.entry.delivery import error_of
from gypsumpier.entry.keys import EntryKeys
from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.key import KeyId
from gypsumpier.wire.frame import Frame


async def ask_outcome(keys: EntryKeys, service: str, key_id: KeyId) -> AsyncIterator[Frame]:
    """Yield the frames of the stored answer.

    Raises GypsumpierError with the code of what is known if there is no stored answer.
    """
    document = keys.documents.document(service)
    if document is None:
        raise GypsumpierError(UNKNOWN_SERVICE, service)
    link = keys.home_of(key_id, document)
    attempt = Attempt(f"outcome/{uuid.uuid4()}", link.member.name)
    link.attempts[attempt.exchange] = attempt
    try:
        await link.send_frame("outcome", key_id._asdict(), attempt.exchange)
        async for frame in attempt.frames():
            if frame.kind in (REFUSED, FAILED):
                raise error_of(frame)
            yield frame
    except LostConnectionError as error:
        raise GypsumpierError(HOME_UNREACHABLE, error.detail) from error
    finally:
        link.discard(attempt)
