"""Lets a backend server take no new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.console.operator_call import add_change_arguments
from hoisthook.console.operator_call import call
from hoisthook.console.operator_call import change_header
from hoisthook.console.operator_call import print_reply
from hoisthook.rpc import operator_pb2 as pb

if TYPE_CHECKING:
    import argparse


class DrainCommand:
    """``hoisthook drain``."""

    name = "drain"
    description = "let a backend server take no new work"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        add_change_arguments(parser)
        parser.add_argument("backend_server")

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run it and return the exit status."""
        request = pb.SetDrainRequest(
            header=change_header(arguments), backend_server=arguments.backend_server, drained=True
        )
        return print_reply(call(arguments.node, lambda stub: stub.SetDrain(request)))
