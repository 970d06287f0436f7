"""The question where a request would go, as the query of a GET."""

from typing import Final, NamedTuple
from urllib.parse import parse_qs

from gypsumpier.codes.setting import ADMINISTRATION_QUERY_INVALID
from gypsumpier.errors import GypsumpierError

QUERY_MAX: Final = 16_384
"""Length of the longest query in characters."""
PARTS_MAX: Final = 256
"""Most parts of a prompt in one question; prompts have some tens to hundreds."""
TOKENS_MAX: Final = 10_000_000
FIELDS: Final = frozenset(
    {"host", "path", "route", "workspace", "part", "prompt_tokens", "answer_tokens", "zone"}
)


class DestinationQuery(NamedTuple):
    """A request that is not sent.  A field that was not given is empty or 0.

    ``parts`` are ids of parts of its prompt, as callers state them.
    """

    host: str
    path: str
    route: str
    workspace: str
    zone: str
    parts: tuple[str, ...]
    prompt_tokens: int
    answer_tokens: int


def parsed_query(text: str) -> DestinationQuery:
    """Return the question in a query; raise GypsumpierError if it is malformed.

    No error repeats a value or an unknown name, as one may be a key.
    """
    if len(text) > QUERY_MAX:
        raise invalid(f"the query is longer than {QUERY_MAX} characters")
    try:
        given = parse_qs(
            text, keep_blank_values=True, max_num_fields=PARTS_MAX + len(FIELDS), errors="strict"
        )
    except ValueError:
        raise invalid("the query is malformed or has too many fields") from None
    if not given.keys() <= FIELDS:
        raise invalid(f"only {', '.join(sorted(FIELDS))} are known")
    parts = tuple(given.pop("part", []))
    if len(parts) > PARTS_MAX:
        raise invalid(f"part: more than {PARTS_MAX}")
    if any(len(values) > 1 for values in given.values()):
        raise invalid("only part may be given more than once")
    values = {name: found[0] for name, found in given.items()}
    query = DestinationQuery(
        host=values.get("host", ""),
        path=values.get("path", "").partition("?")[0],
        route=values.get("route", ""),
        workspace=values.get("workspace", ""),
        zone=values.get("zone", ""),
        parts=parts,
        prompt_tokens=token_count(values, "prompt_tokens"),
        answer_tokens=token_count(values, "answer_tokens"),
    )
    if bool(query.route) == bool(query.host and query.path):
        raise invalid("either route, or host and path, must be given")
    return query


def token_count(values: dict[str, str], name: str) -> int:
    """Return a number of tokens; 0 where none was given.  Raise GypsumpierError if it is none."""
    text = values.get(name, "0")
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(TOKENS_MAX))):
        raise invalid(f"{name}: not a number of tokens up to {TOKENS_MAX}")
    return min(int(text), TOKENS_MAX)


def invalid(detail: str) -> GypsumpierError:
    """Return the error of a malformed query."""
    return GypsumpierError(ADMINISTRATION_QUERY_INVALID, detail)
