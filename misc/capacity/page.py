"""The table of slopes for docs/CAPACITY.md."""

from typing import Any, Final

HEAD: Final = (
    "| slope | group | sizes measured | for each | r2 | at target | limit | margin | stretched |\n"
    "|---|---|---|---|---|---|---|---|---|"
)


def table(summaries: list[dict[str, Any]]) -> str:
    """Return the slopes as a Markdown table."""
    return "\n".join([HEAD, *(row(summary) for summary in summaries)]) + "\n"


def row(summary: dict[str, Any]) -> str:
    """Return one slope as a row."""
    sizes = [size for size, _ in summary["points"]]
    cells = [
        f"`{summary['name']}`",
        f"`{summary.get('group', '')}`",
        f"{min(sizes):,.4g} to {max(sizes):,.4g} {summary['size_unit']}",
        f"{summary['slope']:.3g} {summary['unit']}",
        f"{summary['fit_r2']:.3f}",
        f"{summary['at_target']:,.3g} {summary['unit']} at {summary['target_size']:,.5g}",
        "none" if summary["limit"] is None else f"{summary['limit']:,.6g}",
        margin(summary),
        f"{summary['target_size'] / max(sizes):.2g} times",
    ]
    return "| " + " | ".join(cells) + " |"


def margin(summary: dict[str, Any]) -> str:
    """Return whether the limit holds and the percentage of it that is used, as text."""
    if summary["limit"] is None:
        return ""
    used = summary["at_target"] / summary["limit"]
    verdict = "holds" if summary["holds"] else "**broken**"
    return f"{verdict}, {used:.0%} used"
