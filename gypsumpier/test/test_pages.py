"""Tests that the generated pages match the code, and that result codes are unique and in range."""

import importlib
import pkgutil
import unittest
from collections import Counter

from gypsumpier import codes
from gypsumpier.codes.refusalstatus import REFUSAL_STATUSES
from gypsumpier.codes.request import (
    COPY_REFUSED,
    HOME_RECOVERING,
    HOME_UNREACHABLE,
    KEYS_FULL,
    NOT_HOME,
)
from gypsumpier.codes.result import Outcome, ResultCode
from misc.pages import rendered_pages

AREAS = {
    "request": range(2000, 3000),
    "document": range(5000, 5500),
    "member": range(5500, 6000),
    "platform": range(6000, 6500),
    "weight": range(6500, 7000),
    "wire": range(7000, 8000),
    "setting": range(8000, 9000),
}


CODES_OF_KEYS = {HOME_UNREACHABLE, HOME_RECOVERING, NOT_HOME, KEYS_FULL, COPY_REFUSED}


def codes_by_module() -> dict[str, list[ResultCode]]:
    """Return the codes that each module defines."""
    names = [module.name for module in pkgutil.iter_modules(codes.__path__)]
    found = {name: vars(importlib.import_module(f"{codes.__name__}.{name}")) for name in names}
    return {
        name: [value for value in content.values() if isinstance(value, ResultCode)]
        for name, content in found.items()
        if name not in ("table", "page", "result")
    }


class PagesTest(unittest.TestCase):
    def test_the_written_pages_are_those_of_the_code(self) -> None:
        for path, text in rendered_pages().items():
            with self.subTest(page=path.name):
                self.assertTrue(path.read_text() == text, f"{path.name}: run make pages")

    def test_numbers_and_names_are_unique(self) -> None:
        every = [code for found in codes_by_module().values() for code in found]
        numbers = Counter(code.number for code in every)
        names = Counter(code.name for code in every)
        self.assertEqual([], [key for key, count in numbers.items() if count > 1])
        self.assertEqual([], [key for key, count in names.items() if count > 1])

    def test_each_code_is_in_the_range_of_its_area(self) -> None:
        for name, found in codes_by_module().items():
            for code in found:
                with self.subTest(code=code.name):
                    self.assertIn(code.number, AREAS[name])

    # Guards against the status of a refusal for a request that may have run.
    def test_the_statuses_of_refusals_are_for_requests_that_have_not_run(self) -> None:
        for found in codes_by_module().values():
            for code in found:
                # Under a key a copy can be sent again without a second run.
                if code.http_status in REFUSAL_STATUSES and code not in CODES_OF_KEYS:
                    with self.subTest(code=code.name):
                        self.assertIs(Outcome.NOT_RUN, code.outcome)

    def test_each_code_can_be_shown_to_a_caller(self) -> None:
        for found in codes_by_module().values():
            for code in found:
                with self.subTest(code=code.name):
                    self.assertIn(code.http_status, range(200, 600))
                    self.assertTrue(code.advice.endswith("."))
