"""The daemon's command line: reads the settings, runs one process, exits with its status.

Once the process has started, it prints one line on standard output: ``listening`` with the bound
ports as JSON.  Everything else goes to the log on standard error.
"""

import asyncio
import sys
from collections.abc import Callable, Sequence
from dataclasses import fields
from typing import Any, Final, TypeVar

import click

from gypsumpier import log
from gypsumpier.codes.setting import SETTING_UNKNOWN
from gypsumpier.options import Options
from gypsumpier.settinghelp import SETTING_HELP
from gypsumpier.settings import Problem, SettingsError, build, flag_name, variable_name

EXIT_SETTINGS: Final = 2

Command = TypeVar("Command", bound=Callable[..., Any])


def setting_flags(command: Command) -> Command:
    """Add a flag for each setting.  Values stay text, so that ``build`` reports all errors."""
    for field in reversed(fields(Options)):
        is_switch = isinstance(field.default, bool)
        default = str(field.default).lower() if is_switch else str(field.default)
        command = click.option(
            flag_name(field.name),
            field.name,
            envvar=variable_name(field.name),
            show_envvar=True,
            metavar=metavar(field.default),
            is_flag=False,
            flag_value="true" if is_switch else None,
            help=help_text(field.name, default),
        )(command)
    return command


def metavar(default: object) -> str:
    """Return the placeholder for the value in the help text."""
    return {bool: "[true|false]", int: "INTEGER", float: "NUMBER"}.get(type(default), "TEXT")


def help_text(name: str, default: str) -> str:
    """Return the help text of a setting with its default."""
    text = SETTING_HELP.get(name, "")
    return f"{text}  [default: {default}]" if default else text


@click.command(context_settings={"max_content_width": 100})
@setting_flags
def gypsumpierd(**texts: str | None) -> Options:
    """Run one process of gypsumpier: an entry or an agent.

    Each flag may be given by its environment variable instead; the flag wins.  Times are in
    seconds, sizes in bytes.  SIGTERM and SIGINT stop the process gracefully.

    Exit status: 0 after a graceful stop, 2 where a setting is wrong, 3 where the start failed.
    """
    return build({name: text for name, text in texts.items() if text is not None})


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon; return its exit status."""
    try:
        options = gypsumpierd.main(arguments, prog_name="gypsumpierd", standalone_mode=False)
    except SettingsError as error:
        return report(error.problems)
    except click.UsageError as error:
        return report([Problem(SETTING_UNKNOWN, "arguments", error.format_message())])
    if not isinstance(options, Options):
        return 0
    if options.node_file:
        return run_on_platform(options)
    return run_process(options)


def run_process(options: Options) -> int:
    """Run one process on the product's own interfaces; return its exit status."""
    # Imported here to save memory: each way of running needs only its own part of the program.
    from gypsumpier.process import Process

    log.configure(options.log_level, options.log_json)
    return asyncio.run(Process(options).run())


def run_on_platform(options: Options) -> int:
    """Run one process on the Rung Lab platform; return its exit status."""
    from gypsumpier.node import NodeProcess

    try:
        return asyncio.run(NodeProcess(options).run())
    except SettingsError as error:
        return report(error.problems)


def report(problems: list[Problem]) -> int:
    """Print every problem with its result code; return the exit status."""
    for problem in problems:
        flag = flag_name(problem.setting) if problem.setting in SETTING_HELP else problem.setting
        click.echo(
            f"{problem.code.number} {problem.code.name} {flag}: {problem.detail}. "
            f"{problem.code.advice}",
            err=True,
        )
    return EXIT_SETTINGS


if __name__ == "__main__":
    sys.exit(main())
