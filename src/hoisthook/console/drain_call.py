"""What ``hoisthook drain`` and ``hoisthook undrain`` share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.console.operator_call import add_change_arguments
from hoisthook.console.operator_call import call
from hoisthook.console.operator_call import change_header
from hoisthook.console.operator_call import print_reply
from hoisthook.rpc import operator_pb2 as pb

if TYPE_CHECKING:
    import argparse


def add_drain_arguments(parser: argparse.ArgumentParser) -> None:
    """Add which backend server is meant."""
    add_change_arguments(parser)
    parser.add_argument(
        "--expected", action="store_true", help="the id may be one that no node knows yet"
    )
    parser.add_argument("backend_server")


def set_drain(arguments: argparse.Namespace, *, drained: bool) -> int:
    """Send the change, print the reply and return the exit status."""
    request = pb.SetDrainRequest(
        header=change_header(arguments),
        backend_server=arguments.backend_server,
        drained=drained,
        expected=arguments.expected,
    )
    return print_reply(call(arguments.node, lambda stub: stub.SetDrain(request)))
