"""The text that states where a request would go, as each entry sees it."""

from collections.abc import Sequence
from typing import Any, Final

from gypsumpier.client.answer import Answer
from gypsumpier.client.table import cell, rendered

COLUMNS: Final = (
    "upstream",
    "zone",
    "region",
    "load",
    "slots",
    "impaired",
    "passed over for",
    "ends in s",
    "delay s",
)
REPORTERS_SHOWN: Final = 6
"""Reporters of loads that the text names, the oldest first; ``--json`` has all."""


def destination_page(answers: Sequence[Answer]) -> str:
    """Return what each entry would do with the request."""
    return "\n\n".join(entry_text(it) for it in answers if it.error is None)


def entry_text(answer: Answer) -> str:
    """Return what one entry would do with the request, and how old its knowledge is."""
    view = answer.content
    lines = [
        f"{answer.url}: entry {cell(view.get('entry'))} in zone {cell(view.get('zone'))}",
        f"route {cell(view.get('route'))}, workspace {cell(view.get('workspace'))}, "
        f"regions {cell('any' if view.get('regions') is None else view['regions'] or 'none')}",
        f"configuration {cell(view.get('configuration'))}, proven {seconds(view, 'proof_age_s')} "
        f"ago (requests with a key need less than {seconds(view, 'proof_limit_s')})",
        loads_text(view.get("loads_age_s") or {}),
    ]
    lines += [f"note: {note}" for note in view.get("notes", [])]
    if view.get("refusal"):
        lines.append(f"the request would be refused: {refusal_text(view['refusal'])}")
    if view.get("trial"):
        lines.append("parts of the prompt are suspected; the request would be their trial")
    lines += [service_text(service) for service in answer.rows("services")]
    return "\n".join(lines)


def loads_text(ages_s: dict[str, float]) -> str:
    """Return how old the loads are that others have reported."""
    if not ages_s:
        return "loads: of this entry alone, as no other has reported any"
    some = [f"{name} {age_s:.3f} s" for name, age_s in list(ages_s.items())[:REPORTERS_SHOWN]]
    more = len(ages_s) - len(some)
    return f"loads reported by others: {', '.join(some)}{f' and {more} newer' if more else ''}"


def service_text(service: dict[str, Any]) -> str:
    """Return where a request to the service would go, and the table of its upstreams."""
    share = service.get("share", 1.0)
    part = "" if share == 1.0 else f" ({share:.1%} of the route's requests)"
    lines = ["", f"service {cell(service.get('service'))}{part}: {outcome_text(service)}"]
    lines.append(f"upstreams: {cell(service.get('counts'))}")
    rows = [
        [
            found.get("upstream"),
            found.get("zone"),
            found.get("region"),
            found.get("load"),
            found.get("slots"),
            found.get("impaired"),
            found.get("reason"),
            decimals(found.get("ends_in_s")),
            decimals(found.get("delay_s")),
        ]
        for found in service.get("upstreams", [])
    ]
    lines.append(rendered(COLUMNS, rows))
    if service.get("omitted"):
        lines.append(f"and {service['omitted']} more")
    return "\n".join(lines)


def outcome_text(service: dict[str, Any]) -> str:
    """Return what would become of a request to the service."""
    if service.get("chosen"):
        text = f"sent to {service['chosen']}"
        if not service.get("drawn"):
            return text
        return (
            f"{text} if drawn: {service['drawn']} of {service.get('comparable')} are drawn at "
            "random and compared, this is the best of all"
        )
    wait, refusal = service.get("wait"), service.get("refusal")
    if refusal:
        return f"refused, {refusal_text(refusal)}"
    if not wait:
        return "sent nowhere"
    ends = wait.get("next_place_in_s")
    place = "not known" if ends is None else f"in {ends:.2f} s"
    return (
        f"queued behind {wait.get('ahead')} requests, "
        f"estimated wait {seconds(wait, 'admitted_in_s')}, first known end of a reason {place}"
    )


def refusal_text(refusal: dict[str, Any]) -> str:
    """Return a refusal as text."""
    text = f"{refusal.get('code')} {refusal.get('name')}: {refusal.get('detail')}"
    if refusal.get("positions"):
        text += f" (parts {', '.join(str(at) for at in refusal['positions'])} of those given)"
    if refusal.get("ends_in_s") is not None:
        text += f", for {seconds(refusal, 'ends_in_s')} more"
    return text


def seconds(view: dict[str, Any], name: str) -> str:
    """Return a time of the view as text."""
    value = view.get(name)
    return "never" if value is None else f"{value:.2f} s"


def decimals(value: float | None) -> str | None:
    """Return seconds with as many decimals as delays need; None for None."""
    return None if value is None else f"{value:.3f}"
