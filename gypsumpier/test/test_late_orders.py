"""Tests of orders and staging writes that an engine carries out late, without an answer."""

import asyncio
import signal
import time
from typing import Final

from gypsumpier.test.lateordercase import LateOrderCase
from gypsumpier.test.lateorderfleet import PIECES

SHORT_LATE_S: Final = 0.3
LONG_LATE_S: Final = 6.0
EXCUSED_S: Final = 3.0
"""Seconds before the acceptance from which a piece that turned bad has to be noticed."""
SPOIL_STEP_S: Final = 0.45
CHECK_STALL_S: Final = 1.7
"""Longer than a check of the pieces may be old, and shorter than the time for the engine's answer
that is read after it."""


class LateOrderTest(LateOrderCase):
    # Guards against staging another version while an order without an answer may be accepted.
    async def test_an_order_is_accepted_after_the_next_version_was_named(self) -> None:
        await self.order_without_answer()
        self.fleet.name(3)
        await self.fleet.release_when(self.is_half_staged)
        await self.assert_ends_whole(3)

    # Guards against a successor that stages another version than its predecessor has ordered.
    async def test_the_sidecar_is_killed_and_started_before_its_order_is_accepted(self) -> None:
        await self.order_without_answer()
        await self.fleet.side.kill()
        self.fleet.name(3)
        await self.fleet.side.start()
        await self.fleet.release_when(self.is_half_staged)
        await self.assert_ends_whole(3)

    # Guards against a sidecar that takes the time for which it stood still for the engine's.
    async def test_the_sidecar_stands_still_before_its_order_is_accepted(self) -> None:
        self.engine.late_calls.late_s = LONG_LATE_S
        await self.order_without_answer()
        self.fleet.name(3)
        await self.fleet.until(lambda: self.fleet.is_known(3), "known")
        await self.fleet.stand_still(EXCUSED_S)
        await self.fleet.release_when(self.is_half_staged)
        await self.assert_ends_whole(3)

    # Guards against a repeated order that takes the engine back after a newer version.
    async def test_a_second_order_is_accepted_after_the_next_version_was_loaded(self) -> None:
        await self.order_without_answer(2)
        await self.fleet.release_when(lambda: True)
        self.fleet.name(3)
        await self.fleet.release_when(self.holds_next)
        await self.assert_ends_whole(3)

    # Guards against two loads of mixed pieces by orders that outlast the staging of the next ones.
    async def test_two_orders_are_accepted_before_and_after_the_next_version(self) -> None:
        await self.order_without_answer(2)
        self.fleet.name(3)
        await self.fleet.release_when(self.is_half_staged)
        await self.fleet.release_when(self.holds_next)
        await self.assert_ends_whole(3)


class LateWriteTest(LateOrderCase):
    # Guards against a write that replaces a checked piece by that of an older version.
    async def test_a_piece_is_staged_after_the_next_version_was_checked(self) -> None:
        self.engine.late_writes, self.engine.order_s = 1, 0.2
        self.fleet.name(2)
        await self.fleet.side.start()
        await self.fleet.until(lambda: bool(self.engine.late_calls.waiting), "staged")
        self.fleet.name(3)
        await self.fleet.release_when(lambda: self.fleet.ordered(3) > 0)
        await self.assert_ends_whole(3)

    # Guards against the same, where the sidecar that had sent the write no longer knows of it.
    async def test_a_killed_sidecar_leaves_a_piece_that_is_staged_after_the_check(self) -> None:
        self.engine.late_writes, self.engine.order_s = 1, 0.2
        self.fleet.name(2)
        await self.fleet.side.start()
        await self.fleet.until(lambda: bool(self.engine.late_calls.waiting), "staged")
        await self.fleet.side.kill()
        self.fleet.name(3)
        await self.fleet.side.start()
        await self.fleet.release_when(lambda: self.fleet.ordered(3) > 0)
        await self.assert_ends_whole(3)

    # Guards against waiting without end for the answer to a write that has long been carried out.
    async def test_a_write_that_is_never_answered_does_not_hold_up_its_version(self) -> None:
        self.engine.late_calls.keeps_open = True
        self.engine.late_calls.late_s = SHORT_LATE_S
        self.engine.late_writes = 1
        self.fleet.name(2)
        await self.fleet.side.start()
        await self.fleet.until(lambda: self.engine.late_writes == 0, "staged")
        await self.assert_ends_whole(2)


class EngineRestartTest(LateOrderCase):
    # Guards against taking an order for lost as its engine has restarted with the same count.
    async def test_an_order_on_its_way_reaches_the_next_run_before_any_other(self) -> None:
        await self.order_without_answer()
        self.engine.crash(keeps_staged=True)
        self.fleet.name(3)
        await self.fleet.release_when(self.is_half_staged)
        await self.assert_ends_whole(3)

    # Guards against a count that comes to fit again, as the next run has accepted as many orders.
    async def test_an_order_on_its_way_reaches_the_next_run_after_another(self) -> None:
        self.engine.orders = 1
        await self.order_without_answer()
        self.engine.crash(keeps_staged=True)
        self.fleet.name(3)
        await self.fleet.release_when(self.holds_next)
        await self.assert_ends_whole(3)


class SpoiltPieceTest(LateOrderCase):
    # Guards against pieces that nobody looks at any more once they have been ordered.
    async def test_pieces_turn_bad_while_an_order_is_on_its_way(self) -> None:
        self.engine.late_calls.late_s = LONG_LATE_S
        self.engine.late_orders = PIECES
        self.fleet.name(2)
        await self.fleet.side.start()
        await self.fleet.until(lambda: self.fleet.ordered(2) > 0, "ordered")
        spoilt_until_s = time.monotonic() + LONG_LATE_S - EXCUSED_S - SPOIL_STEP_S
        number = 0
        while time.monotonic() < spoilt_until_s:
            self.fleet.spoil(number)
            number += 1
            await asyncio.sleep(SPOIL_STEP_S)
        await self.fleet.until(lambda: self.engine.version == 2, "accepted")
        self.engine.late_orders = 0
        for release in self.engine.late_calls.waiting:
            release.set()
        await self.assert_ends_whole(2)

    # Guards against an order on the strength of a check that has become old.
    async def test_a_piece_turns_bad_as_the_sidecar_stands_still_after_its_check(self) -> None:
        reads: list[int] = []
        loop = asyncio.get_running_loop()

        def stand_still(number: int) -> None:
            if self.fleet.staged_count(2) < PIECES or len(reads) == PIECES:
                return
            reads.append(number)
            if len(reads) == PIECES:
                self.fleet.side.send(signal.SIGSTOP)
                self.fleet.spoil(reads[0])
                loop.call_later(CHECK_STALL_S, self.fleet.side.send, signal.SIGCONT)

        self.engine.on_read = stand_still
        self.fleet.name(2)
        await self.fleet.side.start()
        await self.assert_ends_whole(2)
        self.assertEqual(PIECES, len(reads))
