"""Generates the pages of docs/ that are derived from the code: ``python -m misc.pages``.

A test fails if a generated page is out of date.
"""

from pathlib import Path
from typing import Final

import click

from gypsumpier.client.command import gypsumpier
from gypsumpier.codes import page
from gypsumpier.daemon import gypsumpierd

DOCS: Final = Path(__file__).resolve().parent.parent / "docs"
WIDTH: Final = 100
HEADING: Final = """\
# Command line

The help of the daemon and of the command-line tool, as the programs print it.  Write this page
anew by `make pages`; a test holds it in agreement with the programs.
"""


def main() -> None:
    """Write every generated page."""
    for path, text in rendered_pages().items():
        path.write_text(text)


def rendered_pages() -> dict[Path, str]:
    """Return the text of each page by its path."""
    return {
        DOCS / "result-codes.md": page.rendered(),
        DOCS / "command-line.md": command_line_page(),
    }


def command_line_page() -> str:
    """Return the help of both programs and of each command as one page."""
    sections = [HEADING, section("gypsumpierd", gypsumpierd), section("gypsumpier", gypsumpier)]
    sections += [
        section(f"gypsumpier {name}", command)
        for name, command in sorted(gypsumpier.commands.items())
    ]
    return "\n".join(sections)


def section(name: str, command: click.Command) -> str:
    """Return the help of one command as a Markdown section."""
    context = click.Context(command, info_name=name, terminal_width=WIDTH, max_content_width=WIDTH)
    return f"## {name}\n\n```\n{command.get_help(context)}\n```\n"


if __name__ == "__main__":
    main()
