"""What one node asks another, and the answer."""

from __future__ import annotations

import zlib
from typing import TypeVar

import msgspec

from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.membership.suspicion import ReachabilityReport
from hoisthook.mesh.peer import Peer
from hoisthook.retry.crash_evidence import CrashReport
from hoisthook.traffic.configuration_parts import ConfigurationDelta

Message = TypeVar("Message", bound=msgspec.Struct)

# Below this compression saves nothing.
COMPRESSED_FROM_BYTES = 400
# Enough for configurations of 20,000 routes; what claims to be larger is no message of a node.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
PLAIN = b"p"
COMPRESSED = b"z"
FAST = 1


def encode_message(message: msgspec.Struct) -> bytes:
    """Return a message's bytes.

    Compressed where that is shorter: 1,753 routes are 50 KB for 504 KB (both encoded), which a link
    of 5 Mbit/s carries in 0.08 s for 0.8 s.
    """
    data = msgspec.msgpack.encode(message)
    if len(data) < COMPRESSED_FROM_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, FAST)


def decode_message(data: bytes, kind: type[Message]) -> Message:
    """Return the message.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are no message of that kind, or are too many.
    """
    content = data[1:]
    if data[:1] == COMPRESSED:
        content = _decompressed(content)
    elif data[:1] != PLAIN:
        raise msgspec.DecodeError("no message of a node")
    return msgspec.msgpack.decode(content, type=kind)


def _decompressed(data: bytes) -> bytes:
    reader = zlib.decompressobj()
    try:
        content = reader.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    if not reader.eof:
        raise msgspec.DecodeError("message cut short or too large")
    return content


class SyncQuestion(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a node asks of another.

    Attributes
    ----------
    sender : Peer
        Who asks; the other takes it in.
    configuration : int
        The version it has; -1 for none.
    wants_news : bool
        Whether it asks which nodes there are.
    process : str
        Names the process that asks.
    source : str
        Names the process whose news it has had up to ``revision``; empty for none.
    revision : int
        Of the directory of ``source``.
    digest : int
        Of its own directory.
    suspicions : int
        Revision up to which it has had the suspicions of ``source``.
    findings : list of ReachabilityReport
        Which nodes it could not reach lately, and which suspected ones it could.
    peers : list of Peer
        All nodes, where the asker tells them unasked; else empty.
    evacuations : int
        Revision of the evacuations that it knows; -1 for none.
    hold : float
        For how many seconds the answer may wait for something that operators change.
    crash_digest : int
        Of what it knows of work that ended backend servers of its service; 0 for nothing.
    crashes : list of CrashReport
        All that, where the other may lack some of it.
    era : int or None
        The store's, as far as it has heard.
    """

    sender: Peer
    configuration: int
    wants_news: bool = False
    process: str = ""
    source: str = ""
    revision: int = 0
    digest: int = 0
    suspicions: int = 0
    findings: list[ReachabilityReport] = []
    peers: list[Peer] = []
    evacuations: int = -1
    hold: float = 0.0
    crash_digest: int = 0
    crashes: list[CrashReport] = []
    era: int | None = None


class SyncReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer.

    Attributes
    ----------
    peers : list of Peer
        Nodes that the asker may not know: what came after the revision it has had from here,
        else all, unless its directory is the same.
    source : str
        Names the process that replies.
    revision : int
        Of its directory.
    configuration : ConfigurationDelta or None
        What the asker's configuration lacks.
    store_away : bool
        Whether the store does not answer the node that replies.
    suspicions : int
        Revision of its suspicions.
    suspected, cleared : list of NodeId
        Nodes that several could not reach, and that one of them has reached since.
    evacuations : int
        Revision of ``evacuated``; -1 where the asker knows as much.
    evacuated : list of DataCentre
        Data centres that operators have evacuated.
    crash_digest : int
        Of what it knows of work that ended backend servers of the asker's service.
    crashes : list of CrashReport
        All that, unless the asker knows the same.
    confirmed : float or None
        Seconds since its configuration was known to be the newest, where that matters.
    era : int or None
        The store's, as far as it has heard.
    """

    peers: list[Peer] = []
    source: str = ""
    revision: int = 0
    configuration: ConfigurationDelta | None = None
    store_away: bool = False
    suspicions: int = 0
    suspected: list[NodeId] = []
    cleared: list[NodeId] = []
    evacuations: int = -1
    evacuated: list[DataCentre] = []
    crash_digest: int = 0
    crashes: list[CrashReport] = []
    confirmed: float | None = None
    era: int | None = None
