"""The engine stand-in's HTTP calls."""

import json

from gypsumpier.test.standin.batch import Stream
from gypsumpier.test.standin.server import StandinHandler


class EngineHandler(StandinHandler):
    """Base of the engine's handlers: calls wait while the engine is frozen."""

    async def prepare(self) -> None:  # type: ignore[override]
        super().prepare()
        await self.state.batch.not_frozen.wait()

    async def relay(self, stream: Stream, position: int) -> None:
        """Write the events of a stream from the position on, until the final one."""
        while True:
            changed = stream.changed
            for event in stream.events[position:]:
                self.write(json.dumps(event) + "\n")
                position += 1
            await self.flush()
            if stream.finished:
                return
            await changed.wait()


class StatusHandler(EngineHandler):
    """``GET /status``."""

    def get(self) -> None:
        self.finish(self.state.status())


class StageHandler(EngineHandler):
    """``PUT /stage?digest=&path=&offset=``."""

    def put(self) -> None:
        offset = int(self.get_argument("offset"))
        digest, path = self.get_argument("digest"), self.get_argument("path")
        if not self.state.weights.stage(digest, path, offset, self.request.body):
            self.refuse(409, error="out of memory")
        self.finish({})


class OrderHandler(EngineHandler):
    """``POST /load`` and ``POST /unload``."""

    def post(self, action: str) -> None:
        order = self.json_body()
        if self.state.weights.refuses_fence(order["fence"]):
            self.refuse(412, error="fenced")
        if action == "load":
            self.state.spawn(self.state.weights.load(order))
        else:
            self.state.weights.unload(order)
        self.finish({})


class CompletionHandler(EngineHandler):
    """``POST /completions``: JSON lines."""

    async def post(self) -> None:
        stream = self.state.submit(self.json_body())
        if stream is None:
            self.refuse(409, error="version not live")
        else:
            await self.relay(stream, 0)


class StreamHandler(EngineHandler):
    """``GET /streams/ID?next_position=N`` and ``DELETE /streams/ID``."""

    async def get(self, stream_id: str) -> None:
        stream = self.state.streams.get(stream_id)
        if stream is None:
            self.refuse(404)
        else:
            await self.relay(stream, int(self.get_argument("next_position")))

    def delete(self, stream_id: str) -> None:
        stream = self.state.streams.get(stream_id)
        if stream is not None:
            self.state.batch.drop(stream)
        self.finish({})


class CacheEventsHandler(EngineHandler):
    """``GET /cache-events?after=N``."""

    def get(self) -> None:
        after = int(self.get_argument("after"))
        self.finish({"events": self.state.batch.cache.visible_events(after)})
