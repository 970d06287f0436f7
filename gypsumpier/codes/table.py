"""The table of all result codes, collected from the modules of the areas."""

import importlib
import pkgutil
from functools import cache

from gypsumpier import codes
from gypsumpier.codes.result import ResultCode
from gypsumpier.codes.wire import BAD_FRAME


@cache
def all_codes() -> dict[int, ResultCode]:
    """Return all codes by number."""
    table: dict[int, ResultCode] = {}
    for module_info in pkgutil.iter_modules(codes.__path__):
        if module_info.name == "table":
            continue
        module = importlib.import_module(f"{codes.__name__}.{module_info.name}")
        for value in vars(module).values():
            if isinstance(value, ResultCode):
                table[value.number] = value
    return table


def code_by_number(number: int) -> ResultCode:
    """Return the code with that number; BAD_FRAME for a number unknown to this version."""
    return all_codes().get(number, BAD_FRAME)
