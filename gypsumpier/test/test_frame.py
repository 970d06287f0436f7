"""Tests of the frame codec."""

import tracemalloc
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.errors import GypsumpierError
from gypsumpier.wire.frame import Decoder, Frame, encode

frames = st.builds(
    Frame,
    kind=st.text(max_size=8),
    exchange=st.text(max_size=8),
    sequence=st.integers(0, 2**31),
    sent_at_s=st.floats(0, 1e9),
    payload=st.dictionaries(st.text(max_size=4), st.binary(max_size=32), max_size=3),
)


class FrameTest(unittest.TestCase):
    @given(st.lists(frames, max_size=5), st.integers(1, 64))
    @settings(derandomize=True, deadline=None, max_examples=60)
    def test_any_split_of_the_bytes_gives_the_same_frames(
        self, sent: list[Frame], size: int
    ) -> None:
        content = b"".join(encode(frame) for frame in sent)
        decoder = Decoder()
        received: list[Frame] = []
        for start in range(0, len(content), size):
            received += decoder.feed(content[start : start + size])
        self.assertEqual(sent, received)

    @given(st.binary(max_size=64))
    @settings(derandomize=True, deadline=None, max_examples=200)
    def test_bad_bytes_give_a_coded_error_or_nothing(self, content: bytes) -> None:
        try:
            Decoder().feed(content)
        except GypsumpierError as error:
            self.assertIn(error.code.number, (7001, 7002))


class DecoderMemoryTest(unittest.TestCase):
    def test_a_decoder_stays_small_however_much_it_has_received(self) -> None:
        content = encode(Frame("token", "exchange", 1, 1.5, {"text": "word "}))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        decoder = Decoder()
        before_bytes, _ = tracemalloc.get_traced_memory()
        for _ in range(2 * 1024 * 1024 // len(content)):
            decoder.feed(content)
        after_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(after_bytes - before_bytes, 64 * 1024)
        self.assertLess(before_bytes, 64 * 1024)
