"""Arguments and RPC of ``hoisthook drain`` and ``hoisthook undrain``."""

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
    """Add the change arguments and the backend server."""
    add_change_arguments(parser)
    parser.add_argument(
        "--expected", action="store_true", help="accept an id that no node knows yet"
    )
    parser.add_argument("backend_server")


def set_drain(arguments: argparse.Namespace, *, drained: bool) -> int:
    """Set or end a drain, print the reply and return the exit status."""
    request = pb.SetDrainRequest(
        header=change_header(arguments),
        backend_server=arguments.backend_server,
        drained=drained,
        expected=arguments.expected,
    )
    return print_reply(call(arguments.node, lambda stub: stub.SetDrain(request)))
