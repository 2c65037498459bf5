"""What one node asks another, and the answer."""

from __future__ import annotations

import msgspec

from hoisthook.identity import NodeId
from hoisthook.membership.suspicion import Finding
from hoisthook.mesh.peer import Peer


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
    findings : list of Finding
        Which nodes it could not reach lately, and which suspected ones it could.
    peers : list of Peer
        All nodes, where the asker tells them unasked; else empty.
    """

    sender: Peer
    configuration: int
    wants_news: bool = False
    process: str = ""
    source: str = ""
    revision: int = 0
    digest: int = 0
    suspicions: int = 0
    findings: list[Finding] = []
    peers: list[Peer] = []


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
    configuration : bytes
        The newest configuration as published, if newer than the asker's.
    store_away : bool
        Whether the store does not answer the node that replies.
    suspicions : int
        Revision of its suspicions.
    suspected, cleared : list of NodeId
        Nodes that several could not reach, and that one of them has reached since.
    """

    peers: list[Peer] = []
    source: str = ""
    revision: int = 0
    configuration: bytes = b""
    store_away: bool = False
    suspicions: int = 0
    suspected: list[NodeId] = []
    cleared: list[NodeId] = []
