"""One running process on the Rung Lab platform: settings file, application, signals and log."""

import asyncio
import signal
from pathlib import Path
from typing import Final, Protocol

from gypsumpier import log
from gypsumpier.codes.setting import START_FAILED
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.node import Address, NodeSettings
from gypsumpier.logwriter import FLUSH_INTERVAL_S, BoundedLogWriter
from gypsumpier.options import Options
from gypsumpier.platform.engine import PlatformEngine
from gypsumpier.platform.origin import PlatformOrigin
from gypsumpier.platform.settings import read_settings
from gypsumpier.platform.store import PlatformStore
from gypsumpier.settings import SettingsError
from gypsumpier.tasks import end_task

EXIT_STOPPED: Final = 0
EXIT_START_FAILED: Final = 3
FILE_CHECK_INTERVAL_S: Final = 1.0
"""Interval of checks of the settings file, which may change without a signal."""


class NodeApplication(Protocol):
    """The application of one role on the platform."""

    async def start(self) -> None:
        """Bind the ports and start every component; raise OSError or GypsumpierError."""

    async def stop(self) -> None:
        """Stop gracefully."""

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings."""


class NodeProcess:
    """Runs one process from its start to the end of its graceful stop."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.path = Path(options.node_file)
        self.settings = read_settings(self.path)
        self.content = self.path.read_bytes()
        self.writer = BoundedLogWriter()
        log.configure_output(options.log_level, self.writer, self.settings.name)
        self.stop_requested = asyncio.Event()
        self.application = build(options, self.settings)

    async def run(self) -> int:
        """Run until a signal requests a stop; return the exit status."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload, "signal")
        flush_task = asyncio.create_task(self.flush_log())
        watch_task = asyncio.create_task(self.watch_file())
        try:
            return await self.serve()
        finally:
            await end_task(watch_task)
            await end_task(flush_task)
            self.writer.close()

    async def serve(self) -> int:
        """Start the application, wait for a requested stop and stop it; return the exit status."""
        settings, options = self.settings, self.options
        try:
            await self.application.start()
        except (OSError, GypsumpierError) as error:
            log.decision("start_failed", code=START_FAILED.number, reason=str(error))
            return EXIT_START_FAILED
        log.decision(
            "started",
            name=settings.name,
            role=options.role,
            zone=settings.zone,
            run=options.incarnation,
        )
        await self.stop_requested.wait()
        log.decision("stopping", name=settings.name, reason="stop requested by a signal")
        await self.application.stop()
        log.decision("stopped", name=settings.name, reason="all components have stopped")
        return EXIT_STOPPED

    async def flush_log(self) -> None:
        """Flush the log at regular intervals."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.writer.flush()

    async def watch_file(self) -> None:
        """Reload the settings when the file changes without a signal."""
        while True:
            await asyncio.sleep(FILE_CHECK_INTERVAL_S)
            self.reload("file")

    def reload(self, cause: str) -> None:
        """Reload the settings file; an invalid one leaves the current settings in force.

        ``cause`` is "signal" or "file"; a check of the file ignores unchanged content.
        """
        try:
            content = self.path.read_bytes()
            if content == self.content and cause == "file":
                return
            self.content = content
            self.settings = read_settings(self.path)
        except (OSError, SettingsError) as error:
            log.decision("reload_failed", cause=cause, reason=str(error))
            return
        self.application.reload(self.settings)
        log.decision("reloaded", cause=cause, name=self.settings.name)


def build(options: Options, settings: NodeSettings) -> NodeApplication:
    """Return the application of the role on the platform."""
    store = PlatformStore(settings.store_address)
    if options.role == "agent":
        # Imported here to save memory: each role needs only its own part of the program.
        from gypsumpier.sidecar.application import SidecarApplication

        assert settings.engine_address is not None
        engine = PlatformEngine(settings.engine_address)
        return SidecarApplication(settings, options, store, engine)
    from gypsumpier.gateway.application import GatewayApplication

    def dial_origin(host: str, port: int) -> PlatformOrigin:
        return PlatformOrigin(Address(host, port))

    return GatewayApplication(settings, options, store, dial_origin)
