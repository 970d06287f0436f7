"""Sends the due frames of a DocumentExchange on its connection."""

from gypsumpier.document.exchange import DocumentExchange, chunks
from gypsumpier.document.spread import DocumentSpread
from gypsumpier.spread import message
from gypsumpier.spread.message import Holding
from gypsumpier.wire.connection import Connection


async def send_documents(
    spread: DocumentSpread, exchange: DocumentExchange, connection: Connection
) -> None:
    """Send all due frames; raise GypsumpierError with CONNECTION_CLOSED on a lost connection."""
    if not exchange.subscription_sent:
        exchange.subscription_sent = True
        names = None if spread.subscription is None else sorted(spread.subscription)
        await connection.send(message.DOCUMENT_WANT, {"names": names})
    await send_distance(spread, exchange, connection)
    if exchange.full_list_due:
        exchange.full_list_due = False
        await send_full_list(spread, exchange, connection)
    await send_announcements(spread, exchange, connection)
    await send_fetch_requests(exchange, connection)
    await send_bodies(spread, exchange, connection)
    digest = spread.due_digest(exchange)
    if digest is not None:
        await connection.send(message.DOCUMENT_DIGEST, {"digest": digest})


async def send_distance(
    spread: DocumentSpread, exchange: DocumentExchange, connection: Connection
) -> None:
    """Send the distance to the configuration service if it has changed."""
    distance = spread.freshness.distance()
    if distance != exchange.distance_sent:
        exchange.distance_sent = distance
        await connection.send(message.DOCUMENT_DISTANCE, {"distance": distance})


async def send_full_list(
    spread: DocumentSpread, exchange: DocumentExchange, connection: Connection
) -> None:
    """Announce all contents held for the names that the peer subscribes to."""
    pieces = list(chunks(spread.holdings(exchange.subscription), message.NAMES_PER_FRAME))
    for index, piece in enumerate(pieces):
        payload = message.packed_have(piece, index == len(pieces) - 1)
        await connection.send(message.DOCUMENT_HAVE, payload)


async def send_announcements(
    spread: DocumentSpread, exchange: DocumentExchange, connection: Connection
) -> None:
    """Announce changed contents that the peer is not known to hold."""
    names, exchange.to_announce = exchange.to_announce, set()
    holdings = [
        holding for holding in spread.holdings(frozenset(names)) if not exchange.knows(holding)
    ]
    for holding in holdings:
        exchange.record_known(holding)
    if not holdings:
        return
    for piece in chunks(holdings, message.NAMES_PER_FRAME):
        await connection.send(message.DOCUMENT_HAVE, message.packed_have(piece, False))


async def send_fetch_requests(exchange: DocumentExchange, connection: Connection) -> None:
    """Request the contents queued in ``to_fetch``."""
    requested, exchange.to_fetch = exchange.to_fetch, {}
    if not requested:
        return
    holdings = [Holding(name, rank) for name, rank in requested.items()]
    for piece in chunks(holdings, message.NAMES_PER_FRAME):
        await connection.send(message.DOCUMENT_ASK, message.packed_have(piece, False))


async def send_bodies(
    spread: DocumentSpread, exchange: DocumentExchange, connection: Connection
) -> None:
    """Send the current contents of the requested names."""
    names, exchange.to_send = exchange.to_send, set()
    for name in sorted(names):
        for revised in spread.table.contents(name):
            await connection.send(message.DOCUMENT_BODY, message.packed_body(revised))
