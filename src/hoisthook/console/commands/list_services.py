"""Prints the specifications of all services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.console.operator_call import add_node_argument
from hoisthook.console.operator_call import call
from hoisthook.console.operator_call import print_reply
from hoisthook.rpc import operator_pb2 as pb

if TYPE_CHECKING:
    import argparse


class ListServicesCommand:
    """``hoisthook list-services``."""

    name = "list-services"
    description = "print all services"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        add_node_argument(parser)

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit status."""
        request = pb.ListServicesRequest()
        return print_reply(call(arguments.node, lambda stub: stub.ListServices(request)))
