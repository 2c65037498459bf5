"""Arguments and RPC of ``hoisthook evacuate`` and ``hoisthook restore``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.console.operator_call import add_change_arguments
from hoisthook.console.operator_call import call
from hoisthook.console.operator_call import change_header
from hoisthook.console.operator_call import print_reply
from hoisthook.rpc import operator_pb2 as pb

if TYPE_CHECKING:
    import argparse


def add_evacuation_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the change arguments and the data centre."""
    add_change_arguments(parser)
    parser.add_argument("data_centre")


def set_evacuation(arguments: argparse.Namespace, *, evacuated: bool) -> int:
    """Set or end an evacuation, print the reply and return the exit status."""
    request = pb.SetEvacuationRequest(
        header=change_header(arguments),
        data_centre=arguments.data_centre,
        evacuated=evacuated,
    )
    return print_reply(call(arguments.node, lambda stub: stub.SetEvacuation(request)))
