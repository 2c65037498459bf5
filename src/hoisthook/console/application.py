"""The command-line interface: an argument parser with one subcommand per module."""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING

from hoisthook.console.commands.check import CheckCommand
from hoisthook.console.commands.codes import CodesCommand
from hoisthook.console.commands.delete_service import DeleteServiceCommand
from hoisthook.console.commands.drain import DrainCommand
from hoisthook.console.commands.evacuate import EvacuateCommand
from hoisthook.console.commands.experiment import ExperimentCommand
from hoisthook.console.commands.explain import ExplainCommand
from hoisthook.console.commands.get_service import GetServiceCommand
from hoisthook.console.commands.history import HistoryCommand
from hoisthook.console.commands.list_backend_servers import ListBackendServersCommand
from hoisthook.console.commands.list_services import ListServicesCommand
from hoisthook.console.commands.put_service import PutServiceCommand
from hoisthook.console.commands.restore import RestoreCommand
from hoisthook.console.commands.run import RunCommand
from hoisthook.console.commands.schema import SchemaCommand
from hoisthook.console.commands.status import StatusCommand
from hoisthook.console.commands.undrain import UndrainCommand
from hoisthook.exceptions import HoisthookError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hoisthook.console.command import Command

EXIT_ERROR = 2

COMMANDS: tuple[Command, ...] = (
    RunCommand(),
    CheckCommand(),
    SchemaCommand(),
    CodesCommand(),
    ExplainCommand(),
    ExperimentCommand(),
    PutServiceCommand(),
    GetServiceCommand(),
    ListServicesCommand(),
    DeleteServiceCommand(),
    DrainCommand(),
    UndrainCommand(),
    EvacuateCommand(),
    RestoreCommand(),
    ListBackendServersCommand(),
    HistoryCommand(),
    StatusCommand(),
)


def make_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all subcommands."""
    parser = argparse.ArgumentParser(prog="hoisthook", description="A load balancer.")
    subparsers = parser.add_subparsers(dest="command", required=True)
    for command in COMMANDS:
        subparser = subparsers.add_parser(command.name, help=command.description)
        command.configure(subparser)
        subparser.set_defaults(handle=command.handle)
    return parser


def run(arguments: Sequence[str]) -> int:
    """Run a command and return its exit status.

    Parameters
    ----------
    arguments : sequence of str
        Command-line arguments without the program name.

    Returns
    -------
    int
        0 for success, 2 for an error with a result code, otherwise the status of the command.
    """
    parsed = make_parser().parse_args(arguments)
    try:
        status: int = parsed.handle(parsed)
    except HoisthookError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_ERROR
    return status
