"""Calls of the operators' RPC interface of one node, with the reply printed as JSON."""

from __future__ import annotations

import asyncio
import secrets
import sys
from typing import TYPE_CHECKING
from typing import Any

from google.protobuf import json_format
from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from hoisthook.exceptions import HoisthookError
from hoisthook.identity import parse_address
from hoisthook.result_code import ResultCode
from hoisthook.rpc import operator_pb2 as pb
from hoisthook.rpc.operator_grpc import OperatorStub

if TYPE_CHECKING:
    import argparse
    from collections.abc import Awaitable
    from collections.abc import Callable

    from google.protobuf.message import Message

CALL_TIMEOUT_SECONDS = 10.0
EXIT_REFUSED = 1


def add_node_argument(parser: argparse.ArgumentParser) -> None:
    """Add ``--node``."""
    parser.add_argument("--node", required=True, help="operators' address of any node, host:port")


def add_change_arguments(parser: argparse.ArgumentParser) -> None:
    """Add ``--node`` and the arguments of the change header."""
    add_node_argument(parser)
    parser.add_argument(
        "--base-revision", type=int, default=0, help="revision on which the change is based"
    )
    parser.add_argument(
        "--operation-id",
        default="",
        help="id that makes a repeated call idempotent; default random",
    )
    parser.add_argument("--author", default="", help="free text shown in the history")


def change_header(arguments: argparse.Namespace) -> pb.ChangeHeader:
    """Return the change header built from the arguments."""
    return pb.ChangeHeader(
        operation_id=arguments.operation_id or secrets.token_hex(8),
        base_revision=arguments.base_revision,
        author=arguments.author,
    )


def call(node: str, method: Callable[[OperatorStub], Awaitable[Any]]) -> Any:
    """Call one method of a node and return the reply.

    Parameters
    ----------
    node : str
        Operators' address of the node, ``host:port``.
    method : callable
        Starts the call on a stub.

    Raises
    ------
    HoisthookError
        With ``OPERATOR_CALL_FAILED`` if no reply arrives within 10 s, or ``SETTINGS_VALUE`` if the
        address is invalid.
    """
    try:
        host, port = parse_address(node)
    except ValueError as error:
        raise HoisthookError(ResultCode.SETTINGS_VALUE, f"--node: {error}") from error
    return asyncio.run(_call(host, port, method))


def print_reply(reply: Message) -> int:
    """Print a reply as JSON; return exit status 1 if it carries an error code, else 0."""
    text = json_format.MessageToJson(
        reply, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )
    sys.stdout.write(text + "\n")
    return EXIT_REFUSED if getattr(reply, "code", 0) else 0


async def _call(host: str, port: int, method: Callable[[OperatorStub], Awaitable[Any]]) -> Any:
    channel = Channel(host, port)
    try:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            return await method(OperatorStub(channel))
    except (OSError, TimeoutError, GRPCError, StreamTerminatedError) as error:
        detail = f"{host}:{port}: {error!r}"
        raise HoisthookError(ResultCode.OPERATOR_CALL_FAILED, detail) from error
    finally:
        channel.close()
