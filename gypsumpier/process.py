"""One running process: the application of its role, the administration server and the signals.

The administration server starts first and stops last, so that health can be read
at any time.  The process stops being ready as soon as a stop begins, before the application drains.
"""

import asyncio
import json
import signal
from typing import Final

from gypsumpier import log
from gypsumpier.administration.history import DecisionHistory
from gypsumpier.administration.server import AdministrationServer
from gypsumpier.administration.state import RUNNING, STOPPING, ProcessState
from gypsumpier.agent.application import AgentApplication
from gypsumpier.application import Application
from gypsumpier.codes.setting import START_FAILED
from gypsumpier.entry.application import EntryApplication
from gypsumpier.errors import GypsumpierError
from gypsumpier.options import Options

EXIT_STOPPED: Final = 0
EXIT_START_FAILED: Final = 3


class Process:
    """Runs one daemon from its start to the end of its graceful stop."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.application = build_application(options)
        self.history = DecisionHistory()
        self.state = ProcessState(options, self.application, self.history)
        self.administration = AdministrationServer(options, self.state)
        self.stop_requested = asyncio.Event()

    async def run(self) -> int:
        """Run until a signal requests a stop; return the exit status."""
        self.history.attach()
        self.handle_signals()
        try:
            await self.start()
        except (OSError, GypsumpierError) as error:
            log.decision("start_failed", code=START_FAILED.number, reason=str(error))
            return EXIT_START_FAILED
        await self.stop_requested.wait()
        await self.stop()
        return EXIT_STOPPED

    async def start(self) -> None:
        """Start all components, then print the bound ports on standard output."""
        await self.administration.start()
        await self.application.start()
        self.state.phase = RUNNING
        ports = self.state.ports()
        log.decision("started", name=self.options.name, role=self.options.role, **ports)
        print("listening", json.dumps(ports), flush=True)

    async def stop(self) -> None:
        """Stop all components gracefully."""
        self.state.phase = STOPPING
        log.decision("stopping", name=self.options.name, reason="stop requested by a signal")
        await self.application.stop()
        await self.administration.stop()
        log.decision("stopped", name=self.options.name, reason="all components have stopped")

    def handle_signals(self) -> None:
        """Request a stop on SIGTERM and SIGINT."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop_requested.set)


def build_application(options: Options) -> Application:
    """Return the application of the role."""
    if options.role == "agent":
        return AgentApplication(options)
    return EntryApplication(options)
