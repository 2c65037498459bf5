"""Prints the backend servers known to a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.console.operator_call import add_node_argument
from hoisthook.console.operator_call import call
from hoisthook.console.operator_call import print_reply
from hoisthook.rpc import operator_pb2 as pb

if TYPE_CHECKING:
    import argparse


class ListBackendServersCommand:
    """``hoisthook list-backend-servers``."""

    name = "list-backend-servers"
    description = "print the backend servers known to a node"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        add_node_argument(parser)
        parser.add_argument("--service", default="", help="only backend servers of this service")

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit status."""
        request = pb.ListBackendServersRequest(service=arguments.service)
        return print_reply(call(arguments.node, lambda stub: stub.ListBackendServers(request)))
