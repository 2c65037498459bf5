"""Deletes a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.console.operator_call import add_change_arguments
from hoisthook.console.operator_call import call
from hoisthook.console.operator_call import change_header
from hoisthook.console.operator_call import print_reply
from hoisthook.rpc import operator_pb2 as pb

if TYPE_CHECKING:
    import argparse


class DeleteServiceCommand:
    """``hoisthook delete-service``."""

    name = "delete-service"
    description = "delete a service"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        add_change_arguments(parser)
        parser.add_argument("name")

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit status."""
        request = pb.DeleteServiceRequest(header=change_header(arguments), name=arguments.name)
        return print_reply(call(arguments.node, lambda stub: stub.DeleteService(request)))
