"""Tests of the translation of headers between callers, entries and upstreams."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine

from gypsumpier.platform.headers import (
    answer_head,
    caller_head,
    refusal_headers,
    shared_prompt_parts,
    upstream_headers,
)
from gypsumpier.test.builders_platform import caller_head_of
from gypsumpier.upstream.head import AnswerHead, CallerHead, UpstreamHead

UPSTREAM_HEAD = UpstreamHead("i-1", "lab", 1.5, 3, 0, "", 2)


def read(**headers: str) -> CallerHead:
    """Return a caller's head with these headers; ``_`` in a name stands for ``-``."""
    found = HTTPHeaders({name.replace("_", "-"): value for name, value in headers.items()})
    return caller_head(RequestStartLine("POST", "/a/b?c=d", "HTTP/1.1"), found)


def answered(status: int = 200, **headers: str) -> AnswerHead:
    """Return an answer's head with these headers; ``_`` in a name stands for ``-``."""
    found = HTTPHeaders({name.replace("_", "-"): value for name, value in headers.items()})
    return answer_head(ResponseStartLine("HTTP/1.1", status, "Any"), found)


class CallerHeadTest(unittest.TestCase):
    def test_headers_are_decoded_into_fields_in_their_units(self) -> None:
        head = read(X_Deadline_Ms="1500", X_Token_Counts="1460,80", X_Length_Hint="70", X_Key="k")
        self.assertEqual(
            (1.5, 1460, 80, 70, "k", "/a/b", "/a/b?c=d"),
            (
                head.time_limit_s,
                head.prompt_tokens,
                head.answer_tokens,
                head.expected_answer_tokens,
                head.key,
                head.path,
                head.target,
            ),
        )

    def test_headers_of_one_connection_and_those_that_the_system_sets_are_not_passed_on(
        self,
    ) -> None:
        head = read(
            Connection="X-Hop, close",
            X_Hop="1",
            Keep_Alive="timeout=5",
            X_Tenant="forged",
            X_Expect_Instance="forged",
            X_Request_Urgency="0",
            X_Prompt_Prefix="5c1e:800",
            Accept="*/*",
        )
        self.assertEqual(
            [("Accept", "*/*"), ("X-Prompt-Prefix", "5c1e:800")],
            sorted(head.forwarded_headers.get_all()),
        )

    @given(st.dictionaries(st.sampled_from(["X-Deadline-Ms", "X-Token-Counts"]), st.text("0,9-x")))
    @settings(derandomize=True, deadline=None)
    def test_malformed_counts_are_no_error(self, found: dict[str, str]) -> None:
        head = caller_head(RequestStartLine("GET", "/", "HTTP/1.1"), HTTPHeaders(found))
        self.assertGreaterEqual(head.prompt_tokens, 0)

    def test_the_parts_of_a_prompt_are_read_without_the_last(self) -> None:
        for text, parts in {
            "5c1e:800,91bd:410,e440:250": ("5c1e", "91bd"),
            " 5C1E:800 , 91bd ,, 5c1e:1,e440:250": ("5c1e", "91bd"),
            "e440:250": (),
            "": (),
        }.items():
            with self.subTest(text=text):
                self.assertEqual(parts, shared_prompt_parts(text))

    # Guards against a part that is not told apart, as it stands behind others.
    @given(st.integers(2, 1000), st.data())
    @settings(derandomize=True, deadline=None)
    def test_a_part_at_any_place_is_read(self, count: int, data: st.DataObject) -> None:
        parts = [f"{0xA000 + number:x}" for number in range(count)]
        place = data.draw(st.integers(0, count - 2))
        parts[place] = "fa7a1"
        found = shared_prompt_parts(",".join(f"{part}:40" for part in parts))
        self.assertEqual(tuple(parts[:-1]), found)

    def test_an_upstream_gets_the_decisions_of_the_entry_as_headers(self) -> None:
        headers = upstream_headers(caller_head_of(), UPSTREAM_HEAD._replace(expected_version=2))
        found = {
            name: headers.get(name) for name in ("X-Deadline-Ms", "X-Tenant", "Content-Length")
        }
        self.assertEqual({"X-Deadline-Ms": "1500", "X-Tenant": "lab", "Content-Length": "2"}, found)
        self.assertEqual("2", headers["X-Expect-Version"])
        self.assertEqual("i-1", headers["X-Expect-Instance"])

    def test_a_request_without_a_body_gets_no_length(self) -> None:
        head = caller_head_of(method="GET")
        self.assertNotIn(
            "Content-Length", upstream_headers(head, UPSTREAM_HEAD._replace(body_bytes=0))
        )

    def test_a_time_limit_is_at_least_one_millisecond(self) -> None:
        headers = upstream_headers(caller_head_of(), UPSTREAM_HEAD._replace(time_limit_s=-1.0))
        self.assertEqual("1", headers["X-Deadline-Ms"])


class AnswerHeadTest(unittest.TestCase):
    def test_only_an_explicit_mark_of_the_upstream_means_not_run(self) -> None:
        found = [
            answered(503).is_not_run,
            answered(503, X_Not_Executed="1").is_not_run,
            answered(421).is_not_run,
            answered(500).is_not_run,
        ]
        self.assertEqual([False, True, True, False], found)

    def test_the_keep_alive_timeout_is_read(self) -> None:
        found = [answered(Keep_Alive=text).idle_s for text in ("timeout=5, max=9", "max=9", "x")]
        self.assertEqual([5.0, None, None], found)

    def test_an_announced_close_is_read(self) -> None:
        self.assertTrue(answered(Connection="Close").closes)

    def test_retry_after_holds_fractions_and_is_never_negative(self) -> None:
        found = [refusal_headers("r", 0, at_s).get("Retry-After") for at_s in (0.25, -1.0, None)]
        self.assertEqual(["0.250", "0.000", None], found)
