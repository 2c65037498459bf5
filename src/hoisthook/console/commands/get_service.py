"""Prints the specification of one service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.console.operator_call import add_node_argument
from hoisthook.console.operator_call import call
from hoisthook.console.operator_call import print_reply
from hoisthook.rpc import operator_pb2 as pb

if TYPE_CHECKING:
    import argparse


class GetServiceCommand:
    """``hoisthook get-service``."""

    name = "get-service"
    description = "print one service"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        add_node_argument(parser)
        parser.add_argument("name")

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit status."""
        request = pb.GetServiceRequest(name=arguments.name)
        return print_reply(call(arguments.node, lambda stub: stub.GetService(request)))
