"""Creates or replaces a service from a TOML file."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from hoisthook.configuration.service_spec import ServiceSpec
from hoisthook.console.operator_call import add_change_arguments
from hoisthook.console.operator_call import call
from hoisthook.console.operator_call import change_header
from hoisthook.console.operator_call import print_reply
from hoisthook.exceptions import SettingsError
from hoisthook.result_code import ResultCode
from hoisthook.rpc import operator_pb2 as pb
from hoisthook.rpc.spec_codec import spec_to_message

if TYPE_CHECKING:
    import argparse


class PutServiceCommand:
    """``hoisthook put-service --node ADDRESS FILE``."""

    name = "put-service"
    description = "create or replace a service from a TOML file"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        add_change_arguments(parser)
        parser.add_argument("file", type=Path, help="service specification in TOML")

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit status."""
        spec = load_spec(arguments.file)
        request = pb.PutServiceRequest(
            header=change_header(arguments), service=spec_to_message(spec)
        )
        return print_reply(call(arguments.node, lambda stub: stub.PutService(request)))


def load_spec(path: Path) -> ServiceSpec:
    """Return the service specification in a TOML file.

    Raises
    ------
    SettingsError
        If the file cannot be read or parsed, or a value is invalid.
    """
    try:
        spec = msgspec.convert(tomllib.loads(path.read_bytes().decode()), ServiceSpec)
    except OSError as error:
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError(ResultCode.SETTINGS_SYNTAX, f"{path}: {error}") from error
    except msgspec.ValidationError as error:
        raise SettingsError(ResultCode.SETTINGS_INVALID, f"{path}: {error}") from error
    problem = spec.problem()
    if problem is not None:
        raise SettingsError(ResultCode.SETTINGS_VALUE, f"{path}: {problem}")
    return spec
